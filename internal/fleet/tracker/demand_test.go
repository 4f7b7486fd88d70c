package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemandByDataCentre checks that the demand of a node or data centre that falls silent counts for 3.5 s and then decays
// over another 3.5 s instead of dropping to zero, which would admit everything at once, and that sums of a node that
// has heard fewer nodes do not replace current ones.
func TestDemandByDataCentre(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tr := &Tracker{Self: "a", DataCentre: "here", ReportTimeout: time.Minute}
	tr.SetMember(Member{Node: "a", DataCentre: "here"})
	tr.SetMember(Member{Node: "b", DataCentre: "here"})
	tr.SetMember(Member{Node: "c", DataCentre: "there"})
	tr.SetMember(Member{Node: "d", DataCentre: "there"})
	report := func(node string, rate float32) *DemandReport {
		return &DemandReport{Node: node, Started: 1, Sequence: 1, Rows: []DemandRow{{"order", 3, rate}, {"stock", -1, 1}}}
	}
	assert.Assert(t, tr.ApplyDemand(now, report("b", 10)))
	assert.Assert(t, !tr.ApplyDemand(now, report("b", 11)), "same sequence")
	assert.Assert(t, !tr.ApplyDemand(now, report("c", 10)), "other data centre")
	assert.Assert(t, !tr.ApplyDemand(now, report("x", 10)), "unknown node")
	assert.Assert(t, !tr.ApplyDemand(now, &DemandReport{Node: "a", Started: 1, Sequence: 1, Rows: []DemandRow{{"order", 3, -1}}}))
	sums := func(from string, sequence uint64, nodes int, rate float32) *DataCentreDemand {
		return &DataCentreDemand{DataCentre: "there", From: from, Started: 1, Sequence: sequence, AgeMs: 100, Nodes: nodes, Rows: []DemandRow{{"order", 3, rate}}}
	}
	assert.Assert(t, tr.ApplyDataCentreDemand(now, sums("c", 1, 2, 20)))
	assert.Assert(t, !tr.ApplyDataCentreDemand(now, sums("b", 1, 2, 20)), "sender of another data centre")
	assert.Assert(t, tr.ApplyDataCentreDemand(now, sums("d", 1, 1, 5)))

	now = now.Add(2 * time.Second)
	assert.Assert(t, tr.ApplyDemand(now, report("a", 30)))
	got := tr.Demand(now)
	assert.DeepEqual(t, got, []DataCentreDemand{
		{DataCentre: "here", From: "a", AgeMs: 1000, Nodes: 2, Rows: []DemandRow{{"stock", -1, 2}, {"order", 3, 40}}, Recent: []float32{2, 40}},
		{DataCentre: "there", From: "c", Started: 1, Sequence: 1, AgeMs: 2100, Nodes: 2, Rows: []DemandRow{{"order", 3, 20}}},
	})
	// After 5.25 s the demand of b is 1.75 s past the limit, so that half of it counts.
	got = tr.Demand(now.Add(3250 * time.Millisecond))
	assert.DeepEqual(t, got[0].Rows, []DemandRow{{"stock", -1, 1.5}, {"order", 3, 35}})
	assert.Assert(t, got[1].Rows[0].Rate > 9 && got[1].Rows[0].Rate < 10, "%v", got[1])
	assert.Equal(t, len(tr.Demand(now.Add(time.Minute))), 0)
	assert.Assert(t, tr.ApplyDataCentreDemand(now, sums("d", 2, 1, 5)))
	assert.Equal(t, tr.Demand(now)[0].From, "d")
}

// TestDemandEncoding checks that both messages are decoded as they were encoded.
func TestDemandEncoding(t *testing.T) {
	sums := DataCentreDemand{DataCentre: "there", From: "c", Started: 1, Sequence: 2, AgeMs: 3, Nodes: 4, Rows: []DemandRow{{"order", -1, 5}}, Recent: []float32{6}}
	raw, err := sums.MarshalMsg(nil)
	assert.NilError(t, err)
	var decoded DataCentreDemand
	rest, err := decoded.UnmarshalMsg(raw)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
	assert.DeepEqual(t, decoded, sums)
	report := DemandReport{Node: "a", Started: 1, Sequence: 2, Rows: sums.Rows, Recent: sums.Recent}
	raw, err = report.MarshalMsg(nil)
	assert.NilError(t, err)
	var decodedReport DemandReport
	_, err = decodedReport.UnmarshalMsg(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, decodedReport, report)
}

// TestUnrankedDemand checks that the demand of a node of an earlier version counts by service, and that of a node which
// reports its rows does not count twice.
func TestUnrankedDemand(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tr := &Tracker{Self: "a", DataCentre: "here", ReportTimeout: time.Minute}
	tr.SetMember(Member{Node: "old", DataCentre: "here"})
	tr.SetMember(Member{Node: "new", DataCentre: "here", TakesDemand: true})
	for _, node := range []string{"old", "new"} {
		assert.Assert(t, tr.ApplyReport(now, &Report{Node: node, Started: 1, Sequence: 1, Demand: map[string]float32{"press": 5}}))
	}
	tr.SetMember(Member{Node: "started", DataCentre: "here", TakesDemand: true})
	assert.Assert(t, tr.ApplyReport(now, &Report{Node: "started", Started: 1, Sequence: 1}))
	slots, nodes, unknown := tr.UnrankedDemand(now)
	assert.Assert(t, slots["press"] == 10 && nodes == 2 && unknown == 1, "%v %v %v", slots, nodes, unknown)
	assert.Assert(t, tr.ApplyDemand(now, &DemandReport{Node: "new", Started: 1, Sequence: 1}))
	assert.Assert(t, tr.ApplyDemand(now, &DemandReport{Node: "started", Started: 1, Sequence: 1}))
	slots, nodes, unknown = tr.UnrankedDemand(now)
	assert.Assert(t, slots["press"] == 5 && nodes == 1 && unknown == 0, "%v %v %v", slots, nodes, unknown)
	assert.Assert(t, !tr.ApplyDemand(now, &DemandReport{Node: "new", Started: 1, Sequence: 2, Recent: []float32{1}}), "lengths differ")
}
