// Package admitter decides which calls a target runs at once, which are queued and which are shed.
package admitter

import "time"

// Decision is the admission decision for a call.
type Decision int

// The admission decisions.
const (
	// Run means that the call starts at once.
	Run Decision = iota
	// Queue means that the call is queued.
	Queue
	// ShedPriority means that the call's priority is not below the admission level.
	ShedPriority
	// ShedQueueFull means that the queue has no room for the call.
	ShedQueueFull
	// ShedDeadline means that the call cannot finish before its deadline.
	ShedDeadline
)

const (
	// maxQueuedPerSlot bounds the queue length per slot of the concurrency limit.
	maxQueuedPerSlot = 2
	// maxQueueTime is the longest time that a call stays queued.
	maxQueueTime = 250 * time.Millisecond
)

// Admitter performs admission control for one target. It is not safe for concurrent use.
type Admitter struct {
	Limit Limit
	Level Level

	queue    queue
	inFlight int
}

// Load describes the load of a target to other nodes.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int
	Level       int
	ServiceTime time.Duration
}

// Load returns the current load.
func (a *Admitter) Load(now time.Time) Load {
	a.tick(now)
	return Load{
		InFlight:    a.inFlight,
		Queued:      a.queue.n,
		Limit:       a.Limit.Current(now),
		Level:       a.Level.Current(),
		ServiceTime: a.Limit.ServiceTime(),
	}
}

func (a *Admitter) tick(now time.Time) {
	a.Limit.Tick(now)
	a.Level.Tick(now)
}

// Offer decides on a call. The evicted calls were queued and are now refused, because they can no longer run in
// time or because the offered call takes their place.
func (a *Admitter) Offer(now time.Time, e *Entry) (d Decision, evicted []*Entry) {
	a.tick(now)
	evicted = a.Expire(now)
	admitted := a.Level.Offer(now, e.Priority)
	if a.inFlight < a.Limit.Current(now) && a.queue.n == 0 {
		a.start(0)
		return Run, evicted
	}
	if !admitted && !e.ChildCall {
		return ShedPriority, evicted
	}
	if e.Deadline.Sub(now) < a.Limit.ServiceTime() {
		return ShedDeadline, evicted
	}
	if a.queue.n >= maxQueuedPerSlot*a.Limit.Current(now) {
		out := a.makeRoom(e)
		if out == nil {
			a.Level.ObserveRefusal()
			return ShedQueueFull, evicted
		}
		a.Level.ObserveRefusal()
		evicted = append(evicted, out)
	}
	e.queuedAt = now
	a.queue.push(e)
	return Queue, evicted
}

func (a *Admitter) makeRoom(e *Entry) *Entry {
	if out := a.queue.evict(e.class()); out != nil {
		return out
	}
	return a.queue.evictFromLargerAccount(e.class(), e.Account)
}

func (a *Admitter) start(wait time.Duration) {
	a.inFlight++
	a.Level.ObserveQueueTime(wait)
}

// Done records the end of a running call, which held its slot for holdTime; serviceTime excludes the time
// spent in child calls. It returns the queued calls that start now and those that are refused now.
func (a *Admitter) Done(now time.Time, holdTime, serviceTime time.Duration, shed bool) (started, refused []*Entry) {
	a.Limit.Observe(now, serviceTime, shed, a.inFlight)
	a.Level.ObserveHoldTime(holdTime)
	a.inFlight--
	return a.StartQueued(now)
}

// Abandon releases the slot of a call that ended before it reached the target.
func (a *Admitter) Abandon(now time.Time) (started, refused []*Entry) {
	a.inFlight--
	return a.StartQueued(now)
}

// StartQueued starts queued calls up to the concurrency limit.
func (a *Admitter) StartQueued(now time.Time) (started, refused []*Entry) {
	a.tick(now)
	refused = a.Expire(now)
	for a.inFlight < a.Limit.Current(now) {
		e := a.queue.pop()
		if e == nil {
			break
		}
		a.start(now.Sub(e.queuedAt))
		started = append(started, e)
	}
	return started, refused
}

// Expire removes the queued calls that have waited for longer than maxQueueTime or can no longer meet their
// deadline.
func (a *Admitter) Expire(now time.Time) []*Entry {
	if a.queue.n == 0 {
		return nil
	}
	expected := a.Limit.ServiceTime()
	out := a.queue.removeIf(func(e *Entry) bool {
		return now.Sub(e.queuedAt) > maxQueueTime || e.Deadline.Sub(now) < expected
	})
	for range out {
		a.Level.ObserveRefusal()
	}
	return out
}

// Cancel removes a queued call whose caller has gone away. It reports whether the call was queued.
func (a *Admitter) Cancel(id string) bool {
	return len(a.queue.removeIf(func(e *Entry) bool { return e.ID == id })) > 0
}

// Drain removes all queued calls and returns them to be refused.
func (a *Admitter) Drain() []*Entry {
	return a.queue.removeIf(func(*Entry) bool { return true })
}

// TakeOver copies the running and queued calls of the previous admitter of the same target.
func (a *Admitter) TakeOver(old *Admitter) {
	a.inFlight = old.inFlight
	a.queue = old.queue
}
