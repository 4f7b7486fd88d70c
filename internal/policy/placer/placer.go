// Package placer selects the target that runs a request.
package placer

import "time"

// Candidate is a target as seen by the entry node.
type Candidate struct {
	Node       string
	DataCentre string
	// SameDataCentre reports whether the target is in the entry node's data centre, SameVM whether it is on the
	// entry node's VM.
	SameDataCentre bool
	SameVM         bool
	// Running and Waiting count the requests at the target. Running includes those on their way to it.
	Running int
	Waiting int
	Limit   int
	// HoldTime is the time for which a request of this route holds a slot; 0 if unknown.
	HoldTime time.Duration
	// InFlight counts the requests that this node has in flight at the target, Late those of them that have run for longer
	// than expected.
	InFlight int
	Late     int
	// FailureRate is the share of failed requests among the target's most recent ones.
	FailureRate float64
	// WarmingUp is true while the target warms up and is slow.
	WarmingUp bool
	// Suspect is true if the target is down or was unreachable, or if its node refused a request or sent no
	// reports recently.
	Suspect bool
}

const (
	// defaultHoldTime replaces the hold time of a target without samples.
	defaultHoldTime = 50 * time.Millisecond
	// congestionThreshold is the load per slot up to which a request finds a free slot at once.
	congestionThreshold = 0.8
	// congestionFactor is the increase of the expected time per unit of load above congestionThreshold, in hold
	// times.
	congestionFactor = 6.0
	// congestionPenalty is added per unit of load above congestionThreshold, regardless of the hold time. Without
	// it, a fast target is filled to the last slot while slower ones, or those in other data centres, are idle.
	congestionPenalty = 600 * time.Millisecond
	// crossDataCentrePenalty is the cost of a target in another data centre. Answers sent between data
	// centres are billed, and each child call incurs the round trip a second time. At 60 ms, requests left the
	// data centre as soon as a local target had a tenth more load than others.
	crossDataCentrePenalty = 130 * time.Millisecond
	// thirdPenalty is added in a data centre that is neither the selected nor the own one.
	thirdPenalty = 20 * time.Millisecond
	// sameVMDiscount is the time saved by a request that stays on its VM.
	sameVMDiscount = 3 * time.Millisecond
	// coldStartFactor is the slowdown of a target that has just started. It is high enough for a request with a
	// hold time of 100 ms to leave the data centre.
	coldStartFactor = 2.5
	// failureFactor is the cost, in hold times, of a target whose requests all fail.
	failureFactor = 8.0
	// latePenalty is added for each late request in flight. It outweighs the load of a target that is full, so that a
	// target which has become slow is tried by one request of each node at a time.
	latePenalty = 300 * time.Millisecond
	// failingPenalty is added in a data centre whose targets fail together. A target elsewhere is preferred unless it is
	// overloaded by half.
	failingPenalty = 400 * time.Millisecond
	// failingRate is the failure rate from which a target counts as failing.
	failingRate = 0.3
)

// Preference tells where a request should run.
type Preference struct {
	// DataCentre is the data centre selected for the request, or empty for the entry node's own.
	DataCentre string
	// Failing is a data centre whose targets fail together, or empty.
	Failing string
}

// distance returns the cost of the candidate's place. The fallback from the selected data centre is the entry node's own,
// then any. A target that warms up is never preferred because its data centre was selected.
func (c *Candidate) distance(p Preference) time.Duration {
	cost := time.Duration(0)
	if p.Failing != "" && c.DataCentre == p.Failing {
		cost = failingPenalty
	}
	switch {
	case p.DataCentre == "" && !c.SameDataCentre:
		cost += crossDataCentrePenalty
	case p.DataCentre == "" || (c.DataCentre == p.DataCentre && !c.WarmingUp):
	case c.SameDataCentre:
		cost += crossDataCentrePenalty
	default:
		cost += crossDataCentrePenalty + thirdPenalty
	}
	return cost
}

// FailTogether reports whether the targets of a data centre fail together: at least two of them, and half of those known.
// list holds the remaining candidates, and failed is the number of targets there that the request was tried on in vain.
func FailTogether(list []Candidate, dataCentre string, failed int) bool {
	total := failed
	for i := range list {
		c := &list[i]
		if c.DataCentre != dataCentre {
			continue
		}
		total++
		if c.Suspect || c.FailureRate >= failingRate {
			failed++
		}
	}
	return failed >= 2 && 2*failed >= total
}

// cost returns the expected response time of the candidate plus its penalties, except that of its place.
func (c *Candidate) cost() time.Duration {
	holdTime := c.HoldTime
	if holdTime <= 0 {
		holdTime = defaultHoldTime
	}
	factor := 1 + failureFactor*c.FailureRate
	if c.WarmingUp {
		factor *= coldStartFactor
	}
	load := float64(c.Running+c.Waiting+1) / float64(max(c.Limit, 1))
	cost := time.Duration(0)
	if load > congestionThreshold {
		factor += congestionFactor * (load - congestionThreshold)
		cost = time.Duration((load - congestionThreshold) * float64(congestionPenalty))
	}
	cost += time.Duration(factor*float64(holdTime)) + time.Duration(c.Late)*latePenalty
	if c.SameVM {
		cost -= sameVMDiscount
	}
	return cost
}

// Choose returns the index of the candidate with the lowest cost, or -1 if the list is empty. Suspect targets
// are chosen only if there is no other.
func Choose(list []Candidate, p Preference) int {
	if i := cheapest(list, p, false); i >= 0 {
		return i
	}
	return cheapest(list, p, true)
}

func cheapest(list []Candidate, p Preference, suspect bool) int {
	best := -1
	var minCost time.Duration
	for i := range list {
		if list[i].Suspect != suspect {
			continue
		}
		if cost := list[i].cost() + list[i].distance(p); best < 0 || cost < minCost {
			best = i
			minCost = cost
		}
	}
	return best
}

// ChooseSampled returns the cheapest of two candidates of the selected data centre that are drawn with a probability in
// proportion to their free capacity, of the one on the entry node's VM, and of all in other data centres. It replaces
// Choose in large fleets, where many nodes choose between two reports of a target. random holds two numbers in [0, 1).
func ChooseSampled(list []Candidate, p Preference, random [2]float64) int {
	total := 0.0
	for i := range list {
		total += list[i].weight(p)
	}
	if total <= 0 {
		return Choose(list, p)
	}
	draws := [2]int{drawn(list, p, random[0]*total), drawn(list, p, random[1]*total)}
	best := -1
	var minCost time.Duration
	for i := range list {
		c := &list[i]
		if i != draws[0] && i != draws[1] && (c.Suspect || (!c.SameVM && c.distance(p) == 0)) {
			continue
		}
		if cost := c.cost() + c.distance(p); best < 0 || cost < minCost {
			best = i
			minCost = cost
		}
	}
	return best
}

// drawn returns the candidate at which the sum of the weights exceeds r.
func drawn(list []Candidate, p Preference, r float64) int {
	last := -1
	for i := range list {
		w := list[i].weight(p)
		if w <= 0 {
			continue
		}
		last = i
		if r -= w; r < 0 {
			break
		}
	}
	return last
}

// weight returns the free capacity of a candidate of the selected data centre, in requests per second, or 0.
func (c *Candidate) weight(p Preference) float64 {
	free := c.Limit - c.Running - c.Waiting
	if c.Suspect || free <= 0 || c.distance(p) > 0 {
		return 0
	}
	holdTime := c.HoldTime
	if holdTime <= 0 {
		holdTime = defaultHoldTime
	}
	return float64(free) / holdTime.Seconds()
}
