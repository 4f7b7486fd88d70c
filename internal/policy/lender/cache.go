package lender

import "time"

// demandTimeConstant is the time constant of the moving average of the demand.
const demandTimeConstant = 200 * time.Millisecond

// prefetchHorizon is the period of expected demand that a borrower requests tokens for ahead of time.
const prefetchHorizon = 100 * time.Millisecond

// minPrefetchDemand is the demand below which no tokens are borrowed ahead, in tokens per second.
const minPrefetchDemand = 20.0

// TokenCache holds a borrower's tokens of one account. It is not safe for concurrent use.
type TokenCache struct {
	batches []batch
	slices  []sliceState
	// demand is a moving average, in tokens per second.
	demand    float64
	decayedAt time.Time
}

type batch struct {
	slice   int
	serial  int64
	n       int
	expires time.Time
}

type sliceState struct {
	emptyUntil  time.Time
	reports     []Report
	prefetching bool
}

// maxReports bounds the reports that wait for the next loan request to a slice's holder.
const maxReports = 256

// reportFor returns the report on a loan and adds an empty one if there is none. Reports beyond maxReports
// are dropped, oldest first; the lender then counts those loans until they expire.
func (s *sliceState) reportFor(serial int64) *Report {
	for i := range s.reports {
		if s.reports[i].Serial == serial {
			return &s.reports[i]
		}
	}
	if len(s.reports) == maxReports {
		s.reports = s.reports[1:]
	}
	s.reports = append(s.reports, Report{Serial: serial})
	return &s.reports[len(s.reports)-1]
}

// Resize adapts the cache to the account's number of slices. If the number has changed, all tokens are
// discarded.
func (c *TokenCache) Resize(n int) {
	if len(c.slices) != n {
		c.slices = make([]sliceState, n)
		c.batches = nil
	}
}

// Token identifies a token that was spent, so that it can be given back.
type Token struct {
	Slice  int
	Serial int64
}

// Take counts a request as demand and spends one token if one is available.
func (c *TokenCache) Take(now time.Time) (Token, bool) {
	c.recordDemand(now)
	for i := range c.batches {
		b := &c.batches[i]
		if b.n > 0 && now.Before(b.expires) {
			b.n--
			c.slices[b.slice].reportFor(b.serial).Spent++
			return Token{b.slice, b.serial}, true
		}
	}
	return Token{}, false
}

// recordDemand adds one request to the moving average of the demand.
func (c *TokenCache) recordDemand(now time.Time) {
	c.decayDemand(now)
	c.demand += 1 / demandTimeConstant.Seconds()
}

func (c *TokenCache) decayDemand(now time.Time) {
	if c.decayedAt.IsZero() {
		c.decayedAt = now
	}
	dt := now.Sub(c.decayedAt)
	if dt <= 0 {
		return
	}
	c.demand /= 1 + dt.Seconds()/demandTimeConstant.Seconds()
	c.decayedAt = now
}

// LoanPlan describes a loan to request from the holder of a slice.
type LoanPlan struct {
	Slice   int
	Need    int
	Want    int
	Reports []Report
}

// PlanNeed plans the loan of one token that a request waits for. It searches the slices from start on, so
// that different nodes can begin with different slices. If all slices are known to be empty, PlanNeed
// returns false and the shortest time until one of them is expected to have a token.
func (c *TokenCache) PlanNeed(now time.Time, start int) (plan LoanPlan, emptyFor time.Duration, ok bool) {
	for i := range c.slices {
		n := (start + i) % len(c.slices)
		wait := c.slices[n].emptyUntil.Sub(now)
		if wait <= 0 {
			return c.plan(now, n, 1), 0, true
		}
		if emptyFor == 0 || wait < emptyFor {
			emptyFor = wait
		}
	}
	return LoanPlan{}, emptyFor, false
}

// PlanPrefetch plans a loan ahead of demand. It returns false if demand is low, if enough tokens are left, or
// if no slice can be asked.
func (c *TokenCache) PlanPrefetch(now time.Time, start int) (LoanPlan, bool) {
	c.decayDemand(now)
	if c.demand < minPrefetchDemand || len(c.slices) == 0 {
		return LoanPlan{}, false
	}
	if float64(c.available(now)) > c.demand*prefetchHorizon.Seconds()/2 {
		return LoanPlan{}, false
	}
	for i := range c.slices {
		n := (start + i) % len(c.slices)
		if !c.slices[n].prefetching && !c.slices[n].emptyUntil.After(now) {
			c.slices[n].prefetching = true
			return c.plan(now, n, 0), true
		}
	}
	return LoanPlan{}, false
}

func (c *TokenCache) plan(now time.Time, slice, need int) LoanPlan {
	c.dropExpired(now)
	s := &c.slices[slice]
	p := LoanPlan{Slice: slice, Need: need, Reports: s.reports}
	s.reports = nil
	p.Want = need
	if c.demand >= minPrefetchDemand {
		p.Want += int(c.demand * prefetchHorizon.Seconds())
	}
	return p
}

// dropExpired removes expired and empty batches. The lender expires those loans as well.
func (c *TokenCache) dropExpired(now time.Time) {
	kept := c.batches[:0]
	for _, b := range c.batches {
		if b.n > 0 && now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	c.batches = kept
}

func (c *TokenCache) available(now time.Time) int {
	n := 0
	for _, b := range c.batches {
		if now.Before(b.expires) {
			n += b.n
		}
	}
	return n
}

// Receive records the answer to a loan request sent at askedAt. It spends the needed token if the token
// arrives within its lifetime.
func (c *TokenCache) Receive(now, askedAt time.Time, terms Terms, plan LoanPlan, loan Loan) (Token, bool) {
	if plan.Slice >= len(c.slices) {
		return Token{}, false
	}
	s := &c.slices[plan.Slice]
	s.prefetching = false
	if loan.EmptyFor > 0 {
		s.emptyUntil = now.Add(loan.EmptyFor)
	}
	needed := min(plan.Need, loan.Granted)
	c.batches = append(c.batches, batch{plan.Slice, loan.Serial + 1, loan.Granted - needed, askedAt.Add(terms.LoanTTL)})
	if needed == 0 || !now.Before(askedAt.Add(terms.NeedTTL)) {
		return Token{}, false
	}
	s.reportFor(loan.Serial).Spent++
	return Token{plan.Slice, loan.Serial}, true
}

// RecordFailure records a loan request that was not answered. The slice's holder is not asked again before
// retry has passed. Any tokens that the lender granted are lost.
func (c *TokenCache) RecordFailure(now time.Time, plan LoanPlan, retry time.Duration) {
	if plan.Slice < len(c.slices) {
		c.slices[plan.Slice].prefetching = false
		c.slices[plan.Slice].emptyUntil = now.Add(retry)
	}
}

// Refund returns a token that was taken for a request that did not run. A token already reported to the
// lender as spent is lost.
func (c *TokenCache) Refund(token Token) {
	if token.Slice >= len(c.slices) {
		return
	}
	for i := range c.slices[token.Slice].reports {
		r := &c.slices[token.Slice].reports[i]
		if r.Serial == token.Serial && r.Spent > 0 {
			r.Spent--
			r.Returned++
			return
		}
	}
}
