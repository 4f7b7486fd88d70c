package regulator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
	"gotest.tools/v3/assert"
)

func TestAdmittedShare(t *testing.T) {
	for _, c := range []struct {
		name               string
		slots              int
		correction, demand float64
		minShare, maxShare float64
	}{
		{"no demand", 72, 1, 0, 1, 1},
		{"demand below capacity", 72, 1, 40, 1, 1},
		{"demand of twice the capacity", 72, 1, 2 * 72 * regulator.Setpoint, 0.5, 0.5},
		{"no target left", 0, 1, 10, regulator.MinShare, regulator.MinShare},
		{"trimmed", 72, 0.5, 72 * regulator.Setpoint, 0.5, 0.5},
	} {
		share := regulator.AdmittedShare(c.slots, c.correction, c.demand)
		assert.Assert(t, share >= c.minShare-1e-9 && share <= c.maxShare+1e-9, "%s: %.3f", c.name, share)
	}
}

// TestCorrectionSettles replays a service whose requests cost twice the estimate. Within 5 s, the load must fall
// to the setpoint and stay there, although requests arrive 400 ms after they were admitted.
func TestCorrectionSettles(t *testing.T) {
	const estimated, actual = 100.0, 200.0
	const slots = 72
	var correction regulator.Correction
	now := time.Unix(1_800_000_000, 0)
	delayed := []float64{1, 1, 1, 1}
	for i := range 200 {
		now = now.Add(regulator.Period)
		delayed = append(delayed[1:], regulator.AdmittedShare(slots, correction.Value(), estimated))
		load := delayed[0] * actual / slots
		correction.Tick(now, load)
		if i > 50 {
			assert.Assert(t, load > 0.7 && load < 1.0, "step %d: load %.2f", i, load)
		}
	}
}

// TestSmallTargetIsUsed replays the deepest service of the print shops: a target of 22 slots with calls of 30
// ms and a demand of twice its capacity. Nearly nine in ten slots must be busy, and the mean wait of a call
// must stay below a tenth of the shortest latency objective, 300 ms.
func TestSmallTargetIsUsed(t *testing.T) {
	const slots, hold = 22, 30 * time.Millisecond
	const step = time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_800_000_000, 0)
	var correction regulator.Correction
	var meter regulator.Meter
	ends := make([]int, slots)
	delayed := []float64{1, 1, 1, 1}
	waiting, busy, waited, arrived := 0, 0.0, 0.0, 0.0
	const warmUp, total = 5_000, 65_000
	for i := range total {
		now = now.Add(step)
		if i%100 == 0 {
			correction.Tick(now, meter.Mean(now))
			delayed = append(delayed[1:], regulator.AdmittedShare(slots, correction.Value(), 2*slots))
		}
		rate := delayed[0] * 2 * slots * step.Seconds() / hold.Seconds()
		arrivals := 0
		for p := rng.ExpFloat64(); p < rate; p += rng.ExpFloat64() {
			arrivals++
		}
		waiting += arrivals
		running := 0
		for k := range ends {
			if ends[k] <= i && waiting > 0 {
				waiting--
				ends[k] = i + int(hold/step)
			}
			if ends[k] > i {
				running++
			}
		}
		meter.Observe(now, running, waiting, slots)
		if i >= warmUp {
			busy += float64(running) / slots / (total - warmUp)
			waited += float64(waiting) * step.Seconds()
			arrived += float64(arrivals)
		}
	}
	assert.Assert(t, busy > 0.87, "busy: %.3f", busy)
	assert.Assert(t, waited/arrived < 0.03, "mean wait in seconds: %.4f", waited/arrived)
}

func TestMeter(t *testing.T) {
	var m regulator.Meter
	now := time.Unix(1_800_000_000, 0)
	m.Observe(now, 10, 0, 20)
	m.Observe(now.Add(50*time.Millisecond), 20, 10, 20)
	mean := m.Mean(now.Add(100 * time.Millisecond))
	assert.Assert(t, mean > 0.811 && mean < 0.814, "half of 0.5 and half of 1 with 10 of 20 waiting: %.4f", mean)
}

// TestRejectionsLowerCapacity replays a service whose targets suddenly serve half of what their slots tell and reject the
// rest. 300 ms later, the admitted demand must be halved; rejected requests must not make the service look idle.
func TestRejectionsLowerCapacity(t *testing.T) {
	const slots = 80
	var correction regulator.Correction
	var rejections regulator.Rejections
	now := time.Unix(1_800_000_000, 0)
	for i := range 40 {
		capacity := regulator.Capacity(slots, correction.Value())
		for k := range int(capacity) {
			rejections.Observe(now.Add(time.Duration(k)*time.Millisecond), i >= 10 && k >= slots/2, k+1)
		}
		now = now.Add(regulator.Period)
		correction.Reject(now, rejections.Share(now))
		correction.Tick(now, min(capacity, slots/2)/slots)
		if i >= 13 {
			assert.Assert(t, correction.Value() < 0.65, "step %d: %.2f", i, correction.Value())
		}
		if i >= 13 && i < 20 {
			assert.Assert(t, correction.Value() > 0.3, "step %d: %.2f", i, correction.Value())
		}
	}
}

// TestRejectionsAtAnyLoad guards against a target that rejects a part of its requests whatever its load, for which less and
// less is admitted while its slots are idle.
func TestRejectionsAtAnyLoad(t *testing.T) {
	var rejections regulator.Rejections
	random := rand.New(rand.NewPCG(3, 3))
	now := time.Unix(1_800_000_000, 0)
	counted := 0
	for i := range 100 {
		// The load falls from full to nearly nothing.
		running := max(20-i, 1)
		for k := range 3 * running {
			rejections.Observe(now.Add(time.Duration(k)*time.Millisecond), random.Float64() < 0.55, 1+random.IntN(running))
		}
		now = now.Add(regulator.Period)
		if rejections.Share(now) > 0 {
			counted++
		}
	}
	assert.Assert(t, counted <= 5, "%d of 100 periods", counted)
}
