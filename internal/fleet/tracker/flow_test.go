package tracker_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// TestCapacities guards against flows to targets that must not or cannot run requests, and against slow targets that
// count like fast ones.
func TestCapacities(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		change func(*tracker.Tracker)
		want   [2]float64
	}{
		{"all", func(*tracker.Tracker) {}, [2]float64{20, 10}},
		{"draining", func(tr *tracker.Tracker) {
			tr.SetMember(tracker.Member{Node: "far", DataCentre: "b", Service: "x", Target: "i-far", Slots: 10, State: tracker.Draining})
		}, [2]float64{20, 0}},
		{"leaving", func(tr *tracker.Tracker) {
			m, _ := tr.Member("far")
			tr.RecordStatement(&m, 0, true)
		}, [2]float64{20, 0}},
		{"evacuated", func(tr *tracker.Tracker) {
			tr.Evacuated = func() map[string]bool { return map[string]bool{"b": true} }
		}, [2]float64{20, 0}},
		{"unreachable", func(tr *tracker.Tracker) { tr.MarkUnreachable("far") }, [2]float64{20, 0}},
		{"refused once", func(tr *tracker.Tracker) { tr.MarkRefusing("far") }, [2]float64{20, 10}},
		{"warming up", func(tr *tracker.Tracker) {
			tr.SetMember(tracker.Member{Node: "far", DataCentre: "b", Service: "x", Target: "i-far", Slots: 10, State: tracker.Ready, WarmUpEndMs: now.Add(time.Hour).UnixMilli()})
		}, [2]float64{20, 4}},
		{"down", func(tr *tracker.Tracker) {
			tr.ApplyReport(now, &tracker.Report{Node: "far", Started: 1, Sequence: 1, Target: "i-far"})
		}, [2]float64{20, 0}},
		{"half as fast", func(tr *tracker.Tracker) {
			for node, ms := range map[string]float32{"own": 30, "near": 30, "far": 60} {
				tr.ApplyReport(now, &tracker.Report{Node: node, Started: 1, Sequence: 1, Target: "i-" + node, Up: true, Limit: 10, RouteCosts: []tracker.RouteCosts{{Route: "r", HoldMs: ms}}})
			}
		}, [2]float64{80.0 / 3, 20.0 / 3}},
	} {
		tr := newTracker()
		c.change(tr)
		list := tr.Capacities(now)["x"]
		assert.Equal(t, len(list), 2, c.name)
		for i, want := range c.want {
			assert.Assert(t, list[i].Slots > want-0.01 && list[i].Slots < want+0.01, "%s: %v", c.name, list)
		}
	}
	tr := newTracker()
	assert.Equal(t, tr.Capacities(now.Add(time.Minute))["x"][1].Slots, 0.0, "silent")
}

// TestLateRequests guards against a target that has become slow and counts as fast until its answers arrive.
func TestLateRequests(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	tr.ApplyReport(now, &tracker.Report{Node: "far", Started: 1, Sequence: 1, Target: "i-far", Up: true, Limit: 10, RouteCosts: []tracker.RouteCosts{{Route: "r", HoldMs: 40}}})
	first := tr.StartRequest(now, "far", "r")
	tr.StartRequest(now.Add(time.Millisecond), "far", "r")
	tr.StartRequest(now.Add(2*time.Millisecond), "far", "r")
	assert.Equal(t, candidate(t, tr, now.Add(70*time.Millisecond), "far").Late, 0)
	assert.Equal(t, candidate(t, tr, now.Add(100*time.Millisecond), "far").Late, 3)
	tr.EndRequest("far", first)
	tr.EndRequest("far", first)
	c := candidate(t, tr, now.Add(100*time.Millisecond), "far")
	assert.Equal(t, c.Late, 2)
	assert.Equal(t, c.Running, 2)
	// Two late requests among many show nothing: a few take long at any target.
	for range 3 {
		tr.StartRequest(now.Add(90*time.Millisecond), "far", "r")
	}
	assert.Equal(t, candidate(t, tr, now.Add(100*time.Millisecond), "far").Late, 0)

	// If the targets are slow in general, none of them is to be avoided.
	for range 2 {
		tr.StartRequest(now, "near", "r")
	}
	assert.Equal(t, candidate(t, tr, now.Add(time.Second), "far").Late, 0)
}

// TestRoundTrips guards against a round trip that grows with the load of the nodes, and against those of the own data
// centre.
func TestRoundTrips(t *testing.T) {
	tr := newTracker()
	for _, ms := range []int{30, 9, 0, -1, 20} {
		tr.RecordRoundTrip("far", time.Duration(ms)*time.Millisecond)
		tr.RecordRoundTrip("near", time.Millisecond)
	}
	trips := tr.RoundTrips()
	assert.Equal(t, len(trips), 1)
	assert.Equal(t, trips["b"], 9*time.Millisecond)
}
