package broker

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Metrics holds the request metrics of one node.
type Metrics struct {
	// Set is the set in which the metrics are registered.
	Set *metrics.Set
	// Retries counts retried calls.
	Retries *metrics.Counter

	requestSeconds  *metrics.Histogram
	requestCounters sync.Map
}

// requestKey holds the labels of a request counter.
type requestKey struct {
	outcome    retrier.Outcome
	code       Code
	importance reducer.Importance
}

// NewMetrics registers the metrics of a node.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Set:            set,
		Retries:        set.NewCounter("plantainwheel_retries_total"),
		requestSeconds: set.NewHistogram("plantainwheel_request_seconds"),
	}
}

func (m *Metrics) observeRequest(call *Call, reply *Reply, took time.Duration) {
	m.requestCounter(requestKey{reply.Outcome, reply.Code, call.Importance}).Inc()
	if reply.Outcome == retrier.Ran {
		m.requestSeconds.Update(took.Seconds())
	}
}

func (m *Metrics) requestCounter(k requestKey) *metrics.Counter {
	if c, ok := m.requestCounters.Load(k); ok {
		return c.(*metrics.Counter)
	}
	name := fmt.Sprintf(`plantainwheel_requests_total{outcome=%q,code=%q,importance=%q}`, k.outcome, k.code, k.importance)
	c := m.Set.GetOrCreateCounter(name)
	m.requestCounters.Store(k, c)
	return c
}
