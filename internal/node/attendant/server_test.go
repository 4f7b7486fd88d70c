package attendant

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
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
		time.Sleep(4 * shutdownTimeout)
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
	s.close(func() bool { return running.Load() > 0 }, began.Add(5*time.Second))
	assert.Equal(t, <-got, "whole")
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
}
