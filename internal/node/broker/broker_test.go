package broker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/node/limiter"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"gotest.tools/v3/assert"
)

// fakeDependencies implements the broker's dependencies. All calls return immediately.
type fakeDependencies struct {
	state *reducer.State
	do    func(call broker.Call, token string) (granter.Answer, error)
}

func (f *fakeDependencies) State() *reducer.State { return f.state }
func (f *fakeDependencies) Confirmed() bool       { return true }

func (f *fakeDependencies) Take(context.Context, reducer.Account) (lender.Token, time.Duration, error) {
	return lender.Token{}, 0, nil
}
func (f *fakeDependencies) Refund(reducer.Account, lender.Token) {}

func (f *fakeDependencies) Acquire(context.Context, string, string) (granter.Answer, bool, error) {
	return granter.Answer{}, false, nil
}
func (f *fakeDependencies) Release(string, string)                  {}
func (f *fakeDependencies) Complete(string, string, granter.Answer) {}

func (f *fakeDependencies) Forward(context.Context, broker.Call) (broker.Reply, error) {
	return broker.Reply{Answer: granter.Answer{Status: 200}, PathLevel: admitter.MaxLevel, Entry: roster.Entry{Level: admitter.MaxLevel}}, nil
}

func (f *fakeDependencies) Do(_ context.Context, call broker.Call, token string) (granter.Answer, error) {
	if f.do == nil {
		return granter.Answer{Status: 200}, nil
	}
	return f.do(call, token)
}

// newBroker returns the broker of a node whose roster holds n targets of the service s, including the
// node's own target.
func newBroker(n int) (*broker.Broker, *fakeDependencies) {
	f := &fakeDependencies{state: reducer.New()}
	put := func(kind reducer.Kind, name, spec string) {
		change := &reducer.Change{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
		data, _ := reducer.Encode(reducer.Record{ID: name, Change: change})
		f.state, _ = reducer.Fold(f.state, f.state.Offset+1, data)
	}
	put(reducer.KindRoute, "r", `{"service":"s","method":"GET","path":"/a","open":true,"idempotent":true,"importance":"low","timeout-ms":1000}`)
	l := &limiter.Limiter{Clock: time.Now, LimitEnabled: true}
	l.Start(100, 0)
	r := &roster.Roster{Self: "vm-0", DataCentre: "dc", Clock: time.Now}
	entry := func(i int) roster.Entry {
		return roster.Entry{
			VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, Heartbeat: 1, DataCentre: "dc", Service: "s",
			Limit: 100, Level: admitter.MaxLevel,
		}
	}
	for i := range n {
		r.Merge([]roster.Entry{entry(i)})
	}
	b := &broker.Broker{
		View: f, Roster: r, Limiter: l, RateLimiter: f, Deduplicator: f, Peers: f, Target: f,
		Events:          &recorder.Ring{Node: "vm-0", Capacity: 1000, Clock: time.Now},
		Metrics:         broker.NewMetrics(metrics.NewSet()),
		Clock:           time.Now,
		Random:          func() uint64 { return 7 },
		Self:            func() string { return "vm-0/1" },
		Entry:           func() roster.Entry { return entry(0) },
		OverloadControl: true,
		RetryBudget:     3,
	}
	return b, f
}

var inbound = broker.Inbound{Method: "GET", Path: "/a", URI: "/a"}

// TestChildCalls checks that an endless chain of child calls is stopped at the maximum depth, and that
// a child call to an anonymous route is accepted after its parent has ended.
func TestChildCalls(t *testing.T) {
	b, f := newBroker(1)
	endedToken := ""
	f.do = func(call broker.Call, token string) (granter.Answer, error) {
		if call.Depth < 20 {
			endedToken = token
			r := b.ServeChild(context.Background(), token, inbound)
			return granter.Answer{Status: max(r.Status, 200)}, nil
		}
		return granter.Answer{Status: 200}, nil
	}
	r := b.Serve(context.Background(), inbound)
	assert.Equal(t, r.Status, 508, "an endless chain of child calls must be stopped")
	f.do = nil
	r = b.ServeChild(context.Background(), endedToken, inbound)
	assert.Equal(t, r.Outcome, retrier.Ran, "a call to an anonymous route must run without a valid call token")
}

// BenchmarkServe measures the processing of one request without I/O.
func BenchmarkServe(b *testing.B) {
	for _, n := range []int{1, 4, 64, 512} {
		br, _ := newBroker(n)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				br.Serve(context.Background(), inbound)
			}
		})
	}
}
