// Package planner decides which membership records a node has to propose.
package planner

import (
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// View is what the decision depends on.
type View struct {
	// Self is this incarnation of the node.
	Self reducer.Member
	// Silent lists the VMs that have not been heard of for the suspect time. It counts only for members
	// that this node exchanges with: its ring neighbours and, for a witness, the witnesses.
	Silent []string
	// Fenced says that an earlier incarnation of this node was removed.
	Fenced bool
	// Quorum says that a majority of the witnesses has answered this node of late.
	Quorum bool
	// Settled is the highest offset known to be folded by a majority of the witnesses.
	Settled int64
	// WitnessCount is the wanted number of witnesses.
	WitnessCount int
	// SnapshotAge is the time since the last snapshot was folded.
	SnapshotAge time.Duration
	// SnapshotEvery is the wanted time between snapshots.
	SnapshotEvery time.Duration
}

// RingNeighbours is the number of members that each node watches.
const RingNeighbours = 2

// slotSlack is the share by which a holder may exceed its fair number of slots. Each move of a slot
// stops its lending for the length of a loan, so small differences are left.
const slotSlack = 0.25

// Plan returns the next record to propose, if any.
func Plan(s *reducer.State, v View) (reducer.Record, bool) {
	steps := []func(*reducer.State, View) (reducer.Record, bool){
		planJoin, planFence, planWitnesses, planTransfer, planSnapshot,
	}
	for _, step := range steps {
		if rec, ok := step(s, v); ok {
			return rec, true
		}
	}
	return reducer.Record{}, false
}

func planJoin(s *reducer.State, v View) (reducer.Record, bool) {
	if _, ok := s.Members[v.Self.ID()]; ok {
		return reducer.Record{}, false
	}
	if v.Fenced && !heard(s, v) {
		return reducer.Record{}, false
	}
	return reducer.Record{ID: "join-" + v.Self.ID(), Join: &reducer.Join{Member: v.Self}}, true
}

// heard says whether any other member is not silent. A node that was fenced because it is cut off
// from its peers would otherwise join and be fenced in turn for as long as it reaches the platform.
func heard(s *reducer.State, v View) bool {
	for _, m := range s.Members {
		if m.VM != v.Self.VM && !slices.Contains(v.Silent, m.VM) {
			return true
		}
	}
	return len(s.Members) == 0
}

// planFence removes a silent member. Only a node that reaches a majority of the witnesses may, so a
// node that is cut off from the others cannot fence them.
func planFence(s *reducer.State, v View) (reducer.Record, bool) {
	if !v.Quorum {
		return reducer.Record{}, false
	}
	for _, m := range s.Neighbours(v.Self.ID(), RingNeighbours) {
		if slices.Contains(v.Silent, m.VM) {
			return reducer.Record{ID: "fence-" + m.ID(), Fence: &reducer.Fence{Member: m.ID()}}, true
		}
	}
	return reducer.Record{}, false
}

// leads says whether this node is the first witness that is not silent, which spares the platform the
// same record from every node. Before there are witnesses, or after all have gone, the first members
// take their place.
func leads(s *reducer.State, v View) bool {
	leaders := slices.DeleteFunc(slices.Clone(s.Witness.Members), func(id string) bool {
		_, ok := s.Members[id]
		return !ok
	})
	if len(leaders) == 0 {
		for _, m := range s.MemberList()[:min(v.WitnessCount, len(s.Members))] {
			leaders = append(leaders, m.ID())
		}
	}
	for _, id := range leaders {
		if !slices.Contains(v.Silent, s.Members[id].VM) {
			return id == v.Self.ID()
		}
	}
	return false
}

// planWitnesses mends the witness set once the present one is settled.
func planWitnesses(s *reducer.State, v View) (reducer.Record, bool) {
	if !leads(s, v) || (len(s.Witness.Members) > 0 && v.Settled < s.Witness.Since) {
		return reducer.Record{}, false
	}
	want := s.ProposeWitnesses(v.WitnessCount)
	have := slices.Sorted(slices.Values(s.Witness.Members))
	if slices.Equal(want, have) || len(want) == 0 {
		return reducer.Record{}, false
	}
	return reducer.Record{Witnesses: &reducer.Witnesses{Base: s.Witness.Since, Members: want}}, true
}

// maxMove is the most slots that are passed on at once, so that most slices of an account stay in use.
const maxMove = reducer.Slots / 4

// planTransfer passes on slots that this node holds beyond its fair share, to members that hold fewer
// than theirs.
func planTransfer(s *reducer.State, v View) (reducer.Record, bool) {
	self := v.Self.ID()
	counts := map[string]int{}
	var mine []int
	for n, slot := range s.Slots {
		counts[slot.Holder]++
		if slot.Holder == self {
			mine = append(mine, n)
		}
	}
	fair := (reducer.Slots + len(s.Members) - 1) / max(len(s.Members), 1)
	if len(mine) <= fair+int(slotSlack*float64(fair)) {
		return reducer.Record{}, false
	}
	moves := share(s, v, mine[:min(len(mine)-fair, maxMove)], counts, fair)
	if len(moves) == 0 {
		return reducer.Record{}, false
	}
	return reducer.Record{Transfer: &reducer.Transfer{From: self, Moves: moves}}, true
}

// share gives slots to the members that hold fewer than the fair share.
func share(s *reducer.State, v View, slots []int, counts map[string]int, fair int) []reducer.Move {
	var moves []reducer.Move
	for _, m := range s.MemberList() {
		n := min(len(slots), fair-counts[m.ID()])
		if n <= 0 || slices.Contains(v.Silent, m.VM) {
			continue
		}
		moves = append(moves, reducer.Move{To: m.ID(), Slots: slots[:n]})
		slots = slots[n:]
	}
	return moves
}

// planSnapshot writes a snapshot when the last one has aged. Any node may: equal prefixes give equal
// snapshots, and a late one changes nothing.
func planSnapshot(s *reducer.State, v View) (reducer.Record, bool) {
	if v.SnapshotAge < v.SnapshotEvery || !leads(s, v) {
		return reducer.Record{}, false
	}
	data, err := reducer.Marshal(s)
	if err != nil {
		return reducer.Record{}, false
	}
	return reducer.Record{Snapshot: &reducer.Snapshot{AsOf: s.Offset, State: data}}, true
}
