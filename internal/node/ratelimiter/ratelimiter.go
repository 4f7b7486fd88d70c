// Package ratelimiter enforces the rates of client accounts with tokens that slot holders lend to other nodes.
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
	// ErrRateExceeded means that the account has no rate token left at present.
	ErrRateExceeded = errors.New("rate is used up")
	// ErrNotHolder means that this node does not hold the slot, or may not lend from it at present.
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

// Limiter lends and borrows rate tokens. It is safe for concurrent use. The locks mu and stockMu are never
// held together.
type Limiter struct {
	// View provides client accounts, slots and their holders.
	View StateView
	// Peers sends borrow requests to slot holders.
	Peers Peers
	// Clock returns the current time.
	Clock func() time.Time
	// Self returns the member ID under which this node has joined; it is empty before.
	Self func() string

	mu        sync.Mutex
	slots     [reducer.SlotCount]slot
	handovers map[int]handoverStage
	stockMu   sync.Mutex
	stocks    map[string]*lender.TokenCache
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

// Lend answers a borrow request as the holder of the slot.
func (t *Limiter) Lend(req Request) (lender.Loan, error) {
	// The state is read after the confirmation, so that the confirmation covers the state too.
	if !t.View.Confirmed() {
		return lender.Loan{}, ErrNotHolder
	}
	state := t.View.State()
	account, ok := state.Account(req.Account)
	if !ok {
		return lender.Loan{}, ErrNoAccount
	}
	if req.Slice < 0 || req.Slice >= lender.Slices(account.Burst) {
		return lender.Loan{}, ErrNotHolder
	}
	n := reducer.SlotOf(req.Account, req.Slice)
	self := t.Self()
	if self == "" || state.Slots[n].Holder != self {
		return lender.Loan{}, ErrNotHolder
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	s, ok := t.openSlot(now, n, state.Slots[n])
	if !ok {
		return lender.Loan{}, ErrNotHolder
	}
	rate, burst := lender.Share(account.Rate, account.Burst, req.Slice)
	if t.handovers[n] == waitersOnly {
		req.LoanRequest.Want = req.LoanRequest.Need
	}
	return s.bucket(req).Lend(now, rate, burst, Terms, req.LoanRequest), nil
}

// openSlot opens a slot for lending once the loans of its previous holder have expired. It reports whether
// the slot is open.
func (t *Limiter) openSlot(now time.Time, n int, assignment reducer.Slot) (*slot, bool) {
	s := &t.slots[n]
	if t.handovers[n] == closed {
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
		loansExpired = t.View.Expired(assignment.Since, Terms.LoanTTL+Terms.ClockMargin)
	}
	s.open = loansExpired
	s.openedAt = now
	return s, loansExpired
}

// SyncSlots starts the waiting period of slots newly assigned to this node, and drops slots that are no
// longer assigned to it.
func (t *Limiter) SyncSlots() {
	state := t.View.State()
	self := t.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for n, assignment := range state.Slots {
		switch {
		case assignment.Holder == self:
			t.openSlot(now, n, assignment)
		case t.slots[n].since != 0:
			t.slots[n] = slot{}
			delete(t.handovers, n)
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

// handoverStage is the stage of a slot that is about to be handed over. A slot without a stage lends on all
// terms.
type handoverStage int

const (
	// waitersOnly lends tokens only for requests that are already waiting; these loans are short.
	waitersOnly handoverStage = iota + 1
	// closed lends nothing.
	closed
)

// Close stops lending from slots before they are handed over, and returns the time for which their loans
// may remain valid. It first grants only short loans until all long loans have expired, so that the next
// holder need not wait for them. If ctx ends earlier, the returned time covers the long loans.
func (t *Limiter) Close(ctx context.Context, slots []int) time.Duration {
	t.setStage(slots, waitersOnly)
	elapsed := waiter.Sleep(ctx, Terms.LoanTTL+Terms.ClockMargin)
	t.setStage(slots, closed)
	if !elapsed {
		return Terms.LoanTTL + Terms.ClockMargin
	}
	return Terms.NeedTTL + Terms.ClockMargin
}

func (t *Limiter) setStage(slots []int, stage handoverStage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handovers == nil {
		t.handovers = map[int]handoverStage{}
	}
	for _, n := range slots {
		t.handovers[n] = stage
	}
}

// Reopen resumes lending from closed slots that were not handed over or have been assigned to this node again.
func (t *Limiter) Reopen(slots []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range slots {
		delete(t.handovers, n)
	}
}

// OpenSlots returns the number of slots that this node lends from.
func (t *Limiter) OpenSlots() int {
	state := t.View.State()
	self := t.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	open := 0
	for n := range t.slots {
		if t.slots[n].open && state.Slots[n].Holder == self && t.handovers[n] != closed {
			open++
		}
	}
	return open
}

// Take spends one token of a client account. If none is available it returns ErrDry and the time after which
// to retry.
func (t *Limiter) Take(ctx context.Context, account reducer.Account) (lender.Token, time.Duration, error) {
	if token, ok := t.takeStocked(account); ok {
		return token, 0, nil
	}
	start := int(xxhash.Sum64String(t.Self()+account.Name) % uint64(lender.Slices(account.Burst)))
	for range lender.Slices(account.Burst) {
		plan, retryAfter, ok := t.planNeed(account, start)
		if !ok {
			return lender.Token{}, retryAfter, ErrRateExceeded
		}
		if token, ok := t.borrow(ctx, account.Name, plan); ok {
			return token, 0, nil
		}
	}
	_, retryAfter, _ := t.planNeed(account, start)
	return lender.Token{}, max(retryAfter, time.Millisecond), ErrRateExceeded
}

func (t *Limiter) takeStocked(account reducer.Account) (lender.Token, bool) {
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	return t.stock(account).Take(t.Clock())
}

func (t *Limiter) planNeed(account reducer.Account, start int) (lender.Plan, time.Duration, bool) {
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	return t.stock(account).PlanNeed(t.Clock(), start)
}

// Refund returns the token of a request that did not run.
func (t *Limiter) Refund(account reducer.Account, token lender.Token) {
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	t.stock(account).Refund(token)
}

func (t *Limiter) stock(account reducer.Account) *lender.TokenCache {
	if t.stocks == nil {
		t.stocks = map[string]*lender.TokenCache{}
	}
	s, ok := t.stocks[account.Name]
	if !ok {
		s = &lender.TokenCache{}
		t.stocks[account.Name] = s
	}
	s.Resize(lender.Slices(account.Burst))
	return s
}

// borrow requests a loan from the holder of a slice and records the result.
func (t *Limiter) borrow(ctx context.Context, account string, plan lender.Plan) (lender.Token, bool) {
	sentAt := t.Clock()
	loan, err := t.requestLoan(ctx, account, plan)
	now := t.Clock()
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	stock := t.stocks[account]
	if err != nil {
		stock.RecordFailure(now, plan, borrowRetryDelay)
		return lender.Token{}, false
	}
	return stock.Receive(now, sentAt, Terms, plan, loan)
}

func (t *Limiter) requestLoan(ctx context.Context, account string, plan lender.Plan) (lender.Loan, error) {
	self := t.Self()
	req := Request{Account: account, Slice: plan.Slice, LoanRequest: lender.LoanRequest{
		Need: plan.Need, Want: plan.Want, Reports: plan.Reports,
	}}
	holder := t.View.State().Slots[reducer.SlotOf(account, plan.Slice)].Holder
	if holder == self && self != "" {
		return t.Lend(req)
	}
	if holder == "" {
		return lender.Loan{}, ErrNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return t.Peers.Borrow(ctx, holder, req)
}

// Run borrows ahead of demand until ctx ends.
func (t *Limiter) Run(ctx context.Context) {
	waiter.Every(ctx, prefetchInterval, func(ctx context.Context) {
		t.SyncSlots()
		t.Prefetch(ctx)
	})
}

// Prefetch borrows once for each client account whose stock is below its demand.
func (t *Limiter) Prefetch(ctx context.Context) {
	type prefetch struct {
		account string
		plan    lender.Plan
	}
	var jobs []prefetch
	now := t.Clock()
	t.stockMu.Lock()
	for name, s := range t.stocks {
		if plan, ok := s.PlanPrefetch(now, 0); ok {
			jobs = append(jobs, prefetch{name, plan})
		}
	}
	t.stockMu.Unlock()
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() { t.borrow(ctx, j.account, j.plan) })
	}
	wg.Wait()
}
