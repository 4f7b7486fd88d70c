package executor_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"gotest.tools/v3/assert"
)

const (
	limitTestSlots = 60
	limitTestWait  = 50 * time.Millisecond
	// answerWait is the maximum wait of a request that must be answered.
	answerWait  = time.Second
	loadWorkers = 20
)

// limitScript runs one case of testdata/limits.txt.
type limitScript struct {
	*fixture
	background sync.WaitGroup
	sent       atomic.Int64
	begun      int
}

// TestNamedLimit guards against a target that gets more requests than the limit that it names in its answers. It runs
// in fake time, because the steps must not overlap.
func TestNamedLimit(t *testing.T) {
	raw, err := os.ReadFile("testdata/limits.txt")
	assert.NilError(t, err)
	for _, text := range strings.Split(string(raw), "\n[")[1:] {
		name, steps, _ := strings.Cut(text, "]\n")
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLimitScript(t, steps) })
		})
	}
}

func runLimitScript(t *testing.T, steps string) {
	s := &limitScript{fixture: newPipeFixture(t, limitTestSlots, time.Millisecond)}
	t.Cleanup(s.background.Wait)
	s.background.Go(s.tick)
	for step := range strings.Lines(steps) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(step), " ")
		if verb != "" {
			s.run(verb, rest)
		}
	}
}

// run performs one step:
//
//	headers LINE      subsequent answers have the header line
//	fault FAULT       subsequent answers have the fault
//	slow TIME         requests take the time
//	answer            one request is sent and the target answers it
//	pause TIME        waits
//	incarnation       a new incarnation of the target announces itself
//	load, calls TIME  requests, or calls of running requests, are sent as fast as they are answered
//	burst N           N requests are sent at once
//	at-most, at-least N  bounds the requests that the last load or burst began at the target
func (s *limitScript) run(verb, rest string) {
	s.t.Helper()
	switch verb {
	case "headers":
		if rest != "" {
			rest += "\r\n"
		}
		s.target.SetHeaders(rest)
	case "fault":
		s.target.SetFault(responder.Fault(rest))
	case "slow":
		s.target.SetServiceTime(duration(s.t, rest))
	case "answer":
		a := s.send(0, answerWait)
		assert.Assert(s.t, !a.NotRun || a.Reason == executor.ReasonTargetShed, a.Reason)
	case "pause":
		time.Sleep(duration(s.t, rest))
	case "incarnation":
		s.announcement.ID, s.announcement.StartedAtMs = "i-2", s.announcement.StartedAtMs+1
		s.announce(1, false)
	case "load", "calls":
		s.load(duration(s.t, rest), verb == "calls")
	case "burst":
		s.burst(number(s.t, rest))
	case "at-most":
		assert.Assert(s.t, s.begun <= number(s.t, rest), "%d requests begun", s.begun)
	case "at-least":
		assert.Assert(s.t, s.begun >= number(s.t, rest), "%d requests begun", s.begun)
	default:
		s.t.Fatalf("unknown step %q", verb)
	}
}

// tick does the periodic work of a node until the test ends.
func (s *limitScript) tick() {
	for s.t.Context().Err() == nil {
		s.executor.Tick()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *limitScript) send(rank int, maxWait time.Duration) *transporter.Answer {
	job := s.job(fmt.Sprint(s.sent.Add(1)), true)
	job.ExpectedIncarnation = ""
	job.Rank = rank
	job.MaxWait = maxWait
	job.Deadline = job.Deadline.Add(maxWait)
	a := s.executor.Do(s.t.Context(), job)
	a.Release()
	return a
}

// load sends requests from several workers for the given time.
func (s *limitScript) load(period time.Duration, calls bool) {
	rank := 0
	if calls {
		rank = queuer.ChildCallRank
	}
	before := len(s.target.Requests())
	var wg sync.WaitGroup
	end := time.Now().Add(period)
	for range loadWorkers {
		wg.Go(func() {
			for time.Now().Before(end) {
				s.send(rank, limitTestWait)
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
	s.begun = len(s.target.Requests()) - before
}

// burst sends all requests at once and doesn't wait for their answers. The requests that the target can run at once
// are not counted, because no answer has named the limit yet.
func (s *limitScript) burst(n int) {
	for range n {
		s.background.Go(func() { s.send(0, limitTestWait) })
	}
	time.Sleep(limitTestWait)
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}
