package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/estimator"
	"gotest.tools/v3/assert"
)

// routeLoad is the load of one route in a replayed mix.
type routeLoad struct {
	route  string
	rate   float64
	hold   time.Duration
	callee string
	calls  int
}

type event struct {
	at    time.Duration
	apply func(time.Time)
}

// replay runs a mix of requests for the given time and returns the learned costs.
func replay(e *estimator.Estimator, from time.Time, span time.Duration, mix []routeLoad, rng *rand.Rand) map[string]estimator.RouteCosts {
	var events []event
	for _, l := range mix {
		for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)) {
			events = append(events, event{at, func(now time.Time) { e.RecordStart(now, l.route) }})
			for i := range l.calls {
				step := l.hold * time.Duration(i+1) / time.Duration(l.calls+1)
				events = append(events, event{at + step, func(now time.Time) { e.RecordCall(now, l.callee) }})
			}
			events = append(events, event{at + l.hold, func(now time.Time) { e.RecordEnd(now, l.route) }})
		}
	}
	sortByTime(events)
	next := time.Second
	for _, o := range events {
		// A node reads the costs once per second.
		for ; next < o.at; next += time.Second {
			e.RouteCosts(from.Add(next))
		}
		o.apply(from.Add(o.at))
	}
	costs := map[string]estimator.RouteCosts{}
	for _, r := range e.RouteCosts(from.Add(span)) {
		costs[r.Route] = r
	}
	return costs
}

func sortByTime(events []event) {
	for i := 1; i < len(events); i++ {
		for j := i; j > 0 && events[j].at < events[j-1].at; j-- {
			events[j], events[j-1] = events[j-1], events[j]
		}
	}
}

// TestCallsAreAttributed replays a target that runs a route with calls and one without. The two can only be
// distinguished by the times at which their requests run.
func TestCallsAreAttributed(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 1))
	mix := []routeLoad{
		{route: "ink", rate: 40, hold: 130 * time.Millisecond, callee: "shop", calls: 4},
		{route: "stock", rate: 15, hold: 300 * time.Millisecond},
	}
	var e estimator.Estimator
	costs := replay(&e, time.Unix(1_800_000_000, 0), 30*time.Second, mix, rng)
	ink, stock := costs["ink"].Calls["shop"], costs["stock"].Calls["shop"]
	// An error of a quarter is acceptable, because the regulator corrects the admitted load.
	assert.Assert(t, math.Abs(ink-4) < 1, "a request of ink makes 4 calls, learned %.2f", ink)
	assert.Assert(t, stock == 0, "a request of stock makes none, learned %.2f", stock)
	assert.Assert(t, math.Abs(costs["stock"].HoldTime.Seconds()-0.3) < 0.03, "hold %v", costs["stock"].HoldTime)
}

// TestChangedPattern checks that calls are learned for a route that starts to make them.
func TestChangedPattern(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 2))
	from := time.Unix(1_800_000_000, 0)
	var e estimator.Estimator
	replay(&e, from, 20*time.Second, []routeLoad{{route: "order", rate: 30, hold: 100 * time.Millisecond}}, rng)
	costs := replay(&e, from.Add(21*time.Second), 20*time.Second,
		[]routeLoad{{route: "order", rate: 30, hold: 100 * time.Millisecond, callee: "shop", calls: 2}}, rng)
	assert.Assert(t, costs["order"].Calls["shop"] > 1.4, "learned %.2f of 2", costs["order"].Calls["shop"])
}

// TestNoRequestRunning checks that a call is not attributed while the target runs no request.
func TestNoRequestRunning(t *testing.T) {
	var e estimator.Estimator
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !e.RecordCall(now, "shop"))
	e.RecordStart(now, "ink")
	assert.Assert(t, e.RecordCall(now, "shop"))
	e.RecordEnd(now, "ink")
	assert.Assert(t, !e.RecordCall(now, "shop"))
}

// TestRestore checks that calls are attributed correctly from the first requests after a restart of the node if the
// costs of the previous process are restored. Without them, calls are distributed by running time.
func TestRestore(t *testing.T) {
	mix := []routeLoad{
		{route: "catalogue", rate: 40, hold: 400 * time.Millisecond, callee: "profile", calls: 2},
		{route: "stock", rate: 40, hold: 400 * time.Millisecond},
	}
	var e estimator.Estimator
	from := time.Unix(1_800_000_000, 0)
	e.Restore(from, []estimator.RouteCosts{
		{Route: "catalogue", HoldTime: 400 * time.Millisecond, Calls: map[string]float64{"profile": 2}},
		{Route: "stock", HoldTime: 400 * time.Millisecond},
	})
	costs := replay(&e, from, 1500*time.Millisecond, mix, rand.New(rand.NewPCG(1, 2)))
	assert.Assert(t, math.Abs(costs["catalogue"].Calls["profile"]-2) < 0.5, "%v", costs["catalogue"])
	assert.Equal(t, costs["stock"].Calls["profile"], 0.0)
}
