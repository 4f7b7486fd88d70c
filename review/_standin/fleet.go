package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the node as deploy/system.toml builds and starts it.
const program = "target/plantainwheel-attendant"

// fleet is the store and the nodes of one case, all on loopback addresses.
type fleet struct {
	dir       string
	store     *store
	storeAddr string
	nodes     []*node
}

// node is one machine: the node process and the addresses of the settings.
type node struct {
	fleet   *fleet
	name    string
	service string
	ip      string
	// addresses, each "IP:port".
	outbound, inbound, ready, control, app string
	rangeFirst, rangeLast                  int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// close kills the node processes and removes the temporary folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	_ = os.RemoveAll(f.dir)
}

// add adds a machine whose instance is of the service. The node is not started.
func (f *fleet) add(service string) (*node, error) {
	i := len(f.nodes)
	pid := os.Getpid()
	n := &node{fleet: f, name: fmt.Sprintf("vm-%d", i+1), service: service}
	n.ip = fmt.Sprintf("127.%d.%d.%d", 100+pid/100%100, 100+pid%100, 10+i)
	var ports []int
	for range 7 {
		l, err := net.Listen("tcp", n.ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	at := func(k int) string { return fmt.Sprintf("%s:%d", n.ip, ports[k]) }
	n.outbound, n.inbound, n.ready, n.control, n.app = at(0), at(1), at(2), at(3), at(4)
	n.rangeFirst, n.rangeLast = min(ports[5], ports[6]), max(ports[5], ports[6])
	f.nodes = append(f.nodes, n)
	return n, nil
}

// settings returns the settings file, as DEPLOY.md shows it.
func (n *node) settings() string {
	return fmt.Sprintf(`[self]
node_name = %q
role = "attendant"
machine_class = "sidecar"
serves = ["sidecar"]
ip_address = %q
zone = "zone-a"
region = "region"
counts_as_loss = false
bootstrap = true
app_addr = %q
service = %q
[self.limits]
cpu_share = 0.64
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
port_range = [%d,%d]
seeds = []
[network.listen_addrs]
inbound = %q
outbound = %q
ready = %q
control_plane = %q
[network.zones]
zone-a = "region"
[platform]
discovery = "local"
entry_mode = "local"
heartbeat_ms = 1500
[platform.platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
[terms.timing_bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
skew_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
quota_window_s = 5
quota_excess = 0.1
quota_slack = 20
recovery_s = 15
`, n.name, n.ip, n.app, n.service, n.rangeFirst, n.rangeLast, n.inbound, n.outbound, n.ready, n.control, n.fleet.storeAddr)
}

// start starts the node process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.fleet.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PLANTAINWHEEL_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.cmd, n.exited = cmd, exited
	return nil
}

// signal sends a signal to the node process and returns the channel that is closed when it exits.
func (n *node) signal(s syscall.Signal) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil
	}
	_ = n.cmd.Process.Signal(s)
	return n.exited
}

// running reports whether the node process runs.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// log returns what the node process has written.
func (n *node) log() string {
	raw, _ := os.ReadFile(filepath.Join(n.fleet.dir, n.name+".log"))
	return string(raw)
}

// awaitReady waits until the node's readiness probe answers 200.
func (n *node) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + n.ready + "/-/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// beat sends a heartbeat of the instance beside the node and returns the status, or 0.
func (n *node) beat(b beat) int {
	raw, _ := json.Marshal(map[string]any{
		"service": b.service, "address": n.app, "zone": "zone-a", "version": "v1", "concurrency": b.slots,
		"state": b.state, "warmup_ms": 0, "sequence": b.sequence, "born": b.born,
	})
	req, _ := http.NewRequest(http.MethodPut, "http://"+n.control+"/-/instances/"+b.id, bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

type beat struct {
	id, service, state string
	slots, sequence    int
	born               int64
}

// route is a route of the desired state.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS, attempts               int
}

// configure puts the desired state, as the operator does.
func (f *fleet) configure(version int, services []string, routes []route) {
	type m = map[string]any
	var list []m
	for _, r := range routes {
		list = append(list, m{"resource_kind": "routes", "metadata": m{"name": r.name}, "spec": m{
			"hostname": r.host, "path_prefix": r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMS, "slo_ms": 1500,
			"priority": 1, "service": r.service, "max_attempts": r.attempts, "anonymous": false,
		}})
	}
	for _, s := range services {
		list = append(list, m{"resource_kind": "services", "metadata": m{"name": s}, "spec": m{
			"health_path": "/healthz", "max_conns": 600, "protocol": "h1", "tls": false,
		}})
	}
	list = append(list, m{"resource_kind": "tenants", "metadata": m{"name": tenant}, "spec": m{
		"api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 0, "burst_size": 0,
	}})
	list = append(list, m{"resource_kind": "limits", "metadata": m{}, "spec": m{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	raw, _ := json.Marshal(m{"version": fmt.Sprintf("%08x", version), "resources": list})
	f.store.put("keyed.op", "config", raw)
}

const (
	tenant = "tenant1"
	apiKey = "key-of-tenant1"
)
