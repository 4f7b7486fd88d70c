package fairsharer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/policy/fairsharer"
	"gotest.tools/v3/assert"
)

// TestLargeAccountGetsTheRest checks that an account at seven times its usual demand gets what the others leave, while they
// are admitted in full.
func TestLargeAccountGetsTheRest(t *testing.T) {
	accounts := []fairsharer.Account{{Name: "large", Weight: 1, Demand: 700}}
	for i := range 9 {
		accounts = append(accounts, fairsharer.Account{Name: fmt.Sprint(i), Weight: 1, Demand: 100})
	}
	var s fairsharer.Sharer
	s.Update(accounts)
	level := s.Level(1200.0 / 1600)
	small, _ := s.Fraction("3", level)
	large, _ := s.Fraction("large", level)
	assert.Equal(t, small, 1.0)
	assert.Assert(t, math.Abs(large*700-300) < 1e-9, "%v", large)
}

// TestLevel checks with random accounts that the admitted parts add up to the fraction of the demand, and that an account is
// refused only if it gets at least as much per weight as any other.
func TestLevel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 1000 {
		accounts := make([]fairsharer.Account, 1+rng.IntN(140))
		total := 0.0
		for i := range accounts {
			accounts[i] = fairsharer.Account{Name: fmt.Sprint(i), Weight: 0.1 + rng.Float64(), Demand: rng.ExpFloat64()}
			total += accounts[i].Demand
		}
		var s fairsharer.Sharer
		s.Update(accounts)
		fraction := rng.Float64()
		level := s.Level(fraction)
		admitted := 0.0
		for _, a := range accounts {
			f, known := s.Fraction(a.Name, level)
			assert.Assert(t, known)
			admitted += f * a.Demand
			assert.Assert(t, f*a.Demand <= level*a.Weight+1e-9)
			assert.Assert(t, f == 1 || math.Abs(f*a.Demand-level*a.Weight) < 1e-9)
		}
		assert.Assert(t, math.Abs(admitted-fraction*total) < 1e-6*total, "%v of %v", admitted, fraction*total)
	}
}

// TestEdges checks no account, one account, accounts without demand and a level for everything.
func TestEdges(t *testing.T) {
	var s fairsharer.Sharer
	assert.Equal(t, s.Level(0.5), 0.0)
	s.Update([]fairsharer.Account{{Name: "only", Weight: 3, Demand: 10}, {Name: "idle", Weight: 1}, {Name: "weightless", Demand: 5}})
	f, _ := s.Fraction("only", s.Level(0.5))
	assert.Equal(t, f, 0.5)
	f, _ = s.Fraction("only", s.Level(1))
	assert.Equal(t, f, 1.0)
	_, _, known := s.Admit("idle", 1)
	assert.Assert(t, !known)
	admitted := 0
	for range 100 {
		if ok, _, _ := s.Admit("only", s.Level(0.5)); ok {
			admitted++
		}
	}
	assert.Equal(t, admitted, 50)
	s.Update(nil)
	_, known = s.Fraction("only", 1)
	assert.Assert(t, !known)
}

// BenchmarkUpdate measures an update and a level for a number of accounts with demand, BenchmarkAdmit the decision about one
// request.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{140, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := make([]fairsharer.Account, n)
			for i := range accounts {
				accounts[i] = fairsharer.Account{Name: fmt.Sprint(i), Weight: 1, Demand: rand.ExpFloat64()}
			}
			var s fairsharer.Sharer
			b.ReportAllocs()
			for b.Loop() {
				s.Update(accounts)
				s.Level(0.5)
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	var s fairsharer.Sharer
	var accounts []fairsharer.Account
	for i := range 140 {
		accounts = append(accounts, fairsharer.Account{Name: fmt.Sprint(i), Weight: 1, Demand: 1})
	}
	s.Update(accounts)
	b.ReportAllocs()
	for b.Loop() {
		s.Admit("7", 0.5)
	}
}
