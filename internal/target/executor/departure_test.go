package executor_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// departureScript runs one case of testdata/departures.txt.
type departureScript struct {
	t        *testing.T
	executor *executor.Executor
	base     time.Time
	sequence map[string]int64
}

// TestDepartures guards against a departure that a node has acknowledged and forgets: one of an incarnation that its process
// did not know yet, or one from the record of an earlier process that is read only after an announcement.
func TestDepartures(t *testing.T) {
	raw, err := os.ReadFile("testdata/departures.txt")
	assert.NilError(t, err)
	for _, text := range strings.Split(string(raw), "\n[")[1:] {
		name, steps, _ := strings.Cut(text, "]\n")
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			pool := &transporter.Pool{IdleTimeout: time.Minute}
			t.Cleanup(pool.Close)
			s := &departureScript{t: t, executor: executor.New(pool), base: time.Now(), sequence: map[string]int64{}}
			for step := range strings.Lines(steps) {
				if fields := strings.Fields(step); len(fields) > 0 {
					s.run(fields[0], append(fields[1:], "", ""))
				}
			}
		})
	}
}

// run performs one step:
//
//	announce ID STARTED STATE  the incarnation that started at the time announces the state
//	late ID STARTED STATE      the same, with a lower sequence than any before
//	deregister ID              the target deregisters
//	restore ID STARTED STATE   the record of an earlier process is read; "gone" departed when the case began
//	up ID                      the target takes requests
//	down ID                    the target with this ID takes none
//
// STARTED is relative to the beginning of the case.
func (s *departureScript) run(verb string, args []string) {
	s.t.Helper()
	id := args[0]
	switch verb {
	case "announce":
		s.sequence[id]++
		s.announce(id, args[1], args[2], 100+s.sequence[id])
	case "late":
		s.announce(id, args[1], args[2], 1)
	case "deregister":
		s.executor.Deregister(id)
	case "restore":
		t := executor.Target{ID: id, StartedAtMs: s.startedAt(args[1]), Draining: args[2] == "draining", Gone: args[2] == "gone"}
		if t.Gone {
			t.DepartedAtMs = s.base.UnixMilli()
		}
		s.executor.RestoreTarget(t)
	case "up", "down":
		assert.Equal(s.t, s.executor.Target().ID, id)
		assert.Equal(s.t, s.executor.Load().Up, verb == "up")
	default:
		s.t.Fatalf("unknown step %q", verb)
	}
}

func (s *departureScript) announce(id, started, state string, sequence int64) {
	s.executor.Announce(platform.Announcement{
		ID: id, Service: "print", Address: "127.0.0.1:1", Slots: 2, StartedAtMs: s.startedAt(started), Sequence: sequence, Draining: state == "draining",
	})
}

// startedAt returns a time of day in milliseconds since the Unix epoch. An empty text is an unknown one.
func (s *departureScript) startedAt(text string) int64 {
	s.t.Helper()
	if text == "unknown" {
		return 0
	}
	d, err := time.ParseDuration(text)
	assert.NilError(s.t, err, strconv.Quote(text))
	return s.base.Add(d).UnixMilli()
}
