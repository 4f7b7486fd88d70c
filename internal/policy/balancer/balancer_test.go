package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/balancer"
	"gotest.tools/v3/assert"
)

func candidate(name string, change func(*balancer.Candidate)) balancer.Candidate {
	c := balancer.Candidate{Member: name, Local: true, Limit: 10, Level: 512, ServiceTime: 10 * time.Millisecond}
	change(&c)
	return c
}

// TestChoose makes a thousand choices per case and checks which members are chosen.
func TestChoose(t *testing.T) {
	plain := func(*balancer.Candidate) {}
	cases := []struct {
		name       string
		list       []balancer.Candidate
		tried      []string
		want       balancer.Refusal
		some, none []string
	}{
		{name: "nobody", want: balancer.NoTarget},
		{name: "equal", list: []balancer.Candidate{candidate("a", plain), candidate("b", plain)}, some: []string{"a", "b"}},
		{
			name: "drains",
			list: []balancer.Candidate{candidate("a", plain), candidate("b", func(c *balancer.Candidate) { c.Draining = true })},
			some: []string{"a"}, none: []string{"b"},
		},
		{
			name: "ejected",
			list: []balancer.Candidate{candidate("a", plain), candidate("b", func(c *balancer.Candidate) { c.Ejected = true })},
			some: []string{"a"}, none: []string{"b"},
		},
		{
			name: "all are suspected",
			list: []balancer.Candidate{candidate("a", func(c *balancer.Candidate) { c.Suspect = true })},
			some: []string{"a"},
		},
		{
			name: "tried already", tried: []string{"a"}, want: balancer.NoTarget,
			list: []balancer.Candidate{candidate("a", plain)},
		},
		{
			name: "level refuses", want: balancer.Shed,
			list: []balancer.Candidate{candidate("a", func(c *balancer.Candidate) { c.Level = 5 })},
		},
		{
			name: "own data centre first",
			list: []balancer.Candidate{candidate("a", plain), candidate("b", func(c *balancer.Candidate) { c.Local = false; c.RoundTrip = time.Millisecond })},
			some: []string{"a"}, none: []string{"b"},
		},
		{
			name: "spills over when the own data centre is full",
			list: []balancer.Candidate{
				candidate("a", func(c *balancer.Candidate) { c.InFlight = 30 }),
				candidate("b", func(c *balancer.Candidate) { c.Local = false; c.RoundTrip = time.Millisecond }),
			},
			some: []string{"b"}, none: []string{"a"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			count := map[string]int{}
			for range 1000 {
				got, refusal := balancer.Choose(c.list, balancer.Request{Priority: 100, Tried: c.tried, Random: rng.Uint64()})
				assert.Equal(t, refusal, c.want)
				count[got.Member]++
			}
			for _, name := range c.some {
				assert.Assert(t, count[name] > 300, "%v", count)
			}
			for _, name := range c.none {
				assert.Equal(t, count[name], 0)
			}
		})
	}
}

// TestOutlier checks the ejection, the single probe after it, and the end of the ejection on success.
func TestOutlier(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	var o balancer.OutlierDetector
	for range 4 {
		o.Observe(now, false)
	}
	assert.Assert(t, !o.Ejected(now))
	o.Observe(now, false)
	assert.Assert(t, o.Ejected(now))
	now = now.Add(time.Second)
	assert.Assert(t, !o.Ejected(now))
	o.StartProbe()
	assert.Assert(t, o.Ejected(now), "more than one probe at a time")
	o.Observe(now, false)
	assert.Assert(t, o.Ejected(now.Add(1900*time.Millisecond)), "the second ejection is not longer than the first")
	o.Observe(now, true)
	assert.Assert(t, !o.Ejected(now))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 64, 512} {
		var list []balancer.Candidate
		for i := range n {
			list = append(list, candidate(fmt.Sprint(i), func(c *balancer.Candidate) { c.Local = i%3 == 0 }))
		}
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(list, balancer.Request{Priority: 3, Random: 12345})
			}
		})
	}
}
