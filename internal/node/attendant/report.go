package attendant

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/apportioner"
)

// plan works out what the entrance lets in from what all nodes have told.
func (a *Attendant) plan(now time.Time) {
	costs := apportioner.Close(a.tracker.Rows())
	a.gateway.Entrance.Plan(costs, a.tracker.Shares(now))
}

// report makes the own report. It is urgent while its target or an account is close to its bound.
func (a *Attendant) report() (tracker.Report, bool) {
	load := a.executor.Load()
	r := tracker.Report{
		Node:    a.Settings.Node,
		Target:  a.executor.Target().ID,
		Running: load.Running,
		Waiting: load.Waiting,
		Limit:   load.Limit,
		Up:      load.Up,
		Share:   float32(load.Share),
		Failing: float32(load.Failing),
		Tallies: a.gateway.Accounts.Tallies(a.tracker.Live(time.Now())),
	}
	for _, row := range a.executor.Rows() {
		calls := map[string]float32{}
		for k, v := range row.Calls {
			calls[k] = float32(v)
		}
		r.Rows = append(r.Rows, tracker.Row{Route: row.Route, HoldMs: float32(row.Hold.Seconds() * 1000), Calls: calls})
	}
	return r, load.Share < 1 || a.gateway.Accounts.Urgent()
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
