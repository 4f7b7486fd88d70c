package windowlimiter

import "time"

// idleDemand is the demand of all nodes below which an account counts as idle, in requests per second.
const idleDemand = 0.02

// Demands returns the known demand of each account at all nodes that are heard, in requests per second. Accounts without
// demand are left out.
func (l *Limiter) Demands(now time.Duration) map[string]float64 {
	demands := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		a.advance(now, l.Window)
		demand := a.demand
		for i := range min(len(a.reports), len(l.others)) {
			if o, r := &l.others[i], &a.reports[i]; !o.silent && r.at >= o.completeAt {
				demand += r.Demand
			}
		}
		if demand >= idleDemand {
			demands[name] = demand
		}
	}
	return demands
}
