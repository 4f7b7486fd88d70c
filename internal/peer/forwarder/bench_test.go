package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

// countingConn counts the reads and writes of a connection, each of which is a system call.
type countingConn struct {
	net.Conn
	calls *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	c.calls.Add(1)
	return c.Conn.Read(b)
}

func (c countingConn) Write(b []byte) (int, error) {
	c.calls.Add(1)
	return c.Conn.Write(b)
}

type countingListener struct {
	net.Listener
	calls *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.calls}, err
}

// BenchmarkHop measures a request through the forwarder of one node and the server and executor of another, with a target
// that answers at once. It reports the reads and writes of the nodes' connections, without those of the target.
func BenchmarkHop(b *testing.B) {
	var calls atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h["X-Plantainwheel-Request-Id"] = r.Header["X-Plantainwheel-Request-Id"]
		h[platform.SignatureHeader] = []string{"s"}
		h["Content-Length"] = []string{"2"}
		_, _ = w.Write([]byte("ok"))
	}))
	defer target.Close()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, &calls}, err
	}
	targets := &transporter.Pool{IdleTimeout: time.Minute, FreshIdle: 250 * time.Millisecond, Dial: dial}
	defer targets.Close()
	e := executor.New(targets)
	e.Announce(platform.Announcement{ID: "i-1", Service: "x", Address: target.Listener.Addr().String(), Slots: 100, Sequence: 1, StartedAtMs: 1})
	node := httptest.NewUnstartedServer(&forwarder.Server{Executor: e, Process: func() int64 { return 1 }})
	node.Listener = countingListener{node.Listener, &calls}
	node.Start()
	defer node.Close()
	peers := &transporter.Pool{IdleTimeout: time.Minute, Dial: dial}
	defer peers.Close()
	f := &forwarder.Forwarder{Pool: peers, LoadTracker: &benchLoads{}}
	address := node.Listener.Addr().String()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		a := f.Do(context.Background(), "n", address, &executor.Job{
			Request: transporter.Request{Method: http.MethodPost, URI: "/a/b?c=d", Host: "h.example", Body: transporter.Body{Buffered: []byte("body")}, Header: http.Header{
				platform.RequestIDHeader: {strconv.Itoa(i)}, platform.AccountHeader: {"shop"}, "Content-Type": {"text/plain"}, "Accept": {"*/*"},
			}},
			Route: "read", ExpectedIncarnation: "i-1", Idempotent: true, Deadline: time.Now().Add(time.Second), MaxWait: 100 * time.Millisecond,
		})
		if a.Status != http.StatusOK {
			b.Fatal(a.Reason, a.Status)
		}
	}
	b.ReportMetric(float64(calls.Load())/float64(i), "calls/op")
}

type benchLoads struct{}

func (*benchLoads) RecordRoundTrip(string, time.Duration) {}

func (benchLoads) RecordLoad(string, int, int, int) {}
func (benchLoads) MarkUnreachable(string)           {}
func (benchLoads) Process(string) int64             { return 1 }
