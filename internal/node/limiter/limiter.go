// Package limiter limits the concurrency of the target beside the node and queues calls above the limit.
package limiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
)

// Errors returned by Enter.
var (
	ErrPriority  = errors.New("priority is not admitted")
	ErrQueueFull = errors.New("queue is full")
	ErrDeadline  = errors.New("deadline cannot be met")
	ErrDraining  = errors.New("target is draining")
	ErrNoTarget  = errors.New("no target is announced")
)

// sweepInterval is the time between checks for queued calls that have waited too long.
const sweepInterval = 20 * time.Millisecond

// Limiter admits calls to the slots of the target. It is safe for concurrent use. No other lock is acquired
// while its lock is held.
type Limiter struct {
	// Clock returns the current time.
	Clock func() time.Time
	// LimitEnabled enables the concurrency limit and the queue; without it every call runs at once.
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

// Start starts to admit calls for a target with the given number of slots.
func (g *Limiter) Start(slots int, coldStart time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.adm
	g.adm = admitter.Admitter{}
	g.adm.TakeOver(&previous)
	g.adm.Limit.Slots = slots
	g.adm.Limit.Started = g.Clock()
	g.adm.Limit.ColdStart = coldStart
	g.ready = true
	g.draining = false
	if g.waiters == nil {
		g.waiters = map[string]chan error{}
	}
}

// Acquire waits until a call may run. After a nil error the caller must call Leave or Abandon.
func (g *Limiter) Acquire(ctx context.Context, e *admitter.Entry) error {
	wait, err := g.admit(e)
	if err != nil || wait == nil {
		return err
	}
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return g.cancel(ctx, e, wait)
	}
}

func (g *Limiter) admit(e *admitter.Entry) (chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ready {
		return nil, ErrNoTarget
	}
	if g.draining {
		return nil, ErrDraining
	}
	if !g.LimitEnabled {
		g.running++
		return nil, nil
	}
	verdict, evicted := g.adm.Offer(g.Clock(), e)
	g.refuse(evicted, ErrQueueFull)
	switch verdict {
	case admitter.Run:
		g.running++
		return nil, nil
	case admitter.Queue:
		wait := make(chan error, 1)
		g.waiters[e.ID] = wait
		g.scheduleSweep()
		return wait, nil
	case admitter.ShedPriority:
		return nil, ErrPriority
	case admitter.ShedDeadline:
		return nil, ErrDeadline
	default:
		return nil, ErrQueueFull
	}
}

// cancel removes a call from the queue after its caller has gone. If the call was admitted in the meantime,
// cancel releases its slot.
func (g *Limiter) cancel(ctx context.Context, e *admitter.Entry, wait chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-wait:
		if err == nil {
			g.abandon()
		}
	default:
		g.adm.Cancel(e.ID)
		delete(g.waiters, e.ID)
	}
	return ctx.Err()
}

// Release ends a call that reached the target. The call held its slot for the time held; own is its service
// time without child calls.
func (g *Limiter) Release(held, own time.Duration, shed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callDone()
	if g.LimitEnabled {
		g.resolve(g.adm.Done(g.Clock(), held, own, shed))
	}
}

// Abandon ends a call that did not reach the target.
func (g *Limiter) Abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandon()
}

func (g *Limiter) abandon() {
	g.callDone()
	if g.LimitEnabled {
		g.resolve(g.adm.Abandon(g.Clock()))
	}
}

func (g *Limiter) callDone() {
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// resolve tells queued calls whether they were started or refused. The caller holds mu.
func (g *Limiter) resolve(started, refused []*admitter.Entry) {
	g.refuse(refused, ErrDeadline)
	for _, e := range started {
		wait := g.waiters[e.ID]
		delete(g.waiters, e.ID)
		g.running++
		wait <- nil
	}
}

func (g *Limiter) refuse(list []*admitter.Entry, err error) {
	for _, e := range list {
		if wait, ok := g.waiters[e.ID]; ok {
			delete(g.waiters, e.ID)
			wait <- err
		}
	}
}

// scheduleSweep schedules a sweep while calls are queued. The caller holds mu.
func (g *Limiter) scheduleSweep() {
	if g.sweepScheduled || len(g.waiters) == 0 {
		return
	}
	g.sweepScheduled = true
	time.AfterFunc(sweepInterval, g.sweep)
}

// sweep rejects queued calls that have waited too long.
func (g *Limiter) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweepScheduled = false
	g.resolve(g.adm.StartQueued(g.Clock()))
	g.scheduleSweep()
}

// Drain rejects all queued and new calls.
func (g *Limiter) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.refuse(g.adm.Drain(), ErrDraining)
}

// Draining reports whether the target accepts no new calls.
func (g *Limiter) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// WaitIdle waits until no call is running.
func (g *Limiter) WaitIdle(ctx context.Context) error {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}

// Load returns the current load of the target.
func (g *Limiter) Load() admitter.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.LimitEnabled {
		return admitter.Load{InFlight: g.running, Limit: g.adm.Limit.Slots, Level: admitter.MaxLevel}
	}
	return g.adm.Load(g.Clock())
}
