package lender

import "time"

// demandHalfLife is the time after which past demand counts half.
const demandHalfLife = 200 * time.Millisecond

// prefetch is how much demand ahead a borrower asks for.
const prefetch = 100 * time.Millisecond

// idle is the demand below which nothing is borrowed ahead, in tokens per second.
const idle = 20.0

// Stock is a borrower's tokens of one account. It is not safe for concurrent use.
type Stock struct {
	lots   []lot
	slices []sliceView
	// demand is in tokens per second.
	demand float64
	at     time.Time
}

type lot struct {
	slice   int
	serial  int64
	n       int
	expires time.Time
}

type sliceView struct {
	dryUntil time.Time
	reports  []Report
	asked    bool
}

// maxReports bounds the reports that wait for the next loan.
const maxReports = 256

// report returns the entry for a loan. Reports beyond the bound are dropped, oldest first: the lender
// then counts those loans until they expire.
func (v *sliceView) report(serial int64) *Report {
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

// Resize adapts to the number of slices of the account.
func (s *Stock) Resize(n int) {
	if len(s.slices) != n {
		s.slices = make([]sliceView, n)
		s.lots = nil
	}
}

// Token is one token that was spent. It can be given back.
type Token struct {
	Slice  int
	Serial int64
}

// Take spends one token if there is any.
func (s *Stock) Take(now time.Time) (Token, bool) {
	s.note(now)
	for i := range s.lots {
		l := &s.lots[i]
		if l.n > 0 && now.Before(l.expires) {
			l.n--
			s.slices[l.slice].report(l.serial).Spent++
			return Token{l.slice, l.serial}, true
		}
	}
	return Token{}, false
}

// note counts one demand in the decaying rate.
func (s *Stock) note(now time.Time) {
	s.decay(now)
	s.demand += 1 / demandHalfLife.Seconds()
}

func (s *Stock) decay(now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	dt := now.Sub(s.at)
	if dt <= 0 {
		return
	}
	s.demand /= 1 + dt.Seconds()/demandHalfLife.Seconds()
	s.at = now
}

// Plan is a loan to ask for.
type Plan struct {
	Slice   int
	Need    int
	Want    int
	Reports []Report
}

// PlanNeed picks the slice to ask for one token that a request waits for, starting the search at a
// slice so that nodes differ. It fails when all slices are known to be dry, and says until when.
func (s *Stock) PlanNeed(now time.Time, start int) (plan Plan, dry time.Duration, ok bool) {
	for i := range s.slices {
		n := (start + i) % len(s.slices)
		wait := s.slices[n].dryUntil.Sub(now)
		if wait <= 0 {
			return s.plan(now, n, 1), 0, true
		}
		if dry == 0 || wait < dry {
			dry = wait
		}
	}
	return Plan{}, dry, false
}

// PlanAhead picks a slice to borrow from ahead of demand.
func (s *Stock) PlanAhead(now time.Time, start int) (Plan, bool) {
	s.decay(now)
	if s.demand < idle || len(s.slices) == 0 {
		return Plan{}, false
	}
	if float64(s.held(now)) > s.demand*prefetch.Seconds()/2 {
		return Plan{}, false
	}
	for i := range s.slices {
		n := (start + i) % len(s.slices)
		if !s.slices[n].asked && !s.slices[n].dryUntil.After(now) {
			s.slices[n].asked = true
			return s.plan(now, n, 0), true
		}
	}
	return Plan{}, false
}

func (s *Stock) plan(now time.Time, slice, need int) Plan {
	s.drop(now)
	v := &s.slices[slice]
	p := Plan{Slice: slice, Need: need, Reports: v.reports}
	v.reports = nil
	p.Want = need
	if s.demand >= idle {
		p.Want += int(s.demand * prefetch.Seconds())
	}
	return p
}

// drop forgets expired lots; the lender has expired them too.
func (s *Stock) drop(now time.Time) {
	kept := s.lots[:0]
	for _, l := range s.lots {
		if l.n > 0 && now.Before(l.expires) {
			kept = append(kept, l)
		}
	}
	s.lots = kept
}

func (s *Stock) held(now time.Time) int {
	n := 0
	for _, l := range s.lots {
		if now.Before(l.expires) {
			n += l.n
		}
	}
	return n
}

// Receive books a loan that was asked for at askedAt. It spends the needed token if that has come in
// time.
func (s *Stock) Receive(now, askedAt time.Time, terms Terms, plan Plan, loan Loan) (Token, bool) {
	if plan.Slice >= len(s.slices) {
		return Token{}, false
	}
	v := &s.slices[plan.Slice]
	v.asked = false
	if loan.Dry > 0 {
		v.dryUntil = now.Add(loan.Dry)
	}
	needed := min(plan.Need, loan.Granted)
	s.lots = append(s.lots, lot{plan.Slice, loan.Serial + 1, loan.Granted - needed, askedAt.Add(terms.Loan)})
	if needed == 0 || !now.Before(askedAt.Add(terms.Need)) {
		return Token{}, false
	}
	v.report(loan.Serial).Spent++
	return Token{plan.Slice, loan.Serial}, true
}

// Failed books a loan that was not answered. Whatever was granted is lost.
func (s *Stock) Failed(now time.Time, plan Plan, retry time.Duration) {
	if plan.Slice < len(s.slices) {
		s.slices[plan.Slice].asked = false
		s.slices[plan.Slice].dryUntil = now.Add(retry)
	}
}

// GiveBack returns a token that was taken for a request that did not run after all. A token whose
// spending was already reported is lost.
func (s *Stock) GiveBack(token Token) {
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
