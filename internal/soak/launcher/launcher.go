// Package launcher starts real node processes on loopback, with a store, targets and relays in its own process, and
// injects faults into them.
package launcher

import (
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

	"github.com/plantainwheel/plantainwheel/internal/soak/checker"
	"github.com/plantainwheel/plantainwheel/internal/soak/relayer"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	service         = "booths"
	dataCentreCount = 2
	// firstHostOctet is the last octet of the first node's address.
	firstHostOctet = 10
	// Guaranteed times and rates, with the values that the users' sites configure.
	drainTime         = 2 * time.Second
	gracePeriod       = 6 * time.Second
	revocationTime    = 5 * time.Second
	configApplyTime   = 2 * time.Second
	contactTime       = 3 * time.Second
	evacuateTime      = 5 * time.Second
	evacuateSkew      = time.Second
	rateWindow        = 5 * time.Second
	retryBudgetRatio  = 0.2
	retryBudgetExtra  = 50
	retryBudgetWindow = 10 * time.Second
)

// Nodes listen on addresses with nodePrefix and the relays in front of them on those with relayPrefix. Both have the same
// length, so that one can replace the other in a length-prefixed record of the store. The prefixes differ between
// processes, because the ports of a stopped node are free, and another soak that took one would keep the node from
// starting again ("address already in use").
var nodePrefix, relayPrefix = prefixes(os.Getpid())

// prefixes returns the prefixes for a process ID. All octets of them have three digits.
func prefixes(pid int) (node, relay string) {
	const first, octets = 100, 50
	second, third := pid/octets%octets, first+pid%octets
	return fmt.Sprintf("127.%d.%d.", first+second, third), fmt.Sprintf("127.%d.%d.", first+octets+second, third)
}

// Bounds returns the bounds that the fleet must keep.
func Bounds() checker.Bounds {
	return checker.Bounds{
		KeyRevocation: revocationTime, Drain: drainTime, Window: rateWindow, Excess: 0.1, Slack: 20,
		Evacuate: evacuateTime, EvacuateSkew: evacuateSkew, Contact: contactTime, ClockError: 100 * time.Millisecond,
		ColdPerSecond: ColdPerSecond*ColdExcess + ColdSlack,
	}
}

// Fleet is a set of nodes with their targets and a shared store. Its exported fields, except Store, are set before
// Open.
type Fleet struct {
	// Program is the path of the node program. Directory receives the settings and output of the nodes.
	Program   string
	Directory string
	Nodes     int
	Checker   *checker.Checker

	Store *storer.Store
	nodes []*Node
}

// Node is one node with its target and its relays.
type Node struct {
	fleet           *Fleet
	name            string
	index           int
	ip              string
	dataCentre      string
	ports           []int
	targetAddress   string
	announceAddress string
	// StoreRelay is between the node and the store, PeerRelay between the other nodes and this node, and TargetRelay
	// between the node and its target.
	StoreRelay  *relayer.Relay
	PeerRelay   *relayer.Relay
	TargetRelay *relayer.Relay
	targetLink  linkState
	storeServer *http.Server
	// ReplaceMu serialises replacements of the target. It is locked before mu.
	ReplaceMu sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// frozen reports whether the process is frozen, frozenDuringStop whether it has been frozen at any time since the
	// last call of Stop.
	frozen           atomic.Bool
	frozenDuringStop atomic.Bool
	target           *target
	incarnations     int
	// targetClosed is closed when the latest target that was detached no longer listens.
	targetClosed chan struct{}
}

// Indexes of a node's ports, in the order in which they are allocated.
const (
	outboundPort = iota
	inboundPort
	readyPort
	announcePort
	targetPort
	firstRangePort
	lastRangePort
	portCount
)

// Open starts the store, the relays, the targets and the nodes.
func (f *Fleet) Open() error {
	f.Store = &storer.Store{}
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

// Close stops all nodes, targets, relays and store servers.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		n.close()
	}
}

// Node returns the node with the given index.
func (f *Fleet) Node(i int) *Node { return f.nodes[i] }

func (f *Fleet) newNode(i int) (*Node, error) {
	ip := fmt.Sprint(nodePrefix, firstHostOctet+i)
	ports, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	n := &Node{
		fleet: f, name: fmt.Sprint("vm-", i), index: i, ip: ip, dataCentre: fmt.Sprint("dc-", i%dataCentreCount), ports: ports,
	}
	n.targetAddress = n.address(targetPort)
	n.announceAddress = n.address(announcePort)
	n.StoreRelay = &relayer.Relay{Listen: "127.0.0.1:0"}
	n.PeerRelay = &relayer.Relay{Listen: relayAddress(n.address(inboundPort)), Target: n.address(inboundPort)}
	n.TargetRelay = &relayer.Relay{Listen: relayAddress(n.address(targetPort)), Target: n.address(targetPort)}
	return n, nil
}

// relayAddress returns the address of the relay in front of a node's address.
func relayAddress(address string) string { return strings.Replace(address, nodePrefix, relayPrefix, 1) }

func (n *Node) address(port int) string { return fmt.Sprint(n.ip, ":", n.ports[port]) }

// DataCentre returns the name of the data centre of the node.
func (n *Node) DataCentre() string { return n.dataCentre }

// Outbound returns the address to which clients on the VM send their requests.
func (n *Node) Outbound() string { return n.address(outboundPort) }

// freePorts returns free ports of an address. It keeps all listeners open until the last port is chosen, so that the
// ports differ.
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
	// The settings require an ascending port range. The node uses only the first and the last port of the range.
	slices.Sort(ports[firstRangePort:])
	return ports, nil
}

func (n *Node) open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("store of %s: %w", n.name, err)
	}
	n.storeServer = &http.Server{Handler: &storeView{store: n.fleet.Store, nodes: n.fleet.nodes, self: n}}
	go func() { _ = n.storeServer.Serve(l) }()
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
	n.CrashTarget()
	for _, r := range []*relayer.Relay{n.StoreRelay, n.PeerRelay, n.TargetRelay} {
		r.Close()
	}
	if n.storeServer != nil {
		_ = n.storeServer.Close()
	}
}

// settings returns the settings file of the node in the platform's format.
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
config_apply_ms = %d
evacuate_ms = %d
budget_ratio = %g
budget_window_s = %g
budget_extra = %d
quota_window_s = %g
cold_excess = %g
cold_slack = %d
`, n.name, n.ip, n.dataCentre, relayAddress(n.address(targetPort)), service,
		n.ports[firstRangePort], n.ports[lastRangePort],
		n.address(inboundPort), n.address(outboundPort), n.address(readyPort), n.address(announcePort),
		n.StoreRelay.Listen, drainTime.Milliseconds(), gracePeriod.Seconds(), revocationTime.Milliseconds(), configApplyTime.Milliseconds(),
		evacuateTime.Milliseconds(),
		retryBudgetRatio, retryBudgetWindow.Seconds(), retryBudgetExtra, rateWindow.Seconds(),
		ColdExcess, ColdSlack)
}

// Start starts the node process unless it is already running.
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

// signal sends a signal to the node process. It returns a channel that is closed when the process exits, or nil if
// no process is running.
func (n *Node) signal(s os.Signal) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	_ = n.process.Process.Signal(s)
	return n.exited
}

// clearProcess clears the process whose exit closed the channel, so that Start can start a new one.
func (n *Node) clearProcess(exited chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.exited == exited {
		n.process = nil
		n.frozen.Store(false)
	}
}

// Kill kills the process with SIGKILL and waits for its exit.
func (n *Node) Kill() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
		n.clearProcess(exited)
	}
}

// Freeze suspends the process with SIGSTOP until Resume is called.
func (n *Node) Freeze() {
	n.signal(syscall.SIGSTOP)
	n.frozen.Store(true)
	n.frozenDuringStop.Store(true)
}

// Resume continues a frozen process.
func (n *Node) Resume() {
	n.signal(syscall.SIGCONT)
	n.frozen.Store(false)
}

// Stop sends SIGTERM and kills the process if it has not exited within the grace period. It returns false if the
// process overran the grace period without having been frozen during it.
func (n *Node) Stop() bool {
	n.frozenDuringStop.Store(n.frozen.Load())
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		n.clearProcess(exited)
		return true
	case <-time.After(gracePeriod):
		n.Kill()
		return n.frozenDuringStop.Load()
	}
}

// StartTarget starts a new incarnation of the target unless one is running.
func (n *Node) StartTarget() error {
	// A target that drains still listens at the address.
	if closed := n.lastTargetClosed(); closed != nil {
		<-closed
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		return nil
	}
	n.incarnations++
	t := &target{
		id: fmt.Sprintf("%s-%d", n.name, n.incarnations), checker: n.fleet.Checker, node: n,
		startedAtMS: time.Now().UnixMilli(), state: "ready",
	}
	if err := t.open(n.targetAddress); err != nil {
		return err
	}
	n.target = t
	return nil
}

func (n *Node) lastTargetClosed() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targetClosed
}

// detachTarget removes the target from the node and returns it, so that only one caller stops it. The caller must call
// closed when the target no longer listens. The target is nil if there is none.
func (n *Node) detachTarget() (t *target, closed func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target == nil {
		return nil, nil
	}
	t = n.target
	n.target = nil
	done := make(chan struct{})
	n.targetClosed = done
	return t, func() { close(done) }
}

// restartCrashed ends an incarnation that a request has crashed, and starts the next one.
func (n *Node) restartCrashed(t *target) {
	n.ReplaceMu.Lock()
	defer n.ReplaceMu.Unlock()
	n.mu.Lock()
	current := n.target == t
	n.mu.Unlock()
	if !current {
		return
	}
	n.CrashTarget()
	time.Sleep(crashTime)
	_ = n.StartTarget()
}

// CrashTarget crashes the target, which stops without an announcement.
func (n *Node) CrashTarget() {
	if t, closed := n.detachTarget(); t != nil {
		defer closed()
		t.crash()
	}
}

// DrainTarget drains the target and stops it.
func (n *Node) DrainTarget() {
	if t, closed := n.detachTarget(); t != nil {
		defer closed()
		t.drain(drainTime)
	}
}

// LeaveTarget makes the target leave without an announcement.
func (n *Node) LeaveTarget() {
	if t, closed := n.detachTarget(); t != nil {
		defer closed()
		t.leave(drainTime)
	}
}

// LimitTarget sets the limit that the running target names in its responses; 0 lifts it.
func (n *Node) LimitTarget(limit float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.target.setLimit(limit)
	}
}

// DropResponses sets whether the running target drops half of its responses.
func (n *Node) DropResponses(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		n.target.dropResponses.Store(on)
	}
}
