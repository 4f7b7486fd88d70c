package gateway_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/flowplanner"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"gotest.tools/v3/assert"
)

// uneven returns a service of which the data centre dc has twice the demand that its targets hold.
func uneven() []flowplanner.Service {
	return []flowplanner.Service{{Name: "x", HoldTime: 30 * time.Millisecond, DataCentres: []flowplanner.DataCentre{
		{Name: "dc", Demand: 150, Capacity: 100}, {Name: "far", Demand: 20, Capacity: 200},
	}}}
}

// plan applies the plan until the flows have risen.
func plan(f *gateway.Flows, disabled bool) {
	now := time.Now()
	for range 20 {
		now = now.Add(flowplanner.Interval)
		f.Update(now, "dc", uneven(), nil, disabled)
	}
}

// TestProportionalOverNodes guards against nodes that all send the same request away: over 90 nodes with few requests
// each, the fraction must be that of the plan.
func TestProportionalOverNodes(t *testing.T) {
	const nodes, requests = 90, 5
	left, fraction := 0, 0.0
	atOnce := 0
	for range nodes {
		f := &gateway.Flows{}
		plan(f, false)
		fraction = f.Current("x")[0].Fraction
		for n := range requests {
			if f.Select("x") != "far" {
				continue
			}
			left++
			if n == 0 {
				atOnce++
			}
		}
	}
	got := float64(left) / (nodes * requests)
	t.Logf("fraction %.3f, sent %.3f, with the first request %d of %d nodes", fraction, got, atOnce, nodes)
	assert.Assert(t, math.Abs(got-fraction) < 0.06)
	assert.Assert(t, atOnce > 0 && atOnce < nodes)

	f := &gateway.Flows{}
	plan(f, true)
	assert.Equal(t, f.Select("x"), "", "the plan is turned off")
	plan(f, false)
	assert.Equal(t, testing.AllocsPerRun(100, func() { f.Select("x") }), 0.0)
}

// addFar adds targets in another data centre.
func (f *fixture) addFar(n int) {
	for i := range n {
		f.gateway.Tracker.SetMember(tracker.Member{Node: fmt.Sprint("far", i), DataCentre: "far", Service: "x", Target: "i", Slots: 10, State: tracker.Ready})
	}
}

// TestPlannedPlacement guards against requests that ignore the plan, and against requests that are lost when the selected
// data centre has no target.
func TestPlannedPlacement(t *testing.T) {
	for _, farTargets := range []int{2, 0} {
		f := newFixture(t, ok())
		f.addFar(farTargets)
		plan(&f.gateway.Flows, false)
		fraction := f.gateway.Flows.Current("x")[0].Fraction
		left := 0
		for range 100 {
			assert.Equal(t, f.send("GET", "/read/", "key", nil).Code, 200)
		}
		for _, node := range f.sender.nodes {
			if strings.HasPrefix(node, "far") {
				left++
			}
		}
		if farTargets == 0 {
			fraction = 0
		}
		assert.Assert(t, math.Abs(float64(left)/100-fraction) < 0.03, "%d, fraction %v", left, fraction)
		name := `requests_left_data_centre_total{service="x",reason="plan"}`
		assert.Equal(t, int(f.gateway.Metrics.Set.GetOrCreateCounter(name).Get()), left)
	}
}

// TestRetryElsewhere guards against retries in a data centre whose targets fail together, while one failing target alone
// does not send requests away.
func TestRetryElsewhere(t *testing.T) {
	for _, c := range []struct {
		suspect int
		want    string
	}{{2, "far"}, {0, "n"}} {
		f := newFixture(t, transporter.UnknownAnswer("connection-broke"), ok())
		f.addFar(2)
		for i := range c.suspect {
			f.gateway.Tracker.MarkUnreachable(fmt.Sprint("n", i))
		}
		assert.Equal(t, f.send("GET", "/read/", "key", nil).Code, 200)
		assert.Equal(t, len(f.sender.nodes), 2)
		assert.Assert(t, strings.HasPrefix(f.sender.nodes[0], "n"))
		assert.Assert(t, strings.HasPrefix(f.sender.nodes[1], c.want), "%v", f.sender.nodes)

		f = newFixture(t, transporter.UnknownAnswer("connection-broke"), ok())
		f.addFar(2)
		assert.Equal(t, f.send("POST", "/order/", "key", nil).Code, 502)
		assert.Equal(t, len(f.sender.nodes), 1, "an order whose outcome is unknown is not repeated")
	}
}
