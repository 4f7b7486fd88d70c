// Package watcher follows the configuration and the members in the platform's store, and publishes the own
// member's record there.
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
	// memberWait is how long a read of the members waits for news.
	memberWait = 10 * time.Second
	// answerSlack is how much longer than its wait a read may take before its connection is given up.
	answerSlack = 900 * time.Millisecond
	// newestTimeout bounds the read of the newest records.
	newestTimeout = 2500 * time.Millisecond
	// retryAfter is the pause after a failed read, the first and the longest; it doubles between.
	retryAfter   = 100 * time.Millisecond
	longestRetry = 800 * time.Millisecond
)

// Store is what the watcher needs of the platform's store.
type Store interface {
	Put(ctx context.Context, topic, key string, value []byte) error
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]platform.Record, int64, error)
	Newest(ctx context.Context, topic string) ([]platform.Record, int64, error)
}

// topic follows one keyed topic.
type topic struct {
	store Store
	name  string
	wait  time.Duration
	log   *log.Logger
	// take is told every record; asked is when the question was sent whose answer has been taken whole.
	take  func([]platform.Record) bool
	asked func(time.Duration)
	// reset is told the keys that exist, after the newest records were read.
	reset func(keys map[string]bool)

	next    int64
	started bool
	failing bool
}

// follow reads until the context ends.
func (t *topic) follow(ctx context.Context) {
	for t.read(ctx) {
	}
}

// read makes one read, and makes it again with growing pauses until it succeeds. It reports false where the
// context ended before.
func (t *topic) read(ctx context.Context) bool {
	pause := retryAfter
	for ctx.Err() == nil {
		err := t.step(ctx)
		t.note(err)
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longestRetry)
	}
	return false
}

// note logs the loss and the return of the store.
func (t *topic) note(err error) {
	switch {
	case err != nil && !t.failing:
		t.log.Warn().Err(err).Str("topic", t.name).Msg("store lost")
	case err == nil && t.failing:
		t.log.Info().Str("topic", t.name).Msg("store regained")
	}
	t.failing = err != nil
}

func (t *topic) step(ctx context.Context) error {
	asked := timekeeper.Now()
	if !t.started {
		return t.restart(ctx, asked)
	}
	ctx, cancel := context.WithTimeout(ctx, t.wait+answerSlack)
	defer cancel()
	records, next, err := t.store.Read(ctx, t.name, t.next, t.wait)
	if errors.Is(err, platform.ErrExpired) {
		t.started = false
		return nil
	}
	if err != nil {
		return err
	}
	t.next = next
	if t.take(records) && t.asked != nil {
		t.asked(asked)
	}
	return nil
}

func (t *topic) restart(ctx context.Context, asked time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	records, end, err := t.store.Newest(ctx, t.name)
	if err != nil {
		return err
	}
	t.next = end
	t.started = true
	if t.reset != nil {
		keys := map[string]bool{}
		for _, r := range records {
			keys[r.Key] = true
		}
		t.reset(keys)
	}
	if t.take(records) && t.asked != nil {
		t.asked(asked)
	}
	return nil
}

// Watcher follows the store. Close waits until it has ended.
type Watcher struct {
	Store   Store
	Keeper  *keeper.Keeper
	Tracker *tracker.Tracker
	Log     *log.Logger
	// Self names the own node.
	Self string
	// ConfigWait is how long a read of the configuration waits for news. It bounds how old the evidence is
	// that there is none.
	ConfigWait time.Duration
	// Recalled is told the own record as it stood when the node started.
	Recalled func(tracker.Member)
	// OwnCosts returns what this node has learnt of its target; RecalledCosts is told what a node had learnt
	// before this process started.
	OwnCosts      func() tracker.Costs
	RecalledCosts func(tracker.Costs)

	own ownRecord
	// known says that the members were read since the start.
	known atomic.Bool
}

// FollowConfig follows the configuration until the context ends.
func (w *Watcher) FollowConfig(ctx context.Context) {
	t := topic{
		store: w.Store, name: platform.ConfigTopic, wait: w.ConfigWait, log: w.Log,
		take: w.takeConfig, asked: w.Keeper.Confirm,
	}
	t.follow(ctx)
}

// takeConfig reports false where the newest configuration could not be read: the one in force is then not
// known to be the newest.
func (w *Watcher) takeConfig(records []platform.Record) bool {
	whole := true
	for _, r := range records {
		if r.Key != platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		applied, err := w.Keeper.Apply(r.Value)
		whole = err == nil
		if err != nil {
			w.Log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration is not used")
			continue
		}
		if applied {
			_, version := w.Keeper.Record()
			w.Log.Info().Uint64("version", version).Int64("offset", r.Offset).Msg("configuration in force")
		}
	}
	return whole
}

// FollowMembers follows the members until the context ends.
func (w *Watcher) FollowMembers(ctx context.Context) {
	t := topic{
		store: w.Store, name: platform.MemberTopic, wait: memberWait, log: w.Log,
		take: w.takeMembers, reset: w.resetMembers,
	}
	t.follow(ctx)
}

func (w *Watcher) takeMembers(records []platform.Record) bool {
	for _, r := range records {
		w.takeMember(r)
	}
	w.known.Store(true)
	return true
}

// MembersKnown says whether the members were read since the start.
func (w *Watcher) MembersKnown() bool { return w.known.Load() }

func (w *Watcher) takeMember(r platform.Record) {
	if len(r.Value) == 0 {
		w.Tracker.Drop(r.Key)
		return
	}
	var m tracker.Member
	if err := json.Unmarshal(r.Value, &m); err != nil || m.Node != r.Key {
		w.Log.Warn().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("member record is not used")
		return
	}
	if m.Node == w.Self {
		if !w.known.Load() {
			w.Recalled(m)
		}
		w.own.seen(m)
		return
	}
	w.Tracker.SetMember(m)
}

func (w *Watcher) resetMembers(keys map[string]bool) {
	for _, m := range w.Tracker.Others() {
		if !keys[m.Node] {
			w.Tracker.Drop(m.Node)
		}
	}
}
