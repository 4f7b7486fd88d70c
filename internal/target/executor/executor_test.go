package executor_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// net/http logs a line for each unsolicited response.
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

type fixture struct {
	t            *testing.T
	target       *responder.Responder
	executor     *executor.Executor
	announcement platform.Announcement
	// withhold makes withholdReason return a reason.
	withhold atomic.Bool
}

func newFixture(t *testing.T, slots int, serviceTime time.Duration) *fixture {
	t.Helper()
	target := &responder.Responder{ServiceTime: serviceTime}
	address, err := target.Open()
	assert.NilError(t, err)
	return connect(t, target, &transporter.Pool{IdleTimeout: time.Minute}, address, slots)
}

// newPipeFixture is newFixture with connections in memory.
func newPipeFixture(t *testing.T, slots int, serviceTime time.Duration) *fixture {
	t.Helper()
	return newConnFixture(t, slots, serviceTime, func(c net.Conn) net.Conn { return c })
}

// newConnFixture is newPipeFixture with the target's ends of the connections replaced by what wrap returns.
func newConnFixture(t *testing.T, slots int, serviceTime time.Duration, wrap func(net.Conn) net.Conn) *fixture {
	t.Helper()
	target := &responder.Responder{ServiceTime: serviceTime}
	pool := &transporter.Pool{IdleTimeout: time.Minute, Dial: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		target.Serve(wrap(server))
		return client, nil
	}}
	return connect(t, target, pool, "target:80", slots)
}

func connect(t *testing.T, target *responder.Responder, pool *transporter.Pool, address string, slots int) *fixture {
	t.Helper()
	t.Cleanup(target.Close)
	f := &fixture{t: t, target: target, executor: executor.New(pool)}
	t.Cleanup(pool.Close)
	f.announcement = platform.Announcement{ID: "i-1", Service: "print", Address: address, Slots: slots, Sequence: 1, StartedAtMs: 1000}
	f.executor.Announce(f.announcement)
	return f
}

func (f *fixture) job(id string, idempotent bool) *executor.Job {
	return &executor.Job{
		Request: transporter.Request{
			Method: http.MethodDelete, URI: "/a//b/../c?x=%2f", Host: "h.example",
			Header: http.Header{platform.RequestIDHeader: {id}}, Body: transporter.Body{Buffered: []byte("body")},
		},
		Route: "r", ExpectedIncarnation: "i-1", Idempotent: idempotent,
		Deadline: time.Now().Add(500 * time.Millisecond), MaxWait: 200 * time.Millisecond,
	}
}

func (f *fixture) do(id string, idempotent bool) *transporter.Answer {
	a := f.executor.Do(context.Background(), f.job(id, idempotent))
	a.Release()
	return a
}

// TestAnswers injects each known fault into the target's answer. An answer must be passed on complete or not at
// all, and a request that may have run must never be reported as not run. A non-idempotent request must not be
// sent twice. The test uses DELETE, which HTTP libraries may resend by themselves.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		fault   responder.Fault
		outcome string
	}{
		{responder.None, "answered 200"},
		{responder.ExtraResponse, "answered 200"},
		{responder.Unframed, "answered 200"},
		{responder.CloseIdle, "answered 200"},
		{responder.Unavailable, "answered 503"},
		{responder.Shed, "not run: target-shed"},
		{responder.Reset, "unknown: connection-broke"},
		{responder.Truncate, "unknown: answer-garbled"},
		{responder.Garbage, "unknown: connection-broke"},
		{responder.MismatchedID, "unknown: answer-garbled"},
		{responder.Unsigned, "unknown: answer-garbled"},
		{responder.UnframedReset, "unknown: answer-garbled"},
		{responder.Hang, "unknown: no-answer-in-time"},
	} {
		t.Run(string("fault "+c.fault), func(t *testing.T) {
			f := newFixture(t, 4, 0)
			assert.Equal(t, outcome(f.do("first", false)), "answered 200")
			f.target.SetFault(c.fault)
			assert.Equal(t, outcome(f.do("second", false)), c.outcome)
			runs := 0
			for _, r := range f.target.Requests() {
				if r.Header.Get(platform.RequestIDHeader) == "second" {
					runs++
					assert.Equal(t, r.URI, "/a//b/../c?x=%2f")
					assert.Equal(t, r.Method, http.MethodDelete)
					assert.Equal(t, r.Body, "body")
					assert.Equal(t, r.Header.Get(platform.ExpectIncarnationHeader), "i-1")
					assert.Equal(t, r.Header.Get("User-Agent"), "")
					assert.Equal(t, r.Header.Get("Accept-Encoding"), "")
				}
			}
			assert.Assert(t, runs <= 1, "ran %d times", runs)
		})
	}
}

func outcome(a *transporter.Answer) string {
	switch {
	case a.NotRun:
		return "not run: " + a.Reason
	case a.Unknown:
		return "unknown: " + a.Reason
	default:
		return fmt.Sprintf("answered %d", a.Status)
	}
}

// TestExtraAnswerDiscarded checks that a second answer to one request is never matched to the next request.
func TestExtraAnswerDiscarded(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.target.SetFault(responder.ExtraResponse)
	for i := range 20 {
		a := f.do(fmt.Sprint(i), true)
		if !a.NotRun && !a.Unknown {
			assert.Equal(t, a.Header.Get(platform.RequestIDHeader), fmt.Sprint(i))
			assert.Equal(t, string(a.Body.Buffered), "ok")
		}
	}
}

// TestIdleConnectionsClosedByTarget checks that a non-idempotent request is not lost on a reused connection that
// the target closed while it was idle.
func TestIdleConnectionsClosedByTarget(t *testing.T) {
	f := newFixture(t, 4, 0)
	f.target.SetFault(responder.CloseIdle)
	for i := range 10 {
		assert.Equal(t, outcome(f.do(fmt.Sprint(i), false)), "answered 200")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestConcurrencyLimit checks that a target never runs more concurrent requests than it has slots.
func TestConcurrencyLimit(t *testing.T) {
	f := newFixture(t, 3, 10*time.Millisecond)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() { f.do(fmt.Sprint(i), true) })
	}
	wg.Wait()
	assert.Assert(t, f.target.MaxInFlight() <= 3, "%d requests in flight", f.target.MaxInFlight())
	load := f.executor.Load()
	assert.Equal(t, load.Running, 0)
	assert.Equal(t, load.Waiting, 0)
}

// TestLeaving checks that the target gets no more requests after it has drained, deregistered or been replaced by
// another incarnation, or after its node has stopped.
func TestLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(*fixture)
		want  string
	}{
		"draining": {func(f *fixture) { f.announce(2, true) }, "not run: draining"},
		"departed": {func(f *fixture) { f.executor.Deregister("i-1") }, "not run: no-target"},
		"late announcement from before": {func(f *fixture) {
			f.announce(5, true)
			f.announce(3, false)
		}, "not run: draining"},
		"ready again in the same incarnation": {func(f *fixture) {
			f.announce(2, true)
			f.announce(3, false)
		}, "not run: draining"},
		"announcement after it has departed": {func(f *fixture) {
			f.executor.Deregister("i-1")
			f.announce(9, false)
		}, "not run: no-target"},
		"another incarnation": {func(f *fixture) {
			f.announcement.ID = "i-2"
			f.announcement.StartedAtMs++
			f.announce(1, false)
		}, "not run: other-incarnation"},
		"answer that says so":    {func(f *fixture) { f.answerLeaving(responder.None) }, "not run: draining"},
		"rejection that says so": {func(f *fixture) { f.answerLeaving(responder.Shed) }, "not run: draining"},
		"answer that says so, then ready again": {func(f *fixture) {
			f.answerLeaving(responder.None)
			f.announce(2, false)
		}, "not run: draining"},
		"node that stops": {func(f *fixture) { f.executor.Stop() }, "not run: draining"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, 0)
			c.leave(f)
			before := len(f.target.Requests())
			assert.Equal(t, outcome(f.do("x", true)), c.want)
			assert.Equal(t, len(f.target.Requests()), before)
		})
	}
}

// answerLeaving has the target answer one request and say in the answer that it leaves.
func (f *fixture) answerLeaving(fault responder.Fault) {
	f.target.SetFault(fault)
	f.target.SetHeaders("Server-Leaving: 1\r\n")
	f.do("last", true)
}

// TestLeavingOfAnotherIncarnation checks that an answer that says that its target leaves does not take a newer
// incarnation out of service.
func TestLeavingOfAnotherIncarnation(t *testing.T) {
	f := newFixture(t, 2, 100*time.Millisecond)
	f.target.SetHeaders("Server-Leaving: 1\r\n")
	var wg sync.WaitGroup
	wg.Go(func() { f.do("late", true) })
	time.Sleep(50 * time.Millisecond)
	f.announcement.ID = "i-2"
	f.announcement.StartedAtMs++
	f.announce(1, false)
	wg.Wait()
	assert.Assert(t, f.executor.Load().Up)
}

func (f *fixture) announce(sequence int64, draining bool) {
	f.announcement.Sequence = sequence
	f.announcement.Draining = draining
	f.executor.Announce(f.announcement)
}

// TestLeavingRefusesWaitingJobs checks that jobs queued for a leaving target are refused at once as not run. It runs in
// simulated time, so that each step finds the jobs where it expects them.
func TestLeavingRefusesWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPipeFixture(t, 1, 150*time.Millisecond)
		var wg sync.WaitGroup
		wg.Go(func() { f.do("running", true) })
		time.Sleep(30 * time.Millisecond)
		began := time.Now()
		wg.Go(func() {
			a := f.do("waiting", true)
			assert.Check(t, a.NotRun)
			assert.Check(t, time.Since(began) < 100*time.Millisecond)
		})
		time.Sleep(20 * time.Millisecond)
		assert.Check(t, f.executor.Load().Waiting == 1)
		f.announce(2, true)
		wg.Wait()
		assert.Equal(t, len(f.target.Requests()), 1)
	})
}

// TestRestoreTarget checks that a restarted node keeps the restored draining state when a ready announcement of
// the same incarnation arrives.
func TestRestoreTarget(t *testing.T) {
	pool := &transporter.Pool{IdleTimeout: time.Minute}
	defer pool.Close()
	e := executor.New(pool)
	e.RestoreTarget(executor.Target{ID: "i-1", StartedAtMs: 1000, Draining: true})
	announcement := platform.Announcement{ID: "i-1", StartedAtMs: 1000, Sequence: 7, Slots: 2, Address: "127.0.0.1:1"}
	e.Announce(announcement)
	assert.Assert(t, !e.Load().Up)
	announcement.ID = "i-2"
	announcement.StartedAtMs = 2000
	e.Announce(announcement)
	assert.Assert(t, e.Load().Up)
}

// TestCallerCancels checks that the slot is released at once when the caller cancels.
func TestCallerCancels(t *testing.T) {
	f := newFixture(t, 1, 0)
	f.target.SetFault(responder.Hang)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	began := time.Now()
	a := f.executor.Do(ctx, f.job("x", true))
	assert.Assert(t, a.Unknown)
	assert.Assert(t, time.Since(began) < 250*time.Millisecond)
	assert.Equal(t, f.executor.Load().Running, 0)
}

// TestTargetUnreachable checks that requests to a target that does not listen are reported as not run.
func TestTargetUnreachable(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.target.Close()
	assert.Equal(t, outcome(f.do("x", false)), "not run: target-unreachable")
	assert.Assert(t, !f.executor.Load().Up)
}

// TestRefusalAfterLostSend guards against a refusal that says that a request has not run, although the target may have run
// it before it ended: the request was sent on a connection in use before and is not accepted again.
func TestRefusalAfterLostSend(t *testing.T) {
	f := newFixture(t, 4, 20*time.Millisecond)
	assert.Equal(t, outcome(f.do("first", true)), "answered 200")
	f.target.CrashOn = "/a//b"
	f.target.OnCrash = f.target.Close
	assert.Equal(t, outcome(f.do("second", true)), "unknown: connection-broke")
}
