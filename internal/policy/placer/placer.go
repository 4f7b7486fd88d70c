// Package placer chooses the target that is to run a request.
package placer

import "time"

// Candidate is a target as the entry sees it.
type Candidate struct {
	Node string
	// Near says that the target is in the entry's data centre, Beside that it is on the entry's VM.
	Near   bool
	Beside bool
	// Running and Waiting are the requests at the target, with those under way to it.
	Running int
	Waiting int
	Limit   int
	// Hold is how long a request of this route holds a slot there; 0 where that is not known.
	Hold time.Duration
	// Failing is the share of its latest runs that failed.
	Failing float64
	// Cold says that the target has just started and is slow.
	Cold bool
	// Avoid says that the target was found unreachable or silent of late.
	Avoid bool
}

const (
	// unknownHold stands for the hold time of a target without samples.
	unknownHold = 50 * time.Millisecond
	// easyLoad is the load up to which a request finds a free slot at once.
	easyLoad = 0.8
	// crowding is the growth of the expected time per load above easyLoad, in hold times.
	crowding = 6.0
	// crowdTime is added per load above easyLoad whatever the hold time: a fast target is else filled to the
	// last slot while slower ones, or those in other data centres, are idle.
	crowdTime = 600 * time.Millisecond
	// farPenalty is what a request is worth to keep in its data centre: answers that cross data centres are
	// paid for, and the round trip comes twice with each call below. At 60 ms a near target with a tenth more
	// load than others already sent requests away.
	farPenalty = 130 * time.Millisecond
	// besidePremium is saved by a request that does not leave its VM.
	besidePremium = 3 * time.Millisecond
	// coldFactor is how much slower a target is that has just started; high enough to leave the data centre for a
	// request of 100 ms.
	coldFactor = 2.5
	// failurePenalty is the price of a certain failure in hold times.
	failurePenalty = 8.0
)

// cost estimates the time until the target would answer, with what else speaks against it.
func (c *Candidate) cost() time.Duration {
	hold := c.Hold
	if hold <= 0 {
		hold = unknownHold
	}
	factor := 1 + failurePenalty*c.Failing
	if c.Cold {
		factor *= coldFactor
	}
	load := float64(c.Running+c.Waiting+1) / float64(max(c.Limit, 1))
	cost := time.Duration(0)
	if load > easyLoad {
		factor += crowding * (load - easyLoad)
		cost = time.Duration((load - easyLoad) * float64(crowdTime))
	}
	cost += time.Duration(factor * float64(hold))
	switch {
	case c.Beside:
		cost -= besidePremium
	case !c.Near:
		cost += farPenalty
	}
	return cost
}

// Choose returns the index of the cheapest candidate, or -1 where there is none. Targets to avoid are taken
// only where there is no other.
func Choose(list []Candidate) int {
	if i := cheapest(list, false); i >= 0 {
		return i
	}
	return cheapest(list, true)
}

func cheapest(list []Candidate, avoided bool) int {
	best := -1
	var least time.Duration
	for i := range list {
		if list[i].Avoid != avoided {
			continue
		}
		if cost := list[i].cost(); best < 0 || cost < least {
			best = i
			least = cost
		}
	}
	return best
}
