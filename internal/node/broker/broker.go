// Package broker takes calls from callers, targets and peers to the targets that run them.
package broker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/guard"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Sentinel errors of Target and Peers.
var (
	// ErrNotSent says that nothing of the call has reached the other side.
	ErrNotSent = errors.New("call was not sent")
	// ErrBroken says that the call was sent and that no whole answer came back.
	ErrBroken = errors.New("answer is missing or broken off")
)

// Target runs calls at the target beside the node.
type Target interface {
	Do(ctx context.Context, call Call, token string) (granter.Answer, error)
}

// Peers runs calls at other nodes.
type Peers interface {
	Forward(ctx context.Context, call Call) (Reply, error)
}

// Fold is the node's view of the fleet's state.
type Fold interface {
	State() *reducer.State
	Confirmed() bool
}

// Rates spends the tokens of client accounts.
type Rates interface {
	Take(ctx context.Context, account reducer.Account) (lender.Token, time.Duration, error)
	GiveBack(account reducer.Account, token lender.Token)
}

// Claims obtains the right to run a request id once.
type Claims interface {
	Acquire(ctx context.Context, id, executor string) (granter.Answer, bool, error)
	Release(id, executor string)
	Complete(id, executor string, answer granter.Answer)
}

// Broker is safe for concurrent use. Lock order: mu, then a run's lock.
type Broker struct {
	// Fold gives routes, keys and accounts.
	Fold Fold
	// Roster gives the targets.
	Roster *roster.Roster
	// Guard shares the slots of the target beside the node.
	Guard *guard.Guard
	// Rates, Claims, Peers and Target do what their interfaces say.
	Rates  Rates
	Claims Claims
	Peers  Peers
	Target Target
	// Events receives decisions that change the outcome of a call.
	Events *recorder.Ring
	// Metrics counts calls.
	Metrics *Metrics
	// Clock returns the time.
	Clock func() time.Time
	// Random returns uniform random numbers.
	Random func() uint64
	// Self returns the member ID of this node; Entry describes it.
	Self  func() string
	Entry func() roster.Entry
	// Control turns rates, early refusal and retry limits on.
	Control bool
	// Retries is the number of retries of a whole request.
	Retries int

	mu     sync.Mutex
	active map[string]*run
	copies map[string]*sent
	order  []string
	ratios map[string]*retrier.Ratio
	paths  map[string]pathLevel
}

const (
	// maxDepth bounds the hops of a whole request.
	maxDepth = 16
	// retryShare and retryReserve throttle the retries to a service.
	retryShare   = 0.1
	retryReserve = 20
	// asks bounds how often a sent call is asked for again.
	asks = 2
	// shedRetry is the least time after which a refused caller should come back.
	shedRetry = 500 * time.Millisecond
	// staleRetry is the same where the node itself has to recover.
	staleRetry = time.Second
	// maxRequestID bounds a caller's own id, in bytes.
	maxRequestID = 255
)

// fraction returns a uniform random number in [0, 1).
func (b *Broker) fraction() float64 { return float64(b.Random()>>11) / (1 << 53) }

func (b *Broker) retryAfter(least time.Duration) time.Duration {
	return retrier.RetryAfter(least, b.fraction())
}

// ratio returns the retry throttle of a service. The caller holds mu.
func (b *Broker) ratio(service string) *retrier.Ratio {
	if b.ratios == nil {
		b.ratios = map[string]*retrier.Ratio{}
	}
	r, ok := b.ratios[service]
	if !ok {
		r = &retrier.Ratio{Share: retryShare, Reserve: retryReserve}
		b.ratios[service] = r
	}
	return r
}

func (b *Broker) noteAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio(service).Attempt()
}

func (b *Broker) mayRetry(service string) bool {
	if !b.Control {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ratio(service).Retry()
}
