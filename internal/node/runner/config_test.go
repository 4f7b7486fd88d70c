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

// withdrawn is the longest time for which a withdrawn key may work anywhere after the withdrawal was
// accepted: "within seconds" of the brief, and far below the 14 s of the target.
const withdrawn = 3 * time.Second

// TestWithdrawnKey withdraws a key while a node is hindered, and tries the key there and elsewhere.
func TestWithdrawnKey(t *testing.T) {
	cases := []struct {
		name          string
		before, after func(*world)
		// unsettled says that no majority of the witnesses can be reached, so that the operator must not
		// be told that the change is in force.
		unsettled bool
	}{
		{name: "no fault"},
		{name: "node cut off from the platform", before: func(w *world) { w.cut("c2", "platform") }},
		{name: "node cut off from its peers", before: func(w *world) { w.isolate("c2") }},
		{name: "node cut off from both", before: func(w *world) { w.isolate("c1"); w.cut("c2", "platform") }},
		{name: "node paused", before: func(w *world) { w.pause("c2") }, after: func(w *world) { w.wake("c2") }},
		{name: "platform down right after", after: func(w *world) { w.log.set(func(f *fakeLog) { f.down = true }) }},
		{name: "answer of the append lost", before: func(w *world) { w.log.set(func(f *fakeLog) { f.lose = 1 }) }},
		{
			name:      "half of the fleet cut off from platform and the other half",
			before:    func(w *world) { w.split("c1", "c2", "b2") },
			unsettled: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.fleet()
				assert.Assert(t, ran(w.read("c2", "shop-key")))
				if c.before != nil {
					c.before(w)
				}
				out, err := w.change("a1", reducer.Change{Kind: reducer.KindKey, Name: "shop-1", Base: w.version("a1", reducer.KindKey, "shop-1"), Delete: true})
				assert.Equal(t, err != nil, c.unsettled, "%v", err)
				assert.Equal(t, out.Verdict, reducer.Accepted)
				time.Sleep(withdrawn)
				if c.after != nil {
					c.after(w)
				}
				for range 40 {
					for _, name := range []string{"a1", "a2", "b1", "c1", "c2"} {
						r := w.read(name, "shop-key")
						assert.Assert(t, !ran(r), "the key works at %s", name)
					}
					time.Sleep(250 * time.Millisecond)
				}
			})
		})
	}
}

// split cuts some VMs off from the platform and from all others.
func (w *world) split(names ...string) {
	inside := map[string]bool{}
	for _, name := range names {
		inside[name] = true
		w.cut(name, "platform")
	}
	for name := range w.vms {
		for other := range w.vms {
			if inside[name] != inside[other] {
				w.cut(name, other)
			}
		}
	}
}

// TestKeyWorksThroughOutage checks that what was accepted stays in force while the platform is down.
func TestKeyWorksThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.fleet()
		w.log.set(func(f *fakeLog) { f.down = true })
		for range 60 {
			for name := range w.vms {
				assert.Assert(t, ran(w.read(name, "shop-key")), name)
			}
			time.Sleep(time.Second)
		}
		_, err := w.declare("a1", reducer.KindAccount, "new", `{"rate":1,"burst":1}`)
		assert.Assert(t, err != nil, "a change was accepted that nothing records")
	})
}

// TestOperatorRace lets three operators change one resource at three nodes, over and over, some of
// them with lost answers. Each version has one winner and the others are told.
func TestOperatorRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.fleet()
		for round := range 10 {
			base := w.version("a1", reducer.KindAccount, "shop")
			w.log.set(func(f *fakeLog) { f.lose = round % 3 })
			var mu sync.Mutex
			var wg sync.WaitGroup
			count := map[reducer.Verdict]int{}
			for i, name := range []string{"a1", "b1", "c1"} {
				wg.Go(func() {
					spec := fmt.Sprintf(`{"rate":%d,"burst":40}`, 100+i)
					out, err := w.change(name, reducer.Change{Kind: reducer.KindAccount, Name: "shop", Spec: []byte(spec), Base: base})
					assert.NilError(t, err)
					mu.Lock()
					defer mu.Unlock()
					count[out.Verdict]++
				})
			}
			wg.Wait()
			assert.Equal(t, count[reducer.Accepted], 1)
			assert.Equal(t, count[reducer.Conflict], 2)
			w.eventually(time.Second, "all nodes agree", func() bool {
				return w.version("a1", reducer.KindAccount, "shop") == w.version("c2", reducer.KindAccount, "shop")
			})
		}
	})
}

// TestRetention lets records expire and starts a node that has read none of them.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.snapshotEvery = 2 * time.Second
		w.fleet()
		w.log.set(func(f *fakeLog) { f.retain = 12 })
		for i := range 40 {
			_, err := w.declare("a1", reducer.KindAccount, "busy", fmt.Sprintf(`{"rate":%d,"burst":5}`, i+1))
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		for name := range w.vms {
			w.isolate(name)
		}
		w.start("d1", "a", "stock")
		w.eventually(5*time.Second, "the new node has the whole state from the platform alone", func() bool {
			a, _ := w.vms["d1"].Follower.State().Account("busy")
			_, key := w.vms["d1"].Follower.State().Authenticate("shop-key")
			return a.Rate == 40 && key
		})
	})
}

// TestStartWithPlatformDown starts nodes while the platform is down: one that learns from its peers,
// and then all at once, which must serve nothing until the platform is back.
func TestStartWithPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.fleet()
		w.log.set(func(f *fakeLog) { f.down = true })
		w.kill("b2")
		w.start("b2", "b", "stock")
		w.eventually(3*time.Second, "a starting node serves", func() bool { return ran(w.read("b2", "shop-key")) })
		for name := range w.vms {
			w.kill(name)
		}
		for name, v := range w.vms {
			w.start(name, name[:1], v.service)
		}
		for range 20 {
			for name := range w.vms {
				r := w.read(name, "shop-key")
				assert.Assert(t, r.Code == broker.CodeStale || r.Code == broker.CodeNoRoute, "%s: %s", name, r.Code)
			}
			time.Sleep(500 * time.Millisecond)
		}
		w.log.set(func(f *fakeLog) { f.down = false })
		w.eventually(10*time.Second, "all serve again", func() bool {
			for name := range w.vms {
				if !ran(w.read(name, "shop-key")) {
					return false
				}
			}
			return true
		})
	})
}
