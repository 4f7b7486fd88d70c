// Package generator sends open-loop load to live nodes and measures what becomes of each request.
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

// Result is what became of one request.
type Result struct {
	Class int
	// At is the intended start, counted from the start of the load.
	At time.Duration
	// Took runs from the intended start to the final answer.
	Took time.Duration
	// Good says that the whole answer came in time.
	Good     bool
	Attempts int
	// Status, Outcome and Code are those of the last attempt; Status is 0 without an answer.
	Status  int
	Outcome string
	Code    string
	// Within says that the account's rate and burst covered the request.
	Within bool
	// Dropped says that the generator itself had too many requests under way.
	Dropped bool
}

// Generator runs a plan once.
type Generator struct {
	Plan Plan
	// Client sends the requests.
	Client *http.Client

	results []Result
}

// NewClient makes an HTTP client for many connections.
func NewClient(perHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: perHost,
		MaxIdleConns:        0,
		DisableCompression:  true,
	}}
}

// Run sends the load and returns the results in the order of the intended starts.
func (g *Generator) Run(ctx context.Context) ([]Result, error) {
	if err := g.Plan.Check(); err != nil {
		return nil, err
	}
	arrivals := g.Plan.schedule()
	g.results = make([]Result, len(arrivals))
	open := make(chan struct{}, g.Plan.MaxOpen)
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() { g.inject(ctx, start) })
	for i, a := range arrivals {
		if !waiter.Sleep(ctx, time.Until(start.Add(a.at))) {
			g.results = g.results[:i]
			break
		}
		select {
		case open <- struct{}{}:
			wg.Go(func() {
				g.results[i] = g.request(ctx, start, a)
				<-open
			})
		default:
			g.results[i] = Result{Class: a.class, At: a.at, Within: a.within, Dropped: true}
		}
	}
	wg.Wait()
	return g.results, ctx.Err()
}

// inject switches the faults of the plan.
func (g *Generator) inject(ctx context.Context, start time.Time) {
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

// request sends one request with all its attempts, each through another node.
func (g *Generator) request(ctx context.Context, start time.Time, a arrival) Result {
	class := g.Plan.Classes[a.class]
	deadline := start.Add(a.at).Add(class.Timeout.Duration)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	res := Result{Class: a.class, At: a.at, Within: a.within}
	id := ""
	if class.WithID {
		id = uuid.NewString()
	}
	for res.Attempts < class.Attempts && ctx.Err() == nil {
		entry := g.Plan.Entries[(a.entry+res.Attempts)%len(g.Plan.Entries)]
		res.Attempts++
		wait := g.attempt(ctx, class, entry, id, &res)
		if res.Good || final(res) {
			break
		}
		waiter.Sleep(ctx, wait)
	}
	res.Took = time.Since(start.Add(a.at))
	return res
}

// final says whether another attempt cannot succeed.
func final(r Result) bool {
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
	if ms, err := strconv.ParseInt(resp.Header.Get(server.RetryAfterHeader), 10, 64); err == nil && class.Obedient {
		wait = max(wait, time.Duration(ms)*time.Millisecond)
	}
	return wait
}
