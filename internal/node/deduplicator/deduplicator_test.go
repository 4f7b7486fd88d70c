package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/deduplicator"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

type fakeView struct{ state *reducer.State }

func (f fakeView) State() *reducer.State                   { return f.state }
func (f fakeView) Confirmed() bool                         { return true }
func (f fakeView) Expired(int64, time.Duration) bool       { return false }
func (f fakeView) WaitOffset(context.Context, int64) error { return nil }

// fakePeers returns the same vote to every request. Each reading of the clock advances it by step.
type fakePeers struct {
	now    time.Time
	step   time.Duration
	status granter.Status
}

func (p *fakePeers) Grant(_ context.Context, member string, _ granter.GrantRequest) (granter.Vote, error) {
	return granter.Vote{From: member, Status: p.status}, nil
}

func (p *fakePeers) Finish(context.Context, string, deduplicator.Result) error { return nil }

func (p *fakePeers) Handover(context.Context, string, string, []granter.Entry, []string) error {
	return nil
}

func newFakeView() fakeView {
	s := reducer.New()
	for i := range 3 {
		m := reducer.Member{VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, DataCentre: fmt.Sprint(i), PeerAddress: "p"}
		data, _ := reducer.Encode(reducer.Record{ID: m.VM, Join: &reducer.Join{Member: m}})
		s, _ = reducer.Fold(s, s.Offset+1, data)
	}
	return fakeView{s}
}

// TestAcquire checks the result of Acquire for each kind of vote. If the executor is paused during a round,
// the votes may be out of date and must not grant the ID.
func TestAcquire(t *testing.T) {
	cases := []struct {
		name   string
		status granter.Status
		pause  time.Duration
		want   error
	}{
		{"granted", granter.Granted, 0, nil},
		{"taken", granter.Taken, 0, deduplicator.ErrTaken},
		{"registrars are behind", granter.Behind, 0, deduplicator.ErrNoQuorum},
		{"paused while the votes were on their way", granter.Granted, time.Second, deduplicator.ErrNoQuorum},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &fakePeers{now: time.Unix(0, 0), step: c.pause, status: c.status}
			d := &deduplicator.Deduplicator{
				View: newFakeView(), Peers: p, Self: func() string { return "other/1" },
				Retention: time.Hour, Capacity: 10,
				Clock: func() time.Time {
					p.now = p.now.Add(p.step)
					return p.now
				},
			}
			_, _, err := d.Acquire(context.Background(), "id", "other/1#1")
			d.Close()
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}
