package transporter_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"gotest.tools/v3/assert"
)

// TestAllClosedReportedFirst guards against requests that reach a peer on new connections before anybody has been told that
// it has closed all idle ones and was probably restarted: one request finds that out, and others run beside it.
func TestAllClosedReportedFirst(t *testing.T) {
	const requests = 8
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(20 * time.Millisecond) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var reported atomic.Bool
	pool := &transporter.Pool{IdleTimeout: time.Minute, OnAllClosed: func(string) {
		time.Sleep(100 * time.Millisecond)
		reported.Store(true)
	}}
	defer pool.Close()
	send := func(beforeSend func() bool) {
		r := transporter.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, BeforeSend: beforeSend}
		resp, _, err := pool.Send(t.Context(), address, &r, time.Minute)
		if assert.Check(t, err == nil, "%v", err) {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	sendAll := func(beforeSend func() bool) {
		var group sync.WaitGroup
		for range requests {
			group.Go(func() { send(beforeSend) })
		}
		group.Wait()
	}
	sendAll(nil)
	server.CloseClientConnections()
	time.Sleep(50 * time.Millisecond)
	sendAll(func() bool { return assert.Check(t, reported.Load(), "sent before the report") })
}
