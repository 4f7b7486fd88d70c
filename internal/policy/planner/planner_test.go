package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/planner"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

func member(n int) reducer.Member {
	return reducer.Member{VM: fmt.Sprintf("vm-%d", n), Incarnation: 1, DataCentre: fmt.Sprint("dc-", n%3), PeerAddress: "p"}
}

func fold(s *reducer.State, rec reducer.Record) *reducer.State {
	rec.ID = fmt.Sprint(s.Offset + 1)
	data, _ := reducer.Encode(rec)
	next, _ := reducer.Fold(s, s.Offset+1, data)
	return next
}

// fleet returns the state after n members have joined. The first one holds all slots.
func fleet(n int) *reducer.State {
	s := reducer.New()
	for i := range n {
		s = fold(s, reducer.Record{Join: &reducer.Join{Member: member(i)}})
	}
	return s
}

// TestPlan checks which record a node proposes in each situation.
func TestPlan(t *testing.T) {
	fleetWithWitnesses := func(n int) *reducer.State {
		s := fleet(n)
		s = fold(s, reducer.Record{Witnesses: &reducer.Witnesses{Members: s.ProposeWitnesses(7)}})
		for i := range 4 * n {
			rec, _ := planner.Plan(s, planner.Input{Self: member(i % n), WitnessCount: 7, SettledOffset: s.Offset, SnapshotEvery: time.Hour})
			s = fold(s, rec)
		}
		return s
	}
	cases := []struct {
		name   string
		state  *reducer.State
		input  planner.Input
		expect func(reducer.Record, bool) bool
	}{
		{"joins", fleet(1), planner.Input{Self: member(1)}, func(r reducer.Record, _ bool) bool { return r.Join != nil }},
		{"fenced and hears nobody", fleet(2), planner.Input{Self: member(9), Fenced: true, Suspects: []string{"vm-0", "vm-1"}}, func(_ reducer.Record, ok bool) bool { return !ok }},
		{"nothing to do", fleetWithWitnesses(4), planner.Input{Self: member(1), WitnessCount: 7, SettledOffset: 100, SnapshotEvery: time.Hour}, func(_ reducer.Record, ok bool) bool { return !ok }},
		{"fences its neighbour", fleetWithWitnesses(4), planner.Input{Self: member(1), HasQuorum: true, Suspects: []string{"vm-2"}, WitnessCount: 7, SnapshotEvery: time.Hour}, func(r reducer.Record, _ bool) bool {
			return r.Fence != nil && r.Fence.Member == "vm-2/1"
		}},
		{"does not judge others", fleetWithWitnesses(6), planner.Input{Self: member(1), HasQuorum: true, Suspects: []string{"vm-5"}, WitnessCount: 7, SnapshotEvery: time.Hour}, func(_ reducer.Record, ok bool) bool { return !ok }},
		{"cut off from the witnesses", fleetWithWitnesses(4), planner.Input{Self: member(1), Suspects: []string{"vm-2", "vm-0", "vm-3"}, WitnessCount: 7, SnapshotEvery: time.Hour}, func(_ reducer.Record, ok bool) bool { return !ok }},
		{"passes slots on", fleet(4), planner.Input{Self: member(0), WitnessCount: 0, SnapshotEvery: time.Hour}, func(r reducer.Record, _ bool) bool {
			return r.Transfer != nil && len(r.Transfer.Slots()) == 16 && r.Transfer.From == "vm-0/1"
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rec, ok := planner.Plan(c.state, c.input)
			assert.Assert(t, c.expect(rec, ok), "%+v", rec)
		})
	}
}

// TestOneLeader checks that at most one of the nodes that have the same suspects proposes a snapshot.
func TestOneLeader(t *testing.T) {
	s := fleet(20)
	s = fold(s, reducer.Record{Witnesses: &reducer.Witnesses{Members: s.ProposeWitnesses(7)}})
	leaders := 0
	for i := range 20 {
		suspects := []string{"vm-0", "vm-1", "vm-2", "vm-3"}
		rec, _ := planner.Plan(s, planner.Input{Self: member(i), WitnessCount: 7, Suspects: suspects, SnapshotAge: time.Hour})
		if rec.Snapshot != nil {
			leaders++
		}
	}
	assert.Assert(t, leaders <= 1, "%d leaders", leaders)
}
