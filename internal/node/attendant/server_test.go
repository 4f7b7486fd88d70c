package attendant

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseWaitsForRequests checks that a request in flight while the node closes its sockets gets its complete
// answer, and that an idle connection does not delay the shutdown.
func TestCloseWaitsForRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	var running atomic.Int32
	s := newServer("test", address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}))
	assert.NilError(t, s.open())
	idle, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer idle.Close()
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + address + "/")
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		got <- string(raw)
	}()
	for running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	s.close(began.Add(5 * time.Second))
	assert.Equal(t, <-got, "whole")
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// delayedWriter delays each write, as a process does that is not scheduled.
type delayedWriter struct {
	net.Conn
	delay time.Duration
}

func (w delayedWriter) Write(b []byte) (int, error) {
	time.Sleep(w.delay)
	return w.Conn.Write(b)
}

// TestCloseLosesNoAnswer guards against a closing server that breaks connections whose answer is not written yet although
// its handler has returned, or whose client was slow to send its request after it had connected.
func TestCloseLosesNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name                string
		clientLate, written time.Duration
	}{
		{"answer written late", 0, time.Second},
		{"request sent late", 400 * time.Millisecond, 0},
		{"both late", 400 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer("test", "", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				s.serve(l)
				client, conn := net.Pipe()
				defer client.Close()
				l.conns <- delayedWriter{conn, c.written}
				synctest.Wait()
				var closing sync.WaitGroup
				defer closing.Wait()
				closing.Go(func() { s.close(time.Now().Add(5 * time.Second)) })
				time.Sleep(c.clientLate)
				_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				assert.NilError(t, err)
				defer resp.Body.Close()
				raw, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(raw), "whole")
			})
		})
	}
}

// delayedReader delays the return of each read, as a process does that is not scheduled after it has read.
type delayedReader struct {
	net.Conn
	delay time.Duration
}

func (r delayedReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	time.Sleep(r.delay)
	return n, err
}

// TestCloseAnswersRequestsJustRead guards against a request on a kept connection that has just been read when the server closes
// its idle connections, and is handled although its answer cannot be written any more.
func TestCloseAnswersRequestsJustRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var handled atomic.Int32
		s := newServer("test", "", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(4 * time.Second)
				return
			}
			handled.Add(1)
		}))
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s.serve(l)
		kept, conn := net.Pipe()
		defer kept.Close()
		l.conns <- delayedReader{conn, 300 * time.Millisecond}
		other, conn := net.Pipe()
		defer other.Close()
		l.conns <- conn
		get := func(client net.Conn, path string) error {
			if _, err := io.WriteString(client, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return err
			}
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		}
		assert.NilError(t, get(kept, "/"))
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() { assert.Check(t, get(other, "/long") == nil) })
		// The first connection becomes idle.
		time.Sleep(time.Second)
		group.Go(func() {
			time.Sleep(100 * time.Millisecond)
			s.close(time.Now().Add(10 * time.Second))
		})
		assert.NilError(t, get(kept, "/"))
		assert.Equal(t, handled.Load(), int32(2))
	})
}

// TestCloseLeavesWaitingControlCalls guards against a stop that takes as long as the calls in which other nodes wait for
// records of the store.
func TestCloseLeavesWaitingControlCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newControlServer("test", "", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s.serve(l)
		client, conn := net.Pipe()
		defer client.Close()
		l.conns <- conn
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		synctest.Wait()
		began := time.Now()
		s.close(began.Add(5 * time.Second))
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond, "%s", time.Since(began))
	})
}

// TestUnaccepted checks the number of connections that a closing listener would reset.
func TestUnaccepted(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, unaccepted(l), 0)
	for range 2 {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
	}
	for unaccepted(l) != 2 {
		time.Sleep(time.Millisecond)
	}
	for _, left := range []int{1, 0} {
		c, err := l.Accept()
		assert.NilError(t, err)
		defer c.Close()
		assert.Equal(t, unaccepted(l), left)
	}
}

// TestShares guards against connections whose receive buffers together exceed their share of the memory, and against shares that
// leave no descriptors for the target, the other nodes and the store.
func TestShares(t *testing.T) {
	for _, c := range []struct{ descriptors, memoryMB, conns, receiveKB int }{
		{4100, 184, 1248, 30},
		{4100, 284, 1248, 46},
		{8192, 536, 2557, 42},
		{1000, 64, 256, 51},
		{1 << 20, 184, 2355, 16},
		{100, 184, 1, 64},
	} {
		s := newServer("test", "", http.NotFoundHandler())
		callerShare.apply(s, c.descriptors, c.memoryMB)
		assert.Equal(t, s.acceptor.MaxConns, c.conns)
		assert.Equal(t, s.receiveBytes>>10, c.receiveKB)
		assert.Assert(t, s.acceptor.MaxConns*s.receiveBytes <= c.memoryMB<<20/5, "of %d MB", c.memoryMB)
	}
	total := callerShare.descriptors + peerShare.descriptors + controlShare.descriptors + 3*smallShare.descriptors
	assert.Assert(t, total < 0.75, "%f", total)
}
