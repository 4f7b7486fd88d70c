package checker

import (
	"fmt"
	"slices"
	"time"
)

// evacuationRecords hold when data centres were evacuated, when the store was unstable and what reached targets.
type evacuationRecords struct {
	// periods holds the evacuations by data centre, in the order of their begin.
	periods  map[string][]period
	arrivals map[string][]evacuatedArrival
	unstable []period
}

// period is the time between two events. The end is zero while it lasts.
type period struct {
	begin, end time.Time
}

func (p period) contains(at time.Time) bool {
	return at.After(p.begin) && (p.end.IsZero() || at.Before(p.end))
}

// evacuatedArrival is a request that reached a target of a data centre that had been evacuated before.
type evacuatedArrival struct {
	id   string
	node int
	at   time.Time
	// inTouch is set if the target's node had not been disturbed for Bounds.Contact.
	inTouch bool
}

// RecordEvacuation records that the store has acknowledged the evacuation of the data centre, or, before it is lifted or its
// record may be lost with all nodes, that it ends.
func (c *Checker) RecordEvacuation(dataCentre string, evacuated bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &c.evacuations
	if e.periods == nil {
		e.periods, e.arrivals = map[string][]period{}, map[string][]evacuatedArrival{}
	}
	list := e.periods[dataCentre]
	open := len(list) > 0 && list[len(list)-1].end.IsZero()
	switch {
	case evacuated && !open:
		e.periods[dataCentre] = append(list, period{begin: at})
	case !evacuated && open:
		list[len(list)-1].end = at
	}
}

// RecordUnstableStore records a time in which the store was unstable.
func (c *Checker) RecordUnstableStore(begin, end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations.unstable = append(c.evacuations.unstable, period{begin, end})
}

// RecordTargetArrival records that a request has reached the target of a node, which is in the data centre.
func (c *Checker) RecordTargetArrival(id, dataCentre string, node int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &c.evacuations
	if len(e.periods[dataCentre]) == 0 {
		return
	}
	inTouch := at.Sub(c.crashing.disturbedAt[node]) > c.Bounds.Contact
	e.arrivals[dataCentre] = append(e.arrivals[dataCentre], evacuatedArrival{id, node, at, inTouch})
}

// checkEvacuations finds requests that reached a target of an evacuated data centre after the bound.
func (c *Checker) checkEvacuations() []Finding {
	var findings []Finding
	slices.SortFunc(c.evacuations.unstable, func(a, b period) int { return a.begin.Compare(b.begin) })
	for dataCentre, periods := range c.evacuations.periods {
		for _, p := range periods {
			inForce := period{c.evacuationBound(p.begin), p.end}
			for _, a := range c.evacuations.arrivals[dataCentre] {
				if a.inTouch && inForce.contains(a.at) {
					findings = append(findings, Finding{"EVACUATE", fmt.Sprintf(
						"%s reached the target of node %d %s after %s was evacuated", a.id, a.node, a.at.Sub(p.begin), dataCentre)})
				}
			}
		}
	}
	return findings
}

// evacuationBound returns the time from which on an evacuation acknowledged at the given time must be in force. While the
// store is unstable nodes can't read the record, so the bound counts from when it is stable, and is longer by the skew.
func (c *Checker) evacuationBound(acknowledged time.Time) time.Time {
	bound := acknowledged.Add(c.Bounds.Evacuate + c.Bounds.ClockError)
	for _, u := range c.evacuations.unstable {
		if u.begin.Before(bound) && u.end.After(acknowledged) {
			if later := u.end.Add(c.Bounds.Evacuate + c.Bounds.EvacuateSkew + c.Bounds.ClockError); later.After(bound) {
				bound = later
			}
		}
	}
	return bound
}
