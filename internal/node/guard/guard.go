// Package guard makes calls wait for the target beside the node.
package guard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
)

// Sentinel errors of Enter.
var (
	ErrLevel    = errors.New("priority is not admitted")
	ErrFull     = errors.New("queue is full")
	ErrLate     = errors.New("deadline cannot be met")
	ErrDraining = errors.New("target is draining")
	ErrNoTarget = errors.New("no target is announced")
)

// sweepEvery is the time between checks for queued calls that have waited too long.
const sweepEvery = 20 * time.Millisecond

// Guard shares the target's slots among calls. It is safe for concurrent use. Its lock is a leaf.
type Guard struct {
	// Clock returns the time.
	Clock func() time.Time
	// Control turns limits and queueing on; without it every call runs at once.
	Control bool

	mu       sync.Mutex
	adm      admitter.Admitter
	ready    bool
	draining bool
	running  int
	waiting  map[string]chan error
	watched  bool
	idle     chan struct{}
}

// Open starts to admit calls for a target with a number of slots.
func (g *Guard) Open(slots int, coldStart time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inFlight := g.adm
	g.adm = admitter.Admitter{}
	g.adm.Resume(&inFlight)
	g.adm.Limit.Slots = slots
	g.adm.Limit.Started = g.Clock()
	g.adm.Limit.ColdStart = coldStart
	g.ready = true
	g.draining = false
	if g.waiting == nil {
		g.waiting = map[string]chan error{}
	}
}

// Enter waits until a call may run. The caller must call Leave or Abandon after a nil error.
func (g *Guard) Enter(ctx context.Context, e *admitter.Entry) error {
	wait, err := g.offer(e)
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

func (g *Guard) offer(e *admitter.Entry) (chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ready {
		return nil, ErrNoTarget
	}
	if g.draining {
		return nil, ErrDraining
	}
	if !g.Control {
		g.running++
		return nil, nil
	}
	verdict, evicted := g.adm.Offer(g.Clock(), e)
	g.refuse(evicted, ErrFull)
	switch verdict {
	case admitter.Run:
		g.running++
		return nil, nil
	case admitter.Queue:
		wait := make(chan error, 1)
		g.waiting[e.ID] = wait
		g.watch()
		return wait, nil
	case admitter.ShedLevel:
		return nil, ErrLevel
	case admitter.ShedLate:
		return nil, ErrLate
	default:
		return nil, ErrFull
	}
}

// cancel takes a call out of the queue whose caller has gone, or gives its slot back.
func (g *Guard) cancel(ctx context.Context, e *admitter.Entry, wait chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-wait:
		if err == nil {
			g.abandon()
		}
	default:
		g.adm.Cancel(e.ID)
		delete(g.waiting, e.ID)
	}
	return ctx.Err()
}

// Leave ends a call that has reached the target: it held its slot for a span, and own is its service
// time without child calls.
func (g *Guard) Leave(held, own time.Duration, shed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended()
	if g.Control {
		g.wake(g.adm.Done(g.Clock(), held, own, shed))
	}
}

// Abandon ends a call that has not reached the target.
func (g *Guard) Abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandon()
}

func (g *Guard) abandon() {
	g.ended()
	if g.Control {
		g.wake(g.adm.Abandon(g.Clock()))
	}
}

func (g *Guard) ended() {
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *Guard) wake(started, refused []*admitter.Entry) {
	g.refuse(refused, ErrLate)
	for _, e := range started {
		wait := g.waiting[e.ID]
		delete(g.waiting, e.ID)
		g.running++
		wait <- nil
	}
}

func (g *Guard) refuse(list []*admitter.Entry, err error) {
	for _, e := range list {
		if wait, ok := g.waiting[e.ID]; ok {
			delete(g.waiting, e.ID)
			wait <- err
		}
	}
}

// watch arranges for a sweep while calls are queued. The caller holds mu.
func (g *Guard) watch() {
	if g.watched || len(g.waiting) == 0 {
		return
	}
	g.watched = true
	time.AfterFunc(sweepEvery, g.sweep)
}

// sweep refuses queued calls that have waited too long.
func (g *Guard) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watched = false
	g.wake(g.adm.Next(g.Clock()))
	g.watch()
}

// Drain refuses new and queued calls from now on.
func (g *Guard) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.refuse(g.adm.Drain(), ErrDraining)
}

// Draining says whether the target takes no new work.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Idle waits until no call runs.
func (g *Guard) Idle(ctx context.Context) error {
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

// Load returns the target's load.
func (g *Guard) Load() admitter.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Control {
		return admitter.Load{InFlight: g.running, Limit: g.adm.Limit.Slots, Level: admitter.MaxLevel}
	}
	return g.adm.Load(g.Clock())
}
