package runner_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"gotest.tools/v3/assert"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TestRunsAtMostOnce sends orders, injects a fault and repeats the orders through other nodes. It checks
// the replies against the runs that the targets have recorded.
func TestRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name string
		// during runs while the first attempts are sent; after runs before they are repeated.
		during func(*simulation)
		after  func(*simulation)
		// allMustRun requires that each order has been run in the end.
		allMustRun bool
	}{
		{name: "no fault", allMustRun: true},
		{
			name:       "targets refuse connections",
			during:     func(sim *simulation) { sim.eachTarget(func(f *fakeTarget) { f.err = broker.ErrNotSent }) },
			after:      func(sim *simulation) { sim.eachTarget(func(f *fakeTarget) { f.err = nil }) },
			allMustRun: true,
		},
		{
			name:       "targets end after the run without an answer",
			during:     func(sim *simulation) { sim.eachTarget(func(f *fakeTarget) { f.err = broker.ErrNoAnswer }) },
			after:      func(sim *simulation) { sim.eachTarget(func(f *fakeTarget) { f.err = nil }) },
			allMustRun: true,
		},
		{name: "answers of forwarded calls are lost", during: func(sim *simulation) { sim.dropAnswers(8) }, allMustRun: true},
		{name: "a registrar and executor is killed", during: func(sim *simulation) { sim.kill("b1") }},
		{
			name:   "killed and started again",
			during: func(sim *simulation) { sim.kill("b1") },
			after:  func(sim *simulation) { sim.start("b1", "b", "orders"); time.Sleep(2 * time.Second) },
		},
		{
			name:   "killed with the platform down",
			during: func(sim *simulation) { sim.log.update(func(f *fakeLog) { f.down = true }); sim.kill("b1") },
		},
		{name: "stopped gracefully", during: func(sim *simulation) { sim.stop("b1") }, allMustRun: true},
		{
			name: "three nodes stopped gracefully one after the other",
			after: func(sim *simulation) {
				for _, name := range []string{"a2", "b2", "c2"} {
					sim.stop(name)
					time.Sleep(time.Second)
				}
			},
			allMustRun: true,
		},
		{
			name:   "paused past its fence and woken",
			during: func(sim *simulation) { sim.pause("b1") },
			after:  func(sim *simulation) { time.Sleep(15 * time.Second); sim.resume("b1"); time.Sleep(3 * time.Second) },
		},
		{
			name:   "cut off from its peers and healed",
			during: func(sim *simulation) { sim.isolate("b1") },
			after: func(sim *simulation) {
				time.Sleep(10 * time.Second)
				for name := range sim.vms {
					sim.heal("b1", name)
				}
				time.Sleep(3 * time.Second)
			},
			allMustRun: true,
		},
		{
			name: "cut off from peers and platform",
			during: func(sim *simulation) {
				sim.isolate("b1")
				sim.cut("b1", "platform")
			},
		},
		{
			name:   "a killed node and lost answers",
			during: func(sim *simulation) { sim.dropAnswers(5); sim.kill("c1") },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				sim.startFleet()
				checkOrders(sim, c.during, c.after, c.allMustRun)
			})
		})
	}
}

const orderCount = 12

// checkOrders sends a set of orders three times and injects a fault during and after the first attempts. It
// checks the replies to each order against the runs of the order.
func checkOrders(sim *simulation, during, after func(*simulation), allMustRun bool) {
	var history [orderCount][]broker.Reply
	attempt := func(entries ...string) {
		done := make(chan struct{})
		for i := range orderCount {
			go func() {
				entry := entries[i%len(entries)]
				if sim.alive(entry) {
					history[i] = append(history[i], sim.order(entry, fmt.Sprintf("order-%d", i)))
				}
				done <- struct{}{}
			}()
			time.Sleep(3 * time.Millisecond)
			if i == 3 && during != nil {
				during(sim)
				during = nil
			}
		}
		for range orderCount {
			<-done
		}
	}
	attempt("a1", "b1", "c1", "c2")
	if after != nil {
		after(sim)
	}
	attempt("c1", "a1", "a2")
	time.Sleep(20 * time.Second)
	attempt("a1", "c1", "a2")
	for i := range orderCount {
		checkOrder(sim, fmt.Sprintf("order-%d", i), history[i], allMustRun)
	}
}

// checkOrder checks the replies to one order against the recorded runs.
func checkOrder(sim *simulation, id string, replies []broker.Reply, allMustRun bool) {
	runs := sim.runs(id)
	assert.Assert(sim.t, runs <= 1, "%s ran %d times: %s", id, runs, formatReplies(replies))
	if allMustRun {
		assert.Equal(sim.t, runs, 1, "%s was lost: %s", id, formatReplies(replies))
	}
	answered, notRun := false, true
	for _, r := range replies {
		answered = answered || ran(r)
		notRun = notRun && r.Outcome == retrier.NotRun && r.Code != broker.CodeEarlierAttemptUnknown
		if ran(r) {
			assert.Equal(sim.t, string(r.Body), id, "answer to a different order")
		}
	}
	if answered {
		assert.Equal(sim.t, runs, 1, "%s was answered but did not run", id)
	}
	if notRun {
		assert.Equal(sim.t, runs, 0, "%s ran although all replies report not-run: %s", id, formatReplies(replies))
	}
}

func formatReplies(replies []broker.Reply) (out string) {
	for _, r := range replies {
		out += fmt.Sprintf("[%d %s %s] ", r.Status, r.Outcome, r.Code)
	}
	return out
}

func (sim *simulation) eachTarget(change func(*fakeTarget)) {
	for _, v := range sim.vms {
		v.target.update(change)
	}
}

// TestRepeatAwaitsOutcome guards against a repeat that is refused although the order has been answered, or is still
// running. The registrars learn of the outcome late.
func TestRepeatAwaitsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		sim.outcomeDelay = 700 * time.Millisecond
		sim.startFleet()
		for i := range orderCount {
			id := fmt.Sprintf("order-%d", i)
			var first broker.Reply
			var wg sync.WaitGroup
			wg.Go(func() { first = sim.order("a1", id) })
			if i%2 == 0 {
				wg.Wait()
			} else {
				time.Sleep(2 * hopLatency)
			}
			repeat := sim.order([]string{"b1", "c1", "a2"}[i%3], id)
			wg.Wait()
			assert.Assert(t, ran(first) && ran(repeat), "%s: %s", id, formatReplies([]broker.Reply{first, repeat}))
			assert.Equal(t, string(repeat.Body), id)
			assert.Equal(t, sim.runs(id), 1)
		}
	})
}

// TestOrderWithoutID sends orders without a request ID while the answers to forwarded calls are lost.
// The entry node resends each call, and the receiver must run it only once.
func TestOrderWithoutID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		sim.startFleet()
		for i := range orderCount {
			sim.dropAnswers(i % 3)
			id := fmt.Sprintf("plain-%d", i)
			r := sim.orderWithoutID([]string{"b2", "c2"}[i%2], id)
			assert.Assert(t, ran(r), "%s: %s", id, formatReplies([]broker.Reply{r}))
			assert.Equal(t, sim.runs(id), 1)
		}
	})
}
