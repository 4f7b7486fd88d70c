package broker

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// run is a call that the target beside the node is running. Child calls refer to it by its token.
type run struct {
	call     Call
	deadline time.Time
	ctx      context.Context

	mu     sync.Mutex
	escrow retrier.Escrow
	// children counts the child calls under way since a time; waited adds up the time with any.
	children int
	since    time.Time
	waited   time.Duration
	level    int
}

// begin registers a run and returns its token.
func (b *Broker) begin(ctx context.Context, call Call) (string, *run) {
	token := uuid.NewString()
	deadline, _ := ctx.Deadline()
	r := &run{
		call:     call,
		deadline: deadline,
		ctx:      ctx,
		escrow:   retrier.Mint(call.Retries),
		level:    admitter.MaxLevel,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.active == nil {
		b.active = map[string]*run{}
	}
	b.active[token] = r
	return token, r
}

func (b *Broker) end(token string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.active, token)
}

func (b *Broker) run(token string) (*run, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.active[token]
	return r, ok
}

// bound limits a child call to its parent's deadline and ends it with its parent.
func (r *run) bound(ctx context.Context, now time.Time, call *Call) (context.Context, context.CancelFunc) {
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

// lend takes retries out of the run for a child call.
func (r *run) lend(now time.Time) (retrier.Escrow, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.children == 0 {
		r.since = now
	}
	r.children++
	n := r.escrow.Lend()
	return retrier.Mint(n), n
}

// settle puts back the unused retries of a child call.
func (r *run) settle(now time.Time, lent, unused, level int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.escrow.Return(lent, unused)
	r.children--
	if r.children == 0 {
		r.waited += now.Sub(r.since)
	}
	r.level = min(r.level, level)
}

// sums returns what the run's answer carries back.
func (r *run) sums() (unused int, waited time.Duration, level int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.escrow.Left(), r.waited, r.level
}

// sent is a non-idempotent call that has arrived, so that a further copy is not run.
type sent struct {
	done  chan struct{}
	reply Reply
}

// maxCopies bounds the remembered non-idempotent calls.
const maxCopies = 16384

// arrive registers a call. For a further copy it returns the first one with first false.
func (b *Broker) arrive(id string) (s *sent, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.copies[id]; ok {
		return s, false
	}
	if b.copies == nil {
		b.copies = map[string]*sent{}
	}
	if len(b.order) == maxCopies {
		delete(b.copies, b.order[0])
		b.order = b.order[1:]
	}
	s = &sent{done: make(chan struct{})}
	b.copies[id] = s
	b.order = append(b.order, id)
	return s, true
}
