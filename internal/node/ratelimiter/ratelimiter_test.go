package ratelimiter_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/ratelimiter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

type fakeView struct {
	state     *reducer.State
	confirmed bool
}

func (f *fakeView) State() *reducer.State             { return f.state }
func (f *fakeView) Confirmed() bool                   { return f.confirmed }
func (f *fakeView) Expired(int64, time.Duration) bool { return false }

// assign assigns all slots to a member; since is the offset of the assignment.
func (f *fakeView) assign(member string, since int64) {
	next := *f.state
	for i := range next.RateSlots {
		next.RateSlots[i] = reducer.RateSlot{Holder: member, Since: since}
	}
	f.state = &next
}

func newLimiter() (*ratelimiter.Limiter, *fakeView) {
	rec := reducer.Record{ID: "a", Change: &reducer.Change{
		Kind: reducer.KindAccount, Name: "shop", Spec: json.RawMessage(`{"rate":100,"burst":1}`),
	}}
	data, _ := reducer.Encode(rec)
	state, _ := reducer.Fold(reducer.New(), 1, data)
	f := &fakeView{state: state, confirmed: true}
	f.assign("me/1", 1)
	return &ratelimiter.Limiter{View: f, Clock: time.Now, Self: func() string { return "me/1" }}, f
}

var request = ratelimiter.Request{Account: "shop", LoanRequest: lender.LoanRequest{Need: 1, Want: 1}}

// TestLend checks when a node may lend from a slot. Lending before the previous holder's loans have
// expired, or from a slot that is not held, would exceed the rate of the client account.
func TestLend(t *testing.T) {
	lifetime := ratelimiter.Terms.LoanTTL + ratelimiter.Terms.ClockMargin
	allSlots := make([]int, reducer.RateSlotCount)
	for i := range allSlots {
		allSlots[i] = i
	}
	cases := []struct {
		name    string
		prepare func(*ratelimiter.Limiter, *fakeView)
		want    error
	}{
		{"waits for the former holder's loans", func(l *ratelimiter.Limiter, _ *fakeView) { l.SyncSlots() }, ratelimiter.ErrNotHolder},
		{"lends after that", func(l *ratelimiter.Limiter, _ *fakeView) { l.SyncSlots(); time.Sleep(lifetime) }, nil},
		{"not confirmed", func(l *ratelimiter.Limiter, f *fakeView) { l.SyncSlots(); time.Sleep(lifetime); f.confirmed = false }, ratelimiter.ErrNotHolder},
		{"held by another", func(l *ratelimiter.Limiter, f *fakeView) {
			l.SyncSlots()
			time.Sleep(lifetime)
			f.assign("other/1", 2)
		}, ratelimiter.ErrNotHolder},
		{"closed", func(l *ratelimiter.Limiter, _ *fakeView) {
			l.SyncSlots()
			time.Sleep(lifetime)
			l.CloseSlots(context.Background(), allSlots)
		}, ratelimiter.ErrNotHolder},
		{"closed, passed on and come back", func(l *ratelimiter.Limiter, f *fakeView) {
			l.SyncSlots()
			l.CloseSlots(context.Background(), allSlots)
			f.assign("other/1", 2)
			l.SyncSlots()
			f.assign("me/1", 3)
			l.SyncSlots()
			time.Sleep(lifetime)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, f := newLimiter()
				c.prepare(l, f)
				l.SyncSlots()
				time.Sleep(20 * time.Millisecond)
				_, err := l.Lend(request)
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
			})
		})
	}
}
