package windowlimiter_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/peer/reporter"
	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"gotest.tools/v3/assert"
)

const (
	// completeBytes is the size of a report of all accounts without its usages, and completeBytesPerSecond the bandwidth that
	// a node uses for these reports.
	completeBytes          = 1200
	completeBytesPerSecond = 30_000
	// usualDemand is the usual demand of all accounts together, in requests per second.
	usualDemand = 1834
	// rateFactor is the rate of an account as a multiple of its usual demand.
	rateFactor = 1.6
	// repeatingCallers is the part of the callers that repeat a refused request at once, up to maxRepeats times.
	repeatingCallers = 0.4
	maxRepeats       = 3
)

// busyFleet simulates a fleet with many accounts, whose nodes send usage reports as often as the reporter does for reports of
// their size.
type busyFleet struct {
	rng         *rand.Rand
	now         time.Duration
	nodes       []*busyNode
	dataCentres int
	accounts    []*busyAccount
	// delay is the time by which reports are late, and loss the part of the deliveries that are lost.
	delay     time.Duration
	loss      float64
	repeating bool
	pending   []delivery
}

type busyNode struct {
	*windowlimiter.Limiter
	// phase is when the node checks whether a report is due, within a check period.
	phase                       time.Duration
	completeAt, usageAt         time.Duration
	completePeriod, usagePeriod time.Duration
}

type busyAccount struct {
	name  string
	limit windowlimiter.Limit
	// usual is the usual demand, in requests per second, and load the present one as a multiple of it.
	usual, load float64
	admitted    []time.Duration
}

// newBusyFleet returns a fleet without demand whose nodes have run for longer than a window. The accounts together usually
// send usualDemand requests per second; a few of them are large. Each may send what its rate allows in the time burst at once.
func newBusyFleet(nodes, dataCentres, accounts int, burst time.Duration) *busyFleet {
	f := &busyFleet{rng: rand.New(rand.NewPCG(20261207, 1)), now: time.Hour, dataCentres: dataCentres}
	weights := 0.0
	for i := range accounts {
		weights += 1 / float64(i+3)
	}
	for i := range accounts {
		demand := usualDemand / float64(i+3) / weights
		rate := rateFactor * demand
		f.accounts = append(f.accounts, &busyAccount{
			name: "tenant" + strconv.Itoa(i), usual: demand,
			limit: windowlimiter.Limit{Rate: rate, Burst: rate * burst.Seconds()},
		})
	}
	for i := range nodes {
		n := &busyNode{
			Limiter: &windowlimiter.Limiter{Window: window, Started: f.now - 2*window},
			phase:   time.Duration(f.rng.IntN(5)) * checkPeriod / 5,
		}
		n.completeAt = f.now - time.Duration(f.rng.Float64()*float64(period))
		n.usageAt = n.completeAt
		n.SetMembers(f.now, others(nodes, i))
		f.nodes = append(f.nodes, n)
	}
	return f
}

// setLoad sets the demand of all accounts as a multiple of their usual one.
func (f *busyFleet) setLoad(load float64) {
	for _, a := range f.accounts {
		a.load = load
	}
}

// run offers requests for the given time.
func (f *busyFleet) run(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now + span; f.now < end; f.now += step {
		f.deliver()
		for i, n := range f.nodes {
			if (f.now-n.phase)%checkPeriod == 0 {
				f.report(i, n)
			}
		}
		for _, a := range f.accounts {
			for p := a.usual * a.load * step.Seconds(); f.rng.Float64() < p; p-- {
				f.ask(a)
			}
		}
	}
}

// ask offers a request to a random node. Some callers repeat it at once, at random nodes, while it is refused.
func (f *busyFleet) ask(a *busyAccount) {
	attempts := 1
	if f.repeating && f.rng.Float64() < repeatingCallers {
		attempts += maxRepeats
	}
	for ; attempts > 0; attempts-- {
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		if ok, _ := n.Admit(f.now, a.name, a.limit); ok {
			n.Count(f.now, a.name)
			a.admitted = append(a.admitted, f.now)
			return
		}
	}
}

// report sends the report of a node that is due.
func (f *busyFleet) report(i int, n *busyNode) {
	switch {
	case f.now-n.completeAt >= n.completePeriod:
		usages := n.Usages(f.now)
		n.completeAt, n.usageAt = f.now, f.now
		n.completePeriod = max(period, time.Duration(f.send(i, usages, true)+completeBytes*f.destinations())*time.Second/completeBytesPerSecond)
	case f.now-n.usageAt >= n.usagePeriod:
		if usages := n.UnreportedUsages(f.now); len(usages) > 0 || f.now-n.usageAt >= period {
			n.usageAt = f.now
			n.usagePeriod = reporter.UsagePeriod(f.send(i, usages, false))
		}
	}
}

// destinations returns the number of nodes to which a node sends its reports: those of its data centre, and a relay of each
// other one.
func (f *busyFleet) destinations() int { return len(f.nodes)/f.dataCentres - 1 + f.dataCentres - 1 }

// send sends the usages to all other nodes and returns the number of bytes.
func (f *busyFleet) send(from int, usages map[string]windowlimiter.Usage, complete bool) int {
	f.pending = append(f.pending, delivery{at: f.now + batchDelay + f.delay, from: from, usages: usages, complete: complete})
	r := tracker.UsageReport{Node: nodeName(from), Started: 1, Sequence: 1}
	for name, u := range usages {
		r.AccountUsages = append(r.AccountUsages, tracker.AccountUsage{Account: name, Admitted: float32(u.Admitted), Demand: float32(u.Demand)})
	}
	raw, err := r.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return len(raw) * f.destinations()
}

// deliver hands the reports that have arrived to the other nodes.
func (f *busyFleet) deliver() {
	due := 0
	for ; due < len(f.pending) && f.pending[due].at <= f.now; due++ {
		d := f.pending[due]
		for i, n := range f.nodes {
			if i != d.from && f.rng.Float64() >= f.loss {
				n.Receive(f.now, windowlimiter.Process{Node: nodeName(d.from), Started: 1}, d.usages, d.complete)
			}
		}
	}
	f.pending = f.pending[due:]
}

// fullest returns the account with the fullest window and the number of requests in it, as a part of what is allowed.
func (f *busyFleet) fullest() (*busyAccount, float64) {
	var fullest *busyAccount
	worst := 0.0
	for _, a := range f.accounts {
		r := replay{limit: a.limit, admitted: a.admitted}
		if part := r.fullest(); part > worst {
			fullest, worst = a, part
		}
	}
	return fullest, worst
}

// TestRateExceededWithBusyAccounts guards against usage reports that leave late because they are large. All accounts are
// above their rate and are reported again and again, while one of them sends most of what is offered for it in floods.
func TestRateExceededWithBusyAccounts(t *testing.T) {
	for _, size := range []struct{ nodes, dataCentres, accounts int }{{79, 3, 82}, {195, 5, 140}} {
		for _, delay := range []time.Duration{0, 200 * time.Millisecond} {
			for _, burst := range []time.Duration{300 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("%d nodes, reports %s late, burst of %s", size.nodes, delay, burst), func(t *testing.T) {
					f := newBusyFleet(size.nodes, size.dataCentres, size.accounts, burst)
					f.delay, f.loss = delay, 0.02
					flooding := f.accounts[1]
					f.setLoad(1)
					f.run(300 * time.Millisecond)
					f.setLoad(1.7)
					f.run(700 * time.Millisecond)
					flooding.load = 1.7 * 2.8
					f.run(4 * time.Second)
					f.repeating = true
					f.run(4 * time.Second)
					flooding.load = 1.7 * 4.4
					f.run(4 * time.Second)
					a, worst := f.fullest()
					t.Logf("%s: %.3f of the allowed requests", a.name, worst)
					assert.Check(t, worst <= 1, "%s: %.3f of the allowed requests", a.name, worst)
				})
			}
		}
	}
}
