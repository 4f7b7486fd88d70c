package executor

import "time"

// beginLate records that a request of the route begins to run. It returns the time from which on it is late, and the number
// of requests that run now.
func (e *Executor) beginLate(now time.Time, route string) (lateAt time.Time, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late.Begin(now, route), e.queue.Running()
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
