package reducer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of partitions of the request IDs. One group of registrars grants the IDs of a partition.
const ShardCount = 128

// RateSlotCount is the number of partitions of the client accounts' rate slices. Each partition has one holder.
const RateSlotCount = 64

// GroupSize is the number of registrars of a shard. Smaller groups grant nothing, because a grant that
// only one node knows would be lost with that node.
const GroupSize = 3

// maxPastGroups bounds the former groups that are kept per shard.
const maxPastGroups = 16

// Member is one incarnation of a VM's node.
type Member struct {
	VM string `json:"vm"`
	// Incarnation increases with each start of the VM's node.
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	PeerAddress string `json:"peer-address"`
}

// ID returns the member ID, which identifies the incarnation.
func (m Member) ID() string { return MemberID(m.VM, m.Incarnation) }

// MemberID builds a member ID from a VM name and an incarnation.
func MemberID(vm string, incarnation int64) string {
	return vm + "/" + strconv.FormatInt(incarnation, 10)
}

// WitnessState is the set of members whose majority confirms that a node's state is recent.
type WitnessState struct {
	// Since is the offset of the record that set Members.
	Since   int64    `json:"since"`
	Members []string `json:"members"`
	// Previous is the witness set before Members. Until the record at Since is settled, a majority of Previous
	// is required as well.
	Previous []string `json:"previous"`
	// Ended lists the witnesses of both sets that are known to have stopped.
	Ended []string `json:"ended"`
}

func (w WitnessState) has(id string) bool {
	return slices.Contains(w.Members, id) || slices.Contains(w.Previous, id)
}

// Shard is a partition of the request IDs and the group of registrars that grants them.
type Shard struct {
	Group []string `json:"group"`
	// Since is the offset of the record that set Group.
	Since int64 `json:"since"`
	// Past lists former groups, oldest first.
	Past []PastGroup `json:"past"`
	// DroppedUntil is the offset up to which former groups were dropped from Past; 0 if none was.
	DroppedUntil int64 `json:"forgotten,omitempty"`
}

// PastGroup is a group that a membership change replaced.
type PastGroup struct {
	Group []string `json:"group"`
	// Until is the offset of the record that replaced the group.
	Until int64 `json:"until"`
}

// RateSlot is a partition of the rate slices and its holder.
type RateSlot struct {
	Holder string `json:"holder"`
	// Since is the offset of the record that set Holder.
	Since int64 `json:"since"`
	// Fenced reports whether the former holder may still be running. If so, the new holder waits until the
	// former one must have stopped.
	Fenced bool `json:"fenced"`
	// LoanMS is how long the former holder's loans may last after the record at Since, in milliseconds;
	// 0 means their full lifetime.
	LoanMS int64 `json:"loan-ms,omitempty"`
}

// MemberList returns the members ordered by VM and incarnation. Callers must not modify the list.
func (s *State) MemberList() []Member { return s.members }

// sortMembers rebuilds the ordered list of members.
func (s *State) sortMembers() {
	list := slices.Collect(maps.Values(s.Members))
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	s.members = list
}

// Neighbours returns up to n members that follow the given member in the ring of all members. It returns nil if
// the given ID is not that of a member.
func (s *State) Neighbours(id string, n int) []Member {
	count := len(s.members)
	at := slices.IndexFunc(s.members, func(m Member) bool { return m.ID() == id })
	if at < 0 {
		return nil
	}
	var list []Member
	for i := range min(n, count-1) {
		list = append(list, s.members[(at+1+i)%count])
	}
	return list
}

// ShardOf returns the number of a request ID's shard.
func ShardOf(id string) int { return int(xxhash.Sum64String(id) % ShardCount) }

// RateSlotOf returns the number of the slot that a slice of a client account's rate belongs to.
func RateSlotOf(account string, slice int) int {
	return int(xxhash.Sum64String(account+"#"+strconv.Itoa(slice)) % RateSlotCount)
}

func (s *State) join(j *Join) error {
	m := j.Member
	if m.VM == "" || m.PeerAddress == "" {
		return fmt.Errorf("member without VM or peer address")
	}
	for _, old := range s.Members {
		if old.VM == m.VM && old.Incarnation >= m.Incarnation {
			return fmt.Errorf("incarnation %d is not above %d", m.Incarnation, old.Incarnation)
		}
	}
	for _, old := range s.MemberList() {
		if old.VM == m.VM {
			s.removeMember(old.ID(), false, 0)
		}
	}
	s.Members = maps.Clone(s.Members)
	s.Members[m.ID()] = m
	s.sortMembers()
	for i := range s.Shards {
		s.Shards[i] = s.regroup(i, append(slices.Clone(s.Shards[i].Group), m.ID()))
	}
	for i := range s.RateSlots {
		if s.RateSlots[i].Holder == "" {
			s.RateSlots[i] = RateSlot{Holder: m.ID(), Since: s.Offset, Fenced: s.RateSlots[i].Fenced}
		}
	}
	return nil
}

func (s *State) leave(l *Leave) error {
	if _, ok := s.Members[l.Member]; !ok {
		return errNoSuchMember
	}
	if s.validSuccessor(l.Successor) && l.Successor != l.Member {
		s.Successors = maps.Clone(s.Successors)
		s.Successors[l.Member] = l.Successor
	}
	s.removeMember(l.Member, false, l.LoanMS)
	return nil
}

// validSuccessor reports whether id is a member, or a former member that has handed its grant table over
// in turn.
func (s *State) validSuccessor(id string) bool {
	_, member := s.Members[id]
	_, handedOver := s.Successors[id]
	return member || handedOver
}

func (s *State) fence(f *Fence) error {
	if _, ok := s.Members[f.Member]; !ok {
		return errNoSuchMember
	}
	s.removeMember(f.Member, !f.Ended, 0)
	return nil
}

// removeMember removes a member and reassigns its shards and slots. fenced reports whether the member may still
// be running.
func (s *State) removeMember(id string, fenced bool, loanMS int64) {
	s.Members = maps.Clone(s.Members)
	delete(s.Members, id)
	s.sortMembers()
	if !fenced && s.Witness.has(id) {
		s.Witness.Ended = append(slices.Clone(s.Witness.Ended), id)
	}
	for i := range s.Shards {
		if slices.Contains(s.Shards[i].Group, id) {
			s.Shards[i] = s.regroup(i, slices.Collect(maps.Keys(s.Members)))
		}
	}
	for i, slot := range s.RateSlots {
		if slot.Holder == id {
			s.RateSlots[i] = RateSlot{Holder: s.preferredHolder(i), Since: s.Offset, Fenced: fenced || slot.Fenced, LoanMS: loanMS}
		}
	}
}

// regroup selects a shard's group among the candidates, from as many data centres as possible. If there are
// too few candidates, a full group is kept, since a majority of its members may still be running.
func (s *State) regroup(shard int, candidates []string) Shard {
	old := s.Shards[shard]
	candidates = slices.DeleteFunc(candidates, func(id string) bool {
		_, ok := s.Members[id]
		return !ok
	})
	if len(old.Group) == GroupSize && len(candidates) < GroupSize {
		return old
	}
	seed := "shard#" + strconv.Itoa(shard) + "#"
	ranked := rank(seed, candidates)
	group := s.pickAcrossDataCentres(ranked, GroupSize)
	if slices.Equal(group, old.Group) {
		return old
	}
	next := Shard{Group: group, Since: s.Offset, DroppedUntil: old.DroppedUntil}
	if len(old.Group) < GroupSize {
		next.Past = old.Past
		return next
	}
	next.Past = append(slices.Clone(old.Past), PastGroup{Group: old.Group, Until: s.Offset})
	if extra := len(next.Past) - maxPastGroups; extra > 0 {
		next.DroppedUntil = next.Past[extra-1].Until
		next.Past = next.Past[extra:]
	}
	return next
}

// pickAcrossDataCentres picks up to n members in rank order: first one from each data centre, then from the rest.
func (s *State) pickAcrossDataCentres(ranked []string, n int) []string {
	picked := make([]string, 0, n)
	used := map[string]bool{}
	for _, id := range ranked {
		dc := s.Members[id].DataCentre
		if len(picked) < n && !used[dc] {
			used[dc] = true
			picked = append(picked, id)
		}
	}
	for _, id := range ranked {
		if len(picked) < n && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}

func (s *State) preferredHolder(slot int) string {
	ranked := rank("slot#"+strconv.Itoa(slot)+"#", slices.Collect(maps.Keys(s.Members)))
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

func (s *State) transfer(t *Transfer) error {
	for _, m := range t.Moves {
		if _, ok := s.Members[m.To]; !ok {
			return errNoSuchMember
		}
		for _, i := range m.Slots {
			if i < 0 || i >= RateSlotCount || s.RateSlots[i].Holder != t.From {
				return fmt.Errorf("slot %d is not held by %s", i, t.From)
			}
		}
	}
	for _, m := range t.Moves {
		for _, i := range m.Slots {
			s.RateSlots[i] = RateSlot{Holder: m.To, Since: s.Offset, LoanMS: t.LoanMS}
		}
	}
	return nil
}

func (s *State) replaceWitnesses(w *Witnesses) error {
	if s.Witness.Since != w.Base {
		return errConflict
	}
	for _, id := range w.Members {
		if _, ok := s.Members[id]; !ok {
			return errNoSuchMember
		}
	}
	ended := slices.DeleteFunc(slices.Clone(s.Witness.Ended), func(id string) bool {
		return !slices.Contains(s.Witness.Members, id)
	})
	s.Witness = WitnessState{
		Since:    s.Offset,
		Members:  w.Members,
		Previous: s.Witness.Members,
		Ended:    ended,
	}
	return nil
}

// ProposeWitnesses returns a witness set that matches the membership: the present set without departed
// members, filled up to n members from as many data centres as possible.
func (s *State) ProposeWitnesses(n int) []string {
	ranked := rank("witness#", slices.Collect(maps.Keys(s.Members)))
	kept := slices.DeleteFunc(slices.Clone(s.Witness.Members), func(id string) bool {
		_, ok := s.Members[id]
		return !ok
	})
	rest := slices.DeleteFunc(ranked, func(id string) bool { return slices.Contains(kept, id) })
	for _, id := range s.pickAcrossDataCentres(rest, len(rest)) {
		if len(kept) < n {
			kept = append(kept, id)
		}
	}
	slices.Sort(kept)
	return kept
}

// rank orders member IDs by rendezvous hash, highest first.
func rank(seed string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, len(ids))
	for i, id := range ids {
		list[i] = scored{id, xxhash.Sum64String(seed + id)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ranked := make([]string, len(ids))
	for i, v := range list {
		ranked[i] = v.id
	}
	return ranked
}

// maxSuccessorHops bounds the number of successive handovers that TableHolder follows.
const maxSuccessorHops = 32

// TableHolder returns the ID of the member that holds a member's grant table: the member's own ID, or that of the
// last successor in a row of handovers.
func (s *State) TableHolder(id string) string {
	for range maxSuccessorHops {
		next, ok := s.Successors[id]
		if !ok {
			return id
		}
		id = next
	}
	return id
}

// SplitMemberID parses a member ID.
func SplitMemberID(id string) (vm string, incarnation int64, err error) {
	vm, text, _ := strings.Cut(id, "/")
	incarnation, err = strconv.ParseInt(text, 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("member ID %q: %w", id, err)
	}
	return vm, incarnation, nil
}
