package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the command of the deploy file.
const program = "target/plantainwheel-attendant"

const (
	hostName  = "hulo84.example"
	apiKey    = "6wsjnbanfqasnmgkcuyj"
	tenant    = "pulo780"
	beatTime  = 1500 * time.Millisecond
	portCount = 21
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment on loopback addresses: a store and VMs with a node and an instance each.
type fleet struct {
	rec      *record
	dir      string
	prefix   string
	base     int
	store    *store
	nodes    []*node
	version  int
	trouble  bool
	problems int
}

// node is a VM: the node's process, and the instance beside it.
type node struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string
	process *exec.Cmd
	exited  chan struct{}
	output  *os.File
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, n.fleet.base+port) }
func (n *node) outbound() string        { return n.address(16) }
func (n *node) inbound() string         { return n.address(17) }
func (n *node) ready() string           { return n.address(18) }
func (n *node) control() string         { return n.address(19) }
func (n *node) app() string             { return n.address(20) }

// newFleet starts the store and prepares a VM for each service. It finds ports that are free on all addresses.
func newFleet(rec *record, trouble bool, services ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: &store{}, trouble: trouble}
	for try := 0; ; try++ {
		f.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		f.base = 20000 + rand.IntN(10000)
		if f.free(len(services) + 1) {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	l, err := net.Listen("tcp4", f.storeAddress())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, f.store) }()
	for i, s := range services {
		f.nodes = append(f.nodes, &node{fleet: f, name: fmt.Sprintf("vm-%d", i+1), ip: fmt.Sprint(f.prefix, i+2), zone: "bogota-a", service: s})
	}
	return f, nil
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s1:%d", f.prefix, f.base) }

func (f *fleet) free(addresses int) bool {
	for a := 1; a <= addresses; a++ {
		for p := range portCount {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", f.prefix, a, f.base+p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// route is a route of the desired state.
type route struct {
	Name, Prefix, Type, Service string
	TimeoutMS                   int
	Attempts                    int
}

// configure writes a desired state, as the operator does.
func (f *fleet) configure(routes ...route) {
	f.version++
	var list []any
	services := map[string]bool{}
	for _, r := range routes {
		list = append(list, resource("routes", r.Name, map[string]any{
			"hostname": hostName, "path_prefix": r.Prefix, "route_type": r.Type, "timeout_ms": r.TimeoutMS, "slo_ms": 1500,
			"priority": 0, "service": r.Service, "max_attempts": max(r.Attempts, 2), "anonymous": false,
		}))
		services[r.Service] = true
	}
	for s := range services {
		list = append(list, resource("services", s, map[string]any{"health_path": "/healthz", "max_conns": 694, "protocol": "h1", "tls": false}))
	}
	list = append(list, resource("tenants", tenant, map[string]any{"api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 0, "burst_size": 0}))
	list = append(list, map[string]any{"resource_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	raw, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", f.version), "resources": list})
	f.store.put("keyed.op", "config", raw)
	f.rec.log("operator: version %d of the desired state is stored", f.version)
}

func resource(kind, name string, spec any) any {
	return map[string]any{"resource_kind": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	f := n.fleet
	path := filepath.Join(f.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINWHEEL_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.output = cmd, exited, out
	f.rec.log("%s: process started", n.name)
	go func() {
		err := cmd.Wait()
		f.rec.log("%s: process ended: %v", n.name, err)
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (n *node) settings() string {
	return fmt.Sprintf(`[self]
node_name = %q
role = "attendant"
machine_class = "sidecar"
serves = ["sidecar"]
ip_address = %q
zone = %q
region = "bogota"
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
bogota-a = "bogota"
[platform]
discovery = "local"
entry_mode = "local"
heartbeat_ms = 1500
[platform.platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
[terms.fault_tolerance]
machines = 1
zones = 0
regions = 0
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
`, n.name, n.ip, n.zone, n.app(), n.service, n.fleet.base, n.fleet.base+15, n.inbound(), n.outbound(), n.ready(), n.control(), n.fleet.storeAddress())
}

func (n *node) signal(s os.Signal) {
	n.fleet.rec.log("%s: gets %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// running reports whether the process runs.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until the readiness probe of each node is answered with 200.
func (f *fleet) awaitReady(nodes ...*node) error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for {
			resp, err := client.Get("http://" + n.ready() + "/-/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %w", n.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.rec.log("%s: ready", n.name)
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.process != nil && n.running() {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

// lifetime is a lifetime of an instance that announces itself to its node.
type lifetime struct {
	node     *node
	id       string
	born     int64
	slots    int
	mu       sync.Mutex
	sequence int
	state    string
	stop     chan struct{}
}

func newLifetime(n *node, id string) *lifetime {
	return &lifetime{node: n, id: id, born: time.Now().UnixMilli(), slots: 99, state: "ready", stop: make(chan struct{})}
}

// beats announces the lifetime until it ends.
func (l *lifetime) beats() {
	for {
		l.beat()
		select {
		case <-l.stop:
			return
		case <-time.After(beatTime):
		}
	}
}

// beat announces the lifetime once. It returns the status of the answer, or 0.
func (l *lifetime) beat() int {
	l.mu.Lock()
	l.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": l.node.service, "address": l.node.app(), "zone": l.node.zone, "version": "v1", "concurrency": l.slots,
		"state": l.state, "warmup_ms": 0, "sequence": l.sequence, "born": l.born,
	})
	l.mu.Unlock()
	return l.call(http.MethodPut, body)
}

func (l *lifetime) call(method string, body []byte) int {
	req, _ := http.NewRequest(method, "http://"+l.node.control()+"/-/instances/"+l.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
