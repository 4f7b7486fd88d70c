package lender_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// waitsMS are the steps by which the test advances its clock.
var waitsMS = []int{1, 1, 2, 5, 20, 90, 140, 400, 990}

var (
	terms = lender.Terms{LoanTTL: time.Second, NeedTTL: 100 * time.Millisecond, ClockMargin: 50 * time.Millisecond}
	epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
)

// message is a loan request on its way to the lender, or the answer on its way back.
type message struct {
	borrower int
	askedAt  time.Time
	plan     lender.LoanPlan
	loan     *lender.Loan
}

// referenceBucket is a token bucket with the account's rate and burst. Each spent token is deducted from it.
type referenceBucket struct {
	level float64
	at    time.Time
}

func (b *referenceBucket) spend(now time.Time, rate float64, burst int) bool {
	b.level = min(float64(burst), b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
	b.level--
	return b.level >= -1e-6
}

// TestNeverAboveRateAndBurst checks that several borrowers of one slice never spend more than its rate and
// burst allow. It runs random orders of demand, delays, lost requests and answers, and changes of the
// holder.
func TestNeverAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(20, 2000).Draw(t, "rate")
		burst := rapid.IntRange(1, 40).Draw(t, "burst")
		term := int64(1)
		now := epoch
		bucket := lender.NewBucket(now.Add(-time.Hour), term)
		caches := make([]lender.TokenCache, 3)
		for i := range caches {
			caches[i].Resize(1)
		}
		var inFlight []message
		spent := &referenceBucket{level: float64(burst), at: now}
		spend := func(t *rapid.T) {
			if !spent.spend(now, rate, burst) {
				t.Fatalf("spent tokens exceed rate %.1f and burst %d by %.2f tokens", rate, burst, -spent.level)
			}
		}
		take := func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "borrower")
			if token, ok := caches[i].Take(now); ok {
				if rapid.IntRange(0, 4).Draw(t, "did not run") == 0 {
					caches[i].Refund(token)
					return
				}
				spend(t)
				return
			}
			if plan, _, ok := caches[i].PlanNeed(now, 0); ok {
				inFlight = append(inFlight, message{borrower: i, askedAt: now, plan: plan})
			}
		}
		step := func(t *rapid.T) {
			if len(inFlight) == 0 {
				return
			}
			n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
			m := inFlight[n]
			inFlight = append(inFlight[:n:n], inFlight[n+1:]...)
			if rapid.IntRange(0, 9).Draw(t, "fate") == 0 {
				return
			}
			if m.loan != nil {
				if _, ok := caches[m.borrower].Receive(now, m.askedAt, terms, m.plan, *m.loan); ok {
					spend(t)
				}
				return
			}
			req := lender.LoanRequest{Need: m.plan.Need, Want: m.plan.Want, Reports: m.plan.Reports}
			loan := bucket.Lend(now, rate, burst, terms, req)
			m.loan = &loan
			inFlight = append(inFlight, m)
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": take, "take again": take, "take more": take,
			"step": step, "step again": step, "step more": step,
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom(waitsMS).Draw(t, "ms")) * time.Millisecond)
			},
			"new holder": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "rare") == 0 {
					now = now.Add(terms.LoanTTL + terms.ClockMargin)
					term++
					bucket = lender.NewBucket(now, term)
				}
			},
		})
	})
}

// TestShare checks that the slices of an account add up to its declared rate and burst.
func TestShare(t *testing.T) {
	for _, burst := range []int{1, 15, 16, 33, 100, 1000, 12345} {
		t.Run(fmt.Sprint(burst), func(t *testing.T) {
			rates, bursts := 0.0, 0
			for i := range lender.Slices(burst) {
				r, b := lender.Share(80, burst, i)
				rates += r
				bursts += b
			}
			assert.Equal(t, rates, 80.0)
			assert.Equal(t, bursts, burst)
		})
	}
}

// TestLoansCountAgainstBurst checks that a loan counts against the burst until it has expired or has been
// reported as spent or returned. The slice has a rate of 10/s and a burst of 10.
func TestLoansCountAgainstBurst(t *testing.T) {
	type step struct {
		// at is in milliseconds from the start.
		at   int
		req  lender.LoanRequest
		want int
	}
	all := lender.LoanRequest{Need: 10, Want: 10}
	report := func(serial int64, spent, returned int) lender.LoanRequest {
		return lender.LoanRequest{Need: 10, Reports: []lender.Report{{Serial: serial, Spent: spent, Returned: returned}}}
	}
	first := int64(1) << 32
	cases := []struct {
		name  string
		steps []step
	}{
		{"a loan fills no room before it has expired", []step{{0, all, 10}, {140, all, 0}, {160, all, 0}, {1140, all, 9}}},
		{"a spent loan makes room at once", []step{{0, all, 10}, {100, report(first, 10, 0), 0}, {600, all, 5}}},
		{"a returned loan is there at once", []step{{0, all, 10}, {100, report(first, 0, 4), 4}}},
		{"a late report frees no other loan", []step{
			{0, lender.LoanRequest{Need: 5}, 5},
			{160, lender.LoanRequest{Need: 5}, 5},
			{161, report(first, 5, 0), 0},
			{162, report(first, 0, 5), 0},
		}},
		{"a report on another term changes nothing", []step{{0, all, 10}, {10, report(5, 10, 0), 0}, {140, report(5, 0, 10), 0}}},
		{"nobody returns more than was lent", []step{{0, lender.LoanRequest{Need: 4}, 4}, {1, report(first, 0, 100), 10}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := lender.NewBucket(epoch.Add(-time.Hour), 1)
			for _, s := range c.steps {
				now := epoch.Add(time.Duration(s.at) * time.Millisecond)
				assert.Equal(t, b.Lend(now, 10, 10, terms, s.req).Granted, s.want, "at %d ms", s.at)
			}
		})
	}
}
