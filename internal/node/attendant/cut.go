package attendant

import (
	"fmt"
	"strconv"

	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
)

// cutMetrics publishes the cuts of the admission plan. Only housekeep uses it.
type cutMetrics struct {
	// cuts are those of the last call; gauges holds the names of the gauges that are registered.
	cuts   map[string]prioritizer.Cut
	gauges map[string]bool
}

// publishCuts sets the metrics of the admission plan and logs each cut that has begun, moved to another rank or ended.
func (a *Attendant) publishCuts() {
	cuts, levels := a.gateway.Shedder.Cuts()
	values := map[string]float64{}
	for service, cut := range cuts {
		label := strconv.Quote(service)
		values["admission_cut_rank{service="+label+"}"] = float64(cut.Rank)
		values[fmt.Sprintf(`admission_fraction{service=%s,rank="%d"}`, label, cut.Rank)] = cut.Fraction
		if level, ok := levels[service]; ok {
			values["account_fair_level{service="+label+"}"] = level
		}
		if old, ok := a.cutMetrics.cuts[service]; !ok || old.Rank != cut.Rank {
			a.Log.Info().Str("service", service).Int("rank", cut.Rank).Float64("fraction", cut.Fraction).Msg("admission cut")
		}
	}
	for service := range a.cutMetrics.cuts {
		if _, ok := cuts[service]; !ok {
			a.Log.Info().Str("service", service).Msg("admission cut ended")
		}
	}
	for name := range a.cutMetrics.gauges {
		if _, ok := values[name]; !ok {
			a.Metrics.UnregisterMetric(name)
			delete(a.cutMetrics.gauges, name)
		}
	}
	if a.cutMetrics.gauges == nil {
		a.cutMetrics.gauges = map[string]bool{}
	}
	for name, value := range values {
		a.Metrics.GetOrCreateGauge(name, nil).Set(value)
		a.cutMetrics.gauges[name] = true
	}
	a.cutMetrics.cuts = cuts
}
