// Package watcher follows the configuration and the members in the platform's store, and publishes this
// node's member record there.
package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// memberReadWait is how long a read of the members waits for new records.
	memberReadWait = 10 * time.Second
	// readTimeoutMargin is added to the wait of a read to obtain its timeout.
	readTimeoutMargin = 900 * time.Millisecond
	// newestTimeout is the timeout of a read of the newest records.
	newestTimeout = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a failed read. The pause doubles with each failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Store is the part of the platform's store that the watcher uses.
type Store interface {
	Put(ctx context.Context, topic, key string, value []byte) error
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic string) (platform.Batch, error)
}

// topic follows one keyed topic of the store.
type topic struct {
	store Store
	name  string
	wait  time.Duration
	log   *log.Logger
	// apply receives the records of each read and reports whether all of them could be applied. If so, onApplied
	// receives the time at which the read was sent.
	apply     func([]platform.Record) bool
	onApplied func(time.Duration)
	// reset receives the existing keys each time the newest records have been read, before apply is called.
	reset func(keys map[string]bool)

	// next is the offset of the next read.
	next int64
	// started is set while reads can continue from next. Otherwise the newest records are read.
	started bool
	failing bool
	// era is the era of the latest answer.
	era      platform.Era
	eraKnown bool
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
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
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
}

// readOnce reads the records from next on. If they have expired, the next call reads the newest records instead.
func (t *topic) readOnce(ctx context.Context) error {
	sentAt := timekeeper.SinceBoot()
	if !t.started {
		return t.restart(ctx, sentAt)
	}
	ctx, cancel := context.WithTimeout(ctx, t.wait+readTimeoutMargin)
	defer cancel()
	batch, err := t.store.Read(ctx, t.name, t.next, t.wait)
	if errors.Is(err, platform.ErrExpired) {
		t.log.Info().Str("topic", t.name).Int64("next", t.next).Msg("records at the read position not available")
		t.started = false
		return nil
	}
	if err != nil {
		return err
	}
	t.logEra(batch)
	t.next = batch.Next
	if t.apply(batch.Records) && t.onApplied != nil {
		t.onApplied(sentAt)
	}
	return nil
}

// restart reads the newest record of each key.
func (t *topic) restart(ctx context.Context, sentAt time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	batch, err := t.store.Newest(ctx, t.name)
	if err != nil {
		return err
	}
	t.logEra(batch)
	t.next = batch.Next
	t.started = true
	if t.reset != nil {
		keys := map[string]bool{}
		for _, r := range batch.Records {
			keys[r.Key] = true
		}
		t.reset(keys)
	}
	if t.apply(batch.Records) && t.onApplied != nil {
		t.onApplied(sentAt)
	}
	return nil
}

// logEra logs an answer from another era than the one before, with the position of the reader in both.
func (t *topic) logEra(batch platform.Batch) {
	if t.eraKnown && batch.Era == t.era {
		return
	}
	t.log.Info().Str("topic", t.name).Int64("old-era", int64(t.era)).Int64("era", int64(batch.Era)).
		Int64("next", t.next).Int64("end", batch.End).Msg("store answers in another era")
	t.era, t.eraKnown = batch.Era, true
}

// Watcher follows the store and publishes this node's records.
type Watcher struct {
	Store   Store
	Keeper  *keeper.Keeper
	Tracker *tracker.Tracker
	Log     *log.Logger
	// Self is the name of this node.
	Self string
	// ConfigWait is how long a read of the configuration waits for a new record. While the store answers, it bounds
	// the time since the configuration was last confirmed to be the newest.
	ConfigWait time.Duration
	// OnOwnMember receives this node's member record as stored when the node started.
	OnOwnMember func(tracker.Member)
	// OwnCosts returns the request costs that this node has learned for its target. OnStoredCosts receives the
	// costs that a node had stored before this process started.
	OwnCosts      func() tracker.NodeCosts
	OnStoredCosts func(tracker.NodeCosts)

	own ownRecord
	// membersRead is set once the members have been read after the start.
	membersRead atomic.Bool
}

// FollowConfig follows the configuration until ctx ends.
func (w *Watcher) FollowConfig(ctx context.Context) {
	t := topic{
		store: w.Store, name: platform.ConfigTopic, wait: w.ConfigWait, log: w.Log,
		apply: w.applyConfig, onApplied: w.Keeper.Confirm,
	}
	t.follow(ctx)
}

// applyConfig applies the configurations among the records. It returns false if the newest of them could not be
// decoded, because the current configuration is then not the newest.
func (w *Watcher) applyConfig(records []platform.Record) bool {
	complete := true
	for _, r := range records {
		if r.Key != platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		applied, err := w.Keeper.Apply(r.Value)
		complete = err == nil
		if err != nil {
			w.Log.Error().Err(err).Int64("offset", r.Offset).Msg("ignoring invalid configuration")
			continue
		}
		if applied {
			_, version := w.Keeper.Record()
			w.Log.Info().Uint64("version", version).Int64("offset", r.Offset).Msg("configuration in force")
		}
	}
	return complete
}

// FollowMembers follows the members until ctx ends.
func (w *Watcher) FollowMembers(ctx context.Context) {
	t := topic{
		store: w.Store, name: platform.MemberTopic, wait: memberReadWait, log: w.Log,
		apply: w.applyMembers, reset: w.dropMissingMembers,
	}
	t.follow(ctx)
}

func (w *Watcher) applyMembers(records []platform.Record) bool {
	for _, r := range records {
		w.applyMember(r)
	}
	w.membersRead.Store(true)
	return true
}

// MembersKnown reports whether the members have been read since the start.
func (w *Watcher) MembersKnown() bool { return w.membersRead.Load() }

// applyMember applies one member record. An empty value removes the member.
func (w *Watcher) applyMember(r platform.Record) {
	if len(r.Value) == 0 {
		w.Tracker.RemoveMember(r.Key)
		return
	}
	var m tracker.Member
	if err := json.Unmarshal(r.Value, &m); err != nil || m.Node != r.Key {
		w.Log.Warn().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("ignoring invalid member record")
		return
	}
	if m.Node == w.Self {
		if !w.membersRead.Load() {
			w.OnOwnMember(m)
		}
		w.own.observe(m)
		return
	}
	w.Tracker.SetMember(m)
}

// dropMissingMembers removes the other members that have no record in the store.
func (w *Watcher) dropMissingMembers(keys map[string]bool) {
	for _, m := range w.Tracker.OtherMembers() {
		if !keys[m.Node] {
			w.Tracker.RemoveMember(m.Node)
		}
	}
}
