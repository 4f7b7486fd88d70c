// Package connector makes HTTP clients for small calls between nodes.
package connector

import (
	"net/http"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
)

const (
	// maxReplyHeaderBytes bounds the header of a reply.
	maxReplyHeaderBytes = 64 << 10
	idleConnTimeout     = 5 * time.Second
)

// NewHTTPClient returns an HTTP client that keeps up to maxIdle connections to each node and ends replies after
// maxReplyBytes.
func NewHTTPClient(maxIdle int, maxReplyBytes int64) *http.Client {
	return &http.Client{Transport: boundedTransport{verifier.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxReplyHeaderBytes,
	}), maxReplyBytes}}
}

// boundedTransport ends the bodies of responses after maxBytes.
type boundedTransport struct {
	http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, t.maxBytes)
	return resp, nil
}
