package allocator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"gotest.tools/v3/assert"
)

// fleet is a number of entry nodes that hear each other's demand after reportDelay ticks of 100 ms.
type fleet struct {
	nodes []allocator.Allocator
	// reported holds what the nodes have measured, by tick and node.
	reported [][][]allocator.Demand
	delay    int
	// hears tells whether a node hears another one.
	hears func(node, other int) bool
	now   time.Time
	rng   *rand.Rand
	// offered counts the requests of the latest tick.
	offered float64
}

func newFleet(n, delay int) *fleet {
	return &fleet{
		nodes: make([]allocator.Allocator, n), delay: delay, now: t0, rng: rand.New(rand.NewPCG(7, uint64(n))),
		hears: func(int, int) bool { return true },
	}
}

// tick lets 100 ms pass. capacity returns the slots that a node counts on; offered the requests per second of each class at
// a node, which arrive as a Poisson process, or evenly without f.rng. It returns the number of admitted requests of each class.
func (f *fleet) tick(capacity func(node int) map[string]float64, offered func(node int) map[allocator.Class]float64) map[allocator.Class]float64 {
	costs := allocator.NewTotalCosts(graph())
	f.now = f.now.Add(100 * time.Millisecond)
	measured := make([][]allocator.Demand, len(f.nodes))
	for i := range f.nodes {
		f.nodes[i].UpdateDemand(f.now, costs)
		measured[i] = f.nodes[i].Demand()
	}
	f.reported = append(f.reported, measured)
	admitted := map[allocator.Class]float64{}
	f.offered = 0
	for i := range f.nodes {
		f.nodes[i].UpdateFractions(costs, f.known(i), capacity(i), nil)
		for class, rate := range offered(i) {
			n := f.arrivals(rate / 10)
			f.offered += float64(n)
			for range n {
				if f.nodes[i].Admit(f.now, class) {
					admitted[class]++
				}
			}
		}
	}
	return admitted
}

func (f *fleet) arrivals(mean float64) int {
	if f.rng == nil {
		return int(mean)
	}
	n := 0
	for p := f.rng.ExpFloat64(); p < mean; p += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// known returns the demand that a node knows: its own and the late reports of the others.
func (f *fleet) known(node int) []allocator.Demand {
	sums := map[allocator.Class]allocator.Demand{}
	add := func(list []allocator.Demand) {
		for _, d := range list {
			s := sums[d.Class]
			sums[d.Class] = allocator.Demand{Class: d.Class, Rate: s.Rate + d.Rate, Recent: s.Recent + d.Recent}
		}
	}
	last := len(f.reported) - 1
	for i := range f.nodes {
		switch {
		case i == node:
			add(f.reported[last][i])
		case f.hears(node, i) && last >= f.delay:
			add(f.reported[last-f.delay][i])
		}
	}
	var list []allocator.Demand
	for _, d := range sums {
		list = append(list, d)
	}
	return list
}

func dispatch(slots float64) func(int) map[string]float64 {
	return func(int) map[string]float64 { return map[string]float64{"dispatch": slots} }
}

// TestOrderAcrossNodes checks that the order by rank holds across nodes: one has important requests only, the other
// unimportant ones, and there is capacity for half. If each node admits its share of its own demand, 250 and 250 a second
// are admitted instead of 500 and 0.
func TestOrderAcrossNodes(t *testing.T) {
	high, low := allocator.Class{Route: "sample", Rank: 2}, allocator.Class{Route: "sample", Rank: 40}
	f := newFleet(2, 2)
	f.rng = nil
	admitted := map[allocator.Class]float64{}
	for i := range 100 {
		got := f.tick(dispatch(50), func(node int) map[allocator.Class]float64 {
			return map[allocator.Class]float64{[]allocator.Class{high, low}[node]: 500}
		})
		for class, n := range got {
			if i >= 20 {
				admitted[class] += n / 8
			}
		}
	}
	assert.Assert(t, admitted[high] > 500-1, "%v", admitted)
	assert.Assert(t, admitted[low] < 1, "%v", admitted)
}

// TestBurst replays a burst of 2.5 times the usual demand at 60 nodes, whose capacity is 1.25 times the usual demand, with
// reports that are 300 ms old. From 500 ms after its start on, little more than the capacity is admitted, and neither
// then nor after the burst does the admitted rate oscillate.
func TestBurst(t *testing.T) {
	class := allocator.Class{Route: "sample", Rank: 2}
	f := newFleet(60, 3)
	const usual, capacity = 600.0, 750.0
	var admitted, offered []float64
	for i := range 100 {
		rate := usual
		if i >= 30 && i < 70 {
			rate = 2.5 * usual
		}
		got := f.tick(dispatch(capacity*0.1), func(int) map[allocator.Class]float64 { return map[allocator.Class]float64{class: rate / 60} })
		admitted, offered = append(admitted, got[class]*10), append(offered, f.offered*10)
	}
	mean := func(list []float64, from, to int) float64 {
		sum := 0.0
		for _, n := range list[from:to] {
			sum += n
		}
		return sum / float64(to-from)
	}
	assert.Assert(t, mean(admitted, 10, 30) > 0.97*mean(offered, 10, 30), "before: %.0f", mean(admitted, 10, 30))
	for i := 35; i < 70; i += 5 {
		m := mean(admitted, i, i+5)
		assert.Check(t, m > 0.8*capacity && m < 1.2*capacity, "burst, tick %d: %.0f of %.0f", i, m, capacity)
	}
	t.Logf("admitted per second, by tick from the start of the burst on: %.0f", admitted[30:80])
	assert.Assert(t, mean(admitted, 85, 100) > 0.97*mean(offered, 85, 100), "after: %.0f", mean(admitted, 85, 100))
}

// TestWave replays demand that rises and falls by one half with a period of 17 s around the capacity, at 90 nodes with reports
// 300 ms old. In each second, nearly all that fits must be admitted and little more: limits that follow too late admit too
// much on the rise and too little on the fall.
func TestWave(t *testing.T) {
	class := allocator.Class{Route: "sample", Rank: 2}
	f := newFleet(90, 3)
	const capacity = 900.0
	for second := range 34 {
		fits, admitted := 0.0, 0.0
		for i := range 10 {
			rate := capacity * (1 + math.Sin(2*math.Pi*float64(10*second+i)/170)/2)
			got := f.tick(dispatch(capacity*0.1), func(int) map[allocator.Class]float64 { return map[allocator.Class]float64{class: rate / 90} })
			fits += min(f.offered, capacity/10)
			admitted += got[class]
		}
		if second > 0 {
			assert.Check(t, admitted > 0.85*fits && admitted < 1.15*capacity, "second %d: %.0f of %.0f", second, admitted, fits)
		}
	}
}

// TestPartition checks that two halves of a fleet which stop hearing each other keep admitting by the capacity that each of
// them hears of, and that nobody is refused without need once they are joined again.
func TestPartition(t *testing.T) {
	class := allocator.Class{Route: "sample", Rank: 2}
	f := newFleet(20, 2)
	parted := func(i int) bool { return i >= 30 && i < 80 }
	admitted := map[bool]float64{}
	for i := range 120 {
		f.hears = func(node, other int) bool { return !parted(i) || (node < 10) == (other < 10) }
		slots := 40.0
		if parted(i) {
			slots = 20
		}
		got := f.tick(dispatch(slots), func(int) map[allocator.Class]float64 { return map[allocator.Class]float64{class: 40} })
		if i >= 20 {
			admitted[parted(i)] += got[class] / 50 * 10
		}
	}
	assert.Assert(t, math.Abs(admitted[true]-400) < 40, "parted: %.0f", admitted[true])
	assert.Assert(t, math.Abs(admitted[false]-400) < 40, "together: %.0f", admitted[false])
}

// TestRestartOfAllNodes checks that after a restart of all nodes, which know nothing of each other at first, each of them
// uses its part of the capacity, and that the capacity is used from the first second on.
func TestRestartOfAllNodes(t *testing.T) {
	class := allocator.Class{Route: "sample", Rank: 2}
	const nodes, silent = 30, 5
	f := newFleet(nodes, 1)
	for i := range 30 {
		f.hears = func(int, int) bool { return i >= silent }
		slots := 30.0
		if i < silent {
			slots /= nodes
		}
		got := f.tick(dispatch(slots), func(int) map[allocator.Class]float64 { return map[allocator.Class]float64{class: 40} })
		if i >= 2 {
			// Each node admits two requests on credit when it starts.
			assert.Check(t, got[class] < 2*30+30, "tick %d: %.0f", i, got[class])
		}
		if i >= 10 {
			assert.Check(t, got[class] > 15, "tick %d: %.0f", i, got[class])
		}
	}
}

// BenchmarkAdmit measures the decision about one request.
func BenchmarkAdmit(b *testing.B) {
	var a allocator.Allocator
	costs := allocator.NewTotalCosts(graph())
	class := allocator.Class{Route: "sample", Rank: 2}
	a.Admit(t0, class)
	a.UpdateFractions(costs, []allocator.Demand{{Class: class, Rate: 1000}}, map[string]float64{"dispatch": 50}, nil)
	b.ReportAllocs()
	for b.Loop() {
		a.Admit(t0, class)
	}
}
