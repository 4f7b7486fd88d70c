// Package regulator decides what share of the demand for a target may be let in.
package regulator

import "time"

const (
	// Period is the time between two changes of the share. A request that was let in reaches the deepest
	// service within some such periods.
	Period = 100 * time.Millisecond
	// setpoint is the load, in requests running or waiting per slot, that the share is steered to. Above it
	// queues grow faster than throughput.
	setpoint = 0.85
	// gain is the relative change of the share per period and relative error. Requests reach a deep target
	// up to 400 ms after they were let in; a higher gain oscillated.
	gain = 0.15
	// mostLoad caps the load that one period counts, so that a stalled target does not close the entry for
	// longer than it takes to recover.
	mostLoad = 2.0
	// LeastShare keeps some requests coming, so that a recovery is noticed.
	LeastShare = 0.02
)

// Regulator steers one target. It is not safe for concurrent use.
type Regulator struct {
	share   float64
	since   time.Time
	updated time.Time
	load    float64
	// area is the integral of the load since the period began, in seconds.
	area float64
}

// Share returns the share of the demand that may be let in, from LeastShare to 1.
func (r *Regulator) Share() float64 {
	if r.share == 0 {
		return 1
	}
	return r.share
}

// Observe notes the load from now on: requests running and waiting, and the slots.
func (r *Regulator) Observe(now time.Time, running, waiting, slots int) {
	r.advance(now)
	r.load = float64(running+waiting) / float64(max(slots, 1))
}

func (r *Regulator) advance(now time.Time) {
	if r.updated.IsZero() {
		r.since = now
		r.updated = now
	}
	r.area += r.load * now.Sub(r.updated).Seconds()
	r.updated = now
}

// Tick changes the share when a period is over.
func (r *Regulator) Tick(now time.Time) {
	r.advance(now)
	span := now.Sub(r.since)
	if span < Period {
		return
	}
	mean := min(r.area/span.Seconds(), mostLoad)
	r.area = 0
	r.since = now
	share := r.Share() * (1 + gain*(setpoint-mean)/setpoint)
	r.share = min(max(share, LeastShare), 1)
}
