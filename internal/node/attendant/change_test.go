package attendant

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"gotest.tools/v3/assert"
)

// TestChangedLoad guards against changes that the other nodes hear of only with the report of the next second, and against
// reports at the urgent interval while the load only varies by chance.
func TestChangedLoad(t *testing.T) {
	report := func() loadReport {
		return loadReport{
			load:       executor.Load{Running: 150, Waiting: 3, Limit: 190, Mean: 0.8, FailureRate: 0.01, Up: true},
			correction: 1, demand: map[string]float64{"x": 40, "y": 2},
		}
	}
	for name, c := range map[string]struct {
		change  func(*loadReport)
		changed bool
	}{
		"nothing":              {func(*loadReport) {}, false},
		"by chance":            {func(r *loadReport) { r.load.Running += 20; r.load.Mean += 0.02; r.demand["x"] = 43 }, false},
		"running":              {func(r *loadReport) { r.load.Running += 30 }, true},
		"fewer running":        {func(r *loadReport) { r.load.Running -= 30 }, true},
		"waiting":              {func(r *loadReport) { r.load.Waiting += 30 }, true},
		"load":                 {func(r *loadReport) { r.load.Mean += 0.04 }, true},
		"failures":             {func(r *loadReport) { r.load.FailureRate = 0.1 }, true},
		"down":                 {func(r *loadReport) { r.load.Up = false }, true},
		"paced":                {func(r *loadReport) { r.load.Paced = true }, true},
		"limit":                {func(r *loadReport) { r.load.Limit-- }, true},
		"correction":           {func(r *loadReport) { r.correction = 0.95 }, true},
		"demand":               {func(r *loadReport) { r.demand["x"] = 46 }, true},
		"demand elsewhere":     {func(r *loadReport) { r.demand["z"] = 5 }, true},
		"demand of no service": {func(r *loadReport) { delete(r.demand, "x") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			old, now := report(), report()
			c.change(&now)
			assert.Equal(t, old.changed(now), c.changed)
		})
	}
	small := loadReport{load: executor.Load{Running: 2, Limit: 4}}
	assert.Assert(t, !small.changed(loadReport{load: executor.Load{Running: 4, Limit: 4}}), "two slots of a small target")
	assert.Assert(t, (&loadReport{}).changed(report()), "the first report")
}

// TestReportsUnderSteadyLoad simulates a node whose target of 200 slots is busy to 0.8 with requests of 60 ms, and at which
// 100 requests a second enter by chance. It guards against bounds that chance exceeds all the time, with which the node
// would send 5 reports a second as if the load changed.
func TestReportsUnderSteadyLoad(t *testing.T) {
	const slots, busy, hold, rate, step, seconds = 190, 152, 0.06, 100, 0.05, 200
	rng := rand.New(rand.NewPCG(1, 2))
	chance := func(mean float64) float64 {
		return max(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()), 0)
	}
	stays := math.Exp(-step / hold)
	running, mean, entering := float64(busy), float64(busy)/slots, float64(rate)
	var last loadReport
	sinceLast, reports := 0.0, 0
	for range int(seconds / step) {
		kept := running*stays + math.Sqrt(running*stays*(1-stays))*rng.NormFloat64()
		running = max(math.Round(kept), 0) + chance(busy*(1-stays))
		mean += step * (running/slots - mean)
		entering += step * (chance(rate*step)/step - entering)
		now := loadReport{
			load:   executor.Load{Running: int(min(running, slots)), Limit: slots, Mean: mean, Up: true},
			demand: map[string]float64{"x": 0.4 * entering},
		}
		sinceLast += step
		if sinceLast > 0.99 || (sinceLast > 0.19 && last.changed(now)) {
			last, sinceLast = now, 0
			reports++
		}
	}
	t.Logf("%.2f reports a second", float64(reports)/seconds)
	assert.Assert(t, reports < 5*seconds/2)
}
