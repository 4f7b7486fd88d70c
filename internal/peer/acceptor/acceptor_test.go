package acceptor_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/peer/acceptor"
	"gotest.tools/v3/assert"
)

// serve starts a server and returns its address.
func serve(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	l, err := acceptor.Listen("127.0.0.1:0", acceptor.Options{SendBytes: 256 << 10, KeepAlive: 5 * time.Second})
	assert.NilError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// TestBodies guards against bodies that arrive in parts, or that are longer than the buffers, being read wrongly.
func TestBodies(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 2, 4095, 4096, 4097, 1 << 20} {
		text := strings.Repeat("x", size)
		r, w := io.Pipe()
		go func() {
			for _, part := range []string{text[:size/2], text[size/2:]} {
				_, _ = io.WriteString(w, part)
				time.Sleep(5 * time.Millisecond)
			}
			_ = w.Close()
		}()
		resp, err := http.Post("http://"+address, "text/plain", r)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, len(got), size)
	}
}

// TestClientLeaves guards against a request that goes on although its client has closed its connection: while the handler
// runs, or together with the end of the request.
func TestClientLeaves(t *testing.T) {
	began, left := make(chan bool, 1), make(chan bool, 1)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		began <- true
		select {
		case <-r.Context().Done():
			left <- true
		case <-time.After(5 * time.Second):
			left <- false
		}
	})
	for _, body := range []string{"", "body"} {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		assert.NilError(t, err)
		<-began
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, c.Close())
		assert.Assert(t, <-left)
	}
}

// TestClientLeavesWithRequest guards against a request of a client that left before the node read it, for example because
// the node was suspended.
func TestClientLeavesWithRequest(t *testing.T) {
	release, left := make(chan bool), make(chan bool, 1)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
			return
		}
		select {
		case <-r.Context().Done():
			left <- true
		case <-time.After(5 * time.Second):
			left <- false
		}
	})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	const get = "GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = fmt.Fprintf(c, get, "/first")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	// The second request waits in the kernel, with the end of the connection behind it.
	_, err = fmt.Fprintf(c, get, "/second")
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	time.Sleep(20 * time.Millisecond)
	close(release)
	assert.Assert(t, <-left)
	assert.NilError(t, c.Close())
}

// TestRequestsOnOneConnection guards against requests that are lost after an aborted background read: those sent at once
// after the answer, and pipelined ones.
func TestRequestsOnOneConnection(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	answers := make([]byte, 4096)
	for i := range 3000 {
		if i%10 == 0 {
			time.Sleep(time.Millisecond)
		}
		requests := 1 + i%2
		for range requests {
			_, err = fmt.Fprintf(c, "GET /%04d HTTP/1.1\r\nHost: h\r\n\r\n", i)
			assert.NilError(t, err)
		}
		got := ""
		for strings.Count(got, "HTTP/1.1 200") < requests || !strings.HasSuffix(got, fmt.Sprintf("/%04d", i)) {
			n, err := c.Read(answers)
			assert.NilError(t, err)
			got += string(answers[:n])
		}
	}
}

// BenchmarkRequest measures a request on a kept connection. strace -fc shows the system calls.
func BenchmarkRequest(b *testing.B) {
	// The handler waits, as for a target.
	address := serve(b, func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Microsecond) })
	c, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	defer c.Close()
	answer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := c.Read(answer); err != nil {
			b.Fatal(err)
		}
	}
}
