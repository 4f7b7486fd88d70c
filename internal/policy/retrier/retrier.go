// Package retrier limits the retries per request and per service, and decides which failed attempts may be
// retried.
package retrier

import (
	"math"
	"time"
)

// Outcome tells whether a call has run, as far as is known.
type Outcome int

const (
	// Ran means that the target has answered.
	Ran Outcome = iota
	// NotRun means that no target has started the call.
	NotRun
	// Unknown means that the target may have run the call.
	Unknown
)

var outcomeNames = [...]string{"run", "not-run", "unknown"}

// String returns the outcome as reported to callers.
func (o Outcome) String() string { return outcomeNames[o] }

// Budget is the retry budget of a request, or the part of that budget that one call has. It is not safe for
// concurrent use.
//
// The budget is created once, at the entry node. A child call is lent a part of the budget and returns the
// retries that it has not used, so the retries in a tree of calls never exceed the initial budget.
type Budget struct {
	remaining int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) Budget { return Budget{remaining: max(n, 0)} }

// Remaining returns the number of remaining retries.
func (b *Budget) Remaining() int { return b.remaining }

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Lend takes half of the remaining retries, rounded up, for a child call and returns their number.
func (b *Budget) Lend() int {
	n := (b.remaining + 1) / 2
	b.remaining -= n
	return n
}

// Restore puts back the retries that a child call has not used, at most the n that it was lent.
func (b *Budget) Restore(n, unused int) {
	b.remaining += min(max(unused, 0), n)
}

// TokenBucket is a token bucket that limits the retries of a service to a share of its first attempts. It is
// not safe for concurrent use.
type TokenBucket struct {
	// RefillPerAttempt is the number of retries that each first attempt adds to the bucket.
	RefillPerAttempt float64
	// Capacity is the maximum number of retries in the bucket, which starts full.
	Capacity float64

	tokens      float64
	initialized bool
}

// RecordAttempt records a first attempt.
func (b *TokenBucket) RecordAttempt() {
	b.lazyInit()
	b.tokens = math.Min(b.tokens+b.RefillPerAttempt, b.Capacity)
}

// Take takes one retry from the bucket and reports whether there was one.
func (b *TokenBucket) Take() bool {
	b.lazyInit()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *TokenBucket) lazyInit() {
	if !b.initialized {
		b.tokens = b.Capacity
		b.initialized = true
	}
}

// FailedAttempt describes a failed attempt for Allowed.
type FailedAttempt struct {
	Outcome    Outcome
	Idempotent bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// ServiceTime is the current service time of the service.
	ServiceTime time.Duration
}

// Allowed reports whether a retry is safe and can still finish before the deadline.
func Allowed(a FailedAttempt) bool {
	safe := a.Outcome == NotRun || a.Idempotent
	return safe && a.Remaining > a.ServiceTime
}

const (
	baseBackoff = 2 * time.Millisecond
	maxBackoff  = 100 * time.Millisecond
)

// Backoff returns the wait before retry n, counted from 0, as exponential backoff with full jitter.
// random is in [0, 1).
func Backoff(n int, random float64) time.Duration {
	ceiling := min(baseBackoff<<min(n, 10), maxBackoff)
	return time.Duration(random * float64(ceiling))
}

// RetryAfter returns a delay of at least minDelay with jitter, so that refused callers do not all retry at
// once. random is in [0, 1).
func RetryAfter(minDelay time.Duration, random float64) time.Duration {
	return minDelay + time.Duration(random*float64(minDelay+time.Second))
}
