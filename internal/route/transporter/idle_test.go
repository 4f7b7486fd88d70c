package transporter_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"gotest.tools/v3/assert"
)

const fresh = 250 * time.Millisecond

// peer is a server that forgets idle connections: it resets them when another request arrives after forgetAfter.
type peer struct {
	mu          sync.Mutex
	keepAlive   string
	forgetAfter time.Duration
	// body delays the end of each answer.
	body    time.Duration
	address string
	conns   []net.Conn
	// served counts the requests by the number of the connection.
	served map[int]int
	forgot int
	open   int
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &peer{address: l.Addr().String(), served: map[int]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			n := len(p.conns)
			p.open++
			p.mu.Unlock()
			go p.serve(n, c)
		}
	}()
	return p
}

func (p *peer) serve(n int, c net.Conn) {
	defer func() {
		_ = c.Close()
		p.set(func() { p.open-- })
	}()
	br := bufio.NewReader(c)
	var idleSince time.Time
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		p.mu.Lock()
		forgotten := p.forgetAfter > 0 && !idleSince.IsZero() && time.Since(idleSince) > p.forgetAfter
		if forgotten {
			p.forgot++
			p.mu.Unlock()
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		p.served[n]++
		keepAlive, body := p.keepAlive, p.body
		p.mu.Unlock()
		head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		if keepAlive != "" {
			head += "Keep-Alive: " + keepAlive + "\r\n"
		}
		_, _ = io.WriteString(c, head+"\r\no")
		time.Sleep(body)
		_, _ = io.WriteString(c, "k")
		idleSince = time.Now()
	}
}

// set changes the peer.
func (p *peer) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

type poolFixture struct {
	t       *testing.T
	pool    *transporter.Pool
	mu      sync.Mutex
	reasons map[transporter.DialReason]int
}

func newPoolFixture(t *testing.T) *poolFixture {
	t.Helper()
	f := &poolFixture{t: t, reasons: map[transporter.DialReason]int{}}
	f.pool = &transporter.Pool{IdleTimeout: 6 * time.Second, FreshIdle: fresh, OnDial: func(r transporter.DialReason) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reasons[r]++
	}}
	t.Cleanup(f.pool.Close)
	return f
}

// opened returns the connections opened since the last call, by reason.
func (f *poolFixture) opened() map[transporter.DialReason]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer clear(f.reasons)
	return maps.Clone(f.reasons)
}

func (f *poolFixture) begin(p *peer, maxIdle time.Duration) (*http.Response, error) {
	resp, _, err := f.pool.Send(context.Background(), p.address, &transporter.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}, maxIdle)
	return resp, err
}

func end(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (f *poolFixture) send(p *peer, maxIdle time.Duration) error {
	resp, err := f.begin(p, maxIdle)
	if err == nil {
		end(resp)
	}
	return err
}

// sendTogether sends n requests that run at the same time.
func (f *poolFixture) sendTogether(p *peer, n int, maxIdle time.Duration) {
	f.t.Helper()
	var running []*http.Response
	for range n {
		resp, err := f.begin(p, maxIdle)
		assert.NilError(f.t, err)
		running = append(running, resp)
	}
	for _, resp := range running {
		end(resp)
	}
}

// TestReasonsOfDials checks that each new connection is counted by its reason, so that operators see what to change.
func TestReasonsOfDials(t *testing.T) {
	type counts = map[transporter.DialReason]int
	p, f := newPeer(t), newPoolFixture(t)
	f.sendTogether(p, 60, 5*time.Second)
	assert.DeepEqual(t, f.opened(), counts{transporter.NoneIdle: 60})
	// The bound without a declaration is 48.
	f.sendTogether(p, 60, 5*time.Second)
	assert.DeepEqual(t, f.opened(), counts{transporter.OverCap: 12})
	f.pool.SetMaxIdle(60, 0)
	f.sendTogether(p, 60, 5*time.Second)
	assert.DeepEqual(t, f.opened(), counts{transporter.OverCap: 12})
	f.sendTogether(p, 60, 5*time.Second)
	assert.DeepEqual(t, f.opened(), counts{})
	time.Sleep(fresh + 20*time.Millisecond)
	assert.NilError(t, f.send(p, fresh))
	assert.DeepEqual(t, f.opened(), counts{transporter.IdleTooLong: 1})
	p.set(func() {
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, f.send(p, 5*time.Second))
	assert.DeepEqual(t, f.opened(), counts{transporter.ClosedByTarget: 1})
}

// TestChoiceOfConnection guards against requests that may be repeated taking the fresh connections, after which those that
// may run only once need new ones.
func TestChoiceOfConnection(t *testing.T) {
	p, f := newPeer(t), newPoolFixture(t)
	f.sendTogether(p, 3, 5*time.Second)
	time.Sleep(fresh + 50*time.Millisecond)
	assert.NilError(t, f.send(p, 5*time.Second))
	// The first connection is fresh again. A request that may be repeated leaves it to the one that may run only once.
	f.opened()
	held, err := f.begin(p, 5*time.Second)
	assert.NilError(t, err)
	assert.NilError(t, f.send(p, fresh))
	end(held)
	assert.DeepEqual(t, f.opened(), map[transporter.DialReason]int{})
}

// TestForgottenConnections guards against losing more than one request a period when the target forgets connections that
// have been idle for 300 ms, and against losing any that may run only once.
func TestForgottenConnections(t *testing.T) {
	p, f := newPeer(t), newPoolFixture(t)
	f.pool.SetMaxIdle(100, 0)
	p.set(func() { p.forgetAfter = 300 * time.Millisecond })
	lost := 0
	for range 4 {
		f.sendTogether(p, 20, 0)
		time.Sleep(350 * time.Millisecond)
		for range 5 {
			if err := f.send(p, 5*time.Second); err != nil {
				assert.Assert(t, errors.Is(err, transporter.ErrNoAnswer))
				lost++
			}
			assert.NilError(t, f.send(p, fresh))
		}
	}
	assert.Equal(t, lost, 1)
	assert.Equal(t, p.forgot, 1)
}

// TestIdleTimeOfStreams guards against counting the idle time of a connection from when a slow reader has read the end of
// the answer, since the target may have sent it long before.
func TestIdleTimeOfStreams(t *testing.T) {
	p, f := newPeer(t), newPoolFixture(t)
	resp, err := f.begin(p, fresh)
	assert.NilError(t, err)
	time.Sleep(fresh + 20*time.Millisecond)
	end(resp)
	f.opened()
	assert.NilError(t, f.send(p, fresh))
	assert.DeepEqual(t, f.opened(), map[transporter.DialReason]int{transporter.IdleTooLong: 1})
}

// TestKeepAliveTimeout guards against requests on connections that are older than the target states.
func TestKeepAliveTimeout(t *testing.T) {
	for keepAlive, reused := range map[string]bool{
		"": true, "timeout=5": true, "timeout=5, max=100": true, "timeout=0.1": false, "timeout=0": false, "timeout=5, max=0": false,
		"timeout=x": true, "TIMEOUT = 5": true, "max=9, timeout=\"0.1\"": false, "timeout=-1": true, "timeout=NaN": true,
	} {
		t.Run(fmt.Sprintf("%q", keepAlive), func(t *testing.T) {
			p, f := newPeer(t), newPoolFixture(t)
			p.set(func() { p.keepAlive = keepAlive })
			assert.NilError(t, f.send(p, 5*time.Second))
			f.opened()
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, f.send(p, 5*time.Second))
			assert.Equal(t, len(f.opened()) == 0, reused)
		})
	}
}

// TestMaxOpen guards against more open connections than the service allows while idle ones can be closed.
func TestMaxOpen(t *testing.T) {
	p, f := newPeer(t), newPoolFixture(t)
	f.pool.SetMaxIdle(4, 4)
	f.sendTogether(p, 4, 5*time.Second)
	time.Sleep(fresh + 20*time.Millisecond)
	// None of the four is fresh enough.
	held, err := f.begin(p, fresh)
	assert.NilError(t, err)
	defer end(held)
	time.Sleep(50 * time.Millisecond)
	p.set(func() { assert.Check(t, p.open == 4, "%d are open", p.open) })
}

// TestLoadInWaves measures the connections opened under a load that varies between 40 and 180 requests at once, one in six
// of which may run only once. With the bound derived from the slots, only the first wave may need new ones.
func TestLoadInWaves(t *testing.T) {
	for _, c := range []struct {
		maxIdle, maxOpened int
	}{{201, 200}, {0, 1 << 20}} {
		p, f := newPeer(t), newPoolFixture(t)
		f.pool.SetMaxIdle(c.maxIdle, 0)
		for wave := range 20 {
			running := 40 + 140*(wave%2)
			f.sendTogether(p, running*5/6, 5*time.Second)
			f.sendTogether(p, running/6, fresh)
		}
		total := 0
		opened := f.opened()
		for _, n := range opened {
			total += n
		}
		t.Logf("bound %d: %d connections opened for 2,200 requests: %v", c.maxIdle, total, opened)
		assert.Assert(t, total <= c.maxOpened)
	}
}

// TestPeersUnchanged checks that a pool without FreshIdle reuses the most recently used connection, as between nodes.
func TestPeersUnchanged(t *testing.T) {
	p, f := newPeer(t), newPoolFixture(t)
	f.pool.FreshIdle = 0
	f.sendTogether(p, 3, 5*time.Second)
	for range 10 {
		assert.NilError(t, f.send(p, 5*time.Second))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.DeepEqual(t, p.served, map[int]int{1: 1, 2: 1, 3: 11})
}
