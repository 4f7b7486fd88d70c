// Package disrupter plans series of overlapping faults from a seed and carries them out on a fleet.
package disrupter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/launcher"
	"github.com/plantainwheel/plantainwheel/internal/soak/relayer"
	"github.com/plantainwheel/plantainwheel/internal/standin/storekeeper"
)

// Kind is a kind of fault.
type Kind string

// The kinds.
const (
	KillNode     Kind = "kill-node"
	StopNode     Kind = "stop-node"
	FreezeNode   Kind = "freeze-node"
	KillAll      Kind = "kill-all"
	DrainTarget  Kind = "drain-target"
	CrashTarget  Kind = "crash-target"
	LoseAnswers  Kind = "lose-answers"
	PeerLink     Kind = "peer-link"
	StoreLink    Kind = "store-link"
	TargetLink   Kind = "target-link"
	StoreRefuses Kind = "store-refuses"
	StoreSilent  Kind = "store-silent"
	WithdrawKey  Kind = "withdraw-key"
)

// kinds are drawn alike.
var kinds = []Kind{
	KillNode, StopNode, FreezeNode, DrainTarget, CrashTarget, LoseAnswers, PeerLink, StoreLink, TargetLink,
	StoreRefuses, StoreSilent, WithdrawKey, KillAll,
}

var linkFaults = []relayer.Fault{relayer.Delay, relayer.Silence, relayer.OneWay, relayer.Reset}

// Step is one fault.
type Step struct {
	Kind Kind
	// Node is the number of the node that it strikes.
	Node int
	Link relayer.Fault
	At   time.Duration
	For  time.Duration
}

const (
	// leastGap and mostGap bound the time between the begins of two faults: shorter than most faults last.
	leastGap = 200 * time.Millisecond
	mostGap  = 1500 * time.Millisecond
	// leastSpan and mostSpan bound how long a fault lasts; the longest is beyond the revocation bound.
	leastSpan = 100 * time.Millisecond
	mostSpan  = 8 * time.Second
	// repeatShare is the part of faults that strike the node of the last one again.
	repeatShare = 0.3
)

// Plan draws the faults that begin within a span.
func Plan(seed uint64, nodes int, span time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	node := 0
	for at := leastGap; at < span; at += leastGap + time.Duration(rng.Int64N(int64(mostGap-leastGap))) {
		if rng.Float64() > repeatShare {
			node = rng.IntN(nodes)
		}
		steps = append(steps, Step{
			Kind: kinds[rng.IntN(len(kinds))],
			Node: node,
			Link: linkFaults[rng.IntN(len(linkFaults))],
			At:   at,
			For:  leastSpan + time.Duration(rng.Int64N(int64(mostSpan-leastSpan))),
		})
	}
	return steps
}

// Disrupter carries out a plan.
type Disrupter struct {
	Fleet *launcher.Fleet
	Nodes int
	// Withdraw takes a key away and gives its client account a new one.
	Withdraw func()
	// Broke is told of promises that the disrupter itself sees broken.
	Broke func(rule, text string)
}

// Run carries out the steps at their times and returns when all have ended.
func (d *Disrupter) Run(ctx context.Context, steps []Step) {
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(s.At))):
			running.Go(func() { d.do(s) })
		}
	}
}

func (d *Disrupter) do(s Step) {
	n := d.Fleet.Node(s.Node)
	switch s.Kind {
	case KillNode:
		n.Kill()
		time.Sleep(s.For / 4)
		d.start(n)
	case StopNode:
		if !n.Stop() {
			d.Broke("LOST", fmt.Sprintf("node %d still ran at the end of the grace time", s.Node))
		}
		d.start(n)
	case FreezeNode:
		n.Freeze()
		d.Withdraw()
		time.Sleep(s.For)
		n.Wake()
	case KillAll:
		d.killAll(s.For / 4)
	case DrainTarget, CrashTarget:
		d.replaceTarget(n, s)
	case LoseAnswers:
		n.LoseAnswers(true)
		time.Sleep(s.For)
		n.LoseAnswers(false)
	case PeerLink:
		strike(n.PeerRelay, s)
	case StoreLink:
		// The operator reaches the store; this node does not hear of it.
		n.StoreRelay.Break(s.Link)
		d.Withdraw()
		time.Sleep(s.For)
		n.StoreRelay.Break(relayer.None)
	case TargetLink:
		strike(n.TargetRelay, s)
	case StoreRefuses:
		d.strikeStore(storekeeper.Faults{Refuse: true}, s.For)
	case StoreSilent:
		d.strikeStore(storekeeper.Faults{Silent: true}, s.For)
	case WithdrawKey:
		d.Withdraw()
	}
}

// replaceTarget ends the target and starts the next incarnation at its address, which it must have left before.
func (d *Disrupter) replaceTarget(n *launcher.Node, s Step) {
	n.Replacing.Lock()
	defer n.Replacing.Unlock()
	if s.Kind == DrainTarget {
		n.DrainTarget()
	} else {
		n.StopTarget()
		time.Sleep(s.For / 2)
	}
	if err := n.StartTarget(); err != nil {
		d.Broke("START", err.Error())
	}
}

func strike(r *relayer.Relay, s Step) {
	r.Break(s.Link)
	time.Sleep(s.For)
	r.Break(relayer.None)
}

func (d *Disrupter) strikeStore(f storekeeper.Faults, span time.Duration) {
	d.Fleet.Store.SetFaults(f)
	d.Withdraw()
	time.Sleep(span)
	d.Fleet.Store.SetFaults(storekeeper.Faults{})
}

func (d *Disrupter) killAll(down time.Duration) {
	for i := range d.Nodes {
		d.Fleet.Node(i).Kill()
	}
	time.Sleep(down)
	for i := range d.Nodes {
		d.start(d.Fleet.Node(i))
	}
}

func (d *Disrupter) start(n *launcher.Node) {
	if err := n.Start(); err != nil {
		d.Broke("START", err.Error())
	}
}
