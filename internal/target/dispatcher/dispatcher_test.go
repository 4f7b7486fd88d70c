package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/target/dispatcher"
	"gotest.tools/v3/assert"
)

const maxBodyBytes = 1000

// rawTarget starts a server that answers each request with the next text in answers and returns its address. The
// server closes the connection after an empty text, after one that does not end in "whole", and when no text is
// left. It counts in runs the requests that it has read.
func rawTarget(t *testing.T, runs *atomic.Int64, answers ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var next atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, runs, &next, answers)
		}
	}()
	return l.Addr().String()
}

func serveRaw(conn net.Conn, runs, next *atomic.Int64, answers []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		runs.Add(1)
		i := int(next.Add(1)) - 1
		if i >= len(answers) || answers[i] == "" {
			return
		}
		_, _ = io.WriteString(conn, answers[i])
		if !strings.HasSuffix(answers[i], "whole") {
			return
		}
	}
}

// TestFailures checks the error returned for each fault of a target, and that the transport does not resend a
// POST request by itself.
func TestFailures(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	cases := []struct {
		name    string
		answers []string
		want    error
	}{
		{"whole answer", []string{whole, whole}, nil},
		{"hangs up on a connection that was used before", []string{whole, ""}, broker.ErrNoAnswer},
		{"breaks off in the body", []string{whole, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"}, broker.ErrNoAnswer},
		{"breaks off at a chunk border", []string{whole, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}, broker.ErrNoAnswer},
		{"answer is too large", []string{whole, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n%01001d", 1)}, broker.ErrNoAnswer},
		{"answer is no HTTP", []string{whole, "junk\r\n\r\n"}, broker.ErrNoAnswer},
		{"status 000", []string{whole, "HTTP/1.1 000 Failed\r\nContent-Length: 0\r\n\r\n"}, broker.ErrNoAnswer},
		{"name with a blank", []string{whole, "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 5\r\n\r\nwhole"}, broker.ErrNoAnswer},
		{"length with a blank", []string{whole, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole"}, broker.ErrNoAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			d := &dispatcher.Dispatcher{MaxBodyBytes: maxBodyBytes}
			defer d.Close()
			d.SetTarget(rawTarget(t, &runs, c.answers...), 1)
			call := broker.Call{Method: "POST", URI: "/", RequestID: "id", Headers: []granter.Header{{Name: "X-A", Value: "b"}}}
			_, err := d.Do(context.Background(), call, "token")
			assert.NilError(t, err)
			answer, err := d.Do(context.Background(), call, "token")
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, runs.Load(), int64(2), "a request was sent again")
			if err == nil {
				assert.Equal(t, string(answer.Body), "whole")
			}
		})
	}
}

// TestNotSent checks that failures before the request is sent are reported as not sent.
func TestNotSent(t *testing.T) {
	d := &dispatcher.Dispatcher{MaxBodyBytes: maxBodyBytes}
	_, err := d.Do(context.Background(), broker.Call{Method: "GET", URI: "/"}, "")
	assert.Assert(t, errors.Is(err, broker.ErrNotSent), "no target")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	d.SetTarget(l.Addr().String(), 1)
	_, err = d.Do(context.Background(), broker.Call{Method: "GET", URI: "/"}, "")
	assert.Assert(t, errors.Is(err, broker.ErrNotSent), "connection refused")
	_, err = d.Do(context.Background(), broker.Call{Method: "G T", URI: "/"}, "")
	assert.Assert(t, errors.Is(err, broker.ErrNotSent), "malformed method")
}

// TestForwardableHeaders checks that credentials, hop-by-hop headers and reserved headers are omitted.
func TestForwardableHeaders(t *testing.T) {
	h := http.Header{}
	for _, name := range []string{
		"Authorization", "X-Api-Key", "Cookie", "Idempotency-Key", "Connection", "Plantainwheel-Context",
		"Plantainwheel-Client-Account", "Proxy-Authorization", "X-Hop",
	} {
		h.Set(name, "secret")
	}
	h.Set("Connection", "close, x-hop")
	h.Set("Accept", "text/plain")
	h.Set(broker.NotRunHeader, "true")
	got := dispatcher.ForwardableHeaders(h)
	assert.DeepEqual(t, got, []granter.Header{{Name: "Accept", Value: "text/plain"}, {Name: broker.NotRunHeader, Value: "true"}})
}

// FuzzForwardableHeaders checks that a credential header is omitted whatever the case of its name.
func FuzzForwardableHeaders(f *testing.F) {
	f.Add("authorization", "close")
	f.Add("AUTHORIZATION", "authorization")
	f.Add("x-api-key", ", ,x-api-key")
	f.Fuzz(func(t *testing.T, name, connection string) {
		h := http.Header{}
		h.Set(name, "v")
		h.Set("Connection", connection)
		leaks := slices.ContainsFunc(dispatcher.ForwardableHeaders(h), func(v granter.Header) bool {
			return strings.EqualFold(v.Name, "Authorization") || strings.EqualFold(v.Name, "X-Api-Key") || strings.EqualFold(v.Name, "Cookie")
		})
		if leaks {
			t.Fatalf("credential header %q was forwarded", name)
		}
	})
}

// TestInvalidStatus guards against a status that is none of a final answer and reaches the caller as an answer, or hangs the
// request, as the bare connection does that net/http returns for a change of protocol.
func TestInvalidStatus(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Failed\r\nContent-Length: 5\r\n", "HTTP/1.1 099 Failed\r\nContent-Length: 5\r\n", "HTTP/1.1 600 Failed\r\nContent-Length: 5\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n",
	} {
		t.Run(strings.Fields(head)[1], func(t *testing.T) {
			var runs atomic.Int64
			d := &dispatcher.Dispatcher{MaxBodyBytes: maxBodyBytes}
			defer d.Close()
			d.SetTarget(rawTarget(t, &runs, head+"\r\nwhole"), 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := d.Do(ctx, broker.Call{Method: http.MethodPost, URI: "/"}, "token")
			assert.Assert(t, errors.Is(err, broker.ErrNoAnswer), "%v", err)
			assert.NilError(t, ctx.Err())
		})
	}
}
