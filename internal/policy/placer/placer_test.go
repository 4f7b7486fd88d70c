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
		i := placer.Choose(c.list, placer.Preference{})
		assert.Assert(t, i >= 0, c.name)
		assert.Equal(t, c.list[i].Node, c.want, c.name)
	}
	assert.Equal(t, placer.Choose(nil, placer.Preference{}), -1)
}

// TestSelectedDataCentre guards against a plan that overrules what is known of the targets: cold, suspect, full and failing
// ones are not chosen because their data centre was selected, and the request falls back to its own data centre.
func TestSelectedDataCentre(t *testing.T) {
	const hold = 30 * time.Millisecond
	own := placer.Candidate{Node: "own", DataCentre: "a", SameDataCentre: true, Limit: 20, HoldTime: hold}
	selected := placer.Candidate{Node: "selected", DataCentre: "b", Limit: 20, HoldTime: hold}
	third := placer.Candidate{Node: "third", DataCentre: "c", Limit: 20, HoldTime: hold}
	with := func(c placer.Candidate, change func(*placer.Candidate)) placer.Candidate {
		change(&c)
		return c
	}
	for _, c := range []struct {
		name     string
		selected placer.Candidate
		failing  string
		want     string
	}{
		{"selected", selected, "", "selected"},
		{"selected while half full", with(selected, func(c *placer.Candidate) { c.Running = 14 }), "", "selected"},
		{"full", with(selected, func(c *placer.Candidate) { c.Running = 25 }), "", "own"},
		{"cold", with(selected, func(c *placer.Candidate) { c.WarmingUp = true }), "", "own"},
		{"suspect", with(selected, func(c *placer.Candidate) { c.Suspect = true }), "", "own"},
		{"slow", with(selected, func(c *placer.Candidate) { c.Late = 1 }), "", "own"},
		{"failing", with(selected, func(c *placer.Candidate) { c.FailureRate = 0.9 }), "", "own"},
		{"failing together", selected, "b", "own"},
	} {
		list := []placer.Candidate{third, own, c.selected}
		p := placer.Preference{DataCentre: "b", Failing: c.failing}
		assert.Equal(t, list[placer.Choose(list, p)].Node, c.want, c.name)
		for _, r := range []float64{0, 0.5, 0.999} {
			assert.Equal(t, list[placer.ChooseSampled(list, p, [2]float64{r, r})].Node, c.want, c.name)
		}
	}
	list := []placer.Candidate{third, with(selected, func(c *placer.Candidate) { c.Suspect = true })}
	assert.Equal(t, placer.Choose(list, placer.Preference{DataCentre: "b"}), 0, "any where the own data centre has no target")
	list = []placer.Candidate{third, with(selected, func(c *placer.Candidate) { c.Running = 20 })}
	assert.Equal(t, placer.Choose(list, placer.Preference{DataCentre: "b"}), 0, "any where the selected one is full")
	assert.Equal(t, placer.ChooseSampled(nil, placer.Preference{}, [2]float64{}), -1)
}

// TestFailTogether guards against a data centre that is avoided because of a single failing target.
func TestFailTogether(t *testing.T) {
	good, bad := placer.Candidate{DataCentre: "a"}, placer.Candidate{DataCentre: "a", Suspect: true}
	elsewhere := placer.Candidate{DataCentre: "b", Suspect: true}
	assert.Assert(t, !placer.FailTogether([]placer.Candidate{good, elsewhere, elsewhere}, "a", 1))
	assert.Assert(t, placer.FailTogether([]placer.Candidate{bad, good}, "a", 1))
	assert.Assert(t, placer.FailTogether([]placer.Candidate{good}, "a", 2))
	assert.Assert(t, !placer.FailTogether([]placer.Candidate{good, good, good}, "a", 2))
}
