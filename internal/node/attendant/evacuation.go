package attendant

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

const (
	// evacuationGoalShare is the share of the evacuation bound within which an evacuation should be in force everywhere.
	// Above that age of its knowledge, a node asks others.
	evacuationGoalShare = 0.5
	// evacuationAskShare is the share of the evacuation bound above which a node whose knowledge is that old must have
	// asked other nodes before it sends to its target. Only a node that was suspended or got no processor time for that
	// long has not asked.
	evacuationAskShare = 0.9
	// minNeighbourAge is the least maximum age of what a neighbour has read. Two reads of the store take 1.4 s, and a
	// lower maximum would make all nodes read the store.
	minNeighbourAge = 1500 * time.Millisecond
)

// buildEvacuations creates what keeps requests from the targets of evacuated data centres, if the settings ask for it.
func (a *Attendant) buildEvacuations() {
	a.Metrics.NewGauge("evacuated_data_centres", func() float64 { return float64(len(a.evacuations.Evacuated())) })
	if a.Settings.Bounds.Evacuate <= 0 {
		return
	}
	a.evacuations = &keeper.Evacuations{OnChange: a.handleEvacuation}
	a.tracker.Evacuated = a.evacuations.Evacuated
	a.executor.Withhold = a.withholdReason
}

// maxNeighbourAge returns the maximum age of the records of the configuration's topic that a neighbour has read.
func (a *Attendant) maxNeighbourAge() time.Duration {
	bounds := &a.Settings.Bounds
	limit := scale(bounds.KeyRevocation, neighbourConfigShare)
	if bounds.Evacuate > 0 {
		limit = min(limit, max(scale(bounds.Evacuate, neighbourConfigShare), minNeighbourAge))
	}
	return limit
}

// isEvacuated reports whether the data centre of this node is evacuated.
func (a *Attendant) isEvacuated() bool {
	return a.evacuations.Evacuated()[a.Settings.DataCentre]
}

// withholdReason returns why this node's target gets no requests because of evacuations, or "" if it does.
func (a *Attendant) withholdReason() string {
	switch {
	case a.isEvacuated():
		return executor.ReasonEvacuated
	case !a.evacuations.Known() || a.mustAskEvacuations(timekeeper.SinceBoot()):
		return executor.ReasonEvacuationsUnknown
	default:
		return ""
	}
}

// mustAskEvacuations reports whether what this node knows is so old that an evacuation may have been in force for its whole
// bound, and no other node has been asked meanwhile. Once they have been asked, a node that lacks updates goes on.
func (a *Attendant) mustAskEvacuations(now time.Duration) bool {
	limit := scale(a.Settings.Bounds.Evacuate, evacuationAskShare)
	return a.evacuations.Age(now) > limit && now-a.poller.PolledAt() > limit
}

// handleEvacuation logs the begin or the end of an evacuation and prepares this node's target for it.
func (a *Attendant) handleEvacuation(c evacuator.Change) {
	own := c.DataCentre == a.Settings.DataCentre
	message := "evacuation of data centre lifted"
	if c.Evacuated {
		message = "data centre evacuated"
	}
	a.Log.Info().Str("data-centre", c.DataCentre).Int64("offset", c.Offset).Bool("own", own).Msg(message)
	switch {
	case !own:
	case c.Evacuated:
		a.executor.RefuseQueued()
	case a.OnEvacuationEnd != nil:
		a.OnEvacuationEnd()
	}
}
