// Package crowder_test plays clients that don't behave against real node processes.
package crowder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const (
	// memoryMB and maxFDs are what the settings give to a node.
	memoryMB = 64
	maxFDs   = 1000
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
	// maxHeaderBytes is the operator's limit, and reducedHeaderBytes a lower one that comes later.
	maxHeaderBytes     = 4096
	reducedHeaderBytes = 1024
	// sampleInterval is the interval at which memory and descriptors are read.
	sampleInterval = 20 * time.Millisecond
)

const settings = `[self]
node_name = "vm-%[1]d"
ip_address = %[2]q
zone = "dc"
app_addr = %[3]q
service = "x"
[self.limits]
cores = 1
memory_mb = %[4]d
max_fds = %[5]d
[network]
port_range = [%[6]d, %[7]d]
[network.listen_addrs]
inbound = %[8]q
outbound = %[9]q
ready = %[10]q
control_plane = %[11]q
[platform.platform]
address = %[12]q
[terms.timing_bounds]
drain_ms = 2000
grace_s = %[13]g
revoke_ms = 5000
config_apply_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
quota_window_s = 5
`

const config = `{"version":"%08x","resources":[
 {"resource_kind":"routes","metadata":{"name":"r"},"spec":{"hostname":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":2000,"slo_ms":2000,"service":"x","max_attempts":2}},
 {"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":%d,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}},
 {"resource_kind":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":["key"],"rate_per_s":0}}]}`

// fleet is two nodes. The target is beside the first one, which the crowds go to. Requests to the second one pass both.
type fleet struct {
	t      *testing.T
	store  *storer.Store
	target *responder.Responder
	nodes  []*node

	targetAddress string
}

// build compiles the node program, without the race detector, which multiplies its memory, and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/plantainwheel-attendant").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// startFleet starts the nodes and waits until they serve, unless they have no configuration.
func startFleet(t *testing.T, program string, configured bool) *fleet {
	t.Helper()
	f := &fleet{t: t, store: &storer.Store{}, target: &responder.Responder{ServiceTime: 10 * time.Millisecond}}
	f.target.SetDiscard(true)
	server := httptest.NewServer(f.store)
	address, err := f.target.Open()
	assert.NilError(t, err)
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.kill()
		}
		f.target.Close()
		server.CloseClientConnections()
		server.Close()
	})
	if configured {
		f.configure(1, maxHeaderBytes)
	}
	directory := t.TempDir()
	for i := range 2 {
		n := newNode(t, i, program, directory, address, strings.TrimPrefix(server.URL, "http://"))
		f.nodes = append(f.nodes, n)
		n.start()
	}
	f.targetAddress = address
	f.announce(1)
	if configured {
		f.checkServed("before the crowd")
	}
	return f
}

// announce announces the target to its node.
func (f *fleet) announce(sequence int) {
	f.t.Helper()
	body := fmt.Sprintf(`{"service":"x","address":%q,"zone":"dc","version":"v1","concurrency":20,"state":"ready","warmup_ms":0,"sequence":%d,"born":1}`, f.targetAddress, sequence)
	f.eventually("target announced", func(ctx context.Context) bool {
		return f.call(ctx, http.MethodPut, f.nodes[0].addresses["control-plane"], platform.AnnouncePath+"i-0", body) == 200
	})
}

// configure writes a version of the configuration.
func (f *fleet) configure(version, headerBytes int) {
	f.store.Put(platform.ConfigTopic, platform.ConfigKey, fmt.Appendf(nil, config, version, headerBytes))
}

// checkServed checks that an ordinary request to each node is answered.
func (f *fleet) checkServed(when string) {
	f.t.Helper()
	for i, n := range f.nodes {
		f.eventually(fmt.Sprintf("request to node %d %s", i, when), func(ctx context.Context) bool {
			return f.call(ctx, http.MethodGet, n.addresses["outbound"], "/a/1", "") == 200
		})
	}
}

func (f *fleet) eventually(what string, done func(ctx context.Context) bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	for !done(ctx) {
		if ctx.Err() != nil {
			f.t.Errorf("not answered: %s", what)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a request on a new connection and returns the status of its answer, or 0 if there is none.
func (f *fleet) call(ctx context.Context, method, address, path, body string) int {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Host, req.Close = "h.example", true
	req.Header.Set(platform.RequestIDHeader, "ordinary")
	req.Header.Set(platform.AuthorizationHeader, platform.BearerPrefix+"key")
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// node is a node process.
type node struct {
	t         *testing.T
	program   string
	path      string
	ip        string
	addresses map[string]string

	process  *exec.Cmd
	ended    chan struct{}
	stop     chan struct{}
	sampling sync.WaitGroup
	// memory is the peak of the resident memory together with the bytes that the sockets have received and the process has
	// not read yet.
	memory, descriptors atomic.Int64
}

func newNode(t *testing.T, i int, program, directory, target, store string) *node {
	t.Helper()
	n := &node{t: t, program: program, ip: fmt.Sprintf("127.0.77.%d", i+1), addresses: map[string]string{}}
	n.path = filepath.Join(directory, fmt.Sprint(i, ".toml"))
	names := []string{"inbound", "outbound", "ready", "control-plane", "control", "metrics"}
	ports := freePorts(t, n.ip, len(names))
	for k, name := range names {
		n.addresses[name] = fmt.Sprint(n.ip, ":", ports[k])
	}
	control, metrics := ports[4], ports[5]
	if control > metrics {
		control, metrics = metrics, control
		n.addresses["control"], n.addresses["metrics"] = n.addresses["metrics"], n.addresses["control"]
	}
	text := fmt.Sprintf(settings, i, n.ip, target, memoryMB, maxFDs, control, metrics, n.addresses["inbound"], n.addresses["outbound"],
		n.addresses["ready"], n.addresses["control-plane"], store, graceTime.Seconds())
	assert.NilError(t, os.WriteFile(n.path, []byte(text), 0o600))
	return n
}

func freePorts(t *testing.T, ip string, count int) []int {
	t.Helper()
	var ports []int
	for range count {
		l, err := net.Listen("tcp4", ip+":0")
		assert.NilError(t, err)
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

func (n *node) start() {
	n.t.Helper()
	n.process = exec.Command(n.program)
	n.process.Env = []string{platform.SettingsVariable + "=" + n.path}
	assert.NilError(n.t, n.process.Start())
	n.ended, n.stop = make(chan struct{}), make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(n.process, n.ended)
	n.sampling.Go(func() { n.sample(n.process.Process.Pid, n.stop) })
}

func (n *node) terminate() { _ = n.process.Process.Signal(syscall.SIGTERM) }

// waitEnd waits until the process has ended by itself, and kills it if it hangs.
func (n *node) waitEnd() {
	select {
	case <-n.ended:
	case <-time.After(patience):
		n.t.Error("the process does not end")
	}
	n.kill()
}

func (n *node) kill() {
	_ = n.process.Process.Kill()
	<-n.ended
	close(n.stop)
	n.sampling.Wait()
	n.stop = make(chan struct{})
}

func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// peaks returns the peak of the memory in bytes, and that of the descriptors.
func (n *node) peaks() (memory, descriptors int64) { return n.memory.Load(), n.descriptors.Load() }

// sample records the peaks until stop is closed.
func (n *node) sample(pid int, stop chan struct{}) {
	directory := fmt.Sprint("/proc/", pid)
	for {
		raise(&n.memory, max(statusBytes(directory, "VmHWM:"), statusBytes(directory, "VmRSS:")+unreadBytes(n.ip)))
		if files, err := os.ReadDir(directory + "/fd"); err == nil {
			raise(&n.descriptors, int64(len(files)))
		}
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func raise(peak *atomic.Int64, value int64) {
	if value > peak.Load() {
		peak.Store(value)
	}
}

// statusBytes returns a field of the status of a process, or 0 if there is none.
func statusBytes(directory, field string) int64 {
	text, err := os.ReadFile(directory + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == field {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns the number of bytes in the receive queues of all connections of the address.
func unreadBytes(ip string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	b := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])
	const established = "01"
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] != established {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}
