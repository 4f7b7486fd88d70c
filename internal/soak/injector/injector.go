// Package injector plans a series of overlapping faults from a seed and injects them into a fleet.
package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/launcher"
	"github.com/plantainwheel/plantainwheel/internal/soak/relayer"
	"github.com/plantainwheel/plantainwheel/internal/standin/storer"
)

// Kind is the kind of a fault. Its values appear in the JSON output of a run.
type Kind string

// Kinds of faults.
const (
	KillNode          Kind = "kill-node"
	StopNode          Kind = "stop-node"
	FreezeNode        Kind = "freeze-node"
	KillAll           Kind = "kill-all"
	DrainTarget       Kind = "drain-target"
	CrashTarget       Kind = "crash-target"
	DropResponses     Kind = "lose-answers"
	PeerLink          Kind = "peer-link"
	StoreLink         Kind = "store-link"
	TargetLink        Kind = "target-link"
	StoreUnavailable  Kind = "store-refuses"
	StoreUnresponsive Kind = "store-silent"
	RevokeKey         Kind = "withdraw-key"
	RestoreStore      Kind = "store-restored"
	LimitTarget       Kind = "target-limit"
	LeaveTarget       Kind = "target-leaves"
	CrashingRequest   Kind = "crashing-request"
	Evacuate          Kind = "evacuate-data-centre"
)

// BaseKinds are the kinds of faults that the recorded seeds draw from. A seed gives another plan with other kinds.
var BaseKinds = []Kind{
	KillNode, StopNode, FreezeNode, DrainTarget, CrashTarget, DropResponses, PeerLink, StoreLink, TargetLink,
	StoreUnavailable, StoreUnresponsive, RevokeKey, KillAll,
}

// AllKinds are the kinds of faults that further recorded seeds draw from, EveryKind those of the latest ones, and PresentKinds
// lists all kinds.
var (
	AllKinds  = append(slices.Clone(BaseKinds), RestoreStore, LimitTarget, LeaveTarget)
	EveryKind = append(slices.Clone(AllKinds), CrashingRequest)

	PresentKinds = append(slices.Clone(EveryKind), Evacuate)
)

// nodeKinds lists the faults that may keep one node from acting on what it has learned.
var nodeKinds = []Kind{KillNode, StopNode, FreezeNode, PeerLink, StoreLink, TargetLink}

var linkFaults = []relayer.Fault{relayer.Delay, relayer.Stall, relayer.OneWay, relayer.Reset}

// Step is one fault of a plan.
type Step struct {
	Kind Kind
	// Node is the index of the affected node. Kinds that affect the whole fleet ignore it.
	Node int
	// Link is the fault of the relay for the link kinds; other kinds ignore it.
	Link relayer.Fault
	// At is when the fault begins, relative to the start of Injector.Run.
	At time.Duration
	// For is the duration of the fault. Some kinds use only a part of it or ignore it.
	For time.Duration
}

const (
	// minGap and maxGap bound the time between the starts of two successive faults. The gaps are shorter than the
	// duration of most faults, so that faults overlap.
	minGap = 200 * time.Millisecond
	maxGap = 1500 * time.Millisecond
	// minDuration and maxDuration bound the duration of a fault. The maximum exceeds the bound on key revocation.
	minDuration = 100 * time.Millisecond
	maxDuration = 8 * time.Second
	// repeatProbability is the probability that a fault keeps the node of the previous fault. Otherwise its node is
	// drawn at random.
	repeatProbability = 0.3
	// maxRewriteDelay is the maximum time after a restore of the store until the operator has written the lost records
	// again.
	maxRewriteDelay = 1800 * time.Millisecond
	// minCopyAge is the minimum time between the copy and the loss of the store.
	minCopyAge = time.Second
	// minLimitTime is added to the duration of a target's limit, which is checked only some seconds after it was named.
	minLimitTime = 6 * time.Second
	// crashingInterval is the time between two crashing requests, and minCrashingTime is added to the time for which they
	// are sent, so that some are sent when all nodes know of them.
	crashingInterval = 100 * time.Millisecond
	minCrashingTime  = 5 * time.Second
	// maxLimit is the highest limit that a target names, in requests per second.
	maxLimit = 12
)

// Plan returns the faults that begin within the given period, drawn from the kinds with equal probability. The same
// arguments always give the same plan. If the kinds include RestoreStore, the plan ends with a restore, since a later
// change of the configuration would hide a lost one.
func Plan(seed uint64, nodes int, period time.Duration, kinds []Kind) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	node := 0
	for at := minGap; at < period; at += minGap + time.Duration(rng.Int64N(int64(maxGap-minGap))) {
		if rng.Float64() > repeatProbability {
			node = rng.IntN(nodes)
		}
		steps = append(steps, Step{
			Kind: kinds[rng.IntN(len(kinds))],
			Node: node,
			Link: linkFaults[rng.IntN(len(linkFaults))],
			At:   at,
			For:  randomDuration(rng),
		})
	}
	if slices.Contains(kinds, RestoreStore) {
		steps = append(steps, Step{Kind: RestoreStore, At: period, For: randomDuration(rng)})
	}
	return steps
}

func randomDuration(rng *rand.Rand) time.Duration {
	return minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)))
}

// Injector injects the faults of a plan into a fleet.
type Injector struct {
	Fleet *launcher.Fleet
	Nodes int
	// RevokeKey revokes the key of a client account and issues a new one.
	RevokeKey func()
	// SendCrashing sends a request that crashes its target to a node.
	SendCrashing func(node int, request string)
	// Report receives the violated guarantees that the injector itself detects.
	Report func(rule, text string)
	// Disturbed receives the index of a node whenever a fault of the node or of its links begins or ends.
	Disturbed func(node int)
	// Evacuated receives when a data centre is evacuated and when that ends, Unstable when the store was unstable.
	Evacuated func(dataCentre string, evacuated bool, at time.Time)
	Unstable  func(begin, end time.Time)

	evacuations evacuations
}

// Run injects each fault at its time and returns when all faults have ended. It injects no further faults after ctx
// is cancelled.
func (inj *Injector) Run(ctx context.Context, steps []Step) {
	startTime := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startTime.Add(s.At))):
			wg.Go(func() { inj.inject(s) })
		}
	}
}

func (inj *Injector) inject(s Step) {
	if slices.Contains(nodeKinds, s.Kind) {
		inj.Disturbed(s.Node)
		defer inj.Disturbed(s.Node)
	}
	n := inj.Fleet.Node(s.Node)
	switch s.Kind {
	case KillNode:
		n.Kill()
		time.Sleep(s.For / 4)
		inj.startNode(n)
	case StopNode:
		if !n.Stop() {
			inj.Report("LOST", fmt.Sprintf("node %d was still running at the end of the grace period", s.Node))
		}
		inj.startNode(n)
	case FreezeNode:
		// A key is revoked while the frozen node cannot read the change.
		n.Freeze()
		inj.RevokeKey()
		time.Sleep(s.For)
		n.Resume()
	case KillAll:
		inj.killAll()
		time.Sleep(s.For / 4)
		inj.startAll()
	case DrainTarget, CrashTarget, LeaveTarget:
		inj.replaceTarget(n, s)
	case DropResponses:
		n.DropResponses(true)
		time.Sleep(s.For)
		n.DropResponses(false)
	case PeerLink:
		breakLink(n.PeerRelay, s)
	case StoreLink:
		// A key is revoked in the store while the link fault may keep the node from reading the change.
		n.StoreRelay.SetFault(s.Link)
		inj.RevokeKey()
		time.Sleep(s.For)
		n.StoreRelay.SetFault(relayer.None)
	case TargetLink:
		breakLink(n.TargetRelay, s)
	case StoreUnavailable:
		inj.breakStore(storer.Faults{Unavailable: true}, s.For)
	case StoreUnresponsive:
		inj.breakStore(storer.Faults{Hang: true}, s.For)
	case RevokeKey:
		inj.RevokeKey()
	case RestoreStore:
		inj.restoreStore(s.For)
	case Evacuate:
		inj.evacuate(n.DataCentre(), s.For)
	case CrashingRequest:
		inj.sendCrashing(s)
	case LimitTarget:
		n.LimitTarget(float64(1 + s.For%maxLimit))
		time.Sleep(s.For + minLimitTime)
		n.LimitTarget(0)
	}
}

// sendCrashing sends the same crashing request to all nodes in turn.
func (inj *Injector) sendCrashing(s Step) {
	request := fmt.Sprint(launcher.CrashingPrefix, s.At.Milliseconds())
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, end := s.Node, time.Now().Add(minCrashingTime+s.For); time.Now().Before(end); i++ {
		wg.Go(func() { inj.SendCrashing(i%inj.Nodes, request) })
		time.Sleep(crashingInterval)
	}
}

// restoreStore takes the store away for up to a second and restores it from a copy that is up to five seconds older. A
// key is revoked right after the copy was made and one while the store is away. In one half of the cases the operator
// makes so many changes at once that they take up the lost offsets up to the position of the nodes. In the other half
// all nodes are started on the copy, and the operator writes the lost records again.
func (inj *Injector) restoreStore(duration time.Duration) {
	copiedAt := time.Now()
	defer func() {
		inj.rewriteEvacuations()
		inj.Unstable(copiedAt, time.Now())
	}()
	inj.RevokeKey()
	time.Sleep(minCopyAge + duration/2)
	changes := duration%2 == 0
	if !changes {
		inj.pauseEvacuations()
		inj.killAll()
	}
	inj.breakStore(storer.Faults{Hang: true}, duration/8)
	lost := inj.Fleet.Store.Restore(copiedAt)
	if changes {
		// The change made while the store was away may have reached the nodes that were waiting for one.
		for range max(len(lost)-int(duration/2)%2, 1) {
			inj.RevokeKey()
		}
		return
	}
	inj.startAll()
	time.Sleep(time.Duration(float64(maxRewriteDelay) * duration.Seconds() / maxDuration.Seconds()))
	inj.Fleet.Store.WriteAgain(lost)
}

// replaceTarget stops the target and then starts the next incarnation on the same address, which the old incarnation
// must have released.
func (inj *Injector) replaceTarget(n *launcher.Node, s Step) {
	n.ReplaceMu.Lock()
	defer n.ReplaceMu.Unlock()
	switch s.Kind {
	case DrainTarget:
		n.DrainTarget()
	case LeaveTarget:
		n.LeaveTarget()
	default:
		n.CrashTarget()
		time.Sleep(s.For / 2)
	}
	if err := n.StartTarget(); err != nil {
		inj.Report("START", err.Error())
	}
}

func breakLink(r *relayer.Relay, s Step) {
	r.SetFault(s.Link)
	time.Sleep(s.For)
	r.SetFault(relayer.None)
}

// breakStore injects faults into the store and revokes a key, a change that no node can read until the faults end.
func (inj *Injector) breakStore(f storer.Faults, duration time.Duration) {
	began := time.Now()
	inj.Fleet.Store.SetFaults(f)
	inj.RevokeKey()
	time.Sleep(duration)
	defer func() { inj.Unstable(began, time.Now()) }()
	inj.Fleet.Store.SetFaults(storer.Faults{})
}

func (inj *Injector) killAll() {
	for i := range inj.Nodes {
		inj.Fleet.Node(i).Kill()
	}
}

func (inj *Injector) startAll() {
	for i := range inj.Nodes {
		inj.Disturbed(i)
		inj.startNode(inj.Fleet.Node(i))
	}
}

func (inj *Injector) startNode(n *launcher.Node) {
	if err := n.Start(); err != nil {
		inj.Report("START", err.Error())
	}
}
