// Package injector plans a series of overlapping faults from a seed and injects them into a fleet.
package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
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
)

// kinds lists all kinds of faults. Plan draws each with the same probability.
var kinds = []Kind{
	KillNode, StopNode, FreezeNode, DrainTarget, CrashTarget, DropResponses, PeerLink, StoreLink, TargetLink,
	StoreUnavailable, StoreUnresponsive, RevokeKey, KillAll,
}

var linkFaults = []relayer.Fault{relayer.Delay, relayer.Stall, relayer.OneWay, relayer.Reset}

// Step is one fault of a plan.
type Step struct {
	Kind Kind
	// Node is the index of the affected node.
	Node int
	// Link is the fault of the relay for the link kinds; other kinds ignore it.
	Link relayer.Fault
	// At is when the fault begins, relative to the start of Disrupter.Run.
	At time.Duration
	// For is the duration of the fault. Some kinds use only a part of it.
	For time.Duration
}

const (
	// minGap and maxGap bound the time between the starts of two faults. The gaps are shorter than the duration of
	// most faults, so that faults overlap.
	minGap = 200 * time.Millisecond
	maxGap = 1500 * time.Millisecond
	// minDuration and maxDuration bound the duration of a fault. The maximum exceeds the bound on key revocation.
	minDuration = 100 * time.Millisecond
	maxDuration = 8 * time.Second
	// repeatProbability is the probability that a fault affects the same node as the previous one.
	repeatProbability = 0.3
)

// Plan returns the faults that begin within the given period. The same arguments always give the same plan.
func Plan(seed uint64, nodes int, period time.Duration) []Step {
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
			For:  minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
		})
	}
	return steps
}

// Injector injects the faults of a plan into a fleet.
type Injector struct {
	Fleet *launcher.Fleet
	Nodes int
	// RevokeKey revokes the key of a client account and issues a new one.
	RevokeKey func()
	// Report receives the violated guarantees that the disrupter itself detects.
	Report func(rule, text string)
}

// Run injects each fault at its time and returns when all faults have ended. It injects no further faults after ctx
// is cancelled.
func (d *Injector) Run(ctx context.Context, steps []Step) {
	startTime := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startTime.Add(s.At))):
			wg.Go(func() { d.inject(s) })
		}
	}
}

func (d *Injector) inject(s Step) {
	n := d.Fleet.Node(s.Node)
	switch s.Kind {
	case KillNode:
		n.Kill()
		time.Sleep(s.For / 4)
		d.startNode(n)
	case StopNode:
		if !n.Stop() {
			d.Report("LOST", fmt.Sprintf("node %d was still running at the end of the grace period", s.Node))
		}
		d.startNode(n)
	case FreezeNode:
		n.Freeze()
		d.RevokeKey()
		time.Sleep(s.For)
		n.Resume()
	case KillAll:
		d.killAll(s.For / 4)
	case DrainTarget, CrashTarget:
		d.replaceTarget(n, s)
	case DropResponses:
		n.DropResponses(true)
		time.Sleep(s.For)
		n.DropResponses(false)
	case PeerLink:
		breakLink(n.PeerRelay, s)
	case StoreLink:
		// The operator revokes a key in the store while this node cannot read the change.
		n.StoreRelay.SetFault(s.Link)
		d.RevokeKey()
		time.Sleep(s.For)
		n.StoreRelay.SetFault(relayer.None)
	case TargetLink:
		breakLink(n.TargetRelay, s)
	case StoreUnavailable:
		d.breakStore(storer.Faults{Unavailable: true}, s.For)
	case StoreUnresponsive:
		d.breakStore(storer.Faults{Hang: true}, s.For)
	case RevokeKey:
		d.RevokeKey()
	}
}

// replaceTarget stops the target and starts the next incarnation on the same address. The old incarnation must have
// released the address first.
func (d *Injector) replaceTarget(n *launcher.Node, s Step) {
	n.ReplaceMu.Lock()
	defer n.ReplaceMu.Unlock()
	if s.Kind == DrainTarget {
		n.DrainTarget()
	} else {
		n.StopTarget()
		time.Sleep(s.For / 2)
	}
	if err := n.StartTarget(); err != nil {
		d.Report("START", err.Error())
	}
}

func breakLink(r *relayer.Relay, s Step) {
	r.SetFault(s.Link)
	time.Sleep(s.For)
	r.SetFault(relayer.None)
}

func (d *Injector) breakStore(f storer.Faults, duration time.Duration) {
	d.Fleet.Store.SetFaults(f)
	d.RevokeKey()
	time.Sleep(duration)
	d.Fleet.Store.SetFaults(storer.Faults{})
}

func (d *Injector) killAll(downtime time.Duration) {
	for i := range d.Nodes {
		d.Fleet.Node(i).Kill()
	}
	time.Sleep(downtime)
	for i := range d.Nodes {
		d.startNode(d.Fleet.Node(i))
	}
}

func (d *Injector) startNode(n *launcher.Node) {
	if err := n.Start(); err != nil {
		d.Report("START", err.Error())
	}
}
