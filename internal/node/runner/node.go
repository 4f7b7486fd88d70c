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
	"github.com/plantainwheel/plantainwheel/internal/node/deduplicator"
	"github.com/plantainwheel/plantainwheel/internal/node/follower"
	"github.com/plantainwheel/plantainwheel/internal/node/gossiper"
	"github.com/plantainwheel/plantainwheel/internal/node/limiter"
	"github.com/plantainwheel/plantainwheel/internal/node/ratelimiter"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/peer/messenger"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
	"github.com/plantainwheel/plantainwheel/internal/target/listener"
)

const (
	eventCapacity     = 8192
	requestIDCapacity = 200_000
	// clockMargin allows for the difference of clock rates between nodes over a confirmation window.
	clockMargin = 500 * time.Millisecond
	// leaveTimeout limits the time for the messages that a draining or leaving node sends.
	leaveTimeout = 4 * time.Second
)

// Peers sends messages to other nodes.
type Peers interface {
	broker.Peers
	gossiper.Peers
	ratelimiter.Peers
	deduplicator.Peers
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
	Settings     loader.Settings
	Log          *log.Logger
	Events       *recorder.Ring
	Metrics      *metrics.Set
	Follower     *follower.Follower
	Roster       *roster.Roster
	Limiter      *limiter.Limiter
	RateLimiter  *ratelimiter.Limiter
	Deduplicator *deduplicator.Deduplicator
	Gossiper     *gossiper.Gossiper
	Broker       *broker.Broker
	Messenger    *messenger.Client
	Dispatcher   *dispatcher.Dispatcher

	service atomic.Pointer[string]
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// New returns a node that follows the given stream.
func New(cfg loader.Settings, stream follower.Log, logger *log.Logger, transports Transports) *Node {
	n := &Node{Settings: cfg, Log: logger, Metrics: metrics.NewSet()}
	n.Events = &recorder.Ring{Node: cfg.VM, Capacity: eventCapacity, Clock: time.Now}
	n.Roster = &roster.Roster{Self: cfg.VM, DataCentre: cfg.DataCentre, Clock: time.Now}
	n.Limiter = &limiter.Limiter{Clock: time.Now, LimitEnabled: cfg.OverloadControl}
	n.Dispatcher = &dispatcher.Dispatcher{MaxBodyBytes: cfg.MaxBodyBytes}
	n.Follower = &follower.Follower{
		Log:         stream,
		Events:      n.Events,
		Clock:       time.Now,
		Window:      cfg.ConfirmationTTL.Duration,
		ClockMargin: clockMargin,
	}
	n.Follower.Init()
	n.Messenger = &messenger.Client{
		Roster:       n.Roster,
		Members:      n.Follower.State,
		Events:       n.Events,
		Token:        cfg.FleetToken,
		TLS:          transports.TLS,
		ControlBytes: n.Metrics.NewCounter("plantainwheel_control_bytes_total"),
		Clock:        time.Now,
	}
	if transports.Peers == nil {
		transports.Peers = n.Messenger
	}
	if transports.Target == nil {
		transports.Target = n.Dispatcher
	}
	n.wire(transports)
	n.registerGauges()
	n.Gossiper.Init()
	return n
}

func (n *Node) wire(transports Transports) {
	cfg := n.Settings
	n.RateLimiter = &ratelimiter.Limiter{View: n.Follower, Peers: transports.Peers, Clock: time.Now, Self: n.self}
	n.Deduplicator = &deduplicator.Deduplicator{
		View:      n.Follower,
		Peers:     transports.Peers,
		Clock:     time.Now,
		Self:      n.self,
		Retention: cfg.Retention.Duration,
		Capacity:  requestIDCapacity,
	}
	n.Gossiper = &gossiper.Gossiper{
		VM:            cfg.VM,
		DataCentre:    cfg.DataCentre,
		PeerAddress:   cfg.PeerListen,
		Seeds:         cfg.Seeds,
		Follower:      n.Follower,
		Roster:        n.Roster,
		Peers:         transports.Peers,
		Lender:        n.RateLimiter,
		Events:        n.Events,
		Clock:         time.Now,
		Describe:      n.describe,
		OnFenced:      n.Deduplicator.Reset,
		ExchangeEvery: cfg.ExchangeEvery.Duration,
		SuspectAfter:  cfg.SuspectAfter.Duration,
		SnapshotEvery: cfg.SnapshotEvery.Duration,
		Witnesses:     cfg.Witnesses,
	}
	n.Broker = &broker.Broker{
		View:            n.Follower,
		Roster:          n.Roster,
		Limiter:         n.Limiter,
		RateLimiter:     n.RateLimiter,
		Deduplicator:    n.Deduplicator,
		Peers:           transports.Peers,
		Target:          transports.Target,
		Events:          n.Events,
		Metrics:         broker.NewMetrics(n.Metrics),
		Clock:           time.Now,
		Random:          rand.Uint64,
		Self:            n.self,
		Entry:           n.entry,
		OverloadControl: cfg.OverloadControl,
		RetryBudget:     cfg.RetryBudget,
	}
}

// self returns the member ID of the node. It must not be called before wire has set Gossiper.
func (n *Node) self() string { return n.Gossiper.Self() }

// entry returns a new roster entry of the node. It must not be called before wire has set Gossiper.
func (n *Node) entry() roster.Entry { return n.Gossiper.RefreshEntry() }

// registerGauges registers the gauges that are read from the node's components.
func (n *Node) registerGauges() {
	gauge := func(name string, f func() float64) { n.Metrics.NewGauge("plantainwheel_"+name, f) }
	gauge("offset", func() float64 { return float64(n.Follower.State().Offset) })
	gauge("settled_offset", func() float64 { return float64(n.Follower.SettledOffset()) })
	gauge("confirmed", func() float64 { return boolToFloat(n.Follower.Confirmed()) })
	gauge("reading_platform", func() float64 { return boolToFloat(n.Follower.PlatformReachable()) })
	gauge("members", func() float64 { return float64(len(n.Follower.State().Members)) })
	gauge("slots_open", func() float64 { return float64(n.RateLimiter.OpenSlots()) })
	gauge("request_ids", func() float64 { return float64(n.Deduplicator.Len()) })
	gauge("in_flight", func() float64 { return float64(n.Limiter.Load().InFlight) })
	gauge("queued", func() float64 { return float64(n.Limiter.Load().Queued) })
	gauge("limit", func() float64 { return float64(n.Limiter.Load().Limit) })
	gauge("level", func() float64 { return float64(n.Limiter.Load().Level) })
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
	load := n.Limiter.Load()
	e.InFlight = load.InFlight
	e.Queued = load.Queued
	e.Limit = load.Limit
	e.Level = load.Level
	e.ServiceTime = load.ServiceTime
	e.Draining = n.Limiter.Draining()
}

// Announce registers the target beside the node. If the target's service is declared, the declaration limits
// the target's slots and connections.
func (n *Node) Announce(a listener.Announcement) {
	if declared, ok := n.Follower.State().Service(a.Service); ok {
		a.Slots = min(a.Slots, declared.Slots)
		a.Connections = min(a.Connections, declared.Connections)
	}
	n.Dispatcher.SetTarget(a.Address, a.Connections)
	n.service.Store(&a.Service)
	n.Limiter.Start(a.Slots, a.WarmUp)
	n.Events.Add(recorder.Event{Kind: recorder.TargetAnnounced, Detail: a.Service + " at " + a.Address})
	n.Log.Info().Str("service", a.Service).Str("address", a.Address).Msg("target announced")
	n.Gossiper.RefreshEntry()
}

// Drain stops admitting calls to the target and notifies the other nodes.
func (n *Node) Drain() {
	n.Limiter.Drain()
	n.Events.Add(recorder.Event{Kind: recorder.Draining})
	n.Log.Info().Msg("target draining")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.Gossiper.ExchangeAll(ctx)
}

// Start starts the node's background tasks.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.tasks.Go(func() { n.Follower.Run(ctx) })
	n.tasks.Go(func() { n.Gossiper.Run(ctx) })
	n.tasks.Go(func() { n.RateLimiter.Run(ctx) })
}

// Leave waits until the calls in flight or ctx have ended. It then stops lending rate tokens, hands the
// deduplicator's grant table over to a successor and leaves the fleet. Drain must be called before.
func (n *Node) Leave(ctx context.Context) {
	if err := n.Limiter.WaitIdle(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("drain timed out with calls in flight")
	}
	remainingLoan := n.RateLimiter.CloseSlots(ctx, allSlots())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	successor := n.Deduplicator.HandOver(ctx, n.successorCandidates())
	n.Gossiper.Leave(ctx, successor, remainingLoan)
	n.Events.Add(recorder.Event{Kind: recorder.Stopped, Detail: "successor " + successor})
}

func allSlots() []int {
	list := make([]int, reducer.RateSlotCount)
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
	n.Deduplicator.Close()
	n.Messenger.Close()
	n.Dispatcher.Close()
}
