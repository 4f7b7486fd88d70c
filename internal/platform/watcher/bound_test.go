package watcher_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// The bounds of a deployment that the tests below play.
const (
	configApply = 2 * time.Second
	revocation  = 5 * time.Second
	// oneWay is how long a message takes.
	oneWay = 3 * time.Millisecond
)

// How the link to a node or to the store treats messages.
const (
	passes int32 = iota
	// drops loses all messages.
	drops
	// rejects answers 503.
	rejects
	// delays lets a response take slowResponse longer.
	delays
)

const slowResponse = 550 * time.Millisecond

var errLinkClosed = errors.New("request was given up")

// link carries requests to a handler in simulated time.
type link struct {
	handler http.Handler
	state   atomic.Int32
	calls   atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.calls.Add(1)
	if err := l.pass(r.Context(), oneWay); err != nil {
		return nil, err
	}
	if l.state.Load() == rejects {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, Request: r}, nil
	}
	recorder := httptest.NewRecorder()
	if !l.serve(recorder, r) {
		return nil, errLinkClosed
	}
	took := oneWay
	if l.state.Load() == delays {
		took += slowResponse
	}
	if err := l.pass(r.Context(), took); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// serve runs the handler. It returns false if the handler has closed the connection.
func (l *link) serve(w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	l.handler.ServeHTTP(w, r)
	return true
}

// pass waits for the time, or until the request is given up if the link loses it.
func (l *link) pass(ctx context.Context, took time.Duration) error {
	select {
	case <-ctx.Done():
		return errLinkClosed
	case <-time.After(took):
	}
	if l.state.Load() == drops {
		<-ctx.Done()
		return errLinkClosed
	}
	return nil
}

// simulatedNode is a node of a data centre in simulated time.
type simulatedNode struct {
	name, address string
	keeper        *keeper.Keeper
	watcher       *watcher.Watcher
	// store is the node's link to the store, control the link over which other nodes ask it.
	store, control *link
}

func (n *simulatedNode) version() uint64 {
	_, v := n.keeper.Record()
	return v
}

// simulation is a data centre in simulated time.
type simulation struct {
	t     *testing.T
	began time.Time
	store *storer.Store
	// nodes are in the order in which they are asked.
	nodes []*simulatedNode
	done  sync.WaitGroup
	end   context.CancelFunc
	// ackedAt holds when each version was acknowledged by the store.
	ackedAt []time.Time
}

func (s *simulation) now() time.Duration { return time.Since(s.began) + time.Hour }

// RoundTrip implements http.RoundTripper for the questions of nodes to each other.
func (s *simulation) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, n := range s.nodes {
		if n.address == r.URL.Host {
			return n.control.RoundTrip(r)
		}
	}
	return nil, errLinkClosed
}

// simulate starts a data centre of n nodes that know each other, and waits until they have settled.
func simulate(t *testing.T, n int) *simulation {
	t.Helper()
	s := &simulation{t: t, began: time.Now(), store: &storer.Store{}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("vm-", i))
	}
	for _, name := range append(elector.Rank("", names), names...) {
		if !slices.ContainsFunc(s.nodes, func(n *simulatedNode) bool { return n.name == name }) {
			s.nodes = append(s.nodes, s.newNode(name, fmt.Sprintf("10.0.0.%d:1", 1+len(s.nodes))))
		}
	}
	s.put()
	for _, node := range s.nodes {
		raw, err := json.Marshal(tracker.Member{Node: node.name, DataCentre: "dc", Service: "x", Target: "i", State: tracker.Ready, ControlAddress: node.address})
		assert.NilError(t, err)
		s.store.Put(platform.MemberTopic, node.name, raw)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s.end = cancel
	for _, node := range s.nodes {
		for _, run := range []func(context.Context){node.watcher.FollowConfig, node.watcher.FollowMembers, node.watcher.FollowEras} {
			s.done.Go(func() { run(ctx) })
		}
	}
	time.Sleep(8 * time.Second)
	return s
}

func (s *simulation) stop() {
	s.end()
	s.done.Wait()
	time.Sleep(10 * time.Second)
}

func (s *simulation) newNode(name, address string) *simulatedNode {
	node := &simulatedNode{name: name, address: address, keeper: &keeper.Keeper{Decode: platform.DecodeConfig}, store: &link{handler: s.store}}
	copied := &distributor.Copy{Now: s.now}
	node.control = &link{handler: (&distributor.Server{Copy: copied, Topics: watcher.Topics}).Handler()}
	node.watcher = &watcher.Watcher{
		Store:      &platform.Store{Address: "store", HTTP: &http.Client{Transport: node.store}},
		Neighbours: &distributor.Client{HTTP: &http.Client{Transport: s}, Now: s.now},
		Copy:       copied, Keeper: node.keeper, Self: name, Now: s.now,
		Tracker:    &tracker.Tracker{Self: name, DataCentre: "dc", ReportTimeout: time.Hour},
		ConfigWait: 700 * time.Millisecond, ConfigApply: configApply, MaxConfigAge: revocation * 34 / 100,
		SettlePeriod: configApply, MaxSettlePeriod: revocation,
		Log:         &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		OnOwnMember: func(tracker.Member) {}, OnEra: func() {}, Evacuations: &keeper.Evacuations{},
	}
	copied.OnQuestion = node.watcher.HandleQuestion
	return node
}

// put writes the next version.
func (s *simulation) put() {
	s.ackedAt = append(s.ackedAt, time.Now())
	s.store.Put(platform.ConfigTopic, platform.ConfigKey, config(len(s.ackedAt)))
}

// watch checks for the period that the nodes act on no configuration older than the bound allows, and returns how long the
// slowest of them took to apply a version.
func (s *simulation) watch(period time.Duration, nodes []*simulatedNode) (slowest time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range nodes {
			have := int(n.version())
			if have >= len(s.ackedAt) {
				continue
			}
			took := time.Since(s.ackedAt[have])
			slowest = max(slowest, took)
			assert.Assert(s.t, took <= configApply, "%s has version %d, and version %d was acknowledged %s ago", n.name, have, have+1, took)
		}
	}
	return slowest
}

func (s *simulation) storeCalls() (calls int64) {
	for _, n := range s.nodes {
		calls += n.store.calls.Load()
	}
	return calls
}

// neighbourFaults are the ways in which the first nodes in the ranking fail while the others are sound.
var neighbourFaults = []struct {
	name           string
	store, control int32
}{
	{"cut off", drops, drops},
	{"cut off from the store only", drops, passes},
	{"turned away by the store", rejects, passes},
	{"answer slowly", passes, delays},
	{"cut off from the store and answer slowly", drops, delays},
	{"frozen", passes, drops},
}

// TestConfigurationBound guards against nodes that act on an old configuration for longer than the deployment allows,
// because the neighbours that read the store for them fail one after the other. The change is written at different times
// of the neighbours' reads.
func TestConfigurationBound(t *testing.T) {
	const nodes, most, offsets = 9, 4, 5
	for _, fault := range neighbourFaults {
		for failing := 1; failing <= most; failing++ {
			t.Run(fmt.Sprintf("%s/%d", fault.name, failing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := simulate(t, nodes)
					defer s.stop()
					var slowest time.Duration
					for i := range offsets {
						time.Sleep(time.Duration(i) * 170 * time.Millisecond)
						s.setFault(s.nodes[:failing], fault.store, fault.control)
						s.put()
						slowest = max(slowest, s.watch(2*configApply, s.nodes[failing:]))
						s.put()
						slowest = max(slowest, s.watch(2*configApply, s.nodes[failing:]))
						s.setFault(s.nodes, passes, passes)
						time.Sleep(5 * time.Second)
					}
					t.Logf("at most %s", slowest)
				})
			})
		}
	}
}

func (s *simulation) setFault(nodes []*simulatedNode, store, control int32) {
	for _, n := range nodes {
		n.store.state.Store(store)
		n.control.state.Store(control)
	}
}

// TestConfigurationBoundInTurns guards against neighbours that wake or return with an old configuration while others
// become silent: in each step another part of the nodes fails.
func TestConfigurationBoundInTurns(t *testing.T) {
	const nodes = 9
	for _, fault := range neighbourFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := simulate(t, nodes)
				defer s.stop()
				for step := range 20 {
					s.setFault(s.nodes[step%4:step%4+2], fault.store, fault.control)
					s.put()
					// The nodes that fail in turn may lag behind.
					s.watch(time.Duration(1100+130*(step%7))*time.Millisecond, s.nodes[5:])
					s.setFault(s.nodes, passes, passes)
				}
			})
		})
	}
}

// TestStoreCallsOfBound guards against a bound that is kept by reading the store from each node: on calm days, while
// neighbours fail, and when the store is down for all.
func TestStoreCallsOfBound(t *testing.T) {
	const nodes = 30
	count := func(s *simulation, period time.Duration) float64 {
		before := s.storeCalls()
		time.Sleep(period)
		return float64(s.storeCalls()-before) / period.Seconds()
	}
	synctest.Test(t, func(t *testing.T) {
		s := simulate(t, nodes)
		defer s.stop()
		// One node reads the configuration and the members for all.
		calm := count(s, 20*time.Second)
		assert.Assert(t, calm < 4, "%.1f calls a second", calm)
		s.setFault(s.nodes[:3], drops, drops)
		cut := count(s, 10*time.Second)
		assert.Assert(t, cut < nodes, "%.1f calls a second", cut)
		s.setFault(s.nodes, passes, passes)
		time.Sleep(10 * time.Second)
		s.setFault(s.nodes, rejects, passes)
		down := count(s, 10*time.Second)
		assert.Assert(t, down < 2*nodes, "%.1f calls a second", down)
		t.Logf("calls a second of %d nodes: %.1f calm, %.1f with three cut off, %.1f with the store down", nodes, calm, cut, down)
	})
}

// TestReturnOfStore guards against nodes that all call a store at the moment at which it has come back.
func TestReturnOfStore(t *testing.T) {
	const nodes = 60
	synctest.Test(t, func(t *testing.T) {
		s := simulate(t, nodes)
		defer s.stop()
		s.setFault(s.nodes, rejects, passes)
		time.Sleep(12 * time.Second)
		before := s.storeCalls()
		s.setFault(s.nodes, passes, passes)
		most := int64(0)
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			most = max(most, s.storeCalls()-before)
			before = s.storeCalls()
		}
		assert.Assert(t, most <= nodes/2, "%d calls in 50 ms", most)
	})
}
