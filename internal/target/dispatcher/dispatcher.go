// Package dispatcher sends calls over loopback HTTP to the target on the node's VM.
package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
)

// Headers that a target receives with each call.
const (
	// ContextHeader carries the token that the target forwards with its child calls.
	ContextHeader = "Plantainwheel-Context"
	// TimeoutHeader carries the time until the deadline, in milliseconds.
	TimeoutHeader = "Plantainwheel-Timeout-Ms"
	// RootIDHeader carries the ID of the root request.
	RootIDHeader = "Plantainwheel-Request"
	// AccountHeader carries the client account.
	AccountHeader = "Plantainwheel-Client-Account"
	// RequestIDHeader carries the ID that the caller assigned to a non-idempotent request.
	RequestIDHeader = "Plantainwheel-Request-Id"
)

const idleTimeout = 30 * time.Second

// Dispatcher sends calls to the target. It is safe for concurrent use.
type Dispatcher struct {
	// MaxBodyBytes is the maximum size of an answer's body.
	MaxBodyBytes int64

	target atomic.Pointer[target]
}

type target struct {
	address string
	client  *http.Client
}

// SetTarget sets the target's address and the maximum number of connections to it.
func (d *Dispatcher) SetTarget(address string, connections int) {
	client := &http.Client{
		Transport: verifier.NewTransport(&http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	old := d.target.Swap(&target{address, client})
	if old != nil {
		old.client.CloseIdleConnections()
	}
}

// Close closes the idle connections to the target.
func (d *Dispatcher) Close() {
	if t := d.target.Load(); t != nil {
		t.client.CloseIdleConnections()
	}
}

// Do implements broker.Target. The request has neither GetBody nor an idempotency header, so the transport does
// not resend a partly written request that has a body or a method such as POST. The transport may still resend a
// GET, HEAD, OPTIONS or TRACE request without a body when a reused connection turns out to be closed.
func (d *Dispatcher) Do(ctx context.Context, call broker.Call, token string) (granter.Answer, error) {
	t := d.target.Load()
	if t == nil {
		return granter.Answer{}, fmt.Errorf("%w: no target has announced itself", broker.ErrNotSent)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), t.address, call, token)
	if err != nil {
		return granter.Answer{}, fmt.Errorf("%w: %w", broker.ErrNotSent, err)
	}
	resp, err := t.client.Do(req)
	if err != nil && !connected.Load() {
		return granter.Answer{}, fmt.Errorf("%w: %w", broker.ErrNotSent, err)
	}
	if err != nil {
		return granter.Answer{}, fmt.Errorf("%w: %w", broker.ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	return d.readAnswer(resp)
}

func (d *Dispatcher) readAnswer(resp *http.Response) (granter.Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, d.MaxBodyBytes+1))
	if err != nil {
		return granter.Answer{}, fmt.Errorf("%w: %w", broker.ErrNoAnswer, err)
	}
	if int64(len(body)) > d.MaxBodyBytes {
		return granter.Answer{}, fmt.Errorf("%w: answer exceeds %d bytes", broker.ErrNoAnswer, d.MaxBodyBytes)
	}
	return granter.Answer{Status: resp.StatusCode, Headers: ForwardableHeaders(resp.Header), Body: body}, nil
}

func newRequest(ctx context.Context, address string, call broker.Call, token string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.GetBody = nil
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(ContextHeader, token)
	req.Header.Set(RootIDHeader, call.RootID)
	req.Header.Set(AccountHeader, call.Account)
	if call.RequestID != "" {
		req.Header.Set(RequestIDHeader, call.RequestID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}
