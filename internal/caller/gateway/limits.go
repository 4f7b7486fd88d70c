package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/fairsharer"
	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
)

// RateLimits applies the rate limits of the client accounts. It is safe for concurrent use. No other lock is acquired
// while its mutex is held.
type RateLimits struct {
	mu      sync.Mutex
	limiter windowlimiter.Limiter
	// received holds the usages of the report that is being applied. It is reused, since a node of a large fleet receives
	// hundreds of reports a second.
	received map[string]windowlimiter.Usage
	// receivedMost is the largest number of usages that the map has held.
	receivedMost int
}

// maxReusedUsages is the number of usages above which the map of a report is not used again, because clearing a large map costs
// as much for each small report after it.
const maxReusedUsages = 500

// NewRateLimits returns the rate limits of a node that starts now.
func NewRateLimits(window time.Duration) *RateLimits {
	return &RateLimits{limiter: windowlimiter.Limiter{Window: window, Started: timekeeper.SinceBoot(), Random: rand.Float64}}
}

// Admit reports whether a request is within the account's limit and, if not, after what delay to retry.
func (l *RateLimits) Admit(name string, limit windowlimiter.Limit) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Admit(timekeeper.SinceBoot(), name, limit)
}

// Count counts an admitted request against the account's limit.
func (l *RateLimits) Count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Count(timekeeper.SinceBoot(), name)
}

// Receive records the account usages that another node reported. complete tells whether they are those of all accounts.
func (l *RateLimits) Receive(r *tracker.UsageReport, complete bool) {
	from := windowlimiter.Process{Node: r.Node, Started: r.Started}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == nil || l.receivedMost > maxReusedUsages {
		l.received, l.receivedMost = map[string]windowlimiter.Usage{}, 0
	}
	clear(l.received)
	l.receivedMost = max(l.receivedMost, len(r.AccountUsages))
	for _, u := range r.AccountUsages {
		if u.Valid() {
			l.received[u.Account] = windowlimiter.Usage{Admitted: float64(u.Admitted), Demand: float64(u.Demand)}
		}
	}
	l.limiter.Receive(timekeeper.SinceBoot(), from, l.received, complete)
}

// SetMembers sets the names of the other nodes that share the limits, and returns how many of them are silent.
func (l *RateLimits) SetMembers(others []string) (silent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.SetMembers(timekeeper.SinceBoot(), others)
}

// Demands returns the known demand of each account at all nodes, in requests per second.
func (l *RateLimits) Demands() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Demands(timekeeper.SinceBoot())
}

// AccountUsages returns the account usages that this node reports to the others.
func (l *RateLimits) AccountUsages() []tracker.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return accountUsages(l.limiter.Usages(timekeeper.SinceBoot()))
}

// UnreportedUsages returns the account usages that this node must report to the others soon.
func (l *RateLimits) UnreportedUsages() []tracker.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return accountUsages(l.limiter.UnreportedUsages(timekeeper.SinceBoot()))
}

func accountUsages(usages map[string]windowlimiter.Usage) []tracker.AccountUsage {
	var out []tracker.AccountUsage
	for name, u := range usages {
		out = append(out, tracker.AccountUsage{Account: name, Admitted: float32(u.Admitted), Demand: float32(u.Demand)})
	}
	return out
}

// Shedder sheds load where requests enter the fleet, and splits the requests of a route among its services. It is safe
// for concurrent use. No other lock is acquired while its mutex is held.
type Shedder struct {
	mu        sync.Mutex
	allocator allocator.Allocator
	rotations map[string]*rotation
}

// NewShedder returns a shedder that admits every request until UpdateFractions is called.
func NewShedder() *Shedder {
	return &Shedder{allocator: allocator.Allocator{Random: rand.Float64}, rotations: map[string]*rotation{}}
}

// Admit reports whether a request of the class is admitted, and the admitted fraction of such requests. account is the
// client account, or "".
func (s *Shedder) Admit(class allocator.Class, account string) (ok bool, fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.AdmitAccount(time.Now(), class, account)
}

// Cuts returns the cut of each service that limits requests, and the level of the client accounts by service.
func (s *Shedder) Cuts() (cuts map[string]prioritizer.Cut, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Cuts(), s.allocator.Levels()
}

// LimitedRanks returns the ranks of which requests that enter here are refused.
func (s *Shedder) LimitedRanks() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.LimitedRanks()
}

// SetAccounts sets the client accounts that share what is admitted, by rank.
func (s *Shedder) SetAccounts(accounts map[int][]fairsharer.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetAccounts(accounts)
}

// AdmitReturning admits a request of the class that returns at its reserved time. account is the client account, or "".
func (s *Shedder) AdmitReturning(class allocator.Class, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.AdmitReturning(time.Now(), class, account)
}

// AdmittedRate returns the number of requests of the class per second that are admitted at this node at present.
func (s *Shedder) AdmittedRate(class allocator.Class) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.AdmittedRate(class)
}

// UpdateDemand updates the demand of the requests that enter at this node and returns it by service, in slots.
func (s *Shedder) UpdateDemand(costs allocator.TotalCosts) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.UpdateDemand(time.Now(), costs)
}

// UpdateFractions computes the admitted fraction of each class as allocator.Allocator does.
func (s *Shedder) UpdateFractions(costs allocator.TotalCosts, demand []allocator.Demand, capacity, unranked map[string]float64) (utilisation float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.UpdateFractions(costs, demand, capacity, unranked)
}

// CountCall counts a child call of the route as demand.
func (s *Shedder) CountCall(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.CountCall(time.Now(), route)
}

// Demand returns the demand of each class at this node, child calls included.
func (s *Shedder) Demand() []allocator.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Demand()
}

// rotation splits the requests of a route among its parts by smooth weighted round robin.
type rotation struct {
	parts   []matcher.Part
	credits []float64
}

// ChooseService returns the service for the next request of the route.
func (s *Shedder) ChooseService(r *matcher.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rot := s.rotations[r.Name]
	if rot == nil || !slices.Equal(rot.parts, r.Parts) {
		rot = &rotation{parts: r.Parts, credits: make([]float64, len(r.Parts))}
		s.rotations[r.Name] = rot
	}
	return rot.next()
}

// next returns the service for the next request.
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

// RetryBudgets limits the retries for each service. It is safe for concurrent use. No other lock is acquired while its
// mutex is held.
type RetryBudgets struct {
	// RefillPerAttempt and Capacity configure the token bucket of each service. They are this node's part of the
	// fleet's retry budget.
	RefillPerAttempt float64
	Capacity         float64

	mu       sync.Mutex
	services map[string]*retrier.TokenBucket
}

// bucket returns the token bucket of the service. The caller holds the mutex.
func (r *RetryBudgets) bucket(service string) *retrier.TokenBucket {
	if r.services == nil {
		r.services = map[string]*retrier.TokenBucket{}
	}
	b := r.services[service]
	if b == nil {
		b = &retrier.TokenBucket{RefillPerAttempt: r.RefillPerAttempt, Capacity: r.Capacity}
		r.services[service] = b
	}
	return b
}

// RecordAttempt records the first attempt of a request, which refills the service's budget.
func (r *RetryBudgets) RecordAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket(service).RecordAttempt()
}

// SpendRetry takes a retry from the service's budget and reports whether there was one.
func (r *RetryBudgets) SpendRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket(service).Take()
}

// Metrics holds the gateway's metrics.
type Metrics struct {
	Set *metrics.Set
	// Repeated counts the repeated placements of requests.
	Repeated *metrics.Counter
	// Abandoned counts the requests whose caller cancelled before the answer was written.
	Abandoned *metrics.Counter

	// durations and refused hold the metrics by route and by reason, because a look-up by the formatted name costs two
	// allocations a request.
	durations sync.Map
	refused   sync.Map
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
func (m *Metrics) recordAnswered(route string, took time.Duration) {
	h, ok := m.durations.Load(route)
	if !ok {
		h = m.Set.GetOrCreateHistogram("request_duration_seconds{route=" + strconv.Quote(route) + "}")
		m.durations.Store(route, h)
	}
	h.(*metrics.Histogram).Update(took.Seconds())
}

func (m *Metrics) recordRefused(reason string) {
	c, ok := m.refused.Load(reason)
	if !ok {
		c = m.Set.GetOrCreateCounter(`requests_refused_total{reason="` + reason + `"}`)
		m.refused.Store(reason, c)
	}
	c.(*metrics.Counter).Inc()
}
