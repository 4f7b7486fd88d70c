package broker

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// run is a call that is running at the target beside the node. Child calls refer to it by its token.
type run struct {
	call     Call
	deadline time.Time
	ctx      context.Context

	mu     sync.Mutex
	budget retrier.Budget
	// children is the number of child calls in flight. childrenSince is the time at which children last
	// became nonzero. childTime is the total duration of the past periods with at least one child call in
	// flight.
	children      int
	childrenSince time.Time
	childTime     time.Duration
	minLevel      int
}

// addRun registers a new run and returns it with its token.
func (b *Broker) addRun(ctx context.Context, call Call) (string, *run) {
	token := uuid.NewString()
	deadline, _ := ctx.Deadline()
	r := &run{
		call:     call,
		deadline: deadline,
		ctx:      ctx,
		budget:   retrier.NewBudget(call.Retries),
		minLevel: admitter.MaxLevel,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.activeRuns == nil {
		b.activeRuns = map[string]*run{}
	}
	b.activeRuns[token] = r
	return token, r
}

func (b *Broker) removeRun(token string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.activeRuns, token)
}

func (b *Broker) findRun(token string) (*run, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.activeRuns[token]
	return r, ok
}

// childContext limits a child call to its parent's deadline and cancels it when its parent ends.
func (r *run) childContext(ctx context.Context, now time.Time, call *Call) (context.Context, context.CancelFunc) {
	if left := r.deadline.Sub(now); left < call.Timeout {
		call.Timeout = max(left, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	stop := context.AfterFunc(r.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// beginChild registers a child call and lends it a part of the run's retry budget.
func (r *run) beginChild(now time.Time) (retrier.Budget, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.children == 0 {
		r.childrenSince = now
	}
	r.children++
	n := r.budget.Lend()
	return retrier.NewBudget(n), n
}

// endChild unregisters a child call, restores its unused retries to the run's budget and records its path
// level.
func (r *run) endChild(now time.Time, lent, unused, level int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Restore(lent, unused)
	r.children--
	if r.children == 0 {
		r.childTime += now.Sub(r.childrenSince)
	}
	r.minLevel = min(r.minLevel, level)
}

// totals returns the unused retries of the run, the time during which it had child calls in flight, and the
// lowest path level of its child calls.
func (r *run) totals() (unused int, childTime time.Duration, level int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Remaining(), r.childTime, r.minLevel
}

// receivedCall is a non-idempotent call that this node has received. The broker keeps it so that a resent
// copy is not run again. reply is valid once done is closed.
type receivedCall struct {
	done  chan struct{}
	reply Reply
}

// maxReceivedCalls is the maximum number of received calls that are kept. The oldest is dropped first.
const maxReceivedCalls = 16384

// receive registers a call. For a duplicate it returns the original call and false.
func (b *Broker) receive(id string) (c *receivedCall, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.received[id]; ok {
		return c, false
	}
	if b.received == nil {
		b.received = map[string]*receivedCall{}
	}
	if len(b.receivedOrder) == maxReceivedCalls {
		delete(b.received, b.receivedOrder[0])
		b.receivedOrder = b.receivedOrder[1:]
	}
	c = &receivedCall{done: make(chan struct{})}
	b.received[id] = c
	b.receivedOrder = append(b.receivedOrder, id)
	return c, true
}
