package pacer_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/pacer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// TestWindows checks with random limits and arrivals that no window of 4 s has more requests than the limit allows, and
// that a steady demand gets close to the limit.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkWindows(t, rapid.Float64Range(0, 200).Draw(t, "limit"), rapid.IntRange(1, 700).Draw(t, "gap"))
	})
}

// TestLowLimitReached guards against a low limit that is missed because a request can begin only at some times.
func TestLowLimitReached(t *testing.T) {
	for _, limit := range []float64{1.1, 4.25, 6, 7.9, 8.1, 11.9} {
		for _, gap := range []int{1, 39, 50} {
			checkWindows(t, limit, gap)
		}
	}
}

// checkWindows lets requests arrive at the limit, with the gap in milliseconds between the times when some may begin.
func checkWindows(t assert.TestingT, limit float64, gap int) {
	var p pacer.Pacer
	p.Name(at(0), limit)
	var begun []int
	for now := 0; now < 20_000; now += gap {
		for p.Available(at(now)) > 0 {
			p.Take(at(now))
			begun = append(begun, now)
		}
	}
	for first, from := range begun {
		n := 0
		for _, later := range begun[first:] {
			if later-from <= 4000 {
				n++
			}
		}
		assert.Assert(t, float64(n) <= 1.5*4*limit+5, "%d at a limit of %g", n, limit)
	}
	if gap <= 50 && limit > 1 {
		assert.Assert(t, float64(len(begun)) > 0.9*20*limit-2, "%d at a limit of %g, gap %d", len(begun), limit, gap)
	}
}

// TestLifecycle checks when a limit is applied, kept and lifted.
func TestLifecycle(t *testing.T) {
	var p pacer.Pacer
	limited := func() bool {
		_, ok := p.Limit()
		return ok
	}
	assert.Assert(t, !limited() && p.Available(at(0)) > 1000 && p.Delay(at(0), 50) == 0)
	p.Adopt(at(0), 4)
	assert.Assert(t, limited())
	p.Unname(at(500))
	assert.Assert(t, limited(), "lifted by an answer that may be older")
	p.Unname(at(1000))
	assert.Assert(t, !limited())
	p.Adopt(at(1100), 4)
	assert.Assert(t, !limited(), "adopted although an answer had none")
	p.Name(at(2000), 4)
	assert.Equal(t, p.Available(at(2000)), 0)
	assert.Equal(t, p.Delay(at(2000), 0), 250*time.Millisecond)
	assert.Equal(t, p.Delay(at(2000), 3), time.Second)
	assert.Equal(t, p.Slots(90, time.Second), 4)
	assert.Equal(t, p.Slots(90, 10*time.Millisecond), 1)
	assert.Equal(t, p.Slots(3, time.Second), 3)
	p.Name(at(3000), 1e300)
	assert.Assert(t, !limited())
}
