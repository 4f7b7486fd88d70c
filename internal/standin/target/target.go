// Package target is a stand-in for a target, one instance of a service.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
)

// Config is the configuration of a target.
type Config struct {
	Service string
	// Address is the loopback address to listen on.
	Address string
	// NodeURL is the address of the node beside the target.
	NodeURL string
	// Slots is the maximum number of calls that the target runs concurrently.
	Slots int
	// Connections is the maximum number of connections that the node may open to the target.
	Connections int
	// ServiceTime is the time that a call takes once it has a slot, in addition to its child calls.
	ServiceTime time.Duration
	// ColdStart is the announced duration of the cold start.
	ColdStart time.Duration
	// ChildPaths are the paths of the child calls made by each call.
	ChildPaths []string
	// ChildRetries is the number of immediate retries of a failed child call, without backoff or retry budget.
	ChildRetries int
}

// Faults are the faults that the target injects. They can be changed while it runs.
type Faults struct {
	// SlowFactor multiplies the service time. 0 and 1 leave it unchanged.
	SlowFactor float64 `json:"slow-factor"`
	// Shed rejects each call without running it.
	Shed bool `json:"shed"`
	// CloseAfterRun closes the connection without a response after the call has run.
	CloseAfterRun bool `json:"break-after-run"`
	// Truncate truncates the response after the call has run.
	Truncate bool `json:"half-answer"`
}

// Run is the record of a call that the target has run.
type Run struct {
	// RootID is the ID of the root request, RequestID the ID that the caller assigned to a non-idempotent request.
	RootID    string    `json:"request"`
	RequestID string    `json:"request-id"`
	Account   string    `json:"client-account"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
	// Completed reports whether the run ended before its deadline and without being cancelled.
	Completed bool `json:"completed"`
	// Credentials is the number of credential headers in the call. They must never reach a target.
	Credentials int `json:"credentials"`
}

// Target is a stand-in for an instance of a service. It is safe for concurrent use.
type Target struct {
	// Config is set before Start.
	Config Config
	// Client makes the child calls.
	Client *http.Client

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	inFlight int
	slots    chan struct{}
	server   *http.Server
}

// maxRuns bounds the number of recorded runs. Later runs are not recorded.
const maxRuns = 1_000_000

// Start starts to serve and announces the target to its node. It retries the announcement until ctx is done.
func (t *Target) Start(ctx context.Context) error {
	gin.SetMode(gin.ReleaseMode)
	t.slots = make(chan struct{}, t.Config.Slots)
	engine := gin.New()
	engine.GET("/stand-in/runs", t.listRuns)
	engine.PUT("/stand-in/faults", t.putFaults)
	engine.NoRoute(t.serve)
	l, err := net.Listen("tcp", t.Config.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.Config.Address = l.Addr().String()
	t.server = &http.Server{Handler: engine}
	go func() { _ = t.server.Serve(l) }()
	return t.announce(ctx)
}

// announceRetryInterval is the time between two attempts to announce the target.
const announceRetryInterval = 100 * time.Millisecond

func (t *Target) announce(ctx context.Context) error {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d,"connections":%d,"cold-start-ms":%d}`,
		t.Config.Service, t.Config.Address, t.Config.Slots, t.Config.Connections, t.Config.ColdStart.Milliseconds())
	for {
		err := t.post(ctx, "/v1/announce", body)
		if err == nil {
			return nil
		}
		if !waiter.Sleep(ctx, announceRetryInterval) {
			return fmt.Errorf("announce: %w", err)
		}
	}
}

// Drain asks the node to drain the target.
func (t *Target) Drain(ctx context.Context) error { return t.post(ctx, "/v1/drain", "") }

func (t *Target) post(ctx context.Context, path, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Config.NodeURL+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return nil
}

// Close stops the target immediately, without draining.
func (t *Target) Close() {
	if t.server != nil {
		_ = t.server.Close()
	}
}

// SetFaults replaces the current faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns a copy of the recorded runs.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

func (t *Target) listRuns(c *gin.Context) { c.JSON(http.StatusOK, t.Runs()) }

func (t *Target) putFaults(c *gin.Context) {
	var f Faults
	if err := json.NewDecoder(c.Request.Body).Decode(&f); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	t.SetFaults(f)
	c.Status(http.StatusNoContent)
}

type response struct {
	Service    string `json:"service"`
	RootID     string `json:"request"`
	Echo       string `json:"echo"`
	ChildCalls int    `json:"children"`
}

func (t *Target) serve(c *gin.Context) {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.Shed {
		c.Header("Plantainwheel-Not-Run", "true")
		c.Status(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(c)
	defer cancel()
	n := t.recordStart(c, body)
	completed, childFailed := t.execute(ctx, c, f)
	t.recordEnd(n, completed)
	switch {
	case f.CloseAfterRun:
		closeConn(c, "")
	case f.Truncate:
		closeConn(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf")
	case !completed:
		c.Status(http.StatusGatewayTimeout)
	case childFailed:
		c.Status(http.StatusBadGateway)
	default:
		c.JSON(http.StatusOK, response{
			Service: t.Config.Service, RootID: c.GetHeader(dispatcher.RootIDHeader),
			Echo: string(body), ChildCalls: len(t.Config.ChildPaths),
		})
	}
}

// withDeadline returns the context of the call, limited by the timeout header if it is present.
func withDeadline(c *gin.Context) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(c.GetHeader(dispatcher.TimeoutHeader), 10, 64)
	if err != nil {
		return context.WithCancel(c.Request.Context())
	}
	return context.WithTimeout(c.Request.Context(), time.Duration(ms)*time.Millisecond)
}

// closeConn writes a partial response and closes the connection.
func closeConn(c *gin.Context, partial string) {
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte(partial))
	_ = conn.Close()
}

// recordStart records the start of a run and returns its index, or -1 if it is not recorded.
func (t *Target) recordStart(c *gin.Context, body []byte) int {
	credentials := 0
	for _, name := range []string{"Authorization", "X-Api-Key", "Cookie"} {
		credentials += len(c.Request.Header.Values(name))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	if len(t.runs) == maxRuns {
		return -1
	}
	t.runs = append(t.runs, Run{
		RootID:      c.GetHeader(dispatcher.RootIDHeader),
		RequestID:   c.GetHeader(dispatcher.RequestIDHeader),
		Account:     c.GetHeader(dispatcher.AccountHeader),
		Method:      c.Request.Method,
		Path:        c.Request.URL.Path,
		Body:        string(body),
		At:          time.Now(),
		Credentials: credentials,
	})
	return len(t.runs) - 1
}

func (t *Target) recordEnd(n int, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if n >= 0 {
		t.runs[n].Completed = completed
	}
}

// execute waits for a slot, makes the child calls and then sleeps for the service time. completed is false if the call
// was cancelled or passed its deadline, childFailed is true if a child call failed despite its retries.
func (t *Target) execute(ctx context.Context, c *gin.Context, f Faults) (completed, childFailed bool) {
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		return false, false
	}
	for _, path := range t.Config.ChildPaths {
		if !t.callChild(ctx, c, path) {
			return ctx.Err() == nil, true
		}
	}
	serviceTime := t.Config.ServiceTime
	if f.SlowFactor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * f.SlowFactor)
	}
	return waiter.Sleep(ctx, serviceTime), false
}

func (t *Target) callChild(ctx context.Context, c *gin.Context, path string) bool {
	for range t.Config.ChildRetries + 1 {
		if t.callChildOnce(ctx, c, path) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (t *Target) callChildOnce(ctx context.Context, c *gin.Context, path string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.Config.NodeURL+"/call"+path, bytes.NewReader(nil))
	if err != nil {
		return false
	}
	req.Header.Set(dispatcher.ContextHeader, c.GetHeader(dispatcher.ContextHeader))
	resp, err := t.Client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
