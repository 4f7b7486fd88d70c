package tracker_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// TestEvacuated guards against targets of an evacuated data centre that are chosen, or counted as capacity.
func TestEvacuated(t *testing.T) {
	tr := newTracker()
	evacuated := map[string]bool{}
	tr.Evacuated = func() map[string]bool { return evacuated }
	now := time.Now()
	for _, node := range []string{"own", "near", "far"} {
		assert.Assert(t, tr.ApplyReport(now, &tracker.Report{Node: node, Started: 1, Sequence: 1, Target: "i-" + node, Limit: 10, Up: true, Correction: 1, Demand: map[string]float32{"y": 2}}))
	}
	assert.Equal(t, tr.Services(now)["x"].Slots, 30)
	assert.Assert(t, !tr.OnlyEvacuated("x"))
	evacuated = map[string]bool{"a": true}
	list := tr.Candidates(nil, now, "x", "r", nil)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Node, "far")
	assert.Equal(t, tr.Services(now)["x"].Slots, 10)
	assert.Equal(t, tr.Services(now)["y"].Demand, 4.0, "the demand that enters there still counts")
	assert.Assert(t, !tr.OnlyEvacuated("x"))
	evacuated = map[string]bool{"a": true, "b": true}
	assert.Equal(t, len(tr.Candidates(nil, now, "x", "r", nil)), 0)
	assert.Assert(t, tr.OnlyEvacuated("x"))
	assert.Assert(t, !tr.OnlyEvacuated("unknown"))
}
