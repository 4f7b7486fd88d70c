package attributor_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/attributor"
	"gotest.tools/v3/assert"
)

// load is one route of a replayed mix.
type load struct {
	route  string
	rate   float64
	hold   time.Duration
	callee string
	calls  int
}

type occurrence struct {
	at   time.Duration
	what func(time.Time)
}

// replay lets a target run a mix for a time and returns what was learnt.
func replay(a *attributor.Attributor, from time.Time, span time.Duration, mix []load, rng *rand.Rand) map[string]attributor.Row {
	var list []occurrence
	for _, l := range mix {
		for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)) {
			list = append(list, occurrence{at, func(now time.Time) { a.Started(now, l.route) }})
			for i := range l.calls {
				step := l.hold * time.Duration(i+1) / time.Duration(l.calls+1)
				list = append(list, occurrence{at + step, func(now time.Time) { a.Called(now, l.callee) }})
			}
			list = append(list, occurrence{at + l.hold, func(now time.Time) { a.Ended(now, l.route) }})
		}
	}
	sortByTime(list)
	next := time.Second
	for _, o := range list {
		// Rows are asked for each second, as in a node.
		for ; next < o.at; next += time.Second {
			a.Rows(from.Add(next))
		}
		o.what(from.Add(o.at))
	}
	rows := map[string]attributor.Row{}
	for _, r := range a.Rows(from.Add(span)) {
		rows[r.Route] = r
	}
	return rows
}

func sortByTime(list []occurrence) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && list[j].at < list[j-1].at; j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// TestCallsAreAttributed replays a target that runs a route with calls beside one without, which nothing
// tells apart but when their requests run.
func TestCallsAreAttributed(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 1))
	mix := []load{
		{route: "ink", rate: 40, hold: 130 * time.Millisecond, callee: "shop", calls: 4},
		{route: "stock", rate: 15, hold: 300 * time.Millisecond},
	}
	var a attributor.Attributor
	rows := replay(&a, time.Unix(1_800_000_000, 0), 30*time.Second, mix, rng)
	ink, stock := rows["ink"].Calls["shop"], rows["stock"].Calls["shop"]
	// Costs may be a quarter off: the trim of what is let in makes that good.
	assert.Assert(t, math.Abs(ink-4) < 1, "a request of ink makes 4 calls, learnt %.2f", ink)
	assert.Assert(t, stock == 0, "a request of stock makes none, learnt %.2f", stock)
	assert.Assert(t, math.Abs(rows["stock"].Hold.Seconds()-0.3) < 0.03, "hold %v", rows["stock"].Hold)
}

// TestPatternMayChange checks that a route that begins to call is noticed.
func TestPatternMayChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 2))
	from := time.Unix(1_800_000_000, 0)
	var a attributor.Attributor
	replay(&a, from, 20*time.Second, []load{{route: "order", rate: 30, hold: 100 * time.Millisecond}}, rng)
	rows := replay(&a, from.Add(21*time.Second), 20*time.Second,
		[]load{{route: "order", rate: 30, hold: 100 * time.Millisecond, callee: "shop", calls: 2}}, rng)
	assert.Assert(t, rows["order"].Calls["shop"] > 1.4, "learnt %.2f of 2", rows["order"].Calls["shop"])
}

// TestNobodyRuns checks that a request is not taken for a call while the target runs nothing.
func TestNobodyRuns(t *testing.T) {
	var a attributor.Attributor
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !a.Called(now, "shop"))
	a.Started(now, "ink")
	assert.Assert(t, a.Called(now, "shop"))
	a.Ended(now, "ink")
	assert.Assert(t, !a.Called(now, "shop"))
}

// TestRecall checks that a target whose node has just started is understood from its first requests on, where
// an earlier process had learnt who makes the calls. Without that the calls are shared by time of running.
func TestRecall(t *testing.T) {
	mix := []load{
		{route: "catalogue", rate: 40, hold: 400 * time.Millisecond, callee: "profile", calls: 2},
		{route: "stock", rate: 40, hold: 400 * time.Millisecond},
	}
	var a attributor.Attributor
	from := time.Unix(1_800_000_000, 0)
	a.Recall(from, []attributor.Row{
		{Route: "catalogue", Hold: 400 * time.Millisecond, Calls: map[string]float64{"profile": 2}},
		{Route: "stock", Hold: 400 * time.Millisecond},
	})
	rows := replay(&a, from, 1500*time.Millisecond, mix, rand.New(rand.NewPCG(1, 2)))
	assert.Assert(t, math.Abs(rows["catalogue"].Calls["profile"]-2) < 0.5, "%v", rows["catalogue"])
	assert.Equal(t, rows["stock"].Calls["profile"], 0.0)
}
