package runner_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

// maxWithdrawalDelay is the maximum time for which any node may accept a key after its withdrawal was
// accepted. The requirement is "within seconds"; the bound is far below the target of 14 s.
const maxWithdrawalDelay = 3 * time.Second

// TestWithdrawnKey withdraws a key while a node is cut off or paused, or while the platform fails, and
// checks that no node accepts the key after maxWithdrawalDelay.
func TestWithdrawnKey(t *testing.T) {
	cases := []struct {
		name          string
		before, after func(*simulation)
		// noQuorum reports that no majority of the witnesses can be reached, so that the operator must
		// not be told that the change is in force.
		noQuorum bool
	}{
		{name: "no fault"},
		{name: "node cut off from the platform", before: func(sim *simulation) { sim.cut("c2", "platform") }},
		{name: "node cut off from its peers", before: func(sim *simulation) { sim.isolate("c2") }},
		{name: "node cut off from both", before: func(sim *simulation) { sim.isolate("c1"); sim.cut("c2", "platform") }},
		{name: "node paused", before: func(sim *simulation) { sim.pause("c2") }, after: func(sim *simulation) { sim.resume("c2") }},
		{name: "platform down right after", after: func(sim *simulation) { sim.log.update(func(f *fakeLog) { f.down = true }) }},
		{name: "answer of the append lost", before: func(sim *simulation) { sim.log.update(func(f *fakeLog) { f.lostAnswers = 1 }) }},
		{
			name:     "half of the fleet cut off from platform and the other half",
			before:   func(sim *simulation) { sim.partition("c1", "c2", "b2") },
			noQuorum: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				sim.startFleet()
				assert.Assert(t, ran(sim.read("c2", "shop-key")))
				if c.before != nil {
					c.before(sim)
				}
				out, err := sim.change("a1", reducer.Change{Kind: reducer.KindKey, Name: "shop-1", Base: sim.version("a1", reducer.KindKey, "shop-1"), Delete: true})
				assert.Equal(t, err != nil, c.noQuorum, "%v", err)
				assert.Equal(t, out.Status, reducer.Accepted)
				time.Sleep(maxWithdrawalDelay)
				if c.after != nil {
					c.after(sim)
				}
				for range 40 {
					for _, name := range []string{"a1", "a2", "b1", "c1", "c2"} {
						r := sim.read(name, "shop-key")
						assert.Assert(t, !ran(r), "%s accepts the withdrawn key", name)
					}
					time.Sleep(250 * time.Millisecond)
				}
			})
		})
	}
}

// partition cuts the named VMs off from the platform and from all other VMs.
func (sim *simulation) partition(names ...string) {
	inside := map[string]bool{}
	for _, name := range names {
		inside[name] = true
		sim.cut(name, "platform")
	}
	for name := range sim.vms {
		for other := range sim.vms {
			if inside[name] != inside[other] {
				sim.cut(name, other)
			}
		}
	}
}

// TestKeyWorksThroughOutage checks that accepted changes stay in force while the platform is down, and
// that no change is accepted meanwhile.
func TestKeyWorksThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		sim.startFleet()
		sim.log.update(func(f *fakeLog) { f.down = true })
		for range 60 {
			for name := range sim.vms {
				assert.Assert(t, ran(sim.read(name, "shop-key")), name)
			}
			time.Sleep(time.Second)
		}
		_, err := sim.declare("a1", reducer.KindAccount, "new", `{"rate":1,"burst":1}`)
		assert.Assert(t, err != nil, "a change was accepted that the platform did not record")
	})
}

// TestOperatorRace changes one resource repeatedly and concurrently at three nodes. In some rounds the
// answers to appends are lost. For each version, one change must be accepted and the others must get a
// conflict.
func TestOperatorRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		sim.startFleet()
		for round := range 10 {
			base := sim.version("a1", reducer.KindAccount, "shop")
			sim.log.update(func(f *fakeLog) { f.lostAnswers = round % 3 })
			var mu sync.Mutex
			var wg sync.WaitGroup
			count := map[reducer.Status]int{}
			for i, name := range []string{"a1", "b1", "c1"} {
				wg.Go(func() {
					spec := fmt.Sprintf(`{"rate":%d,"burst":40}`, 100+i)
					out, err := sim.change(name, reducer.Change{Kind: reducer.KindAccount, Name: "shop", Spec: []byte(spec), Base: base})
					assert.NilError(t, err)
					mu.Lock()
					defer mu.Unlock()
					count[out.Status]++
				})
			}
			wg.Wait()
			assert.Equal(t, count[reducer.Accepted], 1)
			assert.Equal(t, count[reducer.Conflict], 2)
			sim.eventually(time.Second, "all nodes agree", func() bool {
				return sim.version("a1", reducer.KindAccount, "shop") == sim.version("c2", reducer.KindAccount, "shop")
			})
		}
	})
}

// TestRetention checks that a node which starts after records have expired recovers the whole state from
// the platform, without its peers.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		sim.snapshotEvery = 2 * time.Second
		sim.startFleet()
		sim.log.update(func(f *fakeLog) { f.retain = 12 })
		for i := range 40 {
			_, err := sim.declare("a1", reducer.KindAccount, "busy", fmt.Sprintf(`{"rate":%d,"burst":5}`, i+1))
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		for name := range sim.vms {
			sim.isolate(name)
		}
		sim.start("d1", "a", "stock")
		sim.eventually(5*time.Second, "the new node has the whole state from the platform", func() bool {
			a, _ := sim.vms["d1"].Follower.State().Account("busy")
			_, key := sim.vms["d1"].Follower.State().Authenticate("shop-key")
			return a.Rate == 40 && key
		})
	})
}

// TestStartWithPlatformDown restarts nodes while the platform is down. A single restarted node must get the
// state from its peers and serve. If all nodes restart at once, none may serve until the platform is
// available.
func TestStartWithPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		sim.startFleet()
		sim.log.update(func(f *fakeLog) { f.down = true })
		sim.kill("b2")
		sim.start("b2", "b", "stock")
		sim.eventually(3*time.Second, "the restarted node serves", func() bool { return ran(sim.read("b2", "shop-key")) })
		for name := range sim.vms {
			sim.kill(name)
		}
		for name, v := range sim.vms {
			sim.start(name, name[:1], v.service)
		}
		for range 20 {
			for name := range sim.vms {
				r := sim.read(name, "shop-key")
				assert.Assert(t, r.Code == broker.CodeNodeStale || r.Code == broker.CodeNoRoute, "%s: %s", name, r.Code)
			}
			time.Sleep(500 * time.Millisecond)
		}
		sim.log.update(func(f *fakeLog) { f.down = false })
		sim.eventually(10*time.Second, "all nodes serve again", func() bool {
			for name := range sim.vms {
				if !ran(sim.read(name, "shop-key")) {
					return false
				}
			}
			return true
		})
	})
}
