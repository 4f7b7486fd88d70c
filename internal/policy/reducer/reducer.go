// Package reducer folds the records of the fleet's stream into the state that the fleet agrees on.
package reducer

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Status is the result of folding a record.
type Status string

const (
	Accepted  Status = "accepted"
	Conflict  Status = "conflict"
	Rejected  Status = "rejected"
	Duplicate Status = "duplicate"
	Malformed Status = "malformed"
)

// Outcome describes the result of folding a record.
type Outcome struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	Status Status `json:"verdict"`
	// Current is, for a conflict, the resource version in force and, for a duplicate, the offset of the
	// earlier record.
	Current int64  `json:"current,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// State is everything that the fleet agrees on. A State is not modified after it has been returned.
type State struct {
	// Offset is that of the last folded record; offsets start at 1.
	Offset    int64
	Resources map[ResourceID]Resource
	Members   map[string]Member
	// Successors maps a member that left to the member that took over its grant table. That member may have
	// left as well; see TableHolder.
	Successors map[string]string
	Witness    WitnessState
	Shards     [ShardCount]Shard
	RateSlots  [RateSlotCount]RateSlot
	// SnapshotAsOf is the highest offset that a folded snapshot covers.
	SnapshotAsOf int64
	recent       []Outcome
	index        *index
	// members holds Members ordered by VM and incarnation.
	members []Member
}

// maxRecentOutcomes bounds the outcomes that are kept to detect repeated records.
const maxRecentOutcomes = 1024

var (
	errConflict     = errors.New("the resource has changed since")
	errNoSuchMember = errors.New("no such member")
)

// New returns the state before the first record.
func New() *State {
	s := &State{
		Resources:  map[ResourceID]Resource{},
		Members:    map[string]Member{},
		Successors: map[string]string{},
	}
	s.index = newIndex(s.Resources)
	return s
}

// Fold returns the state after the record at an offset, and the record's outcome. A record that is not accepted
// only advances the offset. Records at or below the state's offset change nothing.
func Fold(s *State, offset int64, data []byte) (*State, Outcome) {
	if offset <= s.Offset {
		return s, Outcome{Offset: offset, Status: Duplicate}
	}
	next := *s
	next.Offset = offset
	rec, err := Decode(data)
	if err != nil {
		return &next, Outcome{Offset: offset, Status: Malformed, Reason: err.Error()}
	}
	if earlier, ok := s.FindOutcome(rec.ID); ok {
		return &next, Outcome{ID: rec.ID, Offset: offset, Status: Duplicate, Current: earlier.Offset}
	}
	out := Outcome{ID: rec.ID, Offset: offset, Status: Accepted}
	if err := next.apply(rec); err != nil {
		rejected := *s
		rejected.Offset = offset
		next = rejected
		out.Status = Rejected
		out.Reason = err.Error()
		if errors.Is(err, errConflict) {
			out.Status = Conflict
			out.Current = s.versionOf(rec)
		}
	}
	if rec.Snapshot == nil {
		next.recordOutcome(out)
	}
	return &next, out
}

// FindOutcome returns the outcome of the record with the given ID, if that record is among the most recent ones.
func (s *State) FindOutcome(id string) (Outcome, bool) {
	i := slices.IndexFunc(s.recent, func(o Outcome) bool { return o.ID == id })
	if i < 0 {
		return Outcome{}, false
	}
	return s.recent[i], true
}

func (s *State) recordOutcome(out Outcome) {
	start := max(0, len(s.recent)+1-maxRecentOutcomes)
	kept := make([]Outcome, 0, len(s.recent)-start+1)
	kept = append(kept, s.recent[start:]...)
	s.recent = append(kept, out)
}

func (s *State) versionOf(rec Record) int64 {
	if rec.Change == nil {
		return 0
	}
	return s.Resources[ResourceID{rec.Change.Kind, rec.Change.Name}].Version
}

func (s *State) apply(rec Record) error {
	switch {
	case rec.Change != nil:
		return s.change(rec.Change)
	case rec.Join != nil:
		return s.join(rec.Join)
	case rec.Leave != nil:
		return s.leave(rec.Leave)
	case rec.Fence != nil:
		return s.fence(rec.Fence)
	case rec.Transfer != nil:
		return s.transfer(rec.Transfer)
	case rec.Witnesses != nil:
		return s.replaceWitnesses(rec.Witnesses)
	default:
		s.SnapshotAsOf = max(s.SnapshotAsOf, rec.Snapshot.AsOf)
		return nil
	}
}

func (s *State) change(c *Change) error {
	id := ResourceID{c.Kind, c.Name}
	if s.Resources[id].Version != c.Base {
		return errConflict
	}
	if c.Delete {
		return s.remove(id)
	}
	if err := Validate(c.Kind, c.Name, c.Spec); err != nil {
		return err
	}
	s.index = s.index.without(s.Resources[id])
	s.Resources = maps.Clone(s.Resources)
	s.Resources[id] = Resource{Kind: c.Kind, Name: c.Name, Version: s.Offset, Spec: c.Spec}
	s.index = s.index.with(s.Resources[id])
	return nil
}

func (s *State) remove(id ResourceID) error {
	if _, ok := s.Resources[id]; !ok {
		return fmt.Errorf("no %s %s", id.Kind, id.Name)
	}
	s.index = s.index.without(s.Resources[id])
	s.Resources = maps.Clone(s.Resources)
	delete(s.Resources, id)
	return nil
}

type stateDoc struct {
	Offset       int64                   `json:"offset"`
	Resources    []Resource              `json:"resources"`
	Members      []Member                `json:"members"`
	Successors   map[string]string       `json:"successors"`
	Witness      WitnessState            `json:"witness"`
	Shards       [ShardCount]Shard       `json:"shards"`
	Slots        [RateSlotCount]RateSlot `json:"slots"`
	SnapshotAsOf int64                   `json:"snapshot-as-of"`
	Recent       []Outcome               `json:"recent"`
}

// Marshal serializes the state for a snapshot. Equal states give equal bytes.
func Marshal(s *State) ([]byte, error) {
	doc := stateDoc{
		Offset:       s.Offset,
		Resources:    s.List(""),
		Members:      s.MemberList(),
		Successors:   s.Successors,
		Witness:      s.Witness,
		Shards:       s.Shards,
		Slots:        s.RateSlots,
		SnapshotAsOf: s.SnapshotAsOf,
		Recent:       s.recent,
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("marshal state: %w", err)
	}
	return data, nil
}

// Unmarshal restores a state from a snapshot.
func Unmarshal(data []byte) (*State, error) {
	var doc stateDoc
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("%w: state: %w", ErrMalformed, err)
	}
	s := New()
	for _, r := range doc.Resources {
		if err := Validate(r.Kind, r.Name, r.Spec); err != nil {
			return nil, fmt.Errorf("%w: state: %w", ErrMalformed, err)
		}
		s.Resources[ResourceID{r.Kind, r.Name}] = r
	}
	for _, m := range doc.Members {
		s.Members[m.ID()] = m
	}
	s.sortMembers()
	maps.Copy(s.Successors, doc.Successors)
	s.Offset = doc.Offset
	s.Witness = doc.Witness
	s.Shards = doc.Shards
	s.RateSlots = doc.Slots
	s.SnapshotAsOf = doc.SnapshotAsOf
	s.recent = doc.Recent
	s.index = newIndex(s.Resources)
	return s, nil
}
