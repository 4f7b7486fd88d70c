package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in the settings of the pages.
const (
	drainTime   = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	beatPeriod  = 1500 * time.Millisecond
)

// world holds the store, the machines and the record of one play.
type world struct {
	folder string
	file   *os.File
	began  time.Time
	store  *store
	vms    []*vm

	mu   sync.Mutex
	seen []arrival
}

// arrival is a request that an instance ran.
type arrival struct {
	at       time.Time
	instance string
	service  string
	id       string
	method   string
	uri      string
	tenant   string
}

// note writes a line with the time since the start into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// arrive records a request that an instance runs.
func (w *world) arrive(a arrival) {
	w.note("run     id=%s %s %s at %s (%s)", a.id, a.method, a.uri, a.instance, a.service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, a)
}

func (w *world) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.seen...)
}

// close ends all processes and servers of the play.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
		v.instance.stop()
		_ = v.app.Close()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
}

// vm is a machine with its node and its instance.
type vm struct {
	w        *world
	name     string
	ip       string
	zone     string
	service  string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
	app      *http.Server
	instance *instance
}

// Ports of a machine. Each machine has an address of its own.
const (
	controlPort  = 8540
	inboundPort  = 8543
	readyPort    = 8546
	appPort      = 8547
	outboundPort = 8548
	firstPort    = 7000
	lastPort     = 7015
)

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// open starts the store and a machine for each of the services.
func (w *world) open(config map[string]any, services ...string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.store = newStore(l)
	prefix, err := freePrefix(len(services))
	if err != nil {
		return err
	}
	w.store.putConfig(config)
	for i, service := range services {
		v := &vm{w: w, name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("%s.%d", prefix, 10+i), zone: "zone-a", service: service}
		w.vms = append(w.vms, v)
		v.instance = newInstance(w, v, fmt.Sprintf("i-%d%s", i+1, service))
		if err := v.serveInstance(); err != nil {
			return err
		}
		if err := v.writeSettings(l.Addr().String()); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		go v.instance.beat()
	}
	for _, v := range w.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	// All nodes hear of all instances.
	time.Sleep(contactTime + time.Second)
	return nil
}

// serveInstance opens the instance's address.
func (v *vm) serveInstance() error {
	l, err := net.Listen("tcp", v.address(appPort))
	if err != nil {
		return err
	}
	app := &http.Server{Handler: v.instance, ReadHeaderTimeout: 5 * time.Second}
	v.app = app
	go func() { _ = app.Serve(l) }()
	return nil
}

// replaceInstance crashes the instance and starts it again under the same id. jump is how far the machine's time of day
// is off then.
func (v *vm) replaceInstance(down, jump time.Duration) error {
	old := v.instance
	old.stop()
	_ = v.app.Close()
	v.w.note("%s crashes", old.id)
	time.Sleep(down)
	v.instance = newInstance(v.w, v, old.id)
	v.instance.born, v.instance.work = time.Now().Add(jump).UnixMilli(), old.work
	if err := v.serveInstance(); err != nil {
		return err
	}
	v.w.note("%s starts again, born %d", old.id, v.instance.born)
	go v.instance.beat()
	return nil
}

// freePrefix returns the first three bytes of loopback addresses whose ports are free.
func freePrefix(n int) (string, error) {
	for try := range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		if prefixIsFree(prefix, n) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func prefixIsFree(prefix string, n int) bool {
	for i := range n {
		for _, port := range []int{controlPort, inboundPort, readyPort, appPort, outboundPort, firstPort, lastPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, 10+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (v *vm) writeSettings(store string) error {
	v.settings = filepath.Join(v.w.folder, v.name+".toml")
	text := fmt.Sprintf(`[self]
node_name = %q
role = "attendant"
machine_class = "sidecar"
serves = ["sidecar"]
ip_address = %q
zone = %q
region = "region-a"
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
zone-a = "region-a"
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
`, v.name, v.ip, v.zone, v.address(appPort), v.service, firstPort, lastPort,
		v.address(inboundPort), v.address(outboundPort), v.address(readyPort), v.address(controlPort), store)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts the node as the deploy file does.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.w.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINWHEEL_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// The node ends with this program, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.process, v.exited = cmd, exited
	v.w.note("node    %s started", v.name)
	return nil
}

// kill ends the node with SIGKILL and waits for its end.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Kill()
	<-v.exited
	v.process = nil
}

// awaitReady waits until the node says that it is ready.
func (v *vm) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + v.address(readyPort) + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			v.w.note("node    %s is ready", v.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, v.name)
}

// instance is the instance beside a node.
type instance struct {
	w    *world
	v    *vm
	id   string
	born int64
	// work is how long a request takes.
	work time.Duration
	// intercept, if set, may take a request over after it has arrived. It returns false if it has not.
	intercept func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	sequence int
	state    string
	silent   bool
}

func newInstance(w *world, v *vm, id string) *instance {
	return &instance{w: w, v: v, id: id, born: time.Now().UnixMilli(), work: 5 * time.Millisecond, state: "ready"}
}

// ServeHTTP runs a request as the pages tell.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Plantainwheel-Request-Id")
	w.Header().Set("X-Plantainwheel-Request-Id", id)
	if expect := r.Header.Get("X-Plantainwheel-Expect-Instance"); expect != "" && expect != i.id {
		w.Header().Set("X-Plantainwheel-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	i.w.arrive(arrival{
		at: time.Now(), instance: i.id, service: i.v.service, id: id, method: r.Method, uri: r.RequestURI,
		tenant: r.Header.Get("X-Plantainwheel-Tenant"),
	})
	if i.intercept != nil && i.intercept(w, r) {
		return
	}
	time.Sleep(i.work)
	w.Header().Set("X-Plantainwheel-Response-Seal", "seal-"+i.id)
	_, _ = io.WriteString(w, "from "+i.id)
}

// statement returns what the instance says of itself next.
func (i *instance) statement() map[string]any {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	return map[string]any{
		"service": i.v.service, "address": i.v.address(appPort), "zone": i.v.zone, "version": "v1", "concurrency": 99,
		"state": i.state, "warmup_ms": 0, "sequence": i.sequence, "born": i.born,
	}
}

// beat sends heartbeats until the instance is stopped.
func (i *instance) beat() {
	for {
		i.mu.Lock()
		silent := i.silent
		i.mu.Unlock()
		if silent {
			return
		}
		i.send(i.statement())
		time.Sleep(beatPeriod)
	}
}

// stop ends the heartbeats.
func (i *instance) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.silent = true
}

// drain makes the instance say that it leaves, and returns whether the node has acknowledged that.
func (i *instance) drain() bool {
	i.mu.Lock()
	i.state = "draining"
	i.mu.Unlock()
	return i.send(i.statement())
}

// send sends a heartbeat with the statement and reports whether it was acknowledged within a second.
func (i *instance) send(statement map[string]any) bool {
	raw, err := json.Marshal(statement)
	if err != nil {
		panic(err)
	}
	return i.call(http.MethodPut, raw)
}

// leave deregisters the instance.
func (i *instance) leave() bool { return i.call(http.MethodDelete, nil) }

func (i *instance) call(method string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+i.v.address(controlPort)+"/-/instances/"+i.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		i.w.note("beat    %s %s %s: %v", method, i.id, body, err)
		return false
	}
	defer resp.Body.Close()
	i.w.note("beat    %s %s %s: status %d", method, i.id, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}
