package adviser_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"gotest.tools/v3/assert"
)

func decode(raw []byte) (matcher.Config, error) {
	var c matcher.Config
	_, err := fmt.Sscanf(string(raw), "v%d", &c.Version)
	return c, err
}

func newKeeper(t *testing.T, version string, age time.Duration) *keeper.Keeper {
	t.Helper()
	k := &keeper.Keeper{Decode: decode}
	if version != "" {
		_, _, err := k.Apply([]byte(version))
		assert.NilError(t, err)
	}
	k.Confirm(timekeeper.SinceBoot() - age)
	return k
}

// replyTimes records when the latest reply arrived.
type replyTimes struct {
	http.RoundTripper
	latest atomic.Int64
}

func (r *replyTimes) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := r.RoundTripper.RoundTrip(req)
	if err == nil {
		r.latest.Store(int64(timekeeper.SinceBoot()))
	}
	return resp, err
}

// TestAgeFromPeer checks what a node without access to the store adopts from a peer. It adopts a newer version,
// and a lower age of the same version, but never an age below the peer's. A peer with an older version changes
// nothing. The ages are those at the start of the test, and the node asks until it has adopted something or, if nothing
// is to be adopted, until it has handled a reply, so that a slow machine changes neither.
func TestAgeFromPeer(t *testing.T) {
	for _, c := range []struct {
		name           string
		own, other     string
		otherAge       time.Duration
		version        uint64
		minAge, maxAge time.Duration
	}{
		{"newer version", "v1", "v3", time.Second, 3, time.Second, 3 * time.Second},
		{"same version, younger", "v3", "v3", time.Second, 3, time.Second, 3 * time.Second},
		{"same version, as old", "v3", "v3", time.Minute, 3, 20 * time.Second, time.Hour},
		{"older version", "v3", "v1", 0, 3, 20 * time.Second, time.Hour},
		{"none there", "v3", "", 0, 3, 20 * time.Second, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			own, other := newKeeper(t, c.own, 20*time.Second), newKeeper(t, c.other, c.otherAge)
			startedAt := timekeeper.SinceBoot()
			before := own.Age(0)
			server := httptest.NewServer((&adviser.Server{Keeper: other}).Handler())
			defer server.Close()
			tr := &tracker.Tracker{Self: "own", ReportTimeout: time.Minute}
			tr.SetMember(tracker.Member{Node: "other", ControlAddress: strings.TrimPrefix(server.URL, "http://")})
			client := adviser.NewHTTPClient()
			replies := &replyTimes{RoundTripper: client.Transport}
			client.Transport = replies
			p := &adviser.Poller{
				Keeper: own, Tracker: tr, HTTP: client, PollAfter: 3 * time.Second,
				Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			adopts := c.maxAge < 20*time.Second
			go func() {
				defer cancel()
				for ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
					reply := time.Duration(replies.latest.Load())
					if adopted := own.Age(0) != before; adopted || (!adopts && reply > 0 && p.PolledAt() > reply) {
						return
					}
				}
			}()
			p.Run(ctx)
			assert.Assert(t, replies.latest.Load() > 0, "no reply")
			_, version := own.Record()
			assert.Equal(t, version, c.version)
			age := own.Age(startedAt)
			assert.Assert(t, age >= c.minAge && age < c.maxAge, "age %v", age)
		})
	}
}

// TestWake checks that a node whose configuration is recent asks its peers when it is woken, because the store may have
// lost a version that only they have.
func TestWake(t *testing.T) {
	own := newKeeper(t, "v3", 0)
	server := httptest.NewServer((&adviser.Server{Keeper: newKeeper(t, "v4", time.Second)}).Handler())
	defer server.Close()
	tr := &tracker.Tracker{Self: "own", ReportTimeout: time.Minute}
	tr.SetMember(tracker.Member{Node: "other", ControlAddress: strings.TrimPrefix(server.URL, "http://")})
	wake := make(chan struct{}, 1)
	p := &adviser.Poller{
		Keeper: own, Tracker: tr, HTTP: adviser.NewHTTPClient(), PollAfter: time.Minute, Wake: wake,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	wake <- struct{}{}
	p.Run(ctx)
	_, version := own.Record()
	assert.Equal(t, version, uint64(4))
}

// TestEndlessReplies checks that a reply of a peer whose bytes never end is given up within bounded time and memory.
func TestEndlessReplies(t *testing.T) {
	for _, fault := range []responder.Fault{
		responder.EndlessStatus, responder.EndlessHeader, responder.EndlessHeaders, responder.EndlessInterim,
		responder.EndlessChunks, responder.EndlessUnframed, responder.EndlessTrailer,
	} {
		t.Run(string(fault), func(t *testing.T) {
			peer := &responder.Responder{}
			address, err := peer.Open()
			assert.NilError(t, err)
			defer peer.Close()
			peer.SetFault(fault)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = adviser.NewAdviserProtobufClient("http://"+address, adviser.NewHTTPClient()).Advise(ctx, &adviser.AdviseRequest{})
			assert.Assert(t, err != nil)
			time.Sleep(200 * time.Millisecond)
			assert.Assert(t, peer.SentBytes() < 8<<20, "%d bytes sent", peer.SentBytes())
		})
	}
}
