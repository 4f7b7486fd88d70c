package verifier

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that returns an error in place of a response that is malformed, and verifies the bodies of all
// others.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, which must not have been used and must not be used in another way.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &Exchange{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.Conn, _ = info.Conn.(*Conn) }}
	traced := r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	traced.Body = x.RequestBody(r.Body)
	if getBody := r.GetBody; getBody != nil {
		traced.GetBody = func() (body io.ReadCloser, err error) {
			if body, err = getBody(); err != nil {
				return nil, err
			}
			return x.RequestBody(body), nil
		}
	}
	resp, err := t.Transport.RoundTrip(traced)
	if err != nil {
		return nil, err
	}
	if err := CheckHeader(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = x.ResponseBody(resp)
	return resp, nil
}
