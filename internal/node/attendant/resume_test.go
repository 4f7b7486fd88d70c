package attendant

import (
	"context"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// TestResume guards against a node that was suspended during an evacuation and sends to its target when it resumes, before
// it has asked other nodes, and against one that stops serving because nobody can tell it more.
func TestResume(t *testing.T) {
	a := &Attendant{Settings: platform.Settings{DataCentre: "a", Bounds: platform.Bounds{Evacuate: 5 * time.Second}}}
	a.evacuations = &keeper.Evacuations{}
	a.poller = &adviser.Poller{
		Keeper: &keeper.Keeper{}, Tracker: &tracker.Tracker{}, Evacuations: a.evacuations, PollEvacuationsAfter: 2500 * time.Millisecond,
		PollAfter: time.Hour * 1e4,
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a.poller.Run(ctx)
	assert.Equal(t, a.withholdReason(), executor.ReasonEvacuationsUnknown, "nothing read since the start")
	a.poller = &adviser.Poller{Keeper: a.poller.Keeper, Tracker: a.poller.Tracker, PollEvacuationsAfter: a.poller.PollEvacuationsAfter, PollAfter: a.poller.PollAfter}
	now := timekeeper.SinceBoot()
	a.evacuations.Confirm(now, now-2*time.Second)
	assert.Equal(t, a.withholdReason(), "")
	a.evacuations = &keeper.Evacuations{}
	a.poller.Evacuations = a.evacuations
	a.evacuations.Confirm(now, now-6*time.Second)
	assert.Equal(t, a.withholdReason(), executor.ReasonEvacuationsUnknown, "resumed after 6 s")
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a.poller.Run(ctx)
	assert.Equal(t, a.withholdReason(), "", "nobody to ask")
	a.evacuations.Adopt(now, now-time.Second, []evacuator.Evacuation{{DataCentre: "a"}})
	assert.Equal(t, a.withholdReason(), executor.ReasonEvacuated)
}
