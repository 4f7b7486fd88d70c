package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const (
	// downloadBytes is the size of a download, more than the buffers of the sockets hold.
	downloadBytes = 16 << 20
	// socketBytes bounds the buffers of the sockets, as the node's own listeners do.
	socketBytes = 64 << 10
)

// serve starts a server whose sockets have small buffers.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		assert.Check(t, c.(*net.TCPConn).SetWriteBuffer(socketBytes))
		return ctx
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// downloads serves downloads of a target to callers directly, without a second node.
type downloads struct {
	executor *executor.Executor
	address  string
}

// newDownloads starts a target whose downloads have a length if framed is set, and end after cutAt bytes if it is not 0.
func newDownloads(t *testing.T, framed bool, cutAt int, limit time.Duration) *downloads {
	t.Helper()
	block := make([]byte, 16<<10)
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestIDHeader, r.Header.Get(platform.RequestIDHeader))
		w.Header().Set(platform.SignatureHeader, "s")
		if framed {
			w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		}
		for sent := 0; sent < downloadBytes; sent += len(block) {
			if cutAt > 0 && sent >= cutAt {
				panic(http.ErrAbortHandler)
			}
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	pool := &transporter.Pool{IdleTimeout: time.Minute}
	t.Cleanup(pool.Close)
	d := &downloads{executor: executor.New(pool)}
	d.executor.Announce(platform.Announcement{ID: "i-1", Service: "x", Address: target, Slots: 400, Sequence: 1, StartedAtMs: 1})
	d.address = serve(t, func(w http.ResponseWriter, r *http.Request) {
		a := d.executor.Do(r.Context(), &executor.Job{
			Request: transporter.Request{Method: http.MethodGet, URI: "/d", Host: "h", Header: http.Header{platform.RequestIDHeader: {"id"}}},
			Route:   "r", Idempotent: true, Deadline: time.Now().Add(limit), MaxWait: time.Second,
		})
		defer a.Release()
		forwarder.WriteBody(w, a)
	})
	return d
}

// TestIncompleteDownload guards against a download that looks complete to the caller although the target has broken it off.
func TestIncompleteDownload(t *testing.T) {
	for _, framed := range []bool{true, false} {
		for _, cutAt := range []int{0, 128 << 10, 8 << 20} {
			t.Run(fmt.Sprint("framed-", framed, "-cut-at-", cutAt), func(t *testing.T) {
				d := newDownloads(t, framed, cutAt, 10*time.Second)
				resp, err := http.Get("http://" + d.address)
				assert.NilError(t, err)
				defer resp.Body.Close()
				n, err := io.Copy(io.Discard, resp.Body)
				if cutAt == 0 {
					assert.NilError(t, err)
					assert.Equal(t, n, int64(downloadBytes))
					return
				}
				assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d bytes, %v", n, err)
			})
		}
	}
}

// stall starts a download and does not read it.
func (d *downloads) stall(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(socketBytes))
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
}

// waitRunning waits until the target runs n requests.
func (d *downloads) waitRunning(t *testing.T, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for d.executor.Load().Running != n {
		assert.NilError(t, ctx.Err(), "%d run, not %d", d.executor.Load().Running, n)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStalledDownload guards against slots that are held without end by callers that stop reading.
func TestStalledDownload(t *testing.T) {
	d := newDownloads(t, true, 0, time.Second)
	for range 5 {
		d.stall(t)
	}
	d.waitRunning(t, 5)
	began := time.Now()
	d.waitRunning(t, 0)
	assert.Assert(t, time.Since(began) < 2*time.Second, "took %s", time.Since(began))
}

// TestSlowDownloadsMemory guards against memory that grows with the size of downloads that callers read slowly.
func TestSlowDownloadsMemory(t *testing.T) {
	const count, maxBytesEach = 100, 320 << 10
	for _, framed := range []bool{true, false} {
		t.Run(fmt.Sprint("framed-", framed), func(t *testing.T) {
			d := newDownloads(t, framed, 0, 20*time.Second)
			before := memoryInUse()
			for i := range count {
				// One after the other, since a busy machine may take longer than the time limit of a connection.
				d.stall(t)
				d.waitRunning(t, i+1)
			}
			time.Sleep(500 * time.Millisecond)
			each := (memoryInUse() - before) / count
			t.Logf("%d KiB a download, with both ends of its connections", each>>10)
			assert.Assert(t, each < maxBytesEach, "%d bytes a download", each)
		})
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
