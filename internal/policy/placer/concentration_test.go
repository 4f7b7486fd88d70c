package placer_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/latecounter"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"gotest.tools/v3/assert"
)

// event is the end of a request of a node at a target, which began to run after some time and is late from a time on.
type event struct {
	at, began, lateAt time.Duration
	node, target      int
	counted           time.Time
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

// outcome is what a replay shows.
type outcome struct {
	// overflow is the share of requests that found all slots of their target taken.
	overflow float64
	mean     time.Duration
	// before and after are the requests a second to the target that becomes slow: while it is fast, and from 100 ms after it
	// has become slow until it is fast again.
	before, after float64
}

// replay simulates nodes that place requests on 6 targets of 57 slots with unequal speeds for 10 s. Each node knows
// reports that are taken every 200 ms and, for targets that answer it, the load at that moment. The slow
// target, if not negative, takes ten times as long for 600 ms of each 2 s; a report of it follows within 50 ms once it is noticed.
func replay(choose chooser, nodes int, load float64, slowTarget int) outcome {
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
	late := make([]latecounter.Counter, len(speeds))
	epoch := time.Now()
	var queue events
	var total time.Duration
	count, over, toFast, toSlow := 0, 0, 0, 0
	start := func(e event, now time.Duration) {
		took := time.Duration(float64(hold) / speeds[e.target] * (0.5 + r.Float64()))
		if e.target == slowTarget && now%(2*time.Second) < 600*time.Millisecond {
			took *= 10
		}
		running[e.target]++
		total += now + took - e.at
		e.at, e.began = now+took, now
		e.counted = late[e.target].Begin(epoch.Add(now), "r")
		heap.Push(&queue, e)
	}
	// reported returns the load that the node of a target tells.
	reported := func(i int, now time.Duration) int {
		return running[i] + len(queued[i]) + late[i].Late(epoch.Add(now))
	}
	next, report, check := time.Duration(0), time.Duration(0), time.Duration(0)
	tell := func(i int, now time.Duration) {
		load := reported(i, now)
		for n := range views {
			v := &views[n][i]
			v.known, v.outstandingThen = load, v.outstanding
		}
	}
	list := make([]placer.Candidate, len(speeds))
	for now := time.Duration(0); now < 10*time.Second; {
		if len(queue) > 0 && queue[0].at <= next {
			e := heap.Pop(&queue).(event)
			now = e.at
			running[e.target]--
			late[e.target].End("r", now-e.began, e.counted)
			if q := queued[e.target]; len(q) > 0 {
				queued[e.target] = q[1:]
				start(q[0], now)
			}
			v := &views[e.node][e.target]
			v.outstanding--
			v.lateAt = slices.Delete(v.lateAt, slices.Index(v.lateAt, e.lateAt), slices.Index(v.lateAt, e.lateAt)+1)
			v.known, v.outstandingThen = reported(e.target, now), v.outstanding
			continue
		}
		now = next
		next += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if now >= report {
			report += period
			for i := range speeds {
				tell(i, now)
			}
		}
		if now >= check {
			check += 50 * time.Millisecond
			for i := range speeds {
				if late[i].Notice(epoch.Add(now)) {
					tell(i, now)
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
		e := event{at: now, lateAt: now + latecounter.LateAfter(time.Duration(float64(hold)/speeds[target])), node: node, target: target}
		v.lateAt = append(v.lateAt, e.lateAt)
		count++
		switch phase := now % (2 * time.Second); {
		case target != slowTarget || now < 2*time.Second:
		case phase >= time.Second:
			toFast++
		case phase >= 100*time.Millisecond && phase < 600*time.Millisecond:
			toSlow++
		}
		if running[target] < slots {
			start(e, now)
		} else {
			over++
			queued[target] = append(queued[target], e)
		}
	}
	return outcome{float64(over) / float64(count), total / time.Duration(count), float64(toFast) / 4, float64(toSlow) / 2}
}

// TestConcentration compares the lowest of all targets by a node's knowledge with the cheaper of two sampled ones, in
// fleets of the size from which the second method is used. It guards against many nodes that choose the same target on
// reports 200 ms old.
func TestConcentration(t *testing.T) {
	for _, c := range []struct {
		nodes int
		load  float64
		// slow is the target that becomes slow, or -1.
		slow int
		// share is the maximum share of the requests that find no free slot, compared with the other method.
		share float64
	}{
		{60, 0.6, -1, 0.1},
		{60, 0.75, -1, 0.5},
		{90, 0.6, -1, 0.1},
		{90, 0.75, -1, 0.5},
		{90, 0.85, -1, 1},
		{90, 0.95, -1, 1},
		{90, 0.6, 0, 0.1},
		{90, 0.75, 0, 0.5},
		{90, 0.85, 0, 1},
	} {
		l, s := replay(lowest, c.nodes, c.load, c.slow), replay(sampled, c.nodes, c.load, c.slow)
		t.Logf("%+v: lowest %.3f %v, sampled %.3f %v", c, l.overflow, l.mean, s.overflow, s.mean)
		assert.Assert(t, s.overflow <= c.share*l.overflow, "%+v", c)
		assert.Assert(t, s.mean <= l.mean, "%+v", c)
	}
}

// TestSlowTarget guards against a target that has become slow for 600 ms and gets as many requests as before: from 100 ms
// on it is avoided and tried by few.
func TestSlowTarget(t *testing.T) {
	for _, load := range []float64{0.5, 0.75} {
		s := replay(sampled, 90, load, 1)
		t.Logf("load %.2f: %.0f a second while fast, %.0f from 100 ms after it has become slow", load, s.before, s.after)
		assert.Assert(t, s.after < s.before/20)
	}
}
