// Package confirmer decides from timestamped evidence whether a node's folded state is recent enough
// to act on.
package confirmer

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// maxPending bounds the observations whose offsets the node has not folded yet.
const maxPending = 32

const (
	// maxWatermarks bounds the watermarks that are kept.
	maxWatermarks = 512
	// watermarkInterval is the period that one watermark covers.
	watermarkInterval = 5 * time.Second
)

// Evidence collects evidence of how recent a node's folded state is. It is not safe for concurrent use.
//
// An offset is settled once a majority of the witnesses has folded it. Accepted changes and fences take
// effect only once they are settled. Therefore a node that has received answers from a majority of the
// witnesses, or has read the head of the stream, knows every change and fence that was in force then.
type Evidence struct {
	// Self is the member ID of this node; empty until the node has joined.
	Self string
	// Window is how long evidence stays valid.
	Window time.Duration
	// ClockMargin allows for the difference of clock rates over Window.
	ClockMargin time.Duration

	confirmedAt time.Time
	pending     []observation
	acks        map[string]observation
	settled     int64
	watermarks  []watermark
}

// watermark records a time at which all offsets up to one were known to be settled.
type watermark struct {
	observation
	opened time.Time
}

// observation states that every change in force at a time has this offset or a lower one.
type observation struct {
	at     time.Time
	offset int64
}

// RecordHead records that a request sent at sentAt read the head of the stream.
func (t *Evidence) RecordHead(sentAt time.Time, head int64) {
	t.add(observation{sentAt, head})
}

// RecordPeer records that a peer, queried at sentAt, was confirmed up to offset by evidence of the given age.
func (t *Evidence) RecordPeer(sentAt time.Time, age time.Duration, offset int64) {
	t.add(observation{sentAt.Add(-age), offset})
}

// RecordAck records that a member, queried at sentAt, had folded offset.
func (t *Evidence) RecordAck(sentAt time.Time, member string, offset int64) {
	if t.acks == nil {
		t.acks = map[string]observation{}
	}
	old := t.acks[member]
	if sentAt.After(old.at) {
		t.acks[member] = observation{sentAt, max(offset, old.offset)}
	}
}

func (t *Evidence) add(o observation) {
	if len(t.pending) == maxPending {
		t.pending = t.pending[1:]
	}
	t.pending = append(t.pending, o)
}

// Update evaluates the evidence against the node's folded state.
func (t *Evidence) Update(now time.Time, s *reducer.State) {
	t.pending = slices.DeleteFunc(t.pending, func(o observation) bool {
		if o.offset > s.Offset {
			return false
		}
		t.advance(o.at)
		return true
	})
	if len(s.Witness.Members) == 0 {
		return
	}
	t.advance(t.majorityTime(now, s))
	t.settle(now, t.majorityOffset(s))
	t.pruneAcks(s)
}

// RecordSettled records that another node knows offset to be settled.
func (t *Evidence) RecordSettled(now time.Time, offset int64) { t.settle(now, offset) }

func (t *Evidence) settle(now time.Time, offset int64) {
	if offset <= t.settled {
		return
	}
	t.settled = offset
	if n := len(t.watermarks); n > 0 && now.Sub(t.watermarks[n-1].opened) < watermarkInterval {
		t.watermarks[n-1].observation = observation{now, offset}
		return
	}
	if len(t.watermarks) == maxWatermarks {
		t.watermarks = t.watermarks[1:]
	}
	t.watermarks = append(t.watermarks, watermark{observation{now, offset}, now})
}

func (t *Evidence) advance(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// majorityTime returns the latest time since which a majority of the witnesses has answered with an
// offset that s includes. Until the present witness set is settled, this holds for the previous set too.
func (t *Evidence) majorityTime(now time.Time, s *reducer.State) time.Time {
	at := func(id string) time.Time {
		if id == t.Self {
			return now
		}
		ack := t.acks[id]
		if ack.offset > s.Offset {
			return time.Time{}
		}
		return ack.at
	}
	present := majority(s.Witness.Members, at, time.Time.Compare)
	if len(s.Witness.Previous) == 0 {
		return present
	}
	previous := majority(s.Witness.Previous, at, time.Time.Compare)
	if previous.Before(present) && !t.previousRetired(s) {
		return previous
	}
	return present
}

// previousRetired reports whether the present witness set is settled, so that the previous set no longer
// counts.
func (t *Evidence) previousRetired(s *reducer.State) bool { return t.settled >= s.Witness.Since }

// majorityOffset returns the highest offset that a majority of the witnesses has folded. Until the present
// witness set is settled, a majority of the previous set is required as well. A witness that is known to
// have stopped counts as having folded s.
func (t *Evidence) majorityOffset(s *reducer.State) int64 {
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
	if len(s.Witness.Previous) > 0 && !t.previousRetired(s) {
		settled = min(settled, majority(s.Witness.Previous, offset, cmp.Compare[int64]))
	}
	return min(settled, s.Offset)
}

// majority returns the largest value that more than half of the ids have or exceed.
func majority[T any](ids []string, value func(string) T, compare func(a, b T) int) T {
	values := make([]T, len(ids))
	for i, id := range ids {
		values[i] = value(id)
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[len(ids)/2]
}

func (t *Evidence) pruneAcks(s *reducer.State) {
	for id := range t.acks {
		if !slices.Contains(s.Witness.Members, id) && !slices.Contains(s.Witness.Previous, id) {
			delete(t.acks, id)
		}
	}
}

// Age returns the age of the newest evidence, and false if there is none.
func (t *Evidence) Age(now time.Time) (time.Duration, bool) {
	if t.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(t.confirmedAt)), true
}

// Confirmed reports whether the evidence is recent enough to act on.
func (t *Evidence) Confirmed(now time.Time) bool {
	age, ok := t.Age(now)
	return ok && age <= t.Window
}

// Settled returns the highest offset known to be folded by a majority of the witnesses.
func (t *Evidence) Settled() int64 { return t.settled }

// Expired reports whether every node that has not folded offset stopped acting at least extra ago.
func (t *Evidence) Expired(now time.Time, offset int64, extra time.Duration) bool {
	i := slices.IndexFunc(t.watermarks, func(m watermark) bool { return m.offset >= offset })
	return i >= 0 && now.Sub(t.watermarks[i].at) > t.Window+t.ClockMargin+extra
}

// HasQuorum reports whether a majority of the witnesses has answered within Window.
func (t *Evidence) HasQuorum(now time.Time, s *reducer.State) bool {
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
