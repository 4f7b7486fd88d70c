package broker

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Metrics counts the calls of one node.
type Metrics struct {
	// Set holds the metrics.
	Set *metrics.Set
	// Retries counts calls that were sent again.
	Retries *metrics.Counter
}

// NewMetrics registers the metrics of a node.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{Set: set, Retries: set.NewCounter("plantainwheel_retries_total")}
}

func (m *Metrics) request(call Call, reply Reply, took time.Duration) {
	outcome := reply.Outcome.String()
	name := fmt.Sprintf(`plantainwheel_requests_total{outcome=%q,code=%q,importance=%q}`, outcome, reply.Code, call.Importance)
	m.Set.GetOrCreateCounter(name).Inc()
	if reply.Outcome == retrier.Ran {
		m.Set.GetOrCreateHistogram(`plantainwheel_request_seconds`).Update(took.Seconds())
	}
}
