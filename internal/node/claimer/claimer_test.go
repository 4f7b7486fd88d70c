package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/claimer"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

type fold struct{ state *reducer.State }

func (f fold) State() *reducer.State                   { return f.state }
func (f fold) Confirmed() bool                         { return true }
func (f fold) Expired(int64, time.Duration) bool       { return false }
func (f fold) WaitOffset(context.Context, int64) error { return nil }

// peers give the same vote each time. The clock moves by the pause each time that it is read.
type peers struct {
	now    time.Time
	pause  time.Duration
	status granter.Status
}

func (p *peers) Grant(_ context.Context, member string, _ granter.Ask) (granter.Vote, error) {
	return granter.Vote{From: member, Status: p.status}, nil
}

func (p *peers) Finish(context.Context, string, claimer.Result) error { return nil }

func (p *peers) Handover(context.Context, string, string, []granter.Entry, []string) error {
	return nil
}

func newFold() fold {
	s := reducer.New()
	for i := range 3 {
		m := reducer.Member{VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, DataCentre: fmt.Sprint(i), PeerAddress: "p"}
		data, _ := reducer.Encode(reducer.Record{ID: m.VM, Join: &reducer.Join{Member: m}})
		s, _ = reducer.Fold(s, s.Offset+1, data)
	}
	return fold{s}
}

// TestAcquire checks what the registrars' votes lead to, also when the executor was paused over them.
func TestAcquire(t *testing.T) {
	cases := []struct {
		name   string
		status granter.Status
		pause  time.Duration
		want   error
	}{
		{"granted", granter.Granted, 0, nil},
		{"taken", granter.Taken, 0, claimer.ErrTaken},
		{"registrars are behind", granter.Behind, 0, claimer.ErrNoQuorum},
		{"paused while the votes were on their way", granter.Granted, time.Second, claimer.ErrNoQuorum},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &peers{now: time.Unix(0, 0), pause: c.pause, status: c.status}
			cl := &claimer.Claimer{
				Fold: newFold(), Peers: p, Self: func() string { return "other/1" },
				Retention: time.Hour, Capacity: 10,
				Clock: func() time.Time {
					p.now = p.now.Add(p.pause)
					return p.now
				},
			}
			_, _, err := cl.Acquire(context.Background(), "id", "other/1#1")
			cl.Close()
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}
