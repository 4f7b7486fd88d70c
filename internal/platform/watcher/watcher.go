// Package watcher follows the configuration and the members in the platform's store, and publishes this
// node's member record there.
package watcher

import (
	"context"
	"encoding/json"
	"sync"
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
	// restartSpread is multiplied by the number of members to obtain the time over which nodes spread the calls that each
	// of them makes after a restore of the store.
	restartSpread = time.Millisecond
	// gatherPerNode is multiplied by the number of members to obtain the pause after a read that returned records, which
	// is at most maxGatherTime. Without it, a start of the whole fleet makes as many calls as the square of its size.
	gatherPerNode = 5 * time.Millisecond
	maxGatherTime = 400 * time.Millisecond
)

// Store is the part of the platform's store that the watcher uses.
type Store interface {
	Put(ctx context.Context, topic, key string, value []byte) (platform.Era, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic string) (platform.Batch, error)
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
	// SettlePeriod is the time after a restore of the store within which lost records are written again.
	// MaxSettlePeriod replaces it while the store has no configuration as new as the one in force.
	SettlePeriod    time.Duration
	MaxSettlePeriod time.Duration
	// OnOwnMember receives this node's member record as stored when the node started.
	OnOwnMember func(tracker.Member)
	// OwnCosts returns the request costs that this node has learned for its target. OnStoredCosts receives the
	// costs that a node had stored before this process started.
	OwnCosts      func() tracker.NodeCosts
	OnStoredCosts func(tracker.NodeCosts)
	// OnEra is called when the store has answered in an era for the first time.
	OnEra func()

	erasOnce sync.Once
	eras     *eras
	own      ownRecord
	// storedVersion is the version of the newest configuration in the store. Only FollowConfig uses it.
	storedVersion uint64
	// ownRestored is set once the members have been read after the start. Only FollowMembers uses it.
	ownRestored bool
	// stored holds the keys in the members' topic from the time when the newest records were read until the store has
	// settled. Only FollowMembers uses it.
	stored map[string]bool
	// membersKnown is set once the members have been read from a settled store after the start.
	membersKnown atomic.Bool
}

// spread returns the time over which the nodes of the fleet spread calls, given the time for each node.
func (w *Watcher) spread(perNode time.Duration) time.Duration {
	return time.Duration(len(w.Tracker.OtherMembers())+1) * perNode
}

// storeEras returns the eras of the store, which all topics share.
func (w *Watcher) storeEras() *eras {
	w.erasOnce.Do(func() { w.eras = newEras(w.SettlePeriod, w.MaxSettlePeriod) })
	return w.eras
}

// FollowConfig follows the configuration until ctx ends.
func (w *Watcher) FollowConfig(ctx context.Context) {
	t := topic{
		store: w.Store, name: platform.ConfigTopic, wait: w.ConfigWait, log: w.Log, eras: w.storeEras(),
		apply: w.applyConfig, onApplied: w.confirmConfig, reset: func(map[string]bool) { w.storedVersion = 0 },
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
		version, applied, err := w.Keeper.Apply(r.Value)
		complete = err == nil
		if err != nil {
			w.Log.Error().Err(err).Int64("offset", r.Offset).Msg("ignoring invalid configuration")
			continue
		}
		w.storedVersion = version
		if applied {
			w.Log.Info().Uint64("version", version).Int64("offset", r.Offset).Msg("configuration in force")
		}
	}
	return complete
}

// confirmConfig confirms the configuration in force if the read proves that it is the newest.
func (w *Watcher) confirmConfig(sentAt time.Duration, era platform.Era) {
	_, inForce := w.Keeper.Record()
	w.eras.setBehind(w.storedVersion < inForce)
	if w.eras.proves(sentAt, era) {
		w.Keeper.Confirm(sentAt)
	}
}

// FollowMembers follows the members until ctx ends.
func (w *Watcher) FollowMembers(ctx context.Context) {
	t := topic{
		store: w.Store, name: platform.MemberTopic, wait: memberReadWait, log: w.Log, eras: w.storeEras(),
		apply: w.applyMembers, onApplied: w.confirmMembers, reset: w.resetMembers,
		restartSpread: func() time.Duration { return w.spread(restartSpread) },
		gatherTime:    func() time.Duration { return min(w.spread(gatherPerNode), maxGatherTime) },
	}
	t.follow(ctx)
}

func (w *Watcher) applyMembers(records []platform.Record) bool {
	for _, r := range records {
		w.applyMember(r)
	}
	w.ownRestored = true
	return true
}

// confirmMembers records that the members are known if the store is settled when a read returns, and removes those
// that have no record.
func (w *Watcher) confirmMembers(_ time.Duration, era platform.Era) {
	if !w.eras.proves(timekeeper.SinceBoot(), era) {
		return
	}
	w.membersKnown.Store(true)
	if w.stored != nil {
		w.dropMissingMembers(w.stored)
		w.stored = nil
	}
}

// MembersKnown reports whether the members have been read from a settled store since the start.
func (w *Watcher) MembersKnown() bool { return w.membersKnown.Load() }

// applyMember applies one member record. An empty value removes the member.
func (w *Watcher) applyMember(r platform.Record) {
	if w.stored != nil {
		w.stored[r.Key] = len(r.Value) > 0
	}
	if r.Key == settledKey {
		w.applySettled(r)
		return
	}
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
		if !w.ownRestored {
			w.OnOwnMember(m)
		}
		w.own.observe(m)
		return
	}
	w.Tracker.SetMember(m)
}

// resetMembers receives the keys of the newest records. Members without one are removed only when the store has
// settled, since until then they may have lost their records. This node's own record is written again at once.
func (w *Watcher) resetMembers(keys map[string]bool) {
	if !keys[w.Self] {
		w.own.observe(tracker.Member{})
	}
	w.stored = keys
}

// dropMissingMembers removes the other members that have no record in the store.
func (w *Watcher) dropMissingMembers(keys map[string]bool) {
	for _, m := range w.Tracker.OtherMembers() {
		if !keys[m.Node] {
			w.Tracker.RemoveMember(m.Node)
		}
	}
}
