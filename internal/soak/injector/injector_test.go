package injector_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/injector"
	"gotest.tools/v3/assert"
)

// TestPlanRepeats checks that a seed always gives the same plan, that faults overlap and that every kind occurs.
func TestPlanRepeats(t *testing.T) {
	kinds := map[injector.Kind]bool{}
	overlaps := 0
	for seed := range uint64(20) {
		steps := injector.Plan(seed, 5, 20*time.Second, injector.PresentKinds)
		assert.DeepEqual(t, steps, injector.Plan(seed, 5, 20*time.Second, injector.PresentKinds))
		for i, s := range steps {
			kinds[s.Kind] = true
			if i > 0 && steps[i-1].At+steps[i-1].For > s.At {
				overlaps++
			}
		}
	}
	assert.Equal(t, len(kinds), 18)
	assert.Assert(t, overlaps > 100, "%d", overlaps)
}

// TestSeeds runs the soak on real nodes with the seeds of testdata/seeds.txt: one baseline seed and each seed that
// ever failed.
func TestSeeds(t *testing.T) {
	program := build(t)
	raw, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(raw)) {
		text, cause, _ := strings.Cut(strings.TrimSpace(line), "#")
		fields := strings.Fields(text)
		if len(fields) == 0 {
			continue
		}
		assert.Equal(t, len(fields), 2, line)
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		assert.NilError(t, err)
		s := &injector.Soak{Program: program, Seed: seed, Nodes: 4, FaultPeriod: 8 * time.Second, Kinds: kindsOf(fields[1])}
		soak(t, s, cause)
	}
}

// kindsOf returns the kinds of faults that a line of testdata/seeds.txt names.
func kindsOf(name string) []injector.Kind {
	switch name {
	case "base":
		return injector.BaseKinds
	case "all":
		return injector.AllKinds
	case "every":
		return injector.EveryKind
	case "present":
		return injector.PresentKinds
	default:
		return []injector.Kind{injector.Kind(name)}
	}
}

// TestSeed303 repeats the seed with which a client account exceeded its rate limit: the store failed directly after
// all nodes had been killed three times.
func TestSeed303(t *testing.T) {
	soak(t, &injector.Soak{Program: build(t), Seed: 303, Nodes: 5, FaultPeriod: 15 * time.Second, Kinds: injector.BaseKinds}, "rate after an outage")
}

// build compiles the node program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/plantainwheel-attendant").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

const maxPrintedFindings = 10

func soak(t *testing.T, s *injector.Soak, cause string) {
	t.Helper()
	s.Directory = t.TempDir()
	result, err := s.Run(t.Context())
	assert.NilError(t, err)
	first := result.Findings[:min(len(result.Findings), maxPrintedFindings)]
	assert.Equal(t, len(result.Findings), 0, "seed %d (%s): %v, steps %+v", s.Seed, cause, first, result.Steps)
	assert.Assert(t, result.Requests > 100, "%d requests after the faults", result.Requests)
}
