package watcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

type fixture struct {
	t         *testing.T
	keeper    *keeper.Keeper
	tracker   *tracker.Tracker
	watcher   *watcher.Watcher
	evacuated *keeper.Evacuations
	ownMember chan tracker.Member
	costs     chan tracker.NodeCosts
}

func start(t *testing.T, store *storer.Store) *fixture {
	t.Helper()
	return startBehind(t, store)
}

// startBehind starts a node whose calls of the store are served by the handler.
func startBehind(t *testing.T, store http.Handler) *fixture {
	t.Helper()
	server := httptest.NewServer(store)
	f := &fixture{t: t, ownMember: make(chan tracker.Member, 1), costs: make(chan tracker.NodeCosts, 4)}
	f.keeper = &keeper.Keeper{Decode: platform.DecodeConfig}
	f.evacuated = &keeper.Evacuations{}
	f.tracker = &tracker.Tracker{Self: "own", ReportTimeout: time.Minute}
	f.watcher = &watcher.Watcher{
		Store:  &platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: &http.Client{}},
		Keeper: f.keeper, Tracker: f.tracker, Self: "own", ConfigWait: 50 * time.Millisecond,
		SettlePeriod: 400 * time.Millisecond, MaxSettlePeriod: time.Second,
		Log:         &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		OnOwnMember: func(m tracker.Member) { f.ownMember <- m },
		OwnCosts: func() tracker.NodeCosts {
			return tracker.NodeCosts{Node: "own", Service: "x", RouteCosts: []tracker.RouteCosts{{Route: "r", HoldMs: 30, Calls: map[string]float32{"c": 4}}}}
		},
		OnStoredCosts: func(c tracker.NodeCosts) { f.costs <- c },
		OnEra:         func() {},
		Evacuations:   f.evacuated,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){f.watcher.FollowConfig, f.watcher.FollowMembers, f.watcher.PublishOwn, f.watcher.SyncCosts, f.watcher.FollowEras} {
		wg.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

func config(version int) []byte {
	return fmt.Appendf(nil, `{"version":"%08x","resources":[]}`, version)
}

func (f *fixture) version() uint64 {
	_, v := f.keeper.Record()
	return v
}

func (f *fixture) eventually(what string, done func() bool) {
	f.t.Helper()
	f.eventuallyIn(5*time.Second, what, done)
}

func (f *fixture) eventuallyIn(period time.Duration, what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("condition not met within %s: %s", period, what)
}

// TestConfiguration checks that the newest configuration is applied after records of other keys, a compaction,
// an older version and an outage of the store.
func TestConfiguration(t *testing.T) {
	store := &storer.Store{}
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(1))
	f := start(t, store)
	f.eventually("first version", func() bool { return f.version() == 1 })
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(5))
	f.eventually("second version", func() bool { return f.version() == 5 })
	store.Put(platform.ConfigTopic, "else", []byte("noise"))
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(7))
	store.Compact(platform.ConfigTopic)
	f.eventually("version after the records have expired", func() bool { return f.version() == 7 })
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(6))
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(8))
	f.eventually("newest version", func() bool { return f.version() == 8 })
	store.SetFaults(storer.Faults{Unavailable: true})
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(9))
	time.Sleep(200 * time.Millisecond)
	store.SetFaults(storer.Faults{})
	f.eventually("version written during the outage", func() bool { return f.version() == 9 })
}

// TestEvidence checks that the age of the configuration grows while the store does not answer, and that the age is
// low again once the store answers.
func TestEvidence(t *testing.T) {
	store := &storer.Store{}
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(1))
	f := start(t, store)
	age := func() time.Duration { return f.keeper.Age(timekeeper.SinceBoot()) }
	f.eventually("evidence", func() bool { return age() < 120*time.Millisecond })
	store.SetFaults(storer.Faults{Hang: true})
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, age() > 250*time.Millisecond)
	store.SetFaults(storer.Faults{})
	f.eventually("evidence after the silence", func() bool { return age() < 120*time.Millisecond })
}

// TestMembers checks that members are added, changed and removed, and that invalid records add no member.
func TestMembers(t *testing.T) {
	store := &storer.Store{}
	f := start(t, store)
	put := func(m tracker.Member) {
		raw, err := json.Marshal(m)
		assert.NilError(t, err)
		store.Put(platform.MemberTopic, m.Node, raw)
	}
	put(tracker.Member{Node: "a", Service: "x", State: tracker.Ready})
	store.Put(platform.MemberTopic, "junk", []byte("\x00junk"))
	store.Put(platform.MemberTopic, "b", []byte(`{"node":"someone-else"}`))
	f.eventually("member a", func() bool { return len(f.tracker.OtherMembers()) == 1 })
	put(tracker.Member{Node: "a", Service: "x", State: tracker.Draining})
	f.eventually("change of a", func() bool { return f.tracker.OtherMembers()[0].State == tracker.Draining })
	put(tracker.Member{Node: "c", Service: "x", State: tracker.Ready})
	store.Put(platform.MemberTopic, "a", nil)
	store.Compact(platform.MemberTopic)
	f.eventually("a removed and c added", func() bool {
		o := f.tracker.OtherMembers()
		return len(o) == 1 && o[0].Node == "c"
	})
}

// TestOwnRecord checks that the wanted member record ends up in the store. The store first loses an answer,
// and the unanswered write takes effect late and overwrites the newer record.
func TestOwnRecord(t *testing.T) {
	store := &storer.Store{}
	f := start(t, store)
	store.SetFaults(storer.Faults{DropResponses: 1, AppendDelay: 700 * time.Millisecond})
	f.watcher.Publish(tracker.Member{Node: "own", Target: "i-1", State: tracker.Ready})
	time.Sleep(100 * time.Millisecond)
	wanted := tracker.Member{Node: "own", Target: "i-1", State: tracker.Draining}
	select {
	case <-f.watcher.Publish(wanted):
	case <-time.After(3 * time.Second):
		t.Fatal("own member record not written within 3 s")
	}
	time.Sleep(900 * time.Millisecond)
	f.eventually("newer record restored", func() bool {
		var m tracker.Member
		return json.Unmarshal(store.Newest(platform.MemberTopic, "own"), &m) == nil && m == wanted
	})
}

// TestRestoreOwnMember checks that a restarted node receives the member record that it had stored.
func TestRestoreOwnMember(t *testing.T) {
	store := &storer.Store{}
	raw, err := json.Marshal(tracker.Member{Node: "own", Target: "i-1", State: tracker.Draining})
	assert.NilError(t, err)
	store.Put(platform.MemberTopic, "own", raw)
	f := start(t, store)
	select {
	case m := <-f.ownMember:
		assert.Equal(t, m.State, tracker.Draining)
	case <-time.After(5 * time.Second):
		t.Fatal("stored own member record not received within 5 s")
	}
	f.eventually("members known", f.watcher.MembersKnown)
}

// TestCostsSurviveRestart checks that learned costs are written and reach the next process of a node, even
// if the store also holds an invalid record.
func TestCostsSurviveRestart(t *testing.T) {
	store := &storer.Store{}
	store.Put(platform.CostTopic, "broken", []byte("{"))
	start(t, store)
	next := start(t, store)
	written := func() bool { return len(store.Newest(platform.CostTopic, "own")) > 0 }
	for end := time.Now().Add(8 * time.Second); !written() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, written())
	assert.Equal(t, len(next.costs), 0)
	third := start(t, store)
	c := <-third.costs
	assert.Equal(t, c.Service, "x")
	assert.Equal(t, c.RouteCosts[0].Calls["c"], float32(4))
}

// TestMemberReadsGathered guards against a call of every node for every record when many nodes start at once.
func TestMemberReadsGathered(t *testing.T) {
	const members = 60
	store := &storer.Store{}
	put := func(i, slots int) {
		node := fmt.Sprint("vm-", i)
		raw, err := json.Marshal(tracker.Member{Node: node, Slots: slots})
		assert.NilError(t, err)
		store.Put(platform.MemberTopic, node, raw)
	}
	for i := range members {
		put(i, 1)
	}
	var reads atomic.Int64
	f := startBehind(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && strings.Contains(r.URL.String(), platform.MemberTopic) {
			reads.Add(1)
		}
		store.ServeHTTP(w, r)
	}))
	f.eventually("members known", func() bool { return len(f.tracker.OtherMembers()) == members && f.watcher.MembersKnown() })
	before := reads.Load()
	for i := range members {
		put(i, 2)
		time.Sleep(5 * time.Millisecond)
	}
	f.eventuallyIn(700*time.Millisecond, "all records applied", func() bool {
		for _, m := range f.tracker.OtherMembers() {
			if m.Slots != 2 {
				return false
			}
		}
		return true
	})
	made := reads.Load() - before
	assert.Assert(t, made > 0 && made <= 6, "%d reads for %d records", made, members)
}

// TestOwnRecordWrittenOnce guards against a second write of the own record because an earlier one is read after the write.
func TestOwnRecordWrittenOnce(t *testing.T) {
	store := &storer.Store{}
	raw, err := json.Marshal(tracker.Member{Node: "own", Target: "i-1", State: tracker.Ready})
	assert.NilError(t, err)
	store.Put(platform.MemberTopic, "own", raw)
	var writes atomic.Int64
	f := startBehind(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ofMembers := strings.Contains(r.URL.String(), platform.MemberTopic)
		switch {
		case ofMembers && r.Method == http.MethodPost:
			raw, _ := io.ReadAll(r.Body)
			if strings.Contains(string(raw), "i-2") {
				writes.Add(1)
			}
			r.Body = io.NopCloser(bytes.NewReader(raw))
			store.ServeHTTP(w, r)
		case ofMembers:
			// The answer is on its way while the node writes.
			answer := httptest.NewRecorder()
			store.ServeHTTP(answer, r)
			time.Sleep(200 * time.Millisecond)
			copyAnswer(w, answer)
		default:
			store.ServeHTTP(w, r)
		}
	}))
	f.watcher.Publish(tracker.Member{Node: "own", Target: "i-2", State: tracker.Ready})
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, writes.Load(), int64(1))
	assert.Assert(t, strings.Contains(string(store.Newest(platform.MemberTopic, "own")), "i-2"))
}

func copyAnswer(w http.ResponseWriter, answer *httptest.ResponseRecorder) {
	for k, v := range answer.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// TestPartialReadProvesNothing guards against taking the configuration for the newest after a read that did not reach the
// end of the topic.
func TestPartialReadProvesNothing(t *testing.T) {
	store := &storer.Store{}
	store.Put(platform.ConfigTopic, platform.ConfigKey, config(1))
	var partial atomic.Bool
	f := startBehind(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		if body := answer.Body.Bytes(); partial.Load() && r.Method == http.MethodGet && len(body) >= 8 && strings.Contains(r.URL.Path, "log-read") {
			// The first eight bytes hold the end of the topic.
			body[7]++
		}
		copyAnswer(w, answer)
	}))
	age := func() time.Duration { return f.keeper.Age(timekeeper.SinceBoot()) }
	f.eventually("configuration confirmed", func() bool { return age() < 200*time.Millisecond })
	partial.Store(true)
	time.Sleep(800 * time.Millisecond)
	assert.Assert(t, age() > 600*time.Millisecond, "%s", age())
	partial.Store(false)
	f.eventually("configuration confirmed again", func() bool { return age() < 200*time.Millisecond })
}
