package attendant

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"gotest.tools/v3/assert"
)

// newPlanner returns an attendant of a fleet of n nodes that can only plan its admission.
func newPlanner(n int, log *bytes.Buffer) *Attendant {
	a := &Attendant{Log: NewLogger(log, "a"), Metrics: metrics.NewSet(), gateway: &gateway.Gateway{Shedder: gateway.NewShedder()}}
	a.tracker = &tracker.Tracker{Self: "a", DataCentre: "here", ReportTimeout: time.Minute}
	for i := range n {
		a.tracker.SetMember(tracker.Member{Node: string(rune('a' + i)), DataCentre: "here", State: tracker.Ready, TakesDemand: true})
	}
	a.sharesAt = time.Now().Add(time.Hour)
	return a
}

// plannerCosts are those of one route that holds a slot for 0.1 s.
var plannerCosts = allocator.TotalCosts{"order": {"press": 0.1}}

// offer lets the planner measure 100 requests of the rank.
func offer(a *Attendant, rank int) {
	a.gateway.Shedder.UpdateDemand(plannerCosts)
	time.Sleep(20 * time.Millisecond)
	for range 100 {
		a.gateway.Shedder.Admit(allocator.Class{Route: "order", Rank: rank}, "")
	}
	a.gateway.Shedder.UpdateDemand(plannerCosts)
}

// admittedFraction returns the admitted fraction of orders of the rank.
func admittedFraction(a *Attendant, rank int) float64 {
	_, fraction := a.gateway.Shedder.Admit(allocator.Class{Route: "order", Rank: rank}, "")
	return fraction
}

// TestCutPublished checks that an operator sees the cut of a service and its end.
func TestCutPublished(t *testing.T) {
	var log, text bytes.Buffer
	a := newPlanner(1, &log)
	offer(a, 3)
	a.updateAdmission(time.Now(), plannerCosts, map[string]tracker.Service{"press": {Slots: 20, Correction: 1}})
	a.publishCuts()
	a.Metrics.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `admission_cut_rank{service="press"} 3`), text.String())
	assert.Assert(t, strings.Contains(text.String(), `admission_fraction{service="press",rank="3"}`), text.String())
	assert.Assert(t, a.demandUrgent())
	a.updateAdmission(time.Now(), plannerCosts, map[string]tracker.Service{"press": {Slots: 20000, Correction: 1}})
	a.publishCuts()
	text.Reset()
	a.Metrics.WritePrometheus(&text)
	assert.Assert(t, !strings.Contains(text.String(), "admission"), text.String())
	assert.Assert(t, strings.Contains(log.String(), "admission cut ended"), log.String())
	rows, recent := a.buildDemand()
	assert.Assert(t, len(rows) == 1 && rows[0].Rank == 3 && rows[0].Rate > 0 && len(recent) == 1, "%v %v", rows, recent)
}

// TestShareWithoutOthersDemand checks that a node which knows no other node's demand uses an equal part of the capacity, and
// all that others leave once it knows their demand.
func TestShareWithoutOthersDemand(t *testing.T) {
	a := newPlanner(4, &bytes.Buffer{})
	offer(a, 3)
	for _, node := range []string{"b", "c", "d"} {
		assert.Assert(t, a.tracker.ApplyReport(time.Now(), &tracker.Report{Node: node, Started: 1, Sequence: 1}))
	}
	services := map[string]tracker.Service{"press": {Slots: 100, Correction: 1}}
	a.updateAdmission(time.Now(), plannerCosts, services)
	alone := admittedFraction(a, 3)
	for _, node := range []string{"b", "c", "d"} {
		assert.Assert(t, a.tracker.ApplyDemand(time.Now(), &tracker.DemandReport{Node: node, Started: 1, Sequence: 1}))
	}
	for range 30 {
		a.updateAdmission(time.Now(), plannerCosts, services)
	}
	known := admittedFraction(a, 3)
	assert.Assert(t, alone > 0 && alone < 0.3*known, "alone %.3f, known %.3f", alone, known)
}

// TestImportantDemandElsewhere checks that a node refuses its unimportant requests if important ones of other nodes use the
// capacity.
func TestImportantDemandElsewhere(t *testing.T) {
	a := newPlanner(2, &bytes.Buffer{})
	offer(a, 30)
	rows := []tracker.DemandRow{{Route: "order", Rank: 2, Rate: 1000}, {Route: "order", Rank: -1, Rate: 1e6}}
	assert.Assert(t, a.tracker.ApplyDemand(time.Now(), &tracker.DemandReport{Node: "b", Started: 1, Sequence: 1, Rows: rows}))
	a.updateAdmission(time.Now(), plannerCosts, map[string]tracker.Service{"press": {Slots: 109, Correction: 1}})
	assert.Assert(t, admittedFraction(a, 30) <= 0.02, "%.3f", admittedFraction(a, 30))
	assert.Equal(t, admittedFraction(a, 2), 1.0)
}

// BenchmarkUpdateAdmission measures a plan at a node of a data centre of 30 nodes, of three, with 40 classes.
func BenchmarkUpdateAdmission(b *testing.B) {
	a := newPlanner(30, &bytes.Buffer{})
	rows := make([]tracker.DemandRow, 40)
	for i := range rows {
		rows[i] = tracker.DemandRow{Route: "order", Rank: i, Rate: 1}
	}
	for i := 1; i < 30; i++ {
		a.tracker.ApplyDemand(time.Now(), &tracker.DemandReport{Node: string(rune('a' + i)), Started: 1, Sequence: 1, Rows: rows})
	}
	for _, name := range []string{"x", "y"} {
		a.tracker.SetMember(tracker.Member{Node: name, DataCentre: name, TakesDemand: true})
		a.tracker.ApplyDataCentreDemand(time.Now(), &tracker.DataCentreDemand{DataCentre: name, From: name, Started: 1, Sequence: 1, Nodes: 30, Rows: rows})
	}
	services := map[string]tracker.Service{"press": {Slots: 107, Correction: 1}}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		a.updateAdmission(now, plannerCosts, services)
	}
}
