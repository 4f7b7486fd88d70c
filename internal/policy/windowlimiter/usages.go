package windowlimiter

import (
	"math"
	"time"
)

// UnreportedUsages returns this node's report on the accounts of which the other nodes need one soon.
func (l *Limiter) UnreportedUsages(now time.Duration) map[string]Usage {
	return l.report(now, func(a *account, u Usage) bool { return l.needsReport(now, a, u) })
}

// Usages returns this node's report on the accounts that were used within the window or since the latest report.
func (l *Limiter) Usages(now time.Duration) map[string]Usage {
	return l.report(now, func(a *account, u Usage) bool {
		return u.Admitted > 0 || u.Demand > minDemand || a.reported.Admitted > 0
	})
}

// report returns the usages of the chosen accounts and records that they are reported.
func (l *Limiter) report(now time.Duration, choose func(*account, Usage) bool) map[string]Usage {
	out := map[string]Usage{}
	for name := range l.accounts {
		a := l.current(now, name)
		u := Usage{Admitted: a.admitted(), Demand: a.demand}
		if choose(a, u) {
			a.reported = u
			out[name] = u
		}
	}
	return out
}

// needsReport reports whether the fleet would use the account much differently from what it knows if all nodes differed
// from their latest reports as much as this one does.
func (l *Limiter) needsReport(now time.Duration, a *account, u Usage) bool {
	if a.windowLimit <= 0 {
		return false
	}
	nodes := float64(max(l.nodes, 1))
	if math.Abs(u.Admitted-a.reported.Admitted)*nodes > unreportedUse*a.windowLimit+unreportedExtra {
		return true
	}
	rate := a.windowLimit / l.Window.Seconds()
	// In the first window, a node admits only its share of the demand.
	nearLimit := now-l.Started < l.Window || a.used > unthrottledShare*a.windowLimit || max(a.fleetDemand, u.Demand*nodes) > rate
	return nearLimit && math.Abs(u.Demand-a.reported.Demand)*nodes > unreportedDemand*rate
}
