package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"gotest.tools/v3/assert"
)

const (
	depth  = 11
	fanOut = 3
)

// walk simulates a tree of calls that fail repeatedly and returns the retries used in it.
func walk(rng *rand.Rand, e *retrier.Budget, level int) (used int) {
	for rng.IntN(2) == 0 && e.Spend() {
		used++
	}
	if level == depth {
		return used
	}
	for range fanOut {
		n := e.Lend()
		child := retrier.NewBudget(n)
		if n == 0 && rng.IntN(4) > 0 {
			continue
		}
		childUsed := walk(rng, &child, level+1)
		used += childUsed
		if rng.IntN(10) > 0 {
			e.Restore(n, child.Remaining())
		}
	}
	return used
}

// TestEscrowIsNeverExceeded checks that a whole request never uses more retries than its budget,
// whatever the depth and width of its call tree, and that a lost answer loses retries and never adds
// any.
func TestEscrowIsNeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261203, 0))
	for range 200 {
		minted := rng.IntN(8)
		e := retrier.NewBudget(minted)
		used := walk(rng, &e, 1)
		assert.Assert(t, used+e.Remaining() <= minted, "minted %d, used %d, left %d", minted, used, e.Remaining())
	}
}

// TestEscrowReturnsUnused checks that all unused retries are returned when no answer is lost.
func TestEscrowReturnsUnused(t *testing.T) {
	e := retrier.NewBudget(5)
	a := e.Lend()
	b := e.Lend()
	assert.Equal(t, a+b+e.Remaining(), 5)
	e.Restore(b, b)
	e.Restore(a, a)
	assert.Equal(t, e.Remaining(), 5)
	e.Restore(1, 100)
	assert.Equal(t, e.Remaining(), 6, "returned more than was lent")
}

// TestRatio checks that retries stay within their share during a long outage.
func TestRatio(t *testing.T) {
	r := retrier.TokenBucket{RefillPerAttempt: 0.1, Capacity: 20}
	retries := 0
	for range 10_000 {
		r.RecordAttempt()
		if r.Take() {
			retries++
		}
	}
	assert.Assert(t, retries <= 1020 && retries >= 1000, "%d retries", retries)
}

// TestAllowed checks which failed attempts may be retried.
func TestAllowed(t *testing.T) {
	cases := []struct {
		name string
		a    retrier.FailedAttempt
		want bool
	}{
		{"not run", retrier.FailedAttempt{Outcome: retrier.NotRun, Remaining: time.Second}, true},
		{"unknown", retrier.FailedAttempt{Outcome: retrier.Unknown, Remaining: time.Second}, false},
		{"unknown and idempotent", retrier.FailedAttempt{Outcome: retrier.Unknown, Idempotent: true, Remaining: time.Second}, true},
		{"ran", retrier.FailedAttempt{Outcome: retrier.Ran, Remaining: time.Second}, false},
		{"too late", retrier.FailedAttempt{Outcome: retrier.NotRun, Remaining: 9, ServiceTime: 10}, false},
	}
	for _, c := range cases {
		assert.Equal(t, retrier.Allowed(c.a), c.want, c.name)
	}
}

// TestWaits checks the bounds of Backoff and RetryAfter.
func TestWaits(t *testing.T) {
	assert.Equal(t, retrier.Backoff(0, 0), time.Duration(0))
	assert.Assert(t, retrier.Backoff(100, 0.999) < 100*time.Millisecond)
	assert.Equal(t, retrier.RetryAfter(time.Second, 0), time.Second)
	assert.Assert(t, retrier.RetryAfter(time.Second, 0.99) > 2*time.Second)
}
