package gateway

import (
	"math/rand/v2"
	"net/http"
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
		delay := v.retryAfter
		if !q.returnPlanned {
			delay = jitter(delay)
		}
		header.Set(platform.RetryAfterHeader, formatRetryAfter(delay))
	}
	g.Metrics.recordRefused(v.reason)
	if line := g.logEntry(g.RefusedLogLimiter, q, v.status); line != nil {
		line.Str("reason", v.reason).Msg("refused")
	}
	forwarder.WriteBody(q.w, &transporter.Answer{Status: v.status})
}

// RefuseUnread refuses a request before its body is read. The request has not run.
func (g *Gateway) RefuseUnread(w http.ResponseWriter, r *http.Request, reason string) {
	g.refuse(&request{w: w, r: r, start: time.Now()}, &refusal{http.StatusServiceUnavailable, reason, transientRetryAfter})
}

// retryAfter returns the retry delay for a request that has not run.
func retryAfter(reason string) time.Duration {
	switch reason {
	case executor.ReasonRateLimited, executor.ReasonCold:
		return rateLimitedRetryAfter
	case executor.ReasonEvacuated:
		return evacuatedRetryAfter
	case executor.ReasonQuarantined:
		return crashedRetryAfter
	default:
		return transientRetryAfter
	}
}

// jitter adds up to as much again, so that refused callers do not all retry at the same time.
func jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 + rand.Float64()))
}

// formatRetryAfter formats the delay, which maxRetryAfter limits, as a header value in seconds.
func formatRetryAfter(delay time.Duration) string {
	return strconv.FormatFloat(min(delay, maxRetryAfter).Seconds(), 'f', 2, 64)
}
