package executor

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/attributor"
	"github.com/plantainwheel/plantainwheel/platform"
)

// Target is the incarnation of the target that the node knows.
type Target struct {
	ID       string
	Service  string
	Address  string
	Born     int64
	Sequence int64
	Slots    int
	Draining bool
	// Gone says that the target has left for good.
	Gone bool
	// WarmAt is when the target is no longer slow after its start.
	WarmAt time.Time
}

// Announce notes what the target says of itself, and says whether that changed what other nodes must know.
// An announcement that is older than what is known is passed over.
func (e *Executor) Announce(a platform.Announcement) (changed, used bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.older(&a) {
		return false, false
	}
	old := e.target
	fresh := old.ID != a.ID || old.Born != a.Born
	e.target = Target{
		ID: a.ID, Service: a.Service, Address: a.Address, Born: a.Born, Sequence: a.Sequence, Slots: a.Slots,
		// A target that has said that it leaves does not come back in the same incarnation.
		Draining: a.Draining || (!fresh && old.Draining),
		Gone:     !fresh && old.Gone,
		WarmAt:   now.Add(a.Warmup),
	}
	if fresh {
		e.downUntil = time.Time{}
		e.failing = 0
	}
	e.queue.Limit = max(int(usableSlots*float64(a.Slots)), 1)
	e.stopWaiting(now)
	e.next(now)
	t := e.target
	changed = fresh || old.Draining != t.Draining || old.Gone != t.Gone || old.Slots != t.Slots || old.Service != t.Service
	return changed, true
}

// older says whether the announcement was made before the latest one.
func (e *Executor) older(a *platform.Announcement) bool {
	switch {
	case a.Born < e.target.Born:
		return true
	case a.Born > e.target.Born || a.ID != e.target.ID:
		return false
	default:
		return a.Sequence <= e.target.Sequence
	}
}

// Depart notes that the target with this id has left, and says whether that is news.
func (e *Executor) Depart(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.ID != id || e.target.Gone {
		return false
	}
	e.target.Gone = true
	e.stopWaiting(time.Now())
	return true
}

// Recall takes over what an earlier process of this node had promised about the target.
func (e *Executor) Recall(t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.ID == "" && (t.Draining || t.Gone) {
		e.target = t
	}
}

// stopWaiting refuses the waiting jobs of a target that leaves; other targets can still run them.
func (e *Executor) stopWaiting(now time.Time) {
	if !e.target.Draining && !e.target.Gone {
		return
	}
	for _, entry := range e.queue.Clear() {
		e.tell(now, entry, false)
	}
}

// Stop refuses new jobs, since the node is about to end.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	now := time.Now()
	for _, entry := range e.queue.Clear() {
		e.tell(now, entry, false)
	}
}

// Target returns the incarnation that is known now.
func (e *Executor) Target() Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target
}

// Load returns the present load.
func (e *Executor) Load() Load {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Running: e.queue.Running(),
		Waiting: e.queue.Waiting(),
		Limit:   e.queue.Limit,
		Mean:    e.meter.Mean(now),
		Failing: e.failureShare(now),
		Up:      e.unusable(now, "") == "",
	}
}

// Tick does what is due with time.
func (e *Executor) Tick() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next(now)
}

// Rows returns what requests cause at this target.
func (e *Executor) Rows() []attributor.Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.causes.Rows(time.Now())
}

// Called notes a call to a route that may come from the target, and says whether a request runs there that
// may have made it.
func (e *Executor) Called(route string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.causes.Called(time.Now(), route)
}

// RecallRows begins with what an earlier process of this node had learnt of the target.
func (e *Executor) RecallRows(rows []attributor.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.causes.Recall(time.Now(), rows)
}
