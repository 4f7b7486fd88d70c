package attendant

import (
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
		"by chance":            {func(r *loadReport) { r.load.Running += 14; r.load.Mean += 0.02; r.demand["x"] = 41 }, false},
		"running":              {func(r *loadReport) { r.load.Running += 20 }, true},
		"fewer running":        {func(r *loadReport) { r.load.Running -= 20 }, true},
		"waiting":              {func(r *loadReport) { r.load.Waiting += 20 }, true},
		"load":                 {func(r *loadReport) { r.load.Mean += 0.04 }, true},
		"failures":             {func(r *loadReport) { r.load.FailureRate = 0.1 }, true},
		"down":                 {func(r *loadReport) { r.load.Up = false }, true},
		"paced":                {func(r *loadReport) { r.load.Paced = true }, true},
		"limit":                {func(r *loadReport) { r.load.Limit-- }, true},
		"correction":           {func(r *loadReport) { r.correction = 0.95 }, true},
		"demand":               {func(r *loadReport) { r.demand["x"] = 44 }, true},
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
