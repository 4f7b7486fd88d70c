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

// Accounts applies the rate limits of the client accounts. It is safe for concurrent use; no other lock
// is taken while its lock is held.
type Accounts struct {
	mu      sync.Mutex
	tallier tallier.Tallier
}

// NewAccounts returns the rate limits of a node that starts now.
func NewAccounts(window time.Duration) *Accounts {
	return &Accounts{tallier: tallier.Tallier{Window: window, Started: timekeeper.Now()}}
}

// Admit reports whether a request is within the account's limit and, if not, how long to wait.
func (a *Accounts) Admit(name string, limit tallier.Limit) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tallier.Admit(timekeeper.Now(), name, limit)
}

// Count records that an admitted request goes on to a target.
func (a *Accounts) Count(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tallier.Count(timekeeper.Now(), name)
}

// Heard records the tallies that another node reported.
func (a *Accounts) Heard(node string, tallies []tracker.Tally) {
	now := timekeeper.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range tallies {
		a.tallier.Receive(now, node, t.Account, tallier.Tally{Admitted: float64(t.Window), Demand: float64(t.Demand)})
	}
}

// Fleet sets the number of nodes that share the limits.
func (a *Accounts) Fleet(nodes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tallier.SetNodes(nodes)
}

// Tallies returns the tallies that this node reports to the others.
func (a *Accounts) Tallies() []tracker.Tally {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []tracker.Tally
	for name, t := range a.tallier.Tallies(timekeeper.Now()) {
		out = append(out, tracker.Tally{Account: name, Window: float32(t.Admitted), Demand: float32(t.Demand)})
	}
	return out
}

// Urgent reports whether an account is close to its limit.
func (a *Accounts) Urgent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tallier.NearLimit(timekeeper.Now())
}

// Entrance does load shedding for whole requests and splits the requests of a route among its services.
// It is safe for concurrent use; no other lock is taken while its lock is held.
type Entrance struct {
	mu          sync.Mutex
	apportioner apportioner.Apportioner
	rotations   map[string]*rotation
}

// NewEntrance returns an entrance that admits every request.
func NewEntrance() *Entrance { return &Entrance{rotations: map[string]*rotation{}} }

// Admit reports whether a request of the class is admitted, and the admitted fraction of the class.
func (e *Entrance) Admit(c apportioner.Class) (ok bool, fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.apportioner.Admit(time.Now(), c), e.apportioner.Fraction(c)
}

// Measure updates the demand and returns it by service, in slots.
func (e *Entrance) Measure(costs apportioner.Costs) map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.apportioner.Measure(time.Now(), costs)
}

// Plan computes the admitted fractions from the share of its demand that each service can take.
func (e *Entrance) Plan(costs apportioner.Costs, shares map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apportioner.Plan(costs, shares)
}

// rotation splits the requests of a route among its parts by smooth weighted round robin.
type rotation struct {
	parts   []matcher.Part
	credits []float64
}

// ChooseService returns the service for the next request of the route.
func (e *Entrance) ChooseService(r *matcher.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rot := e.rotations[r.Name]
	if rot == nil || !slices.Equal(rot.parts, r.Parts) {
		rot = &rotation{parts: r.Parts, credits: make([]float64, len(r.Parts))}
		e.rotations[r.Name] = rot
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

// Retries limits the retries for each service. It is safe for concurrent use; no other lock is taken
// while its lock is held.
type Retries struct {
	// Share and Reserve are this node's part of the fleet's retry budget.
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

// RecordAttempt records a request that is sent for the first time.
func (r *Retries) RecordAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio(service).Attempt()
}

// SpendRetry takes a retry from the service's budget and reports whether there was one.
func (r *Retries) SpendRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ratio(service).Retry()
}

// Counts holds the gateway's metrics.
type Counts struct {
	Set       *metrics.Set
	Repeated  *metrics.Counter
	Abandoned *metrics.Counter
}

// NewCounts registers the metrics with the set.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		Set:       set,
		Repeated:  set.NewCounter("requests_repeated_total"),
		Abandoned: set.NewCounter("requests_abandoned_total"),
	}
}

// recordAnswered counts a request that a target has answered and records its duration on this node.
func (c *Counts) recordAnswered(route string, took time.Duration) {
	c.Set.GetOrCreateHistogram("request_duration_seconds{route=" + strconv.Quote(route) + "}").Update(took.Seconds())
}

func (c *Counts) recordRefused(reason string) {
	c.Set.GetOrCreateCounter(`requests_refused_total{reason="` + reason + `"}`).Inc()
}
