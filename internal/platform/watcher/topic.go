package watcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// readTimeoutMargin is added to the wait of a read to obtain its timeout.
	readTimeoutMargin = 900 * time.Millisecond
	// newestTimeout is the timeout of a read of the newest records.
	newestTimeout = 2500 * time.Millisecond
	// overdueMaxAge is the maximum age of what another node has read when it is asked because the latest proof is overdue.
	// Nodes that fall behind together ask at nearly the same time, and one read of the store is enough for all.
	overdueMaxAge = 200 * time.Millisecond
	// firstNeighbourWait is how long another node may wait for the records of a topic that this node has not read yet.
	firstNeighbourWait = 100 * time.Millisecond
)

// errOverdue is returned for records of another node whose proof has reached its maximum age.
var errOverdue = fmt.Errorf("%w: proof has reached its maximum age", distributor.ErrStale)

// topic follows one keyed topic of the store.
type topic struct {
	now   func() time.Duration
	store Store
	// neighbours, if set, answers from other nodes, which sources chooses.
	neighbours Neighbours
	sources    *sources
	// copy receives what has been read, for other nodes.
	copy *distributor.Copy
	name string
	log  *log.Logger
	eras *eras
	// wait is how long a read of the store waits for new records, neighbourWait a read from another node.
	wait          time.Duration
	neighbourWait time.Duration
	// maxAge is the maximum age of what another node has read when it receives the question.
	maxAge time.Duration
	// apply receives the records of each read and reports whether all of them could be applied. If so, and if the read was
	// complete, onApplied receives the time at which the read of the store was sent and the era of its answer.
	apply     func([]platform.Record) bool
	onApplied func(sentAt time.Duration, era platform.Era)
	// reset receives the existing keys each time the newest records have been read, before apply is called.
	reset func(keys map[string]bool)
	// restartSpread, if set, returns the time over which nodes spread their reads of the newest records after a restore.
	restartSpread func() time.Duration
	// gatherTime, if set, returns the pause after a read of the store that returned records, in which further ones gather.
	gatherTime func() time.Duration

	// next is the offset of the next read. It is valid only in era.
	next int64
	era  platform.Era
	// started is set while reads can continue from next. Otherwise the newest records are read.
	started bool
	// restartedOnce is set once the newest records have been read.
	restartedOnce bool
	failing       bool
	// immediate is set if the next read of the store must not wait, because the latest read has failed or was interrupted.
	immediate bool
	// settling is set if the latest read of the store was sent before its era had settled, and therefore proved nothing.
	settling bool
}

// follow reads until ctx ends.
func (t *topic) follow(ctx context.Context) {
	for t.read(ctx) {
	}
}

// read performs one read and repeats it, from other sources or with increasing pauses, until it succeeds and reads can
// continue from there. It returns false if ctx ends first.
func (t *topic) read(ctx context.Context) bool {
	for ctx.Err() == nil {
		from, pause := t.chooseSource()
		if pause > 0 {
			waiter.Sleep(ctx, pause)
			continue
		}
		err := t.readOnce(ctx, from)
		if ctx.Err() != nil {
			return false
		}
		t.sources.ended(from, err)
		t.logAvailability(from, err)
		if err != nil && t.copy != nil {
			t.copy.Fail(t.name)
		}
		if err == nil && t.started {
			return true
		}
	}
	return false
}

// chooseSource returns the source to read from now, or the time to wait. A node that has not read anything yet does not
// try several nodes, because after a loss of all nodes the others may not have started either.
func (t *topic) chooseSource() (source, time.Duration) {
	if t.failing && !t.restartedOnce {
		return t.sources.store()
	}
	return t.sources.choose()
}

// logAvailability logs when a source becomes unavailable and when the topic can be read again.
func (t *topic) logAvailability(from source, err error) {
	switch {
	case err != nil && !t.failing:
		t.log.Warn().Err(err).Str("topic", t.name).Str("from", from.String()).Msg("records unavailable")
	case err == nil && t.failing:
		t.log.Info().Str("topic", t.name).Str("from", from.String()).Msg("records available again")
	}
	t.failing = err != nil
	t.immediate = t.immediate || t.failing
}

// readOnce reads the records from next on. If next is not an offset of the store's present era, or if the records have
// expired, it reads the newest records instead.
func (t *topic) readOnce(ctx context.Context, from source) error {
	era, eraEnded := t.eras.current()
	position := t.next
	if !t.started || t.era != era {
		position = distributor.FromNewest
	}
	if position == distributor.FromNewest && from.isStore() && !t.spreadRestart(ctx, era) {
		return ctx.Err()
	}
	readCtx, cancel, hurry := t.sources.begin(ctx)
	defer cancel()
	if position != distributor.FromNewest {
		defer context.AfterFunc(eraEnded, cancel)()
	}
	t.immediate = t.immediate || hurry || from.overdue
	reading, err := t.fetch(readCtx, from, era, position)
	interrupted := readCtx.Err() != nil
	t.sources.end()
	switch {
	case errors.Is(err, platform.ErrExpired):
		t.log.Info().Str("topic", t.name).Int64("next", t.next).Msg("records at the read position not available")
		t.started = false
		return nil
	case err != nil && interrupted:
		// Another call has learned of a restore, or another node needs a recent read.
		t.immediate = true
		return nil
	case err != nil:
		return err
	}
	if err := t.observe(reading.Era); err != nil {
		return err
	}
	if position != distributor.FromNewest && reading.Era != t.era {
		t.started = false
		return nil
	}
	if position == distributor.FromNewest {
		t.restart(&reading)
	}
	t.accept(position, &reading)
	if !t.sources.proven(reading.ProvenAt) && !from.isStore() {
		return errOverdue
	}
	if t.gatherTime != nil && len(reading.Records) > 0 && from.isStore() && position != distributor.FromNewest {
		waiter.Sleep(ctx, t.gatherTime())
	}
	return nil
}

// spreadRestart waits before the newest records are read from the store in another era. It returns false if ctx ends
// before that.
func (t *topic) spreadRestart(ctx context.Context, era platform.Era) bool {
	if !t.restartedOnce || t.era == era || t.restartSpread == nil {
		return true
	}
	return waiter.Sleep(ctx, rand.N(t.restartSpread()))
}

// fetch reads the records at the position from the source.
func (t *topic) fetch(ctx context.Context, from source, era platform.Era, position int64) (distributor.Reading, error) {
	if !from.isStore() {
		if from.until > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, from.until-t.now())
			defer cancel()
		}
		q := t.question(era, position)
		if from.overdue {
			q.MaxAge = min(q.MaxAge, overdueMaxAge)
		}
		return t.neighbours.Read(ctx, from.address, q)
	}
	sentAt := t.now()
	if position == distributor.FromNewest {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		batch, err := t.store.Newest(ctx, t.name)
		return distributor.Reading{Batch: batch, Complete: true, ProvenAt: sentAt}, err
	}
	wait := t.storeWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	batch, err := t.store.Read(ctx, t.name, position, wait)
	return distributor.Reading{Batch: batch, Complete: batch.Next >= batch.End, ProvenAt: sentAt}, err
}

// storeWait returns how long the next read of the store waits for new records. A read proves what is newest only if it
// is sent after the store's era has settled, so an earlier one waits no longer than until then.
func (t *topic) storeWait() time.Duration {
	if remaining := t.eras.remaining(); remaining > 0 {
		if t.neighbours != nil && !t.sources.hasNeighbours() {
			// A fleet that starts for the first time. All its nodes read the store until they know each other.
			return remaining
		}
		return min(t.wait, remaining)
	}
	if t.immediate || t.settling {
		t.immediate = false
		return 0
	}
	return t.wait
}

// question returns the next question to another node. Once the store's era has settled, it asks for a read of the store
// that was sent after that.
func (t *topic) question(era platform.Era, position int64) distributor.Question {
	q := distributor.Question{Topic: t.name, Era: era, From: position, MaxAge: t.maxAge, Wait: t.neighbourWait}
	switch remaining := t.eras.remaining(); {
	case !t.restartedOnce:
		q.Wait = firstNeighbourWait
	case remaining > 0:
		q.Wait = min(q.Wait, remaining)
	case t.settling:
		q.MaxAge = 0
	}
	return q
}

// observe records the era of an answer. It returns an error if the answer is of an earlier era than the latest.
func (t *topic) observe(era platform.Era) error {
	if !t.eras.observe(era) {
		return platform.ErrRestored
	}
	return nil
}

// restart continues from the newest record of each key.
func (t *topic) restart(r *distributor.Reading) {
	if t.restartedOnce && t.era != r.Era {
		t.log.Warn().Str("topic", t.name).Int64("old-era", int64(t.era)).Int64("era", int64(r.Era)).
			Int64("next", t.next).Int64("end", r.End).Int("records", len(r.Records)).
			Msg("store was restored from a copy: topic read again")
	}
	t.era = r.Era
	t.started, t.restartedOnce = true, true
	if t.reset == nil {
		return
	}
	keys := map[string]bool{}
	for _, record := range r.Records {
		keys[record.Key] = true
	}
	t.reset(keys)
}

// accept applies the records of a reading that started at the position, and passes them on to other nodes.
func (t *topic) accept(position int64, r *distributor.Reading) {
	t.next = r.Next
	if !t.apply(r.Records) {
		r.Complete = false
	}
	if t.copy != nil {
		t.copy.Store(t.name, position, r)
	}
	t.settling = !t.eras.proves(r.ProvenAt, r.Era)
	if r.Complete && t.onApplied != nil {
		t.onApplied(r.ProvenAt, r.Era)
	}
}
