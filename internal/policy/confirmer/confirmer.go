// Package confirmer decides from timestamped evidence whether a node's state is recent enough to act on.
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

// Evidence collects evidence of how recent a node's state is. It is not safe for concurrent use.
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

// watermark records a time at which all offsets up to the observed one were known to be settled.
type watermark struct {
	observation
	openedAt time.Time
}

// observation states that every change in force at the time has the offset or a lower one.
type observation struct {
	at     time.Time
	offset int64
}

// RecordHead records that a request sent at sentAt read the head of the stream.
func (e *Evidence) RecordHead(sentAt time.Time, head int64) {
	e.add(observation{sentAt, head})
}

// RecordPeer records that a peer, queried at sentAt, was confirmed up to offset by evidence of the given age.
func (e *Evidence) RecordPeer(sentAt time.Time, age time.Duration, offset int64) {
	e.add(observation{sentAt.Add(-age), offset})
}

// RecordAck records that a member, queried at sentAt, had folded offset.
func (e *Evidence) RecordAck(sentAt time.Time, member string, offset int64) {
	if e.acks == nil {
		e.acks = map[string]observation{}
	}
	old := e.acks[member]
	if sentAt.After(old.at) {
		e.acks[member] = observation{sentAt, max(offset, old.offset)}
	}
}

func (e *Evidence) add(o observation) {
	if len(e.pending) == maxPending {
		e.pending = e.pending[1:]
	}
	e.pending = append(e.pending, o)
}

// Update evaluates the evidence against the node's state.
func (e *Evidence) Update(now time.Time, s *reducer.State) {
	e.pending = slices.DeleteFunc(e.pending, func(o observation) bool {
		if o.offset > s.Offset {
			return false
		}
		e.advance(o.at)
		return true
	})
	if len(s.Witness.Members) == 0 {
		return
	}
	e.advance(e.majorityTime(now, s))
	e.settle(now, e.majorityOffset(s))
	e.pruneAcks(s)
}

// RecordSettled records that another node knows offset to be settled.
func (e *Evidence) RecordSettled(now time.Time, offset int64) { e.settle(now, offset) }

func (e *Evidence) settle(now time.Time, offset int64) {
	if offset <= e.settled {
		return
	}
	e.settled = offset
	if n := len(e.watermarks); n > 0 && now.Sub(e.watermarks[n-1].openedAt) < watermarkInterval {
		e.watermarks[n-1].observation = observation{now, offset}
		return
	}
	if len(e.watermarks) == maxWatermarks {
		e.watermarks = e.watermarks[1:]
	}
	e.watermarks = append(e.watermarks, watermark{observation{now, offset}, now})
}

func (e *Evidence) advance(at time.Time) {
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
	}
}

// majorityTime returns the latest time since which a majority of the witnesses has answered with an
// offset that s includes. Until the present witness set is settled, this holds for the previous set too.
func (e *Evidence) majorityTime(now time.Time, s *reducer.State) time.Time {
	at := func(id string) time.Time {
		if id == e.Self {
			return now
		}
		ack := e.acks[id]
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
	if previous.Before(present) && !e.previousRetired(s) {
		return previous
	}
	return present
}

// previousRetired reports whether the present witness set is settled, so that the previous set no longer
// counts.
func (e *Evidence) previousRetired(s *reducer.State) bool { return e.settled >= s.Witness.Since }

// majorityOffset returns the highest offset that a majority of the witnesses has folded. Until the present
// witness set is settled, a majority of the previous set is required as well. A witness that is known to
// have stopped counts as having folded s.
func (e *Evidence) majorityOffset(s *reducer.State) int64 {
	offset := func(id string) int64 {
		switch {
		case id == e.Self:
			return s.Offset
		case slices.Contains(s.Witness.Ended, id):
			return s.Offset
		default:
			return e.acks[id].offset
		}
	}
	settled := majority(s.Witness.Members, offset, cmp.Compare[int64])
	if len(s.Witness.Previous) > 0 && !e.previousRetired(s) {
		settled = min(settled, majority(s.Witness.Previous, offset, cmp.Compare[int64]))
	}
	return min(settled, s.Offset)
}

// majority returns the largest value that more than half of the members have or exceed.
func majority[T any](ids []string, value func(string) T, compare func(a, b T) int) T {
	values := make([]T, len(ids))
	for i, id := range ids {
		values[i] = value(id)
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[len(ids)/2]
}

func (e *Evidence) pruneAcks(s *reducer.State) {
	for id := range e.acks {
		if !slices.Contains(s.Witness.Members, id) && !slices.Contains(s.Witness.Previous, id) {
			delete(e.acks, id)
		}
	}
}

// Age returns the age of the newest evidence, and false if there is none.
func (e *Evidence) Age(now time.Time) (time.Duration, bool) {
	if e.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(e.confirmedAt)), true
}

// Confirmed reports whether the evidence is recent enough to act on.
func (e *Evidence) Confirmed(now time.Time) bool {
	age, ok := e.Age(now)
	return ok && age <= e.Window
}

// Settled returns the highest offset known to be folded by a majority of the witnesses.
func (e *Evidence) Settled() int64 { return e.settled }

// Expired reports whether every node that has not folded offset is known to have stopped acting at least extra
// ago, because its own evidence has become too old.
func (e *Evidence) Expired(now time.Time, offset int64, extra time.Duration) bool {
	i := slices.IndexFunc(e.watermarks, func(m watermark) bool { return m.offset >= offset })
	return i >= 0 && now.Sub(e.watermarks[i].at) > e.Window+e.ClockMargin+extra
}

// HasQuorum reports whether a majority of the witnesses has answered within Window.
func (e *Evidence) HasQuorum(now time.Time, s *reducer.State) bool {
	if len(s.Witness.Members) == 0 {
		return false
	}
	at := func(id string) time.Time {
		if id == e.Self {
			return now
		}
		return e.acks[id].at
	}
	return now.Sub(majority(s.Witness.Members, at, time.Time.Compare)) <= e.Window
}
