package attendant

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/apportioner"
	"github.com/plantainwheel/plantainwheel/internal/policy/attributor"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
)

// plan works out what the entrance lets in from what all nodes have told.
func (a *Attendant) plan(now time.Time) {
	costs := apportioner.Close(a.tracker.Rows(now))
	services := a.tracker.Services(now)
	a.gateway.Accounts.Fleet(a.liveNodes(now))
	demand := a.gateway.Entrance.Measure(costs)
	shares := map[string]float64{}
	for name, s := range services {
		shares[name] = regulator.Share(s.Slots, s.Trim, s.Demand+demand[name])
	}
	a.gateway.Entrance.Plan(costs, shares)
	a.planMu.Lock()
	defer a.planMu.Unlock()
	a.demand = demand
	own := a.executor.Target().Service
	a.share = min(1, shares[own])
	a.trim.Tick(now, services[own].Load)
}

// logLoad writes what the node knows of its target and its entrance, while the target is close to its bound.
func (a *Attendant) logLoad() {
	load := a.executor.Load()
	a.planMu.Lock()
	share, trim := a.share, a.trim.Value()
	a.planMu.Unlock()
	if load.Limit == 0 || (share >= 1 && load.FailureRate < loggedFailing) {
		return
	}
	a.Log.Info().
		Int("running", load.Running).
		Int("waiting", load.Waiting).
		Int("limit", load.Limit).
		Float64("load", load.Mean).
		Float64("share", share).
		Float64("trim", trim).
		Float64("failing", load.FailureRate).
		Bool("up", load.Up).
		Msg("target under load")
}

// urgentLoad is the load from which the other nodes must hear soon.
const urgentLoad = 0.7

// loggedFailing is the share of failed runs from which the target's load is logged.
const loggedFailing = 0.1

// newsPeriod is how long after its start a node tells of itself often: the others know nothing of what enters
// there, and after a loss of all nodes nobody knows more than its own part.
const newsPeriod = 3 * time.Second

// urgent says whether the other nodes must hear soon: the target or an account is close to its bound, or the
// node has just started.
func (a *Attendant) urgent() bool {
	if time.Since(a.started) < newsPeriod || a.gateway.Accounts.Urgent() || a.executor.Load().Mean > urgentLoad {
		return true
	}
	a.planMu.Lock()
	defer a.planMu.Unlock()
	return a.share < 1
}

// report makes the own report.
func (a *Attendant) report() tracker.Report {
	load := a.executor.Load()
	r := tracker.Report{
		Node:    a.Settings.Node,
		Target:  a.executor.Target().ID,
		Running: load.Running,
		Waiting: load.Waiting,
		Limit:   load.Limit,
		Up:      load.Up,
		Load:    float32(load.Mean),
		Failing: float32(load.FailureRate),
		Rows:    a.rows(),
		Tallies: a.gateway.Accounts.Tallies(),
	}
	a.planMu.Lock()
	defer a.planMu.Unlock()
	r.Trim = float32(a.trim.Value())
	r.Demand = map[string]float32{}
	for service, slots := range a.demand {
		r.Demand[service] = float32(slots)
	}
	return r
}

// rows returns what the node has learnt of its target.
func (a *Attendant) rows() []tracker.Row {
	var out []tracker.Row
	for _, row := range a.executor.Rows() {
		calls := map[string]float32{}
		for k, v := range row.Calls {
			calls[k] = float32(v)
		}
		out = append(out, tracker.Row{Route: row.Route, HoldMs: float32(row.Hold.Seconds() * 1000), Calls: calls})
	}
	return out
}

// costs returns what the node has learnt, as it is kept in the store.
func (a *Attendant) costs() tracker.Costs {
	return tracker.Costs{Node: a.Settings.Node, Service: a.executor.Target().Service, Rows: a.rows()}
}

// recallCosts takes over what a node had learnt before this process started.
func (a *Attendant) recallCosts(c tracker.Costs) {
	a.tracker.Recall(c)
	if c.Node != a.Settings.Node {
		return
	}
	var own []attributor.Row
	for _, r := range c.Rows {
		calls := map[string]float64{}
		for k, v := range r.Calls {
			calls[k] = float64(v)
		}
		hold := time.Duration(float64(r.HoldMs) * float64(time.Millisecond))
		own = append(own, attributor.Row{Route: r.Route, Hold: hold, Calls: calls})
	}
	a.executor.RestoreCosts(own)
}

// liveNodes returns the number of nodes that share the rates, or 0 before the members are known.
func (a *Attendant) liveNodes(now time.Time) int {
	if !a.watcher.MembersKnown() {
		return 0
	}
	return a.tracker.Live(now)
}

func (a *Attendant) takeReport(r *tracker.Report) {
	a.gateway.Accounts.Heard(r.Node, r.Tallies)
}

// member returns the own record.
func (a *Attendant) member() tracker.Member {
	cfg := &a.Settings
	t := a.executor.Target()
	m := tracker.Member{
		Node:           cfg.Node,
		Address:        cfg.InboundListen,
		ControlAddress: a.controlListen(),
		ReportAddress:  a.reporter.Listen,
		DataCentre:     cfg.DataCentre,
		Service:        t.Service,
		Target:         t.ID,
		Born:           t.Born,
		Slots:          t.Slots,
		State:          tracker.Ready,
		WarmAt:         t.WarmAt.UnixMilli(),
	}
	switch {
	case t.Gone:
		m.State = tracker.Gone
	case t.Draining:
		m.State = tracker.Draining
	}
	return m
}

// publish writes the own record; the channel is closed once it stands in the store.
func (a *Attendant) publish() <-chan struct{} {
	a.publishMu.Lock()
	defer a.publishMu.Unlock()
	return a.watcher.Publish(a.member())
}

// publishStopping tells the other nodes to send nothing more for the own target.
func (a *Attendant) publishStopping() {
	a.publishMu.Lock()
	defer a.publishMu.Unlock()
	m := a.member()
	if m.Target != "" && m.State == tracker.Ready {
		m.State = tracker.Stopping
		a.watcher.Publish(m)
	}
}
