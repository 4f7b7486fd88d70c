// Package allocator decides at the entry node which requests are admitted. It measures the demand of each class of requests
// and admits of each the fraction that the prioritizer computes from the demand of the whole fleet.
package allocator

import (
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/fairsharer"
	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
)

// Class identifies requests that are admitted or refused alike.
type Class = prioritizer.Class

// TotalCosts holds, by route and service, how much one request of the route uses the service, in slot seconds.
// This includes all calls that the request causes.
type TotalCosts map[string]map[string]float64

const (
	// demandWindow is the time constant of the moving average of the demand.
	demandWindow = time.Second
	// recentWindow is the time constant of the average that shows a rise. Updates that are 100 ms apart then follow a step
	// to five sixths within 200 ms.
	recentWindow = time.Second / 6
	// idleTimeout is the time without requests after which a class is removed.
	idleTimeout = 10 * time.Second
	// maxCredit bounds the credit that a class accumulates, in requests: a higher bound would admit bursts.
	maxCredit = 2.0
	// minReported is the rate below which a class is not reported, in requests per second.
	minReported = 0.02
)

// ChildCallRank is the rank of child calls, which are counted as demand but not admitted here.
const ChildCallRank = -1

// Allocator holds the admitted fraction of each class at an entry node. It is not safe for concurrent use.
type Allocator struct {
	classes map[Class]*class
	// startedAt is the time of the first measurement.
	startedAt   time.Time
	measuredAt  time.Time
	prioritizer prioritizer.Prioritizer
	// costs are those of the last update.
	costs TotalCosts
	// Random, if set, returns a number in [0, 1). Client accounts begin with it as their credit.
	Random func() float64
	// sharers divides, by rank, what is admitted of the rank among the client accounts.
	sharers map[int]*fairsharer.Sharer
}

type class struct {
	Class
	// offered counts the requests since the last measurement; rate is the average demand in requests per second, recent the
	// average over recentWindow.
	offered      int
	rate, recent float64
	// fraction is the admitted fraction and service the service that limits the class, if any.
	fraction float64
	service  string
	// level is the level of the client accounts at which fraction is admitted.
	level float64
	// credit accumulates fraction with each request; an admitted request consumes 1.
	credit float64
	// lastSeen is the time of the latest request of the class.
	lastSeen time.Time
}

// admittedElsewhere returns the fraction of the class that the limits of all services other than the given one
// admit.
func (c *class) admittedElsewhere(service string) float64 {
	if c.service == service {
		return 1
	}
	return c.fraction
}

// class returns the class with the key and counts a request of it.
func (a *Allocator) class(now time.Time, key Class) *class {
	if a.classes == nil {
		a.classes = map[Class]*class{}
	}
	c := a.classes[key]
	if c == nil {
		c = &class{Class: key, fraction: 1}
		if key.Rank != ChildCallRank {
			a.limit(c)
		}
		a.classes[key] = c
	}
	c.offered++
	c.lastSeen = now
	return c
}

// CountCall counts a child call of the route as demand.
func (a *Allocator) CountCall(now time.Time, route string) {
	a.class(now, Class{Route: route, Rank: ChildCallRank})
}

// Admit counts a request without a client account as demand and reports whether it is admitted.
func (a *Allocator) Admit(now time.Time, key Class) bool {
	ok, _ := a.AdmitAccount(now, key, "")
	return ok
}

// AdmitAccount counts a request of a client account as demand. It reports whether the request is admitted, and the part of
// the account's requests of the class that is admitted at present.
func (a *Allocator) AdmitAccount(now time.Time, key Class, account string) (ok bool, fraction float64) {
	c := a.class(now, key)
	if c.fraction >= 1 {
		return true, 1
	}
	if s := a.sharers[key.Rank]; s != nil && account != "" {
		if ok, fraction, known := s.Admit(account, c.level); known {
			return ok, fraction
		}
	}
	return c.admit(), c.fraction
}

// limit sets the admitted fraction of the class.
func (a *Allocator) limit(c *class) {
	c.fraction, c.service = a.prioritizer.Fraction(c.Class, a.costs[c.Route])
	if s := a.sharers[c.Rank]; s != nil && c.fraction < 1 {
		c.level = s.Level(c.fraction)
	}
}

// LimitedRanks returns the ranks of which a class is limited.
func (a *Allocator) LimitedRanks() []int {
	var ranks []int
	for _, c := range a.classes {
		if c.fraction < 1 && !slices.Contains(ranks, c.Rank) {
			ranks = append(ranks, c.Rank)
		}
	}
	return ranks
}

// SetAccounts sets the client accounts that share what is admitted, by rank. In ranks without any, all accounts are
// admitted alike.
func (a *Allocator) SetAccounts(accounts map[int][]fairsharer.Account) {
	for rank := range a.sharers {
		if _, ok := accounts[rank]; !ok {
			delete(a.sharers, rank)
		}
	}
	if a.sharers == nil {
		a.sharers = map[int]*fairsharer.Sharer{}
	}
	for rank, list := range accounts {
		s := a.sharers[rank]
		if s == nil {
			s = &fairsharer.Sharer{Random: a.Random}
			a.sharers[rank] = s
		}
		s.Update(list)
	}
	for _, c := range a.classes {
		if s := a.sharers[c.Rank]; s != nil && c.fraction < 1 {
			c.level = s.Level(c.fraction)
		}
	}
}

// Levels returns the lowest level of the client accounts by the service that limits a class of their requests.
func (a *Allocator) Levels() map[string]float64 {
	levels := map[string]float64{}
	for _, c := range a.classes {
		if a.sharers[c.Rank] == nil || c.fraction >= 1 {
			continue
		}
		if old, ok := levels[c.service]; !ok || c.level < old {
			levels[c.service] = c.level
		}
	}
	return levels
}

// admit reports whether a request of the class is admitted.
func (c *class) admit() bool {
	c.credit = min(c.credit+c.fraction, maxCredit)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// AdmittedFraction returns the admitted fraction of a class.
func (a *Allocator) AdmittedFraction(key Class) float64 {
	if c := a.classes[key]; c != nil {
		return c.fraction
	}
	return 1
}

// UpdateDemand measures the demand and returns it by service, in slots. Requests that the limit of another
// service refuses don't count towards a service's demand.
func (a *Allocator) UpdateDemand(now time.Time, costs TotalCosts) map[string]float64 {
	a.measure(now)
	demand := map[string]float64{}
	for _, c := range a.classes {
		if c.Rank == ChildCallRank {
			continue
		}
		for service, cost := range costs[c.Route] {
			demand[service] += c.rate * cost * c.admittedElsewhere(service)
		}
	}
	return demand
}

// Demand returns the demand of each class at this node, child calls included.
func (a *Allocator) Demand() []Demand {
	list := make([]Demand, 0, len(a.classes))
	for _, c := range a.classes {
		if max(c.rate, c.recent) >= minReported {
			list = append(list, Demand{Class: c.Class, Rate: c.rate, Recent: c.recent})
		}
	}
	return list
}

// UpdateFractions updates the admitted fraction of each class. demand is that of the whole fleet with each class once,
// capacity the number of slots of each service that may be used, and unranked the demand by service, in slots, whose rank
// is unknown. It returns the demand of the service that is used most, in relation to its capacity.
func (a *Allocator) UpdateFractions(costs TotalCosts, demand []Demand, capacity, unranked map[string]float64) (utilisation float64) {
	a.costs = costs
	a.prioritizer.Update(effective(demand), costs, capacity, unranked)
	for _, c := range a.classes {
		if c.Rank != ChildCallRank {
			a.limit(c)
		}
	}
	return a.prioritizer.Utilisation()
}

// Cuts returns the cut of each service that limits any class.
func (a *Allocator) Cuts() map[string]prioritizer.Cut { return a.prioritizer.Cuts() }

func (a *Allocator) measure(now time.Time) {
	elapsed := now.Sub(a.measuredAt)
	if a.measuredAt.IsZero() || elapsed <= 0 {
		a.measuredAt = now
		if a.startedAt.IsZero() {
			a.startedAt = now
		}
		return
	}
	window := min(demandWindow, max(now.Sub(a.startedAt), elapsed))
	for key, c := range a.classes {
		c.measure(elapsed, window)
		if now.Sub(c.lastSeen) > idleTimeout {
			delete(a.classes, key)
		}
	}
	a.measuredAt = now
}

// measure updates the moving average of the rate over the window with the requests of the elapsed time. A node younger
// than demandWindow averages over its own age; otherwise its demand would be underestimated for that long. The age of the
// class does not count: it begins with a request, so that the rate of rare classes would be overestimated.
func (c *class) measure(elapsed, window time.Duration) {
	weight := min(1, elapsed.Seconds()/window.Seconds())
	rate := float64(c.offered) / elapsed.Seconds()
	c.rate += weight * (rate - c.rate)
	c.recent += min(1, elapsed.Seconds()/min(recentWindow, window).Seconds()) * (rate - c.recent)
	c.offered = 0
}

// maxDepth bounds the traversal of the call graph. Calls are up to 11 levels deep at the target size.
const maxDepth = 12

// RouteCosts describes the slot use and the calls of one request of a route at the service of the route.
type RouteCosts struct {
	Service string
	// HoldSeconds is the time for which the request holds a slot, in seconds.
	HoldSeconds float64
	// Calls is the number of calls per request, by the route called.
	Calls map[string]float64
}

// NewTotalCosts returns the costs of a request of each route at all services that it uses directly or through
// calls. It traverses the call graph level by level. If the learned costs wrongly contain a cycle, the traversal
// ends after maxDepth levels.
func NewTotalCosts(routes map[string]RouteCosts) TotalCosts {
	costs := TotalCosts{}
	for name := range routes {
		total := map[string]float64{}
		level := map[string]float64{name: 1}
		for depth := 0; depth < maxDepth && len(level) > 0; depth++ {
			level = expandLevel(total, routes, level)
		}
		costs[name] = total
	}
	return costs
}

// expandLevel adds the costs of the requests of one level to total and returns the calls that they make.
func expandLevel(total map[string]float64, routes map[string]RouteCosts, level map[string]float64) map[string]float64 {
	next := map[string]float64{}
	for name, count := range level {
		route, ok := routes[name]
		if !ok {
			continue
		}
		total[route.Service] += count * route.HoldSeconds
		for callee, n := range route.Calls {
			next[callee] += count * n
		}
	}
	return next
}
