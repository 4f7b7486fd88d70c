package attendant

import (
	"math"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/flowplanner"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"gotest.tools/v3/assert"
)

// TestFlowInputs guards against demand that counts wrongly: what admission refuses does not count, child calls count in
// full, a split route counts by weight, and a data centre without sums or with old ones gets no requests.
func TestFlowInputs(t *testing.T) {
	route := func(name string, parts ...matcher.Part) matcher.Route { return matcher.Route{Name: name, Parts: parts} }
	in := flowInputs{
		table: &matcher.Table{Config: matcher.Config{Routes: []matcher.Route{
			route("read", matcher.Part{Service: "x", Weight: 3}, matcher.Part{Service: "y", Weight: 1}), route("call", matcher.Part{Service: "x", Weight: 1}),
		}}},
		demand: []tracker.DataCentreDemand{
			{DataCentre: "a", Rows: []tracker.DemandRow{{Route: "read", Rank: 2, Rate: 100}, {Route: "call", Rank: -1, Rate: 40}, {Route: "unknown", Rank: 1, Rate: 9}}},
			{DataCentre: "b", AgeMs: 3100, Rows: []tracker.DemandRow{{Route: "call", Rank: -1, Rate: 10}}},
		},
		costs: map[string]allocator.RouteCosts{"read": {HoldSeconds: 0.1}, "call": {HoldSeconds: 0.05}},
		capacities: map[string][]tracker.DataCentreCapacity{
			"x": {{DataCentre: "a", Slots: 10}, {DataCentre: "b", Slots: 20}, {DataCentre: "c", Slots: 5}},
		},
		fraction: func(c allocator.Class) float64 { return 0.5 },
		kb:       func(string) float64 { return 2 },
	}
	services := in.services()
	assert.Equal(t, len(services), 1)
	x := services[0]
	want := []flowplanner.DataCentre{{Name: "a", Demand: 100*0.5*0.75*0.1 + 40*0.05, Capacity: 10}, {Name: "b", Demand: 0.5, Capacity: 20, Stale: true}, {Name: "c", Capacity: 5, Stale: true}}
	for i, d := range x.DataCentres {
		assert.Assert(t, math.Abs(d.Demand-want[i].Demand) < 1e-6, "%+v", d)
		d.Demand = want[i].Demand
		assert.Equal(t, d, want[i])
	}
	assert.Equal(t, x.KB, 2.0)
	assert.Assert(t, x.HoldTime > 50*time.Millisecond && x.HoldTime < 100*time.Millisecond, "%v", x.HoldTime)
}
