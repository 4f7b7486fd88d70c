// Package latecounter counts the running requests of a target that have run longer than expected. A target that becomes
// slow is recognised by them before any of them ends.
package latecounter

import "time"

const (
	// holdTimeWeight is the weight of the latest request in the moving average of a route's hold time. With 80 slots, the
	// average follows a lasting change within a few hold times.
	holdTimeWeight = 0.1
	// A request is late once it has exceeded the hold time of its route by that time again, between minExcess and maxExcess,
	// or by excessShare of it if that is more. At 40 ms, a target with a hold time of 60 ms is recognised within 100 ms. With
	// 40 ms for all routes, a third of the requests with a hold time of 500 ms counted as late at a sound target.
	minExcess   = 20 * time.Millisecond
	maxExcess   = 40 * time.Millisecond
	excessShare = 0.5
	// minLate and minShare are the number and the share of late requests from which the target counts as slow.
	minLate  = 3
	minShare = 0.25
	// noticeInterval is the minimum time between two notices of a slow target.
	noticeInterval = 500 * time.Millisecond
)

// LateAfter returns the time from which on a request is late whose route has the given hold time.
func LateAfter(hold time.Duration) time.Duration {
	return hold + max(min(max(hold, minExcess), maxExcess), time.Duration(excessShare*float64(hold)))
}

// Counter counts late requests. The zero value is ready to use. It is not safe for concurrent use.
type Counter struct {
	holdTimes map[string]time.Duration
	// lateAt holds, for each running request, the time from which on it is late, or zero if the hold time of its route is
	// unknown.
	lateAt    []time.Time
	noticedAt time.Time
}

// Begin records that a request of the route begins. The result must be passed to End.
func (c *Counter) Begin(now time.Time, route string) (lateAt time.Time) {
	if hold := c.holdTimes[route]; hold > 0 {
		lateAt = now.Add(LateAfter(hold))
	}
	c.lateAt = append(c.lateAt, lateAt)
	return lateAt
}

// End records that a request of the route has ended that took the given time.
func (c *Counter) End(route string, took time.Duration, lateAt time.Time) {
	if c.holdTimes == nil {
		c.holdTimes = map[string]time.Duration{}
	}
	hold, known := c.holdTimes[route]
	if !known {
		hold = took
	}
	c.holdTimes[route] = hold + time.Duration(holdTimeWeight*float64(took-hold))
	for i, at := range c.lateAt {
		if at.Equal(lateAt) {
			last := len(c.lateAt) - 1
			c.lateAt[i] = c.lateAt[last]
			c.lateAt = c.lateAt[:last]
			return
		}
	}
}

// Late returns the number of running requests that are late.
func (c *Counter) Late(now time.Time) int {
	n := 0
	for _, at := range c.lateAt {
		if !at.IsZero() && now.After(at) {
			n++
		}
	}
	return n
}

// Notice reports whether others should hear at once that the target is slow: a part of its requests is late, and the
// previous notice is some time ago.
func (c *Counter) Notice(now time.Time) bool {
	late := c.Late(now)
	if late < minLate || float64(late) < minShare*float64(len(c.lateAt)) || now.Sub(c.noticedAt) < noticeInterval {
		return false
	}
	c.noticedAt = now
	return true
}
