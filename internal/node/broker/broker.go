// Package broker routes requests from callers and child calls from targets to the targets that run them,
// and executes calls at the target beside the node.
package broker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/limiter"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Errors returned by Target and Peers.
var (
	// ErrNotSent reports that no part of the call has reached the target or the other node.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer reports that the call was sent and that no complete answer was received.
	ErrNoAnswer = errors.New("answer is missing or truncated")
)

// Target runs calls at the target beside the node.
type Target interface {
	Do(ctx context.Context, call Call, token string) (granter.Answer, error)
}

// Peers runs calls at other nodes.
type Peers interface {
	Forward(ctx context.Context, call Call) (Reply, error)
}

// StateView is the node's copy of the replicated fleet state.
type StateView interface {
	State() *reducer.State
	Confirmed() bool
}

// RateLimiter takes rate tokens of client accounts and returns unused ones.
type RateLimiter interface {
	Take(ctx context.Context, account reducer.Account) (lender.Token, time.Duration, error)
	Refund(account reducer.Account, token lender.Token)
}

// Deduplicator ensures that each request ID is run at most once.
type Deduplicator interface {
	Acquire(ctx context.Context, id, executor string) (granter.Answer, bool, error)
	Release(id, executor string)
	Complete(id, executor string, answer granter.Answer)
}

// Broker admits, routes, retries and executes calls. It is safe for concurrent use. A goroutine that
// needs both mu and the lock of a run acquires mu first.
type Broker struct {
	// View provides routes, keys and client accounts.
	View StateView
	// Roster provides the candidate targets.
	Roster *roster.Roster
	// Limiter limits the concurrency of the target beside the node.
	Limiter      *limiter.Limiter
	RateLimiter  RateLimiter
	Deduplicator Deduplicator
	Peers        Peers
	Target       Target
	// Events records decisions that change the outcome of a call.
	Events *recorder.Ring
	// Metrics counts calls.
	Metrics *Metrics
	// Clock returns the current time.
	Clock func() time.Time
	// Random returns uniform random numbers.
	Random func() uint64
	// Self returns the member ID of this node. Entry returns a new roster entry that describes the node.
	Self  func() string
	Entry func() roster.Entry
	// OverloadControl enables rate limits, early refusal at the entry node and retry limits per service.
	OverloadControl bool
	// RetryBudget is the maximum number of retries of a request, including the retries of its child calls.
	RetryBudget int

	mu            sync.Mutex
	activeRuns    map[string]*run
	received      map[string]*receivedCall
	receivedOrder []string
	retryBuckets  map[string]*retrier.TokenBucket
	pathLevels    map[string]pathLevel
}

const (
	// maxDepth is the maximum number of hops of a request.
	maxDepth = 16
	// retryRefillPerAttempt and retryBucketCapacity configure the token bucket that limits the retries
	// to a service.
	retryRefillPerAttempt = 0.1
	retryBucketCapacity   = 20
	// maxResends is the maximum number of times that an unanswered call is resent to the same node.
	maxResends = 2
	// minRetryAfter is the minimum retry delay that a refusal suggests to the caller.
	minRetryAfter = 500 * time.Millisecond
	// minStaleRetryAfter is the minimum retry delay if the node refuses because its own state is stale.
	minStaleRetryAfter = time.Second
	// maxRequestIDBytes is the maximum length of a request ID that the caller sets.
	maxRequestIDBytes = 255
)

// fraction returns a uniform random number in [0, 1).
func (b *Broker) fraction() float64 { return float64(b.Random()>>11) / (1 << 53) }

func (b *Broker) retryAfter(minDelay time.Duration) time.Duration {
	return retrier.RetryAfter(minDelay, b.fraction())
}

// retryBucket returns the token bucket that limits the retries to a service. The caller holds mu.
func (b *Broker) retryBucket(service string) *retrier.TokenBucket {
	if b.retryBuckets == nil {
		b.retryBuckets = map[string]*retrier.TokenBucket{}
	}
	r, ok := b.retryBuckets[service]
	if !ok {
		r = &retrier.TokenBucket{RefillPerAttempt: retryRefillPerAttempt, Capacity: retryBucketCapacity}
		b.retryBuckets[service] = r
	}
	return r
}

func (b *Broker) recordAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBucket(service).RecordAttempt()
}

func (b *Broker) takeRetryToken(service string) bool {
	if !b.OverloadControl {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBucket(service).Take()
}
