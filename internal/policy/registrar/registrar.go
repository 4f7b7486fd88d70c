// Package registrar keeps which incarnations of a target have deregistered.
//
// A deregistration names only the target's ID, and the node may not know the incarnation: its process has just started, or
// the incarnation's first announcement is late. Announcements that were sent before the deregistration may arrive after it
// and must not bring the target back, while a later incarnation with the same ID must be accepted at once. So a
// deregistration applies to each incarnation that had started when it was received.
package registrar

import "time"

// maxDepartures bounds the targets of which a node remembers that they have deregistered.
const maxDepartures = 64

// Moment is a moment as read from both clocks of a VM.
type Moment struct {
	// WallMs is the time of day in milliseconds since the Unix epoch. It may jump.
	WallMs int64
	// SinceBoot is the time since the VM was booted. It does not jump.
	SinceBoot time.Duration
}

// In returns the time of day of m, in milliseconds since the Unix epoch, as the VM's present clock would have shown it.
func (m Moment) In(now Moment) int64 {
	return now.WallMs - (now.SinceBoot - m.SinceBoot).Milliseconds()
}

type departure struct {
	id string
	at Moment
}

// Registrar holds the latest deregistration of each target. The zero value is empty. It is not safe for concurrent use.
type Registrar struct {
	// departures are ordered by the time at which they were recorded.
	departures []departure
}

// Record records that the target with the ID has deregistered.
func (r *Registrar) Record(id string, at Moment) {
	for i, d := range r.departures {
		if d.id != id {
			continue
		}
		if d.at.SinceBoot > at.SinceBoot {
			return
		}
		r.departures = append(r.departures[:i], r.departures[i+1:]...)
		break
	}
	if len(r.departures) >= maxDepartures {
		r.departures = r.departures[1:]
	}
	r.departures = append(r.departures, departure{id: id, at: at})
}

// Departure returns when the incarnation that started at the given time of day, in milliseconds since the Unix epoch, has
// deregistered. It returns false if it has not. If the time of day has jumped since, an incarnation that may have started
// after the deregistration counts as a later one.
func (r *Registrar) Departure(id string, startedAtMs int64, now Moment) (Moment, bool) {
	for _, d := range r.departures {
		if d.id == id {
			return d.at, startedAtMs <= min(d.at.WallMs, d.at.In(now))
		}
	}
	return Moment{}, false
}
