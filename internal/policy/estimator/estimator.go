// Package estimator learns which calls a request of each route causes at the target that runs it.
//
// Targets don't report which request a call belongs to. In short windows, the node observes for how long
// requests of each route ran and how many calls were made. The calls are modelled as a Poisson process whose
// rate is the sum of the rates of the running requests. The maximum-likelihood rates are computed by
// expectation maximisation (Dempster, Laird, Rubin 1977; for counts, Richardson 1972 and Lucy 1974).
package estimator

import "time"

const (
	// windowLength is the length of one observation. A call is attributed to the requests that ran in its
	// window.
	windowLength = 250 * time.Millisecond
	// numWindows is the number of observations that are kept: a changed pattern is learned within 15 s.
	numWindows = 60
	// iterations is the number of iterations per fit. Each fit starts from the result of the previous one.
	iterations = 8
	// refreshInterval is the minimum time between two fits.
	refreshInterval = 500 * time.Millisecond
	// initialRate is the initial rate of a new pair of routes, in calls per second of running time.
	initialRate = 1.0
	// minEnded is the number of ended requests from which on the costs of a route are reported.
	minEnded = 3.0
	// minCallShare is the share of a target's calls to a route below which the calls attributed to a caller are
	// treated as errors of the fit. Otherwise a route that makes no such calls could be limited by the service
	// that the calls go to.
	minCallShare = 0.12
)

// Estimator learns the calls of one target. It is not safe for concurrent use.
type Estimator struct {
	running    map[string]int
	rates      map[pair]float64
	ring       [numWindows]observation
	current    int
	updatedAt  time.Time
	routeCosts []RouteCosts
	fittedAt   time.Time
	// callers holds, by route called, the routes that call it. It is derived from routeCosts and rebuilt with them.
	callers map[string]map[string]bool
}

// pair is a route and a route that it calls.
type pair struct{ caller, callee string }

// observation holds the counts of one window.
type observation struct {
	// seconds is the running time by route; ended is the number of requests that ended.
	seconds map[string]float64
	ended   map[string]float64
	calls   map[string]float64
	start   time.Time
}

// RouteCosts describes the slot use and the calls of one request of a route at the target.
type RouteCosts struct {
	Route string
	// HoldTime is the time for which a request holds its slot.
	HoldTime time.Duration
	// Calls is the number of calls per request, by the route called.
	Calls map[string]float64
}

// Restore initialises the unknown rates from costs that were learned earlier. A restored route is assumed not to
// call a callee that only other restored routes have.
func (e *Estimator) Restore(now time.Time, costs []RouteCosts) {
	e.advance(now)
	callees := map[string]bool{}
	for _, r := range costs {
		for callee := range r.Calls {
			callees[callee] = true
		}
	}
	for _, r := range costs {
		for callee := range callees {
			if _, known := e.rates[pair{r.Route, callee}]; !known && r.HoldTime > 0 {
				e.rates[pair{r.Route, callee}] = r.Calls[callee] / r.HoldTime.Seconds()
			}
		}
	}
}

// advance adds the running time since the last update and returns the current observation.
func (e *Estimator) advance(now time.Time) *observation {
	if e.running == nil {
		e.running = map[string]int{}
		e.rates = map[pair]float64{}
		e.updatedAt = now
		e.ring[0] = newObservation(now)
	}
	o := &e.ring[e.current]
	if elapsed := now.Sub(e.updatedAt).Seconds(); elapsed > 0 {
		for route, n := range e.running {
			o.seconds[route] += float64(n) * elapsed
		}
		e.updatedAt = now
	}
	if now.Sub(o.start) < windowLength {
		return o
	}
	e.current = (e.current + 1) % numWindows
	e.ring[e.current] = newObservation(now)
	return &e.ring[e.current]
}

func newObservation(now time.Time) observation {
	return observation{seconds: map[string]float64{}, ended: map[string]float64{}, calls: map[string]float64{}, start: now}
}

// RecordStart records that a request of the route starts.
func (e *Estimator) RecordStart(now time.Time, route string) {
	e.advance(now)
	e.running[route]++
}

// RecordEnd records that a request of the route has ended.
func (e *Estimator) RecordEnd(now time.Time, route string) {
	e.advance(now).ended[route]++
	e.running[route]--
	if e.running[route] <= 0 {
		delete(e.running, route)
	}
}

// RecordCall records a call of the target to a route. It reports whether any request is running that can have
// made the call.
func (e *Estimator) RecordCall(now time.Time, callee string) bool {
	o := e.advance(now)
	if len(e.running) == 0 {
		return false
	}
	o.calls[callee]++
	return true
}

// RouteCosts returns the costs of all routes with enough ended requests.
func (e *Estimator) RouteCosts(now time.Time) []RouteCosts {
	e.advance(now)
	if !e.fittedAt.IsZero() && now.Sub(e.fittedAt) < refreshInterval {
		return e.routeCosts
	}
	e.fittedAt = now
	seconds, ended, callees := e.totals()
	for callee := range callees {
		e.fit(callee, seconds)
	}
	e.routeCosts = e.routeCosts[:0:0]
	for route, n := range ended {
		if n >= minEnded {
			e.routeCosts = append(e.routeCosts, e.costsOf(route, seconds[route], n, callees))
		}
	}
	e.callers = callersOf(e.routeCosts)
	return e.routeCosts
}

// Callers returns the routes that are known to call the given one, as of the latest call of RouteCosts. The result must not
// be changed.
func (e *Estimator) Callers(callee string) map[string]bool { return e.callers[callee] }

func callersOf(costs []RouteCosts) map[string]map[string]bool {
	callers := map[string]map[string]bool{}
	for _, c := range costs {
		for callee := range c.Calls {
			if callers[callee] == nil {
				callers[callee] = map[string]bool{}
			}
			callers[callee][c.Route] = true
		}
	}
	return callers
}

func (e *Estimator) totals() (seconds, ended, callees map[string]float64) {
	seconds, ended, callees = map[string]float64{}, map[string]float64{}, map[string]float64{}
	for i := range e.ring {
		o := &e.ring[i]
		for route, s := range o.seconds {
			seconds[route] += s
		}
		for route, n := range o.ended {
			ended[route] += n
		}
		for callee, n := range o.calls {
			callees[callee] += n
		}
	}
	return seconds, ended, callees
}

// fit refines the rates at which each route calls the callee.
func (e *Estimator) fit(callee string, seconds map[string]float64) {
	for range iterations {
		attributed := map[string]float64{}
		for i := range e.ring {
			e.attribute(&e.ring[i], callee, attributed)
		}
		for route, s := range seconds {
			if s > 0 {
				e.rates[pair{route, callee}] = attributed[route] / s
			}
		}
	}
}

// attribute distributes the calls of one window over the routes that ran in it, in proportion to their current
// rates.
func (e *Estimator) attribute(o *observation, callee string, attributed map[string]float64) {
	calls := o.calls[callee]
	if calls == 0 {
		return
	}
	total := 0.0
	for route, s := range o.seconds {
		total += s * e.rate(route, callee)
	}
	if total <= 0 {
		return
	}
	for route, s := range o.seconds {
		attributed[route] += calls * s * e.rate(route, callee) / total
	}
}

func (e *Estimator) rate(route, callee string) float64 {
	if r, ok := e.rates[pair{route, callee}]; ok {
		// A rate of 0 would never change, so a lower bound lets a changed pattern be learned.
		return max(r, 0.001)
	}
	return initialRate
}

func (e *Estimator) costsOf(route string, seconds, ended float64, callees map[string]float64) RouteCosts {
	costs := RouteCosts{Route: route, HoldTime: time.Duration(seconds / ended * float64(time.Second)), Calls: map[string]float64{}}
	for callee, total := range callees {
		if attributed := e.rate(route, callee) * seconds; attributed >= minCallShare*total {
			costs.Calls[callee] = attributed / ended
		}
	}
	return costs
}
