package attendant_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const coldConfig = `{"version":"00000002","resources":[
 {"resource_kind":"routes","metadata":{"name":"r"},"spec":{"hostname":"h.example","path_prefix":"/a/","route_type":"non_idempotent","timeout_ms":1500,"slo_ms":1500,"service":"x","max_attempts":2}},
 {"resource_kind":"services","metadata":{"name":"x"},"spec":{"max_conns":80,"warmup_s":20,"cold_per_s":15,"health_path":"/health"}},
 {"resource_kind":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":["key"],"rate_per_s":0}}]}`

// TestColdTargetsOfFleet guards against cold targets that get more than their bound from several nodes together, and
// against callers that get anything but an answer or a refusal with the time to retry.
func TestColdTargetsOfFleet(t *testing.T) {
	f := newFleet(t, 2)
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(coldConfig))
	for i := range f.nodes {
		f.eventually("cold", func() bool {
			f.announceCold(i, int(time.Now().UnixMilli()), time.Minute)
			return strings.Contains(f.figures(i), "target_cold 1")
		})
	}
	before := []int{len(f.targets[0].Requests()), len(f.targets[1].Requests())}
	var answered, refused, other atomic.Int64
	var clients sync.WaitGroup
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i := range f.nodes {
			clients.Go(func() {
				resp, err := http.DefaultClient.Do(f.request(http.MethodGet, f.nodes[i].Settings.OutboundListen, "/a/x"))
				if err != nil {
					other.Add(1)
					return
				}
				defer resp.Body.Close()
				switch {
				case resp.StatusCode == 200:
					answered.Add(1)
				case resp.StatusCode == 503 && resp.Header.Get(platform.RetryAfterHeader) != "":
					refused.Add(1)
				default:
					other.Add(1)
				}
			})
		}
	}
	clients.Wait()
	for i, target := range f.targets {
		// The last requests wait for their pace after the second has ended.
		n := len(target.Requests()) - before[i]
		assert.Assert(t, n <= 30, "%d requests to target %d", n, i)
	}
	assert.Assert(t, answered.Load() >= 15 && refused.Load() > 0, "%d answered, %d refused", answered.Load(), refused.Load())
	assert.Equal(t, other.Load(), int64(0))
	assert.Assert(t, strings.Contains(f.figures(0)+f.figures(1), `requests_refused_total{reason="target-cold"}`))
}

// announceCold announces that the target of node i remains cold for the given time.
func (f *fleet) announceCold(i, sequence int, warmUp time.Duration) {
	f.t.Helper()
	cfg := &f.nodes[i].Settings
	body := fmt.Sprintf(`{"service":"x","address":%q,"zone":"dc","version":"v1","concurrency":20,"state":"ready","warmup_ms":%d,"sequence":%d,"born":1}`, cfg.TargetAddress, warmUp.Milliseconds(), sequence)
	req, err := http.NewRequest(http.MethodPut, "http://"+cfg.AnnounceListen+platform.AnnouncePath+fmt.Sprint("i-", i), strings.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	_ = resp.Body.Close()
}

// figures returns the metrics of node i.
func (f *fleet) figures(i int) string {
	var b bytes.Buffer
	f.nodes[i].Metrics.WritePrometheus(&b)
	return b.String()
}
