// Package attendant assembles and runs the node process that serves one target on a VM of the users' platform.
package attendant

import (
	"context"
	"io"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/event/loglimiter"
	"github.com/plantainwheel/plantainwheel/internal/fleet/isolator"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/peer/reporter"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// configPollTimeout is how long a read of the configuration in the store waits for a new record. Few nodes read the
	// store, and what the others know is older by the time between two of their questions.
	configPollTimeout = 700 * time.Millisecond
	// neighbourConfigShare is the maximum age, as a share of the key revocation bound, of the configuration that another
	// node has read from the store when it is asked. It is more than two reads take.
	neighbourConfigShare = 0.34
	// configMaxAgeShare is the maximum age of a configuration as a share of the key revocation bound. The rest of
	// the bound covers differences between the clocks of VMs.
	configMaxAgeShare = 0.9
	// peerQueryShare is the age of the configuration, as a share of the key revocation bound, above which other
	// nodes are asked for the configuration.
	peerQueryShare = 0.6
	// nodeSilenceTimeout is the time without a report after which a node is avoided.
	nodeSilenceTimeout = 3500 * time.Millisecond
	// tickInterval is the interval of the periodic work.
	tickInterval = 50 * time.Millisecond
	// planInterval is the interval at which the admission plan is recomputed.
	planInterval = 100 * time.Millisecond
	// costsInterval is the interval at which the costs of requests are summed up over all nodes. They change slowly.
	costsInterval = 500 * time.Millisecond
	// housekeepingInterval is the interval at which idle connections are closed and the load is logged.
	housekeepingInterval = time.Second
	// refusedLinesPerSecond and servedLinesPerSecond limit the log lines for refused requests and for a sample of
	// the served ones. A line costs about 3 us, so that logging uses less than a thousandth of a core.
	refusedLinesPerSecond = 20
	servedLinesPerSecond  = 2
	// targetLinesPerSecond limits the log lines on what the target says in its answers, which may change with each.
	targetLinesPerSecond = 2
	// silenceLogInterval is the minimum time between two log lines on members that are not heard.
	silenceLogInterval = time.Second
	// quarantineInterval is the interval at which records of quarantined requests are written, and the pause after a failure.
	quarantineInterval = time.Second
	// retryBudgetShare is the share of the fleet's retry budget that nodes use. The rest is left unused because a
	// retry also counts as a retry at the services that its child calls reach.
	retryBudgetShare = 0.5
	// memoryLimitShare is the share of the VM's memory that is set as the runtime's memory limit. Above it the
	// garbage collector runs regardless of its cost.
	memoryLimitShare = 0.6
	// gcPercent trades memory, which costs money, against CPU time. One request, including the work of the stand-ins,
	// costs 428 us at 50, 351 us at 100 and 313 us at 200, while the peak heap size grows with the value.
	gcPercent = 100
)

// Attendant is a node. Settings and Log must be set before Build.
type Attendant struct {
	Settings platform.Settings
	Log      *log.Logger
	// OnEvacuationEnd is called before the target gets requests again after the evacuation of its data centre, because the
	// target may have become cold. If it is not set before Build, the executor then takes the target for possibly cold.
	OnEvacuationEnd func()

	Metrics    *metrics.Set
	keeper     *keeper.Keeper
	tracker    *tracker.Tracker
	executor   *executor.Executor
	isolator   *isolator.Isolator
	gateway    *gateway.Gateway
	watcher    *watcher.Watcher
	copy       *distributor.Copy
	reporter   *reporter.Reporter
	poller     *adviser.Poller
	pools      []*transporter.Pool
	targets    *transporter.Pool
	processors processors
	servers    []*server
	ready      atomic.Bool
	started    time.Time
	cancel     context.CancelFunc
	background sync.WaitGroup
	publishMu  sync.Mutex
	// targetLogLimiter limits the log lines on what the target says in its answers.
	targetLogLimiter loglimiter.Limiter
	// invalidLogLimiter limits the log lines on responses of the target that are no answers.
	invalidLogLimiter loglimiter.Limiter
	// acceptorLogLimiter limits the log lines on clients that are refused or disconnected.
	acceptorLogLimiter loglimiter.Limiter

	// evacuations is nil in deployments without evacuations.
	evacuations *keeper.Evacuations

	// silentMembers is the number of members that share the rate limits and are not heard. Only shareLimits uses it and the
	// fields below.
	silentMembers   *metrics.Gauge
	someSilent      bool
	silenceLoggedAt time.Time

	// targetCold is the condition of the target that was last logged. Only logCold uses it.
	targetCold bool

	// meanCosts holds the costs of a request of each route at the time costsAt, and totalCosts those with all calls. Only
	// plan uses them.
	meanCosts  map[string]allocator.RouteCosts
	totalCosts allocator.TotalCosts
	costsAt    time.Time
	// sharesAt is when the shares of the client accounts were computed. Only plan uses it.
	sharesAt time.Time
	flows    flowState

	cutMetrics cutMetrics

	// planMu guards the results of the last plan. No other lock is acquired while it is held.
	planMu        sync.Mutex
	demand        map[string]float64
	admittedShare float64
	admission     admission
	correction    regulator.Correction
	// reported is the load in the last report.
	reported loadReport
}

// NewLogger returns a logger that writes JSON lines with the node's name.
func NewLogger(w io.Writer, node string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Context: log.NewContext(nil).Str("node", node).Value(), Writer: &log.IOWriter{Writer: w}}
}

// Build creates the components of the node.
func (a *Attendant) Build() {
	cfg := &a.Settings
	a.Metrics = metrics.NewSet()
	a.admittedShare = 1
	a.silentMembers = a.Metrics.NewGauge("rate_limit_silent_members", nil)
	a.targetLogLimiter.PerSecond = targetLinesPerSecond
	a.invalidLogLimiter.PerSecond = targetLinesPerSecond
	a.acceptorLogLimiter.PerSecond = acceptorLinesPerSecond
	a.keeper = &keeper.Keeper{Decode: platform.DecodeConfig}
	a.tracker = &tracker.Tracker{Self: cfg.Node, DataCentre: cfg.DataCentre, ReportTimeout: nodeSilenceTimeout}
	targets := executor.NewPool(a.Metrics)
	a.targets = targets
	peers := forwarder.NewPool()
	a.pools = []*transporter.Pool{targets, peers}
	a.executor = executor.New(targets)
	a.executor.OnStateChange = a.handleTargetState
	a.observeInvalidAnswers()
	a.isolator = &isolator.Isolator{Self: cfg.Node, Log: a.Log, Metrics: a.Metrics}
	a.executor.Guard = a.isolator
	a.buildEvacuations()
	a.observeCold(targets)
	a.executor.Objective = a.objective
	a.executor.OnSend = a.Metrics.NewCounter("target_requests_sent_total").Inc
	a.Metrics.NewGauge("target_requests_running", func() float64 { return float64(a.executor.Load().Running) })
	wake := make(chan struct{}, 1)
	a.copy = &distributor.Copy{Now: timekeeper.SinceBoot, OnQuestion: func(topic string, stale bool) bool { return a.watcher.HandleQuestion(topic, stale) }}
	a.watcher = &watcher.Watcher{
		Store:      &watcher.CountingStore{Store: platform.NewStore(cfg.StoreAddress), Metrics: a.Metrics},
		Neighbours: distributor.NewClient(timekeeper.SinceBoot), Copy: a.copy, Metrics: a.Metrics,
		MaxConfigAge: a.maxNeighbourAge(), Evacuations: a.evacuations, Keeper: a.keeper, Tracker: a.tracker,
		Log: a.Log, Self: cfg.Node, ConfigWait: configPollTimeout, ConfigApply: cfg.Bounds.ConfigApply, OnOwnMember: a.restoreTarget,
		SettlePeriod: cfg.Bounds.ConfigApply, MaxSettlePeriod: cfg.Bounds.KeyRevocation,
		OwnCosts: a.costRecord, OnStoredCosts: a.restoreCosts, OnEra: func() { notify(wake) },
		Quarantine: a.isolator,
	}
	a.poller = &adviser.Poller{
		Keeper: a.keeper, Tracker: a.tracker, Log: a.Log, PollAfter: scale(cfg.Bounds.KeyRevocation, peerQueryShare), Wake: wake,
		HTTP: adviser.NewHTTPClient(), Evacuations: a.evacuations, PollEvacuationsAfter: scale(cfg.Bounds.Evacuate, evacuationGoalShare),
	}
	a.Metrics.NewGauge("configuration_age_seconds", func() float64 { return a.keeper.Age(timekeeper.SinceBoot()).Seconds() })
	a.gateway = a.newGateway(peers)
	a.reporter = &reporter.Reporter{
		Listen: cfg.IP + ":" + strconv.Itoa(cfg.ReportPort), Tracker: a.tracker, Urgent: a.urgent, Immediate: a.executor.NoticeSlow, BuildReport: a.buildReport,
		BuildUsages: a.gateway.RateLimits.UnreportedUsages, OnUsages: a.gateway.RateLimits.Receive, Crashes: a.isolator,
		BuildDemand: a.buildDemand, DemandUrgent: a.demandUrgent, Metrics: a.Metrics,
	}
	a.servers = a.newServers()
	debug.SetGCPercent(gcPercent)
	if cfg.Cores > 0 {
		a.processors.init(cfg.Cores)
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
}

// objective returns the response-time objective of a route in the configuration in force, or 0 if there is none.
func (a *Attendant) objective(route string) time.Duration {
	table := a.keeper.Table()
	if table == nil {
		return 0
	}
	if r := table.Named(route); r != nil {
		return r.Objective
	}
	return 0
}

// notify sends a value unless one is pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// scale returns the given share of a duration.
func scale(span time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(span))
}

func (a *Attendant) newGateway(peers *transporter.Pool) *gateway.Gateway {
	cfg := &a.Settings
	return &gateway.Gateway{
		Keeper: a.keeper, Tracker: a.tracker, Executor: a.executor,
		Sender:       &forwarder.Forwarder{Pool: peers, LoadTracker: a.tracker},
		RateLimits:   gateway.NewRateLimits(cfg.Bounds.RateWindow),
		Shedder:      gateway.NewShedder(),
		Returns:      gateway.NewReturns(a.Metrics),
		Isolator:     a.isolator,
		RetryBudgets: &gateway.RetryBudgets{RefillPerAttempt: retryBudgetShare * cfg.Bounds.RetryShare, Capacity: 2},
		Log:          a.Log, RefusedLogLimiter: &loglimiter.Limiter{PerSecond: refusedLinesPerSecond},
		ServedLogLimiter: &loglimiter.Limiter{PerSecond: servedLinesPerSecond}, Metrics: gateway.NewMetrics(a.Metrics),
		NodeName: cfg.Node, Service: cfg.Service, MaxConfigAge: scale(cfg.Bounds.KeyRevocation, configMaxAgeShare),
	}
}

// Start opens the sockets and starts the background tasks.
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
		a.watcher.FollowConfig, a.watcher.FollowMembers, a.watcher.PublishOwn, a.watcher.SyncCosts, a.watcher.FollowEras,
		a.reporter.Run, a.poller.Run, a.tick, a.storeQuarantine,
	} {
		a.background.Go(func() { run(ctx) })
	}
	a.ready.Store(true)
	a.Log.Info().Str("service", a.Settings.Service).Str("data-centre", a.Settings.DataCentre).Msg("node started")
	return nil
}

// tick runs the periodic work until the context ends.
func (a *Attendant) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastPlan, lastHousekeeping time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.executor.Tick()
			a.logCold()
			a.processors.tick(now)
			if now.Sub(lastPlan) >= planInterval {
				lastPlan = now
				a.plan(now)
			}
			if now.Sub(lastHousekeeping) >= housekeepingInterval {
				lastHousekeeping = now
				a.housekeep()
			}
		}
	}
}

// storeQuarantine writes the records of quarantined requests until the context ends.
func (a *Attendant) storeQuarantine(ctx context.Context) {
	waiter.Every(ctx, quarantineInterval, func(ctx context.Context) {
		for _, r := range a.isolator.Unstored(a.otherNodes()) {
			if err := a.watcher.PutQuarantine(ctx, r.Key, r.Value); err != nil {
				a.Log.Warn().Err(err).Str("key", r.Key).Msg("writing the record of a quarantined request failed")
				return
			}
			a.isolator.Load(r.Key, r.Value)
		}
	})
}

// otherNodes returns the names of the other members.
func (a *Attendant) otherNodes() []string {
	var names []string
	for _, m := range a.tracker.OtherMembers() {
		names = append(names, m.Node)
	}
	return names
}

// housekeep closes idle and overdue connections and logs the load.
func (a *Attendant) housekeep() {
	for _, p := range a.pools {
		p.CloseExpired()
	}
	for _, s := range a.servers {
		s.acceptor.Expire(time.Now())
	}
	a.boundConnections()
	a.isolator.Tick()
	a.logLoad()
	a.publishCuts()
}

// boundConnections derives the number of connections to the target from its announcement, the configuration and the VM.
func (a *Attendant) boundConnections() {
	target, maxConns := a.executor.Target(), 0
	if table := a.keeper.Table(); table != nil {
		for i := range table.Config.Services {
			if s := &table.Config.Services[i]; s.Name == target.Service {
				maxConns = s.MaxConns
			}
		}
	}
	a.targets.SetMaxIdle(executor.MaxConnections(target.Slots, maxConns, a.Settings.MemoryMB))
}

// restoreTarget restores the target's state from the member record of an earlier process of this node. The target may have
// announced itself before the record was read.
func (a *Attendant) restoreTarget(m tracker.Member) {
	changed := a.executor.RestoreTarget(executor.Target{
		ID: m.Target, Service: m.Service, StartedAtMs: m.StartedAtMs, Slots: m.Slots, DepartedAtMs: m.DepartedAtMs,
		Draining: m.State == tracker.Draining, Gone: m.State == tracker.Gone,
	})
	if changed {
		a.Log.Info().Str("target", m.Target).Str("state", string(m.State)).Msg("departure of the target restored")
		a.publish()
	}
}

// isReady reports whether clients should send requests to this node. A node without a recently confirmed
// configuration is not ready.
func (a *Attendant) isReady() bool {
	return a.ready.Load() && a.keeper.Table() != nil && a.keeper.Age(timekeeper.SinceBoot()) < a.gateway.MaxConfigAge
}

// Stop shuts the node down gracefully within the timeout.
func (a *Attendant) Stop(timeout time.Duration) {
	start := time.Now()
	a.Log.Info().Msg("node stopping")
	a.ready.Store(false)
	acceptUntil, closeAt := start.Add(min(maxAcceptTime, timeout)), start.Add(timeout)
	for _, s := range a.servers {
		s.lastRequests.Store(true)
	}
	a.gateway.BeginStop(gateway.Stop{AcceptUntil: acceptUntil.Add(-acceptMargin), CloseAt: closeAt})
	a.publishStopping()
	time.Sleep(min(targetStopDelay, timeout/2))
	a.executor.Stop()
	for time.Now().Before(acceptUntil) && (time.Since(start) < minServeTime || a.busy()) {
		time.Sleep(tickInterval)
	}
	a.closeServers(closeAt)
	a.cancel()
	a.background.Wait()
	a.reporter.Close()
	for _, p := range a.pools {
		p.Close()
	}
	a.Log.Info().Dur("took", time.Since(start)).Msg("node stopped")
}

// busy reports whether a request is in flight in the gateway or the executor.
func (a *Attendant) busy() bool { return a.gateway.InFlight() > 0 || a.executor.Load().Running > 0 }

// closeServers closes all servers concurrently, because closing them in sequence would exceed the grace time.
func (a *Attendant) closeServers(deadline time.Time) {
	var closing sync.WaitGroup
	for _, s := range a.servers {
		closing.Go(func() { s.close(deadline) })
	}
	closing.Wait()
}

const (
	// targetStopDelay is the time after the start of a shutdown during which requests for the node's target are
	// accepted from nodes that do not yet know of the shutdown.
	targetStopDelay = 700 * time.Millisecond
	// minServeTime is the minimum time for which the node serves after the start of a shutdown. The platform probes
	// readiness once a second and redirects clients after two failed probes.
	minServeTime = 2500 * time.Millisecond
	// maxAcceptTime is the maximum time after the start of a shutdown during which new connections are accepted while
	// requests are in flight. Clients may keep sending if too few nodes are ready.
	maxAcceptTime = 3 * time.Second
	// acceptMargin is how long before that the node begins to refuse requests that might not end before the connections
	// are closed. The shutdown starts somewhat later than the platform's signal, from which callers count.
	acceptMargin = 200 * time.Millisecond
)
