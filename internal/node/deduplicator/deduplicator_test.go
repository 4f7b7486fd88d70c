package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
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

// groupPeers votes by member and records the members that are asked and told.
type groupPeers struct {
	mu    sync.Mutex
	votes map[string]granter.Vote
	asked []string
	told  []deduplicator.Result
}

func (p *groupPeers) Grant(_ context.Context, member string, _ granter.GrantRequest) (granter.Vote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, member)
	v := p.votes[member]
	v.From = member
	return v, nil
}

func (p *groupPeers) Finish(_ context.Context, _ string, res deduplicator.Result) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = append(p.told, res)
	return nil
}

func (p *groupPeers) Handover(context.Context, string, string, []granter.Entry, []string) error {
	return nil
}

// TestFormerGroup checks in which order an ID is requested from the present group and from a former one. Executors
// that ask at the same moment must not block each other, and an answer that only a former group knows must reach the
// present group.
func TestFormerGroup(t *testing.T) {
	view := newFakeView()
	data, _ := reducer.Encode(reducer.Record{ID: "vm-9", Join: &reducer.Join{Member: reducer.Member{VM: "vm-9", Incarnation: 1, DataCentre: "0", PeerAddress: "p"}}})
	view.state, _ = reducer.Fold(view.state, view.state.Offset+1, data)
	id := ""
	for i := 0; id == ""; i++ {
		if len(view.state.Shards[reducer.ShardOf(fmt.Sprint(i))].Past) > 0 {
			id = fmt.Sprint(i)
		}
	}
	shard := view.state.Shards[reducer.ShardOf(id)]
	former := slices.DeleteFunc(slices.Clone(shard.Past[0].Group), func(m string) bool { return slices.Contains(shard.Group, m) })
	assert.Equal(t, len(former), 1)
	answer := granter.Answer{Status: 201}
	cases := []struct {
		name            string
		present, former granter.Vote
		askedFormer     bool
		want            error
	}{
		{"granted by both", granter.Vote{Status: granter.Granted}, granter.Vote{Status: granter.Granted}, true, nil},
		{"answered in the former group", granter.Vote{Status: granter.Granted}, granter.Vote{Status: granter.Finished, Answer: answer}, true, nil},
		{"taken in the present group", granter.Vote{Status: granter.Taken}, granter.Vote{Status: granter.Granted}, false, deduplicator.ErrTaken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &groupPeers{votes: map[string]granter.Vote{former[0]: c.former}}
			for _, m := range shard.Group {
				p.votes[m] = c.present
			}
			d := &deduplicator.Deduplicator{
				View: view, Peers: p, Self: func() string { return "other/1" }, Clock: time.Now,
				Retention: time.Hour, Capacity: 10,
			}
			got, replay, err := d.Acquire(context.Background(), id, "other/1#1")
			d.Close()
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, slices.Contains(p.asked, former[0]), c.askedFormer)
			if !replay {
				return
			}
			assert.Equal(t, got.Status, answer.Status)
			assert.Assert(t, slices.ContainsFunc(p.told, func(r deduplicator.Result) bool { return r.Answer.Status == answer.Status }), "%v", p.told)
		})
	}
}
