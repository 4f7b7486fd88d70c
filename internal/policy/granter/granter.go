// Package granter decides which executor may run the request with a given ID, so that at most one does.
package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Status is a registrar's answer to an executor that requests an ID.
type Status string

const (
	Granted  Status = "granted"
	Taken    Status = "taken"
	Finished Status = "finished"
	// Stale means that the executor knows an older group than the registrar.
	Stale Status = "stale"
	// Behind means that the registrar knows an older group than the executor, that the registrar's state is
	// unconfirmed, or that the registrar has handed its table over.
	Behind Status = "behind"
	// Full means that the registrar's table is at its capacity.
	Full Status = "full"
)

// Header is one header line of an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is the complete response of a target.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Entry records which executor may run an ID and, once the executor has finished, the answer.
type Entry struct {
	ID        string
	Executor  string
	Finished  bool
	Answer    Answer
	UpdatedAt time.Time
}

// Vote is one registrar's answer to an executor.
type Vote struct {
	From   string
	Status Status
	Answer Answer
	// Covers lists former members whose tables the registrar took over.
	Covers []string
}

// Table holds a registrar's grants. It is not safe for concurrent use.
type Table struct {
	// Retention is the minimum time for which an entry is kept after its last change, unless it is released.
	Retention time.Duration
	// Capacity bounds the number of entries.
	Capacity int

	entries map[string]*Entry
	order   []string
	covers  []string
}

// GrantRequest is an executor's request for an ID.
type GrantRequest struct {
	ID       string
	Executor string
	// Version is the offset of the record that set the latest group known to the executor.
	Version int64
}

// RegistrarState holds the conditions on which a registrar may grant an ID.
type RegistrarState struct {
	// Self is the registrar's member ID.
	Self string
	// Since is the offset of the record that set the present group of the ID's shard.
	Since int64
	// Confirmed reports whether the registrar's state is recent enough to act on.
	Confirmed bool
	// Closed reports whether the registrar has handed its table over.
	Closed bool
}

// Vote answers an executor. It grants only if executor and registrar know the same present group.
// Therefore, once a majority of a former group has folded the record that replaced it, no executor
// obtains an ID from that group alone.
func (t *Table) Vote(now time.Time, req GrantRequest, st RegistrarState) Vote {
	v := Vote{From: st.Self}
	switch {
	case st.Since > req.Version:
		v.Status = Stale
	case st.Since < req.Version, st.Closed, !st.Confirmed:
		v.Status = Behind
	default:
		v.Status, v.Answer = t.Grant(now, req.ID, req.Executor)
		v.Covers = t.Covers()
	}
	return v
}

// Grant assigns an ID to the first executor that requests it.
func (t *Table) Grant(now time.Time, id, executor string) (Status, Answer) {
	t.evictExpired(now)
	e, ok := t.entries[id]
	switch {
	case !ok && len(t.entries) >= t.Capacity:
		return Full, Answer{}
	case !ok:
		t.put(&Entry{ID: id, Executor: executor, UpdatedAt: now})
		return Granted, Answer{}
	case e.Finished:
		return Finished, e.Answer
	case e.Executor == executor:
		return Granted, Answer{}
	default:
		return Taken, Answer{}
	}
}

// Finish stores the answer for an ID, so that later attempts receive it.
func (t *Table) Finish(now time.Time, id, executor string, a Answer) {
	e, ok := t.entries[id]
	if !ok {
		e = &Entry{ID: id, Executor: executor}
		t.put(e)
	}
	if e.Executor != executor {
		return
	}
	e.Finished = true
	e.Answer = a
	e.UpdatedAt = now
}

// Release frees an ID whose executor has not run the request.
func (t *Table) Release(id, executor string) {
	e, ok := t.entries[id]
	if ok && e.Executor == executor && !e.Finished {
		delete(t.entries, id)
	}
}

// Entries returns all entries, ordered by ID, and the members whose tables were taken over.
func (t *Table) Entries() ([]Entry, []string) {
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return list, slices.Clone(t.covers)
}

// Merge takes over the entries of a member that leaves. covers lists that member and the members whose tables it
// had taken over.
func (t *Table) Merge(entries []Entry, covers ...string) {
	for _, e := range entries {
		old, ok := t.entries[e.ID]
		if !ok || (e.Finished && !old.Finished) {
			t.put(&e)
		}
	}
	for _, id := range covers {
		if !slices.Contains(t.covers, id) {
			t.covers = append(t.covers, id)
		}
	}
}

// Covers lists the members whose tables were taken over.
func (t *Table) Covers() []string { return slices.Clone(t.covers) }

func (t *Table) Len() int { return len(t.entries) }

func (t *Table) put(e *Entry) {
	if t.entries == nil {
		t.entries = map[string]*Entry{}
	}
	if _, ok := t.entries[e.ID]; !ok {
		t.order = append(t.order, e.ID)
	}
	t.entries[e.ID] = e
}

// evictExpired removes entries past their retention, in the order in which they were added. It stops at the first
// entry that is still retained.
func (t *Table) evictExpired(now time.Time) {
	for len(t.order) > 0 {
		id := t.order[0]
		e, ok := t.entries[id]
		if ok && now.Sub(e.UpdatedAt) < t.Retention {
			return
		}
		delete(t.entries, id)
		t.order = t.order[1:]
	}
}

// Quorum is a group of registrars and the number of their grants that an executor needs.
type Quorum struct {
	Members []string
	Need    int
}

// Quorums returns the quorums that an executor needs to obtain an ID of a shard: a majority of the
// present group and, from each former group that may still hold a grant, enough grants that the
// remaining registrars are not a majority. The function expired reports whether a former group, replaced
// at an offset, can no longer hold any grant. If complete is false, some relevant former groups are
// unknown or the present group is not full.
func Quorums(sh reducer.Shard, expired func(until int64) bool) (quorums []Quorum, complete bool) {
	n := len(sh.Group)
	if n < reducer.GroupSize {
		return nil, false
	}
	quorums = append(quorums, Quorum{Members: sh.Group, Need: n/2 + 1})
	for _, p := range sh.Past {
		if !expired(p.Until) {
			n := len(p.Group)
			quorums = append(quorums, Quorum{Members: p.Group, Need: n - n/2})
		}
	}
	complete = sh.DroppedUntil == 0 || expired(sh.DroppedUntil)
	return quorums, complete
}

// Decision is the result of counting votes.
type Decision int

const (
	// Wait means that votes are missing.
	Wait Decision = iota
	// Run means that this executor, and no other, may run the request.
	Run
	// Deny means that another executor may hold the ID.
	Deny
	// Replay means that the request has run and that its answer is known.
	Replay
)

// Tally counts the votes against the quorums. It denies the ID only if the missing votes can no longer reach a quorum,
// so that one of two executors that ask at the same moment obtains it. A Replay decision comes with the recorded
// answer.
func Tally(quorums []Quorum, votes []Vote) (Decision, Answer) {
	granted, covered, taken := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, v := range votes {
		switch v.Status {
		case Finished:
			return Replay, v.Answer
		case Granted:
			granted[v.From] = true
			addAll(covered, v.Covers)
		case Taken:
			taken[v.From] = true
			addAll(taken, v.Covers)
		}
	}
	// A table that was taken over may have held the other executor's grant.
	if len(taken) == 0 {
		for id := range covered {
			granted[id] = true
		}
	}
	decision := Run
	for _, q := range quorums {
		switch {
		case len(q.Members)-q.count(taken) < q.Need:
			return Deny, Answer{}
		case q.count(granted) < q.Need:
			decision = Wait
		}
	}
	return decision, Answer{}
}

func addAll(set map[string]bool, ids []string) {
	for _, id := range ids {
		set[id] = true
	}
}

// count returns how many of the quorum's members are in a set.
func (q Quorum) count(set map[string]bool) int {
	n := 0
	for _, id := range q.Members {
		if set[id] {
			n++
		}
	}
	return n
}
