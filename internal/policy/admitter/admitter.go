// Package admitter decides which calls a target runs, which wait and which are refused.
package admitter

import "time"

// Verdict is what becomes of an offered call.
type Verdict int

// The verdicts.
const (
	// Run says that the call may start now.
	Run Verdict = iota
	// Queue says that the call waits.
	Queue
	// ShedLevel says that the call's priority is not admitted at present.
	ShedLevel
	// ShedFull says that the queue has no room for the call.
	ShedFull
	// ShedLate says that the deadline cannot be met.
	ShedLate
)

const (
	// queuePerSlot bounds the queue, in calls per slot of the limit.
	queuePerSlot = 2
	// maxWait is the longest time in the queue.
	maxWait = 250 * time.Millisecond
)

// Admitter guards one target. It is not safe for concurrent use.
type Admitter struct {
	Limit Limit
	Level Level

	queue    queue
	inFlight int
}

// Load describes an admitter to other nodes.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int
	Level       int
	ServiceTime time.Duration
}

// Load returns the present load.
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

// Offer decides on a call. Evicted calls had been queued and are refused now in its favour.
func (a *Admitter) Offer(now time.Time, e *Entry) (v Verdict, evicted []*Entry) {
	a.tick(now)
	evicted = a.Expire(now)
	admitted := a.Level.Offer(now, e.Priority)
	if a.inFlight < a.Limit.Current(now) && a.queue.n == 0 {
		a.start(0)
		return Run, evicted
	}
	if !admitted && !e.Later {
		return ShedLevel, evicted
	}
	if e.Deadline.Sub(now) < a.Limit.ServiceTime() {
		return ShedLate, evicted
	}
	if a.queue.n >= queuePerSlot*a.Limit.Current(now) {
		out := a.makeRoom(e)
		if out == nil {
			a.Level.Refused()
			return ShedFull, evicted
		}
		a.Level.Refused()
		evicted = append(evicted, out)
	}
	e.queued = now
	a.queue.push(e)
	return Queue, evicted
}

func (a *Admitter) makeRoom(e *Entry) *Entry {
	if out := a.queue.evict(e.class()); out != nil {
		return out
	}
	return a.queue.evictShare(e.class(), e.Account)
}

func (a *Admitter) start(wait time.Duration) {
	a.inFlight++
	a.Level.Waited(wait)
}

// Done notes that a running call has ended: it held its slot for a span, and own is its service time
// without child calls. It returns the calls that start now and those that are refused now.
func (a *Admitter) Done(now time.Time, held, own time.Duration, shed bool) (started, refused []*Entry) {
	a.Limit.Observe(now, own, shed, a.inFlight)
	a.Level.Held(held)
	a.inFlight--
	return a.Next(now)
}

// Abandon notes that a running call has ended without having reached the target.
func (a *Admitter) Abandon(now time.Time) (started, refused []*Entry) {
	a.inFlight--
	return a.Next(now)
}

// Next starts queued calls as far as the limit allows.
func (a *Admitter) Next(now time.Time) (started, refused []*Entry) {
	a.tick(now)
	refused = a.Expire(now)
	for a.inFlight < a.Limit.Current(now) {
		e := a.queue.pop()
		if e == nil {
			break
		}
		a.start(now.Sub(e.queued))
		started = append(started, e)
	}
	return started, refused
}

// Expire takes out the queued calls that have waited too long or can no longer meet their deadline.
func (a *Admitter) Expire(now time.Time) []*Entry {
	if a.queue.n == 0 {
		return nil
	}
	expected := a.Limit.ServiceTime()
	out := a.queue.removeIf(func(e *Entry) bool {
		return now.Sub(e.queued) > maxWait || e.Deadline.Sub(now) < expected
	})
	for range out {
		a.Level.Refused()
	}
	return out
}

// Cancel takes out a queued call whose caller has gone. It says whether the call was queued.
func (a *Admitter) Cancel(id string) bool {
	return len(a.queue.removeIf(func(e *Entry) bool { return e.ID == id })) > 0
}

// Drain refuses all queued calls.
func (a *Admitter) Drain() []*Entry {
	return a.queue.removeIf(func(*Entry) bool { return true })
}

// Resume takes over the running and queued calls of an earlier admitter for the same target.
func (a *Admitter) Resume(old *Admitter) {
	a.inFlight = old.inFlight
	a.queue = old.queue
}
