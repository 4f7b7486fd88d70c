package messenger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/peer/messenger"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

// relay is a TCP proxy between a client and a server. It can stop passing data on its open connections
// without closing them, as happens when a middlebox loses its connection state. New connections still work.
type relay struct {
	net.Listener
	upstream string
	// generation is incremented to blackhole all connections of earlier generations.
	generation atomic.Int64
}

func newRelay(t *testing.T, upstream string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{Listener: l, upstream: upstream}
	go r.serve()
	t.Cleanup(func() { l.Close() })
	return r
}

// blackholeOpen stops passing data on all open connections.
func (r *relay) blackholeOpen() { r.generation.Add(1) }

func (r *relay) serve() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.upstream)
		if err != nil {
			in.Close()
			continue
		}
		generation := r.generation.Load()
		go r.copyBytes(in, out, generation)
		go r.copyBytes(out, in, generation)
	}
}

func (r *relay) copyBytes(from, to net.Conn, generation int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if r.generation.Load() != generation {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			to.Close()
			return
		}
		_, _ = to.Write(buf[:n])
	}
}

// startServer serves a handler over HTTP/1 and unencrypted HTTP/2.
func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(handler)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP1(true)
	s.Config.Protocols = p
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func newClient(address, token string) *messenger.Client {
	state := reducer.New()
	state.Members["vm/1"] = reducer.Member{VM: "vm", Incarnation: 1, PeerAddress: address}
	return &messenger.Client{
		Roster:  &roster.Roster{Clock: time.Now},
		Members: func() *reducer.State { return state },
		Events:  &recorder.Ring{Capacity: 1, Clock: time.Now},
		Token:   token,
		Clock:   time.Now,
	}
}

var call = broker.Call{ID: "1", To: "vm/1", Method: "POST", Timeout: 20 * time.Second}

// TestSilentConnection checks that a call fails well before its deadline when its connection stops passing
// data without being closed, and that the next call uses a new connection.
func TestSilentConnection(t *testing.T) {
	block := make(chan struct{})
	var started sync.WaitGroup
	started.Add(1)
	var once sync.Once
	inner := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() { started.Done(); <-block })
		w.Header().Set("Content-Type", "application/protobuf")
	})
	s := startServer(t, inner)
	r := newRelay(t, s.Listener.Addr().String())
	c := newClient(r.Addr().String(), "")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := c.Forward(ctx, call)
		failed <- err
	}()
	started.Wait()
	r.blackholeOpen()
	err := <-failed
	close(block)
	assert.Assert(t, errors.Is(err, broker.ErrNoAnswer), "%v", err)
	assert.NilError(t, ctx.Err(), "call lasted until its deadline")
	_, err = c.Forward(ctx, call)
	assert.NilError(t, err)
}

// TestForwardErrors checks which failures are reported as ErrNotSent, and which as ErrNoAnswer because the call
// may have run.
func TestForwardErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed.Close()
	aborting := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	server := &messenger.Server{Token: "fleet-token", Events: &recorder.Ring{Capacity: 1, Clock: time.Now}}
	authenticated := startServer(t, server.Handler())
	cases := []struct {
		name    string
		address string
		to      string
		want    error
	}{
		{"unknown member", authenticated.Listener.Addr().String(), "other/1", broker.ErrNotSent},
		{"malformed member", authenticated.Listener.Addr().String(), "other", broker.ErrNotSent},
		{"connection refused", closed.Addr().String(), "vm/1", broker.ErrNotSent},
		{"wrong credential", authenticated.Listener.Addr().String(), "vm/1", broker.ErrNotSent},
		{"hung up after the request", aborting.Listener.Addr().String(), "vm/1", broker.ErrNoAnswer},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newClient(tc.address, "forged-token")
			bad := call
			bad.To = tc.to
			_, err := c.Forward(context.Background(), bad)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
			assert.Assert(t, !errors.Is(err, broker.ErrNotSent) || !errors.Is(err, broker.ErrNoAnswer))
		})
	}
}

// TestMalformedMessages checks that each method rejects malformed bodies that carry a valid credential, and
// that none panics.
func TestMalformedMessages(t *testing.T) {
	server := &messenger.Server{Token: "fleet-token", Events: &recorder.Ring{Capacity: 1, Clock: time.Now}}
	s := startServer(t, server.Handler())
	for _, method := range []string{"Forward", "Exchange", "Borrow", "Grant", "Finish", "Handover", "Nothing"} {
		for _, body := range []string{"junk", "\xff\xff\xff\xff\xff\xff"} {
			req, err := http.NewRequest("POST", s.URL+"/twirp/plantainwheel.peer.Peer/"+method, strings.NewReader(body))
			assert.NilError(t, err)
			req.Header.Set("Content-Type", "application/protobuf")
			req.Header.Set("Authorization", "Bearer fleet-token")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Assert(t, resp.StatusCode >= 400 && resp.StatusCode < 500, "%s %q: %d", method, body, resp.StatusCode)
		}
	}
}
