// Package generator sends open-loop load to running nodes and records the result of each request.
package generator

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/caller/server"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
)

// Result describes the outcome of one request.
type Result struct {
	// Class is the index of the request's class in the plan.
	Class int
	// At is the intended start, relative to the start of the load.
	At time.Duration
	// Latency is the time from the intended start to the end of the last attempt. If the request failed, it
	// may include the wait after that attempt.
	Latency time.Duration
	// Good reports that the complete response arrived before the deadline, with status 200.
	Good     bool
	Attempts int
	// Status, Outcome and Code are those of the last attempt; Status is 0 without a response.
	Status  int
	Outcome string
	Code    string
	// WithinRate reports that the client account's rate and burst covered the request.
	WithinRate bool
	// Dropped reports that the request was not sent because the generator had too many in flight.
	Dropped bool
}

// Generator runs a plan once.
type Generator struct {
	Plan Plan
	// Client sends the requests.
	Client *http.Client

	results []Result
}

// NewClient returns an HTTP client that keeps up to perHost idle connections to each host.
func NewClient(perHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: perHost,
		MaxIdleConns:        0,
		DisableCompression:  true,
	}}
}

// Run sends the load and returns the results in the order of the intended starts.
func (g *Generator) Run(ctx context.Context) ([]Result, error) {
	if err := g.Plan.Validate(); err != nil {
		return nil, err
	}
	arrivals := g.Plan.schedule()
	g.results = make([]Result, len(arrivals))
	inFlight := make(chan struct{}, g.Plan.MaxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() { g.injectFaults(ctx, start) })
	for i, a := range arrivals {
		if !waiter.Sleep(ctx, time.Until(start.Add(a.at))) {
			g.results = g.results[:i]
			break
		}
		select {
		case inFlight <- struct{}{}:
			wg.Go(func() {
				g.results[i] = g.request(ctx, start, a)
				<-inFlight
			})
		default:
			g.results[i] = Result{Class: a.class, At: a.at, WithinRate: a.withinRate, Dropped: true}
		}
	}
	wg.Wait()
	return g.results, ctx.Err()
}

// injectFaults sets the faults of the plan at their times. It skips a fault that cannot be set.
func (g *Generator) injectFaults(ctx context.Context, start time.Time) {
	for _, f := range g.Plan.Faults {
		if !waiter.Sleep(ctx, time.Until(start.Add(f.At.Duration))) {
			return
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, f.URL, strings.NewReader(f.Body))
		if err != nil {
			continue
		}
		if resp, err := g.Client.Do(req); err == nil {
			resp.Body.Close()
		}
	}
}

// request sends one request with all its attempts, each to the next entry node.
func (g *Generator) request(ctx context.Context, start time.Time, a arrival) Result {
	class := g.Plan.Classes[a.class]
	deadline := start.Add(a.at).Add(class.Timeout.Duration)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	res := Result{Class: a.class, At: a.at, WithinRate: a.withinRate}
	id := ""
	if class.WithIdempotencyKey {
		id = uuid.NewString()
	}
	for res.Attempts < class.MaxAttempts && ctx.Err() == nil {
		entry := g.Plan.Entries[(a.entry+res.Attempts)%len(g.Plan.Entries)]
		res.Attempts++
		wait := g.attempt(ctx, class, entry, id, &res)
		if res.Good || isFinal(res) {
			break
		}
		waiter.Sleep(ctx, wait)
	}
	res.Latency = time.Since(start.Add(a.at))
	return res
}

// isFinal reports whether a request must not be retried, because it was rejected for a permanent reason or has run.
func isFinal(r Result) bool {
	switch r.Status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
		return true
	default:
		return r.Outcome == retrier.Ran.String()
	}
}

// attempt sends a request once and returns how long to wait before the next attempt.
func (g *Generator) attempt(ctx context.Context, class Class, entry, id string, res *Result) time.Duration {
	wait := class.Backoff.Duration
	req, err := http.NewRequestWithContext(ctx, class.Method, entry+class.Path, strings.NewReader(id))
	if err != nil {
		return wait
	}
	// Without GetBody, the HTTP client cannot resend a request with a body on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+class.Key)
	if id != "" {
		req.Header.Set("Idempotency-Key", id)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(dispatcher.TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	resp, err := g.Client.Do(req)
	if err != nil {
		res.Status, res.Outcome, res.Code = 0, retrier.Unknown.String(), "no-answer"
		return wait
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	res.Status = resp.StatusCode
	res.Outcome = resp.Header.Get(server.OutcomeHeader)
	res.Code = resp.Header.Get(server.CodeHeader)
	res.Good = err == nil && resp.StatusCode == http.StatusOK
	if ms, err := strconv.ParseInt(resp.Header.Get(server.RetryAfterHeader), 10, 64); err == nil &&
		class.RespectRetryAfter {
		wait = max(wait, time.Duration(ms)*time.Millisecond)
	}
	return wait
}
