package attendant

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/flowplanner"
	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
)

// maxSumAge is the age above which the demand of a data centre is not relied on. Sums are sent once a second.
const maxSumAge = 3 * time.Second

// flowState is what the flows between data centres are planned from. Only planFlows uses it.
type flowState struct {
	at     time.Time
	gauges map[flowKey]*metrics.Gauge
	// disabled turns the plan off, for comparison in tests.
	disabled bool
}

type flowKey struct{ service, to string }

// planFlows plans which part of this data centre's demand is sent to others, from the sums that all nodes report. demand is
// that of each data centre.
func (a *Attendant) planFlows(now time.Time, demand []tracker.DataCentreDemand) {
	f := &a.flows
	if now.Sub(f.at) < flowplanner.Interval {
		return
	}
	f.at = now
	own := a.Settings.DataCentre
	var services []flowplanner.Service
	if table := a.keeper.Table(); table != nil {
		in := flowInputs{
			table: table, demand: demand, costs: a.meanCosts, capacities: a.tracker.Capacities(now),
			fraction: a.gateway.Shedder.AdmittedFraction, kb: a.gateway.Flows.KB,
		}
		services = in.services()
	}
	for _, c := range a.gateway.Flows.Update(now, own, services, newRoundTrips(own, a.tracker.RoundTrips()), f.disabled) {
		if c.From == own {
			a.logFlow(&c)
		}
	}
	a.setFlowGauges(own, services)
}

func (a *Attendant) logFlow(c *flowplanner.Change) {
	message := "flow to another data centre ended"
	if c.Began {
		message = "flow to another data centre begun"
	}
	a.Log.Info().Str("service", c.Service).Str("from", c.From).Str("to", c.To).Float64("fraction", c.Fraction).
		Dur("cost", c.Cost).Dur("gain", c.Gain).Msg(message)
}

// setFlowGauges shows the current fractions.
func (a *Attendant) setFlowGauges(own string, services []flowplanner.Service) {
	f := &a.flows
	for _, g := range f.gauges {
		g.Set(0)
	}
	for i := range services {
		name := services[i].Name
		for _, flow := range a.gateway.Flows.Current(name) {
			key := flowKey{name, flow.To}
			g := f.gauges[key]
			if g == nil {
				if f.gauges == nil {
					f.gauges = map[flowKey]*metrics.Gauge{}
				}
				g = a.Metrics.GetOrCreateGauge("flow_fraction{service="+strconv.Quote(name)+",from="+strconv.Quote(own)+",to="+strconv.Quote(flow.To)+"}", nil)
				f.gauges[key] = g
			}
			g.Set(flow.Fraction)
		}
	}
}

// newRoundTrips returns a function that returns the round trip between two data centres, or 0 if it is unknown. This node
// measures only its own, so those between two others count as their mean.
func newRoundTrips(own string, measured map[string]time.Duration) func(from, to string) time.Duration {
	mean := time.Duration(0)
	for _, d := range measured {
		mean += d / time.Duration(len(measured))
	}
	return func(from, to string) time.Duration {
		switch own {
		case from:
			return measured[to]
		case to:
			return measured[from]
		default:
			return mean
		}
	}
}

// flowInputs is what the state of the services is computed from.
type flowInputs struct {
	table      *matcher.Table
	demand     []tracker.DataCentreDemand
	costs      map[string]allocator.RouteCosts
	capacities map[string][]tracker.DataCentreCapacity
	// fraction returns the admitted fraction of a class, and kb the mean size of a request of a route in kilobytes.
	fraction func(allocator.Class) float64
	kb       func(route string) float64
}

// services returns the state of each service that has targets. Each lists all data centres of the fleet. The demand of
// those without sums is unknown, and what admission refuses is not counted. Requests of a route that is split count with
// each service by weight.
func (in *flowInputs) services() []flowplanner.Service {
	type sums struct {
		flowplanner.Service
		rate float64
	}
	byName := make(map[string]*sums, len(in.capacities))
	for name, list := range in.capacities {
		s := &sums{Service: flowplanner.Service{Name: name}}
		for _, c := range list {
			s.DataCentres = append(s.DataCentres, flowplanner.DataCentre{Name: c.DataCentre, Capacity: c.Slots, Stale: true})
		}
		byName[name] = s
	}
	parts := map[string][]matcher.Part{}
	for i := range in.table.Config.Routes {
		parts[in.table.Config.Routes[i].Name] = in.table.Config.Routes[i].Parts
	}
	for i := range in.demand {
		d := &in.demand[i]
		for _, s := range byName {
			if c := find(s.DataCentres, d.DataCentre); c != nil {
				c.Stale = time.Duration(d.AgeMs)*time.Millisecond > maxSumAge
			}
		}
		for _, row := range d.Rows {
			hold, rate := in.costs[row.Route].HoldSeconds, float64(row.Rate)
			if row.Rank != queuer.ChildCallRank {
				rate *= in.fraction(allocator.Class{Route: row.Route, Rank: row.Rank})
			}
			total := 0.0
			for _, p := range parts[row.Route] {
				total += p.Weight
			}
			for _, p := range parts[row.Route] {
				s := byName[p.Service]
				if s == nil || total <= 0 {
					continue
				}
				share := rate * p.Weight / total
				if c := find(s.DataCentres, d.DataCentre); c != nil {
					c.Demand += share * hold
				}
				s.rate += share
				s.HoldTime += time.Duration(share * hold * float64(time.Second))
				s.KB += share * in.kb(row.Route)
			}
		}
	}
	list := make([]flowplanner.Service, 0, len(byName))
	for _, s := range byName {
		if s.rate > 0 {
			s.HoldTime = time.Duration(float64(s.HoldTime) / s.rate)
			s.KB /= s.rate
		}
		list = append(list, s.Service)
	}
	return list
}

// find returns the data centre of the given name, or nil.
func find(list []flowplanner.DataCentre, name string) *flowplanner.DataCentre {
	for i := range list {
		if list[i].Name == name {
			return &list[i]
		}
	}
	return nil
}
