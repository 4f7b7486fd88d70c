package attendant_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"gotest.tools/v3/assert"
)

// metric returns the value of a metric of node i as text, or an empty string.
func (f *fleet) metric(i int, name string) string {
	var text strings.Builder
	f.nodes[i].Metrics.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// TestUnevenDemandOverSockets guards against a plan that lacks its inputs: the node of a data centre with one target gets 1.6
// times what that target holds, while the other data centre has room for it.
func TestUnevenDemandOverSockets(t *testing.T) {
	f := &fleet{t: t, serviceTime: 200 * time.Millisecond, store: &storer.Store{}, dataCentres: []string{"a", "b", "b"}}
	f.run(3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	var served, offered atomic.Int64
	begun := false
	ticker := time.NewTicker(6600 * time.Microsecond)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < 15*time.Second && !begun; <-ticker.C {
		wg.Go(func() {
			resp, err := client.Do(f.request(http.MethodGet, f.nodes[0].Settings.OutboundListen, "/a/1"))
			offered.Add(1)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
		fraction := f.metric(0, `flow_fraction{service="x",from="a",to="b"}`)
		left := f.metric(0, `requests_left_data_centre_total{service="x",reason="plan"}`)
		begun = fraction > "0.2" && len(left) > 1
	}
	wg.Wait()
	t.Log(fmt.Sprint(served.Load(), " of ", offered.Load(), " served; fraction ", f.metric(0, `flow_fraction{service="x",from="a",to="b"}`)))
	assert.Assert(t, begun, "no flow")
	assert.Equal(t, f.metric(1, `flow_fraction{service="x",from="b",to="a"}`), "")
}
