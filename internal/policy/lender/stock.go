package lender

import "time"

// demandHalfLife is the time after which past demand counts half.
const demandHalfLife = 200 * time.Millisecond

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
func (v *sliceState) reportFor(serial int64) *Report {
	for i := range v.reports {
		if v.reports[i].Serial == serial {
			return &v.reports[i]
		}
	}
	if len(v.reports) == maxReports {
		v.reports = v.reports[1:]
	}
	v.reports = append(v.reports, Report{Serial: serial})
	return &v.reports[len(v.reports)-1]
}

// Resize adapts the stock to the account's number of slices. If that has changed, all tokens are
// discarded.
func (s *TokenCache) Resize(n int) {
	if len(s.slices) != n {
		s.slices = make([]sliceState, n)
		s.batches = nil
	}
}

// Token identifies a token that was spent, so that it can be given back.
type Token struct {
	Slice  int
	Serial int64
}

// Take spends one token if one is available.
func (s *TokenCache) Take(now time.Time) (Token, bool) {
	s.recordDemand(now)
	for i := range s.batches {
		b := &s.batches[i]
		if b.n > 0 && now.Before(b.expires) {
			b.n--
			s.slices[b.slice].reportFor(b.serial).Spent++
			return Token{b.slice, b.serial}, true
		}
	}
	return Token{}, false
}

// recordDemand adds one request to the moving average of the demand.
func (s *TokenCache) recordDemand(now time.Time) {
	s.decayDemand(now)
	s.demand += 1 / demandHalfLife.Seconds()
}

func (s *TokenCache) decayDemand(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	dt := now.Sub(s.decayedAt)
	if dt <= 0 {
		return
	}
	s.demand /= 1 + dt.Seconds()/demandHalfLife.Seconds()
	s.decayedAt = now
}

// Plan is a loan to request.
type Plan struct {
	Slice   int
	Need    int
	Want    int
	Reports []Report
}

// PlanNeed plans the loan of one token that a request waits for. It searches the slices from start on, so
// that different nodes can begin with different slices. If all slices are known to be empty, it returns
// false and the shortest time until one is expected to have a token.
func (s *TokenCache) PlanNeed(now time.Time, start int) (plan Plan, emptyFor time.Duration, ok bool) {
	for i := range s.slices {
		n := (start + i) % len(s.slices)
		wait := s.slices[n].emptyUntil.Sub(now)
		if wait <= 0 {
			return s.plan(now, n, 1), 0, true
		}
		if emptyFor == 0 || wait < emptyFor {
			emptyFor = wait
		}
	}
	return Plan{}, emptyFor, false
}

// PlanPrefetch plans a loan ahead of demand. It returns false if demand is low, if enough tokens are left, or
// if no slice can be asked.
func (s *TokenCache) PlanPrefetch(now time.Time, start int) (Plan, bool) {
	s.decayDemand(now)
	if s.demand < minPrefetchDemand || len(s.slices) == 0 {
		return Plan{}, false
	}
	if float64(s.available(now)) > s.demand*prefetchHorizon.Seconds()/2 {
		return Plan{}, false
	}
	for i := range s.slices {
		n := (start + i) % len(s.slices)
		if !s.slices[n].prefetching && !s.slices[n].emptyUntil.After(now) {
			s.slices[n].prefetching = true
			return s.plan(now, n, 0), true
		}
	}
	return Plan{}, false
}

func (s *TokenCache) plan(now time.Time, slice, need int) Plan {
	s.dropExpired(now)
	v := &s.slices[slice]
	p := Plan{Slice: slice, Need: need, Reports: v.reports}
	v.reports = nil
	p.Want = need
	if s.demand >= minPrefetchDemand {
		p.Want += int(s.demand * prefetchHorizon.Seconds())
	}
	return p
}

// dropExpired removes expired and empty batches. The lender expires those loans as well.
func (s *TokenCache) dropExpired(now time.Time) {
	kept := s.batches[:0]
	for _, b := range s.batches {
		if b.n > 0 && now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	s.batches = kept
}

func (s *TokenCache) available(now time.Time) int {
	n := 0
	for _, b := range s.batches {
		if now.Before(b.expires) {
			n += b.n
		}
	}
	return n
}

// Receive records the answer to a loan request sent at askedAt. It spends the needed token if that
// arrives within its lifetime.
func (s *TokenCache) Receive(now, askedAt time.Time, terms Terms, plan Plan, loan Loan) (Token, bool) {
	if plan.Slice >= len(s.slices) {
		return Token{}, false
	}
	v := &s.slices[plan.Slice]
	v.prefetching = false
	if loan.EmptyFor > 0 {
		v.emptyUntil = now.Add(loan.EmptyFor)
	}
	needed := min(plan.Need, loan.Granted)
	s.batches = append(s.batches, batch{plan.Slice, loan.Serial + 1, loan.Granted - needed, askedAt.Add(terms.LoanTTL)})
	if needed == 0 || !now.Before(askedAt.Add(terms.NeedTTL)) {
		return Token{}, false
	}
	v.reportFor(loan.Serial).Spent++
	return Token{plan.Slice, loan.Serial}, true
}

// RecordFailure records a loan request that was not answered; the slice is not asked again before retry has
// passed. Any tokens that the lender granted are lost.
func (s *TokenCache) RecordFailure(now time.Time, plan Plan, retry time.Duration) {
	if plan.Slice < len(s.slices) {
		s.slices[plan.Slice].prefetching = false
		s.slices[plan.Slice].emptyUntil = now.Add(retry)
	}
}

// Refund returns a token that was taken for a request that did not run. A token already reported to the
// lender as spent is lost.
func (s *TokenCache) Refund(token Token) {
	if token.Slice >= len(s.slices) {
		return
	}
	for i := range s.slices[token.Slice].reports {
		r := &s.slices[token.Slice].reports[i]
		if r.Serial == token.Serial && r.Spent > 0 {
			r.Spent--
			r.Returned++
			return
		}
	}
}
