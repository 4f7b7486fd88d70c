package attendant_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// TestOrderOverSockets guards against nodes that apply the order by rank only to the requests that enter at themselves. One
// node gets 80 important and the other 80 unimportant requests a second, and both targets serve 100 together. Each node
// would admit about 0.6 of its requests.
func TestOrderOverSockets(t *testing.T) {
	f := newFleetWithServiceTime(t, 2, 400*time.Millisecond)
	const routes = `"resources":[
 {"resource_kind":"routes","metadata":{"name":"low"},"spec":{"hostname":"h.example","path_prefix":"/low/","route_type":"idempotent","priority":3,"timeout_ms":3000,"slo_ms":3000,"service":"x","max_attempts":2}},`
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(strings.Replace(fmt.Sprintf(config, 2, "key"), `"resources":[`, routes, 1)))
	for i := range 2 {
		f.eventually("served", func() bool { return f.get(i, "/low/1", "outbound") == 200 })
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var offered, served [2]float64
	send := func(i int, counts bool) {
		resp, err := client.Do(f.request(http.MethodGet, f.nodes[i].Settings.OutboundListen, []string{"/a/1", "/low/1"}[i]))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		mu.Lock()
		defer mu.Unlock()
		if counts {
			offered[i]++
		}
		if counts && resp.StatusCode == http.StatusOK {
			served[i]++
		}
	}
	ticker := time.NewTicker(12500 * time.Microsecond)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < 8*time.Second; <-ticker.C {
		counts := time.Since(start) > 4*time.Second
		for i := range 2 {
			wg.Go(func() { send(i, counts) })
		}
	}
	wg.Wait()
	t.Logf("served %.0f of %.0f important requests and %.0f of %.0f others", served[0], offered[0], served[1], offered[1])
	assert.Assert(t, served[0] > 0.9*offered[0])
	assert.Assert(t, served[1] < 0.4*offered[1])
	assert.Assert(t, served[0]+served[1] > 0.7*min(400, offered[0]+offered[1]))
}
