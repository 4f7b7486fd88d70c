package watcher

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// settledKey is the key of the record in platform.MemberTopic that names the latest settled era.
	settledKey = "/settled"
	// settledSpread is multiplied by the number of members to obtain the time over which nodes spread the write of the
	// record, so that most of them read it before they would write it.
	settledSpread = 10 * time.Millisecond
)

// settledRecord tells nodes that start later that records lost before the era have been written again.
type settledRecord struct {
	Era platform.Era `json:"era"`
}

func (w *Watcher) applySettled(r platform.Record) {
	var s settledRecord
	if err := json.Unmarshal(r.Value, &s); err != nil {
		w.skip(platform.MemberTopic, &r, err)
		return
	}
	w.eras.vouch(s.Era)
}

// FollowEras calls OnEra for each era of the store, and writes a record that it has settled unless another node has,
// until ctx ends.
func (w *Watcher) FollowEras(ctx context.Context) {
	for ctx.Err() == nil {
		era, ended := w.storeEras().current()
		if era != platform.NoEra {
			w.OnEra()
			w.shareEra(ctx, ended, era)
		}
		select {
		case <-ctx.Done():
		case <-ended.Done():
		}
	}
}

// shareEra waits until the era has settled and writes the record. It returns early if the era ends.
func (w *Watcher) shareEra(ctx, ended context.Context, era platform.Era) {
	spread := w.spread(settledSpread)
	for pause := rand.N(spread); ctx.Err() == nil && ended.Err() == nil && !w.eras.isVouched(); pause = rand.N(spread) + putRetryDelay {
		select {
		case <-ctx.Done():
			return
		case <-ended.Done():
			return
		case <-time.After(w.eras.remaining() + pause):
		}
		if w.eras.remaining() > 0 || w.eras.isVouched() {
			continue
		}
		if w.putSettled(ctx, era) == nil {
			return
		}
	}
}

func (w *Watcher) putSettled(ctx context.Context, era platform.Era) error {
	if err := w.put(ctx, platform.MemberTopic, settledKey, settledRecord{Era: era}); err != nil {
		w.Log.Warn().Err(err).Int64("era", int64(era)).Msg("writing the settled era failed")
		return err
	}
	w.Log.Info().Int64("era", int64(era)).Msg("era of the store has settled")
	return nil
}
