package adviser_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"gotest.tools/v3/assert"
)

// knowledge returns a function that creates the knowledge of a node that was proven the given time before the call, or
// never if it is negative.
func knowledge(age time.Duration, dataCentres ...string) func() *keeper.Evacuations {
	return func() *keeper.Evacuations { return newEvacuations(age, dataCentres...) }
}

func newEvacuations(age time.Duration, dataCentres ...string) *keeper.Evacuations {
	e := &keeper.Evacuations{}
	at := timekeeper.SinceBoot() - max(age, 0)
	for i, name := range dataCentres {
		e.Apply(at, evacuator.Evacuation{DataCentre: name, Offset: int64(i)}, true)
	}
	if age >= 0 {
		e.Confirm(at, at)
	}
	return e
}

// TestEvacuationsFromPeer checks what a node whose knowledge is too old adopts from another node within half of the goal:
// the list with its age if it is more recent, and nothing from a node that has no proof or is of an earlier version. A
// node that was suspended is in this situation when it resumes, because suspensions count.
func TestEvacuationsFromPeer(t *testing.T) {
	const recent = 2400 * time.Millisecond
	for _, c := range []struct {
		name       string
		own, other func() *keeper.Evacuations
		evacuated  string
		minAge     time.Duration
		maxAge     time.Duration
	}{
		{"evacuated meanwhile", knowledge(9 * time.Second), knowledge(time.Second, "a"), "a", time.Second, 3 * time.Second},
		{"lifted meanwhile", knowledge(9*time.Second, "a"), knowledge(time.Second), "", time.Second, 3 * time.Second},
		{"other as old", knowledge(9*time.Second, "a"), knowledge(20 * time.Second), "a", 9 * time.Second, time.Minute},
		{"other without proof", knowledge(9*time.Second, "a"), knowledge(-1), "a", 9 * time.Second, time.Minute},
		{"other of an earlier version", knowledge(9*time.Second, "a"), func() *keeper.Evacuations { return nil }, "a", 9 * time.Second, time.Minute},
		{"recent enough", knowledge(500 * time.Millisecond), knowledge(0, "a"), "", 500 * time.Millisecond, recent},
	} {
		t.Run(c.name, func(t *testing.T) {
			own := c.own()
			server := httptest.NewServer((&adviser.Server{Keeper: newKeeper(t, "v1", 0), Evacuations: c.other()}).Handler())
			defer server.Close()
			tr := &tracker.Tracker{Self: "own", ReportTimeout: time.Minute}
			tr.SetMember(tracker.Member{Node: "other", ControlAddress: strings.TrimPrefix(server.URL, "http://")})
			p := &adviser.Poller{
				Keeper: newKeeper(t, "v1", 0), Tracker: tr, HTTP: adviser.NewHTTPClient(), PollAfter: time.Minute,
				Evacuations: own, PollEvacuationsAfter: 2500 * time.Millisecond,
				Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			}
			ctx, cancel := context.WithTimeout(context.Background(), 1250*time.Millisecond)
			defer cancel()
			go func() {
				for p.PolledAt() == 0 && ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				cancel()
			}()
			p.Run(ctx)
			list := ""
			for name := range own.Evacuated() {
				list += name
			}
			assert.Equal(t, list, c.evacuated)
			age := own.Age(timekeeper.SinceBoot())
			assert.Assert(t, age >= c.minAge && age < c.maxAge, "age %v", age)
			assert.Equal(t, p.PolledAt() > 0, c.maxAge != recent)
		})
	}
}
