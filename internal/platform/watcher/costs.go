package watcher

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// costsPeriod is the time between two looks at whether what was learnt must be written. Each write is paid
	// for; a loss of all nodes costs at most what was learnt since.
	costsPeriod = 5 * time.Second
	// costsChange is the relative change from which what was learnt is written again: hold times vary by less
	// between spans.
	costsChange = 0.3
)

// KeepCosts takes over what the nodes had learnt before this process started, and from then on writes what this
// node learns, until the context ends. Without it a fleet that has lost all its nodes lets in more than its
// tightest service can do until it has learnt anew.
func (w *Watcher) KeepCosts(ctx context.Context) {
	t := topic{store: w.Store, name: platform.CostTopic, log: w.Log, take: w.takeCosts}
	if !t.read(ctx) {
		return
	}
	var stored []tracker.Row
	ticker := time.NewTicker(costsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			own := w.OwnCosts()
			if changed(stored, own.Rows) && w.putCosts(ctx, own) == nil {
				stored = own.Rows
			}
		}
	}
}

func (w *Watcher) takeCosts(records []platform.Record) bool {
	for _, r := range records {
		var c tracker.Costs
		if err := json.Unmarshal(r.Value, &c); err != nil || c.Node != r.Key {
			w.Log.Warn().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("record of costs is not used")
			continue
		}
		w.RecalledCosts(c)
	}
	return true
}

func (w *Watcher) putCosts(ctx context.Context, c tracker.Costs) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if err := w.Store.Put(ctx, platform.CostTopic, c.Node, raw); err != nil {
		w.Log.Warn().Err(err).Msg("costs are not written")
		return err
	}
	return nil
}

// changed says whether rows differ from what is stored by so much that they must be written.
func changed(stored, rows []tracker.Row) bool {
	old := map[string]tracker.Row{}
	for _, r := range stored {
		old[r.Route] = r
	}
	for _, r := range rows {
		o, ok := old[r.Route]
		if !ok || differs(o.HoldMs, r.HoldMs) || len(o.Calls) != len(r.Calls) {
			return true
		}
		for callee, n := range r.Calls {
			if differs(o.Calls[callee], n) {
				return true
			}
		}
	}
	return false
}

func differs(a, b float32) bool {
	return math.Abs(float64(a-b)) > costsChange*float64(max(a, b))
}
