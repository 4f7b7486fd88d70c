package executor

import (
	"context"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
)

// acquireSlot waits for a slot. It returns the reason if the job is refused, or "" if it got a slot. A queued
// job that notify refuses gets ReasonQueueFull, even if the cause is that the target has left or is unreachable, unless
// the target is withheld.
func (e *Executor) acquireSlot(ctx context.Context, job *Job) string {
	entry, wait, reason := e.enqueue(job)
	if reason != "" || wait == nil {
		return reason
	}
	timer := time.NewTimer(job.MaxWait)
	defer timer.Stop()
	select {
	case admitted := <-wait:
		if !admitted {
			return e.evictionReason()
		}
		return ""
	case <-timer.C:
		return e.abandonWait(job, entry, wait, ReasonQueueTimeout)
	case <-ctx.Done():
		return e.abandonWait(job, entry, wait, ReasonCancelled)
	}
}

// enqueue takes a free slot or queues the job. The returned channel is nil if the job got a slot or was refused. If
// the queue is full, either this job is refused or a less important one is evicted.
func (e *Executor) enqueue(job *Job) (*queuer.Entry, chan bool, string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalReason(now, job.ExpectedIncarnation); reason != "" {
		return nil, nil, reason
	}
	entry := e.newEntry(now, job)
	if job.KnownLimit > 0 {
		e.pacer.Adopt(now, job.KnownLimit)
	}
	ahead := e.queue.Ahead(job.Rank)
	if e.pacer.Delay(now, ahead) > job.MaxWait {
		return nil, nil, ReasonRateLimited
	}
	if e.warmer.Delay(now, ahead) > job.MaxWait {
		return nil, nil, ReasonCold
	}
	available := e.available(now)
	if !e.queue.Free(available) && e.isLate(now, job, entry) {
		return nil, nil, ReasonQueueTimeout
	}
	admitted, refused := e.queue.Offer(entry, available)
	defer e.observeLoad(now)
	if admitted {
		e.begin(now, job.Route, job.Root)
		return nil, nil, ""
	}
	if refused == entry {
		return nil, nil, ReasonQueueFull
	}
	if refused != nil {
		e.notify(now, refused, false)
	}
	w := waiter{route: job.Route, root: job.Root, admitted: make(chan bool, 1)}
	e.waiters[entry] = w
	return entry, w.admitted, ""
}

// refusalReason returns why the target cannot accept requests for the expected incarnation, or "" if it can.
func (e *Executor) refusalReason(now time.Time, expect string) string {
	if reason := e.blockReason(&e.target); reason != "" {
		return reason
	}
	switch {
	case e.stopping:
		return ReasonDraining
	case expect != "" && expect != e.target.ID:
		return ReasonOtherIncarnation
	case now.Before(e.unreachableUntil):
		return ReasonUnreachable
	default:
		return ""
	}
}

// blockReason returns why the incarnation must not be sent any request, or "" if it may.
func (e *Executor) blockReason(of *Target) string {
	if reason := e.withheld(); reason != "" {
		return reason
	}
	switch {
	case e.target.ID == "" || e.target.Gone:
		return ReasonNoTarget
	case !of.isIncarnation(&e.target):
		return ReasonOtherIncarnation
	case e.target.Draining:
		return ReasonDraining
	default:
		return ""
	}
}

// begin records that a job of the route has got a slot.
func (e *Executor) begin(now time.Time, route string, root Root) {
	e.pacer.Take(now)
	e.warmer.Reserve()
	e.roots.add(route, root)
	e.estimator.RecordStart(now, route)
}

// notify ends a job's wait. An admitted job counts as running from now on.
func (e *Executor) notify(now time.Time, entry *queuer.Entry, admitted bool) {
	w := e.waiters[entry]
	delete(e.waiters, entry)
	if admitted {
		e.begin(now, w.route, w.root)
	}
	w.admitted <- admitted
}

// abandonWait removes the job from the queue and returns the reason. A job that has acquired a slot in the meantime keeps
// it when only its wait has ended, and the result is "": the target's rate has been charged for the job. The slot of a
// cancelled job is released.
func (e *Executor) abandonWait(job *Job, entry *queuer.Entry, wait chan bool, reason string) string {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Remove(entry) {
		delete(e.waiters, entry)
		e.observeLoad(now)
		return reason
	}
	if admitted := <-wait; !admitted {
		return reason
	}
	if reason == ReasonQueueTimeout {
		return ""
	}
	e.pacer.Release(now)
	e.warmer.Release()
	e.end(now, job)
	return reason
}

// finish records the end of a running job and how long it held its slot, and releases the slot.
func (e *Executor) finish(job *Job, began time.Time) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holdTime == 0 {
		e.holdTime = now.Sub(began)
	}
	e.holdTime += time.Duration(holdTimeWeight * float64(now.Sub(began)-e.holdTime))
	e.end(now, job)
}

// end records the end of a running job and releases its slot.
func (e *Executor) end(now time.Time, job *Job) {
	e.estimator.RecordEnd(now, job.Route)
	e.roots.remove(job.Route, job.Root)
	e.releaseSlot(now)
}

// releaseSlot releases a slot and starts the next queued job.
func (e *Executor) releaseSlot(now time.Time) {
	e.queue.Done()
	e.startWaiting(now)
}

// startWaiting starts queued jobs up to the limits and refuses those that exceeded their maximum wait.
func (e *Executor) startWaiting(now time.Time) {
	admitted, expired := e.queue.StartQueued(now, e.available(now))
	for _, entry := range admitted {
		e.notify(now, entry, true)
	}
	for _, entry := range expired {
		e.notify(now, entry, false)
	}
	e.observeLoad(now)
}

// usableSlots returns the number of requests that the target can run at once on average.
func (e *Executor) usableSlots(now time.Time) int {
	return e.warmer.Slots(now, e.pacer.Slots(e.queue.Limit, e.holdTime), e.holdTime)
}

// available returns the number of requests that may begin now besides their need of a slot.
func (e *Executor) available(now time.Time) int {
	return min(e.pacer.Available(now), e.warmer.Available(now))
}

func (e *Executor) observeLoad(now time.Time) {
	e.meter.Observe(now, e.queue.Running(), e.queue.Waiting(), e.usableSlots(now))
}
