// Package ratelimiter enforces the rate limits of client accounts across the fleet. The token bucket of an account
// is split into slices. Each slice belongs to a slot, and the member that holds the slot lends the slice's tokens
// to the other nodes.
package ratelimiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Errors returned by Take and Lend.
var (
	// ErrRateExceeded means that no rate token of the account could be obtained at present.
	ErrRateExceeded = errors.New("rate is used up")
	// ErrNotHolder means that this node does not hold the slot, may not lend from the slot at present, or knows
	// no such slice.
	ErrNotHolder = errors.New("slot is not held here")
	// ErrNoAccount means that the client account is not declared.
	ErrNoAccount = errors.New("no such client account")
)

const (
	borrowTimeout    = 80 * time.Millisecond
	borrowRetryDelay = 100 * time.Millisecond
	prefetchInterval = 50 * time.Millisecond
)

// Terms are the loan terms used by all nodes of the fleet.
var Terms = lender.Terms{LoanTTL: time.Second, NeedTTL: 100 * time.Millisecond, ClockMargin: 50 * time.Millisecond}

// Request asks a slot holder for tokens of one slice of a client account.
type Request struct {
	Account     string
	Slice       int
	LoanRequest lender.LoanRequest
}

// Peers sends borrow requests to slot holders.
type Peers interface {
	Borrow(ctx context.Context, member string, req Request) (lender.Loan, error)
}

// StateView is the node's view of the replicated fleet state.
type StateView interface {
	State() *reducer.State
	Confirmed() bool
	Expired(offset int64, extra time.Duration) bool
}

// Limiter lends rate tokens from the slots that this node holds, and borrows the tokens that this node spends.
// It is safe for concurrent use. The locks mu and cacheMu are never held together.
type Limiter struct {
	// View provides client accounts, slots and their holders.
	View StateView
	// Peers sends borrow requests to slot holders.
	Peers Peers
	// Clock returns the current time.
	Clock func() time.Time
	// Self returns the member ID of this node; empty if the node has none yet.
	Self func() string

	mu        sync.Mutex
	slots     [reducer.RateSlotCount]slot
	handovers map[int]handoverStage
	cacheMu   sync.Mutex
	caches    map[string]*lender.TokenCache
}

// slot is the lending state of a slot that this node holds.
type slot struct {
	since     int64
	heldSince time.Time
	open      bool
	openedAt  time.Time
	buckets   map[sliceID]*lender.Bucket
}

type sliceID struct {
	account string
	slice   int
}

// Lend answers a borrow request as the holder of the slice's slot.
func (l *Limiter) Lend(req Request) (lender.Loan, error) {
	// The state is read after the confirmation, so that the confirmation covers the state too.
	if !l.View.Confirmed() {
		return lender.Loan{}, ErrNotHolder
	}
	state := l.View.State()
	account, ok := state.Account(req.Account)
	if !ok {
		return lender.Loan{}, ErrNoAccount
	}
	if req.Slice < 0 || req.Slice >= lender.Slices(account.Burst) {
		return lender.Loan{}, ErrNotHolder
	}
	n := reducer.RateSlotOf(req.Account, req.Slice)
	self := l.Self()
	if self == "" || state.RateSlots[n].Holder != self {
		return lender.Loan{}, ErrNotHolder
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	s, ok := l.openSlot(now, n, state.RateSlots[n])
	if !ok {
		return lender.Loan{}, ErrNotHolder
	}
	rate, burst := lender.Share(account.Rate, account.Burst, req.Slice)
	if l.handovers[n] == waitersOnly {
		req.LoanRequest.Want = req.LoanRequest.Need
	}
	return s.bucket(req).Lend(now, rate, burst, Terms, req.LoanRequest), nil
}

// openSlot opens a slot for lending once the loans of its previous holder have expired. It reports whether
// the slot is open.
func (l *Limiter) openSlot(now time.Time, n int, assignment reducer.RateSlot) (*slot, bool) {
	s := &l.slots[n]
	if l.handovers[n] == closed {
		return nil, false
	}
	if s.since != assignment.Since {
		*s = slot{since: assignment.Since, heldSince: now, buckets: map[sliceID]*lender.Bucket{}}
	}
	if s.open {
		return s, true
	}
	loanLifetime := Terms.LoanTTL + Terms.ClockMargin
	if assignment.LoanMS > 0 {
		loanLifetime = time.Duration(assignment.LoanMS) * time.Millisecond
	}
	loansExpired := now.Sub(s.heldSince) >= loanLifetime
	if assignment.Fenced {
		loansExpired = l.View.Expired(assignment.Since, Terms.LoanTTL+Terms.ClockMargin)
	}
	s.open = loansExpired
	s.openedAt = now
	return s, loansExpired
}

// SyncSlots starts the waiting period of slots newly assigned to this node, and drops slots that are no
// longer assigned to it.
func (l *Limiter) SyncSlots() {
	state := l.View.State()
	self := l.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock()
	for n, assignment := range state.RateSlots {
		switch {
		case assignment.Holder == self:
			l.openSlot(now, n, assignment)
		case l.slots[n].since != 0:
			l.slots[n] = slot{}
			delete(l.handovers, n)
		}
	}
}

func (s *slot) bucket(req Request) *lender.Bucket {
	id := sliceID{req.Account, req.Slice}
	b, ok := s.buckets[id]
	if !ok {
		b = lender.NewBucket(s.openedAt, s.since)
		s.buckets[id] = b
	}
	return b
}

// handoverStage is the stage of a slot that is about to be handed over. Lending from a slot without a stage is
// not restricted.
type handoverStage int

const (
	// waitersOnly means that tokens are lent only for requests that are already waiting. These loans expire
	// after NeedTTL.
	waitersOnly handoverStage = iota + 1
	// closed means that no tokens are lent.
	closed
)

// CloseSlots stops lending from slots before they are handed over, and returns the time for which their loans
// may remain valid. It first grants only short loans, which expire after NeedTTL, until all loans that last for
// LoanTTL have expired, so that the next holder need not wait for those. If ctx ends earlier, the returned time
// covers the long loans as well.
func (l *Limiter) CloseSlots(ctx context.Context, slots []int) time.Duration {
	l.setStage(slots, waitersOnly)
	elapsed := waiter.Sleep(ctx, Terms.LoanTTL+Terms.ClockMargin)
	l.setStage(slots, closed)
	if !elapsed {
		return Terms.LoanTTL + Terms.ClockMargin
	}
	return Terms.NeedTTL + Terms.ClockMargin
}

func (l *Limiter) setStage(slots []int, stage handoverStage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handovers == nil {
		l.handovers = map[int]handoverStage{}
	}
	for _, n := range slots {
		l.handovers[n] = stage
	}
}

// ReopenSlots resumes lending from closed slots that were not handed over or have been assigned to this node again.
func (l *Limiter) ReopenSlots(slots []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range slots {
		delete(l.handovers, n)
	}
}

// OpenSlots returns the number of slots that this node lends from.
func (l *Limiter) OpenSlots() int {
	state := l.View.State()
	self := l.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	open := 0
	for n := range l.slots {
		if l.slots[n].open && state.RateSlots[n].Holder == self && l.handovers[n] != closed {
			open++
		}
	}
	return open
}

// Take spends one token of a client account. If none is available, Take returns ErrRateExceeded and the time
// after which to retry.
func (l *Limiter) Take(ctx context.Context, account reducer.Account) (lender.Token, time.Duration, error) {
	if token, ok := l.takeCached(account); ok {
		return token, 0, nil
	}
	start := int(xxhash.Sum64String(l.Self()+account.Name) % uint64(lender.Slices(account.Burst)))
	for range lender.Slices(account.Burst) {
		plan, retryAfter, ok := l.planNeed(account, start)
		if !ok {
			return lender.Token{}, retryAfter, ErrRateExceeded
		}
		if token, ok := l.borrow(ctx, account.Name, plan); ok {
			return token, 0, nil
		}
	}
	_, retryAfter, _ := l.planNeed(account, start)
	return lender.Token{}, max(retryAfter, time.Millisecond), ErrRateExceeded
}

func (l *Limiter) takeCached(account reducer.Account) (lender.Token, bool) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	return l.cache(account).Take(l.Clock())
}

func (l *Limiter) planNeed(account reducer.Account, start int) (lender.LoanPlan, time.Duration, bool) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	return l.cache(account).PlanNeed(l.Clock(), start)
}

// Refund returns the token of a request that did not run.
func (l *Limiter) Refund(account reducer.Account, token lender.Token) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	l.cache(account).Refund(token)
}

// cache returns the token cache of an account. The caller holds cacheMu.
func (l *Limiter) cache(account reducer.Account) *lender.TokenCache {
	if l.caches == nil {
		l.caches = map[string]*lender.TokenCache{}
	}
	cache, ok := l.caches[account.Name]
	if !ok {
		cache = &lender.TokenCache{}
		l.caches[account.Name] = cache
	}
	cache.Resize(lender.Slices(account.Burst))
	return cache
}

// borrow requests a loan from the holder of a slice's slot and records the result. It returns the token that the
// plan needs, and false if it obtained none.
func (l *Limiter) borrow(ctx context.Context, account string, plan lender.LoanPlan) (lender.Token, bool) {
	sentAt := l.Clock()
	loan, err := l.requestLoan(ctx, account, plan)
	now := l.Clock()
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	cache := l.caches[account]
	if err != nil {
		cache.RecordFailure(now, plan, borrowRetryDelay)
		return lender.Token{}, false
	}
	return cache.Receive(now, sentAt, Terms, plan, loan)
}

func (l *Limiter) requestLoan(ctx context.Context, account string, plan lender.LoanPlan) (lender.Loan, error) {
	self := l.Self()
	req := Request{Account: account, Slice: plan.Slice, LoanRequest: lender.LoanRequest{
		Need: plan.Need, Want: plan.Want, Reports: plan.Reports,
	}}
	holder := l.View.State().RateSlots[reducer.RateSlotOf(account, plan.Slice)].Holder
	if holder == self && self != "" {
		return l.Lend(req)
	}
	if holder == "" {
		return lender.Loan{}, ErrNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return l.Peers.Borrow(ctx, holder, req)
}

// Run periodically follows slot assignments and borrows tokens ahead of demand, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	waiter.Every(ctx, prefetchInterval, func(ctx context.Context) {
		l.SyncSlots()
		l.Prefetch(ctx)
	})
}

// Prefetch requests one loan for each client account whose cached tokens are too few for the expected demand.
func (l *Limiter) Prefetch(ctx context.Context) {
	type prefetch struct {
		account string
		plan    lender.LoanPlan
	}
	var jobs []prefetch
	now := l.Clock()
	l.cacheMu.Lock()
	for name, cache := range l.caches {
		if plan, ok := cache.PlanPrefetch(now, 0); ok {
			jobs = append(jobs, prefetch{name, plan})
		}
	}
	l.cacheMu.Unlock()
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() { l.borrow(ctx, j.account, j.plan) })
	}
	wg.Wait()
}
