// Package limiter limits the concurrency of the target beside the node and queues calls above the limit.
package limiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
)

// Errors returned by Acquire.
var (
	ErrPriority  = errors.New("priority is not admitted")
	ErrQueueFull = errors.New("queue is full")
	ErrDeadline  = errors.New("deadline cannot be met")
	ErrDraining  = errors.New("target is draining")
	ErrNoTarget  = errors.New("no target is announced")
)

// sweepInterval is the time between sweeps of the queue.
const sweepInterval = 20 * time.Millisecond

// Limiter admits calls to the concurrency slots of the target. It is safe for concurrent use. No other lock is
// acquired while its lock is held.
type Limiter struct {
	// Clock returns the current time.
	Clock func() time.Time
	// LimitEnabled enables the concurrency limit and the queue. Without it every call runs immediately.
	LimitEnabled bool

	mu             sync.Mutex
	adm            admitter.Admitter
	ready          bool
	draining       bool
	running        int
	waiters        map[string]chan error
	sweepScheduled bool
	idle           chan struct{}
}

// Start begins to admit calls to a target with the given number of slots, even if the limiter was draining.
// Calls that are already running or queued are kept.
func (l *Limiter) Start(slots int, coldStart time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.adm
	l.adm = admitter.Admitter{}
	l.adm.TakeOver(&previous)
	l.adm.Limit.Slots = slots
	l.adm.Limit.Started = l.Clock()
	l.adm.Limit.WarmUp = coldStart
	l.ready = true
	l.draining = false
	if l.waiters == nil {
		l.waiters = map[string]chan error{}
	}
}

// Acquire waits until a call may run. If Acquire returns nil, its caller must call Release or Abandon.
func (l *Limiter) Acquire(ctx context.Context, e *admitter.Entry) error {
	wait, err := l.admit(e)
	if err != nil || wait == nil {
		return err
	}
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return l.cancel(ctx, e, wait)
	}
}

func (l *Limiter) admit(e *admitter.Entry) (chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return nil, ErrNoTarget
	}
	if l.draining {
		return nil, ErrDraining
	}
	if !l.LimitEnabled {
		l.running++
		return nil, nil
	}
	decision, evicted := l.adm.Offer(l.Clock(), e)
	l.refuse(evicted, ErrQueueFull)
	switch decision {
	case admitter.Run:
		l.running++
		return nil, nil
	case admitter.Queue:
		wait := make(chan error, 1)
		l.waiters[e.ID] = wait
		l.scheduleSweep()
		return wait, nil
	case admitter.ShedPriority:
		return nil, ErrPriority
	case admitter.ShedDeadline:
		return nil, ErrDeadline
	default:
		return nil, ErrQueueFull
	}
}

// cancel removes a call from the queue after its context has ended. If the call was admitted in the meantime,
// cancel releases its slot.
func (l *Limiter) cancel(ctx context.Context, e *admitter.Entry, wait chan error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-wait:
		if err == nil {
			l.abandon()
		}
	default:
		l.adm.Cancel(e.ID)
		delete(l.waiters, e.ID)
	}
	return ctx.Err()
}

// Release ends a call that reached the target. The call held its slot for holdTime; serviceTime excludes the
// time spent in child calls. shed reports whether the target refused the call.
func (l *Limiter) Release(holdTime, serviceTime time.Duration, shed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callDone()
	if l.LimitEnabled {
		l.resolve(l.adm.Done(l.Clock(), holdTime, serviceTime, shed))
	}
}

// Abandon ends an admitted call that did not reach the target.
func (l *Limiter) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandon()
}

func (l *Limiter) abandon() {
	l.callDone()
	if l.LimitEnabled {
		l.resolve(l.adm.Abandon(l.Clock()))
	}
}

func (l *Limiter) callDone() {
	l.running--
	if l.running == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

// resolve wakes queued calls that were started or refused. The caller holds mu.
func (l *Limiter) resolve(started, refused []*admitter.Entry) {
	l.refuse(refused, ErrDeadline)
	for _, e := range started {
		wait := l.waiters[e.ID]
		delete(l.waiters, e.ID)
		l.running++
		wait <- nil
	}
}

func (l *Limiter) refuse(list []*admitter.Entry, err error) {
	for _, e := range list {
		if wait, ok := l.waiters[e.ID]; ok {
			delete(l.waiters, e.ID)
			wait <- err
		}
	}
}

// scheduleSweep schedules a sweep while calls are queued. The caller holds mu.
func (l *Limiter) scheduleSweep() {
	if l.sweepScheduled || len(l.waiters) == 0 {
		return
	}
	l.sweepScheduled = true
	time.AfterFunc(sweepInterval, l.sweep)
}

// sweep refuses queued calls that have waited too long or can no longer meet their deadline, and starts queued
// calls up to the concurrency limit.
func (l *Limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweepScheduled = false
	l.resolve(l.adm.StartQueued(l.Clock()))
	l.scheduleSweep()
}

// Drain refuses all queued calls, and new calls until the next Start.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.refuse(l.adm.Drain(), ErrDraining)
}

// Draining reports whether the target is draining and accepts no new calls.
func (l *Limiter) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// WaitIdle waits until no call is running.
func (l *Limiter) WaitIdle(ctx context.Context) error {
	l.mu.Lock()
	if l.running == 0 {
		l.mu.Unlock()
		return nil
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}

// Load returns the current load of the target.
func (l *Limiter) Load() admitter.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.LimitEnabled {
		return admitter.Load{InFlight: l.running, Limit: l.adm.Limit.Slots, Level: admitter.MaxLevel}
	}
	return l.adm.Load(l.Clock())
}
