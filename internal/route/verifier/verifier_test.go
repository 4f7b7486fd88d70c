package verifier_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
	"github.com/plantainwheel/plantainwheel/internal/standin/listener"
	"gotest.tools/v3/assert"
)

// serve answers each request on a real connection with the text and then closes the connection, or resets it after the sending
// client is blocked.
func serve(t *testing.T, text string, reset bool) (address string) {
	t.Helper()
	return listener.Serve(t, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			if !reset {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, text)
		}
		if reset {
			time.Sleep(300 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// TestTransport checks which responses are returned, and which bodies end without an error.
func TestTransport(t *testing.T) {
	const long = 32 << 20
	for _, c := range []struct {
		name, text string
		sent       int
		reset      bool
		want       error
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 10, false, nil},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n\r\n", 10, false, nil},
		{"ends with the connection", "HTTP/1.1 200 OK\r\n\r\nok", 10, false, nil},
		{"ends with the connection, no request body", "HTTP/1.1 200 OK\r\n\r\nok", 0, false, nil},
		{"version 1.0", "HTTP/1.0 200 OK\r\n\r\nok", 10, false, nil},
		{"reset while the request is sent", "HTTP/1.1 200 OK\r\n\r\nok", long, true, verifier.ErrIncomplete},
		{"reset while the request is sent, version 1.0", "HTTP/1.0 200 OK\r\n\r\nok", long, true, verifier.ErrIncomplete},
		{"status 000", "HTTP/1.1 000 Failed\r\nContent-Length: 0\r\n\r\n", 10, false, verifier.ErrMalformed},
		{"status 600", "HTTP/1.1 600 Failed\r\nContent-Length: 0\r\n\r\n", 10, false, verifier.ErrMalformed},
		{"name with a blank", "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok", 10, false, verifier.ErrMalformed},
		{"length with a blank", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", 10, false, verifier.ErrMalformed},
		{"coding with a blank", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 10, false, verifier.ErrMalformed},
		{"trailer with a blank", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A : 1\r\n\r\n", 10, false, verifier.ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := &http.Client{Transport: verifier.NewTransport(&http.Transport{DisableKeepAlives: true}), Timeout: 10 * time.Second}
			resp, err := client.Post("http://"+serve(t, c.text, c.reset), "text/plain", strings.NewReader(strings.Repeat("x", c.sent)))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				assert.NilError(t, resp.Body.Close())
			}
			if c.want != nil && c.reset {
				// Whether the reset is seen by the write or by the read depends on which comes first.
				assert.Assert(t, err != nil, "%q looks complete", body)
				return
			}
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			if err == nil {
				assert.Equal(t, string(body), "ok")
			}
		})
	}
}

// lateConn is a connection whose writes return after pause.
type lateConn struct {
	net.Conn
	pause time.Duration
}

// Write implements net.Conn.
func (c lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(c.pause)
	return n, err
}

// lateBody is a body whose end is seen after pause.
type lateBody struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (b lateBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		time.Sleep(b.pause)
	}
	return n, err
}

// TestCompleteBeforeWriteReturns guards against complete responses that are taken for incomplete because they arrive before the
// client has noticed that its request has been sent. A write that does not return counts as failed.
func TestCompleteBeforeWriteReturns(t *testing.T) {
	const short, long = 100 * time.Millisecond, 2 * time.Second
	for _, c := range []struct {
		name        string
		sent        int
		write, body time.Duration
		want        error
	}{
		{"late write, no request body", 0, short, 0, nil},
		{"late write, small request body", 10, short, 0, nil},
		{"late end of the request body", 100_000, 0, short, nil},
		{"late end and late write", 10, short, short, nil},
		{"no end of the request body", 100_000, 0, long, verifier.ErrIncomplete},
		{"write does not return", 10, long, 0, verifier.ErrIncomplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			client := &http.Client{Transport: verifier.NewTransport(&http.Transport{
				DisableKeepAlives: true,
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					return lateConn{conn, c.write}, err
				},
			}), Timeout: 10 * time.Second}
			req, err := http.NewRequest(http.MethodPost, "http://"+serve(t, "HTTP/1.1 200 OK\r\n\r\nok", false), nil)
			assert.NilError(t, err)
			if c.sent > 0 {
				req.Body, req.ContentLength = io.NopCloser(lateBody{strings.NewReader(strings.Repeat("x", c.sent)), c.body}), int64(c.sent)
			}
			resp, err := client.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, string(body), "ok")
		})
	}
}
