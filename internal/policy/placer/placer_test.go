package placer_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	const hold = 100 * time.Millisecond
	near := placer.Candidate{Node: "near", Near: true, Limit: 20, Hold: hold}
	far := placer.Candidate{Node: "far", Limit: 20, Hold: hold}
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
		{"own VM before its neighbours", []placer.Candidate{near, with(near, func(c *placer.Candidate) { c.Node = "own"; c.Beside = true })}, "own"},
		{"far where near is full", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Running = 20 }), far}, "far"},
		{"near while it has room", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Running = 14 }), far}, "near"},
		{"near while a service that binds is as loaded elsewhere", []placer.Candidate{
			with(near, func(c *placer.Candidate) { c.Running = 18 }),
			with(far, func(c *placer.Candidate) { c.Running = 16 }),
		}, "near"},
		{"faster target", []placer.Candidate{near, with(near, func(c *placer.Candidate) { c.Node = "fast"; c.Hold = hold / 2 })}, "fast"},
		{"slow and far before fast and full", []placer.Candidate{
			with(near, func(c *placer.Candidate) { c.Hold = 20 * time.Millisecond; c.Running = 20 }),
			with(far, func(c *placer.Candidate) { c.Hold = 60 * time.Millisecond }),
		}, "far"},
		{"not one that fails", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Failing = 0.5 }), far}, "far"},
		{"not one that has just started", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Cold = true }), far}, "far"},
		{"not one to avoid", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Avoid = true }), with(far, func(c *placer.Candidate) { c.Running = 40 })}, "far"},
		{"one to avoid where there is no other", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Avoid = true })}, "near"},
	} {
		i := placer.Choose(c.list)
		assert.Assert(t, i >= 0, c.name)
		assert.Equal(t, c.list[i].Node, c.want, c.name)
	}
	assert.Equal(t, placer.Choose(nil), -1)
}
