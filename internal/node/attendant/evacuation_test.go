package attendant_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/attendant"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const evacuateBound = 5 * time.Second

func (f *fleet) evacuate(dataCentre string, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	f.store.Put(platform.ConfigTopic, platform.EvacuationKeyPrefix+dataCentre, value)
}

// arrivals returns the number of requests that the targets of the nodes have received.
func (f *fleet) arrivals(nodes ...int) int {
	n := 0
	for _, i := range nodes {
		n += len(f.targets[i].Requests())
	}
	return n
}

// TestEvacuation evacuates one data centre, then all, under load, and lifts the evacuations. It guards against requests
// that reach a target later than evacuate_ms after the store's acknowledgement, or that fail although another data
// centre can serve them.
func TestEvacuation(t *testing.T) {
	f := &fleet{t: t, serviceTime: 5 * time.Millisecond, store: &storer.Store{}, dataCentres: []string{"a", "a", "b"}}
	f.run(3)
	for i := range 3 {
		f.eventually("served", func() bool { return f.get(i, "/a/1", "outbound") == 200 })
	}
	f.eventually("a target of the data centre is used", func() bool { f.get(0, "/a/1", "outbound"); return f.arrivals(0, 1) > 0 })
	f.evacuate("a", true)
	acknowledged := time.Now()
	late := time.Duration(0)
	for before := f.arrivals(0, 1); time.Since(acknowledged) < 3*time.Second; {
		for i := range 3 {
			assert.Equal(t, f.get(i, "/a/1", "outbound"), 200)
		}
		if n := f.arrivals(0, 1); n > before {
			before, late = n, time.Since(acknowledged)
		}
	}
	t.Logf("last request %s after the acknowledgement", late)
	assert.Assert(t, late <= evacuateBound/2)
	assert.Assert(t, strings.Contains(metricsOf(t, f.nodes[2]), "evacuated_data_centres 1\n"))
	f.evacuate("b", true)
	for i := range 3 {
		f.eventually("all evacuated", func() bool { return f.get(i, "/a/1", "outbound") == http.StatusServiceUnavailable })
		resp, err := http.DefaultClient.Do(f.request(http.MethodGet, f.nodes[i].Settings.OutboundListen, "/a/1"))
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, f.get(i, platform.ReadyPath, "ready"), 200)
	}
	f.evacuate("a", false)
	for i := range 3 {
		f.eventually("served again", func() bool { return f.get(i, "/a/1", "outbound") == 200 })
	}
}

// TestNodeStartsDuringEvacuation guards against a node that sends to its target before it has read that the data centre
// is evacuated, also while the store is down, and against one that doesn't say when its evacuation ends.
func TestNodeStartsDuringEvacuation(t *testing.T) {
	f := &fleet{t: t, serviceTime: time.Millisecond, store: &storer.Store{}, dataCentres: []string{"b", "b", "a"}}
	f.evacuate("a", true)
	f.run(2)
	f.eventually("served", func() bool { return f.get(0, "/a/1", "outbound") == 200 })
	f.store.SetFaults(storer.Faults{Unavailable: true})
	f.start(2)
	var ended atomic.Int64
	f.nodes[2].OnEvacuationEnd = func() { ended.Add(1) }
	f.announce(2, 1, "ready")
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.get(2, "/a/1", "outbound")
	}
	assert.Equal(t, f.arrivals(2), 0)
	f.store.SetFaults(storer.Faults{})
	for range 3 {
		f.eventually("served through the new node", func() bool { return f.get(2, "/a/1", "outbound") == 200 })
	}
	assert.Equal(t, f.arrivals(2), 0)
	assert.Equal(t, ended.Load(), int64(0))
	f.evacuate("a", false)
	f.eventually("used after the evacuation", func() bool { f.get(2, "/a/1", "outbound"); return f.arrivals(2) > 0 })
	assert.Equal(t, ended.Load(), int64(1))
}

func metricsOf(t *testing.T, a *attendant.Attendant) string {
	t.Helper()
	var text strings.Builder
	a.Metrics.WritePrometheus(&text)
	return text.String()
}
