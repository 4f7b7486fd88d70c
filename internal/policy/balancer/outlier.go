package balancer

import "time"

const (
	ejectAfterFailures = 5
	baseEjectionTime   = time.Second
	maxEjectionTime    = 30 * time.Second
	suspectTimeout     = 3 * time.Second
)

// OutlierDetector implements outlier ejection for one target. It is not safe for concurrent use.
type OutlierDetector struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	probing      bool
}

// Observe records whether a call reached the target and was answered.
func (o *OutlierDetector) Observe(now time.Time, ok bool) {
	if ok {
		*o = OutlierDetector{}
		return
	}
	o.failures++
	o.probing = false
	if o.failures >= ejectAfterFailures {
		o.ejectedUntil = now.Add(min(baseEjectionTime<<min(o.ejections, 10), maxEjectionTime))
		o.ejections++
		o.failures = ejectAfterFailures - 1
	}
}

// Ejected reports whether the target is currently ejected. After the ejection time, one call at a time
// may probe the target.
func (o *OutlierDetector) Ejected(now time.Time) bool {
	if o.ejections == 0 {
		return false
	}
	return now.Before(o.ejectedUntil) || o.probing
}

// StartProbe records that a call is sent to a target whose ejection time is over.
func (o *OutlierDetector) StartProbe() {
	if o.ejections > 0 {
		o.probing = true
	}
}

// IsSuspect reports whether a member is suspected to have failed, given when the last message from it
// arrived.
func IsSuspect(now, lastSeen time.Time) bool { return now.Sub(lastSeen) > suspectTimeout }
