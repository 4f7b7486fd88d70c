package executor_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// guard records what it is told.
type guard struct {
	mu       sync.Mutex
	withheld bool
	answered int
	crashes  [][]string
	left     int
}

func (g *guard) Enter(quarantiner.Signature, string) (ok, trial bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.withheld, !g.withheld
}

func (g *guard) Leave(quarantiner.Signature) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left++
}

func (g *guard) Answered(quarantiner.Signature, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered++
}

func (g *guard) RecordCrash(_ quarantiner.Incarnation, began []quarantiner.Run) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, r := range began {
		ids = append(ids, r.RequestID)
	}
	slices.Sort(ids)
	g.crashes = append(g.crashes, ids)
	return len(ids)
}

func (g *guard) seen() [][]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes
}

func newGuardedFixture(t *testing.T, serviceTime time.Duration) (*fixture, *guard) {
	f := newFixture(t, 20, serviceTime)
	g := &guard{}
	f.executor.Guard = g
	return f, g
}

// TestCrash checks that a crash names the requests that had begun, and only these.
func TestCrash(t *testing.T) {
	f, g := newGuardedFixture(t, 40*time.Millisecond)
	assert.Equal(t, outcome(f.do("before", true)), "answered 200")
	f.target.CrashOn = "/a//b"
	f.target.OnCrash = sync.OnceFunc(f.target.Close)
	var wg sync.WaitGroup
	for _, id := range []string{"one", "two"} {
		wg.Go(func() { assert.Check(t, outcome(f.do(id, false)) == "unknown: target-crashed") })
	}
	wg.Wait()
	assert.Equal(t, outcome(f.do("after", false)), "not run: target-unreachable")
	assert.DeepEqual(t, g.seen(), [][]string{{"one", "two"}})
	assert.Equal(t, g.answered, 1)
	assert.Equal(t, g.left, 4)
}

// TestNoCrash checks that a reset, a silent target, a departure and a restarted node are not taken for a crash.
func TestNoCrash(t *testing.T) {
	for name, c := range map[string]func(f *fixture){
		"reset":  func(f *fixture) { f.target.SetFault(responder.Reset); f.do("lost", false) },
		"silent": func(f *fixture) { f.target.SetFault(responder.Hang); f.do("lost", false) },
		"draining": func(f *fixture) {
			f.target.SetFault(responder.Hang)
			var wg sync.WaitGroup
			wg.Go(func() { f.do("lost", false) })
			time.Sleep(20 * time.Millisecond)
			f.announcement.Sequence, f.announcement.Draining = 2, true
			f.executor.Announce(f.announcement)
			f.target.Close()
			wg.Wait()
		},
		"gone": func(f *fixture) { f.executor.Deregister("i-1"); f.target.Close(); f.do("lost", false) },
		"idle": func(f *fixture) { f.target.Close(); time.Sleep(300 * time.Millisecond); f.do("not sent", false) },
	} {
		t.Run(name, func(t *testing.T) {
			f, g := newGuardedFixture(t, 0)
			f.do("before", true)
			c(f)
			assert.Equal(t, len(g.seen()), 0)
		})
	}
}

// TestSilentCrash checks that a new incarnation shows the crash of one that fell silent, with the requests that it had not
// answered, but not those that were lost before it answered others.
func TestSilentCrash(t *testing.T) {
	f, g := newGuardedFixture(t, 0)
	f.target.SetFault(responder.Reset)
	f.do("reset before", false)
	f.target.SetFault(responder.None)
	f.do("answered", false)
	f.target.SetFault(responder.Hang)
	assert.Equal(t, outcome(f.do("silent", false)), "unknown: no-answer-in-time")
	f.announcement.ID, f.announcement.StartedAtMs, f.announcement.Sequence = "i-2", 2000, 1
	f.executor.Announce(f.announcement)
	assert.DeepEqual(t, g.seen(), [][]string{{"silent"}})
}

// TestFailureClearsNothing guards against a request that crashes targets and is cleared by the failure of another target,
// which may have answered without running it.
func TestFailureClearsNothing(t *testing.T) {
	f, g := newGuardedFixture(t, 0)
	for _, fault := range []responder.Fault{responder.Failed, responder.Unavailable, responder.Shed, responder.Misdirected, responder.Unsigned, responder.Truncate} {
		f.target.SetFault(fault)
		f.do("failed", false)
		assert.Equal(t, g.answered, 0, string(fault))
	}
}

// TestWithheldRequest checks that a request that the guard withholds does not reach the target.
func TestWithheldRequest(t *testing.T) {
	f, g := newGuardedFixture(t, 0)
	g.withheld = true
	assert.Equal(t, outcome(f.do("withheld", false)), "not run: quarantined")
	assert.Equal(t, len(f.target.Requests()), 0)
}

// TestSignatureOfCalls guards against a request that is taken for another one because a node took it for a call of its
// target, which it cannot tell for certain.
func TestSignatureOfCalls(t *testing.T) {
	f := newFixture(t, 1, 0)
	sign := func(change func(*executor.Job)) quarantiner.Signature {
		j := f.job("id", true)
		change(j)
		return j.Signature()
	}
	client := sign(func(*executor.Job) {})
	assert.Equal(t, client, sign(func(j *executor.Job) {
		j.Rank = queuer.ChildCallRank
		j.Request.Header = http.Header{platform.RequestIDHeader: {"other"}, platform.CallerServiceHeader: {"print"}}
	}))
	assert.Assert(t, client != sign(func(j *executor.Job) { j.Request.Header.Set(platform.AccountHeader, "shop") }))
	assert.Equal(t, outcome(f.executor.Do(context.Background(), f.job("id", true))), "answered 200")
}
