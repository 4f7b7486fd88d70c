package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/policy/apportioner"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/policy/tallier"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
)

// Accounts keeps client accounts within their rates. It is safe for concurrent use; its lock is a leaf.
type Accounts struct {
	mu      sync.Mutex
	tallier tallier.Tallier
}

// NewAccounts returns the counts of a node that starts now.
func NewAccounts(window time.Duration) *Accounts {
	return &Accounts{tallier: tallier.Tallier{Window: window, Started: timekeeper.Now()}}
}

// Admit says whether a request is within the account's limit, and how long to wait otherwise.
func (a *Accounts) Admit(name string, limit tallier.Limit) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tallier.Admit(timekeeper.Now(), name, limit)
}

// Count notes that an admitted request goes on to a target.
func (a *Accounts) Count(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tallier.Count(timekeeper.Now(), name)
}

// Heard takes what another node tells of the accounts.
func (a *Accounts) Heard(node string, tallies []tracker.Tally) {
	now := timekeeper.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range tallies {
		a.tallier.Heard(now, node, t.Account, tallier.Tally{Window: float64(t.Window), Demand: float64(t.Demand)})
	}
}

// Fleet notes the number of nodes that share the rates.
func (a *Accounts) Fleet(nodes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tallier.Fleet(nodes)
}

// Tallies returns what this node tells of the accounts.
func (a *Accounts) Tallies() []tracker.Tally {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []tracker.Tally
	for name, t := range a.tallier.Tallies(timekeeper.Now()) {
		out = append(out, tracker.Tally{Account: name, Window: float32(t.Window), Demand: float32(t.Demand)})
	}
	return out
}

// Urgent says whether an account is close to its limit.
func (a *Accounts) Urgent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tallier.Urgent(timekeeper.Now())
}

// Entrance lets whole requests in. It is safe for concurrent use; its lock is a leaf.
type Entrance struct {
	mu    sync.Mutex
	plan  apportioner.Apportioner
	parts map[string]*rotation
}

// NewEntrance returns an entrance that lets everything in.
func NewEntrance() *Entrance { return &Entrance{parts: map[string]*rotation{}} }

// Admit says whether a request of the class is let in, and the part of the class that is.
func (e *Entrance) Admit(c apportioner.Class) (ok bool, fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Admit(time.Now(), c), e.plan.Fraction(c)
}

// Measure returns the demand by service, in slots.
func (e *Entrance) Measure(costs apportioner.Costs) map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Measure(time.Now(), costs)
}

// Plan works out what is let in from the share of its demand that each service takes.
func (e *Entrance) Plan(costs apportioner.Costs, shares map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plan.Plan(costs, shares)
}

// rotation deals the requests of a route to its parts by smooth weighted round robin.
type rotation struct {
	parts   []matcher.Part
	credits []float64
}

// Part returns the service whose turn it is.
func (e *Entrance) Part(r *matcher.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rot := e.parts[r.Name]
	if rot == nil || !slices.Equal(rot.parts, r.Parts) {
		rot = &rotation{parts: r.Parts, credits: make([]float64, len(r.Parts))}
		e.parts[r.Name] = rot
	}
	return rot.next()
}

func (r *rotation) next() string {
	total := 0.0
	best := 0
	for i, p := range r.parts {
		r.credits[i] += p.Weight
		total += p.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total
	return r.parts[best].Service
}

// Retries bounds the repeats for each service. It is safe for concurrent use; its lock is a leaf.
type Retries struct {
	// Share and Reserve are this node's part of what the fleet may repeat.
	Share   float64
	Reserve float64

	mu       sync.Mutex
	services map[string]*retrier.Ratio
}

func (r *Retries) ratio(service string) *retrier.Ratio {
	if r.services == nil {
		r.services = map[string]*retrier.Ratio{}
	}
	s := r.services[service]
	if s == nil {
		s = &retrier.Ratio{Share: r.Share, Reserve: r.Reserve}
		r.services[service] = s
	}
	return s
}

// Attempt notes a request that is sent for the first time.
func (r *Retries) Attempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio(service).Attempt()
}

// Spend takes a repeat from the service's budget if there is one.
func (r *Retries) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ratio(service).Retry()
}

// Counts are the gateway's metrics.
type Counts struct {
	Set     *metrics.Set
	Repeats *metrics.Counter
	Left    *metrics.Counter
}

// NewCounts registers the metrics.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		Set:     set,
		Repeats: set.NewCounter("requests_repeated_total"),
		Left:    set.NewCounter("requests_abandoned_total"),
	}
}

// answered counts a request that a target has answered, and how long it took here.
func (c *Counts) answered(route string, took time.Duration) {
	c.Set.GetOrCreateHistogram("request_duration_seconds{route=" + strconv.Quote(route) + "}").Update(took.Seconds())
}

func (c *Counts) refused(reason string) {
	c.Set.GetOrCreateCounter(`requests_refused_total{reason="` + reason + `"}`).Inc()
}
