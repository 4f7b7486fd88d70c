// Package prioritizer decides which part of the requests of each route and rank is admitted, in one order across the whole
// fleet. Nodes that know the same demand and capacity reach the same decision.
//
// Requests are admitted by rank and, within a rank, by increasing cost at the scarcest service that they use. The rank at
// which the capacity of a service is exhausted is its cut rank.
package prioritizer

import (
	"cmp"
	"slices"
)

const (
	// relaxation is the part of the distance to a higher limit by which one update raises the limit. Limits fall at once.
	// The limits of nodes whose sums are of different ages would oscillate if they also rose at once.
	relaxation = 0.4
	// unlimitedThreshold is the admitted fraction above which a limit is removed.
	unlimitedThreshold = 0.995
	// probeShare bounds both the fraction of the ranks after the cut rank that is admitted and the part of the capacity
	// that they get.
	probeShare = 0.01
	// minShare is the lower bound of a service's capacity as a part of its demand. It keeps some requests flowing to a
	// service without any known target, so that a recovery is detected.
	minShare = 0.02
)

// Class identifies requests that are admitted alike.
type Class struct {
	Route string
	Rank  int
}

// Demand is the rate at which requests of a class arrive at all nodes, in requests per second.
type Demand struct {
	Class
	Rate float64
}

// Costs holds, by route and service, how much one request of the route uses the service, in slot seconds.
type Costs = map[string]map[string]float64

// Cut describes the decision for a constrained service.
type Cut struct {
	// Rank is the cut rank, and Fraction the admitted part of its demand at the service.
	Rank     int
	Fraction float64
}

// Prioritizer holds the admitted fraction of each class. It is not safe for concurrent use.
type Prioritizer struct {
	services map[string]*service
	limited  map[Class]*limit
	cells    []cell
	// unranked is the demand without a known rank, by service, in slots.
	unranked    map[string]float64
	utilisation float64
}

// service is the state of one decision about a service. All but the cut is in slots.
type service struct {
	capacity  float64
	demand    float64
	remaining float64
	// last is the demand of the lowest rank, and later the demand of the ranks after the cut rank.
	last, later float64
	// cutRank is the cut rank if cut is set; before, it is the latest rank. cutDemand and cutAdmitted are the demand and the
	// admitted demand of that rank.
	cutDemand, cutAdmitted float64
	cut                    bool
	cutRank                int
	// probe is the fraction admitted of the ranks after probeRank, if it is positive.
	probe     float64
	probeRank int
	probing   bool
	// shared is set once the part of the unranked demand has been taken off the remaining capacity.
	shared bool
}

// cell is a class with its demand.
type cell struct {
	Demand
	costs map[string]float64
	// scarcity is the largest part of a constrained service's capacity that one request per second uses.
	scarcity float64
	fraction float64
	// service is the one that limits the class, if any.
	service string
}

// limit is the limit of a class that is not admitted in full.
type limit struct {
	fraction float64
	service  string
	current  bool
}

// Update computes the admitted fractions. demand holds the demand of the fleet with each class once, capacity the capacity of
// each service in slots, and unranked the demand whose rank is unknown, in slots by service, which counts as demand of the
// lowest rank. Services without a capacity in the map do not limit any class.
func (p *Prioritizer) Update(demand []Demand, costs Costs, capacity, unranked map[string]float64) {
	p.unranked = unranked
	p.prepare(demand, costs, capacity)
	p.allocate()
	if p.reserveProbes() {
		p.allocate()
	}
	p.adopt()
}

// prepare finds the constrained services and orders the classes that use them.
func (p *Prioritizer) prepare(demand []Demand, costs Costs, capacity map[string]float64) {
	if p.services == nil {
		p.services, p.limited = map[string]*service{}, map[Class]*limit{}
	}
	clear(p.services)
	for name, c := range capacity {
		p.services[name] = &service{capacity: c, demand: p.unranked[name]}
	}
	lowest := -1
	for i := range demand {
		d := &demand[i]
		lowest = max(lowest, d.Rank)
		for name, cost := range costs[d.Route] {
			if s := p.services[name]; s != nil {
				s.demand += d.Rate * cost
			}
		}
	}
	p.utilisation = 0
	for name, s := range p.services {
		if s.demand > 0 {
			p.utilisation = max(p.utilisation, s.demand/s.capacity)
		}
		s.capacity = max(s.capacity, minShare*s.demand)
		if s.capacity >= s.demand {
			delete(p.services, name)
		}
	}
	p.cells = p.cells[:0]
	for _, d := range demand {
		c := cell{Demand: d, costs: costs[d.Route], fraction: 1}
		for name, cost := range c.costs {
			s := p.services[name]
			if s == nil || cost <= 0 {
				continue
			}
			c.scarcity = max(c.scarcity, cost/s.capacity)
			if d.Rank == lowest {
				s.last += d.Rate * cost
			}
		}
		if c.scarcity > 0 && d.Rate > 0 {
			p.cells = append(p.cells, c)
		}
	}
	slices.SortFunc(p.cells, func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.scarcity, b.scarcity), cmp.Compare(a.Route, b.Route))
	})
}

// allocate gives the capacity to the classes in their order.
func (p *Prioritizer) allocate() {
	for _, s := range p.services {
		s.remaining = s.capacity
		if s.probe > 0 {
			s.remaining = (1 - probeShare) * s.capacity
		}
		s.cut, s.probing, s.shared, s.cutRank, s.cutDemand, s.cutAdmitted, s.later = false, false, false, -1, 0, 0, 0
	}
	for i := range p.cells {
		p.allocateTo(&p.cells[i], p.cells[len(p.cells)-1].Rank)
	}
}

// allocateTo gives a class what remains of the services that it uses, up to its demand.
func (p *Prioritizer) allocateTo(c *cell, lowest int) {
	c.fraction, c.service = 1, ""
	for name, cost := range c.costs {
		s := p.services[name]
		if s == nil || cost <= 0 {
			continue
		}
		if f := s.fits(c.Rank, lowest, c.Rate*cost, p.unranked[name]); f < c.fraction || (f == c.fraction && f < 1 && name < c.service) {
			c.fraction, c.service = f, name
		}
	}
	for name, cost := range c.costs {
		s := p.services[name]
		if s == nil || cost <= 0 {
			continue
		}
		slots := c.Rate * cost
		s.remaining = max(s.remaining-slots*c.fraction, 0)
		if s.cut && c.Rank > s.cutRank {
			s.later += slots
			continue
		}
		if c.Rank > s.cutRank {
			s.cutRank, s.cutDemand, s.cutAdmitted = c.Rank, 0, 0
		}
		s.cut = s.cut || name == c.service
		s.cutDemand += slots
		s.cutAdmitted += slots * c.fraction
	}
}

// fits returns the part of a class's demand, in slots, that the service can serve.
func (s *service) fits(rank, lowest int, slots, unranked float64) float64 {
	if rank == lowest && unranked > 0 && !s.shared {
		s.shared = true
		s.remaining *= s.last / (s.last + unranked)
	}
	if s.probe > 0 && rank > s.probeRank {
		if !s.probing {
			s.probing = true
			s.remaining += probeShare * s.capacity
		}
		return min(s.probe, s.remaining/slots)
	}
	return min(1, s.remaining/slots)
}

// reserveProbes reserves capacity for the ranks after the cut ranks, so that what becomes of their requests stays known. It
// returns false if there are none.
func (p *Prioritizer) reserveProbes() bool {
	any := false
	for _, s := range p.services {
		if s.cut && s.later > 0 {
			s.probe, s.probeRank = min(probeShare, probeShare*s.capacity/s.later), s.cutRank
			any = true
		}
	}
	return any
}

// adopt moves the limits towards the computed fractions.
func (p *Prioritizer) adopt() {
	for _, l := range p.limited {
		l.current = false
	}
	for i := range p.cells {
		c := &p.cells[i]
		l := p.limited[c.Class]
		if l == nil {
			if c.fraction > unlimitedThreshold {
				continue
			}
			l = &limit{fraction: c.fraction}
			p.limited[c.Class] = l
		}
		l.current = true
		if c.service != "" {
			l.service = c.service
		}
		l.move(c.fraction)
	}
	for class, l := range p.limited {
		if !l.current {
			l.move(1)
		}
		if l.fraction > unlimitedThreshold {
			delete(p.limited, class)
		}
	}
}

func (l *limit) move(fraction float64) {
	if fraction < l.fraction {
		l.fraction = fraction
		return
	}
	l.fraction += relaxation * (fraction - l.fraction)
}

// Fraction returns the admitted fraction of a class and the service that limits it, or 1 and "" if none does. costs are
// those of the class's route; they decide about a class of which no demand is known yet.
func (p *Prioritizer) Fraction(class Class, costs map[string]float64) (float64, string) {
	if l := p.limited[class]; l != nil {
		return l.fraction, l.service
	}
	fraction, limiting := 1.0, ""
	if p.knows(class) {
		return fraction, limiting
	}
	for name, cost := range costs {
		s := p.services[name]
		if s == nil || cost <= 0 || !s.cut || class.Rank < s.cutRank {
			continue
		}
		f := probeShare
		if class.Rank == s.cutRank {
			f = s.cutAdmitted / s.cutDemand
		}
		if f < fraction {
			fraction, limiting = f, name
		}
	}
	return fraction, limiting
}

func (p *Prioritizer) knows(class Class) bool {
	return slices.ContainsFunc(p.cells, func(c cell) bool { return c.Class == class })
}

// Utilisation returns the demand of the service that is used most, in relation to its capacity.
func (p *Prioritizer) Utilisation() float64 { return p.utilisation }

// Cuts returns the cut of each service that limits any class.
func (p *Prioritizer) Cuts() map[string]Cut {
	cuts := map[string]Cut{}
	for name, s := range p.services {
		if s.cut {
			cuts[name] = Cut{Rank: s.cutRank, Fraction: s.cutAdmitted / s.cutDemand}
		}
	}
	return cuts
}
