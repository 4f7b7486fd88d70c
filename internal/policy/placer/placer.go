// Package placer selects the target that runs a request.
package placer

import "time"

// Candidate is a target as seen by the entry node.
type Candidate struct {
	Node string
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
	// sameVMDiscount is the time saved by a request that stays on its VM.
	sameVMDiscount = 3 * time.Millisecond
	// coldStartFactor is the slowdown of a target that has just started. It is high enough for a request with a
	// hold time of 100 ms to leave the data centre.
	coldStartFactor = 2.5
	// failureFactor is the cost, in hold times, of a target whose requests all fail.
	failureFactor = 8.0
)

// cost returns the expected response time of the candidate plus its penalties.
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
	cost += time.Duration(factor * float64(holdTime))
	switch {
	case c.SameVM:
		cost -= sameVMDiscount
	case !c.SameDataCentre:
		cost += crossDataCentrePenalty
	}
	return cost
}

// Choose returns the index of the candidate with the lowest cost, or -1 if the list is empty. Suspect targets
// are chosen only if there is no other.
func Choose(list []Candidate) int {
	if i := cheapest(list, false); i >= 0 {
		return i
	}
	return cheapest(list, true)
}

func cheapest(list []Candidate, suspect bool) int {
	best := -1
	var minCost time.Duration
	for i := range list {
		if list[i].Suspect != suspect {
			continue
		}
		if cost := list[i].cost(); best < 0 || cost < minCost {
			best = i
			minCost = cost
		}
	}
	return best
}
