package attendant

import (
	"github.com/plantainwheel/plantainwheel/internal/policy/warmer"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

// observeCold connects what depends on whether targets are cold: the executor, the tracker and the connections to the
// target.
func (a *Attendant) observeCold(targets *transporter.Pool) {
	a.executor.ColdTerms = a.coldTerms
	a.tracker.ColdPerSecond = func(service string) float64 { return a.coldTerms(service).PerSecond }
	targets.OnAllClosed = a.executor.RecordAllClosed
	a.Metrics.NewGauge("target_cold", func() float64 {
		if a.executor.Load().Cold {
			return 1
		}
		return 0
	})
}

// coldTerms returns what applies to cold targets of a service by the configuration in force.
func (a *Attendant) coldTerms(service string) executor.ColdTerms {
	b := &a.Settings.Bounds
	table := a.keeper.Table()
	if table == nil {
		return executor.ColdTerms{Terms: warmer.Terms{Unknown: b.LimitsCold}}
	}
	s := table.Service(service)
	if s.ColdPerSecond <= 0 {
		return executor.ColdTerms{}
	}
	return executor.ColdTerms{
		Terms:      warmer.Terms{PerSecond: s.ColdPerSecond, Excess: b.ColdExcess, Slack: b.ColdSlack},
		HealthPath: s.HealthPath,
	}
}

// logCold logs that the target has become cold or warm.
func (a *Attendant) logCold() {
	load := a.executor.Load()
	if load.Cold == a.targetCold {
		return
	}
	a.targetCold = load.Cold
	t := a.executor.Target()
	a.Log.Info().
		Str("target", t.ID).
		Bool("cold", load.Cold).
		Time("until", t.WarmUpEnd).
		Int("limit", load.Limit).
		Msg("target condition changed")
}
