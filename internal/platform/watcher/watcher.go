// Package watcher follows the configuration and the members in the platform's store, and publishes this
// node's member record there.
package watcher

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/isolator"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// memberReadWait is how long a read of the members in the store waits for new records, and memberNeighbourWait a read
	// from another node. maxMemberAge is the maximum age of what that node has read.
	memberReadWait      = 3 * time.Second
	memberNeighbourWait = 1500 * time.Millisecond
	maxMemberAge        = 8 * time.Second
	// configNeighbourMargin is added to the wait of a read of the configuration in the store to obtain that of a read from
	// another node, which answers when its own read has ended.
	configNeighbourMargin = 200 * time.Millisecond
	// maxProofShare is the age of the latest proof of the configuration, as a share of ConfigApply, at which a node that has
	// not answered is given up for the next one. storeProofShare is that at which the store is read whatever the other nodes
	// say. The rest is left for that read.
	maxProofShare   = 0.75
	storeProofShare = 0.825
	// configWaitShare is the maximum wait of a read of the configuration in the store, as a share of ConfigApply. What
	// another node knows is older by up to two such waits, which must be less than maxProofShare.
	configWaitShare = 0.325
	// maxCostsAge is the maximum age of the stored request costs that another node has read.
	maxCostsAge = 10 * time.Second
	// firstReadPeriod is how long the other topics wait at the start of the node for the members, from which they may be
	// read instead of from the store.
	firstReadPeriod = 300 * time.Millisecond
	// restartSpread is multiplied by the number of members to obtain the time over which nodes spread the calls that each
	// of them makes after a restore of the store.
	restartSpread = time.Millisecond
	// gatherTime is the pause after a read that returned records. Without it, a start of the whole fleet makes as many
	// calls as the square of its size. startGatherTime replaces it while no neighbour is known, because all nodes then
	// read the store.
	gatherTime      = 200 * time.Millisecond
	startGatherTime = 600 * time.Millisecond
)

// Store is the part of the platform's store that the watcher uses.
type Store interface {
	Put(ctx context.Context, topic, key string, value []byte) (platform.Era, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic string) (platform.Batch, error)
}

// Quarantine receives the records of quarantined requests.
type Quarantine interface {
	// Load applies a record. An empty value removes it.
	Load(key string, value []byte)
	// Reload receives the keys of all records in the members' topic.
	Reload(keys map[string]bool)
}

// Watcher follows the store and publishes this node's records.
type Watcher struct {
	Store Store
	// Neighbours, if set, answers from nodes that have read the store, so that not every node has to read it. Copy then
	// answers the questions of other nodes.
	Neighbours Neighbours
	Copy       *distributor.Copy
	// Metrics, if set, counts the reads by topic and source.
	Metrics *metrics.Set
	Keeper  *keeper.Keeper
	Tracker *tracker.Tracker
	Log     *log.Logger
	// Self is the name of this node.
	Self string
	// Now, if set, replaces timekeeper.SinceBoot.
	Now func() time.Duration
	// ConfigWait is how long a read of the configuration waits for a new record at most. While the store answers, it bounds
	// the time since the configuration was last confirmed to be the newest.
	ConfigWait time.Duration
	// ConfigApply, if not 0, is the maximum time from the store's acknowledgement of a configuration until it is in force.
	ConfigApply time.Duration
	// SettlePeriod is the time after a restore of the store within which lost records are written again.
	// MaxSettlePeriod replaces it while the store has no configuration as new as the one in force.
	SettlePeriod    time.Duration
	MaxSettlePeriod time.Duration
	// OnOwnMember receives this node's member record as stored when the node started.
	OnOwnMember func(tracker.Member)
	// MaxConfigAge is the maximum age of the configuration that another node has read when it is asked. Above it, another
	// source is used.
	MaxConfigAge time.Duration
	// OwnCosts returns the request costs that this node has learned for its target. OnStoredCosts receives the
	// costs that a node had stored before this process started.
	OwnCosts      func() tracker.NodeCosts
	OnStoredCosts func(tracker.NodeCosts)
	// Quarantine, if set, receives the records of quarantined requests, which stand beside those of the members.
	Quarantine Quarantine
	// Evacuations, if not nil, receives the records of evacuated data centres, which stand beside the configuration.
	Evacuations *keeper.Evacuations
	// OnEra is called when the store has answered in an era for the first time.
	OnEra func()

	once    sync.Once
	eras    *eras
	sources map[string]*sources
	// membersRead is closed once the members have been read for the first time.
	membersRead chan struct{}
	// membersEmpty is set if there were none then.
	membersEmpty atomic.Bool
	own          ownRecord
	invalid      invalidRecords
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

// proofAge returns an age of the latest proof of the configuration as a share of ConfigApply.
func (w *Watcher) proofAge(share float64) time.Duration {
	return time.Duration(share * float64(w.ConfigApply))
}

// spread returns the time over which the nodes of the fleet spread calls, given the time for each node.
func (w *Watcher) spread(perNode time.Duration) time.Duration {
	return time.Duration(len(w.Tracker.OtherMembers())+1) * perNode
}

// now reads the clock by which the age of records is measured.
func (w *Watcher) now() time.Duration {
	if w.Now != nil {
		return w.Now()
	}
	return timekeeper.SinceBoot()
}

// initialize creates what the topics share.
func (w *Watcher) initialize() {
	w.once.Do(func() {
		w.eras = newEras(w.now, w.SettlePeriod, w.MaxSettlePeriod)
		w.membersRead = make(chan struct{})
		w.sources = map[string]*sources{}
		for _, name := range Topics {
			s := &sources{now: w.now, topic: name, log: w.Log, metrics: w.Metrics, elector: elector.Elector{Self: w.Self}}
			if w.Neighbours != nil {
				s.tracker = w.Tracker
			}
			if name == platform.ConfigTopic {
				s.elector.MaxAge, s.elector.StoreAge = w.proofAge(maxProofShare), w.proofAge(storeProofShare)
			}
			w.sources[name] = s
		}
	})
}

// Topics are the topics that a node reads from other nodes.
var Topics = []string{platform.ConfigTopic, platform.MemberTopic, platform.CostTopic}

// storeEras returns the eras of the store, which all topics share.
func (w *Watcher) storeEras() *eras {
	w.initialize()
	return w.eras
}

// HandleQuestion records that another node asks for the topic. stale is set if what this node has read is too old. It
// reports whether this node will read the topic soon.
func (w *Watcher) HandleQuestion(topic string, stale bool) bool {
	w.initialize()
	return w.sources[topic].asked(stale) && topic != platform.CostTopic
}

// newTopic returns a topic with the given waits for new records.
func (w *Watcher) newTopic(name string, wait, neighbourWait, maxAge time.Duration) *topic {
	w.initialize()
	return &topic{
		now: w.now, store: w.Store, neighbours: w.Neighbours, sources: w.sources[name], copy: w.Copy, name: name, log: w.Log, eras: w.eras,
		wait: wait, neighbourWait: neighbourWait, maxAge: maxAge,
	}
}

// awaitMembers waits until the members have been read, at most for firstReadPeriod.
func (w *Watcher) awaitMembers(ctx context.Context) {
	if w.Neighbours == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.membersRead:
	case <-time.After(firstReadPeriod):
	}
}

// FollowConfig follows the configuration until ctx ends.
func (w *Watcher) FollowConfig(ctx context.Context) {
	wait, maxAge := w.ConfigWait, w.MaxConfigAge
	if w.ConfigApply > 0 {
		wait = min(wait, w.proofAge(configWaitShare))
		maxAge = min(maxAge, w.proofAge(maxProofShare))
	}
	t := w.newTopic(platform.ConfigTopic, wait, wait+configNeighbourMargin, maxAge)
	t.apply, t.onApplied = w.applyConfig, w.confirmConfig
	t.reset = func(map[string]bool) {
		w.storedVersion = 0
		w.Evacuations.Restart()
	}
	w.awaitMembers(ctx)
	t.follow(ctx)
}

// applyConfig applies the configurations among the records. It returns false if the newest of them could not be
// decoded, because the current configuration is then not the newest. Evacuations are applied first, so that no request
// is placed by a first configuration without them.
func (w *Watcher) applyConfig(records []platform.Record) bool {
	w.applyEvacuations(records)
	complete := true
	for _, r := range records {
		if r.Key != platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		version, applied, err := w.Keeper.Apply(r.Value)
		complete = err == nil
		if err != nil {
			w.skip(platform.ConfigTopic, &r, err)
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
	w.Evacuations.Complete()
	if w.eras.proves(sentAt, era) {
		w.Keeper.Confirm(sentAt)
		w.Evacuations.Confirm(w.now(), sentAt)
	}
}

// FollowMembers follows the members until ctx ends.
func (w *Watcher) FollowMembers(ctx context.Context) {
	t := w.newTopic(platform.MemberTopic, memberReadWait, memberNeighbourWait, maxMemberAge)
	t.apply, t.onApplied, t.reset = w.applyMembers, w.confirmMembers, w.resetMembers
	t.restartSpread = func() time.Duration { return w.spread(restartSpread) }
	t.gatherTime = func() time.Duration {
		if w.Neighbours != nil && !t.sources.hasNeighbours() {
			return startGatherTime
		}
		return gatherTime
	}
	t.follow(ctx)
}

func (w *Watcher) applyMembers(records []platform.Record) bool {
	for _, r := range records {
		w.applyMember(r)
	}
	if !w.ownRestored {
		w.ownRestored = true
		w.membersEmpty.Store(len(records) == 0)
		close(w.membersRead)
	}
	return true
}

// confirmMembers records that the members are known if a read of the store was sent when its era had settled, and removes
// those that have no record.
func (w *Watcher) confirmMembers(sentAt time.Duration, era platform.Era) {
	if !w.eras.proves(sentAt, era) {
		return
	}
	if !w.membersKnown.Swap(true) {
		w.Log.Info().Int("members", len(w.Tracker.OtherMembers())+1).Msg("members known")
	}
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
	if strings.HasPrefix(r.Key, isolator.KeyPrefix) {
		if w.Quarantine != nil {
			w.Quarantine.Load(r.Key, r.Value)
		}
		return
	}
	if len(r.Value) == 0 {
		w.Tracker.RemoveMember(r.Key)
		return
	}
	m, err := tracker.DecodeMember(r.Key, r.Value)
	if err != nil {
		w.skip(platform.MemberTopic, &r, err)
		if r.Key == w.Self {
			// Another writer has replaced this node's record, which nodes that start later need.
			w.own.lost()
		}
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
		w.own.lost()
	}
	w.stored = keys
	if w.Quarantine != nil {
		w.Quarantine.Reload(keys)
	}
}

// dropMissingMembers removes the other members that have no record in the store.
func (w *Watcher) dropMissingMembers(keys map[string]bool) {
	for _, m := range w.Tracker.OtherMembers() {
		if !keys[m.Node] {
			w.Tracker.RemoveMember(m.Node)
		}
	}
}
