package warmer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/warmer"
	"gotest.tools/v3/assert"
)

var terms = warmer.Terms{PerSecond: 15, Excess: 1.5, Slack: 8}

const bound = 30

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// restarted returns the warmer of a process that has just started and has received an announcement of a cold target.
func restarted(now time.Time, t warmer.Terms) *warmer.Warmer {
	w := &warmer.Warmer{}
	w.SetTerms(now, t)
	w.Announced(now, time.Minute, true)
	return w
}

// busiest returns the largest number of the times within any one second.
func busiest(times []time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestBound guards against a second in which a cold target gets more requests than its bound. The replay floods the
// target, breaks connections, asks the health endpoint and restarts the node's process at random, up to three times in
// one second.
func TestBound(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := restarted(at(0), terms)
		var sent []time.Time
		nextRestart := 400
		for ms := 0; ms < 30_000; ms++ {
			now := at(ms)
			if ms == nextRestart {
				w = restarted(now, terms)
				nextRestart += []int{150, 300, 3000}[r.IntN(3)]
			}
			if r.IntN(200) == 0 {
				w.Doubt(now)
			}
			if w.Ask(now) {
				sent = append(sent, now)
				w.Answered(now, now, time.Minute)
			}
			for range r.IntN(4) {
				if w.Take(now) {
					sent = append(sent, now)
				}
			}
		}
		assert.Assert(t, busiest(sent) <= bound, "seed %d: %d requests in a second", seed, busiest(sent))
		assert.Assert(t, len(sent) > 30*10, "seed %d: only %d requests in 30 s", seed, len(sent))
	}
}

// TestTightTerms guards against a pace that exceeds the bound, or never begins, where the settings leave little room.
func TestTightTerms(t *testing.T) {
	for _, terms := range []warmer.Terms{
		{PerSecond: 15, Excess: 1},
		{PerSecond: 1, Excess: 1.5},
		{PerSecond: 0.5, Excess: 1, Slack: 3},
		{PerSecond: 400, Excess: 1.1},
		{PerSecond: 15, Slack: 8},
		{PerSecond: 2, Excess: 1},
	} {
		w := restarted(at(0), terms)
		var sent []time.Time
		for ms := range 20_000 {
			if w.Take(at(ms)) {
				sent = append(sent, at(ms))
			}
		}
		allowed := terms.PerSecond*terms.Excess + terms.Slack
		assert.Assert(t, float64(busiest(sent)) <= max(allowed, 1), "%+v: %d in a second", terms, busiest(sent))
		assert.Assert(t, len(sent) > 0, "%+v: nothing sent", terms)
	}
}

// TestCondition guards against a target that is paced although it is warm, and against one that is taken for warm because
// of a statement from before the doubt.
func TestCondition(t *testing.T) {
	warm := func() *warmer.Warmer {
		w := &warmer.Warmer{}
		w.SetTerms(at(0), terms)
		w.Announced(at(0), 0, true)
		return w
	}
	for _, c := range []struct {
		name string
		run  func(w *warmer.Warmer)
		at   int
		cold bool
	}{
		{"warm from the start", func(*warmer.Warmer) {}, 1, false},
		{"becomes cold without a restart", func(w *warmer.Warmer) { w.Announced(at(1500), time.Second, false) }, 2400, true},
		{"warm-up ends by itself", func(w *warmer.Warmer) { w.Announced(at(1500), time.Second, false) }, 2501, false},
		{"connection broke", func(w *warmer.Warmer) { w.Doubt(at(1000)) }, 60_000, true},
		{"health response says warm", func(w *warmer.Warmer) { w.Doubt(at(1000)); w.Answered(at(1003), at(1000), 0) }, 1003, false},
		{"health request from before the doubt", func(w *warmer.Warmer) { w.Doubt(at(1000)); w.Answered(at(1003), at(999), 0) }, 1003, true},
		{"announcement that was under way at the doubt", func(w *warmer.Warmer) { w.Doubt(at(1000)); w.Announced(at(1900), 0, false) }, 1900, true},
		{"later announcement", func(w *warmer.Warmer) { w.Doubt(at(1000)); w.Announced(at(2100), 0, false) }, 2100, false},
		{"announcement of the next incarnation", func(w *warmer.Warmer) { w.Doubt(at(1000)); w.Announced(at(1100), 0, true) }, 1100, false},
		{"announcement from before a health response", func(w *warmer.Warmer) {
			w.Doubt(at(1000))
			w.Answered(at(1003), at(1000), 5*time.Second)
			w.Announced(at(1100), 0, false)
		}, 1100, true},
		{"silent", func(w *warmer.Warmer) { w.Tick(at(4100)) }, 4100, true},
		{"late announcement", func(w *warmer.Warmer) { w.Tick(at(3000)) }, 3000, false},
		{"service without a limit", func(w *warmer.Warmer) {
			w.SetTerms(at(10), warmer.Terms{})
			w.Doubt(at(20))
			w.Announced(at(30), time.Minute, true)
		}, 31, false},
		{"unknown configuration, cold target", func(w *warmer.Warmer) {
			w.SetTerms(at(10), warmer.Terms{Unknown: true})
			w.Announced(at(30), time.Minute, true)
		}, 31, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := warm()
			c.run(w)
			assert.Equal(t, w.Cold(at(c.at)), c.cold)
			assert.Equal(t, w.Available(at(c.at)) > bound, !c.cold)
		})
	}
}

// TestUnknownTerms guards against requests to a cold target whose tolerance is not known yet.
func TestUnknownTerms(t *testing.T) {
	w := restarted(at(0), warmer.Terms{Unknown: true})
	assert.Assert(t, !w.Take(at(5000)))
	assert.Equal(t, w.Available(at(5000)), 0)
	w.SetTerms(at(5000), terms)
	assert.Assert(t, !w.Take(at(5000)), "burst at the start of the pace")
	assert.Assert(t, w.Take(at(5070)))
}

// TestAsk guards against more than two health requests in a second.
func TestAsk(t *testing.T) {
	w := restarted(at(0), terms)
	assert.Assert(t, !w.Ask(at(10)), "the condition is known")
	var asked []time.Time
	for ms := range 5000 {
		w.Doubt(at(ms))
		if w.Ask(at(ms)) {
			asked = append(asked, at(ms))
		}
	}
	assert.Equal(t, busiest(asked), 2)
}

// TestDelay guards against requests that wait past their time: the delay includes the pace and those reserved.
func TestDelay(t *testing.T) {
	w := restarted(at(0), terms)
	w.Reserve()
	got := w.Delay(at(0), 1)
	assert.Assert(t, got > 190*time.Millisecond && got < 210*time.Millisecond, "%s", got)
	assert.Equal(t, w.Slots(at(0), 57, 200*time.Millisecond), 3)
}

func BenchmarkTake(b *testing.B) {
	w := restarted(at(0), terms)
	for i := range b.N {
		now := at(i)
		_ = w.Available(now)
		w.Reserve()
		w.Release()
		_ = w.Take(now)
	}
}
