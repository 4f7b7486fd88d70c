// Package retrier bounds the retries of a whole request and of a service.
package retrier

import (
	"math"
	"time"
)

// Outcome says what is known about a call's run.
type Outcome int

// The outcomes.
const (
	// Ran says that the target has answered.
	Ran Outcome = iota
	// NotRun says that no target has started the call.
	NotRun
	// Unknown says that the target may have run the call.
	Unknown
)

var outcomeNames = [...]string{"run", "not-run", "unknown"}

// String returns the outcome as it is told to callers.
func (o Outcome) String() string { return outcomeNames[o] }

// Escrow is a part of a whole request's retries. It is not safe for concurrent use.
//
// Retries are minted once, at the entry. A child call gets some of them, and gives back what it has
// not used, so the sum over a tree of calls never exceeds what was minted.
type Escrow struct {
	left int
}

// Mint makes the retries of a whole request.
func Mint(n int) Escrow { return Escrow{left: max(n, 0)} }

// Left returns the retries that are left.
func (e *Escrow) Left() int { return e.left }

// Use spends one retry if there is one.
func (e *Escrow) Use() bool {
	if e.left == 0 {
		return false
	}
	e.left--
	return true
}

// Lend takes out the larger half for a child call.
func (e *Escrow) Lend() int {
	n := (e.left + 1) / 2
	e.left -= n
	return n
}

// Return puts back what a child call did not use of the n that it was lent.
func (e *Escrow) Return(n, unused int) {
	e.left += min(max(unused, 0), n)
}

// Ratio throttles retries to a share of a service's first attempts. It is not safe for concurrent use.
type Ratio struct {
	// Share is the most retries per first attempt.
	Share float64
	// Reserve is the most retries that can be saved up.
	Reserve float64

	saved   float64
	started bool
}

// Attempt notes a first attempt.
func (r *Ratio) Attempt() {
	r.start()
	r.saved = math.Min(r.saved+r.Share, r.Reserve)
}

// Retry spends a retry if the share allows it.
func (r *Ratio) Retry() bool {
	r.start()
	if r.saved < 1 {
		return false
	}
	r.saved--
	return true
}

func (r *Ratio) start() {
	if !r.started {
		r.saved = r.Reserve
		r.started = true
	}
}

// Attempt describes a failed attempt that may be retried.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	// Remaining is what is left of the deadline.
	Remaining time.Duration
	// Expected is what the service takes at present.
	Expected time.Duration
}

// Allowed says whether a retry is safe and can still succeed.
func Allowed(a Attempt) bool {
	safe := a.Outcome == NotRun || a.Idempotent
	return safe && a.Remaining > a.Expected
}

const (
	baseBackoff = 2 * time.Millisecond
	maxBackoff  = 100 * time.Millisecond
)

// Backoff returns the full-jitter wait before retry n, counted from 0; random is in [0, 1).
func Backoff(n int, random float64) time.Duration {
	ceiling := min(baseBackoff<<min(n, 10), maxBackoff)
	return time.Duration(random * float64(ceiling))
}

// RetryAfter spreads the callers that are told to come back; random is in [0, 1).
func RetryAfter(least time.Duration, random float64) time.Duration {
	return least + time.Duration(random*float64(least+time.Second))
}
