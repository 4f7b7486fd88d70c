// Package recorder provides a ring buffer of events with hybrid logical timestamps.
package recorder

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timestamp is a hybrid logical clock timestamp, see Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
type Timestamp struct {
	// Wall is in milliseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders timestamps with the same Wall.
	Logical int64 `json:"logical"`
}

// Compare returns a negative number if t is earlier than o, zero if they are equal, and a positive number otherwise.
func (t Timestamp) Compare(o Timestamp) int {
	return cmp.Or(cmp.Compare(t.Wall, o.Wall), cmp.Compare(t.Logical, o.Logical))
}

// String formats the timestamp for ParseTimestamp.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Wall, t.Logical) }

// ParseTimestamp parses the format of String. It returns the zero timestamp for malformed text.
func ParseTimestamp(text string) Timestamp {
	wall, logical, _ := strings.Cut(text, ".")
	w, err1 := strconv.ParseInt(wall, 10, 64)
	l, err2 := strconv.ParseInt(logical, 10, 64)
	if err1 != nil || err2 != nil {
		return Timestamp{}
	}
	return Timestamp{Wall: w, Logical: l}
}

// Kind is the type of an event.
type Kind string

// Event kinds.
const (
	Served          Kind = "served"
	Refused         Kind = "refused"
	Retried         Kind = "retried"
	RunStarted      Kind = "run-started"
	RunEnded        Kind = "run-ended"
	Replayed        Kind = "replayed"
	RecordApplied   Kind = "folded"
	RecordSkipped   Kind = "record-skipped"
	StateLost       Kind = "state-lost"
	Confirmed       Kind = "confirmed"
	Stale           Kind = "stale"
	Proposed        Kind = "proposed"
	TargetEjected   Kind = "target-ejected"
	TargetAnnounced Kind = "target-announced"
	Draining        Kind = "draining"
	Stopped         Kind = "stopped"
	SlotOpened      Kind = "slot-opened"
)

// Event records a decision or a state change of a node.
type Event struct {
	Time Timestamp `json:"time"`
	Node string    `json:"node"`
	Kind Kind      `json:"kind"`
	// Request is the root ID of the request to which the event belongs.
	Request string `json:"request,omitempty"`
	// Change is the ID of the log record to which the event belongs.
	Change  string `json:"change,omitempty"`
	Account string `json:"client-account,omitempty"`
	Route   string `json:"route,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the latest events of one node, with the node's hybrid logical clock. It is safe for
// concurrent use.
type Ring struct {
	// Node is the name of the node.
	Node string
	// Capacity is the maximum number of events.
	Capacity int
	// Clock returns the current wall time.
	Clock func() time.Time

	mu     sync.Mutex
	last   Timestamp
	events []Event
	// next is the index of the oldest event once the ring is full.
	next int
}

// Add sets the time and the node of an event and stores it. A full ring overwrites its oldest event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.nextTimestamp()
	e.Node = r.Node
	if len(r.events) < r.Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.Capacity
}

// Now advances the clock and returns the timestamp for an outgoing message.
func (r *Ring) Now() Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextTimestamp()
}

// Observe advances the clock to the timestamp of a received message. It ignores a timestamp more than a minute ahead
// of the wall clock.
func (r *Ring) Observe(t Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const maxAheadMs = 60_000
	if t.Wall > r.Clock().UnixMilli()+maxAheadMs {
		return
	}
	if t.Compare(r.last) > 0 {
		r.last = t
	}
}

// nextTimestamp advances the clock. The caller must hold mu.
func (r *Ring) nextTimestamp() Timestamp {
	wall := r.Clock().UnixMilli()
	if wall > r.last.Wall {
		r.last = Timestamp{Wall: wall}
	} else {
		r.last.Logical++
	}
	return r.last
}

// After returns the stored events later than t, oldest first.
func (r *Ring) After(t Timestamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if e.Time.Compare(t) > 0 {
			list = append(list, e)
		}
	}
	return list
}
