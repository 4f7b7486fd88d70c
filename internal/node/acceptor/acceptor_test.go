package acceptor_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/acceptor"
	"gotest.tools/v3/assert"
)

// fixture is a server whose clients are bounded.
type fixture struct {
	t        *testing.T
	acceptor *acceptor.Acceptor
	address  string
	limits   atomic.Pointer[acceptor.Limits]
	refusals map[acceptor.Reason]*atomic.Int64
}

func newFixture(t *testing.T, maxConns int, maxBytes int64, h http.HandlerFunc) *fixture {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	return newFixtureOn(t, l, maxConns, maxBytes, h)
}

// newFixtureOn starts a server that accepts the connections of l.
func newFixtureOn(t *testing.T, l net.Listener, maxConns int, maxBytes int64, h http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{t: t, refusals: map[acceptor.Reason]*atomic.Int64{}}
	f.limits.Store(&acceptor.Limits{HeaderBytes: 4096, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	for _, reason := range acceptor.Reasons {
		f.refusals[reason] = &atomic.Int64{}
	}
	f.acceptor = &acceptor.Acceptor{
		MaxConns: maxConns, MaxBytes: maxBytes,
		Limits:        func() acceptor.Limits { return *f.limits.Load() },
		BufferedBytes: func() int64 { return 64 << 10 },
		Refuse:        func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		OnRefuse:      func(reason acceptor.Reason) { f.refusals[reason].Add(1) },
	}
	s := &http.Server{Handler: f.acceptor.Handler(h), ConnState: f.acceptor.RecordState, ConnContext: f.acceptor.ConnContext, MaxHeaderBytes: 1 << 20}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(f.acceptor.Listener(l))
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
	})
	f.address = l.Addr().String()
	return f
}

// dial opens a connection and sends the text.
func (f *fixture) dial(text string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(f.t, err)
	return conn
}

// status reads a response and returns its status, or 0 if the connection ends without one.
func (f *fixture) status(conn net.Conn) int {
	f.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		assert.Assert(f.t, !errors.Is(err, errTimeout(err)), "neither a response nor the end")
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// errTimeout returns the error if it is a timeout.
func errTimeout(err error) error {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return err
	}
	return errNoTimeout
}

var errNoTimeout = errors.New("no timeout")

func (f *fixture) waitRefusals(reason acceptor.Reason, n int64) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); f.refusals[reason].Load() < n; time.Sleep(time.Millisecond) {
		assert.Assert(f.t, time.Now().Before(end), "%d refusals for %s, not %d", f.refusals[reason].Load(), reason, n)
	}
}

func serveOK(http.ResponseWriter, *http.Request) {}

const get = "GET / HTTP/1.1\r\nHost: h\r\n"

// TestHeaderLimit checks that a header that is too large is refused, also on a connection that is open when the limit changes,
// and that one inside the limit is served.
func TestHeaderLimit(t *testing.T) {
	f := newFixture(t, 100, 1<<30, serveOK)
	assert.Equal(t, f.status(f.dial(get+"X-A: "+strings.Repeat("x", 4000)+"\r\n\r\n")), 200)
	assert.Equal(t, f.status(f.dial(get+"X-A: "+strings.Repeat("x", 10000))), 431)
	assert.Equal(t, f.status(f.dial(get+strings.Repeat("a:\r\n", 2500))), 431)
	open := f.dial(get + "X-A: " + strings.Repeat("x", 4000))
	f.limits.Store(&acceptor.Limits{HeaderBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	_, err := io.WriteString(open, strings.Repeat("x", 1000))
	assert.NilError(t, err)
	assert.Equal(t, f.status(open), 431)
}

// TestTimeouts checks that an unfinished header is answered and an unused connection closed once their time is over, and that a
// change of the limits applies to connections that are open.
func TestTimeouts(t *testing.T) {
	f := newFixture(t, 100, 1<<30, serveOK)
	unfinished, silent, used := f.dial(get), f.dial(""), f.dial(get+"\r\n")
	assert.Equal(t, f.status(used), 200)
	time.Sleep(50 * time.Millisecond)
	f.acceptor.Expire(time.Now())
	f.limits.Store(&acceptor.Limits{HeaderBytes: 4096, HeaderTimeout: time.Millisecond, IdleTimeout: time.Minute})
	f.acceptor.Expire(time.Now())
	assert.Equal(t, f.status(unfinished), 408)
	assert.Equal(t, f.refusals[acceptor.IdleTimeout].Load(), int64(0))
	f.limits.Store(&acceptor.Limits{HeaderBytes: 4096, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
	f.acceptor.Expire(time.Now())
	assert.Equal(t, f.status(silent), 0)
	assert.Equal(t, f.status(used), 0)
}

// TestRoom guards against new connections without a request that keep ordinary clients out, and against closing a connection
// whose request has begun to run.
func TestRoom(t *testing.T) {
	const conns = 32
	release := make(chan struct{})
	f := newFixture(t, conns, 1<<30, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	running := f.dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	for range 3 * conns {
		f.dial("")
	}
	assert.Equal(t, f.status(f.dial(get+"\r\n")), 200)
	f.waitRefusals(acceptor.Evicted, conns)
	close(release)
	assert.Equal(t, f.status(running), 200)
}

// TestBodiesThatStop checks that requests whose bodies stop make room for others, that the handler learns of it as of a deadline,
// and that requests are refused if those in progress take up the memory.
func TestBodiesThatStop(t *testing.T) {
	release := make(chan struct{})
	var stopped atomic.Int64
	f := newFixture(t, 100, 256<<10, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			stopped.Add(1)
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
	first := f.dial(post + strings.Repeat("x", 50000))
	for range 20 {
		f.dial(post + strings.Repeat("x", 50000))
	}
	assert.Equal(t, f.status(first), 408)
	assert.Equal(t, f.status(f.dial(get+"\r\n")), 200)
	assert.Assert(t, stopped.Load() > 0)
	for range 20 {
		f.dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	f.waitRefusals(acceptor.NoMemory, 1)
	assert.Equal(t, f.status(f.dial(get+"\r\n")), 503)
	close(release)
}

// TestUnreadAnswers guards against clients that don't read, whose connections hold answers without end.
func TestUnreadAnswers(t *testing.T) {
	var running atomic.Int64
	f := newFixture(t, 100, 1<<30, func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		_, _ = w.Write(make([]byte, 32<<20))
	})
	f.dial(get + "\r\n")
	for running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(20 * time.Second); running.Load() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "still written")
	}
}

// TestAbortedAnswer guards against an answer that the handler gives up and that looks complete to a client of HTTP/1.0.
func TestAbortedAnswer(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		f := newFixture(t, 100, 1<<30, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		conn := f.dial("GET / HTTP/" + version + "\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		assert.Assert(t, err != nil, "version %s", version)
	}
}

// TestBodies checks that bodies of all kinds reach the handler whole.
func TestBodies(t *testing.T) {
	f := newFixture(t, 100, 1<<30, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	})
	for _, size := range []int{0, 1, 4096, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			body := io.Reader(strings.NewReader(strings.Repeat("x", size)))
			if chunked {
				body = io.MultiReader(body)
			}
			resp, err := http.Post("http://"+f.address, "text/plain", body)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, string(text), strconv.Itoa(size))
		}
	}
}

// exhaustedListener is a listener that has no descriptor left for the next connections, as long as lacking is positive.
type exhaustedListener struct {
	net.Listener
	lacking atomic.Int64
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.lacking.Add(-1) >= 0 {
		_ = c.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return c, err
}

// TestNoDescriptors checks that a process without descriptors closes connections without a request, and serves others then.
func TestNoDescriptors(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	exhausted := &exhaustedListener{Listener: l}
	f := newFixtureOn(t, exhausted, 100, 1<<30, serveOK)
	silent := []net.Conn{f.dial(""), f.dial("")}
	assert.Equal(t, f.status(f.dial(get+"Connection: close\r\n\r\n")), 200)
	exhausted.lacking.Store(2)
	for range 2 {
		_ = f.dial("")
	}
	f.waitRefusals(acceptor.Evicted, 2)
	for _, c := range silent {
		assert.Equal(t, f.status(c), 0)
	}
	assert.Equal(t, f.status(f.dial(get+"\r\n")), 200)
}
