package executor

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/policy/estimator"
	"github.com/plantainwheel/plantainwheel/internal/policy/pacer"
	"github.com/plantainwheel/plantainwheel/internal/policy/registrar"
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
	// DepartedAtMs is the time of day of the deregistration in milliseconds since the Unix epoch, or 0 if the target has not
	// deregistered.
	DepartedAtMs int64
	// WarmUpEnd is the time at which the target's warm-up ends.
	WarmUpEnd time.Time
}

// isIncarnation reports whether both are the same incarnation.
func (t *Target) isIncarnation(of *Target) bool {
	return t.ID == of.ID && t.StartedAtMs == of.StartedAtMs
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
		WarmUpEnd: now.Add(a.WarmUp),
	}
	if !newIncarnation {
		e.target.Gone, e.target.DepartedAtMs = old.Gone, old.DepartedAtMs
	}
	e.applyDepartures(now)
	coldChanged := e.recordAnnouncedWarmUp(now, &a, newIncarnation)
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
	changed = newIncarnation || old.Draining != t.Draining || old.Gone != t.Gone || old.Slots != t.Slots || old.Service != t.Service || old.Version != t.Version || coldChanged
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

// Deregister records that the target with this ID has left: each incarnation of it that has started by now. It reports
// whether other nodes must be informed. The incarnation may announce itself only later, so a departure is also kept if the
// target is unknown.
func (e *Executor) Deregister(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.departures.Record(id, moment(now))
	if e.target.ID == "" {
		e.target.ID = id
	}
	if e.target.ID != id || e.target.Gone {
		return false
	}
	e.target.Gone, e.target.DepartedAtMs = true, now.UnixMilli()
	e.refuseWaitingIfLeaving(now)
	return true
}

// RestoreTarget applies the member record of an earlier process of this node, which may be read before or after the first
// announcement. Only departures are restored. It reports whether the target that has announced itself turns out to leave.
func (e *Executor) RestoreTarget(t Target) bool {
	if !t.Draining && !t.Gone {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if t.Gone {
		e.departures.Record(t.ID, restoredMoment(now, max(t.DepartedAtMs, t.StartedAtMs)))
	}
	old := e.target
	switch {
	case old.ID == "" || t.StartedAtMs > old.StartedAtMs:
		// An announcement of an earlier incarnation may have arrived late.
		e.target = t
	case t.isIncarnation(&old):
		e.target.Draining = old.Draining || t.Draining
		e.target.Gone, e.target.DepartedAtMs = old.Gone || t.Gone, max(old.DepartedAtMs, t.DepartedAtMs)
	}
	e.applyDepartures(now)
	e.refuseWaitingIfLeaving(now)
	return old.ID != "" && e.target != old
}

// applyDepartures marks the target as gone if its incarnation has deregistered. The caller holds the mutex.
func (e *Executor) applyDepartures(now time.Time) {
	if at, departed := e.departures.Departure(e.target.ID, e.target.StartedAtMs, moment(now)); departed && !e.target.Gone {
		e.target.Gone, e.target.DepartedAtMs = true, at.WallMs
	}
}

// moment reads the clock that does not jump at the time of day now.
func moment(now time.Time) registrar.Moment {
	return registrar.Moment{WallMs: now.UnixMilli(), SinceBoot: timekeeper.SinceBoot()}
}

// restoredMoment returns the moment of an earlier time of day in milliseconds since the Unix epoch, provided that the clock
// has not jumped since.
func restoredMoment(now time.Time, wallMs int64) registrar.Moment {
	m := moment(now)
	return registrar.Moment{WallMs: wallMs, SinceBoot: m.SinceBoot - time.Duration(m.WallMs-wallMs)*time.Millisecond}
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
		Limit:       e.usableSlots(now),
		Mean:        e.meter.Mean(now),
		Rejected:    e.rejections.Share(now),
		FailureRate: e.decayedFailureRate(now),
		Up:          e.refusalReason(now, "") == "",
		Paced:       e.available(now) == 0,
		Cold:        e.warmer.Cold(now),
		Late:        e.late.Late(now),
		CrashedAt:   e.crashedAt,
	}
}

// Tick starts queued jobs and refuses those whose maximum wait has passed. It is called periodically.
func (e *Executor) Tick() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tickCold(now)
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
