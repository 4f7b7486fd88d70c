package prioritizer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
	"gotest.tools/v3/assert"
)

func demand(route string, rank int, rate float64) prioritizer.Demand {
	return prioritizer.Demand{Class: prioritizer.Class{Route: route, Rank: rank}, Rate: rate}
}

var costs = prioritizer.Costs{
	"order": {"press": 0.1}, "query": {"press": 0.1, "stock": 0.2}, "cheap": {"press": 0.01}, "other": {"stock": 0.1}, "idle": {},
}

func fraction(p *prioritizer.Prioritizer, route string, rank int) float64 {
	f, _ := p.Fraction(prioritizer.Class{Route: route, Rank: rank}, costs[route])
	return f
}

// TestCut checks the order across ranks and costs, and that classes which use no constrained service are not limited.
func TestCut(t *testing.T) {
	var p prioritizer.Prioritizer
	p.Update([]prioritizer.Demand{
		demand("order", 2, 500), demand("query", 3, 400), demand("cheap", 3, 100), demand("order", 5, 500), demand("other", 9, 100),
	}, costs, map[string]float64{"press": 71, "stock": 1000}, nil)
	assert.Equal(t, fraction(&p, "order", 2), 1.0)
	assert.Equal(t, fraction(&p, "cheap", 3), 1.0)
	// 71 less 1 % for probes, 50 for orders and 1 for cheap requests leaves 19.29 of 40.
	assert.Assert(t, math.Abs(fraction(&p, "query", 3)-0.48225) < 1e-9, "%v", fraction(&p, "query", 3))
	assert.Assert(t, fraction(&p, "order", 5) <= 0.01)
	assert.Equal(t, fraction(&p, "other", 9), 1.0)
	cut := p.Cuts()["press"]
	assert.Assert(t, cut.Rank == 3 && math.Abs(cut.Fraction-20.29/41) < 1e-9, "%v", cut)
	assert.Equal(t, len(p.Cuts()), 1)
	// Classes without known demand: before, in and after the cut rank.
	assert.Equal(t, fraction(&p, "query", 1), 1.0)
	assert.Assert(t, fraction(&p, "order", 3) < 0.5)
	assert.Assert(t, fraction(&p, "order", 4) <= 0.01)
}

// TestOneRank checks that a single rank gets the whole capacity, without a reserve for probes.
func TestOneRank(t *testing.T) {
	var p prioritizer.Prioritizer
	p.Update([]prioritizer.Demand{demand("order", 2, 1000)}, costs, map[string]float64{"press": 50}, nil)
	assert.Equal(t, fraction(&p, "order", 2), 0.5)
}

// TestUnrankedDemand checks that nodes which report no ranks share the capacity that is left for the lowest rank.
func TestUnrankedDemand(t *testing.T) {
	var p prioritizer.Prioritizer
	p.Update([]prioritizer.Demand{demand("order", 1, 200), demand("order", 2, 400)}, costs, map[string]float64{"press": 60}, map[string]float64{"press": 40})
	assert.Equal(t, fraction(&p, "order", 1), 1.0)
	assert.Assert(t, math.Abs(fraction(&p, "order", 2)-0.5) < 1e-9, "%v", fraction(&p, "order", 2))
}

// TestNoTarget checks that a service without capacity still gets a few requests, so that its recovery is noticed.
func TestNoTarget(t *testing.T) {
	var p prioritizer.Prioritizer
	p.Update([]prioritizer.Demand{demand("order", 2, 1000)}, costs, map[string]float64{"press": 0}, nil)
	assert.Assert(t, fraction(&p, "order", 2) > 0.01)
}

// TestTightensAtOnce checks that a burst is limited by the next update, and that the limit relaxes within a second
// without a step.
func TestTightensAtOnce(t *testing.T) {
	var p prioritizer.Prioritizer
	capacity := map[string]float64{"press": 60}
	update := func(rate float64) float64 {
		p.Update([]prioritizer.Demand{demand("order", 2, rate)}, costs, capacity, nil)
		return fraction(&p, "order", 2)
	}
	assert.Equal(t, update(500), 1.0)
	assert.Assert(t, math.Abs(update(1250)-0.48) < 1e-9)
	assert.Assert(t, update(500) < 0.7)
	for range 10 {
		update(500)
	}
	assert.Equal(t, update(500), 1.0)
}

// TestNeverAboveCapacity checks with random demand that what is admitted fits into the capacity of each service, that no
// rank is limited by a service while a later rank is admitted there beyond the probes, and that a result does not depend on
// the order of the demand.
func TestNeverAboveCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		random := prioritizer.Costs{}
		for r := range 6 {
			random[fmt.Sprint(r)] = map[string]float64{}
			for s := range 3 {
				if rng.IntN(2) == 0 {
					random[fmt.Sprint(r)][fmt.Sprint(s)] = rng.Float64()
				}
			}
		}
		var list []prioritizer.Demand
		total := map[string]float64{}
		for r := range 6 {
			for rank := range 4 {
				if d := demand(fmt.Sprint(r), rank, rng.Float64()*100); rng.IntN(3) > 0 {
					list = append(list, d)
					for s, c := range random[d.Route] {
						total[s] += d.Rate * c
					}
				}
			}
		}
		capacity := map[string]float64{}
		for s := range 3 {
			capacity[fmt.Sprint(s)] = total[fmt.Sprint(s)] * (0.05 + 1.2*rng.Float64())
		}
		var p, shuffled prioritizer.Prioritizer
		p.Update(list, random, capacity, nil)
		admitted := map[string]float64{}
		for _, d := range list {
			f, _ := p.Fraction(d.Class, random[d.Route])
			for s, c := range random[d.Route] {
				admitted[s] += d.Rate * c * f
			}
		}
		for s, slots := range admitted {
			// Limits above 0.995 are not applied.
			assert.Assert(t, slots <= capacity[s]*1.006, "%s: %v of %v", s, slots, capacity[s])
		}
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		shuffled.Update(list, random, capacity, nil)
		for _, d := range list {
			f, _ := p.Fraction(d.Class, random[d.Route])
			g, service := shuffled.Fraction(d.Class, random[d.Route])
			assert.Assert(t, math.Abs(f-g) < 1e-6)
			if cut, ok := p.Cuts()[service]; ok && d.Rank > cut.Rank {
				assert.Assert(t, f <= 0.0101, "%v after the cut %v: %v", d, cut, f)
			}
		}
	}
}

// BenchmarkUpdate measures a decision for 10 routes in 16 ranks at 12 services.
func BenchmarkUpdate(b *testing.B) {
	var p prioritizer.Prioritizer
	var list []prioritizer.Demand
	many, capacity := prioritizer.Costs{}, map[string]float64{}
	for r := range 10 {
		many[fmt.Sprint(r)] = map[string]float64{fmt.Sprint(r): 0.1, fmt.Sprint(r + 1): 0.05, "deep": 0.2}
		capacity[fmt.Sprint(r)] = 100
		for rank := range 16 {
			list = append(list, demand(fmt.Sprint(r), rank, 10))
		}
	}
	capacity["deep"] = 100
	b.ReportAllocs()
	for b.Loop() {
		p.Update(list, many, capacity, nil)
	}
}
