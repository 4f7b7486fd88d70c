package executor

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/estimator"
	"github.com/plantainwheel/plantainwheel/internal/policy/pacer"
	"github.com/plantainwheel/plantainwheel/platform"
)

// Target is the latest known incarnation of the target.
type Target struct {
	ID      string
	Service string
	// Version is the version of the target's software, if known.
	Version string
	Address string
	// StartedAtMs is the start time of the incarnation in milliseconds since the Unix epoch.
	StartedAtMs int64
	// Sequence orders the announcements of one incarnation.
	Sequence int64
	Slots    int
	Draining bool
	// Gone is set when the target has deregistered. The same incarnation does not return to service.
	Gone bool
	// WarmUpEnd is the time at which the target's warm-up ends.
	WarmUpEnd time.Time
}

// Announce applies an announcement of the target. It ignores an announcement that is not newer than the latest
// one, and then returns false for accepted. The result changed reports whether other nodes must be informed.
func (e *Executor) Announce(a platform.Announcement) (changed, accepted bool) {
	now := time.Now()
	var ended *crash
	defer func() { e.reportCrash(ended) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outdated(&a) {
		return false, false
	}
	old := e.target
	newIncarnation := old.ID != a.ID || old.StartedAtMs != a.StartedAtMs
	e.target = Target{
		ID: a.ID, Service: a.Service, Version: a.Version, Address: a.Address, StartedAtMs: a.StartedAtMs, Sequence: a.Sequence, Slots: a.Slots,
		// A target that has announced draining does not return to service in the same incarnation.
		Draining:  a.Draining || (!newIncarnation && old.Draining),
		Gone:      !newIncarnation && old.Gone,
		WarmUpEnd: now.Add(a.WarmUp),
	}
	if newIncarnation {
		ended = e.collectCrash(&old)
		e.runs.reset()
		e.state = platform.TargetState{}
		e.pacer = pacer.Pacer{}
		e.unreachableUntil = time.Time{}
		e.failureRate = 0
	}
	e.queue.Limit = max(int(usableSlotShare*float64(a.Slots)), 1)
	e.refuseWaitingIfLeaving(now)
	e.startWaiting(now)
	t := e.target
	changed = newIncarnation || old.Draining != t.Draining || old.Gone != t.Gone || old.Slots != t.Slots || old.Service != t.Service || old.Version != t.Version
	return changed, true
}

// outdated reports whether the announcement is not newer than the latest one.
func (e *Executor) outdated(a *platform.Announcement) bool {
	switch {
	case a.StartedAtMs < e.target.StartedAtMs:
		return true
	case a.StartedAtMs > e.target.StartedAtMs || a.ID != e.target.ID:
		return false
	default:
		return a.Sequence <= e.target.Sequence
	}
}

// Deregister marks the target with this ID as gone. It reports whether this changed the state.
func (e *Executor) Deregister(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.ID != id || e.target.Gone {
		return false
	}
	e.target.Gone = true
	e.refuseWaitingIfLeaving(time.Now())
	return true
}

// RestoreTarget restores the target's draining or gone state from an earlier process of this node. It has no
// effect once a target is known.
func (e *Executor) RestoreTarget(t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.ID == "" && (t.Draining || t.Gone) {
		e.target = t
	}
}

// refuseWaitingIfLeaving refuses the queued jobs of a leaving target, because other targets can still run them.
func (e *Executor) refuseWaitingIfLeaving(now time.Time) {
	if !e.target.Draining && !e.target.Gone {
		return
	}
	for _, entry := range e.queue.Clear() {
		e.notify(now, entry, false)
	}
}

// Stop refuses all queued and new jobs. It is called when the node shuts down.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	now := time.Now()
	for _, entry := range e.queue.Clear() {
		e.notify(now, entry, false)
	}
}

// Target returns the latest known incarnation.
func (e *Executor) Target() Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target
}

// Load returns the current load.
func (e *Executor) Load() Load {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Running:     e.queue.Running(),
		Waiting:     e.queue.Waiting(),
		Limit:       e.usableSlots(),
		Mean:        e.meter.Mean(now),
		Rejected:    e.rejections.Share(now),
		FailureRate: e.decayedFailureRate(now),
		Up:          e.refusalReason(now, "") == "",
		Paced:       e.pacer.Available(now) == 0,
		Late:        e.late.Late(now),
		CrashedAt:   e.crashedAt,
	}
}

// Tick starts queued jobs and refuses those whose maximum wait has passed. It is called periodically.
func (e *Executor) Tick() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startWaiting(now)
}

// RouteCosts returns, for each route, the slot time and the child calls of one request at this target.
func (e *Executor) RouteCosts() []estimator.RouteCosts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.RouteCosts(time.Now())
}

// RecordCall records a call to the route that may be a child call of the target. It reports whether the target is
// running a request that may have made the call.
func (e *Executor) RecordCall(route string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.RecordCall(time.Now(), route)
}

// RestoreCosts restores the request costs that an earlier process of this node learned for the target.
func (e *Executor) RestoreCosts(costs []estimator.RouteCosts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimator.Restore(time.Now(), costs)
}
