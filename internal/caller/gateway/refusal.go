package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

// refusal is an answer that the node itself gives instead of a target's answer.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// refuse writes an answer of the node itself.
func (g *Gateway) refuse(q *request, v *refusal) {
	header := q.w.Header()
	if id := q.r.Header.Get(platform.RequestIDHeader); id != "" {
		header.Set(platform.RequestIDHeader, id)
	}
	if v.retryAfter > 0 {
		header.Set(platform.RetryAfterHeader, formatRetryAfter(v.retryAfter))
	}
	g.Metrics.recordRefused(v.reason)
	if line := g.logEntry(g.RefusedLogLimiter, q, v.status); line != nil {
		line.Str("reason", v.reason).Msg("refused")
	}
	forwarder.WriteBody(q.w, &transporter.Answer{Status: v.status})
}

// retryAfter returns the retry delay for a request that has not run.
func retryAfter(reason string) time.Duration {
	switch reason {
	case executor.ReasonRateLimited:
		return rateLimitedRetryAfter
	case executor.ReasonEvacuated:
		return evacuatedRetryAfter
	case executor.ReasonQuarantined:
		return crashedRetryAfter
	default:
		return transientRetryAfter
	}
}

// formatRetryAfter formats the delay as a header value in seconds. It adds jitter, so that refused callers do not all
// retry at the same time.
func formatRetryAfter(delay time.Duration) string {
	jittered := min(time.Duration(float64(delay)*(1+rand.Float64())), maxRetryAfter)
	return strconv.FormatFloat(jittered.Seconds(), 'f', 2, 64)
}
