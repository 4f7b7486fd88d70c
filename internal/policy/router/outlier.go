package router

import "time"

const (
	ejectAfter   = 5
	ejectBase    = time.Second
	ejectMax     = 30 * time.Second
	suspectAfter = 3 * time.Second
)

// Outlier follows one target's failures. It is not safe for concurrent use.
type Outlier struct {
	failures  int
	ejections int
	until     time.Time
	probing   bool
}

// Observe notes whether a call reached the target and was answered.
func (o *Outlier) Observe(now time.Time, ok bool) {
	if ok {
		*o = Outlier{}
		return
	}
	o.failures++
	o.probing = false
	if o.failures >= ejectAfter {
		o.until = now.Add(min(ejectBase<<min(o.ejections, 10), ejectMax))
		o.ejections++
		o.failures = ejectAfter - 1
	}
}

// Ejected says whether the target is left out. After the ejection one call at a time probes it.
func (o *Outlier) Ejected(now time.Time) bool {
	if o.ejections == 0 {
		return false
	}
	return now.Before(o.until) || o.probing
}

// Probe notes that a call is sent to a target whose ejection is over.
func (o *Outlier) Probe() {
	if o.ejections > 0 {
		o.probing = true
	}
}

// Suspect says whether a member that was last heard of at a time is presumed dead.
func Suspect(now, heard time.Time) bool { return now.Sub(heard) > suspectAfter }
