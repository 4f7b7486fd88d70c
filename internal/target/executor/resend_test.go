package executor_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// sendStep is what happens while a request is under way: before the target breaks its connection, or while the connection
// that it is to be sent on is opened.
type sendStep struct {
	name string
	do   func(*fixture)
	// want is the outcome if the request has not been sent before, or "" for one that may be sent.
	want string
}

var sendSteps = []sendStep{
	{"nothing", func(*fixture) {}, ""},
	{"target drains", func(f *fixture) { f.announce(2, true) }, "not run: draining"},
	{"target departs", func(f *fixture) { f.executor.Deregister("i-1") }, "not run: no-target"},
	{"target is replaced", func(f *fixture) {
		f.announcement.ID, f.announcement.StartedAtMs = "i-2", f.announcement.StartedAtMs+1
		f.announce(1, false)
	}, "not run: other-incarnation"},
	{"target starts again under its ID", func(f *fixture) {
		f.announcement.StartedAtMs++
		f.announce(1, false)
	}, "not run: other-incarnation"},
	{"target is withheld", func(f *fixture) { f.withhold.Store(true) }, "not run: evacuated"},
}

// TestSendsAgain guards against a request that is sent a second time although it would not be sent for the first time any
// more: its connection breaks without an answer after the target has left, was replaced or was withheld. It is answered as
// one that may have run.
func TestSendsAgain(t *testing.T) {
	for _, c := range sendSteps {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPipeFixture(t, 4, 20*time.Millisecond)
				f.executor.Withhold = f.withholdReason
				assert.Equal(t, outcome(f.do("first", true)), "answered 200")
				f.target.SetFault(responder.Reset)
				time.AfterFunc(10*time.Millisecond, func() { c.do(f) })
				job := f.job("second", true)
				a := f.executor.Do(t.Context(), job)
				a.Release()
				want := 1
				if c.want == "" {
					want = 2
				}
				assert.Equal(t, len(f.runsOf("second")), want)
				assert.Assert(t, a.Unknown, outcome(a))
			})
		})
	}
}

// TestSendsAfterLongDial guards against a request that is sent although its target has left, was replaced or was withheld
// while the connection was opened. It has not run.
func TestSendsAfterLongDial(t *testing.T) {
	for _, c := range sendSteps {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSlowDialFixture(t, 300*time.Millisecond)
				time.AfterFunc(100*time.Millisecond, func() { c.do(f) })
				a := f.do("x", true)
				if c.want == "" {
					assert.Equal(t, outcome(a), "answered 200")
					return
				}
				assert.Equal(t, outcome(a), c.want)
				assert.Equal(t, len(f.runsOf("x")), 0)
			})
		})
	}
}

// TestSendsWithoutTime guards against a request that is sent, first or again, when its time is all but over.
func TestSendsWithoutTime(t *testing.T) {
	// Requests have 500 ms.
	const nearlyAll = 497 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newPipeFixture(t, 4, 20*time.Millisecond)
		assert.Equal(t, outcome(f.do("first", true)), "answered 200")
		f.target.SetFault(responder.Reset)
		f.target.SetServiceTime(nearlyAll)
		a := f.do("second", true)
		assert.Assert(t, a.Unknown, outcome(a))
		assert.Equal(t, len(f.runsOf("second")), 1)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newSlowDialFixture(t, nearlyAll)
		assert.Equal(t, outcome(f.do("x", true)), "not run: deadline-passed")
		assert.Equal(t, len(f.runsOf("x")), 0)
	})
}

// TestCallerLeavesDuringDial guards against a request that is sent although its caller has left while the connection was
// opened.
func TestCallerLeavesDuringDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowDialFixture(t, 300*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		a := f.executor.Do(ctx, f.job("x", true))
		assert.Assert(t, a.NotRun, outcome(a))
		time.Sleep(time.Second)
		assert.Equal(t, len(f.runsOf("x")), 0)
	})
}

// TestDeadlineOfSends guards against a target that is told more time than is left, because the connection took long to open
// or because the request is sent again after its connection broke.
func TestDeadlineOfSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowDialFixture(t, 200*time.Millisecond)
		assert.Equal(t, outcome(f.do("first", true)), "answered 200")
		f.target.SetFault(responder.Reset)
		began := time.Now()
		f.do("second", true)
		sent := append(f.runsOf("first"), f.runsOf("second")...)
		assert.Equal(t, len(sent), 3)
		// Of 500 ms, the first connection took 200 ms, and the last one was opened after the run of 20 ms before.
		for i, most := range []int{300, 500, 280} {
			left, err := strconv.Atoi(sent[i].Header.Get(platform.DeadlineHeader))
			assert.NilError(t, err)
			assert.Assert(t, left <= most && left >= most-20, "send %d: %d ms, at most %d are left", i, left, most)
		}
		assert.Assert(t, time.Since(began) < 500*time.Millisecond)
	})
}

// newSlowDialFixture is newPipeFixture with connections that take the time to open.
func newSlowDialFixture(t *testing.T, dialTime time.Duration) *fixture {
	t.Helper()
	target := &responder.Responder{ServiceTime: 20 * time.Millisecond}
	pool := &transporter.Pool{IdleTimeout: time.Minute, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		time.Sleep(dialTime)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		client, server := net.Pipe()
		target.Serve(server)
		return client, nil
	}}
	f := connect(t, target, pool, "target:80", 4)
	f.executor.Withhold = f.withholdReason
	return f
}

func (f *fixture) withholdReason() string {
	if f.withhold.Load() {
		return executor.ReasonEvacuated
	}
	return ""
}

// runsOf returns the requests with the ID that the target has run.
func (f *fixture) runsOf(id string) []responder.Request {
	var list []responder.Request
	for _, r := range f.target.Requests() {
		if r.Header.Get(platform.RequestIDHeader) == id {
			list = append(list, r)
		}
	}
	return list
}
