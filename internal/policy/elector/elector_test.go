package elector_test

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"gotest.tools/v3/assert"
)

// names returns node names whose ranking is the alphabetical order of their short names a to e.
func names() (long, short map[string]string) {
	long, short = map[string]string{"store": elector.Store}, map[string]string{elector.Store: "store"}
	nodes := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	for _, s := range []string{"a", "b", "c", "d", "e"} {
		first := elector.Rank("", nodes)[0]
		long[s], short[first] = first, s
		nodes = slices.DeleteFunc(nodes, func(n string) bool { return n == first })
	}
	return long, short
}

// TestChoices guards against nodes that do not agree whom to ask, that all read the store, or that stop reading.
func TestChoices(t *testing.T) {
	raw, err := os.ReadFile("testdata/choices.txt")
	assert.NilError(t, err)
	long, short := names()
	for _, text := range strings.Split(string(raw), "\n[")[1:] {
		title, steps, _ := strings.Cut(text, "]\n")
		t.Run(strings.ReplaceAll(title, " ", "-"), func(t *testing.T) {
			self, _, _ := strings.Cut(title, ":")
			e := &elector.Elector{Self: long[self]}
			for step := range strings.Lines(steps) {
				if f := strings.Fields(step); len(f) > 0 {
					run(t, e, f, long, short)
				}
			}
		})
	}
}

func run(t *testing.T, e *elector.Elector, f []string, long, short map[string]string) {
	t.Helper()
	now := duration(t, f[0])
	switch f[1] {
	case "choose":
		var others []string
		for n := range strings.SplitSeq(f[2], ",") {
			if n != "-" {
				others = append(others, long[n])
			}
		}
		choice := e.Choose(now, others)
		got := short[choice.Source]
		if choice.Pause > 0 {
			got = "pause"
		}
		assert.Equal(t, got, f[4], "%v", f)
		if len(f) > 6 {
			assert.Equal(t, choice.Until, duration(t, f[6]), "%v", f)
		}
	case "ages":
		e.MaxAge, e.StoreAge = duration(t, f[2]), duration(t, f[3])
	case "proven":
		e.Proven(duration(t, f[2]))
	case "failed":
		how := elector.Silent
		if f[3] == "stale" {
			how = elector.Stale
		}
		e.Failed(now, long[f[2]], how, 0.5)
	case "succeeded":
		e.Succeeded(long[f[2]])
	case "asked":
		assert.Equal(t, e.Asked(now), f[2] == "yes", "%v", f)
	default:
		t.Fatalf("unknown step %v", f)
	}
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// TestPausesAreSpread checks that the retries of nodes that fail together are spread over the whole pause.
func TestPausesAreSpread(t *testing.T) {
	for _, jitter := range []float64{0, 0.25, 0.5, 0.75, 1} {
		e := &elector.Elector{Self: "n"}
		e.Choose(0, []string{"vm-1", "vm-2", "vm-3", "vm-4"})
		e.Failed(0, elector.Store, elector.Silent, jitter)
		assert.Assert(t, e.StorePause(0) > 0 && e.StorePause(0) <= 1500*time.Millisecond)
	}
}

// TestRankIsBalanced checks that the ranking depends on the names only, not on their order.
func TestRankIsBalanced(t *testing.T) {
	assert.DeepEqual(t, elector.Rank("", []string{"x", "y", "z"}), elector.Rank("", []string{"z", "x", "y"}))
}

// BenchmarkChoose measures one choice in a data centre of 200 nodes.
func BenchmarkChoose(b *testing.B) {
	var others []string
	for i := range 200 {
		others = append(others, "sidecar-"+string(rune('a'+i%26))+"-"+string(rune('a'+i/26)))
	}
	e := &elector.Elector{Self: "self"}
	for b.Loop() {
		e.Choose(0, others)
	}
}
