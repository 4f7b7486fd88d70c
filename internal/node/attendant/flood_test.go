package attendant_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/listener"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const (
	// floodMemory is the smallest memory_mb of a VM in the deployments that are served. All nodes and stand-ins of a test
	// share it.
	floodMemory = 184 << 20
	// floodTimeout is the timeout_ms of the routes, and floodSlack how much later all that belongs to a request must have
	// ended. The platform allows half a second; the rest is left for a busy machine.
	floodTimeout = 700 * time.Millisecond
	floodSlack   = time.Second
	// callersPerManner is the number of callers that read fast, slowly and not at all.
	callersPerManner = 6
)

// floodConfig has a route to the service x, whose targets misbehave, and one to y, whose target is sound.
const floodConfig = `{"version":"00000002","resources":[
 {"resource_kind":"routes","metadata":{"name":"r"},"spec":{"hostname":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":700,"slo_ms":700,"service":"x","max_attempts":2}},
 {"resource_kind":"routes","metadata":{"name":"s"},"spec":{"hostname":"h.example","path_prefix":"/b/","route_type":"idempotent","timeout_ms":700,"slo_ms":700,"service":"y","max_attempts":2}},
 {"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":5000,"idle_timeout_ms":30000}},
 {"resource_kind":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":["key"],"rate_per_s":0}}]}`

// flood plays a fleet in which somebody sends bytes without end. Node 0 is the entry and has no target that takes requests,
// the targets of nodes 1 and 2 belong to x and y.
type flood struct {
	*fleet
	peak     atomic.Uint64
	watching sync.WaitGroup
	stop     chan struct{}
	// asked and unanswered count the requests of the clients of y.
	asked, unanswered atomic.Int64
}

func startFlood(t *testing.T) *flood {
	t.Helper()
	f := &flood{fleet: newFleet(t, 3), stop: make(chan struct{})}
	for _, target := range f.targets {
		target.SetDiscard(true)
	}
	f.announce(0, 2, "draining")
	cfg := &f.nodes[2].Settings
	body := fmt.Sprintf(`{"service":"y","address":%q,"zone":"dc","version":"v1","concurrency":20,"state":"ready","warmup_ms":0,"sequence":1,"born":2}`, cfg.TargetAddress)
	assert.Equal(t, f.putAnnouncement(2, "i-2", body), 200)
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(floodConfig))
	for _, path := range []string{"/a/1", "/b/1"} {
		f.eventually("served "+path, func() bool { return f.get(0, path, "outbound") == 200 })
	}
	f.watching.Go(f.watchMemory)
	f.watching.Go(f.askOthers)
	return f
}

// watchMemory records the peak of the memory in use.
func (f *flood) watchMemory() {
	var m runtime.MemStats
	for {
		runtime.ReadMemStats(&m)
		if used := m.HeapInuse + m.StackInuse; used > f.peak.Load() {
			f.peak.Store(used)
		}
		select {
		case <-f.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// askOthers sends requests of other clients on the entry node.
func (f *flood) askOthers() {
	for {
		f.asked.Add(1)
		if f.get(0, "/b/1", "outbound") != 200 {
			f.unanswered.Add(1)
		}
		select {
		case <-f.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// finish checks what must hold for all floods.
func (f *flood) finish() {
	f.t.Helper()
	assert.Assert(f.t, strings.Contains(f.figures(1), "\ntarget_requests_running 0\n"), "slots are not free")
	// Some floods end at once.
	for f.asked.Load() <= 10 {
		time.Sleep(10 * time.Millisecond)
	}
	close(f.stop)
	f.watching.Wait()
	peak := f.peak.Load()
	f.t.Logf("peak %.1f MB, %d of %d requests of others not served", float64(peak)/(1<<20), f.unanswered.Load(), f.asked.Load())
	assert.Assert(f.t, peak < floodMemory, "%d bytes", peak)
	assert.Equal(f.t, f.unanswered.Load(), int64(0))
	assert.Equal(f.t, f.get(0, "/b/1", "outbound"), 200)
}

// manners are the ways in which callers read: the number of bytes at once, and the pause between.
var manners = []struct {
	bytes int
	pause time.Duration
}{{64 << 10, 0}, {512, 5 * time.Millisecond}, {0, 0}}

// callAll sends requests to the path from callers of all manners, and waits until the node has ended all of them.
func (f *flood) callAll(path string) {
	f.t.Helper()
	var callers sync.WaitGroup
	for _, m := range manners {
		for i := range callersPerManner {
			callers.Go(func() {
				conn, err := net.Dial("tcp", f.nodes[0].Settings.OutboundListen)
				if !assert.Check(f.t, err == nil, "%v", err) {
					return
				}
				defer conn.Close()
				id := fmt.Sprint(path, "-", m.bytes, "-", i, "-", time.Now().UnixNano())
				_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nConnection: close\r\nX-Plantainwheel-Request-Id: "+id+"\r\n\r\n")
				_ = conn.SetDeadline(time.Now().Add(floodTimeout + floodSlack))
				if m.bytes == 0 {
					time.Sleep(floodTimeout + floodSlack)
					return
				}
				buf := make([]byte, m.bytes)
				for {
					if _, err := conn.Read(buf); err != nil {
						// The sockets still hold bytes for a caller that reads slowly.
						assert.Check(f.t, m.pause > 0 || !isTimeout(err), "still served after %s", floodTimeout+floodSlack)
						return
					}
					time.Sleep(m.pause)
				}
			})
		}
	}
	callers.Wait()
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestTargetsWithoutEnd guards against targets whose bytes never end, in the head or in the body of a response, and that
// take up the memory of the nodes that called them, the requests of other clients there, or their slots.
func TestTargetsWithoutEnd(t *testing.T) {
	for _, fault := range responder.EndlessFaults {
		t.Run(string(fault), func(t *testing.T) {
			f := startFlood(t)
			f.targets[1].SetFault(fault)
			f.callAll("/a/1")
			f.finish()
		})
	}
}

// nodeFloods are what a faulty node answers to each request, before the bytes that it repeats.
var nodeFloods = map[string][2]string{
	"head":         {"HTTP/1.1 200 OK\r\nPw: ", "xxxxxxxx"},
	"headers":      {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
	"interim":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"other body":   {"HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx"},
	"answer":       {"HTTP/1.1 200 OK\r\nPw: a 1 0 9 100\r\nX-Plantainwheel-Response-Seal: s\r\n\r\n", "xxxxxxxx"},
	"not run":      {"HTTP/1.1 200 OK\r\nPw: n 1 0 9 draining\r\n\r\n", "xxxxxxxx"},
	"trailer":      {"HTTP/1.1 200 OK\r\nPw: a 1 0 9 100\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-More: x\r\n"},
	"after answer": {"HTTP/1.1 200 OK\r\nPw: a 1 0 9 100\r\nContent-Length: 2\r\n\r\nok", "xxxxxxxx"},
}

// TestNodesWithoutEnd guards against the same from another node: as an answer to a forwarded request, and to questions for
// the records of the store and for the configuration.
func TestNodesWithoutEnd(t *testing.T) {
	for name, text := range nodeFloods {
		t.Run(name, func(t *testing.T) {
			f := startFlood(t)
			f.announce(1, 2, "draining")
			address, served := serveWithoutEnd(t, text[0], text[1])
			f.store.Put(platform.MemberTopic, "odd", fmt.Appendf(nil, `{"node":"odd","address":%q,"control-address":%q,"report-address":%q,"data-centre":"dc","service":"x","target":"odd","born":1,"slots":1000,"state":"ready"}`, address, address, address))
			f.eventually("node known", func() bool {
				f.get(0, "/a/1", "outbound")
				return served.Load() > 0
			})
			before := served.Load()
			f.callAll("/a/1")
			assert.Assert(t, served.Load() > before)
			f.finish()
		})
	}
}

// serveWithoutEnd answers each connection with the text, followed by the repeated one until the connection is closed. It
// counts the connections.
func serveWithoutEnd(t *testing.T, text, repeated string) (address string, served *atomic.Int64) {
	t.Helper()
	served = &atomic.Int64{}
	block := strings.Repeat(repeated, 1<<10)
	address = listener.Serve(t, func(c net.Conn) {
		served.Add(1)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		// The request is read, so that the connection is not reset.
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		_, err := io.WriteString(c, text)
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	})
	return address, served
}

// clientFloods are requests of clients without an end, before the bytes that they repeat with a pause.
var clientFloods = map[string]struct {
	text, repeated string
	pause          time.Duration
}{
	"head":              {"GET /a/1 HTTP/1.1\r\nX-Long: ", "xxxxxxxx", 0},
	"headers":           {"GET /a/1 HTTP/1.1\r\n", "X-More: x\r\n", 0},
	"blank lines":       {"", "\r\n\r\n\r\n\r\n", 0},
	"path":              {"GET /a/", "xxxxxxxx", 0},
	"chunks":            {floodPost + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", 0},
	"chunk size":        {floodPost + "Transfer-Encoding: chunked\r\n\r\n", "00000000", 0},
	"chunk extension":   {floodPost + "Transfer-Encoding: chunked\r\n\r\n8;", "xxxxxxxx", 0},
	"trailer":           {floodPost + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-More: x\r\n", 0},
	"long body, slowly": {floodPost + "Content-Length: 60000000\r\n\r\n", "xxxxxxxx", 20 * time.Millisecond},
	"body, slowly":      {floodPost + "Content-Length: 60000\r\n\r\n", "x", 20 * time.Millisecond},
	"chunks, slowly":    {floodPost + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 20 * time.Millisecond},
}

const floodPost = "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Plantainwheel-Request-Id: flood\r\n"

// TestClientsWithoutEnd guards against requests without an end that take up a node's memory or the requests of other
// clients.
func TestClientsWithoutEnd(t *testing.T) {
	for name, c := range clientFloods {
		t.Run(name, func(t *testing.T) {
			f := startFlood(t)
			var clients sync.WaitGroup
			for range 100 {
				clients.Go(func() {
					conn, err := net.Dial("tcp", f.nodes[0].Settings.OutboundListen)
					if !assert.Check(t, err == nil, "%v", err) {
						return
					}
					defer conn.Close()
					_ = conn.SetDeadline(time.Now().Add(floodTimeout + floodSlack))
					_, err = io.WriteString(conn, c.text)
					block := c.repeated
					if c.pause == 0 {
						block = strings.Repeat(c.repeated, 1<<10)
					}
					for err == nil {
						time.Sleep(c.pause)
						_, err = io.WriteString(conn, block)
					}
				})
			}
			clients.Wait()
			f.finish()
		})
	}
}
