// Package isolator keeps requests that crash targets away from them. It holds what a node knows of crashes, and exchanges
// that with the other nodes.
package isolator

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/event/loglimiter"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
)

const (
	// digestInterval is the time between two messages to a random node that tell what this node knows. startInterval
	// replaces it for startPeriod after the start, in which the node learns what the others know.
	digestInterval = 500 * time.Millisecond
	startInterval  = 100 * time.Millisecond
	startPeriod    = time.Second
	// maxMessageCrashes is the maximum number of crashes in one message.
	maxMessageCrashes = 8
	// maxReplyCrashes is the maximum number of crashes that a node tells another one at once.
	maxReplyCrashes = 64
	// linesPerSecond limits the log lines on crashes and quarantined requests.
	linesPerSecond = 10
	// maxLoggedSuspects is the number of suspects that the log line of a crash names.
	maxLoggedSuspects = 8
)

// pushDelays are the times after something new is known at which all other nodes are told, since messages may be lost.
var pushDelays = []time.Duration{0, 150 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond}

// Isolator holds what this node knows of crashes. Self, Log and Metrics must be set before use. It is safe for concurrent
// use. No other lock is acquired while its mutex is held.
type Isolator struct {
	// Self is the name of this node.
	Self    string
	Log     *log.Logger
	Metrics *metrics.Set
	// Now reads a clock that includes the time during which the VM is suspended. The default is timekeeper.SinceBoot.
	Now func() time.Duration

	// active is set while a crash is known, so that requests are signed only then.
	active atomic.Bool

	once       sync.Once
	logLimiter loglimiter.Limiter
	crashes    *metrics.Counter
	withheld   *metrics.Counter

	mu     sync.Mutex
	table  quarantiner.Table
	memory quarantiner.Memory
	// trials holds the requests that the target of this node is trying.
	trials map[quarantiner.Signature]bool
	// quarantined holds the requests that were quarantined when it was last compared.
	quarantined map[quarantiner.Signature]bool
	pushes      []push
	startedAt   time.Duration
	digestAt    time.Duration
	// stored holds the quarantined requests that are in the store.
	stored map[quarantiner.Signature]bool
	// quarantinedAt holds since when this node knows of a quarantined request.
	quarantinedAt map[quarantiner.Signature]time.Duration
}

// push is a crash of which other nodes are told at times.
type push struct {
	id string
	// learnt is set if another node has told this one.
	learnt bool
	since  time.Duration
	sent   int
}

func (i *Isolator) init() {
	i.once.Do(func() {
		if i.Now == nil {
			i.Now = timekeeper.SinceBoot
		}
		i.startedAt = i.Now()
		i.logLimiter.PerSecond = linesPerSecond
		i.trials, i.quarantined = map[quarantiner.Signature]bool{}, map[quarantiner.Signature]bool{}
		i.stored, i.quarantinedAt = map[quarantiner.Signature]bool{}, map[quarantiner.Signature]time.Duration{}
		i.crashes = i.Metrics.NewCounter("target_crashes_total")
		i.withheld = i.Metrics.NewCounter("requests_withheld_total")
		i.Metrics.NewGauge("requests_quarantined", func() float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			return float64(len(i.quarantined))
		})
	})
}

// Active reports whether any crash is known. If not, no request is suspect.
func (i *Isolator) Active() bool { return i.active.Load() }

// Level returns how a target of the given version may run a request.
func (i *Isolator) Level(s quarantiner.Signature, version string) quarantiner.Level {
	i.init()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Level(i.Now(), s, version)
}

// Enter reports whether this node's target, which has the given version, may run the request now, and whether that is a trial, after which Leave must be
// called.
func (i *Isolator) Enter(s quarantiner.Signature, version string) (ok, trial bool) {
	if !i.Active() {
		return true, false
	}
	i.init()
	i.mu.Lock()
	defer i.mu.Unlock()
	switch i.table.Level(i.Now(), s, version) {
	case quarantiner.Quarantined:
		i.withheld.Inc()
		return false, false
	case quarantiner.Trial:
		if i.memory.Answered(s) {
			return true, false
		}
		if i.trials[s] {
			return false, false
		}
		i.trials[s] = true
		return true, true
	default:
		return true, false
	}
}

// Leave records that the trial of the request has ended.
func (i *Isolator) Leave(s quarantiner.Signature) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.trials, s)
}

// Answered records that this node's target, which has the given version, has run the request with success.
func (i *Isolator) Answered(s quarantiner.Signature, version string) {
	i.init()
	now := i.Now()
	i.mu.Lock()
	i.memory.Remember(now, s)
	var notes []note
	if changed := i.table.Clear(s, version); len(changed) > 0 {
		i.tell(now, changed, false)
		notes = i.compare(now)
	}
	i.mu.Unlock()
	i.logNotes(notes)
}

// RecordCrash records that an incarnation of this node's target has ended while it ran the given requests. Those that the
// target has lately answered are not suspect, unless it has crashed since while it ran them. It returns the number of the others.
func (i *Isolator) RecordCrash(of quarantiner.Incarnation, began []quarantiner.Run) int {
	i.init()
	i.crashes.Inc()
	now := i.Now()
	c := quarantiner.Crash{Incarnation: of, Node: i.Self, At: now}
	var ids []string
	i.mu.Lock()
	for _, s := range began {
		same := func(v quarantiner.Verdict) bool { return v.Signature == s.Signature }
		if i.memory.Answered(s.Signature) {
			i.memory.Forget(s.Signature)
			continue
		}
		if len(c.Suspects) == quarantiner.MaxSuspects || slices.ContainsFunc(c.Suspects, same) {
			continue
		}
		c.Suspects = append(c.Suspects, quarantiner.Verdict{Signature: s.Signature})
		if len(ids) < maxLoggedSuspects {
			ids = append(ids, s.Signature.String()+" "+s.RequestID)
		}
	}
	i.tell(now, i.table.Merge(now, []quarantiner.Crash{c}), false)
	i.active.Store(!i.table.Empty())
	notes := i.compare(now)
	i.mu.Unlock()
	if ok, dropped := i.logLimiter.Allow(time.Now()); ok {
		i.Log.Warn().Str("target", of.ID).Str("service", of.Service).Str("version", of.Version).Int("running", len(began)).Int("suspects", len(c.Suspects)).
			Strs("requests", ids).Int("lines-left-out", dropped).Msg("target crashed")
	}
	i.logNotes(notes)
	return len(c.Suspects)
}

// note is a log line on a quarantined request.
type note struct {
	message string
	entry   quarantiner.Entry
}

// compare returns what has changed in the quarantined requests. The caller holds the mutex.
func (i *Isolator) compare(now time.Duration) []note {
	var notes []note
	current := map[quarantiner.Signature]bool{}
	for _, e := range i.table.Quarantined() {
		current[e.Signature] = true
		if !i.quarantined[e.Signature] {
			i.quarantinedAt[e.Signature] = now
			notes = append(notes, note{"request quarantined", e})
		}
	}
	for s := range i.quarantined {
		if !current[s] {
			delete(i.quarantinedAt, s)
			notes = append(notes, note{"request no longer quarantined", quarantiner.Entry{Signature: s}})
		}
	}
	i.quarantined = current
	return notes
}

func (i *Isolator) logNotes(notes []note) {
	for _, n := range notes {
		ok, dropped := i.logLimiter.Allow(time.Now())
		if !ok {
			return
		}
		line := i.Log.Warn().Str("signature", n.entry.Signature.String()).Int("lines-left-out", dropped)
		for _, c := range n.entry.Crashes {
			line = line.Str("crash", c.ID+" at "+c.Node)
		}
		line.Msg(n.message)
	}
}

// Entries returns the quarantined requests.
func (i *Isolator) Entries() []quarantiner.Entry {
	i.init()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Quarantined()
}

// Tick drops what has expired. It is called about once a second.
func (i *Isolator) Tick() {
	i.init()
	now := i.Now()
	i.mu.Lock()
	i.table.Expire(now)
	i.active.Store(!i.table.Empty())
	notes := i.compare(now)
	i.mu.Unlock()
	i.logNotes(notes)
}
