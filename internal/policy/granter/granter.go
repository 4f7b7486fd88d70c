// Package granter decides which one executor may run a request id.
package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Status is a registrar's answer to an executor that asks for an id.
type Status string

// The statuses.
const (
	Granted  Status = "granted"
	Taken    Status = "taken"
	Finished Status = "finished"
	// Stale says that the asker's membership is behind.
	Stale Status = "stale"
	// Behind says that the registrar's membership is behind or unconfirmed.
	Behind Status = "behind"
	// Full says that the registrar's table has no room.
	Full Status = "full"
)

// Header is one header line of an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is the whole answer that a target gave.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Entry says who may run an id and what came of it.
type Entry struct {
	ID       string
	Executor string
	Finished bool
	Answer   Answer
	At       time.Time
}

// Vote is one registrar's answer.
type Vote struct {
	From   string
	Status Status
	Answer Answer
	// Covers lists members that left and whose tables the registrar took over.
	Covers []string
}

// Table holds a registrar's grants. It is not safe for concurrent use.
type Table struct {
	// Retention is how long an entry is kept after its last change.
	Retention time.Duration
	// Capacity bounds the number of entries.
	Capacity int

	entries map[string]*Entry
	order   []string
	covers  []string
}

// Ask is an executor's request for an id.
type Ask struct {
	ID       string
	Executor string
	// Version is the offset of the record that made the group that the executor asks.
	Version int64
}

// Standing is what a registrar knows of its own right to grant an id.
type Standing struct {
	// Self is the registrar's member ID.
	Self string
	// Since is the offset of the record that made the id's present group.
	Since int64
	// Confirmed says that the registrar's fold is recent.
	Confirmed bool
	// Closed says that the registrar has handed its table over.
	Closed bool
}

// Vote answers an executor. Both must know the same present group: so once a majority of a former
// group has folded its end, nobody obtains an id from that group alone.
func (t *Table) Vote(now time.Time, ask Ask, st Standing) Vote {
	v := Vote{From: st.Self}
	switch {
	case st.Since > ask.Version:
		v.Status = Stale
	case st.Since < ask.Version, st.Closed, !st.Confirmed:
		v.Status = Behind
	default:
		v.Status, v.Answer = t.Grant(now, ask.ID, ask.Executor)
		v.Covers = t.Covers()
	}
	return v
}

// Grant gives an id to the first executor that asks for it.
func (t *Table) Grant(now time.Time, id, executor string) (Status, Answer) {
	t.sweep(now)
	e, ok := t.entries[id]
	switch {
	case !ok && len(t.entries) >= t.Capacity:
		return Full, Answer{}
	case !ok:
		t.put(&Entry{ID: id, Executor: executor, At: now})
		return Granted, Answer{}
	case e.Finished:
		return Finished, e.Answer
	case e.Executor == executor:
		return Granted, Answer{}
	default:
		return Taken, Answer{}
	}
}

// Finish keeps the answer of an id for later attempts.
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
	e.At = now
}

// Release frees an id whose executor has not run it.
func (t *Table) Release(id, executor string) {
	e, ok := t.entries[id]
	if ok && e.Executor == executor && !e.Finished {
		delete(t.entries, id)
	}
}

// Entries returns the whole table and the members that it covers.
func (t *Table) Entries() ([]Entry, []string) {
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return list, slices.Clone(t.covers)
}

// Merge takes over the table of a member that leaves and of those that it covered.
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

// Len returns the number of entries.
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

// sweep drops entries past their retention, oldest first.
func (t *Table) sweep(now time.Time) {
	for len(t.order) > 0 {
		id := t.order[0]
		e, ok := t.entries[id]
		if ok && now.Sub(e.At) < t.Retention {
			return
		}
		delete(t.entries, id)
		t.order = t.order[1:]
	}
}

// Quorum is a group of registrars and how many of them an executor needs.
type Quorum struct {
	Members []string
	Need    int
}

// Quorums returns what an executor needs to obtain an id of a shard: a majority of the present group,
// and of each former group that may hold a grant so many that no majority of it remains. Expired tells
// whether a former group, replaced at an offset, can hold none any more. Without whole, some former
// groups that matter are not known, or the present group is not full.
func Quorums(sh reducer.Shard, expired func(until int64) bool) (quorums []Quorum, whole bool) {
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
	whole = sh.Forgotten == 0 || expired(sh.Forgotten)
	return quorums, whole
}

// Decision is what the votes amount to.
type Decision int

// The decisions.
const (
	// Wait says that votes are missing.
	Wait Decision = iota
	// Run says that the executor alone may run the id.
	Run
	// Deny says that another executor may have it.
	Deny
	// Replay says that it has run and that its answer is known.
	Replay
)

// Tally weighs the votes against the quorums.
func Tally(quorums []Quorum, votes []Vote) (Decision, Answer) {
	for _, v := range votes {
		if v.Status == Finished {
			return Replay, v.Answer
		}
	}
	granted := map[string]bool{}
	for _, v := range votes {
		if v.Status == Taken {
			return Deny, Answer{}
		}
		if v.Status == Granted {
			granted[v.From] = true
			for _, id := range v.Covers {
				granted[id] = true
			}
		}
	}
	for _, q := range quorums {
		if !q.reached(granted) {
			return Wait, Answer{}
		}
	}
	return Run, Answer{}
}

func (q Quorum) reached(granted map[string]bool) bool {
	n := 0
	for _, id := range q.Members {
		if granted[id] {
			n++
		}
	}
	return n >= q.Need
}
