// Package apportioner decides at the entry which whole requests are let in, so that the tightest service
// below them is filled in the order of rank and, within a rank, with what uses it least.
package apportioner

import (
	"cmp"
	"slices"
	"time"
)

// Class is a kind of request that is let in or refused alike.
type Class struct {
	Route string
	Rank  int
}

// Costs tells what one request of a route uses of each service below it, in slot seconds.
type Costs map[string]map[string]float64

const (
	// demandSpan is the time over which the demand is averaged.
	demandSpan = time.Second
	// forgetAfter is when a class without requests is dropped.
	forgetAfter = 10 * time.Second
	// approachStep is the part of the way to a new limit that one plan goes.
	approachStep = 0.4
	// openLimit is what a limit is dropped at.
	openLimit = 0.995
	// mostCredit bounds what a class saves up, in requests: more would let bursts through.
	mostCredit = 2.0
)

// Apportioner holds the entry's plan. It is not safe for concurrent use.
type Apportioner struct {
	classes map[Class]*class
	planned time.Time
}

type class struct {
	Class
	// offered counts the requests since the last plan; rate is the demand a second.
	offered int
	rate    float64
	// limits holds, by service, the part that the service lets in; fraction is the least of them.
	limits   map[string]float64
	fraction float64
	// credit is what is saved up for the next request.
	credit float64
	// first and last are when the class was asked for.
	first time.Time
	last  time.Time
}

// reaching returns the part of the class that reaches a service past the limits of all others.
func (c *class) reaching(service string) float64 {
	part := 1.0
	for name, limit := range c.limits {
		if name != service {
			part = min(part, limit)
		}
	}
	return part
}

// Admit counts a request as demand and says whether it is let in.
func (a *Apportioner) Admit(now time.Time, c Class) bool {
	if a.classes == nil {
		a.classes = map[Class]*class{}
	}
	s := a.classes[c]
	if s == nil {
		s = &class{Class: c, fraction: 1, limits: map[string]float64{}, first: now}
		a.classes[c] = s
	}
	s.offered++
	s.last = now
	if s.fraction >= 1 {
		return true
	}
	s.credit = min(s.credit+s.fraction, mostCredit)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// Fraction returns the part of a class that is let in.
func (a *Apportioner) Fraction(c Class) float64 {
	if s := a.classes[c]; s != nil {
		return s.fraction
	}
	return 1
}

// Measure brings the demand up to date and returns it by service, in slots. What another service keeps out
// is no demand.
func (a *Apportioner) Measure(now time.Time, costs Costs) map[string]float64 {
	a.measure(now)
	demand := map[string]float64{}
	for _, s := range a.classes {
		for service, cost := range costs[s.Route] {
			demand[service] += s.rate * cost * s.reaching(service)
		}
	}
	return demand
}

// Plan works out what is let in until the next plan, from the share of its demand that each tight service
// takes. A service that shares does not name takes everything.
func (a *Apportioner) Plan(costs Costs, shares map[string]float64) {
	next := map[*class]map[string]float64{}
	for _, s := range a.classes {
		next[s] = map[string]float64{}
	}
	for service, share := range shares {
		if share < 1 {
			a.fill(service, share, costs, next)
		}
	}
	for s, limits := range next {
		s.approach(limits)
	}
}

// approach moves the limits towards new ones. Two services that both bind would else open and close in turn,
// each by what the other kept out.
func (c *class) approach(limits map[string]float64) {
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
		limit = old + approachStep*(limit-old)
		if limit > openLimit {
			delete(c.limits, service)
			continue
		}
		c.limits[service] = limit
		c.fraction = min(c.fraction, limit)
	}
}

func (a *Apportioner) measure(now time.Time) {
	span := now.Sub(a.planned)
	if a.planned.IsZero() || span <= 0 {
		a.planned = now
		return
	}
	for k, s := range a.classes {
		s.measure(now, span)
		if now.Sub(s.last) > forgetAfter {
			delete(a.classes, k)
		}
	}
	a.planned = now
}

// measure takes the requests of the last span into the rate. A class that is younger than demandSpan is averaged
// over its age: it would else seem small for that long after a start of the node.
func (c *class) measure(now time.Time, span time.Duration) {
	over := min(demandSpan, max(now.Sub(c.first), span))
	weight := min(1, span.Seconds()/over.Seconds())
	c.rate += weight * (float64(c.offered)/span.Seconds() - c.rate)
	c.offered = 0
}

// fill gives the share of one service to the classes that use it, the most important first.
func (a *Apportioner) fill(service string, share float64, costs Costs, next map[*class]map[string]float64) {
	var users []*class
	total := 0.0
	for _, s := range a.classes {
		if cost := costs[s.Route][service]; cost > 0 {
			users = append(users, s)
			total += s.rate * cost * s.reaching(service)
		}
	}
	slices.SortFunc(users, func(x, y *class) int {
		return cmp.Or(
			cmp.Compare(x.Rank, y.Rank),
			cmp.Compare(costs[x.Route][service], costs[y.Route][service]),
			cmp.Compare(x.Route, y.Route))
	})
	left := share * total
	for _, s := range users {
		reaching := s.reaching(service)
		need := s.rate * costs[s.Route][service] * reaching
		limit := 1.0
		if need > left {
			limit = reaching * max(left, 0) / need
		}
		next[s][service] = limit
		left -= need
	}
}

// maxDepth bounds the walk down the call graph; calls are up to 11 deep at the target size.
const maxDepth = 12

// Row is what one request of a route causes at its own service.
type Row struct {
	Service string
	// Hold is the time for which it holds a slot there, in seconds.
	Hold  float64
	Calls map[string]float64
}

// Close works out what a request of each route uses of all services below it. Level by level, so that rows which
// call each other, as wrongly learnt ones may, cost no more than maxDepth passes.
func Close(rows map[string]Row) Costs {
	costs := Costs{}
	for name := range rows {
		into := map[string]float64{}
		level := map[string]float64{name: 1}
		for depth := 0; depth < maxDepth && len(level) > 0; depth++ {
			level = descend(into, rows, level)
		}
		costs[name] = into
	}
	return costs
}

// descend adds what the requests of a level use, and returns the calls that they make.
func descend(into map[string]float64, rows map[string]Row, level map[string]float64) map[string]float64 {
	next := map[string]float64{}
	for name, times := range level {
		row, ok := rows[name]
		if !ok {
			continue
		}
		into[row.Service] += times * row.Hold
		for callee, n := range row.Calls {
			next[callee] += times * n
		}
	}
	return next
}
