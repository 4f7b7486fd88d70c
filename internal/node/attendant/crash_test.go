package attendant_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const lookupConfig = `{"version":"%08x","resources":[
 {"resource_kind":"routes","metadata":{"name":"lookup"},"spec":{"hostname":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":1500,"slo_ms":1500,"service":"x","max_attempts":2}},
 {"resource_kind":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":["key"],"rate_per_s":0}}]}`

const (
	crashingPath = "/a/crash?q=1"
	// newsTime is the time after which all nodes must know of a crash.
	newsTime = 3 * time.Second
	// maxRepeats is the number of times that a request may reach a target after that.
	maxRepeats = 3
)

// crashes makes the targets of a fleet crash on crashingPath and come back as new incarnations.
type crashes struct {
	f *fleet
	// settings holds those of the nodes, which the test may replace meanwhile.
	settings []platform.Settings

	mu     sync.Mutex
	closed bool
	at     []time.Time
	// down is the time after which a target is back.
	down time.Duration
	wg   sync.WaitGroup
	// born holds the number of the latest incarnation of each target, and started that of those started so far.
	born    []int
	started int
	// announced is the number of restarts that have been completed.
	announced int
	// version is the version of the next incarnations. Those of later ones than v1 do not crash.
	version string
}

func newCrashes(f *fleet, down time.Duration) *crashes {
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, fmt.Appendf(nil, lookupConfig, 2))
	c := &crashes{f: f, down: down, born: make([]int, len(f.targets)), version: "v1"}
	for i := range f.targets {
		c.settings = append(c.settings, f.nodes[i].Settings)
		c.arm(i, f.targets[i])
	}
	f.t.Cleanup(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.wg.Wait()
	})
	for i := range f.nodes {
		f.eventually("served", func() bool { return f.get(i, "/a/1", "outbound") == 200 })
	}
	return c
}

func (c *crashes) arm(i int, target *responder.Responder) {
	target.CrashOn = crashingPath
	target.OnCrash = sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.at = append(c.at, time.Now())
		if !c.closed {
			c.wg.Go(func() { c.restart(i, target) })
		}
	})
}

// restart ends a target and starts its next incarnation at the same address.
func (c *crashes) restart(i int, target *responder.Responder) {
	target.Close()
	time.Sleep(c.down)
	next := &responder.Responder{ServiceTime: c.f.serviceTime}
	if c.currentVersion() == "v1" {
		c.arm(i, next)
	}
	if _, err := next.OpenAt(c.settings[i].TargetAddress); err != nil {
		c.f.t.Error(err)
		return
	}
	c.mu.Lock()
	c.f.targets[i] = next
	c.started++
	c.born[i] = c.started + 1
	c.mu.Unlock()
	c.announce(i, 1)
	c.mu.Lock()
	c.announced++
	c.mu.Unlock()
}

// awaitRestarts waits until all targets that have crashed are back.
func (c *crashes) awaitRestarts() {
	c.f.eventually("targets are back", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.announced == len(c.at)
	})
}

// announce announces the latest incarnation of a target.
func (c *crashes) announce(i, sequence int) {
	c.mu.Lock()
	born, version := c.born[i], c.version
	c.mu.Unlock()
	cfg := &c.settings[i]
	body := fmt.Sprintf(`{"service":"x","address":%q,"zone":"dc","version":%q,"concurrency":20,"state":"ready","warmup_ms":0,"sequence":%d,"born":%d}`, cfg.TargetAddress, version, sequence, born)
	req, err := http.NewRequest(http.MethodPut, "http://"+cfg.AnnounceListen+platform.AnnouncePath+fmt.Sprintf("i-%d-%d", i, born), strings.NewReader(body))
	if err != nil {
		c.f.t.Error(err)
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (c *crashes) currentVersion() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// mend replaces a target by one of the next version, which does not crash.
func (c *crashes) mend(i int) {
	c.mu.Lock()
	c.version = "v2"
	target := c.f.targets[i]
	c.mu.Unlock()
	c.restart(i, target)
}

// times returns the times of the crashes.
func (c *crashes) times() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.at...)
}

// TestRepeatsOfCrashingRequest guards against a request that crashes one target after the other, since every node takes it
// for a new one.
func TestRepeatsOfCrashingRequest(t *testing.T) {
	f := newFleet(t, 5)
	c := newCrashes(f, 300*time.Millisecond)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, lost := 0, 0
	for i := range f.nodes {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				code := f.get(i, fmt.Sprintf("/a/%d", n%3), "outbound")
				mu.Lock()
				if code == 200 {
					served++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	for n, end := 0, time.Now().Add(8*time.Second); time.Now().Before(end); n++ {
		f.get(n%len(f.nodes), crashingPath, "outbound")
		time.Sleep(60 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	at := c.times()
	assert.Assert(t, len(at) >= 3, "%d crashes", len(at))
	late := 0
	for _, crash := range at {
		if crash.Sub(at[2]) > newsTime {
			late++
		}
	}
	t.Logf("%d crashes, %d of them late; %d other requests served, %d not", len(at), late, served, lost)
	assert.Check(t, late <= maxRepeats, "the request reached %d targets after all nodes could know of it", late)
	assert.Check(t, lost*20 <= served, "%d of %d other requests not served", lost, served+lost)
}
