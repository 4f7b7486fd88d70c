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
func walk(rng *rand.Rand, e *retrier.Escrow, level int) (used int) {
	for rng.IntN(2) == 0 && e.Use() {
		used++
	}
	if level == depth {
		return used
	}
	for range fanOut {
		n := e.Lend()
		child := retrier.Mint(n)
		if n == 0 && rng.IntN(4) > 0 {
			continue
		}
		childUsed := walk(rng, &child, level+1)
		used += childUsed
		if rng.IntN(10) > 0 {
			e.Return(n, child.Left())
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
		e := retrier.Mint(minted)
		used := walk(rng, &e, 1)
		assert.Assert(t, used+e.Left() <= minted, "minted %d, used %d, left %d", minted, used, e.Left())
	}
}

// TestEscrowReturnsUnused checks that all unused retries are returned when no answer is lost.
func TestEscrowReturnsUnused(t *testing.T) {
	e := retrier.Mint(5)
	a := e.Lend()
	b := e.Lend()
	assert.Equal(t, a+b+e.Left(), 5)
	e.Return(b, b)
	e.Return(a, a)
	assert.Equal(t, e.Left(), 5)
	e.Return(1, 100)
	assert.Equal(t, e.Left(), 6, "returned more than was lent")
}

// TestRatio checks that retries stay within their share during a long outage.
func TestRatio(t *testing.T) {
	r := retrier.Ratio{Share: 0.1, Reserve: 20}
	retries := 0
	for range 10_000 {
		r.Attempt()
		if r.Retry() {
			retries++
		}
	}
	assert.Assert(t, retries <= 1020 && retries >= 1000, "%d retries", retries)
}

// TestAllowed checks which failed attempts may be retried.
func TestAllowed(t *testing.T) {
	cases := []struct {
		name string
		a    retrier.Attempt
		want bool
	}{
		{"not run", retrier.Attempt{Outcome: retrier.NotRun, Remaining: time.Second}, true},
		{"unknown", retrier.Attempt{Outcome: retrier.Unknown, Remaining: time.Second}, false},
		{"unknown and idempotent", retrier.Attempt{Outcome: retrier.Unknown, Idempotent: true, Remaining: time.Second}, true},
		{"ran", retrier.Attempt{Outcome: retrier.Ran, Remaining: time.Second}, false},
		{"too late", retrier.Attempt{Outcome: retrier.NotRun, Remaining: 9, Expected: 10}, false},
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
