package watcher_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// restoreScript runs one case of testdata/restore.txt.
type restoreScript struct {
	*fixture
	t          *testing.T
	store      *storer.Store
	mark       time.Time
	lost       []storer.Lost
	restoredAt time.Duration
}

// TestRestoredStore guards against configurations and records that are lost, or taken for the newest, after the store
// has been restored from a copy.
func TestRestoredStore(t *testing.T) {
	raw, err := os.ReadFile("testdata/restore.txt")
	assert.NilError(t, err)
	for _, text := range strings.Split(string(raw), "\n[")[1:] {
		name, steps, _ := strings.Cut(text, "]\n")
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			s := &restoreScript{t: t, store: &storer.Store{}}
			for step := range strings.Lines(steps) {
				if fields := strings.Fields(step); len(fields) > 0 {
					s.run(fields[0], append(fields[1:], "", ""))
				}
			}
		})
	}
}

// run performs one step:
//
//	node                  starts the node
//	compact               the store removes the records that are not the newest of their key, and all removals
//	config N, noise N     the operator writes version N, or N records of other keys
//	evacuate DC, lift DC  the operator evacuates the data centre, or lifts its evacuation
//	member NODE STATE     another node writes its record
//	publish STATE         the node publishes its own record
//	mark, restore         makes the copy, restores the store from it
//	write-again           the operator writes the lost records again
//	offline, online       the store refuses all calls, or accepts them again
//	pause TIME            waits
//	version N             the version in force becomes N
//	stored STATE          the node's own record in the store gets the state
//	costs                 the node's costs get into the store
//	known, unknown NODE   the member becomes known or unknown
//	counted               the number of members becomes known
//	uncounted TIME        the number of members is not known for the time
//	keep NODE TIME        the member stays known for the time
//	confirmed             the configuration becomes confirmed after the restore
//	confirmed-in TIME     the configuration becomes confirmed within the time
//	evacuated DC          the evacuation of the data centre comes into force
//	in-use DC             the data centre is not evacuated any more
//	remains DC TIME       the evacuation stays in force for the time
//	unconfirmed TIME      the configuration is not confirmed after the restore for the time
func (s *restoreScript) run(verb string, args []string) {
	s.t.Helper()
	switch verb {
	case "node":
		s.fixture = start(s.t, s.store)
	case "config":
		s.store.Put(platform.ConfigTopic, platform.ConfigKey, config(s.number(args[0])))
	case "noise":
		for i := range s.number(args[0]) {
			s.store.Put(platform.ConfigTopic, fmt.Sprint("noise-", i), []byte("x"))
		}
	case "evacuate":
		s.store.Put(platform.ConfigTopic, platform.EvacuationKeyPrefix+args[0], []byte("{}"))
	case "lift":
		s.store.Put(platform.ConfigTopic, platform.EvacuationKeyPrefix+args[0], nil)
	case "compact":
		s.store.Compact(platform.ConfigTopic)
	case "member":
		raw, err := json.Marshal(tracker.Member{Node: args[0], Service: "x", State: tracker.State(args[1])})
		assert.NilError(s.t, err)
		s.store.Put(platform.MemberTopic, args[0], raw)
	case "publish":
		s.watcher.Publish(tracker.Member{Node: "own", Target: "i-1", State: tracker.State(args[0])})
	case "mark":
		s.mark = time.Now()
	case "restore":
		s.lost = s.store.Restore(s.mark)
		s.restoredAt = timekeeper.SinceBoot()
	case "write-again":
		s.store.WriteAgain(s.lost)
	case "offline", "online":
		s.store.SetFaults(storer.Faults{Unavailable: verb == "offline"})
	case "pause":
		time.Sleep(s.duration(args[0]))
	default:
		s.check(verb, args)
	}
}

func (s *restoreScript) check(verb string, args []string) {
	s.t.Helper()
	switch verb {
	case "version":
		s.eventually("version "+args[0], func() bool { return s.version() == uint64(s.number(args[0])) })
	case "stored":
		s.eventually("own record "+args[0], func() bool {
			var m tracker.Member
			return json.Unmarshal(s.store.Newest(platform.MemberTopic, "own"), &m) == nil && m.State == tracker.State(args[0])
		})
	case "costs":
		s.eventuallyIn(8*time.Second, "costs stored", func() bool { return len(s.store.Newest(platform.CostTopic, "own")) > 0 })
	case "known", "unknown":
		s.eventually(verb+" "+args[0], func() bool { return s.knows(args[0]) == (verb == "known") })
	case "counted":
		s.eventually("members counted", s.watcher.MembersKnown)
	case "uncounted":
		s.always("members not counted", s.duration(args[0]), func() bool { return !s.watcher.MembersKnown() })
	case "keep":
		s.always("member "+args[0], s.duration(args[1]), func() bool { return s.knows(args[0]) })
	case "confirmed":
		s.eventually("configuration confirmed", s.confirmed)
	case "confirmed-in":
		began := time.Now()
		s.eventually("configuration confirmed", s.confirmed)
		assert.Assert(s.t, time.Since(began) < s.duration(args[0]), "confirmed after %s", time.Since(began))
	case "evacuated", "in-use":
		s.eventually(verb+" "+args[0], func() bool { return s.evacuated.Evacuated()[args[0]] == (verb == "evacuated") })
	case "remains":
		s.always("evacuated "+args[0], s.duration(args[1]), func() bool { return s.evacuated.Evacuated()[args[0]] })
	case "unconfirmed":
		s.always("configuration not confirmed", s.duration(args[0]), func() bool { return !s.confirmed() })
	default:
		s.t.Fatalf("unknown step %q", verb)
	}
}

func (s *restoreScript) number(text string) int {
	n, err := strconv.Atoi(text)
	assert.NilError(s.t, err)
	return n
}

func (s *restoreScript) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(s.t, err)
	return d
}

func (s *restoreScript) knows(node string) bool {
	for _, m := range s.tracker.OtherMembers() {
		if m.Node == node {
			return true
		}
	}
	return false
}

// confirmed reports whether the configuration was confirmed by a read that was sent after the latest restore.
func (s *restoreScript) confirmed() bool {
	now := timekeeper.SinceBoot()
	return s.version() > 0 && s.keeper.Age(now) < now-s.restoredAt
}

func (s *restoreScript) always(what string, period time.Duration, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !holds() {
			s.t.Fatalf("condition not kept for %s: %s", period, what)
		}
	}
}

// TestRestoreBreaksOffWaitingReads checks that a read of the members that hangs on a silent connection is given up as
// soon as the configuration's read has learned of a restore.
func TestRestoreBreaksOffWaitingReads(t *testing.T) {
	store := &storer.Store{}
	var silent atomic.Bool
	f := startBehind(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() && r.URL.Path == "/-/log-read" && r.URL.Query().Get("topic") == platform.MemberTopic {
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	}))
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(1))
	f.eventually("first version", func() bool { return f.version() == 1 })
	silent.Store(true)
	store.Put(platform.MemberTopic, "x", []byte("{}"))
	time.Sleep(50 * time.Millisecond)
	copiedAt := time.Now()
	store.Restore(copiedAt)
	raw, err := json.Marshal(tracker.Member{Node: "a", Service: "x", State: tracker.Ready})
	assert.NilError(t, err)
	store.Put(platform.MemberTopic, "a", raw)
	began := time.Now()
	f.eventually("member written after the restore", func() bool { return len(f.tracker.OtherMembers()) == 1 })
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
}

// TestAnswersOfEarlierEra guards against answers that the store gave before it was restored and that arrive late, or
// that come from a copy which is out of use: a target that has left must not be used again because of them, they prove
// nothing, and the node must not call the store without a pause until it gets others.
func TestAnswersOfEarlierEra(t *testing.T) {
	earlier, later := &storer.Store{}, &storer.Store{}
	later.Restore(time.Now())
	for store, state := range map[*storer.Store]tracker.State{earlier: tracker.Ready, later: tracker.Draining} {
		raw, err := json.Marshal(tracker.Member{Node: "a", Service: "x", State: state})
		assert.NilError(t, err)
		store.Put(platform.MemberTopic, "a", raw)
		store.Put(platform.ConfigTopic, platform.ConfigKey, config(1))
	}
	var useEarlier atomic.Bool
	var calls atomic.Int64
	f := startBehind(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !useEarlier.Load() {
			later.ServeHTTP(w, r)
			return
		}
		calls.Add(1)
		earlier.ServeHTTP(w, r)
	}))
	f.eventually("a draining", func() bool {
		others := f.tracker.OtherMembers()
		return len(others) == 1 && others[0].State == tracker.Draining
	})
	f.eventually("configuration confirmed", func() bool { return f.keeper.Age(timekeeper.SinceBoot()) < time.Second })
	useEarlier.Store(true)
	// Expired records make the node read the newest ones.
	later.Put(platform.MemberTopic, "b", []byte("{}"))
	later.Compact(platform.MemberTopic)
	from := timekeeper.SinceBoot() + 100*time.Millisecond
	for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Equal(t, f.tracker.OtherMembers()[0].State, tracker.Draining, "the record of an earlier era was applied")
		if now := timekeeper.SinceBoot(); now > from {
			assert.Assert(t, f.keeper.Age(now) >= now-from, "an answer of an earlier era proved the configuration")
		}
	}
	assert.Assert(t, calls.Load() > 0 && calls.Load() < 60, "%d calls", calls.Load())
	useEarlier.Store(false)
	f.eventually("configuration confirmed again", func() bool { return f.keeper.Age(timekeeper.SinceBoot()) < 300*time.Millisecond })
}

// TestOwnRecordReadBeforeReplaced guards against a departure that an earlier process of the node has stored and that is
// overwritten, because the target announces itself while the store answers reads slowly.
func TestOwnRecordReadBeforeReplaced(t *testing.T) {
	store := &storer.Store{}
	raw, err := json.Marshal(tracker.Member{Node: "own", Target: "i-1", State: tracker.Gone})
	assert.NilError(t, err)
	store.Put(platform.MemberTopic, "own", raw)
	f := startBehind(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/log-newest" {
			time.Sleep(500 * time.Millisecond)
		}
		store.ServeHTTP(w, r)
	}))
	published := f.watcher.Publish(tracker.Member{Node: "own", Target: "i-1", State: tracker.Ready})
	select {
	case m := <-f.ownMember:
		assert.Equal(t, m.State, tracker.Gone)
	case <-time.After(2 * time.Second):
		t.Fatal("the record was replaced before it was read")
	}
	select {
	case <-published:
	case <-time.After(2 * time.Second):
		t.Fatal("the node's own record is not written")
	}
}
