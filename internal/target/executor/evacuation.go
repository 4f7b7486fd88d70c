package executor

import "time"

// withheld returns why the target gets no requests at present, or "" if it does.
func (e *Executor) withheld() string {
	if e.Withhold == nil {
		return ""
	}
	return e.Withhold()
}

// evictionReason returns the reason for a job that was removed from the queue.
func (e *Executor) evictionReason() string {
	if reason := e.withheld(); reason != "" {
		return reason
	}
	return ReasonQueueFull
}

// RefuseQueued refuses the queued jobs. It is called when Withhold begins to return a reason, because targets elsewhere
// can still run them.
func (e *Executor) RefuseQueued() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range e.queue.Clear() {
		e.notify(now, entry, false)
	}
	e.observeLoad(now)
}
