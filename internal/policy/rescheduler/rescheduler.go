// Package rescheduler decides when refused requests return. It answers a load that exceeds the capacity for some seconds:
// without it, refused callers return at random, are refused again as often as others, and extend the overload.
//
// Each class of requests has a calendar. A refused request is given the next free time in it, so that the requests that
// return take no more than a part of what is admitted of the class, in the order in which they were refused. The request
// that returns at its time is admitted before others of its class. Requests for which no time is left that helps the caller
// are told a time without a reservation, spread over the rest of the time that callers wait.
package rescheduler

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
)

const (
	// MinDelay is the shortest delay that is given. The caller needs to open a connection meanwhile.
	MinDelay = 150 * time.Millisecond
	// returnShare is the part of the admitted rate that is given to requests that return. The rest is left for new ones,
	// which would all be late otherwise.
	returnShare = 0.5
	// earlyTolerance is how long before its time a request may return. Callers round the delay.
	earlyTolerance = 30 * time.Millisecond
	// reservationLife is how long after its time a reservation is kept.
	reservationLife = time.Second
	// idleTimeout is the time without refusals after which the calendar of a class is removed.
	idleTimeout = 10 * time.Second
	// maxReservations bounds the reservations of a node, in number. Further requests get none.
	maxReservations = 4096
	// sweepInterval is the time between two removals of what has expired.
	sweepInterval = time.Second
)

// Key identifies a request when it returns, under which it has another ID. Equal requests of an account have the same key.
type Key uint64

// Refusal describes a refused request.
type Refusal struct {
	Class prioritizer.Class
	Key   Key
	// AdmittedRate is the number of requests of the class per second that are admitted at this node at present.
	AdmittedRate float64
	// Useful is the longest delay after which the request can still meet its response-time objective. MaxDelay is the
	// longest delay that the caller waits.
	Useful   time.Duration
	MaxDelay time.Duration
}

// Scheduler holds the calendars of one node. It is not safe for concurrent use.
type Scheduler struct {
	// Random returns a number in [0, 1).
	Random func() float64

	calendars    map[prioritizer.Class]*calendar
	reservations map[Key]reservation
	sweptAt      time.Time
}

// calendar holds the next free time of a class.
type calendar struct {
	next      time.Time
	refusedAt time.Time
}

type reservation struct {
	class prioritizer.Class
	at    time.Time
}

// Refuse returns the delay after which a refused request is to return, and whether it then has a reservation. The delay is
// at most MaxDelay.
func (s *Scheduler) Refuse(now time.Time, r *Refusal) (delay time.Duration, reserved bool) {
	s.sweep(now)
	c := s.calendar(now, r.Class)
	at := now.Add(MinDelay)
	if c.next.After(at) {
		at = c.next
	}
	delay = at.Sub(now)
	latest := min(r.Useful, r.MaxDelay)
	rate := returnShare * r.AdmittedRate
	if delay <= latest && rate > 0 && len(s.reservations) < maxReservations {
		if _, taken := s.reservations[r.Key]; !taken {
			c.next = at.Add(time.Duration(float64(time.Second) / rate))
			s.reservations[r.Key] = reservation{r.Class, at}
			return delay, true
		}
	}
	latest = min(max(latest, MinDelay), r.MaxDelay)
	return latest + time.Duration(s.Random()*float64(r.MaxDelay-latest)), false
}

// Return reports whether the request has a reservation whose time has come, and uses it up. A request that returns before
// its time has none, but keeps its reservation.
func (s *Scheduler) Return(now time.Time, class prioritizer.Class, key Key) bool {
	if len(s.reservations) == 0 {
		return false
	}
	r, ok := s.reservations[key]
	if !ok || r.class != class || now.Before(r.at.Add(-earlyTolerance)) {
		return false
	}
	delete(s.reservations, key)
	return !r.expired(now)
}

// Reservations returns the number of reservations that have not been used.
func (s *Scheduler) Reservations() int { return len(s.reservations) }

func (r *reservation) expired(now time.Time) bool { return now.Sub(r.at) > reservationLife }

func (s *Scheduler) calendar(now time.Time, class prioritizer.Class) *calendar {
	if s.calendars == nil {
		s.calendars, s.reservations = map[prioritizer.Class]*calendar{}, map[Key]reservation{}
	}
	c := s.calendars[class]
	if c == nil {
		c = &calendar{}
		s.calendars[class] = c
	}
	c.refusedAt = now
	return c
}

// sweep removes reservations that were not used and calendars that are no longer needed.
func (s *Scheduler) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for key, r := range s.reservations {
		if r.expired(now) {
			delete(s.reservations, key)
		}
	}
	for class, c := range s.calendars {
		if now.Sub(c.refusedAt) > idleTimeout {
			delete(s.calendars, class)
		}
	}
}
