package latecounter_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/latecounter"
	"gotest.tools/v3/assert"
)

// TestLate guards against a slow target that is recognised only by its answers, and against one that stays slow after its
// requests have become longer for good.
func TestLate(t *testing.T) {
	var c latecounter.Counter
	now := time.Now()
	run := func(took time.Duration) { c.End("r", took, c.Begin(now, "r")) }
	run(30 * time.Millisecond)
	var running []time.Time
	for range 8 {
		running = append(running, c.Begin(now, "r"))
	}
	unknown := c.Begin(now, "unknown")
	assert.Equal(t, c.Late(now.Add(59*time.Millisecond)), 0)
	assert.Assert(t, !c.Notice(now.Add(59*time.Millisecond)))
	assert.Equal(t, c.Late(now.Add(61*time.Millisecond)), 8)
	assert.Assert(t, c.Notice(now.Add(61*time.Millisecond)))
	assert.Assert(t, !c.Notice(now.Add(111*time.Millisecond)), "noticed already")
	for _, lateAt := range running {
		c.End("r", 90*time.Millisecond, lateAt)
	}
	c.End("unknown", time.Second, unknown)
	assert.Equal(t, c.Late(now.Add(time.Hour)), 0)
	for range 30 {
		run(90 * time.Millisecond)
	}
	c.Begin(now, "r")
	assert.Equal(t, c.Late(now.Add(120*time.Millisecond)), 0)
}

// BenchmarkLate measures the count at a target that runs 200 requests, and one more request.
func BenchmarkLate(b *testing.B) {
	var c latecounter.Counter
	now := time.Now()
	c.End("r", 30*time.Millisecond, c.Begin(now, "r"))
	for i := range 200 {
		c.Begin(now.Add(time.Duration(i)), "r")
	}
	b.ReportAllocs()
	for b.Loop() {
		lateAt := c.Begin(now, "r")
		c.Late(now)
		c.End("r", 30*time.Millisecond, lateAt)
	}
}
