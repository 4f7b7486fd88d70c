// Package flowplanner decides which fraction of a data centre's demand on a service is sent to the targets of other data
// centres. Demand and capacity are sums by data centre, so every node that knows the same sums computes the same plan.
package flowplanner

import (
	"slices"
	"time"
)

// DataCentre is the state of a service in one data centre.
type DataCentre struct {
	Name string
	// Demand is the demand of the requests that enter in the data centre, in slots. Requests that admission refuses
	// don't count.
	Demand float64
	// Capacity is what the targets that can run requests hold at once, in slots of a target of mean speed.
	Capacity float64
	// Stale is set if Demand is too old to send requests there.
	Stale bool
}

// Service is the state of a service in all data centres.
type Service struct {
	Name string
	// DataCentres is ordered by name and holds no name twice.
	DataCentres []DataCentre
	// HoldTime is the mean time for which a request holds a slot, and KB the mean size of a request and its response, in
	// kilobytes.
	HoldTime time.Duration
	KB       float64
}

// Flow is the part of a data centre's demand that is sent to another one.
type Flow struct {
	To       string
	Fraction float64
}

// Change tells that a flow has begun or ended.
type Change struct {
	Service, From, To string
	Began             bool
	// Fraction is the fraction of the demand that the plan aims at.
	Fraction float64
	// Cost is the round trip and the price of the bytes of one request. Gain is the waiting time that one more request
	// in the sending data centre would cause, less the same in the receiving one.
	Cost, Gain time.Duration
}

// Interval is the minimum time between two plans.
const Interval = 200 * time.Millisecond

const (
	// beginLoad is the load per slot above which a data centre begins to send requests away, and endLoad the one below
	// which it stops. Demand above endLoad is what it sends at most.
	beginLoad = 0.85
	endLoad   = 0.75
	// acceptLoad is the load per slot up to which a data centre takes requests of others. Admission aims at 0.93.
	acceptLoad = 0.92
	// maxRise and maxFall bound the change of a fraction per second. A wave of half the demand with a period of 17 s
	// changes the load by 0.18 a second.
	maxRise = 0.5
	maxFall = 1.0
	// minFraction is the fraction of the demand below which no flow begins, and half of it the one below which it ends.
	minFraction = 0.02
	// defaultRoundTrip replaces a round trip that has not been measured. It is above those within a region, so that
	// measuring one makes its flow more likely, not less.
	defaultRoundTrip = 10 * time.Millisecond
	// DefaultPricePerKB is the waiting time that justifies one kilobyte between data centres.
	DefaultPricePerKB = 2 * time.Millisecond
	// defaultHoldTime replaces an unknown hold time.
	defaultHoldTime = 50 * time.Millisecond
	// minSpareShare is the share of the capacity that a full data centre counts as free when requests of a data centre
	// without targets are distributed.
	minSpareShare = 0.05
)

// Planner holds the flows of all services. It is not safe for concurrent use.
type Planner struct {
	// RoundTrip returns the measured round trip between two data centres, or 0 if it is unknown. If nil, all are unknown.
	RoundTrip func(from, to string) time.Duration
	// PricePerKB is the waiting time that justifies one kilobyte between data centres. If 0, it is DefaultPricePerKB.
	PricePerKB time.Duration
	// Disabled turns the plan off: all demand stays where it enters.
	Disabled bool

	services map[string]*flows
	at       time.Time
}

// flows is the state of one service. Rows and columns are in the order of names.
type flows struct {
	names []string
	// sending tells which data centres have exceeded beginLoad and not yet fallen below endLoad.
	sending []bool
	// current and target hold the fraction of the demand of each data centre that goes to each other one.
	current, target [][]float64
}

// Flows returns the fractions of the demand of a data centre that go to others. What is missing to 1 stays.
func (p *Planner) Flows(service, from string) []Flow {
	f := p.services[service]
	if f == nil {
		return nil
	}
	i, ok := slices.BinarySearch(f.names, from)
	if !ok {
		return nil
	}
	var list []Flow
	for j, fraction := range f.current[i] {
		if fraction > 0 {
			list = append(list, Flow{f.names[j], fraction})
		}
	}
	return list
}

// Update computes the plan from the state of all services, unless the previous plan is younger than Interval. It returns
// whether it has computed one, and the flows that have begun or ended with it. A service that is missing has no flows.
func (p *Planner) Update(now time.Time, services []Service) (changes []Change, updated bool) {
	elapsed := now.Sub(p.at)
	if !p.at.IsZero() && elapsed < Interval {
		return nil, false
	}
	if p.at.IsZero() || elapsed > time.Second {
		elapsed = Interval
	}
	p.at = now
	next := map[string]*flows{}
	for i := range services {
		s := &services[i]
		if p.Disabled || len(s.DataCentres) < 2 {
			continue
		}
		f := p.services[s.Name].resized(s.DataCentres)
		f.setTargets(s, p.costs(s))
		changes = f.step(changes, s, p, elapsed)
		next[s.Name] = f
	}
	for name, f := range p.services {
		if next[name] == nil {
			changes = f.appendEnds(changes, name)
		}
	}
	p.services = next
	return changes, true
}

// appendEnds appends the end of all flows.
func (f *flows) appendEnds(changes []Change, service string) []Change {
	for i, row := range f.current {
		for j, fraction := range row {
			if fraction > 0 {
				changes = append(changes, Change{Service: service, From: f.names[i], To: f.names[j]})
			}
		}
	}
	return changes
}

// costs returns the cost of sending one request from each data centre to each other one, in milliseconds.
func (p *Planner) costs(s *Service) [][]float64 {
	price := p.PricePerKB
	if price == 0 {
		price = DefaultPricePerKB
	}
	costs := newMatrix(len(s.DataCentres))
	for i := range costs {
		for j := range costs {
			costs[i][j] = milliseconds(p.roundTrip(s.DataCentres[i].Name, s.DataCentres[j].Name)) + s.KB*milliseconds(price)
		}
	}
	return costs
}

func (p *Planner) roundTrip(from, to string) time.Duration {
	if p.RoundTrip != nil {
		if d := p.RoundTrip(from, to); d > 0 {
			return d
		}
	}
	return defaultRoundTrip
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// resized returns the state for the given data centres, with the fractions of those that it already has.
func (f *flows) resized(list []DataCentre) *flows {
	if f != nil && slices.EqualFunc(f.names, list, func(name string, d DataCentre) bool { return name == d.Name }) {
		return f
	}
	next := &flows{sending: make([]bool, len(list)), current: newMatrix(len(list)), target: newMatrix(len(list))}
	for _, d := range list {
		next.names = append(next.names, d.Name)
	}
	if f == nil {
		return next
	}
	for i, from := range next.names {
		oldI, ok := slices.BinarySearch(f.names, from)
		if !ok {
			continue
		}
		next.sending[i] = f.sending[oldI]
		for j, to := range next.names {
			if oldJ, ok := slices.BinarySearch(f.names, to); ok {
				next.current[i][j] = f.current[oldI][oldJ]
			}
		}
	}
	return next
}

func newMatrix(n int) [][]float64 {
	cells := make([]float64, n*n)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = cells[i*n : (i+1)*n : (i+1)*n]
	}
	return rows
}

// step moves the fractions towards their targets and appends the flows that begin or end to changes.
func (f *flows) step(changes []Change, s *Service, p *Planner, elapsed time.Duration) []Change {
	for i := range f.current {
		from := &s.DataCentres[i]
		homeless := from.Capacity <= 0
		// The first requests of a data centre without targets cannot wait for the flows to rise.
		atOnce := homeless && !f.sends(i)
		for j, old := range f.current[i] {
			aim := f.target[i][j]
			value := min(max(aim, old-maxFall*elapsed.Seconds()), old+maxRise*elapsed.Seconds())
			switch {
			case from.Stale || !s.DataCentres[j].open():
				value = 0
			case atOnce:
				value = aim
			case aim == 0 && value < minFraction/2:
				value = 0
			}
			f.current[i][j] = value
			if (value > 0) != (old > 0) {
				changes = append(changes, f.change(s, p, i, j))
			}
		}
		if homeless {
			normalise(f.current[i])
		}
	}
	return changes
}

// change describes a flow that has begun or ended.
func (f *flows) change(s *Service, p *Planner, i, j int) Change {
	w := newWaiting(s.HoldTime)
	from, to := &s.DataCentres[i], &s.DataCentres[j]
	price := p.PricePerKB
	if price == 0 {
		price = DefaultPricePerKB
	}
	gain := w.marginal(from.load()) - w.marginal(to.load())
	return Change{
		Service: s.Name, From: from.Name, To: to.Name, Began: f.current[i][j] > 0, Fraction: f.target[i][j],
		Cost: p.roundTrip(from.Name, to.Name) + time.Duration(s.KB*float64(price)),
		Gain: time.Duration(gain * float64(time.Millisecond)),
	}
}

// normalise scales the fractions so that their sum is 1, unless all are 0.
func normalise(row []float64) {
	sum := 0.0
	for _, v := range row {
		sum += v
	}
	if sum == 0 {
		return
	}
	for j := range row {
		row[j] /= sum
	}
}
