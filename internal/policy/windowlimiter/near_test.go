package windowlimiter_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"gotest.tools/v3/assert"
)

// TestRefusedWithinLimit guards against refusals of accounts that stay within rate and burst but use most of them, with
// callers that are spread over many nodes and come back soon after a refusal.
func TestRefusedWithinLimit(t *testing.T) {
	for _, rate := range []float64{10, 35, 120, 420} {
		limit := windowlimiter.Limit{Rate: rate, Burst: rate}
		for _, n := range []int{14, 79} {
			for _, load := range []float64{0.95, 1.05, 1.12} {
				worst, lost, asked := 0.0, 0, 0
				for seed := range uint64(1) {
					r := newReplay(seed, n, limit)
					r.run(6*time.Second, 0.62)
					r.repeats = 2
					r.run(12*time.Second, load)
					worst = max(worst, r.fullest())
					lost, asked = lost+r.lost, asked+r.asked
				}
				share := float64(lost) / float64(asked)
				t.Logf("%d nodes, rate %.0f, load %.2f: %.3f never admitted, %.2f of the allowed requests", n, rate, load, share, worst)
				assert.Check(t, worst <= 1)
			}
		}
	}
}
