// Package recorder keeps a bounded ring of events with hybrid logical times.
package recorder

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a hybrid logical time: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
type Stamp struct {
	// Wall is in milliseconds since the Unix epoch.
	Wall    int64 `json:"wall"`
	Logical int64 `json:"logical"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// String returns the form that ParseStamp reads.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Wall, s.Logical) }

// ParseStamp reads a stamp; a malformed one gives the zero stamp.
func ParseStamp(text string) Stamp {
	wall, logical, _ := strings.Cut(text, ".")
	w, err1 := strconv.ParseInt(wall, 10, 64)
	l, err2 := strconv.ParseInt(logical, 10, 64)
	if err1 != nil || err2 != nil {
		return Stamp{}
	}
	return Stamp{Wall: w, Logical: l}
}

// Kind names a type of event.
type Kind string

// The kinds of events.
const (
	Served     Kind = "served"
	Refused    Kind = "refused"
	Retried    Kind = "retried"
	Started    Kind = "run-started"
	Ended      Kind = "run-ended"
	Replayed   Kind = "replayed"
	Folded     Kind = "folded"
	Skipped    Kind = "record-skipped"
	Lost       Kind = "state-lost"
	Confirmed  Kind = "confirmed"
	Stale      Kind = "stale"
	Proposed   Kind = "proposed"
	Ejected    Kind = "target-ejected"
	Announced  Kind = "target-announced"
	Draining   Kind = "draining"
	Stopped    Kind = "stopped"
	SlotOpened Kind = "slot-opened"
)

// Event is one decision or change of state.
type Event struct {
	Time Stamp  `json:"time"`
	Node string `json:"node"`
	Kind Kind   `json:"kind"`
	// Request is the root id of the whole request that the event belongs to.
	Request string `json:"request,omitempty"`
	// Change is the record id that the event belongs to.
	Change  string `json:"change,omitempty"`
	Account string `json:"client-account,omitempty"`
	Route   string `json:"route,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Ring holds the newest events of one node. It is safe for concurrent use.
type Ring struct {
	// Node names the node.
	Node string
	// Capacity bounds the number of events.
	Capacity int
	// Clock returns the wall time.
	Clock func() time.Time

	mu     sync.Mutex
	last   Stamp
	events []Event
	next   int
}

// Add stamps an event and stores it in place of the oldest one.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.tick()
	e.Node = r.Node
	if len(r.events) < r.Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.Capacity
}

// Now returns the stamp to put on an outgoing message.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Witness moves the clock past the stamp of a received message. A stamp more than a minute ahead of
// the wall clock is ignored.
func (r *Ring) Witness(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const maxAhead = 60_000
	if s.Wall > r.Clock().UnixMilli()+maxAhead {
		return
	}
	if s.Compare(r.last) > 0 {
		r.last = s
	}
}

func (r *Ring) tick() Stamp {
	wall := r.Clock().UnixMilli()
	if wall > r.last.Wall {
		r.last = Stamp{Wall: wall}
	} else {
		r.last.Logical++
	}
	return r.last
}

// After returns the stored events later than a stamp, oldest first.
func (r *Ring) After(s Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if e.Time.Compare(s) > 0 {
			list = append(list, e)
		}
	}
	return list
}
