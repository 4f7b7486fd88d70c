package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// readTimeoutMargin is added to the wait of a read to obtain its timeout.
	readTimeoutMargin = 900 * time.Millisecond
	// newestTimeout is the timeout of a read of the newest records.
	newestTimeout = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the mean pause after a failed read. The pause doubles with each failure and
	// is random, so that nodes that failed together do not call together.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// topic follows one keyed topic of the store.
type topic struct {
	store Store
	name  string
	wait  time.Duration
	log   *log.Logger
	eras  *eras
	// apply receives the records of each read and reports whether all of them could be applied. If so, onApplied
	// receives the time at which the read was sent and the era of its answer.
	apply     func([]platform.Record) bool
	onApplied func(sentAt time.Duration, era platform.Era)
	// reset receives the existing keys each time the newest records have been read, before apply is called.
	reset func(keys map[string]bool)
	// restartSpread, if set, returns the time over which nodes spread their reads of the newest records after a restore.
	restartSpread func() time.Duration
	// gatherTime, if set, returns the pause after a read that returned records, in which further ones gather.
	gatherTime func() time.Duration

	// next is the offset of the next read. It is valid only in era.
	next int64
	era  platform.Era
	// started is set while reads can continue from next. Otherwise the newest records are read.
	started bool
	// restartedOnce is set once the newest records have been read.
	restartedOnce bool
	failing       bool
	// immediate is set if the next read must not wait, because the latest one proved nothing.
	immediate bool
}

// follow reads until ctx ends.
func (t *topic) follow(ctx context.Context) {
	for t.read(ctx) {
	}
}

// read performs one read and repeats it with increasing pauses until it succeeds. It returns false if ctx ends
// first.
func (t *topic) read(ctx context.Context) bool {
	pause := minRetryDelay
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		t.logAvailability(err)
		if err == nil {
			return true
		}
		waiter.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryDelay)
	}
	return false
}

// logAvailability logs when the store becomes unavailable and when it is available again.
func (t *topic) logAvailability(err error) {
	switch {
	case err != nil && !t.failing:
		t.log.Warn().Err(err).Str("topic", t.name).Msg("store unavailable")
	case err == nil && t.failing:
		t.log.Info().Str("topic", t.name).Msg("store available again")
	}
	t.failing = err != nil
	t.immediate = t.immediate || t.failing
}

// readWait returns how long the next read waits for new records. A read proves what is newest only if it is sent after
// the store's era has settled, so an earlier one waits no longer than until then.
func (t *topic) readWait() time.Duration {
	if remaining := t.eras.remaining(); remaining > 0 {
		t.immediate = true
		return min(t.wait, remaining)
	}
	if t.immediate {
		t.immediate = false
		return 0
	}
	return t.wait
}

// readOnce reads the records from next on. If next is not an offset of the store's present era, or if the records have
// expired, the next call reads the newest records instead.
func (t *topic) readOnce(ctx context.Context) error {
	era, ended := t.eras.current()
	if !t.started || t.era != era {
		return t.restart(ctx)
	}
	sentAt := timekeeper.SinceBoot()
	wait := t.readWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	defer context.AfterFunc(ended, cancel)()
	batch, err := t.store.Read(ctx, t.name, t.next, wait)
	switch {
	case errors.Is(err, platform.ErrExpired):
		t.log.Info().Str("topic", t.name).Int64("next", t.next).Msg("records at the read position not available")
		t.started = false
		return nil
	case err != nil && ended.Err() != nil:
		// Another call has learned of a restore, and this one waited for offsets of the old era.
		t.started = false
		return nil
	case err != nil:
		return err
	case batch.Era != t.era:
		t.started = false
		return t.observe(batch.Era)
	}
	t.next = batch.Next
	t.accept(batch, sentAt)
	if t.gatherTime != nil && len(batch.Records) > 0 {
		waiter.Sleep(ctx, t.gatherTime())
	}
	return nil
}

// observe records the era of an answer. It returns an error if the answer is of an earlier era than the latest.
func (t *topic) observe(era platform.Era) error {
	if !t.eras.observe(era) {
		return platform.ErrRestored
	}
	return nil
}

// restart reads the newest record of each key.
func (t *topic) restart(ctx context.Context) error {
	if era, _ := t.eras.current(); t.restartedOnce && t.era != era && t.restartSpread != nil {
		if !waiter.Sleep(ctx, rand.N(t.restartSpread())) {
			return ctx.Err()
		}
	}
	sentAt := timekeeper.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	batch, err := t.store.Newest(ctx, t.name)
	if err != nil {
		return err
	}
	if err := t.observe(batch.Era); err != nil {
		return err
	}
	if t.restartedOnce && t.era != batch.Era {
		t.log.Warn().Str("topic", t.name).Int64("old-era", int64(t.era)).Int64("era", int64(batch.Era)).
			Int64("next", t.next).Int64("end", batch.End).Int("records", len(batch.Records)).
			Msg("store was restored from a copy: topic read again")
	}
	t.next, t.era = batch.Next, batch.Era
	t.started, t.restartedOnce = true, true
	if t.reset != nil {
		keys := map[string]bool{}
		for _, r := range batch.Records {
			keys[r.Key] = true
		}
		t.reset(keys)
	}
	t.accept(batch, sentAt)
	return nil
}

// accept applies the records of a read that was sent at the given time.
func (t *topic) accept(batch platform.Batch, sentAt time.Duration) {
	if t.apply(batch.Records) && t.onApplied != nil {
		t.onApplied(sentAt, batch.Era)
	}
}
