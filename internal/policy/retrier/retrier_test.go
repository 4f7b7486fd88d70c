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
func walk(rng *rand.Rand, b *retrier.Budget, level int) (used int) {
	for rng.IntN(2) == 0 && b.Spend() {
		used++
	}
	if level == depth {
		return used
	}
	for range fanOut {
		n := b.Lend()
		child := retrier.NewBudget(n)
		if n == 0 && rng.IntN(4) > 0 {
			continue
		}
		childUsed := walk(rng, &child, level+1)
		used += childUsed
		if rng.IntN(10) > 0 {
			b.Restore(n, child.Remaining())
		}
	}
	return used
}

// TestBudgetIsNeverExceeded checks that a request never uses more retries than its budget in a tree of calls,
// and that a lost answer loses retries and never adds any.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261203, 0))
	for range 200 {
		total := rng.IntN(8)
		b := retrier.NewBudget(total)
		used := walk(rng, &b, 1)
		assert.Assert(t, used+b.Remaining() <= total, "budget %d, used %d, remaining %d", total, used, b.Remaining())
	}
}

// TestBudgetReturnsUnused checks that all unused retries are returned when no answer is lost.
func TestBudgetReturnsUnused(t *testing.T) {
	b := retrier.NewBudget(5)
	first := b.Lend()
	second := b.Lend()
	assert.Equal(t, first+second+b.Remaining(), 5)
	b.Restore(second, second)
	b.Restore(first, first)
	assert.Equal(t, b.Remaining(), 5)
	b.Restore(1, 100)
	assert.Equal(t, b.Remaining(), 6, "returned more than was lent")
}

// TestTokenBucket checks that retries stay within their share of the first attempts during a long outage.
func TestTokenBucket(t *testing.T) {
	b := retrier.TokenBucket{RefillPerAttempt: 0.1, Capacity: 20}
	retries := 0
	for range 10_000 {
		b.RecordAttempt()
		if b.Take() {
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

// TestBackoffAndRetryAfter checks the bounds of Backoff and RetryAfter.
func TestBackoffAndRetryAfter(t *testing.T) {
	assert.Equal(t, retrier.Backoff(0, 0), time.Duration(0))
	assert.Assert(t, retrier.Backoff(100, 0.999) < 100*time.Millisecond)
	assert.Equal(t, retrier.RetryAfter(time.Second, 0), time.Second)
	assert.Assert(t, retrier.RetryAfter(time.Second, 0.99) > 2*time.Second)
}
