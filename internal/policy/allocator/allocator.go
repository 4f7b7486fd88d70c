// Package allocator decides at the entry node which requests are admitted. The capacity of each constrained
// service is allocated to the requests that use it, in order of rank and, within a rank, of increasing cost.
package allocator

import (
	"cmp"
	"slices"
	"time"
)

// Class identifies requests that are admitted or refused alike.
type Class struct {
	Route string
	Rank  int
}

// TotalCosts holds, by route and service, how much one request of the route uses the service, in slot seconds.
// This includes all calls that the request causes.
type TotalCosts map[string]map[string]float64

const (
	// demandWindow is the time constant of the moving average of the demand.
	demandWindow = time.Second
	// idleTimeout is the time without requests after which a class is removed.
	idleTimeout = 10 * time.Second
	// limitSmoothing is the fraction of the distance to a new limit by which one update moves the limit.
	limitSmoothing = 0.4
	// unlimitedThreshold is the admitted fraction above which a limit is removed.
	unlimitedThreshold = 0.995
	// maxCredit bounds the credit that a class accumulates, in requests: a higher bound would admit bursts.
	maxCredit = 2.0
)

// Allocator holds the admitted fraction of each class at an entry node. It is not safe for concurrent use.
type Allocator struct {
	classes map[Class]*class
	// startedAt is the time of the first measurement.
	startedAt  time.Time
	measuredAt time.Time
}

type class struct {
	Class
	// offered counts the requests since the last measurement; rate is the average demand in requests per second.
	offered int
	rate    float64
	// limits holds, by service, the fraction that the service admits; fraction is the minimum over all
	// services.
	limits   map[string]float64
	fraction float64
	// credit accumulates fraction with each request; an admitted request consumes 1.
	credit float64
	// lastSeen is the time of the latest request of the class.
	lastSeen time.Time
}

// admittedElsewhere returns the fraction of the class that the limits of all services other than the given one
// admit.
func (c *class) admittedElsewhere(service string) float64 {
	fraction := 1.0
	for name, limit := range c.limits {
		if name != service {
			fraction = min(fraction, limit)
		}
	}
	return fraction
}

// Admit counts a request as demand and reports whether it is admitted.
func (a *Allocator) Admit(now time.Time, key Class) bool {
	if a.classes == nil {
		a.classes = map[Class]*class{}
	}
	c := a.classes[key]
	if c == nil {
		c = &class{Class: key, fraction: 1, limits: map[string]float64{}}
		a.classes[key] = c
	}
	c.offered++
	c.lastSeen = now
	if c.fraction >= 1 {
		return true
	}
	c.credit = min(c.credit+c.fraction, maxCredit)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// AdmitReturning counts a request that returns at its reserved time as demand and admits it. It takes the place of a later
// request of the class.
func (a *Allocator) AdmitReturning(now time.Time, key Class) {
	if !a.Admit(now, key) {
		a.classes[key].credit--
	}
}

// AdmittedRate returns the number of requests of the class per second that are admitted at this node at present.
func (a *Allocator) AdmittedRate(key Class) float64 {
	if c := a.classes[key]; c != nil {
		return c.rate * c.fraction
	}
	return 0
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
		for service, cost := range costs[c.Route] {
			demand[service] += c.rate * cost * c.admittedElsewhere(service)
		}
	}
	return demand
}

// UpdateFractions updates the admitted fraction of each class. shares holds the fraction of its demand that each
// constrained service can serve; a service that is missing in shares can serve all of its demand.
func (a *Allocator) UpdateFractions(costs TotalCosts, shares map[string]float64) {
	next := map[*class]map[string]float64{}
	for _, c := range a.classes {
		next[c] = map[string]float64{}
	}
	for service, share := range shares {
		if share < 1 {
			a.allocate(service, share, costs, next)
		}
	}
	for c, limits := range next {
		c.smoothLimits(limits)
	}
}

// smoothLimits moves the current limits towards the given ones in steps. Without smoothing, two services that
// limit the same class would open and close alternately, because each one reacts to the demand that the other
// refuses.
func (c *class) smoothLimits(limits map[string]float64) {
	c.fraction = 1
	for service := range limits {
		if _, ok := c.limits[service]; !ok {
			c.limits[service] = 1
		}
	}
	for service, old := range c.limits {
		limit, ok := limits[service]
		if !ok {
			limit = 1
		}
		limit = old + limitSmoothing*(limit-old)
		if limit > unlimitedThreshold {
			delete(c.limits, service)
			continue
		}
		c.limits[service] = limit
		c.fraction = min(c.fraction, limit)
	}
}

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
	c.rate += weight * (float64(c.offered)/elapsed.Seconds() - c.rate)
	c.offered = 0
}

// allocate distributes the capacity of one service among the classes that use it: by rank, then by cost per
// request.
func (a *Allocator) allocate(service string, share float64, costs TotalCosts, next map[*class]map[string]float64) {
	var classes []*class
	total := 0.0
	for _, c := range a.classes {
		if cost := costs[c.Route][service]; cost > 0 {
			classes = append(classes, c)
			total += c.rate * cost * c.admittedElsewhere(service)
		}
	}
	slices.SortFunc(classes, func(x, y *class) int {
		return cmp.Or(
			cmp.Compare(x.Rank, y.Rank),
			cmp.Compare(costs[x.Route][service], costs[y.Route][service]),
			cmp.Compare(x.Route, y.Route))
	})
	remaining := share * total
	for _, c := range classes {
		fraction := c.admittedElsewhere(service)
		demand := c.rate * costs[c.Route][service] * fraction
		limit := 1.0
		if demand > remaining {
			limit = fraction * max(remaining, 0) / demand
		}
		next[c][service] = limit
		remaining -= demand
	}
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
