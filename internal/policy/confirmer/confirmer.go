// Package confirmer decides from dated evidence whether a node's fold is recent enough to act on.
package confirmer

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// maxClaims bounds the evidence that waits for the fold to catch up.
const maxClaims = 32

const (
	// maxMarks bounds the remembered times at which offsets became settled.
	maxMarks = 512
	// markSpan is the time that one mark covers.
	markSpan = 5 * time.Second
)

// Table collects evidence. It is not safe for concurrent use.
//
// An offset is settled once a majority of the witnesses has folded it. Since accepted changes and
// fences take effect only after they are settled, a node that has heard from a majority of the
// witnesses, or has read the head of the stream, knows of all that was in force at that time.
type Table struct {
	// Self is the member ID of this node; empty before it has joined.
	Self string
	// Window is how long evidence lasts.
	Window time.Duration
	// Margin covers the difference of clock rates over Window.
	Margin time.Duration

	base    time.Time
	claims  []claim
	acks    map[string]claim
	settled int64
	marks   []mark
}

// mark says that at a time all offsets up to one were known to be settled.
type mark struct {
	claim
	opened time.Time
}

// claim says that whatever was in force at a time is at or below an offset.
type claim struct {
	at     time.Time
	offset int64
}

// Head notes that the stream's head was read by a request sent at sentAt.
func (t *Table) Head(sentAt time.Time, head int64) {
	t.add(claim{sentAt, head})
}

// Peer notes that a peer, asked at sentAt, was confirmed for an offset with an age.
func (t *Table) Peer(sentAt time.Time, age time.Duration, offset int64) {
	t.add(claim{sentAt.Add(-age), offset})
}

// Ack notes that a member, asked at sentAt, had folded an offset.
func (t *Table) Ack(sentAt time.Time, member string, offset int64) {
	if t.acks == nil {
		t.acks = map[string]claim{}
	}
	old := t.acks[member]
	if sentAt.After(old.at) {
		t.acks[member] = claim{sentAt, max(offset, old.offset)}
	}
}

func (t *Table) add(c claim) {
	if len(t.claims) == maxClaims {
		t.claims = t.claims[1:]
	}
	t.claims = append(t.claims, c)
}

// Update weighs the evidence against the fold that the node has reached.
func (t *Table) Update(now time.Time, s *reducer.State) {
	t.claims = slices.DeleteFunc(t.claims, func(c claim) bool {
		if c.offset > s.Offset {
			return false
		}
		t.raise(c.at)
		return true
	})
	if len(s.Witness.Members) == 0 {
		return
	}
	t.raise(t.heard(now, s))
	t.settle(now, t.acked(s))
	t.prune(s)
}

// Settle notes that another node knows an offset to be settled.
func (t *Table) Settle(now time.Time, offset int64) { t.settle(now, offset) }

func (t *Table) settle(now time.Time, offset int64) {
	if offset <= t.settled {
		return
	}
	t.settled = offset
	if n := len(t.marks); n > 0 && now.Sub(t.marks[n-1].opened) < markSpan {
		t.marks[n-1].claim = claim{now, offset}
		return
	}
	if len(t.marks) == maxMarks {
		t.marks = t.marks[1:]
	}
	t.marks = append(t.marks, mark{claim{now, offset}, now})
}

func (t *Table) raise(at time.Time) {
	if at.After(t.base) {
		t.base = at
	}
}

// heard returns the time since which a majority of the witnesses has answered without being ahead.
func (t *Table) heard(now time.Time, s *reducer.State) time.Time {
	at := func(id string) time.Time {
		if id == t.Self {
			return now
		}
		c := t.acks[id]
		if c.offset > s.Offset {
			return time.Time{}
		}
		return c.at
	}
	base := majority(s.Witness.Members, at, time.Time.Compare)
	if len(s.Witness.Previous) == 0 {
		return base
	}
	previous := majority(s.Witness.Previous, at, time.Time.Compare)
	if previous.Before(base) && !t.replaced(s) {
		return previous
	}
	return base
}

// replaced says whether the present witness set is settled, so that the previous one no longer counts.
func (t *Table) replaced(s *reducer.State) bool { return t.settled >= s.Witness.Since }

// acked returns the offset that a majority of the present and of the previous witnesses has folded.
func (t *Table) acked(s *reducer.State) int64 {
	offset := func(id string) int64 {
		switch {
		case id == t.Self:
			return s.Offset
		case slices.Contains(s.Witness.Ended, id):
			return s.Offset
		default:
			return t.acks[id].offset
		}
	}
	settled := majority(s.Witness.Members, offset, cmp.Compare[int64])
	if len(s.Witness.Previous) > 0 && !t.replaced(s) {
		settled = min(settled, majority(s.Witness.Previous, offset, cmp.Compare[int64]))
	}
	return min(settled, s.Offset)
}

// majority returns the largest value that more than half of the ids reach.
func majority[T any](ids []string, value func(string) T, compare func(a, b T) int) T {
	values := make([]T, len(ids))
	for i, id := range ids {
		values[i] = value(id)
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[len(ids)/2]
}

func (t *Table) prune(s *reducer.State) {
	for id := range t.acks {
		if !slices.Contains(s.Witness.Members, id) && !slices.Contains(s.Witness.Previous, id) {
			delete(t.acks, id)
		}
	}
}

// Age returns how old the newest evidence is.
func (t *Table) Age(now time.Time) (time.Duration, bool) {
	if t.base.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(t.base)), true
}

// Confirmed says whether the evidence is recent enough to act on.
func (t *Table) Confirmed(now time.Time) bool {
	age, ok := t.Age(now)
	return ok && age <= t.Window
}

// Settled returns the highest offset known to be folded by a majority of the witnesses.
func (t *Table) Settled() int64 { return t.settled }

// Expired says whether every node that has not folded offset stopped acting at least extra ago.
func (t *Table) Expired(now time.Time, offset int64, extra time.Duration) bool {
	i := slices.IndexFunc(t.marks, func(m mark) bool { return m.offset >= offset })
	return i >= 0 && now.Sub(t.marks[i].at) > t.Window+t.Margin+extra
}

// Quorum says whether a majority of the witnesses has answered within the window.
func (t *Table) Quorum(now time.Time, s *reducer.State) bool {
	if len(s.Witness.Members) == 0 {
		return false
	}
	at := func(id string) time.Time {
		if id == t.Self {
			return now
		}
		return t.acks[id].at
	}
	return now.Sub(majority(s.Witness.Members, at, time.Time.Compare)) <= t.Window
}
