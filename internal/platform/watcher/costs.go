package watcher

import (
	"context"
	"math"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// costsCheckInterval is the time between two checks for changed costs. Each write costs money, so checks are not
	// more frequent. If all nodes are lost, the changes since the latest check are lost with them.
	costsCheckInterval = 5 * time.Second
	// minCostsChange is the relative change above which costs are written again. Hold times, which are the times for
	// which requests hold a slot, vary by less between measurement intervals.
	minCostsChange = 0.3
)

// SyncCosts loads the request costs that the nodes had learned before this process started, and then writes this
// node's costs whenever they change, until ctx ends. Without the stored costs, a fleet that has lost all its nodes
// admits more than its bottleneck service can handle until the costs are learned again.
func (w *Watcher) SyncCosts(ctx context.Context) {
	t := w.newTopic(platform.CostTopic, 0, firstNeighbourWait, maxCostsAge)
	t.apply = w.applyCosts
	w.awaitMembers(ctx)
	// A fleet that starts for the first time has not stored any costs.
	firstStart := w.Neighbours != nil && w.membersEmpty.Load()
	if !firstStart && !t.read(ctx) {
		return
	}
	var stored []tracker.RouteCosts
	_, ended := w.eras.current()
	ticker := time.NewTicker(costsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended.Done():
			// The store may have lost the costs.
			stored = nil
			_, ended = w.eras.current()
		case <-ticker.C:
			own := w.OwnCosts()
			if changed(stored, own.RouteCosts) && w.putCosts(ctx, own) == nil {
				stored = own.RouteCosts
			}
		}
	}
}

func (w *Watcher) applyCosts(records []platform.Record) bool {
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		c, err := tracker.DecodeNodeCosts(r.Key, r.Value)
		if err != nil {
			w.skip(platform.CostTopic, &r, err)
			continue
		}
		w.OnStoredCosts(c)
	}
	return true
}

func (w *Watcher) putCosts(ctx context.Context, c tracker.NodeCosts) error {
	if err := w.put(ctx, platform.CostTopic, c.Node, c); err != nil {
		w.Log.Warn().Err(err).Msg("writing request costs failed")
		return err
	}
	return nil
}

// changed reports whether the current costs differ from the stored ones by enough to be written again.
func changed(stored, current []tracker.RouteCosts) bool {
	old := map[string]tracker.RouteCosts{}
	for _, r := range stored {
		old[r.Route] = r
	}
	for _, r := range current {
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
	return math.Abs(float64(a-b)) > minCostsChange*float64(max(a, b))
}
