package gateway

import (
	"hash/maphash"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/rescheduler"
)

// reasonOverload means that a service that the request uses has not enough capacity.
const reasonOverload = "overload"

const (
	// maxWaitShare is the share of its remaining time that a caller waits before it returns.
	maxWaitShare = 1.0 / 3
	// usefulShare is the share of a route's response-time objective within which a request has to return, so that it can
	// still be answered in time.
	usefulShare = 0.6
)

// Returns gives refused requests a time to return, and recognises them when they do. It is safe for concurrent use. No
// other lock is acquired while its mutex is held.
type Returns struct {
	mu        sync.Mutex
	scheduler rescheduler.Scheduler
	seed      maphash.Seed
	// reserved counts the refusals with a reservation, and served the requests that returned at their reserved time.
	reserved, served *metrics.Counter
}

// NewReturns returns an empty calendar whose metrics are registered with the set.
func NewReturns(set *metrics.Set) *Returns {
	r := &Returns{
		scheduler: rescheduler.Scheduler{Random: rand.Float64}, seed: maphash.MakeSeed(),
		reserved: set.NewCounter("returns_reserved_total"), served: set.NewCounter("returns_admitted_total"),
	}
	set.NewGauge("returns_pending", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.scheduler.Reservations())
	})
	return r
}

// key identifies the request when it returns under another ID.
func (r *Returns) key(q *request) rescheduler.Key {
	var h maphash.Hash
	h.SetSeed(r.seed)
	for _, text := range []string{q.root.Account, q.r.Method, q.r.Host, q.uri} {
		_, _ = h.WriteString(text)
		_ = h.WriteByte(0)
	}
	return rescheduler.Key(h.Sum64())
}

// due reports whether the request returns at the time that was reserved for it.
func (r *Returns) due(q *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.scheduler.Reservations() == 0 || !r.scheduler.Return(q.start, classOf(q), r.key(q)) {
		return false
	}
	r.served.Inc()
	return true
}

// refuse returns the time after which the refused request is to return. admittedRate is the number of requests of its class
// per second that this node admits.
func (r *Returns) refuse(q *request, admittedRate float64) time.Duration {
	refusal := &rescheduler.Refusal{
		Class: classOf(q), Key: r.key(q), AdmittedRate: admittedRate,
		Useful:   time.Duration(usefulShare * float64(q.route.Objective)),
		MaxDelay: min(time.Duration(maxWaitShare*float64(time.Until(q.deadline))), maxRetryAfter),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delay, reserved := r.scheduler.Refuse(q.start, refusal)
	if reserved {
		r.reserved.Inc()
	}
	return delay
}

func classOf(q *request) allocator.Class {
	return allocator.Class{Route: q.route.Name, Rank: q.rank}
}

// admitLoad sheds load, and returns nil if the request is admitted.
func (g *Gateway) admitLoad(q *request) *refusal {
	class := classOf(q)
	if g.Returns != nil && g.Returns.due(q) {
		g.Shedder.AdmitReturning(class, q.root.Account)
		return nil
	}
	ok, fraction := g.Shedder.Admit(class, q.root.Account)
	switch {
	case ok:
		return nil
	case g.Returns == nil || q.route.Objective <= 0:
		return &refusal{http.StatusServiceUnavailable, reasonOverload, time.Duration(float64(overloadRetryAfter) / max(fraction, 0.1))}
	default:
		q.returnPlanned = true
		delay := g.Returns.refuse(q, g.Shedder.AdmittedRate(class))
		return &refusal{http.StatusServiceUnavailable, reasonOverload, delay}
	}
}
