// Package fairsharer divides capacity among client accounts by weighted max-min fairness: each account gets its demand, or
// the common level times its weight if that is less.
package fairsharer

import (
	"cmp"
	"slices"
	"sort"
)

// maxCredit bounds the credit that an account accumulates, in requests: a higher bound would admit bursts.
const maxCredit = 2.0

// Account is the demand of a client account across the fleet.
type Account struct {
	Name string
	// Weight is positive.
	Weight float64
	// Demand is in requests per second. An account without demand need not be listed.
	Demand float64
}

// Sharer holds the demand of the accounts that share capacity. It is not safe for concurrent use.
type Sharer struct {
	// Random, if set, returns a number in [0, 1), the credit that an account begins with. Otherwise accounts with few
	// requests at each of many nodes would get less than their part everywhere, or more.
	Random func() float64

	accounts map[string]*account
	// order holds the accounts by increasing demand per weight, demand and weight the sums over the first accounts of it.
	order          []*account
	demand, weight []float64
	updates        int
}

type account struct {
	Account
	// credit accumulates the admitted fraction with each request; an admitted request consumes 1.
	credit float64
	// update is the number of the latest update that listed the account.
	update int
}

func (a *account) ratio() float64 { return a.Demand / a.Weight }

// Update replaces the accounts. Those without demand or weight are left out.
func (s *Sharer) Update(accounts []Account) {
	if s.accounts == nil {
		s.accounts = map[string]*account{}
	}
	s.updates++
	s.order, s.demand, s.weight = s.order[:0], s.demand[:0], s.weight[:0]
	for _, listed := range accounts {
		if !(listed.Demand > 0 && listed.Weight > 0) {
			continue
		}
		a := s.accounts[listed.Name]
		if a == nil {
			a = &account{}
			if s.Random != nil {
				a.credit = s.Random()
			}
			s.accounts[listed.Name] = a
		}
		a.Account, a.update = listed, s.updates
		s.order = append(s.order, a)
	}
	for name, a := range s.accounts {
		if a.update != s.updates {
			delete(s.accounts, name)
		}
	}
	slices.SortFunc(s.order, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.ratio(), b.ratio()), cmp.Compare(a.Name, b.Name))
	})
	demand, weight := 0.0, 0.0
	for _, a := range s.order {
		demand += a.Demand
		weight += a.Weight
		s.demand, s.weight = append(s.demand, demand), append(s.weight, weight)
	}
}

// Level returns the level at which the given fraction of the whole demand is admitted, in requests per second and weight. It
// returns 0 if there are no accounts.
func (s *Sharer) Level(fraction float64) float64 {
	n := len(s.order)
	if n == 0 {
		return 0
	}
	admitted := min(max(fraction, 0), 1) * s.demand[n-1]
	// The first account that does not get its whole demand.
	i := sort.Search(n, func(i int) bool { return s.atLevelOf(i) >= admitted })
	if i >= n-1 {
		i = n - 1
	}
	demand, weight := s.before(i)
	return (admitted - demand) / (s.weight[n-1] - weight)
}

// before returns the sums over the accounts before the position.
func (s *Sharer) before(i int) (demand, weight float64) {
	if i == 0 {
		return 0, 0
	}
	return s.demand[i-1], s.weight[i-1]
}

// atLevelOf returns what is admitted at the level that just covers the demand of the account at the position.
func (s *Sharer) atLevelOf(i int) float64 {
	return s.demand[i] + s.order[i].ratio()*(s.weight[len(s.weight)-1]-s.weight[i])
}

// Fraction returns the part of the account's requests that is admitted at the level, or false if its demand is unknown.
func (s *Sharer) Fraction(name string, level float64) (float64, bool) {
	a := s.accounts[name]
	if a == nil {
		return 0, false
	}
	return a.fraction(level), true
}

func (a *account) fraction(level float64) float64 { return min(1, level*a.Weight/a.Demand) }

// Admit reports whether a request of the account is admitted at the level, and the part that is. known is false if the
// account's demand is unknown.
func (s *Sharer) Admit(name string, level float64) (ok bool, fraction float64, known bool) {
	a := s.accounts[name]
	if a == nil {
		return false, 0, false
	}
	fraction = a.fraction(level)
	a.credit = min(a.credit+fraction, maxCredit)
	if a.credit < 1 {
		return false, fraction, true
	}
	a.credit--
	return true, fraction, true
}
