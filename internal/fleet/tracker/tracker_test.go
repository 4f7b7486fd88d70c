package tracker_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"gotest.tools/v3/assert"
)

func newTracker() *tracker.Tracker {
	t := &tracker.Tracker{Self: "own", DataCentre: "a", ReportTimeout: 3 * time.Second}
	for node, dc := range map[string]string{"own": "a", "near": "a", "far": "b"} {
		t.SetMember(tracker.Member{Node: node, DataCentre: dc, Service: "x", Target: "i-" + node, Slots: 10, State: tracker.Ready})
	}
	return t
}

func candidate(t *testing.T, tr *tracker.Tracker, now time.Time, node string) placer.Candidate {
	t.Helper()
	for _, c := range tr.Candidates(nil, now, "x", "r", nil) {
		if c.Node == node {
			return c
		}
	}
	t.Fatalf("%s is not a candidate", node)
	return placer.Candidate{}
}

func TestCandidates(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	assert.Assert(t, candidate(t, tr, now, "own").SameVM)
	assert.Assert(t, candidate(t, tr, now, "near").SameDataCentre)
	assert.Assert(t, !candidate(t, tr, now, "far").SameDataCentre)
	list := tr.Candidates(nil, now, "x", "r", []string{"near", "far"})
	assert.Equal(t, len(list), 1)
	for _, state := range []tracker.State{tracker.Draining, tracker.Gone, tracker.Stopping} {
		tr.SetMember(tracker.Member{Node: "near", Service: "x", State: state})
		list = tr.Candidates(nil, now, "x", "r", nil)
		assert.Equal(t, len(list), 2, state)
	}
	list = tr.Candidates(nil, now, "other", "r", nil)
	assert.Equal(t, len(list), 0)
}

// TestLoadCountsOutstandingRequests checks that outstanding requests are added to the load that a node
// reported.
func TestLoadCountsOutstandingRequests(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	tr.ApplyReport(now, &tracker.Report{Node: "far", Started: 1, Sequence: 1, Target: "i-far", Running: 6, Limit: 9, Up: true})
	tr.StartRequest(now, "far", "r")
	lateAt := tr.StartRequest(now, "far", "r")
	c := candidate(t, tr, now, "far")
	assert.Equal(t, c.Running, 8)
	assert.Equal(t, c.Limit, 9)
	tr.RecordLoad("far", 3, 1, 9)
	tr.EndRequest("far", lateAt)
	c = candidate(t, tr, now, "far")
	assert.Equal(t, c.Running, 2)
	assert.Equal(t, c.Waiting, 1)
}

// TestReportsInOrder checks that out-of-order reports of a process and reports of an earlier process are
// ignored.
func TestReportsInOrder(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	for _, c := range []struct {
		started  int64
		sequence uint64
		accepted bool
	}{{5, 2, true}, {5, 1, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}} {
		assert.Equal(t, tr.ApplyReport(now, &tracker.Report{Node: "far", Started: c.started, Sequence: c.sequence}), c.accepted)
	}
	assert.Assert(t, !tr.ApplyReport(now, &tracker.Report{Node: "nobody", Started: 1, Sequence: 1}))
}

// TestSuspectNodes checks which nodes are suspect, and that a report ends the suspicion.
func TestSuspectNodes(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	tr.MarkUnreachable("far")
	assert.Assert(t, candidate(t, tr, now, "far").Suspect)
	tr.ApplyReport(now, &tracker.Report{Node: "far", Started: 1, Sequence: 1, Target: "i-far", Up: true})
	assert.Assert(t, !candidate(t, tr, now, "far").Suspect)
	tr.ApplyReport(now, &tracker.Report{Node: "far", Started: 1, Sequence: 2, Target: "i-far", Up: false})
	assert.Assert(t, candidate(t, tr, now, "far").Suspect)
	later := now.Add(4 * time.Second)
	assert.Assert(t, candidate(t, tr, later, "near").Suspect)
	assert.Assert(t, !candidate(t, tr, later, "own").Suspect)
}

// TestSharing checks that silent members share the rate limits until they are forgotten, and those that stop until they
// are silent.
func TestSharing(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	sharing := func(after time.Duration) []string {
		names := tr.Sharing(now.Add(after))
		slices.Sort(names)
		return names
	}
	assert.DeepEqual(t, sharing(4*time.Second), []string{"far", "near"})
	assert.DeepEqual(t, sharing(3*time.Minute), []string{})
	m, _ := tr.Member("far")
	m.State = tracker.Stopping
	tr.SetMember(m)
	assert.DeepEqual(t, sharing(time.Second), []string{"far", "near"})
	assert.DeepEqual(t, sharing(4*time.Second), []string{"near"})
}

// TestServices checks that only targets that can run requests contribute slots, while the demand of all nodes
// counts.
func TestServices(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	report := func(node string, up bool, load float32) {
		tr.ApplyReport(now, &tracker.Report{
			Node: node, Started: 1, Sequence: 1, Target: "i-" + node, Limit: 10, Up: up, Load: load, Correction: 1,
			Demand: map[string]float32{"x": 4},
		})
	}
	report("own", true, 0.5)
	report("near", true, 1.5)
	report("far", false, 0)
	s := tr.Services(now)["x"]
	assert.Equal(t, s.Slots, 20)
	assert.Equal(t, s.Load, 1.0)
	assert.Equal(t, s.Demand, 8.0)
}

func TestRouteCosts(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	for node, hold := range map[string]float32{"near": 100, "far": 300} {
		tr.ApplyReport(now, &tracker.Report{Node: node, Started: 1, Sequence: 1, RouteCosts: []tracker.RouteCosts{{Route: "r", HoldMs: hold, Calls: map[string]float32{"c": 2}}}})
	}
	costs := tr.RouteCosts(now)["r"]
	assert.Equal(t, costs.Service, "x")
	assert.Assert(t, costs.HoldSeconds > 0.199 && costs.HoldSeconds < 0.201)
	assert.Equal(t, costs.Calls["c"], 2.0)
	assert.Equal(t, candidate(t, tr, now, "near").HoldTime, 100*time.Millisecond)
}

// TestRouteCostsOfLostTargets checks that the costs of a lost target are used only until a live target
// reports its own.
func TestRouteCostsOfLostTargets(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	report := func(at time.Time, node string, sequence uint64, hold float32) {
		tr.ApplyReport(at, &tracker.Report{Node: node, Started: 1, Sequence: sequence, RouteCosts: []tracker.RouteCosts{{Route: "r", HoldMs: hold}}})
	}
	report(now.Add(-time.Minute), "near", 1, 100)
	assert.Equal(t, tr.RouteCosts(now)["r"].HoldSeconds, 0.1)
	report(now, "far", 1, 300)
	assert.Assert(t, tr.RouteCosts(now)["r"].HoldSeconds > 0.299, "report overdue: %v", tr.RouteCosts(now)["r"])
	report(now, "near", 2, 100)
	tr.SetMember(tracker.Member{Node: "near", Service: "x", State: tracker.Gone})
	assert.Assert(t, tr.RouteCosts(now)["r"].HoldSeconds > 0.299, "gone: %v", tr.RouteCosts(now)["r"])
}

// TestRestoredCosts checks that restored costs apply until the node reports new ones, and that they don't apply
// to another service.
func TestRestoredCosts(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	old := []tracker.RouteCosts{{Route: "r", HoldMs: 100}}
	tr.Restore(tracker.NodeCosts{Node: "near", Service: "x", RouteCosts: old})
	tr.Restore(tracker.NodeCosts{Node: "far", Service: "another", RouteCosts: []tracker.RouteCosts{{Route: "q", HoldMs: 100}}})
	assert.Equal(t, tr.RouteCosts(now)["r"].HoldSeconds, 0.1)
	assert.Equal(t, candidate(t, tr, now, "near").HoldTime, 100*time.Millisecond)
	assert.Equal(t, len(tr.RouteCosts(now)), 1)
	tr.ApplyReport(now, &tracker.Report{Node: "near", Started: 1, Sequence: 1, RouteCosts: []tracker.RouteCosts{{Route: "r", HoldMs: 300}}})
	assert.Assert(t, tr.RouteCosts(now)["r"].HoldSeconds > 0.299)
}

// TestStatements checks that what a target says applies to the incarnation that said it and to no other.
func TestStatements(t *testing.T) {
	tr := newTracker()
	near := tracker.Member{Node: "near", DataCentre: "a", Service: "x", Target: "i-near", Slots: 10, State: tracker.Ready}
	assert.Assert(t, !tr.RecordStatement(&near, 6, false))
	assert.Equal(t, tr.Limit(&near), 6.0)
	assert.Assert(t, !tr.RecordStatement(&near, 0, false))
	assert.Equal(t, tr.Limit(&near), 0.0)
	assert.Assert(t, tr.RecordStatement(&near, 0, true))
	assert.Assert(t, !tr.RecordStatement(&near, 0, true), "told twice")
	assert.Assert(t, !tr.RecordStatement(&near, 3, false))
	list := tr.Candidates(nil, time.Now(), "x", "r", nil)
	assert.Equal(t, len(list), 2, "a target that has said that it leaves is a candidate")
	next := near
	next.StartedAtMs++
	tr.SetMember(next)
	list = tr.Candidates(nil, time.Now(), "x", "r", nil)
	assert.Equal(t, len(list), 3, "the next lifetime under the same ID is no candidate")
	assert.Equal(t, tr.Limit(&next), 0.0)
}

// TestCandidatesAfterChange checks that candidates follow the members: a node whose target belongs to another service now,
// one that has joined and one that was removed.
func TestCandidatesAfterChange(t *testing.T) {
	tr := newTracker()
	names := func(service string) string {
		var list []string
		for _, c := range tr.Candidates(nil, time.Now(), service, "r", nil) {
			list = append(list, c.Node)
		}
		slices.Sort(list)
		return strings.Join(list, " ")
	}
	assert.Equal(t, names("x"), "far near own")
	assert.Equal(t, len(tr.OtherMembers()), 2)
	tr.SetMember(tracker.Member{Node: "near", Service: "y", State: tracker.Ready})
	tr.SetMember(tracker.Member{Node: "new", Service: "x", State: tracker.Ready})
	assert.Equal(t, names("x"), "far new own")
	assert.Equal(t, names("y"), "near")
	assert.Equal(t, len(tr.OtherMembers()), 3)
	tr.RemoveMember("far")
	assert.Equal(t, names("x"), "new own")
	assert.Equal(t, len(tr.OtherMembers()), 2)
}

// TestColdTarget guards against requests that are placed on a cold target by its slots, or by a report from before it became
// cold.
func TestColdTarget(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	tr.ColdPerSecond = func(string) float64 { return 15 }
	costs := []tracker.RouteCosts{{Route: "r", HoldMs: 200}}
	tr.ApplyReport(now, &tracker.Report{Node: "far", Started: 1, Sequence: 1, Target: "i-far", Limit: 57, Up: true, RouteCosts: costs})
	assert.Equal(t, candidate(t, tr, now, "far").Limit, 57)
	m, _ := tr.Member("far")
	m.WarmUpEndMs = now.Add(time.Minute).UnixMilli()
	tr.SetMember(m)
	c := candidate(t, tr, now, "far")
	assert.Equal(t, c.Limit, 3)
	c.Running = 3
	assert.Equal(t, placer.Choose([]placer.Candidate{c, {Node: "other", Running: 40, Limit: 57, HoldTime: c.HoldTime}}, placer.Preference{}), 1)
	assert.Equal(t, candidate(t, tr, now.Add(2*time.Minute), "far").Limit, 10, "slots of the record")
}
