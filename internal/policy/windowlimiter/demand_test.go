package windowlimiter_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"gotest.tools/v3/assert"
)

// TestDemands checks that the demand of an account counts at all nodes that are heard, also without a rate limit, and that
// accounts which another node no longer lists don't count.
func TestDemands(t *testing.T) {
	l := windowlimiter.Limiter{Window: 10 * time.Second}
	now := time.Minute
	l.SetMembers(now, []string{"a", "b"})
	usages := func(demand float64) map[string]windowlimiter.Usage {
		return map[string]windowlimiter.Usage{"shop": {Demand: demand}}
	}
	l.Receive(now, windowlimiter.Process{Node: "a", Started: 1}, usages(5), true)
	l.Receive(now, windowlimiter.Process{Node: "b", Started: 1}, usages(7), true)
	for range 30 {
		now += 100 * time.Millisecond
		l.Admit(now, "shop", windowlimiter.Limit{})
		l.Admit(now, "shop", windowlimiter.Limit{})
	}
	l.Receive(now, windowlimiter.Process{Node: "a", Started: 1}, usages(5), true)
	l.Receive(now, windowlimiter.Process{Node: "b", Started: 1}, nil, true)
	got := l.Demands(now)
	assert.Assert(t, got["shop"] > 5+17 && got["shop"] < 5+23, "%v", got)
}
