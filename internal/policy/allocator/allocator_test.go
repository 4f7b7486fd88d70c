package allocator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_800_000_000, 0)

// graph returns a call graph with fan-out: a catalogue request causes 8 calls at the last service, an order 4.
func graph() map[string]allocator.RouteCosts {
	return map[string]allocator.RouteCosts{
		"catalogue": {Service: "window", HoldSeconds: 0.4, Calls: map[string]float64{"profile": 2}},
		"order":     {Service: "print", HoldSeconds: 0.3, Calls: map[string]float64{"ink": 1}},
		"profile":   {Service: "print", HoldSeconds: 0.15, Calls: map[string]float64{"ink": 1}},
		"ink":       {Service: "store", HoldSeconds: 0.13, Calls: map[string]float64{"shop": 4}},
		"shop":      {Service: "dispatch", HoldSeconds: 0.03},
		"sample":    {Service: "dispatch", HoldSeconds: 0.1},
		"stock":     {Service: "store", HoldSeconds: 0.3},
	}
}

func TestTotalCosts(t *testing.T) {
	costs := allocator.NewTotalCosts(graph())
	for _, c := range []struct {
		route string
		want  float64
	}{{"catalogue", 0.24}, {"order", 0.12}, {"sample", 0.1}, {"stock", 0}} {
		assert.Assert(t, math.Abs(costs[c.route]["dispatch"]-c.want) < 1e-9, "%s: %v", c.route, costs[c.route])
	}
}

// TestCostsOfCyclicRoutes checks that computing the costs ends if wrongly learned costs contain a cycle.
func TestCostsOfCyclicRoutes(t *testing.T) {
	costs := allocator.NewTotalCosts(map[string]allocator.RouteCosts{
		"a": {Service: "x", HoldSeconds: 0.1, Calls: map[string]float64{"b": 0.5}},
		"b": {Service: "y", HoldSeconds: 0.1, Calls: map[string]float64{"a": 0.5}},
	})
	assert.Assert(t, costs["a"]["x"] < 0.2)
}

type class struct {
	allocator.Class
	perSecond int
}

// update lets the only node of a fleet admit the given share of its demand at each service.
func update(a *allocator.Allocator, now time.Time, costs allocator.TotalCosts, shares map[string]float64) {
	demand := a.UpdateDemand(now, costs)
	a.UpdateFractions(costs, a.Demand(), capacities(demand, shares), nil)
}

// capacities returns the slots that serve the given shares of the demand. A service that can serve all of its demand has
// slots to spare.
func capacities(demand, shares map[string]float64) map[string]float64 {
	slots := map[string]float64{}
	for service, share := range shares {
		slots[service] = share * demand[service]
		if share >= 1 {
			slots[service] = math.Inf(1)
		}
	}
	return slots
}

// replay offers a mix of requests for a number of seconds, with updates of the fractions every 100 ms, and returns
// the admitted fraction of each class in the last second.
func replay(a *allocator.Allocator, mix []class, shares map[string]float64, seconds int) map[allocator.Class]float64 {
	costs := allocator.NewTotalCosts(graph())
	admitted := map[allocator.Class]float64{}
	now := t0
	for range seconds {
		clear(admitted)
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			update(a, now, costs, shares)
			for _, c := range mix {
				for range c.perSecond / 10 {
					if a.Admit(now, c.Class) {
						admitted[c.Class] += 1 / float64(c.perSecond)
					}
				}
			}
		}
	}
	return admitted
}

// TestHighRankAndLowCostFirst replays the heaviest load of the print shops, 1.7 times the capacity of the deepest
// service, which here serves half of its demand. Orders must be admitted in full, and so must the requests that use
// the constrained service least or not at all.
func TestHighRankAndLowCostFirst(t *testing.T) {
	catalogue := allocator.Class{Route: "catalogue", Rank: 34}
	order := allocator.Class{Route: "order", Rank: 0}
	sample := allocator.Class{Route: "sample", Rank: 34}
	stock := allocator.Class{Route: "stock", Rank: 34}
	mix := []class{{catalogue, 400}, {order, 160}, {sample, 50}, {stock, 150}}
	var a allocator.Allocator
	admitted := replay(&a, mix, map[string]float64{"dispatch": 0.5}, 4)
	for _, c := range []allocator.Class{order, sample, stock} {
		assert.Assert(t, admitted[c] > 0.999, "%s: %.2f", c.Route, admitted[c])
	}
	// The demand is 96 + 19.2 + 5 = 120.2 slots. Half of it, 60.1, less orders and samples leaves 35.9 of 96.
	assert.Assert(t, math.Abs(admitted[catalogue]-0.374) < 0.03, "catalogue: %.3f", admitted[catalogue])
}

// TestRankBeforeCost checks that a request of a more important rank precedes a cheaper request.
func TestRankBeforeCost(t *testing.T) {
	high := allocator.Class{Route: "catalogue", Rank: 2}
	low := allocator.Class{Route: "order", Rank: 16}
	var a allocator.Allocator
	admitted := replay(&a, []class{{high, 100}, {low, 200}}, map[string]float64{"dispatch": 0.5}, 4)
	assert.Assert(t, admitted[high] > 0.999 && admitted[low] < 0.05, "high %.2f, low %.2f", admitted[high], admitted[low])
}

// TestOneConstrainedService checks that requests refused because of the deepest service don't count as demand at the
// services above it, whose own requests are admitted in full. The test fails if each service takes its share of
// the whole offered load.
func TestOneConstrainedService(t *testing.T) {
	catalogue := allocator.Class{Route: "catalogue", Rank: 34}
	stock := allocator.Class{Route: "stock", Rank: 34}
	mix := []class{{catalogue, 400}, {stock, 150}}
	costs := allocator.NewTotalCosts(graph())
	var a allocator.Allocator
	// Capacity: dispatch can serve 30 % of its demand; store can serve 60 % of its offered load, and all of the
	// demand that remains.
	slots := map[string]float64{"dispatch": 0.3 * 400 * 0.24, "store": 0.6 * (400*0.26 + 150*0.3)}
	admitted := map[allocator.Class]float64{}
	now := t0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		demand := a.UpdateDemand(now, costs)
		shares := map[string]float64{}
		for service, n := range slots {
			shares[service] = min(1, n/demand[service])
		}
		a.UpdateFractions(costs, a.Demand(), capacities(demand, shares), nil)
		clear(admitted)
		for _, c := range mix {
			for range c.perSecond / 10 {
				if a.Admit(now, c.Class) {
					admitted[c.Class] += 10 / float64(c.perSecond)
				}
			}
		}
	}
	assert.Assert(t, admitted[stock] > 0.98, "stock %.2f", admitted[stock])
	assert.Assert(t, math.Abs(admitted[catalogue]-0.3) < 0.06, "catalogue %.2f", admitted[catalogue])
}

// TestTwoConstrainedServices checks that two services which can each serve half of a class steadily admit half of
// it, instead of alternating between everything and half.
func TestTwoConstrainedServices(t *testing.T) {
	c := allocator.Class{Route: "catalogue", Rank: 34}
	costs := allocator.NewTotalCosts(graph())
	slots := map[string]float64{"dispatch": 0.5 * 400 * 0.24, "window": 0.5 * 400 * 0.4}
	var a allocator.Allocator
	now := t0
	admitted := 0.0
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		demand := a.UpdateDemand(now, costs)
		shares := map[string]float64{}
		for service, n := range slots {
			shares[service] = min(1, n/demand[service])
		}
		a.UpdateFractions(costs, a.Demand(), capacities(demand, shares), nil)
		for range 40 {
			if a.Admit(now, c) && i >= 50 {
				admitted += 1.0 / (40 * 50)
			}
		}
	}
	assert.Assert(t, admitted > 0.45 && admitted < 0.62, "admitted %.2f", admitted)
}

// TestAdmitsAllAfterOverload checks that all requests are admitted once the service can serve its demand.
func TestAdmitsAllAfterOverload(t *testing.T) {
	catalogue := allocator.Class{Route: "catalogue", Rank: 34}
	var a allocator.Allocator
	replay(&a, []class{{catalogue, 400}}, map[string]float64{"dispatch": 0.1}, 3)
	admitted := replay(&a, []class{{catalogue, 400}}, map[string]float64{"dispatch": 1}, 3)
	assert.Assert(t, admitted[catalogue] > 0.99)
}

// TestDemandAfterStart checks that a node that has just started knows its demand after the first periods,
// not only after the averaging window. When all nodes restart, the whole load returns at once.
func TestDemandAfterStart(t *testing.T) {
	costs := allocator.NewTotalCosts(graph())
	a := &allocator.Allocator{}
	now := t0
	a.UpdateDemand(now, costs)
	for range 3 {
		for range 10 {
			a.Admit(now, allocator.Class{Route: "catalogue"})
		}
		now = now.Add(100 * time.Millisecond)
		a.UpdateDemand(now, costs)
	}
	demand := a.UpdateDemand(now, costs)["dispatch"]
	assert.Assert(t, math.Abs(demand-100*0.24) < 0.1, "100 requests a second use 24 slots: %.1f", demand)
}

// threadTime returns the processor time that the current thread has used.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var used unix.Timespec
	assert.NilError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used))
	return time.Duration(used.Nano())
}

// TestCostsOfDenseGraph checks that costs are computed quickly even if wrongly learned costs make many routes call
// each other. Every node computes them ten times per second.
func TestCostsOfDenseGraph(t *testing.T) {
	routes := map[string]allocator.RouteCosts{}
	for i := range 8 {
		calls := map[string]float64{}
		for k := range 8 {
			calls[fmt.Sprint(k)] = 0.1
		}
		routes[fmt.Sprint(i)] = allocator.RouteCosts{Service: fmt.Sprint(i % 3), HoldSeconds: 0.1, Calls: calls}
	}
	// Processor time is what a node is charged, and a busy machine does not add to it.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadTime(t)
	costs := allocator.NewTotalCosts(routes)
	took := threadTime(t) - start
	assert.Assert(t, took < 20*time.Millisecond, "%s", took)
	// Each request causes 0.8 calls per level, evenly distributed over the eight routes.
	total := 0.0
	for _, c := range costs["0"] {
		total += c
	}
	want := 0.1 * (1 - math.Pow(0.8, 12)) / (1 - 0.8)
	assert.Assert(t, math.Abs(total-want) < 1e-3, "%.4f for %.4f", total, want)
}

// TestDemandOfLargeFleet guards against a demand that is overestimated where each node gets few requests of many classes:
// a request that is the first of its class must not count as the rate of a whole second. The nodes of a large fleet start
// together, as after a loss of all of them, and the callers return at once or a while later.
func TestDemandOfLargeFleet(t *testing.T) {
	const nodes, classes, perSecond, slotsPerRequest = 195, 20, 600.0, 0.24
	costs := allocator.NewTotalCosts(graph())
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		rng := rand.New(rand.NewPCG(20261204, uint64(pause)))
		fleet := make([]allocator.Allocator, nodes)
		for step := range 40 {
			now := t0.Add(time.Duration(step) * 100 * time.Millisecond)
			if step > 0 {
				now = now.Add(pause)
			}
			demand := 0.0
			for i := range fleet {
				a := &fleet[i]
				if step == 1 {
					for at := t0; at.Before(now); at = at.Add(100 * time.Millisecond) {
						a.UpdateDemand(at, costs)
					}
				}
				demand += a.UpdateDemand(now, costs)["dispatch"]
				for p := perSecond / nodes / 10; rng.Float64() < p; p-- {
					a.Admit(now, allocator.Class{Route: "catalogue", Rank: rng.IntN(classes)})
				}
			}
			share := demand / (perSecond * slotsPerRequest)
			assert.Check(t, step < 2 || share < 1.5, "pause %s, step %d: %.2f of the demand", pause, step, share)
			assert.Check(t, step < 12 || share > 0.6, "pause %s, step %d: %.2f of the demand", pause, step, share)
		}
	}
}
