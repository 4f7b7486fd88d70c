package executor

import "time"

// beginLate records that a request of the route begins to run, and returns the time from which on it is late.
func (e *Executor) beginLate(now time.Time, route string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late.Begin(now, route)
}

// endLate records that a request of the route has ended.
func (e *Executor) endLate(route string, took time.Duration, lateAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late.End(route, took, lateAt)
}

// NoticeSlow reports whether other nodes should hear at once that the target has become slow.
func (e *Executor) NoticeSlow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late.Notice(time.Now())
}
