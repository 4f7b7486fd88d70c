package launcher

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/relayer"
	"github.com/plantainwheel/plantainwheel/platform"
)

// What the configuration and the settings say of cold targets.
const (
	ColdPerSecond = 15
	ColdExcess    = 1.5
	ColdSlack     = 8
	// HealthPath is the path of the targets' health endpoint.
	HealthPath = "/health"
)

const (
	// lateAnnouncement is the time after which a target that has returned announces itself.
	lateAnnouncement = 1200 * time.Millisecond
	// underWay is the time in which requests may be under way to a target that has just told that it is cold, or whose link
	// has just recovered.
	underWay = 100 * time.Millisecond
	// linkSettleTime is the time after a fault of the link in which held requests may arrive together.
	linkSettleTime = 2 * time.Second
)

// coldness is the warm-up of a target. It is guarded by the target's mutex.
type coldness struct {
	until time.Time
	// countedFrom is when the node must keep the bound, or zero while it cannot know of the warm-up.
	countedFrom time.Time
}

// linkState tells whether requests may arrive together because the link to the target held them.
type linkState struct {
	faults  atomic.Int32
	endedAt atomic.Int64
}

// BreakTargetLink injects a fault into the link between the node and its target for the given time.
func (n *Node) BreakTargetLink(f relayer.Fault, duration time.Duration) {
	n.targetLink.faults.Add(1)
	n.TargetRelay.SetFault(f)
	time.Sleep(duration)
	n.TargetRelay.SetFault(relayer.None)
	n.targetLink.endedAt.Store(time.Now().UnixNano())
	n.targetLink.faults.Add(-1)
}

func (l *linkState) settled() bool {
	return l.faults.Load() == 0 && time.Since(time.Unix(0, l.endedAt.Load())) > linkSettleTime
}

// ReturnCold crashes the target and starts it again after the given time, cold and under the same ID. It announces itself
// late.
func (n *Node) ReturnCold(down, warmUp time.Duration) error {
	old, closed := n.detachTarget()
	if old == nil {
		return n.StartTarget()
	}
	old.crash()
	closed()
	old.setLimit(0)
	time.Sleep(down)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != nil {
		return nil
	}
	now := time.Now()
	t := &target{
		id: old.id, checker: n.fleet.Checker, node: n, startedAtMS: now.UnixMilli(), state: "ready",
		cold: coldness{until: now.Add(warmUp), countedFrom: now}, announceDelay: lateAnnouncement,
	}
	if err := t.open(n.targetAddress); err != nil {
		return err
	}
	n.target = t
	return nil
}

// ChillTarget makes the running target cold without a restart.
func (n *Node) ChillTarget(warmUp time.Duration) {
	n.mu.Lock()
	t := n.target
	n.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	t.cold = coldness{until: time.Now().Add(warmUp)}
	t.mu.Unlock()
	_ = t.announce()
}

// recordAnnounced records that the node has acknowledged an announcement of the warm-up that ends at the given time.
func (t *target) recordAnnounced(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cold.until.Equal(until) && t.cold.countedFrom.IsZero() {
		t.cold.countedFrom = time.Now().Add(underWay)
	}
}

// remaining returns the time for which the target remains cold. The caller holds the target's mutex.
func (c *coldness) remaining() time.Duration { return max(time.Until(c.until), 0) }

// recordArrival counts a request to a cold target.
func (t *target) recordArrival() {
	now := time.Now()
	t.mu.Lock()
	counted := !t.cold.countedFrom.IsZero() && !now.Before(t.cold.countedFrom) && now.Before(t.cold.until)
	t.mu.Unlock()
	if counted && t.node.targetLink.settled() {
		t.checker.RecordColdArrival(fmt.Sprint(t.id, "@", t.startedAtMS), now)
	}
}

func (t *target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(platform.IncarnationHeader, t.id)
	w.Header().Set(platform.WarmUpHeader, fmt.Sprint(t.cold.remaining().Milliseconds()))
}
