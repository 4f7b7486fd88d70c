// Package attributor learns which calls a request of each route causes at the target that runs it.
//
// Targets do not say which request a call belongs to. What is seen is, in short spans, how long requests of
// each route ran and how many calls were made. The calls are taken for a Poisson process whose rate is the
// sum over the running requests, and its most likely rates are found by expectation maximisation (Dempster,
// Laird, Rubin 1977; for counts, Richardson 1972 and Lucy 1974).
package attributor

import "time"

const (
	// spanLength is the length of one observation. Calls of a request fall into the spans in which it runs.
	spanLength = 250 * time.Millisecond
	// spans is the number of observations that are kept: a changed pattern is learnt within 15 s.
	spans = 60
	// rounds is the number of iterations each time that rows are asked for; they start from the last result.
	rounds = 8
	// refreshAfter is the time for which a result is used.
	refreshAfter = 500 * time.Millisecond
	// firstGuess is where the rate of a new pair begins, in calls a second of running.
	firstGuess = 1.0
	// leastEnded is the number of ended requests from which a row is told.
	leastEnded = 3.0
	// leastPart is the part of a target's calls to a route below which they are taken for errors of the fit. A
	// route that makes none must not be kept out by the service that they go to.
	leastPart = 0.12
)

// Attributor learns from one target. It is not safe for concurrent use.
type Attributor struct {
	running map[string]int
	rates   map[pair]float64
	ring    [spans]observation
	current int
	updated time.Time
	rows    []Row
	learnt  time.Time
}

// pair is a route and a route that it calls.
type pair struct{ caller, callee string }

// observation is what was seen in one span.
type observation struct {
	// seconds is the time of running by route, ended the number of requests that ended.
	seconds map[string]float64
	ended   map[string]float64
	calls   map[string]float64
	began   time.Time
}

// Row is what one request of a route causes at its target.
type Row struct {
	Route string
	// Hold is how long a request holds its slot.
	Hold time.Duration
	// Calls counts the calls of a request by their route.
	Calls map[string]float64
}

// Recall begins with what was learnt before, where nothing is known yet. A route that had not made the calls of
// another is taken not to make them.
func (a *Attributor) Recall(now time.Time, rows []Row) {
	a.span(now)
	callees := map[string]bool{}
	for _, r := range rows {
		for callee := range r.Calls {
			callees[callee] = true
		}
	}
	for _, r := range rows {
		for callee := range callees {
			if _, known := a.rates[pair{r.Route, callee}]; !known && r.Hold > 0 {
				a.rates[pair{r.Route, callee}] = r.Calls[callee] / r.Hold.Seconds()
			}
		}
	}
}

// span adds the time that requests have run since, and returns the observation of now.
func (a *Attributor) span(now time.Time) *observation {
	if a.running == nil {
		a.running = map[string]int{}
		a.rates = map[pair]float64{}
		a.updated = now
		a.ring[0] = newObservation(now)
	}
	o := &a.ring[a.current]
	if spent := now.Sub(a.updated).Seconds(); spent > 0 {
		for route, n := range a.running {
			o.seconds[route] += float64(n) * spent
		}
		a.updated = now
	}
	if now.Sub(o.began) < spanLength {
		return o
	}
	a.current = (a.current + 1) % spans
	a.ring[a.current] = newObservation(now)
	return &a.ring[a.current]
}

func newObservation(now time.Time) observation {
	return observation{seconds: map[string]float64{}, ended: map[string]float64{}, calls: map[string]float64{}, began: now}
}

// Started notes that a request of the route begins to run.
func (a *Attributor) Started(now time.Time, route string) {
	a.span(now)
	a.running[route]++
}

// Ended notes that it has ended.
func (a *Attributor) Ended(now time.Time, route string) {
	a.span(now).ended[route]++
	a.running[route]--
	if a.running[route] <= 0 {
		delete(a.running, route)
	}
}

// Called notes a call of the target to a route. It says whether any request runs that may have made it.
func (a *Attributor) Called(now time.Time, callee string) bool {
	o := a.span(now)
	if len(a.running) == 0 {
		return false
	}
	o.calls[callee]++
	return true
}

// Rows returns what is known of each route.
func (a *Attributor) Rows(now time.Time) []Row {
	a.span(now)
	if !a.learnt.IsZero() && now.Sub(a.learnt) < refreshAfter {
		return a.rows
	}
	a.learnt = now
	seconds, ended, callees := a.totals()
	for callee := range callees {
		a.fit(callee, seconds)
	}
	a.rows = a.rows[:0:0]
	for route, n := range ended {
		if n >= leastEnded {
			a.rows = append(a.rows, a.row(route, seconds[route], n, callees))
		}
	}
	return a.rows
}

func (a *Attributor) totals() (seconds, ended, callees map[string]float64) {
	seconds, ended, callees = map[string]float64{}, map[string]float64{}, map[string]float64{}
	for i := range a.ring {
		o := &a.ring[i]
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

// fit improves the rates at which each route calls the callee.
func (a *Attributor) fit(callee string, seconds map[string]float64) {
	for range rounds {
		shared := map[string]float64{}
		for i := range a.ring {
			a.divide(&a.ring[i], callee, shared)
		}
		for route, s := range seconds {
			if s > 0 {
				a.rates[pair{route, callee}] = shared[route] / s
			}
		}
	}
}

// divide shares the calls of one span among the routes that ran in it, by their rates so far.
func (a *Attributor) divide(o *observation, callee string, shared map[string]float64) {
	calls := o.calls[callee]
	if calls == 0 {
		return
	}
	total := 0.0
	for route, s := range o.seconds {
		total += s * a.rate(route, callee)
	}
	if total <= 0 {
		return
	}
	for route, s := range o.seconds {
		shared[route] += calls * s * a.rate(route, callee) / total
	}
}

func (a *Attributor) rate(route, callee string) float64 {
	if r, ok := a.rates[pair{route, callee}]; ok {
		// Never quite 0, so that a changed pattern can be learnt.
		return max(r, 0.001)
	}
	return firstGuess
}

func (a *Attributor) row(route string, seconds, ended float64, callees map[string]float64) Row {
	row := Row{Route: route, Hold: time.Duration(seconds / ended * float64(time.Second)), Calls: map[string]float64{}}
	for callee, all := range callees {
		if made := a.rate(route, callee) * seconds; made >= leastPart*all {
			row.Calls[callee] = made / ended
		}
	}
	return row
}
