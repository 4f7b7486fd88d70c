package attendant_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/isolator"
	"github.com/plantainwheel/plantainwheel/internal/node/attendant"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// quarantine sends crashingPath until each of the given nodes withholds it.
func (c *crashes) quarantine(nodes int) {
	for i := range nodes {
		c.f.eventually("withheld", func() bool {
			resp, err := http.DefaultClient.Do(c.f.request(http.MethodGet, c.f.nodes[i].Settings.OutboundListen, crashingPath))
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode == 503 && resp.Header.Get(platform.RetryAfterHeader) > "4"
		})
	}
}

// TestQuarantineAfterLossOfAllNodes guards against a request that crashes targets again after all nodes have been lost.
func TestQuarantineAfterLossOfAllNodes(t *testing.T) {
	f := newFleet(t, 3)
	c := newCrashes(f, 200*time.Millisecond)
	c.quarantine(3)
	f.eventually("stored", func() bool {
		s := quarantiner.Sign(&quarantiner.Request{Method: http.MethodGet, Host: "h.example", URI: crashingPath, Account: "shop"})
		return strings.Contains(string(f.store.Newest(platform.MemberTopic, isolator.KeyPrefix+s.String())), `"crashes"`)
	})
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/quarantine", f.nodes[1].Settings.IP, f.nodes[1].Settings.MetricsPort))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var list []struct {
		Signature string
		Crashes   []struct{ Target, Node, Service string }
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
	assert.Equal(t, len(list), 1)
	assert.Assert(t, len(list[0].Crashes) >= 3 && list[0].Crashes[0].Service == "x", "%v", list)
	time.Sleep(500 * time.Millisecond)
	before := len(c.times())
	nodes := f.nodes
	f.nodes = nil
	for _, n := range nodes {
		n.Stop(100 * time.Millisecond)
	}
	for i, n := range nodes {
		next := &attendant.Attendant{Settings: n.Settings, Log: attendant.NewLogger(io.Discard, n.Settings.Node)}
		next.Build()
		assert.NilError(t, next.Start())
		f.nodes = append(f.nodes, next)
		c.announce(i, 2)
	}
	for i := range f.nodes {
		f.eventually("served", func() bool { return f.get(i, "/a/1", "outbound") == 200 })
		for range 5 {
			assert.Equal(t, f.get(i, crashingPath, "outbound"), 503)
		}
	}
	assert.Equal(t, len(c.times()), before)
}

// TestQuarantineWithoutStore checks that all nodes know of a quarantined request while the store is away.
func TestQuarantineWithoutStore(t *testing.T) {
	f := newFleet(t, 4)
	c := newCrashes(f, 200*time.Millisecond)
	f.store.SetFaults(storer.Faults{Unavailable: true})
	c.quarantine(4)
	assert.Assert(t, len(c.times()) <= 4, "%d crashes", len(c.times()))
}

// TestMendedVersion checks that a target of a new version serves a quarantined request, while those of the old one, which it
// would crash, do not get it.
func TestMendedVersion(t *testing.T) {
	f := newFleet(t, 3)
	c := newCrashes(f, 200*time.Millisecond)
	c.quarantine(3)
	// A restart that is still going on would meet the one of mend at the same address, or start as the new version.
	c.awaitRestarts()
	time.Sleep(500 * time.Millisecond)
	before := len(c.times())
	c.mend(1)
	for i := range f.nodes {
		f.eventually("served", func() bool { return f.get(i, crashingPath, "outbound") == 200 })
	}
	for range 20 {
		for i := range f.nodes {
			assert.Equal(t, f.get(i, crashingPath, "outbound"), 200)
		}
	}
	assert.Equal(t, len(c.times()), before)
}
