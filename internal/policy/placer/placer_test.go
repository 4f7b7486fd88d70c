package placer_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	const hold = 100 * time.Millisecond
	near := placer.Candidate{Node: "near", SameDataCentre: true, Limit: 20, HoldTime: hold}
	far := placer.Candidate{Node: "far", Limit: 20, HoldTime: hold}
	with := func(c placer.Candidate, change func(*placer.Candidate)) placer.Candidate {
		change(&c)
		return c
	}
	for _, c := range []struct {
		name string
		list []placer.Candidate
		want string
	}{
		{"own data centre first", []placer.Candidate{far, near}, "near"},
		{"own VM before its neighbours", []placer.Candidate{near, with(near, func(c *placer.Candidate) { c.Node = "own"; c.SameVM = true })}, "own"},
		{"far where near is full", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Running = 20 }), far}, "far"},
		{"near while it has room", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Running = 14 }), far}, "near"},
		{"near while the constrained service is as loaded elsewhere", []placer.Candidate{
			with(near, func(c *placer.Candidate) { c.Running = 18 }),
			with(far, func(c *placer.Candidate) { c.Running = 16 }),
		}, "near"},
		{"faster target", []placer.Candidate{near, with(near, func(c *placer.Candidate) { c.Node = "fast"; c.HoldTime = hold / 2 })}, "fast"},
		{"slow and far before fast and full", []placer.Candidate{
			with(near, func(c *placer.Candidate) { c.HoldTime = 20 * time.Millisecond; c.Running = 20 }),
			with(far, func(c *placer.Candidate) { c.HoldTime = 60 * time.Millisecond }),
		}, "far"},
		{"failing target is not chosen", []placer.Candidate{with(near, func(c *placer.Candidate) { c.FailureRate = 0.5 }), far}, "far"},
		{"cold target is not chosen", []placer.Candidate{with(near, func(c *placer.Candidate) { c.WarmingUp = true }), far}, "far"},
		{"suspect target is not chosen", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Suspect = true }), with(far, func(c *placer.Candidate) { c.Running = 40 })}, "far"},
		{"suspect target where there is no other", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Suspect = true })}, "near"},
	} {
		i := placer.Choose(c.list)
		assert.Assert(t, i >= 0, c.name)
		assert.Equal(t, c.list[i].Node, c.want, c.name)
	}
	assert.Equal(t, placer.Choose(nil), -1)
}
