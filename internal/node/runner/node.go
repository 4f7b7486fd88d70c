// Package runner assembles the components of a node and runs them.
package runner

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/node/claimer"
	"github.com/plantainwheel/plantainwheel/internal/node/follower"
	"github.com/plantainwheel/plantainwheel/internal/node/guard"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/node/steward"
	"github.com/plantainwheel/plantainwheel/internal/node/teller"
	"github.com/plantainwheel/plantainwheel/internal/peer/messenger"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
	"github.com/plantainwheel/plantainwheel/internal/target/listener"
)

const (
	eventCapacity     = 8192
	requestIDCapacity = 200_000
	// clockMargin allows for clock drift between nodes over a confirmation window.
	clockMargin = 500 * time.Millisecond
	// leaveTimeout limits the time for the messages that a draining or leaving node sends.
	leaveTimeout = 4 * time.Second
)

// Peers sends messages to other nodes.
type Peers interface {
	broker.Peers
	steward.Peers
	teller.Peers
	claimer.Peers
}

// Transports holds the transports to the other nodes and to the target. If Peers or Target is nil, New
// uses the default transport.
type Transports struct {
	Peers  Peers
	Target broker.Target
	TLS    *tls.Config
}

// Node holds the components of one node.
type Node struct {
	Settings   loader.Settings
	Log        *log.Logger
	Events     *recorder.Ring
	Metrics    *metrics.Set
	Follower   *follower.Follower
	Roster     *roster.Roster
	Guard      *guard.Guard
	Teller     *teller.Teller
	Claimer    *claimer.Claimer
	Steward    *steward.Steward
	Broker     *broker.Broker
	Messenger  *messenger.Client
	Dispatcher *dispatcher.Dispatcher

	service atomic.Pointer[string]
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// New returns a node that follows the given stream.
func New(cfg loader.Settings, stream follower.Log, logger *log.Logger, transports Transports) *Node {
	n := &Node{Settings: cfg, Log: logger, Metrics: metrics.NewSet()}
	n.Events = &recorder.Ring{Node: cfg.VM, Capacity: eventCapacity, Clock: time.Now}
	n.Roster = &roster.Roster{Self: cfg.VM, DataCentre: cfg.DataCentre, Clock: time.Now}
	n.Guard = &guard.Guard{Clock: time.Now, Control: cfg.Control}
	n.Dispatcher = &dispatcher.Dispatcher{MaxBodyBytes: cfg.MaxBodyBytes}
	n.Follower = &follower.Follower{
		Log:    stream,
		Events: n.Events,
		Clock:  time.Now,
		Window: cfg.Confirmation.Duration,
		Margin: clockMargin,
	}
	n.Follower.Init()
	n.Messenger = &messenger.Client{
		Roster:  n.Roster,
		Members: n.Follower.State,
		Events:  n.Events,
		Token:   cfg.FleetToken,
		TLS:     transports.TLS,
		Control: n.Metrics.NewCounter("plantainwheel_control_bytes_total"),
		Clock:   time.Now,
	}
	if transports.Peers == nil {
		transports.Peers = n.Messenger
	}
	if transports.Target == nil {
		transports.Target = n.Dispatcher
	}
	n.wire(transports)
	n.registerGauges()
	n.Steward.Init()
	return n
}

func (n *Node) wire(transports Transports) {
	cfg := n.Settings
	n.Teller = &teller.Teller{Fold: n.Follower, Peers: transports.Peers, Clock: time.Now, Self: n.self}
	n.Claimer = &claimer.Claimer{
		Fold:      n.Follower,
		Peers:     transports.Peers,
		Clock:     time.Now,
		Self:      n.self,
		Retention: cfg.Retention.Duration,
		Capacity:  requestIDCapacity,
	}
	n.Steward = &steward.Steward{
		VM:            cfg.VM,
		DataCentre:    cfg.DataCentre,
		PeerAddress:   cfg.PeerListen,
		Seeds:         cfg.Seeds,
		Follower:      n.Follower,
		Roster:        n.Roster,
		Peers:         transports.Peers,
		Slots:         n.Teller,
		Events:        n.Events,
		Clock:         time.Now,
		Describe:      n.describe,
		Fenced:        n.Claimer.Reset,
		ExchangeEvery: cfg.ExchangeEvery.Duration,
		SuspectAfter:  cfg.SuspectAfter.Duration,
		SnapshotEvery: cfg.SnapshotEvery.Duration,
		Witnesses:     cfg.Witnesses,
	}
	n.Broker = &broker.Broker{
		View:            n.Follower,
		Roster:          n.Roster,
		Guard:           n.Guard,
		RateLimiter:     n.Teller,
		Deduplicator:    n.Claimer,
		Peers:           transports.Peers,
		Target:          transports.Target,
		Events:          n.Events,
		Metrics:         broker.NewMetrics(n.Metrics),
		Clock:           time.Now,
		Random:          rand.Uint64,
		Self:            n.self,
		Entry:           n.entry,
		OverloadControl: cfg.Control,
		RetryBudget:     cfg.Retries,
	}
}

// self and entry must not be called before wire has set the steward.
func (n *Node) self() string { return n.Steward.Self() }

func (n *Node) entry() roster.Entry { return n.Steward.Entry() }

func (n *Node) registerGauges() {
	gauge := func(name string, f func() float64) { n.Metrics.NewGauge("plantainwheel_"+name, f) }
	gauge("offset", func() float64 { return float64(n.Follower.State().Offset) })
	gauge("settled_offset", func() float64 { return float64(n.Follower.Settled()) })
	gauge("confirmed", func() float64 { return boolToFloat(n.Follower.Confirmed()) })
	gauge("reading_platform", func() float64 { return boolToFloat(n.Follower.Reading()) })
	gauge("members", func() float64 { return float64(len(n.Follower.State().Members)) })
	gauge("slots_open", func() float64 { return float64(n.Teller.Open()) })
	gauge("request_ids", func() float64 { return float64(n.Claimer.Len()) })
	gauge("in_flight", func() float64 { return float64(n.Guard.Load().InFlight) })
	gauge("queued", func() float64 { return float64(n.Guard.Load().Queued) })
	gauge("limit", func() float64 { return float64(n.Guard.Load().Limit) })
	gauge("level", func() float64 { return float64(n.Guard.Load().Level) })
}

func boolToFloat(ok bool) float64 {
	if ok {
		return 1
	}
	return 0
}

func (n *Node) describe(e *roster.Entry) {
	if service := n.service.Load(); service != nil {
		e.Service = *service
	}
	load := n.Guard.Load()
	e.InFlight = load.InFlight
	e.Queued = load.Queued
	e.Limit = load.Limit
	e.Level = load.Level
	e.ServiceTime = load.ServiceTime
	e.Draining = n.Guard.Draining()
}

// Announce registers the target beside the node. The declaration of its service limits its slots and
// connections.
func (n *Node) Announce(a listener.Announcement) {
	if declared, ok := n.Follower.State().Service(a.Service); ok {
		a.Slots = min(a.Slots, declared.Slots)
		a.Connections = min(a.Connections, declared.Connections)
	}
	n.Dispatcher.Connect(a.Address, a.Connections)
	n.service.Store(&a.Service)
	n.Guard.Open(a.Slots, a.ColdStart)
	n.Events.Add(recorder.Event{Kind: recorder.Announced, Detail: a.Service + " at " + a.Address})
	n.Log.Info().Str("service", a.Service).Str("address", a.Address).Msg("target announced")
	n.Steward.Entry()
}

// Drain stops admitting calls to the target and notifies the other nodes.
func (n *Node) Drain() {
	n.Guard.Drain()
	n.Events.Add(recorder.Event{Kind: recorder.Draining})
	n.Log.Info().Msg("target draining")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.Steward.ExchangeAll(ctx)
}

// Start starts the node's background tasks.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.tasks.Go(func() { n.Follower.Run(ctx) })
	n.tasks.Go(func() { n.Steward.Run(ctx) })
	n.tasks.Go(func() { n.Teller.Run(ctx) })
}

// Leave waits until the calls in flight have ended or ctx ends, stops lending rate tokens, hands the
// grant table over to a successor and leaves the fleet. Drain must be called before.
func (n *Node) Leave(ctx context.Context) {
	if err := n.Guard.Idle(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("drain timed out with calls in flight")
	}
	remainingLoan := n.Teller.Close(ctx, allSlots())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	successor := n.Claimer.HandOver(ctx, n.successorCandidates())
	n.Steward.Leave(ctx, successor, remainingLoan)
	n.Events.Add(recorder.Event{Kind: recorder.Stopped, Detail: "successor " + successor})
}

func allSlots() []int {
	list := make([]int, reducer.Slots)
	for i := range list {
		list[i] = i
	}
	return list
}

// successorCandidates returns the members that may take over the grant table, rotated by a random
// offset.
func (n *Node) successorCandidates() []string {
	members := n.Follower.State().MemberList()
	if len(members) == 0 {
		return nil
	}
	start := rand.IntN(len(members))
	var list []string
	for i := range members {
		list = append(list, members[(start+i)%len(members)].ID())
	}
	return list
}

// Close stops the background tasks, waits for them and closes the connections.
func (n *Node) Close() {
	n.stop()
	n.tasks.Wait()
	n.Claimer.Close()
	n.Messenger.Close()
	n.Dispatcher.Close()
}
