// Package regulator controls how much work is admitted for a service, so that its targets are well used and
// their queues stay short.
//
// The capacity is estimated from the slots of the targets and the time for which a request holds a slot. A
// correction factor, learned from the measured load, compensates for the errors of this estimate.
package regulator

import "time"

const (
	// Setpoint is the load per slot that the correction aims at. With waiting requests counted at
	// waitingWeight, about nine in ten slots of a small target are busy at this load. At a higher load, queues
	// grow faster than throughput.
	Setpoint = 0.93
	// waitingWeight is the weight of a waiting request relative to a running one. At a weight of 1, the short
	// waits of a well-used target with few slots looked like overload, and a fifth of its slots stayed idle.
	waitingWeight = 0.25
	// Period is the time between two changes of the correction.
	Period = 100 * time.Millisecond
	// gain is the relative change of the correction per period and relative error. Requests reach a target deep
	// in the call graph up to 400 ms after they were admitted, so with a higher gain the correction oscillated.
	gain = 0.04
	// largeError is the relative error above which the correction rises largeErrorFactor times faster.
	largeError       = 0.3
	largeErrorFactor = 3
	// maxLoad caps the load that the correction reacts to, so that a stalled target doesn't throttle admission
	// for longer than the target takes to recover.
	maxLoad       = 1.8
	minCorrection = 0.3
	maxCorrection = 1.15
	// MinShare is the lower bound of the admitted share. It keeps some requests flowing, so that a recovery is
	// detected.
	MinShare = 0.02
)

// Meter averages the load of one target over periods. It is not safe for concurrent use.
type Meter struct {
	periodStart time.Time
	updatedAt   time.Time
	load        float64
	loadSeconds float64
	mean        float64
}

// Observe records the running and waiting requests and the slots, which determine the load from now on.
func (m *Meter) Observe(now time.Time, running, waiting, slots int) {
	m.advance(now)
	m.load = (float64(running) + waitingWeight*float64(waiting)) / float64(max(slots, 1))
}

func (m *Meter) advance(now time.Time) {
	if m.updatedAt.IsZero() {
		m.periodStart = now
		m.updatedAt = now
	}
	m.loadSeconds += m.load * now.Sub(m.updatedAt).Seconds()
	m.updatedAt = now
	elapsed := now.Sub(m.periodStart)
	if elapsed < Period {
		return
	}
	m.mean = m.loadSeconds / elapsed.Seconds()
	m.loadSeconds = 0
	m.periodStart = now
}

// Mean returns the mean load of the last complete period.
func (m *Meter) Mean(now time.Time) float64 {
	m.advance(now)
	return m.mean
}

// Correction is the learned correction factor for the admitted load of a service. It is not safe for concurrent use.
type Correction struct {
	value    float64
	lastTick time.Time
	// rejectedAt is when the target last rejected requests, and loweredAt when the factor last followed rejections.
	rejectedAt time.Time
	loweredAt  time.Time
}

// Value returns the current factor; 1 means no correction.
func (c *Correction) Value() float64 {
	if c.value == 0 {
		return 1
	}
	return c.value
}

// Tick adjusts the factor to the mean load of the service's targets, at most once per period.
func (c *Correction) Tick(now time.Time, load float64) {
	if now.Sub(c.lastTick) < Period {
		return
	}
	c.lastTick = now
	relativeError := (Setpoint - min(load, maxLoad)) / Setpoint
	if relativeError > largeError {
		// Much of the service is idle, because the factor was learned before targets were lost or started.
		relativeError *= largeErrorFactor
	}
	if relativeError > 0 && !c.rejectedAt.IsZero() && now.Sub(c.rejectedAt) < rejectionHold {
		return
	}
	c.value = min(max(c.Value()*(1+gain*relativeError), minCorrection), maxCorrection)
}

// Capacity returns the number of slots that may be in use at the set point.
func Capacity(slots int, correction float64) float64 { return Setpoint * correction * float64(slots) }

// AdmittedShare returns the fraction of the demand that the given number of slots can serve. The demand is in
// slots.
func AdmittedShare(slots int, correction, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(max(Capacity(slots, correction)/demand, MinShare), 1)
}
