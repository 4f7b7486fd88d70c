// Package regulator decides how much work may be let in for a service, so that its targets are busy and
// nothing waits long in front of them.
//
// What fits is known beforehand: the slots of the targets, and how long a request holds one. A trim, learnt
// from the load that really comes about, makes good what that leaves out.
package regulator

import "time"

const (
	// Setpoint is the load per slot that is steered to. With the weight of waiting requests it keeps some nine
	// slots in ten of a small target busy. Above it queues grow faster than throughput.
	Setpoint = 0.93
	// waitingWeight is what a waiting request counts against a running one. Counted in full, the short waits of a
	// target with few slots that is well used looked like overload, and a fifth of its slots stayed idle.
	waitingWeight = 0.25
	// Period is the time between two changes of the trim.
	Period = 100 * time.Millisecond
	// gain is the relative change of the trim per period and relative error. Requests reach a deep target up
	// to 400 ms after they were let in; a faster trim oscillated.
	gain = 0.04
	// farOff is the relative error from which the trim rises farFactor times faster.
	farOff    = 0.3
	farFactor = 3
	// mostLoad caps the load that counts, so that a stalled target does not close the entry for longer than
	// it takes to recover.
	mostLoad  = 1.8
	leastTrim = 0.3
	mostTrim  = 1.15
	// LeastShare keeps some requests coming, so that a recovery is noticed.
	LeastShare = 0.02
)

// Meter averages the load of one target over periods. It is not safe for concurrent use.
type Meter struct {
	since   time.Time
	updated time.Time
	load    float64
	area    float64
	mean    float64
}

// Observe notes the load from now on: requests running and waiting, and the slots.
func (m *Meter) Observe(now time.Time, running, waiting, slots int) {
	m.advance(now)
	m.load = (float64(running) + waitingWeight*float64(waiting)) / float64(max(slots, 1))
}

func (m *Meter) advance(now time.Time) {
	if m.updated.IsZero() {
		m.since = now
		m.updated = now
	}
	m.area += m.load * now.Sub(m.updated).Seconds()
	m.updated = now
	span := now.Sub(m.since)
	if span < Period {
		return
	}
	m.mean = m.area / span.Seconds()
	m.area = 0
	m.since = now
}

// Mean returns the mean load of the last period.
func (m *Meter) Mean(now time.Time) float64 {
	m.advance(now)
	return m.mean
}

// Trim corrects what is let in for a service. It is not safe for concurrent use.
type Trim struct {
	value  float64
	ticked time.Time
}

// Value returns the present trim; 1 means that what was worked out is right.
func (t *Trim) Value() float64 {
	if t.value == 0 {
		return 1
	}
	return t.value
}

// Tick changes the trim by the mean load of the service's targets when a period is over.
func (t *Trim) Tick(now time.Time, load float64) {
	if now.Sub(t.ticked) < Period {
		return
	}
	t.ticked = now
	off := (Setpoint - min(load, mostLoad)) / Setpoint
	if off > farOff {
		// Much of the service is idle: a trim from before a loss of targets, or from their start.
		off *= farFactor
	}
	t.value = min(max(t.Value()*(1+gain*off), leastTrim), mostTrim)
}

// Share returns the part of the demand, in slots, that fits into a number of slots.
func Share(slots int, trim, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(max(Setpoint*trim*float64(slots)/demand, LeastShare), 1)
}
