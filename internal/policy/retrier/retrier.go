// Package retrier limits the retries of whole requests and of services, and decides which failed
// attempts may be retried.
package retrier

import (
	"math"
	"time"
)

// Outcome says what is known about whether a call has run.
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

// Budget is the retry budget of a whole request, or the part of it that one call has. It is not safe
// for concurrent use.
//
// The budget is created once, at the entry node. A child call is lent a part of it and returns what it
// has not used, so the retries in a tree of calls never exceed the initial budget.
type Budget struct {
	remaining int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) Budget { return Budget{remaining: max(n, 0)} }

// Remaining returns the number of remaining retries.
func (e *Budget) Remaining() int { return e.remaining }

// Spend takes one retry from the budget and reports whether there was one.
func (e *Budget) Spend() bool {
	if e.remaining == 0 {
		return false
	}
	e.remaining--
	return true
}

// Lend takes half of the remaining retries, rounded up, for a child call and returns their number.
func (e *Budget) Lend() int {
	n := (e.remaining + 1) / 2
	e.remaining -= n
	return n
}

// Restore puts back what a child call has not used of the n retries that it was lent.
func (e *Budget) Restore(n, unused int) {
	e.remaining += min(max(unused, 0), n)
}

// TokenBucket is a token bucket that limits the retries of a service to a share of its first attempts. It is
// not safe for concurrent use.
type TokenBucket struct {
	// RefillPerAttempt is the number of retries that each first attempt adds.
	RefillPerAttempt float64
	// Capacity is the maximum number of retries in the bucket, which starts full.
	Capacity float64

	tokens      float64
	initialized bool
}

// RecordAttempt records a first attempt.
func (r *TokenBucket) RecordAttempt() {
	r.lazyInit()
	r.tokens = math.Min(r.tokens+r.RefillPerAttempt, r.Capacity)
}

// Take takes one retry from the bucket and reports whether there was one.
func (r *TokenBucket) Take() bool {
	r.lazyInit()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *TokenBucket) lazyInit() {
	if !r.initialized {
		r.tokens = r.Capacity
		r.initialized = true
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

// RetryAfter returns a delay of at least minDelay with jitter, so that refused callers do not all come
// back at once. random is in [0, 1).
func RetryAfter(minDelay time.Duration, random float64) time.Duration {
	return minDelay + time.Duration(random*float64(minDelay+time.Second))
}
