package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

// checkQuarantine refuses a request that is withheld from all targets.
func (g *Gateway) checkQuarantine(q *request) *refusal {
	level := g.level(q)
	q.trial = level >= quarantiner.Trial
	if level == quarantiner.Quarantined && !g.hasTrialTarget(q) {
		return &refusal{http.StatusServiceUnavailable, executor.ReasonQuarantined, maxRetryAfter}
	}
	return nil
}

// level returns how the request may be run by a target whose version is not known.
func (g *Gateway) level(q *request) quarantiner.Level {
	if g.Isolator == nil || !g.Isolator.Active() {
		return quarantiner.Free
	}
	if q.signature == (quarantiner.Signature{}) {
		q.signature = g.job(q, &tracker.Member{}).Signature()
	}
	return g.Isolator.Level(q.signature, "")
}

// hasTrialTarget reports whether a target of the service has a version that may try the request.
func (g *Gateway) hasTrialTarget(q *request) bool {
	for _, c := range g.Tracker.Candidates(nil, time.Now(), q.service, q.route.Name, nil) {
		if g.mayTry(q, c.Node) {
			return true
		}
	}
	return false
}

// mayTry reports whether the target beside a node may try the request.
func (g *Gateway) mayTry(q *request, node string) bool {
	m, ok := g.Tracker.Member(node)
	return ok && g.Isolator.Level(q.signature, m.Version) < quarantiner.Quarantined
}

// chooseTrial returns the position of the target that tries the request, which is the same on all nodes that know the same
// targets, or -1 if there is none.
func (g *Gateway) chooseTrial(q *request, list []placer.Candidate) int {
	var names []string
	for _, c := range list {
		if !c.Suspect && g.mayTry(q, c.Node) {
			names = append(names, c.Node)
		}
	}
	ranked := elector.Rank(q.signature.String(), names)
	if len(ranked) == 0 {
		return -1
	}
	return slices.IndexFunc(list, func(c placer.Candidate) bool { return c.Node == ranked[0] })
}
