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
	// Suspects lists the VMs from which nothing has been received for the suspect time-out. It is
	// meaningful only for members that this node exchanges messages with: its ring neighbours and, if
	// this node is a witness, the other witnesses.
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
func Plan(s *reducer.State, in Input) (reducer.Record, bool) {
	steps := []func(*reducer.State, Input) (reducer.Record, bool){
		planJoin, planFence, planWitnesses, planTransfer, planSnapshot,
	}
	for _, step := range steps {
		if rec, ok := step(s, in); ok {
			return rec, true
		}
	}
	return reducer.Record{}, false
}

func planJoin(s *reducer.State, in Input) (reducer.Record, bool) {
	if _, ok := s.Members[in.Self.ID()]; ok {
		return reducer.Record{}, false
	}
	if in.Fenced && !hasLivePeer(s, in) {
		return reducer.Record{}, false
	}
	return reducer.Record{ID: "join-" + in.Self.ID(), Join: &reducer.Join{Member: in.Self}}, true
}

// hasLivePeer reports whether any other member is not suspect, or there are no members at all. Without
// this check, a node that was fenced because it is cut off from its peers would join and be fenced
// again and again, as long as it can reach the platform.
func hasLivePeer(s *reducer.State, in Input) bool {
	for _, m := range s.Members {
		if m.VM != in.Self.VM && !slices.Contains(in.Suspects, m.VM) {
			return true
		}
	}
	return len(s.Members) == 0
}

// planFence proposes to fence a suspect ring neighbour. Only a node that reaches a majority of the
// witnesses may do so: a node that is cut off from the others must not fence them.
func planFence(s *reducer.State, in Input) (reducer.Record, bool) {
	if !in.HasQuorum {
		return reducer.Record{}, false
	}
	for _, m := range s.Neighbours(in.Self.ID(), RingNeighbours) {
		if slices.Contains(in.Suspects, m.VM) {
			return reducer.Record{ID: "fence-" + m.ID(), Fence: &reducer.Fence{Member: m.ID()}}, true
		}
	}
	return reducer.Record{}, false
}

// isLeader reports whether this node is the first witness that is not suspect. With a single proposer, the
// nodes don't all send the same record to the platform. If no witness is a member, because none has
// been chosen yet or all have left, the first members take their place.
func isLeader(s *reducer.State, in Input) bool {
	candidates := slices.DeleteFunc(slices.Clone(s.Witness.Members), func(id string) bool {
		_, ok := s.Members[id]
		return !ok
	})
	if len(candidates) == 0 {
		for _, m := range s.MemberList()[:min(in.WitnessCount, len(s.Members))] {
			candidates = append(candidates, m.ID())
		}
	}
	for _, id := range candidates {
		if !slices.Contains(in.Suspects, s.Members[id].VM) {
			return id == in.Self.ID()
		}
	}
	return false
}

// planWitnesses proposes a new witness set if the membership calls for one. It waits until the current set
// is settled.
func planWitnesses(s *reducer.State, in Input) (reducer.Record, bool) {
	if !isLeader(s, in) || (len(s.Witness.Members) > 0 && in.SettledOffset < s.Witness.Since) {
		return reducer.Record{}, false
	}
	want := s.ProposeWitnesses(in.WitnessCount)
	have := slices.Sorted(slices.Values(s.Witness.Members))
	if slices.Equal(want, have) || len(want) == 0 {
		return reducer.Record{}, false
	}
	return reducer.Record{Witnesses: &reducer.Witnesses{Base: s.Witness.Since, Members: want}}, true
}

// maxTransferSlots is the maximum number of slots in one transfer, so that most slices of a client
// account stay in use.
const maxTransferSlots = reducer.RateSlotCount / 4

// planTransfer proposes to move slots that this node holds beyond its fair share to members that hold
// less than theirs.
func planTransfer(s *reducer.State, in Input) (reducer.Record, bool) {
	self := in.Self.ID()
	counts := map[string]int{}
	var held []int
	for n, slot := range s.RateSlots {
		counts[slot.Holder]++
		if slot.Holder == self {
			held = append(held, n)
		}
	}
	fairShare := (reducer.RateSlotCount + len(s.Members) - 1) / max(len(s.Members), 1)
	if len(held) <= fairShare+int(slotSlack*float64(fairShare)) {
		return reducer.Record{}, false
	}
	moves := assignSlots(s, in, held[:min(len(held)-fairShare, maxTransferSlots)], counts, fairShare)
	if len(moves) == 0 {
		return reducer.Record{}, false
	}
	return reducer.Record{Transfer: &reducer.Transfer{From: self, Moves: moves}}, true
}

// assignSlots distributes the slots among the members that hold less than the fair share. Suspect
// members get none.
func assignSlots(s *reducer.State, in Input, slots []int, counts map[string]int, fairShare int) []reducer.Move {
	var moves []reducer.Move
	for _, m := range s.MemberList() {
		n := min(len(slots), fairShare-counts[m.ID()])
		if n <= 0 || slices.Contains(in.Suspects, m.VM) {
			continue
		}
		moves = append(moves, reducer.Move{To: m.ID(), Slots: slots[:n]})
		slots = slots[n:]
	}
	return moves
}

// planSnapshot proposes a snapshot when the last one is old enough. A snapshot from any node would be
// safe: equal prefixes of the stream give equal snapshots, and a late snapshot changes nothing.
func planSnapshot(s *reducer.State, in Input) (reducer.Record, bool) {
	if in.SnapshotAge < in.SnapshotEvery || !isLeader(s, in) {
		return reducer.Record{}, false
	}
	data, err := reducer.Marshal(s)
	if err != nil {
		return reducer.Record{}, false
	}
	return reducer.Record{Snapshot: &reducer.Snapshot{AsOf: s.Offset, State: data}}, true
}
