package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/fairsharer"
	"gotest.tools/v3/assert"
)

// TestFairAmongAccounts replays one account at seven times its usual demand, which enters at one of two nodes, beside nine
// others that use both. The others must be admitted nearly in full at both nodes, and the large one gets the rest; without
// fair shares, all get the same fraction.
func TestFairAmongAccounts(t *testing.T) {
	class := allocator.Class{Route: "sample", Rank: 2}
	costs := allocator.NewTotalCosts(graph())
	accounts := []fairsharer.Account{{Name: "large", Weight: 100, Demand: 700}}
	for i := range 9 {
		accounts = append(accounts, fairsharer.Account{Name: fmt.Sprint(i), Weight: 100, Demand: 100})
	}
	nodes := make([]allocator.Allocator, 2)
	admitted := map[string]float64{}
	for tick := range 50 {
		now := t0.Add(time.Duration(tick) * 100 * time.Millisecond)
		for i := range nodes {
			a := &nodes[i]
			a.UpdateDemand(now, costs)
			a.UpdateFractions(costs, []allocator.Demand{{Class: class, Rate: 1600, Recent: 1600}}, map[string]float64{"dispatch": 120}, nil)
			a.SetAccounts(map[int][]fairsharer.Account{2: accounts})
			offer := func(account string, n int) {
				for range n {
					if ok, _ := a.AdmitAccount(now, class, account); ok && tick >= 10 {
						admitted[account] += 1.0 / 4
					}
				}
			}
			for k := range 9 {
				offer(fmt.Sprint(k), 5)
			}
			if i == 0 {
				offer("large", 70)
			}
		}
	}
	for k := range 9 {
		assert.Assert(t, admitted[fmt.Sprint(k)] > 99, "%v", admitted)
	}
	assert.Assert(t, admitted["large"] > 295 && admitted["large"] < 305, "%v", admitted)
}

// TestUnknownAccounts checks that requests without an account and of accounts whose demand is not known yet are admitted by
// the fraction of their class, so that a start of all nodes does not admit everything.
func TestUnknownAccounts(t *testing.T) {
	class := allocator.Class{Route: "sample", Rank: 2}
	costs := allocator.NewTotalCosts(graph())
	var a allocator.Allocator
	a.SetAccounts(map[int][]fairsharer.Account{2: nil})
	a.UpdateFractions(costs, []allocator.Demand{{Class: class, Rate: 1000, Recent: 1000}}, map[string]float64{"dispatch": 25}, nil)
	for _, account := range []string{"", "new"} {
		admitted := 0
		for range 400 {
			if ok, fraction := a.AdmitAccount(t0, class, account); ok {
				assert.Equal(t, fraction, 0.25)
				admitted++
			}
		}
		assert.Assert(t, admitted >= 99 && admitted <= 101, "%q: %d", account, admitted)
	}
	assert.DeepEqual(t, a.LimitedRanks(), []int{2})
}

// BenchmarkAdmitAccount measures the decision about one request with 140 accounts.
func BenchmarkAdmitAccount(b *testing.B) {
	class := allocator.Class{Route: "sample", Rank: 2}
	var accounts []fairsharer.Account
	for i := range 140 {
		accounts = append(accounts, fairsharer.Account{Name: fmt.Sprint(i), Weight: 1, Demand: 10})
	}
	var a allocator.Allocator
	a.SetAccounts(map[int][]fairsharer.Account{2: accounts})
	a.UpdateFractions(allocator.NewTotalCosts(graph()), []allocator.Demand{{Class: class, Rate: 1400}}, map[string]float64{"dispatch": 70}, nil)
	b.ReportAllocs()
	for b.Loop() {
		a.AdmitAccount(t0, class, "7")
	}
}
