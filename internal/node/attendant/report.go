package attendant

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/estimator"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

// plan updates the admission plan from the costs, slots and demand that all nodes report.
func (a *Attendant) plan(now time.Time) {
	if now.Sub(a.costsAt) >= costsInterval || now.Sub(a.started) < startupUrgentPeriod {
		a.costsAt = now
		a.meanCosts = a.tracker.RouteCosts(now)
		a.totalCosts = allocator.NewTotalCosts(a.meanCosts)
	}
	costs := a.totalCosts
	services := a.tracker.Services(now)
	a.shareLimits(now)
	demand := a.gateway.Shedder.UpdateDemand(costs)
	shares := map[string]float64{}
	for name, s := range services {
		shares[name] = regulator.AdmittedShare(s.Slots, s.Correction, s.Demand+demand[name])
	}
	byDataCentre := a.updateAdmission(now, costs, services)
	a.planFlows(now, byDataCentre)
	rejected := a.executor.Load().Rejected
	a.planMu.Lock()
	defer a.planMu.Unlock()
	a.demand = demand
	service := a.executor.Target().Service
	a.admittedShare = min(1, shares[service])
	if a.isEvacuated() {
		// Nothing is shed for the sake of this target, so its node need not report at the urgent interval.
		a.admittedShare = 1
	}
	a.correction.Reject(now, rejected)
	a.correction.Tick(now, services[service].Load)
}

// logLoad logs the target's load while the admission plan sheds requests for the target's service or the target's
// failure rate is high.
func (a *Attendant) logLoad() {
	load := a.executor.Load()
	a.planMu.Lock()
	share, correction := a.admittedShare, a.correction.Value()
	a.planMu.Unlock()
	if load.Limit == 0 || (share >= 1 && load.FailureRate < loggedFailureRate) {
		return
	}
	a.Log.Info().
		Int("running", load.Running).
		Int("waiting", load.Waiting).
		Int("limit", load.Limit).
		Float64("load", load.Mean).
		Float64("share", share).
		Float64("trim", correction).
		Float64("failing", load.FailureRate).
		Bool("up", load.Up).
		Msg("target under load")
}

// handleTargetState logs what the target's answers newly say about its state, and publishes that the target leaves.
func (a *Attendant) handleTargetState(s platform.TargetState) {
	if s.Leaving {
		a.publish()
	}
	ok, dropped := a.targetLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	a.Log.Info().
		Str("target", a.executor.Target().ID).
		Bool("limited", s.LimitNamed).
		Float64("limit", s.Limit).
		Bool("malformed", s.LimitMalformed).
		Bool("leaving", s.Leaving).
		Int("lines-left-out", dropped).
		Msg("target state changed")
}

// observeInvalidAnswers counts and logs the responses of the target that are no answers.
func (a *Attendant) observeInvalidAnswers() {
	counters := map[string]*metrics.Counter{}
	for _, defect := range executor.Defects {
		counters[defect] = a.Metrics.NewCounter(fmt.Sprintf("target_invalid_answers_total{defect=%q}", defect))
	}
	a.executor.OnInvalidAnswer = func(requestID string, status int, defect string) {
		counters[defect].Inc()
		ok, dropped := a.invalidLogLimiter.Allow(time.Now())
		if !ok {
			return
		}
		a.Log.Warn().
			Str("request", requestID).
			Str("target", a.executor.Target().ID).
			Int("status", status).
			Str("defect", defect).
			Int("lines-left-out", dropped).
			Msg("invalid answer of the target")
	}
}

// urgentLoad is the load per slot above which reports are sent at the urgent interval.
const urgentLoad = 0.7

// loggedFailureRate is the failure rate at or above which the target's load is logged.
const loggedFailureRate = 0.1

// startupUrgentPeriod is how long after its start a node reports at the urgent interval. Other nodes do not know
// the demand that enters at a new node, and after a loss of all nodes each node knows only its own demand.
const startupUrgentPeriod = 3 * time.Second

// crashUrgentPeriod is how long after a crash of its target a node reports at the urgent interval, so that the service's
// smaller capacity is known at once.
const crashUrgentPeriod = 5 * time.Second

// urgent reports whether reports must be sent at the urgent interval: the node has just started, its target has just
// crashed, or the target is close to its limit, cold or rejects requests or its service sheds load, and the load has changed
// by much since the last report.
func (a *Attendant) urgent() bool {
	load := a.executor.Load()
	if time.Since(a.started) < startupUrgentPeriod || time.Since(load.CrashedAt) < crashUrgentPeriod {
		return true
	}
	a.planMu.Lock()
	defer a.planMu.Unlock()
	if load.Mean <= urgentLoad && a.admittedShare >= 1 && !load.Cold && load.Rejected == 0 {
		return false
	}
	return a.reported.changed(newLoadReport(&load, a.correction.Value(), a.demand))
}

// buildReport returns this node's report for the other nodes.
func (a *Attendant) buildReport() tracker.Report {
	load := a.executor.Load()
	r := tracker.Report{
		Node:          a.Settings.Node,
		Target:        a.executor.Target().ID,
		Running:       load.Occupied(),
		Waiting:       load.Waiting,
		Limit:         load.Limit,
		Up:            load.Up,
		Load:          float32(load.Mean),
		FailureRate:   float32(load.FailureRate),
		RouteCosts:    a.routeCosts(),
		AccountUsages: a.gateway.RateLimits.AccountUsages(),
	}
	a.planMu.Lock()
	defer a.planMu.Unlock()
	r.Correction = float32(a.correction.Value())
	a.reported = newLoadReport(&load, a.correction.Value(), a.demand)
	r.Demand = map[string]float32{}
	for service, slots := range a.demand {
		r.Demand[service] = float32(slots)
	}
	return r
}

// routeCosts returns the request costs that the node has learned for its target.
func (a *Attendant) routeCosts() []tracker.RouteCosts {
	var out []tracker.RouteCosts
	for _, c := range a.executor.RouteCosts() {
		calls := map[string]float32{}
		for k, v := range c.Calls {
			calls[k] = float32(v)
		}
		out = append(out, tracker.RouteCosts{Route: c.Route, HoldMs: float32(c.HoldTime.Seconds() * 1000), Calls: calls})
	}
	return out
}

// costRecord returns the learned request costs in their stored form, or none if enough other nodes of the service store
// theirs.
func (a *Attendant) costRecord() tracker.NodeCosts {
	service := a.executor.Target().Service
	if !a.tracker.WritesCosts(time.Now(), service) {
		return tracker.NodeCosts{}
	}
	return tracker.NodeCosts{Node: a.Settings.Node, Service: service, RouteCosts: a.routeCosts()}
}

// restoreCosts restores the request costs that a node had stored before this process started. Costs of the service of
// this node's target are also restored to its executor.
func (a *Attendant) restoreCosts(c tracker.NodeCosts) {
	a.tracker.Restore(c)
	if c.Service != a.Settings.Service {
		return
	}
	var costs []estimator.RouteCosts
	for _, r := range c.RouteCosts {
		calls := map[string]float64{}
		for k, v := range r.Calls {
			calls[k] = float64(v)
		}
		hold := time.Duration(float64(r.HoldMs) * float64(time.Millisecond))
		costs = append(costs, estimator.RouteCosts{Route: r.Route, HoldTime: hold, Calls: calls})
	}
	a.executor.RestoreCosts(costs)
}

// shareLimits tells the rate limits which nodes share them, once the members are known. It logs when all members are heard
// again or some no longer are, since an account then gets another part of its rate here.
func (a *Attendant) shareLimits(now time.Time) {
	if !a.watcher.MembersKnown() {
		return
	}
	others := a.tracker.Sharing(now)
	silent := a.gateway.RateLimits.SetMembers(others)
	a.silentMembers.Set(float64(silent))
	if (silent > 0) == a.someSilent || now.Sub(a.silenceLoggedAt) < silenceLogInterval {
		return
	}
	a.someSilent, a.silenceLoggedAt = silent > 0, now
	a.Log.Info().Int("silent", silent).Int("members", len(others)+1).Msg("members not heard changed")
}

// memberRecord returns the member record of this node.
func (a *Attendant) memberRecord() tracker.Member {
	cfg := &a.Settings
	t := a.executor.Target()
	m := tracker.Member{
		Node:           cfg.Node,
		Address:        cfg.InboundListen,
		ControlAddress: a.controlAddress(),
		ReportAddress:  a.reporter.Listen,
		DataCentre:     cfg.DataCentre,
		Service:        t.Service,
		Target:         t.ID,
		StartedAtMs:    t.StartedAtMs,
		Slots:          t.Slots,
		Version:        t.Version,
		DepartedAtMs:   t.DepartedAtMs,
		State:          tracker.Ready,
		WarmUpEndMs:    t.WarmUpEnd.UnixMilli(),
		TakesBatches:   true,
		TakesDemand:    true,

		RecognisesCopies: true,
	}
	switch {
	case t.Gone:
		m.State = tracker.Gone
	case t.Draining:
		m.State = tracker.Draining
	}
	return m
}

// publish writes this node's member record. The channel is closed once the record is stored.
func (a *Attendant) publish() <-chan struct{} {
	a.publishMu.Lock()
	defer a.publishMu.Unlock()
	return a.watcher.Publish(a.memberRecord())
}

// publishStopping publishes that this node is stopping, so that other nodes send no more requests to its target.
func (a *Attendant) publishStopping() {
	a.publishMu.Lock()
	defer a.publishMu.Unlock()
	m := a.memberRecord()
	if m.Target != "" && m.State == tracker.Ready {
		m.State = tracker.Stopping
		a.watcher.Publish(m)
	}
}
