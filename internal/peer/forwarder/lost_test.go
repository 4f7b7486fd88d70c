package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"gotest.tools/v3/assert"
)

// lossyConn is a connection that is lost while a request is under way.
type lossyConn struct {
	net.Conn
	// swallow drops what is written. Otherwise it is delivered after delay, or at once.
	swallow bool
	delay   time.Duration
	// loseAfter is how long after the first write reading fails.
	loseAfter time.Duration
	// keepOpen leaves the connection to the other node open when this end closes it, as if no packet passed.
	keepOpen bool

	once sync.Once
	lost chan struct{}
}

func (c *lossyConn) Write(b []byte) (int, error) {
	c.once.Do(func() { time.AfterFunc(c.loseAfter, func() { close(c.lost) }) })
	switch {
	case c.swallow:
	case c.delay > 0:
		late := append([]byte(nil), b...)
		time.AfterFunc(c.delay, func() { _, _ = c.Conn.Write(late) })
	default:
		return c.Conn.Write(b)
	}
	return len(b), nil
}

func (c *lossyConn) Read([]byte) (int, error) {
	<-c.lost
	return 0, syscall.ETIMEDOUT
}

func (c *lossyConn) Close() error {
	if c.keepOpen {
		return nil
	}
	return c.Conn.Close()
}

// watchedConn calls onWrite before the first write.
type watchedConn struct {
	net.Conn
	onWrite func()
}

func (c *watchedConn) Write(b []byte) (int, error) {
	c.onWrite()
	return c.Conn.Write(b)
}

// loseFirst makes the next connection to the node a lossy one. The returned channel is closed when a request is sent on
// another connection.
func (f *fixture) loseFirst(t *testing.T, lossy *lossyConn) (sentAgain <-chan struct{}) {
	var dialled atomic.Int32
	again := make(chan struct{})
	onWrite := sync.OnceFunc(func() { close(again) })
	f.forwarder.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if dialled.Add(1) > 1 {
			return &watchedConn{conn, onWrite}, nil
		}
		t.Cleanup(func() { _ = conn.Close() })
		lossy.Conn, lossy.lost = conn, make(chan struct{})
		return lossy, nil
	}
	return again
}

// TestLostConnection guards against requests that are given up, or run twice, because the connection to the target's
// node was lost while they were under way.
func TestLostConnection(t *testing.T) {
	cases := []struct {
		name  string
		lossy *lossyConn
		// process is the process that answers. The sender knows process 7.
		process int64
		// knownProcess is the process that the sender knows.
		knownProcess int64
		wantRuns     int
		wantStatus   int
		wantReason   string
	}{
		{"silent before the request", &lossyConn{swallow: true, loseAfter: 60 * time.Millisecond, keepOpen: true}, 7, 7, 1, 200, ""},
		{"silent while it runs", &lossyConn{loseAfter: 20 * time.Millisecond, keepOpen: true}, 7, 7, 1, 200, ""},
		{"silent after the answer", &lossyConn{loseAfter: 150 * time.Millisecond, keepOpen: true}, 7, 7, 1, 200, ""},
		{"closed while it runs", &lossyConn{loseAfter: 20 * time.Millisecond}, 7, 7, 1, 200, ""},
		{"the request arrives after its copy", &lossyConn{delay: 150 * time.Millisecond, loseAfter: 20 * time.Millisecond, keepOpen: true}, 7, 7, 1, 200, ""},
		{"the process has been replaced", &lossyConn{swallow: true, loseAfter: 20 * time.Millisecond, keepOpen: true}, 8, 7, 0, 0, "node-restarted"},
		{"the node recognises no copies", &lossyConn{loseAfter: 20 * time.Millisecond, keepOpen: true}, 7, 0, 1, 0, "node-lost"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.timeout = 2 * time.Second
			f.target.SetServiceTime(80 * time.Millisecond)
			f.process, f.loadTracker.process = c.process, c.knownProcess
			f.loseFirst(t, c.lossy)
			a := f.do(context.Background(), "i-1")
			assert.Equal(t, a.Unknown, c.wantReason != "", "%+v", a)
			assert.Equal(t, a.Reason, c.wantReason)
			assert.Equal(t, a.Status, c.wantStatus)
			time.Sleep(250 * time.Millisecond)
			assert.Equal(t, len(f.target.Requests()), c.wantRuns)
		})
	}
}

// TestLostConnectionOfLeavingCaller checks that a run ends soon after its caller has left, also if the request was sent
// again meanwhile.
func TestLostConnectionOfLeavingCaller(t *testing.T) {
	for _, again := range []bool{false, true} {
		f := newFixture(t)
		f.timeout = 2 * time.Second
		f.target.SetFault(responder.Hang)
		ctx, cancel := context.WithCancel(context.Background())
		if again {
			sentAgain := f.loseFirst(t, &lossyConn{loseAfter: 20 * time.Millisecond, keepOpen: true})
			go func() {
				<-sentAgain
				time.AfterFunc(100*time.Millisecond, cancel)
			}()
		} else {
			time.AfterFunc(100*time.Millisecond, cancel)
		}
		a := f.do(ctx, "i-1")
		assert.Assert(t, a.Unknown)
		deadline := time.Now().Add(500 * time.Millisecond)
		for f.executor.Load().Running > 0 {
			assert.Assert(t, time.Now().Before(deadline), "sent again: %v", again)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestLostConnectionToEndedNode checks that a request is not reported as not run if the node that received it has ended
// when it is asked again.
func TestLostConnectionToEndedNode(t *testing.T) {
	f := newFixture(t)
	f.timeout = 2 * time.Second
	f.target.SetServiceTime(80 * time.Millisecond)
	f.loseFirst(t, &lossyConn{loseAfter: 40 * time.Millisecond, keepOpen: true})
	time.AfterFunc(20*time.Millisecond, func() { _ = f.node.Listener.Close() })
	a := f.do(context.Background(), "i-1")
	assert.Assert(t, a.Unknown, "%+v", a)
	assert.Equal(t, len(f.target.Requests()), 1)
}

// TestInvalidCopy checks that a copy with a malformed process is rejected before it reaches the target.
func TestInvalidCopy(t *testing.T) {
	f := newFixture(t)
	req, err := http.NewRequest(http.MethodGet, f.node.URL+"/a", nil)
	assert.NilError(t, err)
	for _, tail := range []string{"id !", "id 7 x"} {
		req.Header.Set("Pw", "o 0 50 400 r - - - - "+tail)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusForbidden, tail)
	}
	assert.Equal(t, len(f.target.Requests()), 0)
}
