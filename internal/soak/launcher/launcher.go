// Package launcher runs the real node programs as processes of their own on loopback, with a store, targets and
// relays in this process, and harms them from outside.
package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/judge"
	"github.com/plantainwheel/plantainwheel/internal/soak/relayer"
	"github.com/plantainwheel/plantainwheel/internal/standin/storekeeper"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	service     = "booths"
	dataCentres = 2
	// Addresses of a node are on 127.0.61.N, the relays in front of it on 127.0.62.N: names of the same length, so
	// that one can take the place of the other in a record.
	nodeNet  = "127.0.61."
	relayNet = "127.0.62."
	// firstHost is the last part of the first node's address.
	firstHost = 10
	// Bounds as in the users' sites.
	drain       = 2 * time.Second
	grace       = 6 * time.Second
	revoke      = 5 * time.Second
	rateWindow  = 5 * time.Second
	retryShare  = 0.2
	retryExtra  = 50
	retryWindow = 10 * time.Second
)

// Bounds returns what the judge holds the fleet to.
func Bounds() judge.Bounds {
	return judge.Bounds{Revoke: revoke, Drain: drain, Window: rateWindow, Excess: 0.1, Slack: 20, Slip: 100 * time.Millisecond}
}

// Fleet is the whole system. Its fields are set before Open.
type Fleet struct {
	// Program is the path of the node's program, Directory a place for settings and output.
	Program   string
	Directory string
	Nodes     int
	Judge     *judge.Judge

	Store *storekeeper.Store
	nodes []*Node
}

// Node is one node with its target and the relays in front of both.
type Node struct {
	fleet           *Fleet
	name            string
	ip              string
	dataCentre      string
	ports           []int
	targetAddress   string
	announceAddress string
	// StoreRelay, PeerRelay and TargetRelay stand between the node and the store, the other nodes and the target.
	StoreRelay  *relayer.Relay
	PeerRelay   *relayer.Relay
	TargetRelay *relayer.Relay
	store       *http.Server
	// Replacing is held while the target is replaced; it is taken before mu.
	Replacing sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// frozen says that the process is frozen, held that it was since it was asked to end.
	frozen       atomic.Bool
	held         atomic.Bool
	target       *target
	incarnations int
}

// Ports of a node in the order in which they are chosen.
const (
	outboundPort = iota
	inboundPort
	readyPort
	announcePort
	targetPort
	firstOwnPort
	lastOwnPort
	portCount
)

// Open starts everything.
func (f *Fleet) Open() error {
	f.Store = &storekeeper.Store{}
	for i := range f.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.open(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes that were started.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		n.close()
	}
}

// Node returns a node by its number.
func (f *Fleet) Node(i int) *Node { return f.nodes[i] }

func (f *Fleet) newNode(i int) (*Node, error) {
	ip := fmt.Sprint(nodeNet, firstHost+i)
	ports, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	n := &Node{
		fleet: f, name: fmt.Sprint("vm-", i), ip: ip, dataCentre: fmt.Sprint("dc-", i%dataCentres), ports: ports,
	}
	n.targetAddress = n.at(targetPort)
	n.announceAddress = n.at(announcePort)
	n.StoreRelay = &relayer.Relay{Listen: "127.0.0.1:0"}
	n.PeerRelay = &relayer.Relay{Listen: relayed(n.at(inboundPort)), Target: n.at(inboundPort)}
	n.TargetRelay = &relayer.Relay{Listen: relayed(n.at(targetPort)), Target: n.at(targetPort)}
	return n, nil
}

func relayed(address string) string { return strings.Replace(address, nodeNet, relayNet, 1) }

func (n *Node) at(port int) string { return fmt.Sprint(n.ip, ":", n.ports[port]) }

// Outbound is where the clients of the VM send their requests.
func (n *Node) Outbound() string { return n.at(outboundPort) }

func freePorts(ip string) ([]int, error) {
	var ports []int
	for range portCount {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("port of %s: %w", ip, err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	// The node's own ports are a range, of which it uses the first and the last.
	slices.Sort(ports[firstOwnPort:])
	return ports, nil
}

func (n *Node) open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("store of %s: %w", n.name, err)
	}
	n.store = &http.Server{Handler: &view{store: n.fleet.Store, nodes: n.fleet.nodes, own: n}}
	go func() { _ = n.store.Serve(l) }()
	n.StoreRelay.Target = l.Addr().String()
	for _, r := range []*relayer.Relay{n.StoreRelay, n.PeerRelay, n.TargetRelay} {
		if err := r.Open(); err != nil {
			return err
		}
	}
	if err := n.StartTarget(); err != nil {
		return err
	}
	return n.Start()
}

func (n *Node) close() {
	n.Kill()
	n.StopTarget()
	for _, r := range []*relayer.Relay{n.StoreRelay, n.PeerRelay, n.TargetRelay} {
		r.Close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
}

// settings is the file that the platform would write, in the platform's own words.
func (n *Node) settings() string {
	return fmt.Sprintf(`[self]
node_name = %q
ip_address = %q
zone = %q
app_addr = %q
service = %q
[self.limits]
cores = 1
memory_mb = 284
[network]
port_range = [%d, %d]
[network.listen_addrs]
inbound = %q
outbound = %q
ready = %q
control_plane = %q
[platform.platform]
address = %q
[terms.timing_bounds]
drain_ms = %d
grace_s = %g
revoke_ms = %d
budget_ratio = %g
budget_window_s = %g
budget_extra = %d
quota_window_s = %g
`, n.name, n.ip, n.dataCentre, relayed(n.at(targetPort)), service, n.ports[firstOwnPort], n.ports[lastOwnPort],
		n.at(inboundPort), n.at(outboundPort), n.at(readyPort), n.at(announcePort), n.StoreRelay.Listen,
		drain.Milliseconds(), grace.Seconds(), revoke.Milliseconds(), retryShare, retryWindow.Seconds(), retryExtra,
		rateWindow.Seconds())
}

// Start runs the node's process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	path := filepath.Join(n.fleet.Directory, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", n.name, err)
	}
	output, err := os.OpenFile(filepath.Join(n.fleet.Directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("output of %s: %w", n.name, err)
	}
	defer output.Close()
	cmd := exec.Command(n.fleet.Program)
	cmd.Env = []string{platform.SettingsVariable + "=" + path}
	cmd.Stdout = output
	cmd.Stderr = output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.process = cmd
	n.exited = exited
	return nil
}

// signal sends a signal to the node's process and returns the channel that is closed at its end, or nil where
// none runs.
func (n *Node) signal(s os.Signal) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	_ = n.process.Process.Signal(s)
	return n.exited
}

// ended forgets the process that has closed the channel, so that the next can start.
func (n *Node) ended(exited chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.exited == exited {
		n.process = nil
		n.frozen.Store(false)
	}
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
		n.ended(exited)
	}
}

// Freeze stops the process until Wake.
func (n *Node) Freeze() {
	n.signal(syscall.SIGSTOP)
	n.frozen.Store(true)
	n.held.Store(true)
}

// Wake lets a frozen process go on.
func (n *Node) Wake() {
	n.signal(syscall.SIGCONT)
	n.frozen.Store(false)
}

// Stop asks the process to end, and reports false where it has not by the end of the grace time although it was
// not frozen meanwhile.
func (n *Node) Stop() bool {
	n.held.Store(n.frozen.Load())
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		n.ended(exited)
		return true
	case <-time.After(grace):
		n.Kill()
		return n.held.Load()
	}
}

// StartTarget starts a new incarnation of the target, if none runs.
func (n *Node) StartTarget() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		return nil
	}
	n.incarnations++
	t := &target{
		id: fmt.Sprintf("%s-%d", n.name, n.incarnations), judge: n.fleet.Judge, node: n,
		born: time.Now().UnixMilli(), state: "ready",
	}
	if err := t.open(n.targetAddress); err != nil {
		return err
	}
	n.target = t
	return nil
}

// take takes the target away, so that it is ended once.
func (n *Node) take() *target {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.target
	n.target = nil
	return t
}

// StopTarget ends the target without a word.
func (n *Node) StopTarget() {
	if t := n.take(); t != nil {
		t.crash()
	}
}

// DrainTarget has the target leave as planned.
func (n *Node) DrainTarget() {
	if t := n.take(); t != nil {
		t.leave(drain)
	}
}

// LoseAnswers has the target lose half of its answers, or no more.
func (n *Node) LoseAnswers(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.target.losing.Store(on)
	}
}

// view shows the store to one node, with the other nodes' relays in place of their addresses.
type view struct {
	store http.Handler
	nodes []*Node
	own   *Node
}

// ServeHTTP passes the call on and changes the addresses in the answer.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.store.ServeHTTP(&viewWriter{ResponseWriter: w, view: v, newest: strings.HasSuffix(r.URL.Path, "log-newest")}, r)
}

type viewWriter struct {
	http.ResponseWriter
	view   *view
	newest bool
}

// Write changes the addresses in what the store writes in one piece. Values of the newest records are in base64.
func (w *viewWriter) Write(raw []byte) (int, error) {
	change := w.view.swap
	if w.newest {
		change = w.view.newest
	}
	out := change(raw)
	if _, err := w.ResponseWriter.Write(out); err != nil {
		return 0, err
	}
	return len(raw), nil
}

func (v *view) swap(raw []byte) []byte {
	for _, n := range v.nodes {
		if n != v.own {
			raw = bytes.ReplaceAll(raw, []byte(n.at(inboundPort)), []byte(n.PeerRelay.Listen))
		}
	}
	return raw
}

func (v *view) newest(raw []byte) []byte {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset int64  `json:"offset"`
		} `json:"items"`
		More bool  `json:"more"`
		End  int64 `json:"end"`
	}
	if json.Unmarshal(raw, &page) != nil {
		return raw
	}
	for i := range page.Items {
		page.Items[i].Value = v.swap(page.Items[i].Value)
	}
	out, err := json.Marshal(page)
	if err != nil {
		return raw
	}
	return out
}
