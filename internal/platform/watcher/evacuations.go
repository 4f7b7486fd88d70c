package watcher

import (
	"strings"

	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
	"github.com/plantainwheel/plantainwheel/platform"
)

// applyEvacuations applies the records of evacuated data centres. It ignores the other records.
func (w *Watcher) applyEvacuations(records []platform.Record) {
	for _, r := range records {
		dataCentre, ok := strings.CutPrefix(r.Key, platform.EvacuationKeyPrefix)
		if !ok || dataCentre == "" {
			continue
		}
		e := evacuator.Evacuation{DataCentre: dataCentre, Offset: r.Offset}
		w.Evacuations.Apply(w.now(), e, len(r.Value) > 0)
	}
}
