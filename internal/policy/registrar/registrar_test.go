package registrar_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/registrar"
	"gotest.tools/v3/assert"
)

// script runs one case of testdata/cases.txt.
type script struct {
	t         *testing.T
	registrar registrar.Registrar
	// jumped is the sum of the jumps of the time of day.
	jumped time.Duration
}

// TestDepartures guards against a deregistration that is forgotten when an announcement arrives late, and against one that
// is applied to an incarnation which has started after it.
func TestDepartures(t *testing.T) {
	raw, err := os.ReadFile("testdata/cases.txt")
	assert.NilError(t, err)
	for _, text := range strings.Split(string(raw), "\n[")[1:] {
		name, steps, _ := strings.Cut(text, "]\n")
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			s := &script{t: t}
			for step := range strings.Lines(steps) {
				if fields := strings.Fields(step); len(fields) > 0 {
					s.run(s.duration(fields[0]), fields[1], fields[2:])
				}
			}
		})
	}
}

func (s *script) run(at time.Duration, verb string, args []string) {
	s.t.Helper()
	now := registrar.Moment{WallMs: (time.Hour + at + s.jumped).Milliseconds(), SinceBoot: at}
	switch verb {
	case "deregister":
		s.registrar.Record(args[0], now)
	case "clock":
		s.jumped += s.duration(args[0])
	case "announced":
		_, departed := s.registrar.Departure(args[0], s.duration(args[1]).Milliseconds(), now)
		assert.Equal(s.t, departed, args[2] == "yes", "%s %v", at, args)
	default:
		s.t.Fatalf("unknown step %q", verb)
	}
}

func (s *script) duration(text string) time.Duration {
	s.t.Helper()
	d, err := time.ParseDuration(text)
	assert.NilError(s.t, err)
	return d
}

// TestBounded checks that deregistrations of many IDs do not add up, and that the latest of them are kept.
func TestBounded(t *testing.T) {
	var r registrar.Registrar
	for i := range 1000 {
		r.Record(fmt.Sprint(i), registrar.Moment{WallMs: int64(i), SinceBoot: time.Duration(i) * time.Millisecond})
	}
	now := registrar.Moment{WallMs: 1000, SinceBoot: time.Second}
	_, departed := r.Departure("999", 0, now)
	assert.Assert(t, departed)
	_, departed = r.Departure("0", 0, now)
	assert.Assert(t, !departed)
}
