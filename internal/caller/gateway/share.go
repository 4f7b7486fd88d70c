package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
)

// RateLimits applies the rate limits of the client accounts. It is safe for concurrent use; no other lock
// is taken while its lock is held.
type RateLimits struct {
	mu      sync.Mutex
	tallier windowlimiter.Limiter
}

// NewRateLimits returns the rate limits of a node that starts now.
func NewRateLimits(window time.Duration) *RateLimits {
	return &RateLimits{tallier: windowlimiter.Limiter{Window: window, Started: timekeeper.SinceBoot()}}
}

// Admit reports whether a request is within the account's limit and, if not, how long to wait.
func (a *RateLimits) Admit(name string, limit windowlimiter.Limit) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tallier.Admit(timekeeper.SinceBoot(), name, limit)
}

// Count records that an admitted request goes on to a target.
func (a *RateLimits) Count(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tallier.Count(timekeeper.SinceBoot(), name)
}

// Receive records the tallies that another node reported.
func (a *RateLimits) Receive(node string, tallies []tracker.AccountUsage) {
	now := timekeeper.SinceBoot()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range tallies {
		a.tallier.Receive(now, node, t.Account, windowlimiter.Usage{Admitted: float64(t.Window), Demand: float64(t.Demand)})
	}
}

// SetNodes sets the number of nodes that share the limits.
func (a *RateLimits) SetNodes(nodes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tallier.SetNodes(nodes)
}

// AccountUsages returns the tallies that this node reports to the others.
func (a *RateLimits) AccountUsages() []tracker.AccountUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []tracker.AccountUsage
	for name, t := range a.tallier.Usages(timekeeper.SinceBoot()) {
		out = append(out, tracker.AccountUsage{Account: name, Window: float32(t.Admitted), Demand: float32(t.Demand)})
	}
	return out
}

// NearLimit reports whether an account is close to its limit.
func (a *RateLimits) NearLimit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tallier.NearLimit(timekeeper.SinceBoot())
}

// Shedder does load shedding for whole requests and splits the requests of a route among its services.
// It is safe for concurrent use; no other lock is taken while its lock is held.
type Shedder struct {
	mu          sync.Mutex
	apportioner allocator.Allocator
	rotations   map[string]*rotation
}

// NewShedder returns an entrance that admits every request.
func NewShedder() *Shedder { return &Shedder{rotations: map[string]*rotation{}} }

// Admit reports whether a request of the class is admitted, and the admitted fraction of the class.
func (e *Shedder) Admit(c allocator.Class) (ok bool, fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.apportioner.Admit(time.Now(), c), e.apportioner.AdmittedFraction(c)
}

// UpdateDemand updates the demand and returns it by service, in slots.
func (e *Shedder) UpdateDemand(costs allocator.TotalCosts) map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.apportioner.UpdateDemand(time.Now(), costs)
}

// UpdateFractions computes the admitted fractions from the share of its demand that each service can take.
func (e *Shedder) UpdateFractions(costs allocator.TotalCosts, shares map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apportioner.UpdateFractions(costs, shares)
}

// rotation splits the requests of a route among its parts by smooth weighted round robin.
type rotation struct {
	parts   []matcher.Part
	credits []float64
}

// ChooseService returns the service for the next request of the route.
func (e *Shedder) ChooseService(r *matcher.Route) string {
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

// RetryBudgets limits the retries for each service. It is safe for concurrent use; no other lock is taken
// while its lock is held.
type RetryBudgets struct {
	// RefillPerAttempt and Reserve are this node's part of the fleet's retry budget.
	RefillPerAttempt float64
	Capacity         float64

	mu       sync.Mutex
	services map[string]*retrier.TokenBucket
}

func (r *RetryBudgets) ratio(service string) *retrier.TokenBucket {
	if r.services == nil {
		r.services = map[string]*retrier.TokenBucket{}
	}
	s := r.services[service]
	if s == nil {
		s = &retrier.TokenBucket{RefillPerAttempt: r.RefillPerAttempt, Capacity: r.Capacity}
		r.services[service] = s
	}
	return s
}

// RecordAttempt records a request that is sent for the first time.
func (r *RetryBudgets) RecordAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio(service).RecordAttempt()
}

// SpendRetry takes a retry from the service's budget and reports whether there was one.
func (r *RetryBudgets) SpendRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ratio(service).Take()
}

// Metrics holds the gateway's metrics.
type Metrics struct {
	Set       *metrics.Set
	Repeated  *metrics.Counter
	Abandoned *metrics.Counter
}

// NewMetrics registers the metrics with the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Set:       set,
		Repeated:  set.NewCounter("requests_repeated_total"),
		Abandoned: set.NewCounter("requests_abandoned_total"),
	}
}

// recordAnswered counts a request that a target has answered and records its duration on this node.
func (c *Metrics) recordAnswered(route string, took time.Duration) {
	c.Set.GetOrCreateHistogram("request_duration_seconds{route=" + strconv.Quote(route) + "}").Update(took.Seconds())
}

func (c *Metrics) recordRefused(reason string) {
	c.Set.GetOrCreateCounter(`requests_refused_total{reason="` + reason + `"}`).Inc()
}
