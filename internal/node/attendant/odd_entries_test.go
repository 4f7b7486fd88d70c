package attendant_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// nested returns a JSON text of the given depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// putAnnouncement sends an announcement to node i as it is and returns the status of the response.
func (f *fleet) putAnnouncement(i int, id, body string) int {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+f.nodes[i].Settings.AnnounceListen+platform.AnnouncePath+id, strings.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		// The server does not read all of a long body.
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestOddRecords guards against records of another writer among those of the nodes that end nodes, stop their reading, or name
// targets that don't exist and get requests: in a page, relayed by other nodes, and for a node that starts later.
func TestOddRecords(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.eventually("served", func() bool { return f.get(i, "/a/1", "outbound") == 200 })
	}
	put := func(topic, key, value string) { f.store.Put(topic, key, []byte(value)) }
	odd := map[string]int{platform.MemberTopic: 0, platform.CostTopic: 0}
	for i, address := range []string{"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:http", "127.0.0.1", "[::1]:9", "127.0.0.1:99999", "::"} {
		key := fmt.Sprint("odd-", i)
		put(platform.MemberTopic, key, fmt.Sprintf(`{"node":%q,"address":%q,"control-address":%q,"report-address":%q,"data-centre":"dc","service":"x","target":%q,"born":1,"slots":1000000,"state":"ready"}`, key, address, address, address, key))
		odd[platform.MemberTopic]++
	}
	for i, value := range []string{nested(20_000), `{"node":` + nested(100_000) + `}`, `{"node":"odd","slots":1e400}`, `{"node":"odd","slots":9223372036854775808}`, "\x00\xff"} {
		put(platform.MemberTopic, fmt.Sprint("odd-json-", i), value)
		odd[platform.MemberTopic]++
		put(platform.CostTopic, fmt.Sprint("odd-json-", i), value)
		odd[platform.CostTopic]++
	}
	// This node writes its own record again.
	put(platform.MemberTopic, "vm-1", nested(20_000))
	odd[platform.MemberTopic]++
	f.eventually("own record written again", func() bool {
		return strings.Contains(string(f.store.Newest(platform.MemberTopic, "vm-1")), `"ready"`)
	})
	f.store.Compact(platform.MemberTopic)
	f.start(3)
	f.announce(3, 1, "ready")
	f.eventually("ready", func() bool { return f.get(3, platform.ReadyPath, "ready") == 200 })
	for range 20 {
		for i := range 4 {
			assert.Equal(t, f.get(i, "/a/1", "outbound"), 200)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 4 {
		figures := f.figures(i)
		assert.Assert(t, strings.Contains(figures, `store_invalid_records_total{topic="keyed.members"}`), "node %d", i)
		for topic, n := range odd {
			// The node that has started later may find the record of vm-1 replaced.
			line := fmt.Sprintf("store_invalid_records_total{topic=%q} ", topic)
			if _, value, found := strings.Cut(figures, line); found {
				var counted int
				_, err := fmt.Sscan(value, &counted)
				assert.NilError(t, err)
				assert.Assert(t, counted <= n && counted >= n-1, "node %d: %d of %d in %s", i, counted, n, topic)
			}
		}
		assert.Assert(t, !strings.Contains(figures, `requests_refused_total{reason="node-unreachable"}`), "node %d sent to a target that doesn't exist", i)
	}
}

// TestOddAnnouncements guards against announcements of another writer that end the node or replace its target.
func TestOddAnnouncements(t *testing.T) {
	f := newFleet(t, 1)
	f.eventually("served", func() bool { return f.get(0, "/a/1", "outbound") == 200 })
	with := func(old, replacement string) string {
		body := `{"service":"x","address":"127.0.0.1:9","zone":"dc","concurrency":20,"state":"ready","warmup_ms":0,"sequence":9,"born":9}`
		return strings.Replace(body, old, replacement, 1)
	}
	for _, body := range []string{
		"", "null", nested(30_000), strings.Repeat("[", 4<<20), strings.Repeat(" ", 4<<20) + with("", ""),
		with("127.0.0.1:9", "127.0.0.1:0"), with("127.0.0.1:9", "127.0.0.1:65536"), with("127.0.0.1:9", "127.0.0.1:-1"),
		with("127.0.0.1:9", "127.0.0.1:http"), with("127.0.0.1:9", "127.0.0.1"), with("127.0.0.1:9", "unix"),
		with(`"concurrency":20`, `"concurrency":1e400`), with(`"concurrency":20`, `"concurrency":9223372036854775807`),
		with(`"concurrency":20`, `"concurrency":20,"concurrency":-1`), with(`"sequence":9`, `"sequence":9223372036854775808`),
		with(`"warmup_ms":0`, `"warmup_ms":1e400`), with(`"born":9`, `"born":-9`), with(`"state":"ready"`, `"state":"asleep"`),
	} {
		status := f.putAnnouncement(0, "odd", body)
		assert.Assert(t, status == 0 || status == 400, "%d for %.80q", status, body)
		assert.Equal(t, f.get(0, "/a/1", "outbound"), 200, "after %.80q", body)
	}
	f.announce(0, 2, "ready")
	assert.Equal(t, f.get(0, "/a/1", "outbound"), 200)
}
