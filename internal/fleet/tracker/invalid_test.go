package tracker_test

import (
	"math"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// TestInvalidReports guards against one malformed report that makes sums over the fleet meaningless, and with them the
// admission of all nodes that have received it.
func TestInvalidReports(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for name, change := range map[string]func(*tracker.Report){
		"load":            func(r *tracker.Report) { r.Load = nan },
		"negative load":   func(r *tracker.Report) { r.Load = -1 },
		"correction":      func(r *tracker.Report) { r.Correction = inf },
		"failure rate":    func(r *tracker.Report) { r.FailureRate = nan },
		"demand":          func(r *tracker.Report) { r.Demand = map[string]float32{"x": nan} },
		"negative demand": func(r *tracker.Report) { r.Demand = map[string]float32{"x": -1000} },
		"hold time":       func(r *tracker.Report) { r.RouteCosts = []tracker.RouteCosts{{Route: "r", HoldMs: inf}} },
		"calls": func(r *tracker.Report) {
			r.RouteCosts = []tracker.RouteCosts{{Route: "r", Calls: map[string]float32{"c": nan}}}
		},
		"negative slots":   func(r *tracker.Report) { r.Limit = -5 },
		"negative running": func(r *tracker.Report) { r.Running = -5 },
		"huge slots":       func(r *tracker.Report) { r.Limit = math.MaxInt },
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTracker()
			now := time.Now()
			good := tracker.Report{Node: "near", Started: 1, Sequence: 1, Target: "i-near", Limit: 9, Up: true, Load: 0.5, Correction: 1}
			assert.Assert(t, tr.ApplyReport(now, &good))
			bad := good
			bad.Sequence = 2
			change(&bad)
			assert.Assert(t, !tr.ApplyReport(now, &bad))
			assert.DeepEqual(t, tr.Services(now)["x"], tracker.Service{Slots: 9, Load: 0.5, Correction: 1})
		})
	}
}

// TestInvalidUsages checks the same for the use of rate limits.
func TestInvalidUsages(t *testing.T) {
	for _, u := range []tracker.AccountUsage{
		{Account: "shop", Admitted: float32(math.NaN())},
		{Account: "shop", Demand: float32(math.Inf(1))},
		{Account: "shop", Admitted: -1},
		{Account: "shop", Demand: -1},
	} {
		assert.Assert(t, !u.Valid(), "%v", u)
	}
	assert.Assert(t, (&tracker.AccountUsage{Account: "shop", Admitted: 3, Demand: 2.5}).Valid())
}
