package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestLimit simulates twelve seconds at full load, with a service time that may depend on the concurrency, and
// checks the mean limit over the second half.
func TestLimit(t *testing.T) {
	const slots = 20
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	steady := func(int) time.Duration { return ms(20) }
	cases := []struct {
		name               string
		early, late        func(running int) time.Duration
		minLimit, maxLimit int
	}{
		{"steady", steady, steady, slots, slots},
		{"slowed tenfold whatever the concurrency", steady, func(int) time.Duration { return ms(200) }, 15, slots},
		{"thrashes above eight", steady, func(n int) time.Duration { return ms(20 * max(1, float64(n*n)/64)) }, 4, 14},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &admitter.Limit{Slots: slots}
			now, sum := 0, 0
			for ; now < 12_000; now += 10 {
				serve := c.early
				if now > 2000 {
					serve = c.late
				}
				running := l.Current(at(now))
				l.Observe(at(now), serve(running), false, running)
				if now >= 6000 {
					sum += l.Current(at(now))
				}
			}
			mean := sum / 600
			assert.Assert(t, mean >= c.minLimit && mean <= c.maxLimit, "mean limit %d, want %d to %d", mean, c.minLimit, c.maxLimit)
		})
	}
}

// TestLimitRecovers checks that a reduced limit returns to the declared slots without any traffic.
func TestLimitRecovers(t *testing.T) {
	l := &admitter.Limit{Slots: 20}
	for now := range 1000 {
		l.Observe(at(now), time.Millisecond, true, 20)
	}
	assert.Assert(t, l.Current(at(1000)) < 10)
	for now := 1000; now < 3000; now += 10 {
		l.Tick(at(now))
	}
	assert.Equal(t, l.Current(at(3000)), 20)
}

// TestColdStart checks the warm-up of a target that has just started.
func TestColdStart(t *testing.T) {
	l := &admitter.Limit{Slots: 20, Started: at(0), WarmUp: time.Second}
	assert.Equal(t, l.Current(at(0)), 4)
	assert.Equal(t, l.Current(at(500)), 12)
	assert.Equal(t, l.Current(at(1000)), 20)
}

// TestLevelRecovers checks that the level falls under overload, so that only important calls are admitted, and
// returns to MaxLevel within one second after the overload ends.
func TestLevelRecovers(t *testing.T) {
	var l admitter.Level
	now := 0
	for ; now < 3000; now++ {
		for p := range 4 {
			l.Offer(at(now), admitter.Priority(reducer.Importance(p), fmt.Sprint(now, p)))
		}
		l.ObserveQueueTime(100 * time.Millisecond)
	}
	assert.Assert(t, l.Current() < admitter.MaxLevel/4, "level %d", l.Current())
	for end := now + 1000; now < end; now++ {
		l.Tick(at(now))
	}
	assert.Equal(t, l.Current(), admitter.MaxLevel)
}

type offer struct {
	id, account string
	importance  reducer.Importance
	childCall   bool
	// deadline is in milliseconds.
	deadline int
}

// TestQueue offers calls while all slots are taken and checks the order in which they start.
func TestQueue(t *testing.T) {
	n, h, c := reducer.Normal, reducer.High, reducer.Critical
	cases := []struct {
		name   string
		offers []offer
		want   []string
	}{
		{"important first", []offer{{"1", "a", n, false, 900}, {"2", "a", c, false, 900}, {"3", "a", h, false, 900}}, []string{"2", "3", "1"}},
		{"later hops first", []offer{{"1", "a", n, false, 900}, {"2", "a", n, true, 900}}, []string{"2", "1"}},
		{"accounts in turn", []offer{{"1", "a", n, false, 900}, {"2", "a", n, false, 900}, {"3", "a", n, false, 900}, {"4", "b", n, false, 900}}, []string{"1", "4", "2", "3"}},
		{"expired calls leave", []offer{{"1", "a", n, false, 15}, {"2", "a", n, false, 900}}, []string{"2"}},
		{"a full queue gives way to the important", []offer{
			{"1", "a", n, false, 900},
			{"2", "a", n, false, 900},
			{"3", "a", n, false, 900},
			{"4", "a", n, false, 900},
			{"5", "b", c, false, 900},
		}, []string{"5", "1", "2", "3"}},
		{"a full queue gives way to a small account", []offer{
			{"1", "a", n, false, 900},
			{"2", "a", n, false, 900},
			{"3", "a", n, false, 900},
			{"4", "a", n, false, 900},
			{"5", "b", n, false, 900},
		}, []string{"1", "5", "2", "3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &admitter.Admitter{Limit: admitter.Limit{Slots: 2}}
			for _, id := range []string{"x", "y"} {
				v, _ := a.Offer(at(0), &admitter.Entry{ID: id, Deadline: at(900)})
				assert.Equal(t, v, admitter.Run)
			}
			for _, o := range c.offers {
				a.Offer(at(1), &admitter.Entry{
					ID: o.id, Account: o.account, Importance: o.importance, ChildCall: o.childCall, Deadline: at(o.deadline),
				})
			}
			var got []string
			started, _ := a.Done(at(20), 0, 0, false)
			for len(started) > 0 {
				got = append(got, started[0].ID)
				started, _ = a.Done(at(20), 0, 0, false)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}
