package broker

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Metrics counts the calls of one node.
type Metrics struct {
	// Set holds the metrics.
	Set *metrics.Set
	// Retries counts calls that were sent again.
	Retries *metrics.Counter

	seconds  *metrics.Histogram
	requests sync.Map
}

// requestKey labels a counter of requests.
type requestKey struct {
	outcome    retrier.Outcome
	code       Code
	importance reducer.Importance
}

// NewMetrics registers the metrics of a node.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Set:     set,
		Retries: set.NewCounter("plantainwheel_retries_total"),
		seconds: set.NewHistogram("plantainwheel_request_seconds"),
	}
}

func (m *Metrics) request(call *Call, reply *Reply, took time.Duration) {
	m.counter(requestKey{reply.Outcome, reply.Code, call.Importance}).Inc()
	if reply.Outcome == retrier.Ran {
		m.seconds.Update(took.Seconds())
	}
}

func (m *Metrics) counter(k requestKey) *metrics.Counter {
	if c, ok := m.requests.Load(k); ok {
		return c.(*metrics.Counter)
	}
	name := fmt.Sprintf(`plantainwheel_requests_total{outcome=%q,code=%q,importance=%q}`, k.outcome, k.code, k.importance)
	c := m.Set.GetOrCreateCounter(name)
	m.requests.Store(k, c)
	return c
}
