package scaler_test

import (
	"math"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/policy/scaler"
	"gotest.tools/v3/assert"
)

// TestProcessors guards against a node that stays on one processor under load, and against one that switches at each
// decision.
func TestProcessors(t *testing.T) {
	for _, c := range []struct {
		current, limit int
		used           float64
		want           int
	}{
		{1, 4, 0.2, 1},
		{1, 4, 0.7, 2},
		{2, 4, 0.7, 2},
		{2, 4, 1.5, 4},
		{4, 4, 3.9, 4},
		{4, 4, 1, 3},
		{2, 4, 0.3, 1},
		{2, 4, 0.4, 2},
		{1, 1, 1, 1},
		{8, 4, 8, 4},
		{0, 0, 0, 1},
		{2, 4, math.NaN(), 2},
		{2, 4, -1, 2},
		{1, 4, math.Inf(1), 2},
	} {
		assert.Equal(t, scaler.Processors(c.current, c.limit, c.used), c.want, "%+v", c)
	}
}

// TestSteadyLoad checks that the number settles at each load within the limit, and that the processors suffice.
func TestSteadyLoad(t *testing.T) {
	for used := 0.05; used < 3.5; used += 0.05 {
		current, changes := 1, 0
		for i := range 20 {
			next := scaler.Processors(current, 8, min(used, float64(current)))
			if i >= 10 && next != current {
				changes++
			}
			current = next
		}
		assert.Equal(t, changes, 0, "%f in use", used)
		assert.Assert(t, float64(current) > used, "%f in use, %d processors", used, current)
	}
}
