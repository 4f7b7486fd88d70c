package runner_test

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"gotest.tools/v3/assert"
)

// spendRecorder stores the time at which a request's rate token was taken in the *time.Time that the
// request's context holds under spentKey.
type spendRecorder struct{ broker.RateLimiter }

type spentKey struct{}

func (s spendRecorder) Take(ctx context.Context, account reducer.Account) (lender.Token, time.Duration, error) {
	token, retryAfter, err := s.RateLimiter.Take(ctx, account)
	if at, ok := ctx.Value(spentKey{}).(*time.Time); ok && at != nil && err == nil {
		*at = time.Now()
	}
	return token, retryAfter, err
}

// maxExcess returns the largest excess of the number of times in any time window over rate x time + burst.
func maxExcess(times []time.Time, rate float64, burst int) float64 {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	level, largest := float64(burst), math.Inf(-1)
	for i, at := range times {
		if i > 0 {
			level = min(float64(burst), level+rate*at.Sub(times[i-1]).Seconds())
		}
		level--
		largest = max(largest, -level)
	}
	return largest
}

// replyCounts counts the replies to one client account.
type replyCounts struct {
	mu                               sync.Mutex
	sent, served, rateLimited, other int
	// admitted holds the times at which the tokens of requests that may have run were taken.
	admitted []time.Time
}

func (c *replyCounts) add(r broker.Reply, spent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if r.Outcome != retrier.NotRun {
		c.admitted = append(c.admitted, spent)
	}
	switch {
	case ran(r):
		c.served++
	case r.Code == broker.CodeRateExceeded:
		c.rateLimited++
	default:
		c.other++
	}
}

// offerLoad sends an account's requests at a constant rate through the entry nodes in turn.
func (sim *simulation) offerLoad(wg *sync.WaitGroup, key string, rate float64, duration time.Duration, entries ...string) *replyCounts {
	c := &replyCounts{}
	wg.Go(func() {
		interval := time.Duration(float64(time.Second) / rate)
		for i := range int(rate * duration.Seconds()) {
			entry := entries[i%len(entries)]
			if sim.alive(entry) {
				wg.Go(func() {
					var spent time.Time
					r := sim.readRecordingSpend(&spent, entry, key)
					c.add(r, spent)
				})
			}
			time.Sleep(interval)
		}
	})
	return c
}

// holder returns the VM that holds the slot of an account's first slice.
func (sim *simulation) holder(account string) string {
	return vmOf(sim.vms["a1"].Follower.State().RateSlots[reducer.RateSlotOf(account, 0)].Holder)
}

// TestRateBound sends the requests of a large account at five times its rate through two nodes, and those
// of a small account within its rate through all nodes. It injects a fault at the holder of the small
// account's slot. No time window may exceed rate and burst. In the cases in which the holder stays reachable
// by its peers, at most 0.1 % of the small account's requests may be rate-limited.
func TestRateBound(t *testing.T) {
	platformDown := func(sim *simulation) { sim.log.update(func(f *fakeLog) { f.down = true }) }
	cases := []struct {
		name  string
		fault func(sim *simulation, holder string)
		// maxRefusedShare is the maximum share of requests within the rate that may be refused.
		maxRefusedShare float64
	}{
		{"no fault", func(*simulation, string) {}, 0.001},
		{"platform down", func(sim *simulation, _ string) { platformDown(sim) }, 0.001},
		{"holder cut off from the platform", func(sim *simulation, h string) { sim.cut(h, "platform") }, 0.001},
		{"holder stopped gracefully", func(sim *simulation, h string) { sim.stop(h) }, 1},
		{"holder killed", func(sim *simulation, h string) { sim.kill(h) }, 1},
		{"holder killed and started again", func(sim *simulation, h string) {
			sim.kill(h)
			sim.start(h, h[:1], sim.vms[h].service)
		}, 1},
		{"holder paused past its fence and woken", func(sim *simulation, h string) {
			sim.pause(h)
			time.Sleep(12 * time.Second)
			sim.resume(h)
		}, 1},
		{"holder cut off from its peers", func(sim *simulation, h string) { sim.isolate(h) }, 1},
		{"holder cut off from peers and platform, then healed", func(sim *simulation, h string) {
			sim.isolate(h)
			sim.cut(h, "platform")
			time.Sleep(12 * time.Second)
			sim.heal(h, "platform")
			for name := range sim.vms {
				sim.heal(h, name)
			}
		}, 1},
		{"holder killed with the platform down", func(sim *simulation, h string) { platformDown(sim); sim.kill(h) }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				sim.startFleet()
				var wg sync.WaitGroup
				const duration = 30 * time.Second
				large := sim.offerLoad(&wg, "large-key", 80, duration, "a1", "a1", "c2")
				small := sim.offerLoad(&wg, "small-key", 8, duration, "a1", "a2", "b1", "b2", "c1", "c2")
				time.Sleep(5 * time.Second)
				c.fault(sim, sim.holder("small"))
				wg.Wait()
				exceeded := max(maxExcess(large.admitted, 16, 20), maxExcess(small.admitted, 10, 5))
				assert.Assert(t, exceeded <= 1e-6, "a time window exceeds rate and burst by %.3f", exceeded)
				share := float64(small.rateLimited) / float64(small.sent)
				t.Logf("large: admitted/(rate x time + burst) %.3f; small: sent %d ran %d rate-limited %d other %d",
					float64(len(large.admitted))/(16*duration.Seconds()+20), small.sent, small.served, small.rateLimited, small.other)
				assert.Assert(t, share <= c.maxRefusedShare, "%d of %d requests within the rate refused", small.rateLimited, small.sent)
			})
		})
	}
}
