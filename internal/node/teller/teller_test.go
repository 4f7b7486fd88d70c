package teller_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/teller"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

type fold struct {
	state     *reducer.State
	confirmed bool
}

func (f *fold) State() *reducer.State             { return f.state }
func (f *fold) Confirmed() bool                   { return f.confirmed }
func (f *fold) Expired(int64, time.Duration) bool { return false }

// hold gives all slots to a member as of an offset.
func (f *fold) hold(member string, since int64) {
	next := *f.state
	for i := range next.Slots {
		next.Slots[i] = reducer.Slot{Holder: member, Since: since}
	}
	f.state = &next
}

func newTeller() (*teller.Teller, *fold) {
	rec := reducer.Record{ID: "a", Change: &reducer.Change{
		Kind: reducer.KindAccount, Name: "shop", Spec: json.RawMessage(`{"rate":100,"burst":1}`),
	}}
	data, _ := reducer.Encode(rec)
	state, _ := reducer.Fold(reducer.New(), 1, data)
	f := &fold{state: state, confirmed: true}
	f.hold("me/1", 1)
	return &teller.Teller{Fold: f, Clock: time.Now, Self: func() string { return "me/1" }}, f
}

var request = teller.Request{Account: "shop", Ask: lender.Ask{Need: 1, Want: 1}}

// TestHolding checks when a node lends from a slot and when not.
func TestHolding(t *testing.T) {
	loan := teller.Terms.Loan + teller.Terms.Margin
	all := make([]int, reducer.Slots)
	for i := range all {
		all[i] = i
	}
	cases := []struct {
		name    string
		prepare func(*teller.Teller, *fold)
		want    error
	}{
		{"waits for the former holder's loans", func(tl *teller.Teller, _ *fold) { tl.Hold() }, teller.ErrNotHolder},
		{"lends after that", func(tl *teller.Teller, _ *fold) { tl.Hold(); time.Sleep(loan) }, nil},
		{"not confirmed", func(tl *teller.Teller, f *fold) { tl.Hold(); time.Sleep(loan); f.confirmed = false }, teller.ErrNotHolder},
		{"held by another", func(tl *teller.Teller, f *fold) { tl.Hold(); time.Sleep(loan); f.hold("other/1", 2) }, teller.ErrNotHolder},
		{"closed", func(tl *teller.Teller, _ *fold) {
			tl.Hold()
			time.Sleep(loan)
			tl.Close(context.Background(), all)
		}, teller.ErrNotHolder},
		{"closed, passed on and come back", func(tl *teller.Teller, f *fold) {
			tl.Hold()
			tl.Close(context.Background(), all)
			f.hold("other/1", 2)
			tl.Hold()
			f.hold("me/1", 3)
			tl.Hold()
			time.Sleep(loan)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tl, f := newTeller()
				c.prepare(tl, f)
				tl.Hold()
				time.Sleep(20 * time.Millisecond)
				_, err := tl.Lend(request)
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
			})
		})
	}
}
