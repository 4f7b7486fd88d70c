package windowlimiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"gotest.tools/v3/assert"
)

const (
	// silenceTimeout is the time without reports after which a node takes another one for silent.
	silenceTimeout = 3500 * time.Millisecond
	// relays is the number of nodes of a data centre that pass on the reports of other data centres.
	relays = 3
	// batchDelay is the longest time for which a relay holds a report.
	batchDelay = 50 * time.Millisecond
	dataCentre = 3
)

// replay simulates the nodes of several data centres, whose reports take the way of the reporter's and may be lost.
type replay struct {
	limit windowlimiter.Limit
	nodes []*replayNode
	rng   *rand.Rand
	now   time.Duration
	// loss is the part of the datagrams that is lost. cut reports whether no datagram passes between two nodes.
	loss float64
	// delay is the time by which reports are late, as at nodes that are short of processor time.
	delay time.Duration
	cut   func(a, b int) bool
	// period is the time between two reports of all accounts.
	period   time.Duration
	pending  []delivery
	admitted []time.Duration
	// within counts the requests offered, and refused those refused, while the account's demand is below its rate.
	within, refused int
	// repeats is how often callers come back after a refusal. asked counts their requests, and lost those that were refused
	// each time.
	repeats     int
	asked, lost int
	waiting     []attempt
}

// attempt is a request that its caller sends at a time.
type attempt struct {
	at   time.Duration
	node int
	left int
}

type replayNode struct {
	*windowlimiter.Limiter
	weight   float64
	process  int64
	downTill time.Duration
	// heard holds the time of the latest report of each other node.
	heard           []time.Duration
	reportedAt      time.Duration
	usageReportedAt time.Duration
}

type delivery struct {
	at       time.Duration
	from, to int
	process  int64
	usages   map[string]windowlimiter.Usage
	complete bool
}

func newReplay(seed uint64, n int, limit windowlimiter.Limit) *replay {
	r := &replay{limit: limit, rng: rand.New(rand.NewPCG(20261204, seed)), now: time.Hour, period: 2 * time.Second, cut: func(_, _ int) bool { return false }}
	for range n {
		node := &replayNode{weight: r.rng.Float64() + 0.1, heard: make([]time.Duration, n)}
		for i := range node.heard {
			node.heard[i] = r.now
		}
		node.reportedAt = r.now - time.Duration(r.rng.Float64()*float64(r.period))
		r.nodes = append(r.nodes, node)
	}
	for i := range r.nodes {
		r.start(i, 0)
	}
	return r
}

// start starts a new process of a node.
func (r *replay) start(i int, at time.Duration) {
	node := r.nodes[i]
	node.process++
	node.Limiter = &windowlimiter.Limiter{Window: window, Random: r.rng.Float64, Started: at}
}

// kill ends the processes of the nodes. New ones start after the delay.
func (r *replay) kill(nodes []int, delay time.Duration) {
	for _, i := range nodes {
		r.nodes[i].downTill = r.now + delay
		r.start(i, r.now+delay)
		for j := range r.nodes[i].heard {
			r.nodes[i].heard[j] = r.now + delay
		}
	}
}

func (r *replay) down(i int) bool { return r.now < r.nodes[i].downTill }

// pick returns a random part of the nodes.
func (r *replay) pick(share float64) []int {
	return r.rng.Perm(len(r.nodes))[:int(share*float64(len(r.nodes)))]
}

// split cuts the nodes into two sides, the first of which holds the given part of them.
func (r *replay) split(share float64) {
	side := make([]bool, len(r.nodes))
	for _, i := range r.pick(share) {
		side[i] = true
	}
	r.cut = func(a, b int) bool { return side[a] != side[b] }
}

// isolate cuts each of the given part of the nodes off from all others.
func (r *replay) isolate(share float64) {
	alone := make([]bool, len(r.nodes))
	for _, i := range r.pick(share) {
		alone[i] = true
	}
	r.cut = func(a, b int) bool { return alone[a] || alone[b] }
}

func (r *replay) heal() { r.cut = func(_, _ int) bool { return false } }

// silent reports whether a node takes another one for silent.
func (r *replay) silent(i, j int) bool { return r.now-r.nodes[i].heard[j] > silenceTimeout }

func (r *replay) exchange() {
	pending := r.pending
	r.pending = nil
	for _, d := range pending {
		if r.now < d.at {
			r.pending = append(r.pending, d)
			continue
		}
		if !r.down(d.to) {
			r.nodes[d.to].heard[d.from] = r.now
			r.nodes[d.to].Receive(r.now, windowlimiter.Process{Node: nodeName(d.from), Started: d.process}, d.usages, d.complete)
		}
	}
	for i, node := range r.nodes {
		if r.down(i) {
			continue
		}
		if r.now%planPeriod == 0 || r.now-node.Started < planPeriod {
			node.SetMembers(r.now, others(len(r.nodes), i))
		}
		switch {
		case r.now-node.reportedAt >= r.period:
			node.reportedAt, node.usageReportedAt = r.now, r.now
			r.send(i, node.Usages(r.now), true)
		case r.now-node.usageReportedAt >= urgentPeriod:
			if usages := node.UnreportedUsages(r.now); len(usages) > 0 || r.now-node.usageReportedAt >= period {
				node.usageReportedAt = r.now
				r.send(i, usages, false)
			}
		}
	}
}

// passes reports whether a datagram arrives.
func (r *replay) passes(from, to int) bool {
	return from == to || (!r.cut(from, to) && !r.down(to) && r.rng.Float64() >= r.loss)
}

// send sends a report to the nodes of the same data centre and, through relays, to all others.
func (r *replay) send(from int, usages map[string]windowlimiter.Usage, complete bool) {
	process := r.nodes[from].process
	for dc := range dataCentre {
		if dc == from%dataCentre {
			for to := dc; to < len(r.nodes); to += dataCentre {
				if to != from && r.passes(from, to) {
					r.pending = append(r.pending, delivery{at: r.now + r.delay, from: from, to: to, process: process, usages: usages, complete: complete})
				}
			}
			continue
		}
		var candidates []int
		for to := dc; to < len(r.nodes) && len(candidates) < relays; to += dataCentre {
			if !r.silent(from, to) {
				candidates = append(candidates, to)
			}
		}
		if len(candidates) == 0 {
			continue
		}
		relay := candidates[r.rng.IntN(len(candidates))]
		if !r.passes(from, relay) {
			continue
		}
		for to := dc; to < len(r.nodes); to += dataCentre {
			if r.passes(relay, to) {
				r.pending = append(r.pending, delivery{at: r.now + r.delay, from: from, to: to, process: process, usages: usages, complete: complete})
			}
		}
	}
}

// run offers requests at a multiple of the rate for the given time.
func (r *replay) run(span time.Duration, load float64) {
	total := 0.0
	for _, n := range r.nodes {
		total += n.weight
	}
	const step = 10 * time.Millisecond
	for end := r.now + span; r.now < end; r.now += step {
		if r.now%checkPeriod == 0 {
			r.exchange()
		}
		r.repeat()
		for i, n := range r.nodes {
			p := load * r.limit.Rate * n.weight / total * step.Seconds()
			for ; r.rng.Float64() < p; p-- {
				if r.down(i) {
					continue
				}
				ok := r.ask(attempt{node: i, left: r.repeats})
				if r.repeats > 0 {
					r.asked++
				}
				if load <= 1 {
					r.within++
					if !ok {
						r.refused++
					}
				}
			}
		}
	}
}

// ask has a node admit a request. A caller that is refused comes back.
func (r *replay) ask(a attempt) bool {
	n := r.nodes[a.node]
	ok, delay := n.Admit(r.now, "shop", r.limit)
	switch {
	case ok:
		n.Count(r.now, "shop")
		r.admitted = append(r.admitted, r.now)
	case a.left > 0:
		r.waiting = append(r.waiting, attempt{at: r.now + min(delay, time.Second), node: r.rng.IntN(len(r.nodes)), left: a.left - 1})
	case r.repeats > 0:
		r.lost++
	}
	return ok
}

// repeat sends the requests of callers that come back now.
func (r *replay) repeat() {
	waiting := r.waiting
	r.waiting = nil
	for _, a := range waiting {
		if r.now < a.at {
			r.waiting = append(r.waiting, a)
			continue
		}
		r.ask(a)
	}
}

// fullest returns the number of requests in the fullest window, as a part of what is allowed.
func (r *replay) fullest() float64 {
	allowed := (r.limit.Rate*window.Seconds()+r.limit.Burst)*toleranceFactor + toleranceExtra
	first, fullest := 0, 0
	for i, at := range r.admitted {
		for at-r.admitted[first] >= window {
			first++
		}
		fullest = max(fullest, i-first+1)
	}
	return float64(fullest) / allowed
}

// finalRate returns the rate of admitted requests over the last four seconds, as a part of the account's rate.
func (r *replay) finalRate() float64 {
	count := 0
	for _, at := range r.admitted {
		if r.now-at < 4*time.Second {
			count++
		}
	}
	return float64(count) / 4 / r.limit.Rate
}

// playAll plays each load with accounts and fleets of several sizes, and checks that no account gets more than its limit.
func playAll(t *testing.T, loads map[string]func(r *replay)) {
	for name, play := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, limit := range []windowlimiter.Limit{{Rate: 420, Burst: 420}, shop, small} {
				for _, n := range []int{14, 79} {
					worst, final, within, refused := 0.0, 0.0, 0, 0
					for seed := range uint64(2) {
						r := newReplay(seed, n, limit)
						r.run(6*time.Second, 0.62)
						play(r)
						worst = max(worst, r.fullest())
						final += r.finalRate() / 2
						within, refused = within+r.within, refused+r.refused
					}
					t.Logf("%d nodes, rate %.0f: %.2f of the allowed requests; %.2f of the rate at the end; %.3f refused within the rate", n, limit.Rate, worst, final, float64(refused)/float64(within))
					assert.Check(t, worst <= 1, "%d nodes, rate %.0f: %.2f of the allowed requests", n, limit.Rate, worst)
				}
			}
		})
	}
}

// TestRateExceededBehindCuts guards against nodes that take the use of those that they do not hear for none.
func TestRateExceededBehindCuts(t *testing.T) {
	playAll(t, map[string]func(r *replay){
		"half cut off before a flood": func(r *replay) {
			r.split(0.5)
			r.run(2*time.Second, 0.62)
			r.run(14*time.Second, 4.7)
		},
		"half cut off in a flood": func(r *replay) {
			r.run(2*time.Second, 4.7)
			r.split(0.5)
			r.run(14*time.Second, 4.7)
		},
		"half cut off as a flood begins": func(r *replay) {
			r.split(0.5)
			r.run(14*time.Second, 4.7)
		},
		"third isolated before a flood": func(r *replay) {
			r.isolate(0.35)
			r.run(2*time.Second, 0.62)
			r.run(14*time.Second, 4.7)
			r.heal()
			r.run(4*time.Second, 4.7)
		},
		"third isolated, then all at once again": func(r *replay) {
			r.isolate(0.35)
			r.run(12*time.Second, 0.62)
			r.heal()
			r.run(6*time.Second, 4.7)
		},
	})
}

// TestRateExceededWithoutRelays guards against reports that are lost because the nodes that pass them on have just ended.
func TestRateExceededWithoutRelays(t *testing.T) {
	playAll(t, map[string]func(r *replay){
		"relays killed as a flood begins": func(r *replay) {
			r.kill([]int{0, 1, 2, 3, 4, 5, 6, 7, 8}, 2*time.Second)
			r.run(8*time.Second, 4.7)
		},
	})
}

// TestRateExceededWithLateReports guards against nodes that all admit at once what one of them may, because they hear
// late of each other.
func TestRateExceededWithLateReports(t *testing.T) {
	load := func(r *replay) {
		r.run(8*time.Second, 3)
		r.run(8*time.Second, 9)
	}
	playAll(t, map[string]func(r *replay){
		"growing flood": load,
		"growing flood, reports 0.2 s late": func(r *replay) {
			r.delay = 200 * time.Millisecond
			load(r)
		},
		"growing flood, reports 0.4 s late": func(r *replay) {
			r.delay = 400 * time.Millisecond
			load(r)
		},
		"flood in pulses, reports 0.4 s late": func(r *replay) {
			r.delay = 400 * time.Millisecond
			for range 5 {
				r.run(time.Second, 4.7)
				r.run(800*time.Millisecond, 0)
			}
		},
	})
}

// TestRateBoundInFloods checks the bound under floods, kills and lossy links.
func TestRateBoundInFloods(t *testing.T) {
	playAll(t, map[string]func(r *replay){
		"lossy links": func(r *replay) {
			r.loss = 0.06
			r.run(8*time.Second, 4.7)
		},
		"most killed three times in a flood": func(r *replay) {
			for range 3 {
				r.run(1200*time.Millisecond, 4.7)
				r.kill(r.pick(0.6), 600*time.Millisecond)
			}
			r.run(8*time.Second, 4.7)
		},
		"flood in pulses": func(r *replay) {
			for range 5 {
				r.run(time.Second, 4.7)
				r.run(800*time.Millisecond, 0)
			}
		},
		"most killed, and links lossy": func(r *replay) {
			r.loss = 0.06
			r.run(time.Second, 4.7)
			r.kill(r.pick(0.6), 600*time.Millisecond)
			r.run(8*time.Second, 4.7)
		},
	})
}

// TestRateExceededAfterLossOfAllNodes guards against new processes that admit the rate again although those before them
// have just admitted most of the window's limit. A small burst leaves little room for both.
func TestRateExceededAfterLossOfAllNodes(t *testing.T) {
	for _, limit := range []windowlimiter.Limit{{Rate: 240, Burst: 480}, {Rate: 305, Burst: 155}, {Rate: 330, Burst: 30}} {
		for _, flood := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 1070 * time.Millisecond} {
			for _, down := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond} {
				worst := 0.0
				for seed := range uint64(3) {
					r := newReplay(seed, 74, limit)
					r.run(6*time.Second, 0.62)
					r.run(flood, 7.5)
					r.kill(r.pick(1), down)
					r.run(8*time.Second, 7.5)
					worst = max(worst, r.fullest())
				}
				t.Logf("rate %.0f, burst %.0f, lost %s after a flood began, for %s: %.3f of the allowed requests", limit.Rate, limit.Burst, flood, down, worst)
				assert.Check(t, worst <= 1)
			}
		}
	}
}

// TestRateExceededAfterLossWithLateReports guards against the same where the nodes also hear late of each other, so that
// those that are lost have admitted more.
func TestRateExceededAfterLossWithLateReports(t *testing.T) {
	for _, limit := range []windowlimiter.Limit{{Rate: 240, Burst: 480}, {Rate: 287, Burst: 244}, {Rate: 330, Burst: 30}} {
		worst := 0.0
		for seed := range uint64(2) {
			r := newReplay(seed, 74, limit)
			r.delay = 200 * time.Millisecond
			r.run(6*time.Second, 0.62)
			r.run(1070*time.Millisecond, 7.5)
			r.kill(r.pick(1), 500*time.Millisecond)
			r.run(5*time.Second, 7.5)
			worst = max(worst, r.fullest())
		}
		t.Logf("rate %.0f, burst %.0f: %.3f of the allowed requests", limit.Rate, limit.Burst, worst)
		assert.Check(t, worst <= 1)
	}
}

// TestSharesAfterLossOfAllNodes guards against new processes whose shares of the rate together exceed the whole, because
// each of them compares its own demand, while the known demand still grows, with older reports of the others.
func TestSharesAfterLossOfAllNodes(t *testing.T) {
	const span = 3500 * time.Millisecond
	limit := windowlimiter.Limit{Rate: 240, Burst: 480}
	admitted, allowed := 0, 0.0
	for seed := range uint64(4) {
		r := newReplay(seed, 74, limit)
		r.delay = 200 * time.Millisecond
		r.kill(r.pick(1), 500*time.Millisecond)
		r.run(500*time.Millisecond, 0)
		r.run(span, 7.5)
		admitted += len(r.admitted)
		allowed += limit.Rate * span.Seconds()
	}
	t.Logf("%d requests, %.0f at the rate", admitted, allowed)
	assert.Check(t, float64(admitted) <= allowed, "%d requests, %.0f at the rate", admitted, allowed)
}
