// Package attendant wires the node that attends one target on a VM of the users' platform.
package attendant

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/event/limiter"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/peer/reporter"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
	"github.com/plantainwheel/plantainwheel/internal/route/courier"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// configWait is how long a read of the configuration waits for news.
	configWait = 1500 * time.Millisecond
	// freshShare is the part of the revocation bound for which a configuration is believed; the rest covers
	// what differs between the clocks of VMs.
	freshShare = 0.9
	// askShare is the part of the revocation bound after which other nodes are asked.
	askShare = 0.6
	// silentAfter is when a node that sends no reports is avoided.
	silentAfter = 3500 * time.Millisecond
	// tickEvery is the pace of the background work.
	tickEvery = 50 * time.Millisecond
	// planEvery is the pace at which the entrance is planned.
	planEvery = 100 * time.Millisecond
	// trimEvery is the pace at which idle connections are closed.
	trimEvery = time.Second
	// targetKeep is how long an idle connection to the target is kept.
	targetKeep = 6 * time.Second
	// linesPerSecond bounds the log of refused requests, servedLinesPerSecond the sample of the served ones; a
	// line costs some 3 us, a thousandth of a core in all.
	linesPerSecond       = 20
	servedLinesPerSecond = 2
	// retryPart is the part of the fleet's retry budget that nodes use: repeats are also counted where they
	// cause calls.
	retryPart = 0.5
	// memoryShare is the part of the VM's memory beyond which garbage is collected at any price.
	memoryShare = 0.6
	storeIdle   = 2
	// garbagePercent weighs memory, which is paid for, against processor time: at 50 a request costs 428 us with
	// its stand-ins, at 100 351, at 200 313, and the heap at its peak grows with it.
	garbagePercent = 100
)

// Attendant is one node. Its fields are set before Start.
type Attendant struct {
	Settings platform.Settings
	Log      *log.Logger

	Metrics   *metrics.Set
	keeper    *keeper.Keeper
	tracker   *tracker.Tracker
	executor  *executor.Executor
	gateway   *gateway.Gateway
	watcher   *watcher.Watcher
	reporter  *reporter.Reporter
	asker     *adviser.Asker
	pools     []*courier.Pool
	servers   []*server
	ready     atomic.Bool
	started   time.Time
	cancel    context.CancelFunc
	running   sync.WaitGroup
	publishMu sync.Mutex

	// planMu guards what the last plan found; it is a leaf.
	planMu sync.Mutex
	demand map[string]float64
	share  float64
	trim   regulator.Trim
}

// NewLogger returns a logger that writes lines of JSON.
func NewLogger(w io.Writer, node string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Context: log.NewContext(nil).Str("node", node).Value(), Writer: &log.IOWriter{Writer: w}}
}

// Build makes the parts of the node.
func (a *Attendant) Build() {
	cfg := &a.Settings
	a.Metrics = metrics.NewSet()
	a.share = 1
	a.keeper = &keeper.Keeper{Decode: platform.DecodeConfig}
	a.tracker = &tracker.Tracker{Self: cfg.Node, DataCentre: cfg.DataCentre, SilentAfter: silentAfter}
	targets := &courier.Pool{KeepFor: targetKeep, Opened: a.Metrics.NewCounter("target_connections_opened_total").Inc}
	peers := forwarder.NewPool()
	a.pools = []*courier.Pool{targets, peers}
	a.executor = executor.New(targets)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: storeIdle, IdleConnTimeout: 20 * time.Second}}
	a.watcher = &watcher.Watcher{
		Store: &platform.Store{Address: cfg.StoreAddress, HTTP: client}, Keeper: a.keeper, Tracker: a.tracker,
		Log: a.Log, Self: cfg.Node, ConfigWait: configWait, Recalled: a.recall,
		OwnCosts: a.costs, RecalledCosts: a.recallCosts,
	}
	a.asker = &adviser.Asker{
		Keeper: a.keeper, Tracker: a.tracker, Log: a.Log, AskAfter: share(cfg.Bounds.Revoke, askShare),
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}},
	}
	a.gateway = a.newGateway(peers)
	a.reporter = &reporter.Reporter{
		Listen: cfg.IP + ":" + strconv.Itoa(cfg.ReportPort), Tracker: a.tracker, Urgent: a.urgent, Make: a.report,
		Take: a.takeReport,
	}
	a.servers = a.newServers()
	debug.SetGCPercent(garbagePercent)
	if cfg.Cores > 0 {
		// The runtime counts the processors of the host, and its threads then wait for each other.
		runtime.GOMAXPROCS(cfg.Cores)
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
}

func share(span time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(span))
}

func (a *Attendant) newGateway(peers *courier.Pool) *gateway.Gateway {
	cfg := &a.Settings
	return &gateway.Gateway{
		Keeper: a.keeper, Tracker: a.tracker, Executor: a.executor,
		Sender:   &forwarder.Forwarder{Pool: peers, Loads: a.tracker},
		Accounts: gateway.NewAccounts(cfg.Bounds.RateWindow),
		Entrance: gateway.NewEntrance(),
		Retries:  &gateway.Retries{Share: retryPart * cfg.Bounds.RetryShare, Reserve: 2},
		Log:      a.Log, Lines: &limiter.Limiter{PerSecond: linesPerSecond},
		ServedLines: &limiter.Limiter{PerSecond: servedLinesPerSecond}, Counts: gateway.NewCounts(a.Metrics),
		Self: cfg.Node, Service: cfg.Service, MostAge: share(cfg.Bounds.Revoke, freshShare),
	}
}

// Start opens the sockets and starts the background work.
func (a *Attendant) Start() error {
	if err := a.reporter.Open(); err != nil {
		return err
	}
	for _, s := range a.servers {
		if err := s.open(); err != nil {
			return err
		}
	}
	a.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	for _, run := range []func(context.Context){
		a.watcher.FollowConfig, a.watcher.FollowMembers, a.watcher.PublishOwn, a.watcher.KeepCosts,
		a.reporter.Run, a.asker.Run, a.tick,
	} {
		a.running.Go(func() { run(ctx) })
	}
	a.ready.Store(true)
	a.Log.Info().Str("service", a.Settings.Service).Str("data-centre", a.Settings.DataCentre).Msg("node started")
	return nil
}

// tick does the background work that is due with time.
func (a *Attendant) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var planned, trimmed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.executor.Tick()
			if now.Sub(planned) >= planEvery {
				planned = now
				a.plan(now)
			}
			if now.Sub(trimmed) >= trimEvery {
				trimmed = now
				a.eachSecond()
			}
		}
	}
}

func (a *Attendant) eachSecond() {
	for _, p := range a.pools {
		p.Trim()
	}
	a.logLoad()
}

// recall takes over the promises of an earlier process of this node.
func (a *Attendant) recall(m tracker.Member) {
	a.executor.RestoreTarget(executor.Target{
		ID: m.Target, Service: m.Service, Born: m.Born, Slots: m.Slots,
		Draining: m.State == tracker.Draining, Gone: m.State == tracker.Gone,
	})
}

// isReady says whether clients should send their requests here.
func (a *Attendant) isReady() bool {
	return a.ready.Load() && a.keeper.Table() != nil && a.keeper.Age(timekeeper.Now()) < a.gateway.MostAge
}

// Stop ends the node gracefully within the given time.
func (a *Attendant) Stop(within time.Duration) {
	began := time.Now()
	a.Log.Info().Msg("node stops")
	a.ready.Store(false)
	a.gateway.Stopping.Store(true)
	a.publishStopping()
	time.Sleep(min(leaveAfter, within/2))
	a.executor.Stop()
	for time.Since(began) < min(takeUntil, within) && (time.Since(began) < serveAfter || a.busy()) {
		time.Sleep(tickEvery)
	}
	a.closeServers(began.Add(within))
	a.cancel()
	a.reporter.Close()
	a.running.Wait()
	for _, p := range a.pools {
		p.Close()
	}
	a.Log.Info().Dur("took", time.Since(began)).Msg("node stopped")
}

// busy says whether a request is on its way through the node.
func (a *Attendant) busy() bool { return a.gateway.InFlight() > 0 || a.executor.Load().Running > 0 }

// closeServers closes all at once: one after the other they would not end within the grace time.
func (a *Attendant) closeServers(latest time.Time) {
	var closing sync.WaitGroup
	for _, s := range a.servers {
		closing.Go(func() { s.close(a.busy, latest) })
	}
	closing.Wait()
}

const (
	// leaveAfter is how long after the begin of a stop requests for the own target are still taken from
	// nodes that have not heard of it.
	leaveAfter = 700 * time.Millisecond
	// serveAfter is how long the node serves after the begin of a stop: the platform asks each second
	// whether it is ready, and sends clients elsewhere after two misses.
	serveAfter = 2500 * time.Millisecond
	// takeUntil is how long after the begin of a stop new requests are taken while others are still served: clients
	// may keep sending, where too few nodes are ready, and what is taken late cannot be finished.
	takeUntil = 3 * time.Second
)
