// Package planner decides which membership record a node proposes next.
package planner

import (
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Input holds what a planning decision depends on besides the replicated state.
type Input struct {
	// Self is the current incarnation of this node.
	Self reducer.Member
	// Suspects lists the VMs from which nothing has been received for the suspect time. An entry counts
	// only for members that this node exchanges messages with: its ring neighbours and, if this node is
	// a witness, the other witnesses.
	Suspects []string
	// Fenced reports whether an earlier incarnation of this node was fenced, that is, removed from the
	// members.
	Fenced bool
	// HasQuorum reports whether a majority of the witnesses has recently answered this node.
	HasQuorum bool
	// SettledOffset is the highest offset that a majority of the witnesses is known to have folded.
	SettledOffset int64
	// WitnessCount is the desired number of witnesses.
	WitnessCount int
	// SnapshotAge is the time since the last snapshot was folded.
	SnapshotAge time.Duration
	// SnapshotEvery is the desired interval between snapshots.
	SnapshotEvery time.Duration
}

// RingNeighbours is the number of ring neighbours that each node monitors.
const RingNeighbours = 2

// slotSlack is the fraction by which a holder may exceed its fair share of slots. Moving a slot
// suspends lending from it for the duration of a loan, so small imbalances are left alone.
const slotSlack = 0.25

// Plan returns the next record to propose and reports whether there is one.
func Plan(s *reducer.State, v Input) (reducer.Record, bool) {
	steps := []func(*reducer.State, Input) (reducer.Record, bool){
		planJoin, planFence, planWitnesses, planTransfer, planSnapshot,
	}
	for _, step := range steps {
		if rec, ok := step(s, v); ok {
			return rec, true
		}
	}
	return reducer.Record{}, false
}

func planJoin(s *reducer.State, v Input) (reducer.Record, bool) {
	if _, ok := s.Members[v.Self.ID()]; ok {
		return reducer.Record{}, false
	}
	if v.Fenced && !hasLivePeer(s, v) {
		return reducer.Record{}, false
	}
	return reducer.Record{ID: "join-" + v.Self.ID(), Join: &reducer.Join{Member: v.Self}}, true
}

// hasLivePeer reports whether any other member is not silent, or there are no members at all. Without
// this check, a node that was fenced because it is cut off from its peers would join and be fenced
// again for as long as it reaches the platform.
func hasLivePeer(s *reducer.State, v Input) bool {
	for _, m := range s.Members {
		if m.VM != v.Self.VM && !slices.Contains(v.Suspects, m.VM) {
			return true
		}
	}
	return len(s.Members) == 0
}

// planFence proposes to fence a silent ring neighbour. Only a node that reaches a majority of the
// witnesses may do so: a node that is cut off from the others must not fence them.
func planFence(s *reducer.State, v Input) (reducer.Record, bool) {
	if !v.HasQuorum {
		return reducer.Record{}, false
	}
	for _, m := range s.Neighbours(v.Self.ID(), RingNeighbours) {
		if slices.Contains(v.Suspects, m.VM) {
			return reducer.Record{ID: "fence-" + m.ID(), Fence: &reducer.Fence{Member: m.ID()}}, true
		}
	}
	return reducer.Record{}, false
}

// isLeader reports whether this node is the first witness that is not silent. A single proposer keeps
// every node from sending the same record to the platform. If no witness is a member, because none has
// been chosen yet or all have left, the first members take their place.
func isLeader(s *reducer.State, v Input) bool {
	candidates := slices.DeleteFunc(slices.Clone(s.Witness.Members), func(id string) bool {
		_, ok := s.Members[id]
		return !ok
	})
	if len(candidates) == 0 {
		for _, m := range s.MemberList()[:min(v.WitnessCount, len(s.Members))] {
			candidates = append(candidates, m.ID())
		}
	}
	for _, id := range candidates {
		if !slices.Contains(v.Suspects, s.Members[id].VM) {
			return id == v.Self.ID()
		}
	}
	return false
}

// planWitnesses proposes the wanted witness set where it differs from the current one, once the current
// one is settled.
func planWitnesses(s *reducer.State, v Input) (reducer.Record, bool) {
	if !isLeader(s, v) || (len(s.Witness.Members) > 0 && v.SettledOffset < s.Witness.Since) {
		return reducer.Record{}, false
	}
	want := s.ProposeWitnesses(v.WitnessCount)
	have := slices.Sorted(slices.Values(s.Witness.Members))
	if slices.Equal(want, have) || len(want) == 0 {
		return reducer.Record{}, false
	}
	return reducer.Record{Witnesses: &reducer.Witnesses{Base: s.Witness.Since, Members: want}}, true
}

// maxTransferSlots is the maximum number of slots in one transfer, so that most slices of a client
// account stay in use.
const maxTransferSlots = reducer.SlotCount / 4

// planTransfer proposes to move slots that this node holds beyond its fair share to members that hold
// less than theirs.
func planTransfer(s *reducer.State, v Input) (reducer.Record, bool) {
	self := v.Self.ID()
	counts := map[string]int{}
	var held []int
	for n, slot := range s.Slots {
		counts[slot.Holder]++
		if slot.Holder == self {
			held = append(held, n)
		}
	}
	fairShare := (reducer.SlotCount + len(s.Members) - 1) / max(len(s.Members), 1)
	if len(held) <= fairShare+int(slotSlack*float64(fairShare)) {
		return reducer.Record{}, false
	}
	moves := assignSlots(s, v, held[:min(len(held)-fairShare, maxTransferSlots)], counts, fairShare)
	if len(moves) == 0 {
		return reducer.Record{}, false
	}
	return reducer.Record{Transfer: &reducer.Transfer{From: self, Moves: moves}}, true
}

// assignSlots distributes the slots among the members that hold less than the fair share. Silent
// members get none.
func assignSlots(s *reducer.State, v Input, slots []int, counts map[string]int, fairShare int) []reducer.Move {
	var moves []reducer.Move
	for _, m := range s.MemberList() {
		n := min(len(slots), fairShare-counts[m.ID()])
		if n <= 0 || slices.Contains(v.Suspects, m.VM) {
			continue
		}
		moves = append(moves, reducer.Move{To: m.ID(), Slots: slots[:n]})
		slots = slots[n:]
	}
	return moves
}

// planSnapshot proposes a snapshot when the last one is old enough. A snapshot from any node would be
// safe: equal prefixes of the log give equal snapshots, and a late one changes nothing.
func planSnapshot(s *reducer.State, v Input) (reducer.Record, bool) {
	if v.SnapshotAge < v.SnapshotEvery || !isLeader(s, v) {
		return reducer.Record{}, false
	}
	data, err := reducer.Marshal(s)
	if err != nil {
		return reducer.Record{}, false
	}
	return reducer.Record{Snapshot: &reducer.Snapshot{AsOf: s.Offset, State: data}}, true
}
