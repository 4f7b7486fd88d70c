package attendant_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/attendant"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// restart replaces the process of node i. Its target goes on.
func (f *fleet) restart(i int) {
	f.t.Helper()
	cfg := f.nodes[i].Settings
	f.nodes[i].Stop(0)
	f.nodes[i] = &attendant.Attendant{Settings: cfg, Log: attendant.NewLogger(io.Discard, cfg.Node)}
	f.nodes[i].Build()
	assert.NilError(f.t, f.nodes[i].Start())
}

// deregister deregisters the target of node i.
func (f *fleet) deregister(i int) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.nodes[i].Settings.AnnounceListen+platform.AnnouncePath+fmt.Sprint("i-", i), nil)
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	_ = resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode, 200)
}

// newFleetWithEntry starts two nodes with targets, and node 2 without one, through which requests come in.
func newFleetWithEntry(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 3)
	f.announce(2, 2, "draining")
	f.eventually("served", func() bool { return f.get(2, "/a/1", "outbound") == 200 })
	return f
}

// TestDepartureAfterRestart guards against requests that reach a target after a node has acknowledged its departure: the
// node's process has been restarted before or after that, and an announcement from before the departure arrives late.
func TestDepartureAfterRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(f *fleet)
	}{
		{"process that does not know the target", func(f *fleet) {
			f.restart(0)
			f.deregister(0)
		}},
		{"process killed after the acknowledgement", func(f *fleet) {
			f.restart(0)
			f.deregister(0)
			f.restart(0)
		}},
		{"store away at the restart", func(f *fleet) {
			f.store.SetFaults(storer.Faults{Unavailable: true})
			f.restart(0)
			f.deregister(0)
			time.AfterFunc(time.Second, func() { f.store.SetFaults(storer.Faults{}) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetWithEntry(t)
			c.leave(f)
			f.announce(0, 2, "ready")
			// No other target is left, so that requests would reach this one.
			f.announce(1, 2, "draining")
			time.Sleep(f.nodes[0].Settings.Bounds.Drain)
			before := len(f.targets[0].Requests())
			for range 20 {
				assert.Equal(t, f.get(2, "/a/1", "outbound"), 503)
			}
			assert.Equal(t, len(f.targets[0].Requests()), before)
		})
	}
}

// TestReturnAfterRestart checks that a target that has departed and starts again under its ID gets requests as soon as it
// announces itself, also at a new process.
func TestReturnAfterRestart(t *testing.T) {
	f := newFleetWithEntry(t)
	f.restart(0)
	f.deregister(0)
	time.Sleep(20 * time.Millisecond)
	cfg := &f.nodes[0].Settings
	body := fmt.Sprintf(`{"service":"x","address":%q,"zone":"dc","version":"v1","concurrency":20,"state":"ready","warmup_ms":0,"sequence":1,"born":%d}`, cfg.TargetAddress, time.Now().UnixMilli())
	assert.Equal(t, f.putAnnouncement(0, "i-0", body), 200)
	// Single requests may all be placed at the other target while there is one.
	f.announce(1, 2, "draining")
	f.eventually("served by the new incarnation", func() bool {
		before := len(f.targets[0].Requests())
		return f.get(2, "/a/1", "outbound") == 200 && len(f.targets[0].Requests()) > before
	})
	for range 20 {
		assert.Equal(t, f.get(2, "/a/1", "outbound"), 200)
	}
}
