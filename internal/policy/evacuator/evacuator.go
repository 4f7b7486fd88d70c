// Package evacuator decides which data centres are evacuated, from what a node reads of the operator's records.
//
// A record takes effect as soon as it is read, from whatever source, because the earlier a node stops sending the
// better. An evacuation ends only when a complete read of the store, sent after the node had learned of the
// evacuation, proves that there is no record. A store that was restored from a copy may lack records or have an earlier
// state of them, so its reads prove nothing until its era has settled.
package evacuator

import (
	"cmp"
	"slices"
	"time"
)

// UnknownOffset is the offset of a change that no record shows.
const UnknownOffset = -1

// Evacuation is the evacuation of a data centre. Offset is that of its record in the store.
type Evacuation struct {
	DataCentre string
	Offset     int64
}

// Change is the begin or the end of an evacuation. The offset is that of the record, or UnknownOffset if the end shows
// only by the absence of the record.
type Change struct {
	Evacuation
	Evacuated bool
}

// evacuation is an evacuation in force.
type evacuation struct {
	offset    int64
	learnedAt time.Duration
}

// Set holds the evacuated data centres. All times are readings of one clock that also runs while the VM is suspended.
// It is not safe for concurrent use.
type Set struct {
	inForce map[string]evacuation
	// read holds the state of the store's records as far as they have been read: the offsets of the newest records of
	// evacuated data centres. removed holds the offsets of the removals among them.
	read    map[string]int64
	removed map[string]int64
	// complete is set once the store's records have been read to their end, or another node's list was adopted.
	complete bool
	// provenAt is the latest time at which the set is known to have been complete. It is valid if proven is set.
	proven   bool
	provenAt time.Duration
}

// Restart forgets what was read of the store, because its newest records are read again. What is in force remains.
func (s *Set) Restart() { s.read, s.removed = nil, nil }

// Apply applies a record of a data centre that was read at the given time. It returns the change and true if the
// evacuation of the data centre begins.
func (s *Set) Apply(now time.Duration, e Evacuation, evacuated bool) (Change, bool) {
	if s.read == nil {
		s.read, s.removed = map[string]int64{}, map[string]int64{}
	}
	if !evacuated {
		delete(s.read, e.DataCentre)
		s.removed[e.DataCentre] = e.Offset
		return Change{}, false
	}
	delete(s.removed, e.DataCentre)
	s.read[e.DataCentre] = e.Offset
	return s.begin(now, e)
}

// begin records that an evacuation is in force that was learned of at the given time.
func (s *Set) begin(now time.Duration, e Evacuation) (Change, bool) {
	if s.inForce == nil {
		s.inForce = map[string]evacuation{}
	}
	_, known := s.inForce[e.DataCentre]
	s.inForce[e.DataCentre] = evacuation{offset: e.Offset, learnedAt: now}
	return Change{Evacuation: e, Evacuated: true}, !known
}

// Complete records that the records applied are all that the store had when it answered.
func (s *Set) Complete() { s.complete = true }

// Confirm records that the records applied are the newest ones, which a read of the store proves that was sent at the
// given time. It returns what changes.
func (s *Set) Confirm(now, sentAt time.Duration) []Change {
	s.complete = true
	if s.proven && sentAt < s.provenAt {
		// The list of another node is more recent.
		return nil
	}
	s.proven, s.provenAt = true, sentAt
	list := make([]Evacuation, 0, len(s.read))
	for dataCentre, offset := range s.read {
		list = append(list, Evacuation{DataCentre: dataCentre, Offset: offset})
	}
	return s.replace(now, sentAt, list)
}

// Adopt replaces the set by the list of another node, which was complete at the time provenAt, unless this node's own
// proof is as recent. It returns what changes.
func (s *Set) Adopt(now, provenAt time.Duration, list []Evacuation) []Change {
	if s.proven && provenAt <= s.provenAt {
		return nil
	}
	s.complete, s.proven, s.provenAt = true, true, provenAt
	return s.replace(now, provenAt, list)
}

// replace puts the list in force, which was complete at the time provenAt. An evacuation that this node has learned of
// since then stays in force, because the list may precede it.
func (s *Set) replace(now, provenAt time.Duration, list []Evacuation) []Change {
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.DataCentre] = true
		if _, known := s.inForce[e.DataCentre]; known {
			continue
		}
		c, _ := s.begin(now, e)
		changes = append(changes, c)
	}
	for dataCentre, e := range s.inForce {
		if listed[dataCentre] || e.learnedAt > provenAt {
			continue
		}
		delete(s.inForce, dataCentre)
		offset, ok := s.removed[dataCentre]
		if !ok {
			offset = UnknownOffset
		}
		changes = append(changes, Change{Evacuation: Evacuation{DataCentre: dataCentre, Offset: offset}})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return changes
}

// Known reports whether the set was complete at any time since the start.
func (s *Set) Known() bool { return s.complete }

// ProvenAt returns the latest time at which the set is known to have been complete, or false if there is none.
func (s *Set) ProvenAt() (time.Duration, bool) { return s.provenAt, s.proven }

// List returns the evacuations in force, ordered by the name of the data centre.
func (s *Set) List() []Evacuation {
	list := make([]Evacuation, 0, len(s.inForce))
	for dataCentre, e := range s.inForce {
		list = append(list, Evacuation{DataCentre: dataCentre, Offset: e.offset})
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}
