package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
)

// newLargeFleet returns the view of a fleet of 195 nodes with four services and seven routes.
func newLargeFleet() *tracker.Tracker {
	t := &tracker.Tracker{Self: "vm-0", DataCentre: "dc-0", ReportTimeout: time.Hour}
	routes := [][]tracker.RouteCosts{
		{{Route: "a", HoldMs: 200, Calls: map[string]float32{"e": 2}}, {Route: "b", HoldMs: 300, Calls: map[string]float32{"e": 1}}},
		{{Route: "b", HoldMs: 300, Calls: map[string]float32{"e": 1}}, {Route: "e", HoldMs: 15, Calls: map[string]float32{"f": 1}}},
		{{Route: "c", HoldMs: 500, Calls: map[string]float32{}}, {Route: "f", HoldMs: 15, Calls: map[string]float32{"g": 4}}},
		{{Route: "d", HoldMs: 100, Calls: map[string]float32{}}, {Route: "g", HoldMs: 50, Calls: map[string]float32{}}},
	}
	for i := range 195 {
		service := min(i%3, 2)
		if i%16 == 0 {
			service = 3
		}
		m := tracker.Member{Node: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%5), Service: fmt.Sprint("service-", service), Target: "i", Slots: 25, State: tracker.Ready}
		t.SetMember(m)
		t.ApplyReport(time.Now(), &tracker.Report{
			Node: m.Node, Started: 1, Sequence: 1, Target: "i", Running: 9, Limit: 23, Up: true, Load: 0.4, Correction: 1,
			Demand:     map[string]float32{"service-0": 1, "service-1": 2, "service-2": 3, "service-3": 4},
			RouteCosts: routes[service],
		})
	}
	return t
}

// BenchmarkPlan measures what a node of a large fleet sums up for each admission plan.
func BenchmarkPlan(b *testing.B) {
	t := newLargeFleet()
	for b.Loop() {
		now := time.Now()
		allocator.NewTotalCosts(t.RouteCosts(now))
		t.Services(now)
		t.Sharing(now)
	}
}

// BenchmarkPlace measures the placement of one request.
func BenchmarkPlace(b *testing.B) {
	t := newLargeFleet()
	var list []placer.Candidate
	for b.Loop() {
		list = t.Candidates(list[:0], time.Now(), "service-0", "a", nil)
		placer.Choose(list, placer.Preference{})
	}
}

// BenchmarkPlaceSampled measures the same with sampled targets, as in fleets of this size.
func BenchmarkPlaceSampled(b *testing.B) {
	t := newLargeFleet()
	var list []placer.Candidate
	b.ReportAllocs()
	for b.Loop() {
		list = t.Candidates(list[:0], time.Now(), "service-0", "a", nil)
		placer.ChooseSampled(list, placer.Preference{DataCentre: "dc-1"}, [2]float64{0.3, 0.7})
	}
}

// BenchmarkCapacities measures what a node of a large fleet sums up for each plan of the flows.
func BenchmarkCapacities(b *testing.B) {
	t := newLargeFleet()
	for b.Loop() {
		t.Capacities(time.Now())
	}
}
