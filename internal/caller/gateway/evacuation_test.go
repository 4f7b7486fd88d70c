package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"gotest.tools/v3/assert"
)

// TestAllEvacuated guards against requests that wait, are sent, or are refused without the time to retry while all data
// centres are evacuated.
func TestAllEvacuated(t *testing.T) {
	f := newFixture(t, ok())
	evacuated := map[string]bool{"dc": true}
	f.gateway.Tracker.Evacuated = func() map[string]bool { return evacuated }
	for _, path := range []string{"/read/1", "/order/1", "/open/1"} {
		began := time.Now()
		w := f.send(http.MethodPost, path, "key", nil)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 1 && seconds <= 2, "%v", seconds)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	}
	// The body of a slow client is not waited for.
	body, writer := io.Pipe()
	refused := make(chan int, 1)
	go func() {
		refused <- f.send(http.MethodPost, "/order/1", "key", func(r *http.Request) { r.Body = body }).Code
	}()
	select {
	case code := <-refused:
		assert.Equal(t, code, http.StatusServiceUnavailable)
	case <-time.After(time.Second):
		t.Error("no answer before the end of the body")
	}
	_ = writer.Close()
	assert.Equal(t, len(f.sender.jobs), 0)
	var text strings.Builder
	f.gateway.Metrics.Set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `requests_refused_total{reason="evacuated"} 4`), text.String())
	f.gateway.Tracker.SetMember(tracker.Member{Node: "elsewhere", DataCentre: "b", Service: "x", Target: "i", Slots: 1, State: tracker.Ready})
	assert.Equal(t, f.send(http.MethodPost, "/order/1", "key", nil).Code, 200)
	assert.DeepEqual(t, f.sender.nodes, []string{"elsewhere"})
	evacuated = nil
	assert.Equal(t, f.send(http.MethodPost, "/order/1", "key", nil).Code, 200)
}

// TestEvacuatedAtTarget guards against a request that fails because the node beside the chosen target has heard of an
// evacuation first: it has not run, so another target runs it.
func TestEvacuatedAtTarget(t *testing.T) {
	f := newFixture(t, transporter.NotRunAnswer(executor.ReasonEvacuated), transporter.NotRunAnswer(executor.ReasonEvacuationsUnknown), ok())
	assert.Equal(t, f.send(http.MethodPost, "/order/1", "key", nil).Code, 200)
	assert.Equal(t, len(f.sender.jobs), 3)
}
