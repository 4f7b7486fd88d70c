package gateway

import (
	"net/http"
	"time"
)

// reasonStopping means that the node stops and that the request might not end before that.
const reasonStopping = "node-stopping"

const (
	// stopAnswerMargin is the time by which a request must be able to end before the connections are closed. Answers may
	// arrive somewhat after the deadline, and they have to be written.
	stopAnswerMargin = 300 * time.Millisecond
	// stopBufferedBytes is the size up to which the body of a request is read in full while the node stops. An upload that
	// is passed on as a stream may end later than any bound.
	stopBufferedBytes = 1 << 20
)

// Stop describes a planned stop of the node. A request that is passed on to a target must be able to end before the node
// closes its connections. One that is refused has not run, so that its caller can repeat it.
type Stop struct {
	// AcceptUntil is the time until which requests are passed on whatever their deadline is.
	AcceptUntil time.Time
	// CloseAt is the time at which the node closes all connections.
	CloseAt time.Time
}

// mayPass reports whether a request with the deadline may be passed on to a target at the time now. streamed is set if its
// body has not been read in full. It answers a load that goes on until the end of the stop, because too few nodes are ready
// for the clients to go elsewhere.
func (s *Stop) mayPass(now, deadline time.Time, streamed bool) bool {
	return (now.Before(s.AcceptUntil) && !streamed) || !deadline.Add(stopAnswerMargin).After(s.CloseAt)
}

// BeginStop begins a planned stop: requests that might not end in time are refused.
func (g *Gateway) BeginStop(s Stop) { g.stop.Store(&s) }

// checkStop returns a refusal if the node stops and the request might not end before that.
func (g *Gateway) checkStop(q *request) *refusal {
	s := g.stop.Load()
	if s == nil {
		return nil
	}
	now := time.Now()
	if s.mayPass(now, q.deadline, q.body.Stream != nil) {
		return nil
	}
	// The node's next process may answer after that.
	return &refusal{http.StatusServiceUnavailable, reasonStopping, max(s.CloseAt.Sub(now), transientRetryAfter)}
}
