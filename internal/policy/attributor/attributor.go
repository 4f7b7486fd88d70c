// Package attributor learns which calls a request of each route causes at the target that runs it.
//
// Targets do not say which request a call belongs to. Each call is shared among the routes that run when it
// arrives, in proportion to the calls that each is known to make: expectation maximisation for a Poisson
// process whose rate is the sum over the running requests (Dempster, Laird, Rubin 1977).
package attributor

import "time"

const (
	// halfLife is the age at which an observation counts half. A change of the call pattern shows after it.
	halfLife = 8 * time.Second
	// prior is what a route without observations is assumed to make, in calls a second of running; it lets a
	// new route take part in the sharing.
	prior = 0.5
	// priorSeconds is the weight of the prior, in seconds of running.
	priorSeconds = 0.2
)

// Attributor learns from one target. It is not safe for concurrent use.
type Attributor struct {
	routes  map[string]*route
	updated time.Time
}

type route struct {
	running int
	// seconds is the decayed time of running requests; ended the decayed number that ended.
	seconds float64
	ended   float64
	calls   map[string]float64
}

// Row is what one request of a route causes at its target.
type Row struct {
	Route string
	// Hold is how long a request holds its slot.
	Hold time.Duration
	// Calls counts the calls of a request by their route.
	Calls map[string]float64
}

// advance ages the observations and adds the time that running requests have run since.
func (a *Attributor) advance(now time.Time) {
	span := now.Sub(a.updated).Seconds()
	if a.updated.IsZero() || span <= 0 {
		a.updated = now
		return
	}
	keep := decay(span)
	for _, r := range a.routes {
		r.seconds = r.seconds*keep + float64(r.running)*span
		r.ended *= keep
		for k := range r.calls {
			r.calls[k] *= keep
		}
	}
	a.updated = now
}

// decay is linear in short spans, which is all that it is asked for.
func decay(span float64) float64 { return max(0, 1-span*0.693/halfLife.Seconds()) }

func (a *Attributor) route(name string) *route {
	if a.routes == nil {
		a.routes = map[string]*route{}
	}
	r := a.routes[name]
	if r == nil {
		r = &route{calls: map[string]float64{}}
		a.routes[name] = r
	}
	return r
}

// Started notes that a request of the route begins to run.
func (a *Attributor) Started(now time.Time, name string) {
	a.advance(now)
	a.route(name).running++
}

// Ended notes that it has ended.
func (a *Attributor) Ended(now time.Time, name string) {
	a.advance(now)
	r := a.route(name)
	r.running--
	r.ended++
}

// Called notes a call of the target to a route. It says whether any request runs that may have made it.
func (a *Attributor) Called(now time.Time, callee string) bool {
	a.advance(now)
	total := 0.0
	for _, r := range a.routes {
		total += r.intensity(callee)
	}
	if total == 0 {
		return false
	}
	for _, r := range a.routes {
		if share := r.intensity(callee) / total; share > 0 {
			r.calls[callee] += share
		}
	}
	return true
}

// intensity is the rate of calls that the running requests of the route are expected to make.
func (r *route) intensity(callee string) float64 {
	if r.running <= 0 {
		return 0
	}
	rate := (r.calls[callee] + prior*priorSeconds) / (r.seconds + priorSeconds)
	return float64(r.running) * rate
}

const (
	// leastEnded is the number of ended requests from which a row is told.
	leastEnded = 3.0
	// leastCalls is the number of calls a request below which they are taken for errors of the sharing.
	leastCalls = 0.1
)

// Rows returns what is known of each route.
func (a *Attributor) Rows(now time.Time) []Row {
	a.advance(now)
	var rows []Row
	for name, r := range a.routes {
		if r.ended < leastEnded {
			continue
		}
		row := Row{Route: name, Hold: time.Duration(r.seconds / r.ended * float64(time.Second)), Calls: map[string]float64{}}
		for k, n := range r.calls {
			if per := n / r.ended; per >= leastCalls {
				row.Calls[k] = per
			}
		}
		rows = append(rows, row)
	}
	return rows
}
