package checker

import (
	"fmt"
	"time"
)

const (
	// limitWindow, limitExcess and limitSlack are the window in which requests are counted against a target's limit,
	// the tolerated factor and the requests tolerated in addition.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// toldDelay is the time after which a node must act on what an answer said that it passed on.
	toldDelay = 500 * time.Millisecond
)

// told identifies what a node has passed on from a target.
type told struct {
	node     int
	instance string
	leaving  bool
}

// targetRecords hold what targets said in their answers and which requests reached them.
type targetRecords struct {
	// told holds the first time at which a node passed on a statement since it was last disturbed.
	told     map[told]time.Time
	limits   map[string][]namedLimit
	arrivals map[string][]arrival
	late     []Finding
}

// namedLimit is a limit in requests per second that a target named from at on; 0 if it named none.
type namedLimit struct {
	limit float64
	at    time.Time
}

type arrival struct {
	at time.Time
	// told reports whether the node where the request began knew the target's limit.
	told bool
}

// RecordTold records that a client received an answer of the instance through the node, with what it says.
func (c *Checker) RecordTold(node int, instance string, limited, leaving bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets.told == nil {
		c.targets.told = map[told]time.Time{}
	}
	for key, said := range map[told]bool{{node, instance, false}: limited, {node, instance, true}: leaving} {
		if _, ok := c.targets.told[key]; said && !ok {
			c.targets.told[key] = at
		}
	}
}

// RecordDisturbance records that a node was stopped, started, frozen, woken or cut off, so that it may have missed or
// forgotten what it had passed on.
func (c *Checker) RecordDisturbance(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordNodeDisturbance(node)
	for key := range c.targets.told {
		if key.node == node {
			delete(c.targets.told, key)
		}
	}
}

// RecordLimit records the limit that an instance names from now on, or 0.
func (c *Checker) RecordLimit(instance string, limit float64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets.limits == nil {
		c.targets.limits = map[string][]namedLimit{}
	}
	c.targets.limits[instance] = append(c.targets.limits[instance], namedLimit{limit, at})
}

// RecordArrival records that a request has reached an instance, whether or not the instance runs it.
func (c *Checker) RecordArrival(id, instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.targets
	if t.arrivals == nil {
		t.arrivals = map[string][]arrival{}
	}
	q := c.requests[id]
	since, ok := t.told[told{q.Node, instance, false}]
	t.arrivals[instance] = append(t.arrivals[instance], arrival{at, ok && at.Sub(since) >= toldDelay})
	if since, ok := t.told[told{q.Node, instance, true}]; ok && q.At.Sub(since) > c.Bounds.Drain+c.Bounds.ClockError {
		t.late = append(t.late, Finding{"DRAIN", fmt.Sprintf(
			"%s reached %s from node %d, sent %s after the node had passed on that it leaves", id, instance, q.Node, q.At.Sub(since))})
	}
}

func (c *Checker) checkTargets() []Finding {
	findings := c.targets.late
	for instance, limits := range c.targets.limits {
		for i, l := range limits {
			until := time.Time{}
			if i+1 < len(limits) {
				until = limits[i+1].at
			}
			findings = append(findings, c.checkLimit(instance, l, until)...)
		}
	}
	return findings
}

// checkLimit counts the requests that reached the instance from nodes that knew the limit, in a window from each of
// them on. A zero time for until means that the limit was not lifted.
func (c *Checker) checkLimit(instance string, l namedLimit, until time.Time) []Finding {
	if l.limit <= 0 {
		return nil
	}
	allowed := limitExcess*l.limit*limitWindow.Seconds() + limitSlack
	var counted []time.Time
	for _, a := range c.targets.arrivals[instance] {
		if a.told && a.at.Sub(l.at) >= c.Bounds.Contact && (until.IsZero() || a.at.Before(until)) {
			counted = append(counted, a.at)
		}
	}
	for first, at := range counted {
		n := 0
		for _, later := range counted[first:] {
			if later.Sub(at) <= limitWindow {
				n++
			}
		}
		if float64(n) > allowed {
			return []Finding{{"LIMIT", fmt.Sprintf("%s, limit %g: %d in the window from %s, %.0f allowed", instance, l.limit, n, at, allowed)}}
		}
	}
	return nil
}
