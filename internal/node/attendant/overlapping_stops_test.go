package attendant_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// stopConfig has a route of clients, and one that targets call without a key.
const stopConfig = `{"version":"00000002","resources":[
 {"resource_kind":"routes","metadata":{"name":"r"},"spec":{"hostname":"h.example","path_prefix":"/a/","route_type":"non_idempotent","timeout_ms":1500,"slo_ms":1500,"service":"x","max_attempts":2}},
 {"resource_kind":"routes","metadata":{"name":"c"},"spec":{"hostname":"h.example","path_prefix":"/c/","route_type":"non_idempotent","timeout_ms":1500,"slo_ms":1500,"service":"x","max_attempts":2,"anonymous":true}},
 {"resource_kind":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":["key"],"rate_per_s":0}}]}`

// plannedStop is the stop of a node some time after the test has begun.
type plannedStop struct {
	node  int
	after time.Duration
}

// TestStopsLoseNothing guards against requests that are passed on during planned stops and get no answer: with more
// requests than the targets can run at once, calls of targets, stops that overlap, and clients of other nodes whose requests
// run at the target of a stopping node.
func TestStopsLoseNothing(t *testing.T) {
	// Each target has 20 slots.
	const serviceTime, callers, queue = 400 * time.Millisecond, 6, 40
	for _, c := range []struct {
		name    string
		stops   []plannedStop
		clients []int
		// callers is the number of clients of each of these nodes that send one request after the other.
		callers int
		path    string
	}{
		{"with a queue", []plannedStop{{1, 0}}, []int{0, 1}, queue, "/a/1"},
		{"calls of targets", []plannedStop{{1, 0}}, []int{1}, callers, "/c/1"},
		{"calls of targets with a queue", []plannedStop{{1, 0}}, []int{0, 1}, queue, "/c/1"},
		{"clients of another node", []plannedStop{{1, 0}}, []int{0}, callers, "/a/1"},
		{"two at a time", []plannedStop{{1, 0}, {2, 0}}, []int{0, 1, 2}, callers, "/a/1"},
		{"one while another stops", []plannedStop{{1, 0}, {2, 1500 * time.Millisecond}}, []int{0, 1, 2}, callers, "/a/1"},
		{"one when another closes", []plannedStop{{1, 0}, {2, 3500 * time.Millisecond}}, []int{0, 1, 2}, queue, "/a/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetWithServiceTime(t, 3, serviceTime)
			f.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(stopConfig))
			for i := range 3 {
				f.eventually("served", func() bool { return f.get(i, "/c/1", "outbound") == 200 })
			}
			var sending, stopping sync.WaitGroup
			end := time.Now().Add(c.stops[len(c.stops)-1].after + lateStopTime)
			var all []*stopClients
			for _, node := range c.clients {
				clients := &stopClients{f: f, node: node, path: c.path, withoutKey: c.path == "/c/1", statuses: map[int]int{}, unanswered: map[string]error{}}
				all = append(all, clients)
				for i := range c.callers {
					sending.Go(func() { clients.sendUntil(end, i) })
				}
			}
			time.Sleep(500 * time.Millisecond)
			for _, s := range c.stops {
				stopping.Go(func() {
					time.Sleep(s.after)
					f.nodes[s.node].Stop(lateStopTime)
				})
			}
			sending.Wait()
			stopping.Wait()
			for _, clients := range all {
				for id, err := range clients.unanswered {
					assert.Check(t, f.runs(id) == 0, "%s ran, and its client has no answer: %v", id, err)
				}
				t.Logf("node %d: answers by status %v, connections closed before the request was passed on: %d", clients.node, clients.statuses, len(clients.unanswered))
				assert.Check(t, clients.statuses[200] > 10, "node %d: %v", clients.node, clients.statuses)
			}
			f.forget(len(c.stops))
		})
	}
}

// sendUntil sends one request after the other on a kept connection until the time, and then one that the node may still
// have accepted on a connection of its own.
func (c *stopClients) sendUntil(end time.Time, caller int) {
	kept, late := &http.Client{Transport: &http.Transport{}}, newLateClient()
	for n := 0; time.Now().Before(end); n++ {
		client := kept
		if n%4 == 3 {
			client = late
		}
		c.send(client, fmt.Sprint("node-", c.node, "-caller-", caller, "-", n), 0)
		time.Sleep(10 * time.Millisecond)
	}
}
