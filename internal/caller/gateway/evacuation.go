package gateway

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

// evacuatedRetryAfter is the retry delay suggested if all targets are in evacuated data centres. An evacuation lasts
// for longer, but callers do not honour a delay beyond a third of their remaining time.
const evacuatedRetryAfter = time.Second

// onlyEvacuated reports whether the targets of all services of the route are in evacuated data centres.
func (g *Gateway) onlyEvacuated(r *matcher.Route) bool {
	for i := range r.Parts {
		if !g.Tracker.OnlyEvacuated(r.Parts[i].Service) {
			return false
		}
	}
	return len(r.Parts) > 0
}

// notRunReason returns the reason for which a request that has not run is refused, given that of its last placement.
func (g *Gateway) notRunReason(q *request, last string) string {
	if last == reasonNoTarget && g.Tracker.OnlyEvacuated(q.service) {
		return executor.ReasonEvacuated
	}
	return last
}
