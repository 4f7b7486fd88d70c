package watcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// Ways in which a server of a node can fail.
const (
	healthy int32 = iota
	// refusing answers 503.
	refusing
	// silent never answers.
	silent
	// withoutCall answers like a node of an earlier version.
	withoutCall
)

// neighbour is one node of a data centre.
type neighbour struct {
	name    string
	keeper  *keeper.Keeper
	tracker *tracker.Tracker
	watcher *watcher.Watcher
	// evacuations holds what the node knows of evacuated data centres.
	evacuations *keeper.Evacuations
	// store and control serve the node's calls of the store, and the questions of other nodes.
	store, control           *httptest.Server
	storeFault, controlFault atomic.Int32
	calls, questions         atomic.Int64
	cancel                   context.CancelFunc
	done                     sync.WaitGroup
}

// fail sets the faults and ends the calls in progress.
func (n *neighbour) fail(store, control int32) {
	n.storeFault.Store(store)
	n.controlFault.Store(control)
	n.store.CloseClientConnections()
	n.control.CloseClientConnections()
}

func (n *neighbour) version() uint64 {
	_, v := n.keeper.Record()
	return v
}

func (n *neighbour) age() time.Duration { return n.keeper.Age(timekeeper.SinceBoot()) }

// dataCentre runs the nodes of one data centre.
type dataCentre struct {
	t     *testing.T
	store *storer.Store
	nodes []*neighbour
}

// faulty serves the handler unless the fault is set.
func faulty(fault *atomic.Int32, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch fault.Load() {
		case refusing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case silent:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case withoutCall:
			http.NotFound(w, r)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// startDataCentre starts n nodes. Their members are in the store already if known is set.
func startDataCentre(t *testing.T, n int, known bool) *dataCentre {
	t.Helper()
	d := &dataCentre{t: t, store: &storer.Store{}}
	d.store.Put(platform.ConfigTopic, platform.ConfigKey, config(1))
	var members []tracker.Member
	for i := range n {
		node := d.add(fmt.Sprint("vm-", i))
		answers := faulty(&node.controlFault, (&distributor.Server{Copy: node.watcher.Copy, Topics: watcher.Topics}).Handler())
		node.control = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node.questions.Add(1)
			answers.ServeHTTP(w, r)
		}))
		t.Cleanup(func() { node.control.CloseClientConnections(); node.control.Close() })
		members = append(members, tracker.Member{
			Node: node.name, DataCentre: "dc", Service: "x", Target: "i", State: tracker.Ready, Slots: 1,
			ControlAddress: strings.TrimPrefix(node.control.URL, "http://"),
		})
	}
	if known {
		for _, m := range members {
			raw, err := json.Marshal(m)
			assert.NilError(t, err)
			d.store.Put(platform.MemberTopic, m.Node, raw)
		}
	}
	for i, node := range d.nodes {
		node.run()
		node.watcher.Publish(members[i])
	}
	t.Cleanup(func() {
		for _, node := range d.nodes {
			node.cancel()
		}
		for _, node := range d.nodes {
			node.done.Wait()
		}
	})
	return d
}

func (d *dataCentre) add(name string) *neighbour {
	node := &neighbour{name: name}
	node.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		node.calls.Add(1)
		faulty(&node.storeFault, d.store).ServeHTTP(w, r)
	}))
	d.t.Cleanup(func() { node.store.CloseClientConnections(); node.store.Close() })
	node.keeper = &keeper.Keeper{Decode: platform.DecodeConfig}
	node.evacuations = &keeper.Evacuations{}
	node.tracker = &tracker.Tracker{Self: name, DataCentre: "dc", ReportTimeout: time.Minute}
	copied := &distributor.Copy{Now: timekeeper.SinceBoot}
	node.watcher = &watcher.Watcher{
		Store:      platform.NewStore(strings.TrimPrefix(node.store.URL, "http://")),
		Neighbours: distributor.NewClient(timekeeper.SinceBoot), Copy: copied, MaxConfigAge: 1700 * time.Millisecond,
		Keeper: node.keeper, Tracker: node.tracker, Self: name, ConfigWait: 700 * time.Millisecond,
		SettlePeriod: 2 * time.Second, MaxSettlePeriod: 5 * time.Second,
		Log:         &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		OnOwnMember: func(tracker.Member) {}, OwnCosts: func() tracker.NodeCosts { return tracker.NodeCosts{Node: name} },
		OnStoredCosts: func(tracker.NodeCosts) {}, OnEra: func() {}, Evacuations: node.evacuations,
	}
	copied.OnQuestion = node.watcher.HandleQuestion
	d.nodes = append(d.nodes, node)
	return node
}

func (n *neighbour) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w := n.watcher
	for _, run := range []func(context.Context){w.FollowConfig, w.FollowMembers, w.PublishOwn, w.SyncCosts, w.FollowEras} {
		n.done.Go(func() { run(ctx) })
	}
}

// ranked returns the nodes in the order in which they are asked.
func (d *dataCentre) ranked() []*neighbour {
	byName := map[string]*neighbour{}
	var names []string
	for _, n := range d.nodes {
		byName[n.name] = n
		names = append(names, n.name)
	}
	var list []*neighbour
	for _, name := range elector.Rank("", names) {
		list = append(list, byName[name])
		delete(byName, name)
	}
	for _, n := range byName {
		list = append(list, n)
	}
	return list
}

// allWithin checks that all nodes for which wanted is true meet the condition in time.
func (d *dataCentre) allWithin(period time.Duration, what string, nodes []*neighbour, met func(*neighbour) bool) {
	d.t.Helper()
	end := time.Now().Add(period)
	for _, n := range nodes {
		for !met(n) {
			if time.Now().After(end) {
				d.t.Fatalf("%s not within %s: %s", what, period, n.name)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (d *dataCentre) totalCalls() int64 {
	total := int64(0)
	for _, n := range d.nodes {
		total += n.calls.Load()
	}
	return total
}

func (d *dataCentre) put(version int) {
	d.store.Put(platform.ConfigTopic, platform.ConfigKey, config(version))
}

func (d *dataCentre) confirmed() {
	d.t.Helper()
	d.allWithin(6*time.Second, "configuration confirmed", d.nodes, func(n *neighbour) bool {
		return n.version() > 0 && n.age() < 3*time.Second && n.watcher.MembersKnown() && len(n.tracker.OtherMembers()) == len(d.nodes)-1
	})
}

// TestFewReaders checks that the calls of the store on calm days do not grow with the number of nodes, and that changes
// of the configuration and of the members still reach all of them at once.
func TestFewReaders(t *testing.T) {
	t.Parallel()
	const nodes = 24
	d := startDataCentre(t, nodes, false)
	d.confirmed()
	started := d.totalCalls()
	assert.Assert(t, started < 8*nodes, "%d calls at the start", started)
	time.Sleep(3500 * time.Millisecond)
	before := d.totalCalls()
	const span = 4 * time.Second
	var oldest time.Duration
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range d.nodes {
			oldest = max(oldest, n.age())
		}
	}
	made := d.totalCalls() - before
	t.Logf("%d calls at the start, %d in %s, age up to %s", started, made, span, oldest)
	// One node would make 4/0.7 + 4/3 calls.
	assert.Assert(t, made <= 24, "%d calls in %s", made, span)
	assert.Assert(t, oldest < 2700*time.Millisecond, "%s", oldest)
	d.put(2)
	d.allWithin(400*time.Millisecond, "new version", d.nodes, func(n *neighbour) bool { return n.version() == 2 })
	raw, err := json.Marshal(tracker.Member{Node: "new", DataCentre: "other", State: tracker.Ready})
	assert.NilError(t, err)
	d.store.Put(platform.MemberTopic, "new", raw)
	d.allWithin(900*time.Millisecond, "new member", d.nodes, func(n *neighbour) bool { return len(n.tracker.OtherMembers()) == nodes })
}

// TestReaderFails checks that a new configuration is in force on all nodes, and proven to be the newest, within the
// bounds if the nodes that read the store for the others fail.
func TestReaderFails(t *testing.T) {
	for _, c := range []struct {
		name    string
		failing int
		store   int32
		control int32
		within  time.Duration
		maxAge  time.Duration
	}{
		{"first is killed", 1, refusing, refusing, 1500 * time.Millisecond, 3 * time.Second},
		{"first is frozen", 1, silent, silent, 2500 * time.Millisecond, 4 * time.Second},
		{"first is of an earlier version", 1, healthy, withoutCall, 1500 * time.Millisecond, 3 * time.Second},
		{"store turns the first away", 1, refusing, healthy, 2500 * time.Millisecond, 4 * time.Second},
		{"store is silent for the first", 1, silent, healthy, 2500 * time.Millisecond, 4 * time.Second},
		{"store turns three away", 3, refusing, healthy, 3 * time.Second, 4500 * time.Millisecond},
		{"three are killed", 3, refusing, refusing, 2500 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := startDataCentre(t, 12, true)
			d.confirmed()
			ranked := d.ranked()
			failing, others := ranked[:c.failing], ranked[c.failing:]
			for _, n := range failing {
				n.fail(c.store, c.control)
			}
			d.put(2)
			var oldest time.Duration
			end := time.Now().Add(5 * time.Second)
			reached := time.Duration(0)
			for began := time.Now(); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				all := true
				for _, n := range others {
					oldest = max(oldest, n.age())
					all = all && n.version() == 2
				}
				if all && reached == 0 {
					reached = time.Since(began)
				}
			}
			t.Logf("in force after %s, age up to %s", reached, oldest)
			assert.Assert(t, reached > 0 && reached <= c.within, "%s", reached)
			assert.Assert(t, oldest <= c.maxAge, "%s", oldest)
			if c.control == healthy && c.store != healthy {
				// A node that the store turns away learns it from its neighbours.
				d.allWithin(time.Second, "new version where the store turns nodes away", failing, func(n *neighbour) bool { return n.version() == 2 })
			}
			for _, n := range failing {
				n.fail(healthy, healthy)
			}
			d.put(3)
			d.allWithin(2500*time.Millisecond, "version after the failure", d.nodes, func(n *neighbour) bool { return n.version() == 3 })
		})
	}
}

// TestNoProofWithoutStore guards against nodes that confirm each other's configuration while none of them reaches the
// store, and against many calls of a store that is down.
func TestNoProofWithoutStore(t *testing.T) {
	t.Parallel()
	const nodes = 12
	d := startDataCentre(t, nodes, true)
	d.confirmed()
	for _, n := range d.nodes {
		n.fail(refusing, healthy)
	}
	cutAt := timekeeper.SinceBoot()
	d.put(2)
	before := d.totalCalls()
	time.Sleep(4 * time.Second)
	now := timekeeper.SinceBoot()
	for _, n := range d.nodes {
		assert.Assert(t, n.keeper.Age(now) >= now-cutAt, "%s: age %s, cut for %s", n.name, n.keeper.Age(now), now-cutAt)
		assert.Equal(t, n.version(), uint64(1))
	}
	made := d.totalCalls() - before
	t.Logf("%d calls of %d nodes in 4 s", made, nodes)
	assert.Assert(t, made <= 14*nodes, "%d calls", made)
	for _, n := range d.nodes {
		n.fail(healthy, healthy)
	}
	d.allWithin(2*time.Second, "version after the outage", d.nodes, func(n *neighbour) bool { return n.version() == 2 })
}

// TestRestoredStoreBehindNeighbours checks that nodes which do not read the store themselves neither fall back to an
// older configuration nor keep a lost one for the newest after the store has been restored from a copy.
func TestRestoredStoreBehindNeighbours(t *testing.T) {
	t.Parallel()
	d := startDataCentre(t, 8, true)
	d.confirmed()
	mark := time.Now()
	time.Sleep(10 * time.Millisecond)
	d.put(5)
	d.allWithin(time.Second, "version 5", d.nodes, func(n *neighbour) bool { return n.version() == 5 })
	lost := d.store.Restore(mark)
	restoredAt := timekeeper.SinceBoot()
	time.Sleep(700 * time.Millisecond)
	for _, n := range d.nodes {
		assert.Equal(t, n.version(), uint64(5))
		now := timekeeper.SinceBoot()
		assert.Assert(t, n.keeper.Age(now) >= now-restoredAt, "%s took the copy for the newest", n.name)
	}
	d.store.WriteAgain(lost)
	d.put(6)
	d.allWithin(1500*time.Millisecond, "version written after the restore", d.nodes, func(n *neighbour) bool { return n.version() == 6 })
	d.allWithin(6*time.Second, "configuration confirmed after the restore", d.nodes, func(n *neighbour) bool {
		return n.age() < timekeeper.SinceBoot()-restoredAt-time.Second
	})
}

// TestRestartBesideOldNeighbours guards against a process that starts and takes over what its neighbours knew before they
// were cut off from the store: a withdrawn key, or a target that has left.
func TestRestartBesideOldNeighbours(t *testing.T) {
	t.Parallel()
	d := startDataCentre(t, 5, true)
	d.confirmed()
	others := d.ranked()[:4]
	for _, n := range others {
		n.fail(refusing, healthy)
	}
	d.put(2)
	raw, err := json.Marshal(tracker.Member{Node: "left", DataCentre: "dc", Service: "x", Target: "i", State: tracker.Gone})
	assert.NilError(t, err)
	d.store.Put(platform.MemberTopic, "left", raw)
	time.Sleep(2 * time.Second)
	for _, n := range d.nodes {
		if !slices.Contains(others, n) {
			n.cancel()
			n.done.Wait()
		}
	}
	restarted := d.add("restarted")
	restarted.run()
	t.Cleanup(func() { restarted.cancel(); restarted.done.Wait() })
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if restarted.age() < 4500*time.Millisecond {
			assert.Equal(t, restarted.version(), uint64(2), "an older configuration counts as the newest")
		}
		if m, ok := restarted.tracker.Member("left"); ok {
			assert.Equal(t, m.State, tracker.Gone)
		}
	}
	assert.Equal(t, restarted.version(), uint64(2))
	assert.Assert(t, restarted.age() < 3*time.Second, "%s", restarted.age())
}

// TestStoppingReaderIsNotAsked checks that a node that is about to stop is left alone by the others, so that they notice
// nothing when it is gone.
func TestStoppingReaderIsNotAsked(t *testing.T) {
	t.Parallel()
	d := startDataCentre(t, 6, true)
	d.confirmed()
	first := d.ranked()[0]
	assert.Assert(t, first.questions.Load() > 0)
	m, ok := first.tracker.Member(first.name)
	assert.Assert(t, ok)
	m.State = tracker.Stopping
	<-first.watcher.Publish(m)
	time.Sleep(2500 * time.Millisecond)
	before := first.questions.Load()
	time.Sleep(time.Second)
	assert.Equal(t, first.questions.Load(), before)
}
