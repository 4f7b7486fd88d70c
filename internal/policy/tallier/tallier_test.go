package tallier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/tallier"
	"gotest.tools/v3/assert"
)

const (
	window = 5 * time.Second
	// tolerated and slack are what the agreed bound leaves above rate and burst.
	tolerated = 1.1
	slack     = 20
)

// fleet replays nodes that tell each other their tallies every 200 ms.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	limit    tallier.Limit
	nodes    []*tallier.Tallier
	now      time.Duration
	admitted []time.Duration
	// closed has the entrance refuse what the tallier lets in; passed counts that.
	closed bool
	passed int
	// weights skews the demand over the nodes; deaf nodes neither tell nor hear.
	weights []float64
	deaf    map[int]bool
}

func newFleet(t *testing.T, seed uint64, n int, limit tallier.Limit) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(20261204, seed)), limit: limit, now: time.Hour, deaf: map[int]bool{}}
	for range n {
		f.nodes = append(f.nodes, &tallier.Tallier{Window: window})
		f.weights = append(f.weights, f.rng.Float64()+0.1)
	}
	f.exchange()
	return f
}

func (f *fleet) exchange() {
	for i, from := range f.nodes {
		from.Fleet(len(f.nodes))
		for account, tally := range from.Tallies(f.now) {
			for j, to := range f.nodes {
				if i != j && !f.deaf[i] && !f.deaf[j] {
					to.Heard(f.now, fmt.Sprint(i), account, tally)
				}
			}
		}
	}
}

// run offers a rate for a time.
func (f *fleet) run(span time.Duration, perSecond float64) (offered, refused int) {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	const step = 10 * time.Millisecond
	for end := f.now + span; f.now < end; f.now += step {
		if f.now%(200*time.Millisecond) == 0 {
			f.exchange()
		}
		for i, n := range f.nodes {
			p := perSecond * f.weights[i] / total * step.Seconds()
			for ; f.rng.Float64() < p; p-- {
				offered++
				if ok, _ := n.Admit(f.now, "shop", f.limit); ok {
					if f.closed {
						f.passed++
						continue
					}
					n.Count(f.now, "shop")
					f.admitted = append(f.admitted, f.now)
				} else {
					refused++
				}
			}
		}
	}
	return offered, refused
}

// check finds the fullest window.
func (f *fleet) check() {
	f.t.Helper()
	most := (f.limit.Rate*window.Seconds()+f.limit.Burst)*tolerated + slack
	first, fullest := 0, 0
	for i, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		fullest = max(fullest, i-first+1)
	}
	assert.Check(f.t, float64(fullest) <= most, "%d requests within 5 s, allowed %.0f", fullest, most)
}

// restart loses what every node knows.
func (f *fleet) restart() {
	f.now += time.Second
	for i := range f.nodes {
		f.nodes[i] = &tallier.Tallier{Window: window, Started: f.now}
	}
}

var small = tallier.Limit{Rate: 10, Burst: 10}

var shop = tallier.Limit{Rate: 120, Burst: 120}

// TestFloodIsHeld checks the bound for an account that sends eight times its rate at once.
func TestFloodIsHeld(t *testing.T) {
	for seed := range uint64(10) {
		for _, limit := range []tallier.Limit{shop, small} {
			f := newFleet(t, seed, 14, limit)
			f.run(6*time.Second, 0.62*limit.Rate)
			f.run(12*time.Second, 7.5*limit.Rate)
			f.check()
			assert.Assert(t, float64(len(f.admitted)) > 13*limit.Rate, "only %d admitted", len(f.admitted))
		}
	}
}

// TestWithinTheRateNothingIsRefused checks an account with few requests at many nodes, unevenly spread.
func TestWithinTheRateNothingIsRefused(t *testing.T) {
	for _, limit := range []tallier.Limit{shop, {Rate: 10, Burst: 10}} {
		f := newFleet(t, 1, 14, limit)
		offered, refused := f.run(20*time.Second, 0.62*limit.Rate)
		assert.Assert(t, refused*100 <= offered, "rate %.0f: %d of %d refused", limit.Rate, refused, offered)
		f.check()
	}
}

// TestNearTheLimitLittleIsRefused checks an account that uses rate and burst to nine tenths.
func TestNearTheLimitLittleIsRefused(t *testing.T) {
	f := newFleet(t, 2, 14, shop)
	f.run(5*time.Second, 1.08*shop.Rate)
	offered, refused := f.run(20*time.Second, 1.08*shop.Rate)
	assert.Assert(t, refused*100 <= 8*offered, "%d of %d refused", refused, offered)
	f.check()
}

// TestKillOfEverything checks the bound when all nodes lose what they knew during a flood. It failed while a
// node that had just started took the whole rate for itself.
func TestKillOfEverything(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, 14, shop)
		f.run(6*time.Second, 75)
		f.run(5*time.Second, 900)
		f.restart()
		f.run(8*time.Second, 900)
		f.check()
	}
}

// TestUnknownFleet checks that a node which knows no members lets nothing in before it does.
func TestUnknownFleet(t *testing.T) {
	n := tallier.Tallier{Window: window, Started: time.Hour}
	for i := range 100 {
		ok, _ := n.Admit(time.Hour+time.Duration(i)*10*time.Millisecond, "shop", shop)
		assert.Assert(t, !ok)
	}
}

// TestDeafNodeKeepsItsPart checks the bound while some nodes are cut off from the others in a flood.
func TestDeafNodeKeepsItsPart(t *testing.T) {
	f := newFleet(t, 3, 14, shop)
	f.run(6*time.Second, 75)
	f.run(4*time.Second, 900)
	f.deaf[0], f.deaf[1], f.deaf[2] = true, true, true
	f.run(6*time.Second, 900)
	f.check()
}

// TestLoweredLimit checks that a lower limit binds at once.
func TestLoweredLimit(t *testing.T) {
	f := newFleet(t, 4, 14, shop)
	f.run(6*time.Second, 75)
	f.limit = tallier.Limit{Rate: 10, Burst: 10}
	f.admitted = nil
	f.run(window, 75)
	f.admitted = nil
	f.run(10*time.Second, 75)
	f.check()
}

// TestFloodAtAClosedEntrance checks that a flood which is refused for overload neither presses on the entrance
// with much more than the account's limit, nor uses its rate up.
func TestFloodAtAClosedEntrance(t *testing.T) {
	f := newFleet(t, 5, 14, shop)
	f.run(6*time.Second, 75)
	f.closed = true
	f.run(10*time.Second, 900)
	assert.Assert(t, float64(f.passed) < 10*1.5*1.2*shop.Rate+2*1.5*1.2*shop.Rate, "%d passed", f.passed)
	f.closed = false
	offered, refused := f.run(2*time.Second, 75)
	assert.Assert(t, refused*20 <= offered, "%d of %d refused after the flood", refused, offered)
}

func TestNoLimit(t *testing.T) {
	var n tallier.Tallier
	ok, _ := n.Admit(time.Hour, "shop", tallier.Limit{})
	assert.Assert(t, ok)
}
