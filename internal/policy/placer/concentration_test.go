package placer_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"gotest.tools/v3/assert"
)

// event is an arrival at a node (target < 0) or the end of a request of a node at a target.
type event struct {
	at           time.Duration
	node, target int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type chooser func(r *rand.Rand, list []placer.Candidate) int

func lowest(_ *rand.Rand, list []placer.Candidate) int {
	return placer.Choose(list, placer.Preference{})
}

func sampled(r *rand.Rand, list []placer.Candidate) int {
	return placer.ChooseSampled(list, placer.Preference{}, [2]float64{r.Float64(), r.Float64()})
}

// replay simulates nodes that place requests on 6 targets of 57 slots with unequal speeds for 10 s. Each node knows
// reports that are taken every 200 ms and, for targets that answer it, the load at that moment. If slow is set, the first
// target takes ten times as long for 600 ms of each 2 s. It returns the share of requests that found all slots of their
// target taken, and the mean response time.
func replay(choose chooser, nodes int, load float64, slow bool) (overflow float64, mean time.Duration) {
	const (
		slots  = 57
		hold   = 30 * time.Millisecond
		period = 200 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(1, 2))
	speeds := []float64{0.5, 1, 1, 1.5, 1, 1}
	rate := load * slots * 6 / hold.Seconds()
	type view struct {
		known, outstanding, outstandingThen int
		lateAt                              []time.Duration
	}
	views := make([][]view, nodes)
	for i := range views {
		views[i] = make([]view, len(speeds))
	}
	running := make([]int, len(speeds))
	queued := make([][]event, len(speeds))
	var queue events
	var total time.Duration
	count, over := 0, 0
	start := func(e event, now time.Duration) {
		took := time.Duration(float64(hold) / speeds[e.target] * (0.5 + r.Float64()))
		if slow && e.target == 0 && now%(2*time.Second) < 600*time.Millisecond {
			took *= 10
		}
		running[e.target]++
		total += now + took - e.at
		heap.Push(&queue, event{now + took, e.node, e.target})
	}
	next, report := time.Duration(0), time.Duration(0)
	list := make([]placer.Candidate, len(speeds))
	for now := time.Duration(0); now < 10*time.Second; {
		if len(queue) > 0 && queue[0].at <= next {
			e := heap.Pop(&queue).(event)
			now = e.at
			running[e.target]--
			if q := queued[e.target]; len(q) > 0 {
				queued[e.target] = q[1:]
				start(q[0], now)
			}
			v := &views[e.node][e.target]
			v.outstanding--
			v.lateAt = v.lateAt[1:]
			v.known, v.outstandingThen = running[e.target]+len(queued[e.target]), v.outstanding
			continue
		}
		now = next
		next += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if now >= report {
			report += period
			for n := range views {
				for i := range speeds {
					v := &views[n][i]
					v.known, v.outstandingThen = running[i]+len(queued[i]), v.outstanding
				}
			}
		}
		node := r.IntN(nodes)
		first := r.IntN(len(speeds))
		for k := range list {
			i := (first + k) % len(speeds)
			v := &views[node][i]
			late := 0
			for _, at := range v.lateAt {
				if now > at {
					late++
				}
			}
			list[k] = placer.Candidate{
				SameDataCentre: true, Limit: slots, Running: max(v.known+v.outstanding-v.outstandingThen, 0), Late: late,
				HoldTime: time.Duration(float64(hold) / speeds[i]),
			}
		}
		target := (first + choose(r, list)) % len(speeds)
		v := &views[node][target]
		v.outstanding++
		v.lateAt = append(v.lateAt, now+2*time.Duration(float64(hold)/speeds[target]))
		count++
		if e := (event{now, node, target}); running[target] < slots {
			start(e, now)
		} else {
			over++
			queued[target] = append(queued[target], e)
		}
	}
	return float64(over) / float64(count), total / time.Duration(count)
}

// TestConcentration compares the lowest of all targets by a node's knowledge with the cheaper of two sampled ones, in
// fleets of the size from which the second method is used. It guards against many nodes that choose the same target on
// reports 200 ms old.
func TestConcentration(t *testing.T) {
	for _, c := range []struct {
		nodes int
		load  float64
		slow  bool
		// share is the maximum share of the requests that find no free slot, compared with the other method.
		share float64
	}{
		{60, 0.6, false, 0.1},
		{60, 0.75, false, 0.5},
		{90, 0.6, false, 0.1},
		{90, 0.75, false, 0.5},
		{90, 0.85, false, 1},
		{90, 0.95, false, 1},
		{90, 0.6, true, 0.1},
		{90, 0.75, true, 0.5},
		{90, 0.85, true, 1},
	} {
		overLowest, meanLowest := replay(lowest, c.nodes, c.load, c.slow)
		overSampled, meanSampled := replay(sampled, c.nodes, c.load, c.slow)
		t.Logf("%+v: lowest %.3f %v, sampled %.3f %v", c, overLowest, meanLowest, overSampled, meanSampled)
		assert.Assert(t, overSampled <= c.share*overLowest, "%+v", c)
		assert.Assert(t, meanSampled <= meanLowest, "%+v", c)
	}
}
