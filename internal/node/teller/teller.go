// Package teller lends and borrows the rate tokens of client accounts.
package teller

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

// Sentinel errors of Take and Lend.
var (
	// ErrDry says that the account has no token left at present.
	ErrDry = errors.New("rate is used up")
	// ErrNotHolder says that this node does not hold the slot, or may not lend from it at present.
	ErrNotHolder = errors.New("slot is not held here")
	// ErrNoAccount says that the account is not declared.
	ErrNoAccount = errors.New("no such client account")
)

const (
	askTimeout = 80 * time.Millisecond
	failRetry  = 100 * time.Millisecond
	aheadEvery = 50 * time.Millisecond
)

// Terms are the loan terms of the fleet.
var Terms = lender.Terms{Loan: time.Second, Need: 100 * time.Millisecond, Margin: 50 * time.Millisecond}

// Request asks a holder for tokens of one slice.
type Request struct {
	Account string
	Slice   int
	Ask     lender.Ask
}

// Peers reaches the holders.
type Peers interface {
	Borrow(ctx context.Context, member string, req Request) (lender.Loan, error)
}

// Fold is the node's view of the fleet's state.
type Fold interface {
	State() *reducer.State
	Confirmed() bool
	Expired(offset int64, extra time.Duration) bool
}

// Teller is safe for concurrent use. Lock order: mu and stockMu are never held together.
type Teller struct {
	// Fold gives accounts, slots and their holders.
	Fold Fold
	// Peers reaches the holders.
	Peers Peers
	// Clock returns the time.
	Clock func() time.Time
	// Self returns the member ID under which this node has joined; empty before.
	Self func() string

	mu      sync.Mutex
	slots   [reducer.Slots]slot
	winding map[int]winding
	stockMu sync.Mutex
	stocks  map[string]*lender.Stock
}

// slot is a slot that this node holds.
type slot struct {
	since   int64
	seen    time.Time
	open    bool
	opened  time.Time
	buckets map[sliceID]*lender.Bucket
}

type sliceID struct {
	account string
	slice   int
}

// Lend answers a borrower as the holder of a slot.
func (t *Teller) Lend(req Request) (lender.Loan, error) {
	// The state is read after the confirmation, which then holds for it too.
	if !t.Fold.Confirmed() {
		return lender.Loan{}, ErrNotHolder
	}
	state := t.Fold.State()
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
	s, ok := t.hold(now, n, state.Slots[n])
	if !ok {
		return lender.Loan{}, ErrNotHolder
	}
	rate, burst := lender.Share(account.Rate, account.Burst, req.Slice)
	if t.winding[n] == short {
		req.Ask.Want = req.Ask.Need
	}
	return s.bucket(req).Lend(now, rate, burst, Terms, req.Ask), nil
}

// hold opens a slot once its former holder's loans have ended.
func (t *Teller) hold(now time.Time, n int, folded reducer.Slot) (*slot, bool) {
	s := &t.slots[n]
	if t.winding[n] == closed {
		return nil, false
	}
	if s.since != folded.Since {
		*s = slot{since: folded.Since, seen: now, buckets: map[sliceID]*lender.Bucket{}}
	}
	if s.open {
		return s, true
	}
	last := Terms.Loan + Terms.Margin
	if folded.LoanMS > 0 {
		last = time.Duration(folded.LoanMS) * time.Millisecond
	}
	ended := now.Sub(s.seen) >= last
	if folded.Fenced {
		ended = t.Fold.Expired(folded.Since, Terms.Loan+Terms.Margin)
	}
	s.open = ended
	s.opened = now
	return s, ended
}

// Hold starts the wait for the slots that this node has come to hold, and forgets those that it no
// longer holds.
func (t *Teller) Hold() {
	state := t.Fold.State()
	self := t.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for n, folded := range state.Slots {
		switch {
		case folded.Holder == self:
			t.hold(now, n, folded)
		case t.slots[n].since != 0:
			t.slots[n] = slot{}
			delete(t.winding, n)
		}
	}
}

func (s *slot) bucket(req Request) *lender.Bucket {
	id := sliceID{req.Account, req.Slice}
	b, ok := s.buckets[id]
	if !ok {
		b = lender.Open(s.opened, s.since)
		s.buckets[id] = b
	}
	return b
}

// winding is the state of a slot that is about to be passed on.
type winding int

const (
	// short lends only to requests that wait; without any winding a slot lends on all terms.
	short winding = iota + 1
	// closed lends nothing.
	closed
)

// Close stops lending from slots before they are passed on, and returns for how long their loans may
// still last. It lends on short terms only until all long loans have ended, so that the next holder
// need not wait for them, unless ctx ends before that.
func (t *Teller) Close(ctx context.Context, slots []int) time.Duration {
	t.wind(slots, short)
	ended := waiter.Sleep(ctx, Terms.Loan+Terms.Margin)
	t.wind(slots, closed)
	if !ended {
		return Terms.Loan + Terms.Margin
	}
	return Terms.Need + Terms.Margin
}

func (t *Teller) wind(slots []int, to winding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.winding == nil {
		t.winding = map[int]winding{}
	}
	for _, n := range slots {
		t.winding[n] = to
	}
}

// Reopen allows slots again that were closed and have not been passed on, or have come back.
func (t *Teller) Reopen(slots []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range slots {
		delete(t.winding, n)
	}
}

// Open returns the number of slots that this node lends from.
func (t *Teller) Open() int {
	state := t.Fold.State()
	self := t.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for n := range t.slots {
		if t.slots[n].open && state.Slots[n].Holder == self && t.winding[n] != closed {
			count++
		}
	}
	return count
}

// Take spends one token of an account. Without one it returns ErrDry and when to come back.
func (t *Teller) Take(ctx context.Context, account reducer.Account) (lender.Token, time.Duration, error) {
	if token, ok := t.takeStocked(account); ok {
		return token, 0, nil
	}
	start := int(xxhash.Sum64String(t.Self()+account.Name) % uint64(lender.Slices(account.Burst)))
	for range lender.Slices(account.Burst) {
		plan, dry, ok := t.planNeed(account, start)
		if !ok {
			return lender.Token{}, dry, ErrDry
		}
		if token, ok := t.borrow(ctx, account.Name, plan); ok {
			return token, 0, nil
		}
	}
	_, dry, _ := t.planNeed(account, start)
	return lender.Token{}, max(dry, time.Millisecond), ErrDry
}

func (t *Teller) takeStocked(account reducer.Account) (lender.Token, bool) {
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	return t.stock(account).Take(t.Clock())
}

func (t *Teller) planNeed(account reducer.Account, start int) (lender.Plan, time.Duration, bool) {
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	return t.stock(account).PlanNeed(t.Clock(), start)
}

// GiveBack returns a token of a request that did not run.
func (t *Teller) GiveBack(account reducer.Account, token lender.Token) {
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	t.stock(account).GiveBack(token)
}

func (t *Teller) stock(account reducer.Account) *lender.Stock {
	if t.stocks == nil {
		t.stocks = map[string]*lender.Stock{}
	}
	s, ok := t.stocks[account.Name]
	if !ok {
		s = &lender.Stock{}
		t.stocks[account.Name] = s
	}
	s.Resize(lender.Slices(account.Burst))
	return s
}

// borrow asks a slice's holder and books the answer.
func (t *Teller) borrow(ctx context.Context, account string, plan lender.Plan) (lender.Token, bool) {
	askedAt := t.Clock()
	loan, err := t.ask(ctx, account, plan)
	now := t.Clock()
	t.stockMu.Lock()
	defer t.stockMu.Unlock()
	stock := t.stocks[account]
	if err != nil {
		stock.Failed(now, plan, failRetry)
		return lender.Token{}, false
	}
	return stock.Receive(now, askedAt, Terms, plan, loan)
}

func (t *Teller) ask(ctx context.Context, account string, plan lender.Plan) (lender.Loan, error) {
	self := t.Self()
	req := Request{Account: account, Slice: plan.Slice, Ask: lender.Ask{
		Need: plan.Need, Want: plan.Want, Reports: plan.Reports,
	}}
	holder := t.Fold.State().Slots[reducer.SlotOf(account, plan.Slice)].Holder
	if holder == self && self != "" {
		return t.Lend(req)
	}
	if holder == "" {
		return lender.Loan{}, ErrNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return t.Peers.Borrow(ctx, holder, req)
}

// Run borrows ahead of demand until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	waiter.Every(ctx, aheadEvery, func(ctx context.Context) {
		t.Hold()
		t.Ahead(ctx)
	})
}

// Ahead borrows once for each account whose stock falls below its demand.
func (t *Teller) Ahead(ctx context.Context) {
	type job struct {
		account string
		plan    lender.Plan
	}
	var jobs []job
	now := t.Clock()
	t.stockMu.Lock()
	for name, s := range t.stocks {
		if plan, ok := s.PlanAhead(now, 0); ok {
			jobs = append(jobs, job{name, plan})
		}
	}
	t.stockMu.Unlock()
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() { t.borrow(ctx, j.account, j.plan) })
	}
	wg.Wait()
}
