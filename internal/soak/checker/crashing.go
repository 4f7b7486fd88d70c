package checker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxCrashes is the number of targets that a request may crash before it is withheld, and maxLateRuns the number of
	// those that it may reach later than Bounds.Contact after that.
	maxCrashes  = 3
	maxLateRuns = 3
)

// crashingRecords hold which targets a crashing request has crashed, and when nodes were disturbed.
type crashingRecords struct {
	crashes     map[string][]time.Time
	disturbedAt map[int]time.Time
}

// RecordCrash records that a crashing request has crashed a target.
func (c *Checker) RecordCrash(request string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashing.crashes == nil {
		c.crashing.crashes = map[string][]time.Time{}
	}
	c.crashing.crashes[request] = append(c.crashing.crashes[request], at)
}

// recordNodeDisturbance records that a node has just been disturbed. The caller holds the mutex.
func (c *Checker) recordNodeDisturbance(node int) {
	if c.crashing.disturbedAt == nil {
		c.crashing.disturbedAt = map[int]time.Time{}
	}
	c.crashing.disturbedAt[node] = time.Now()
}

// checkCrashing counts the runs of crashing requests that began when all nodes had had time to learn of the last crash
// before they are withheld.
func (c *Checker) checkCrashing() []Finding {
	var findings []Finding
	for request, crashes := range c.crashing.crashes {
		if len(crashes) < maxCrashes {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		known := crashes[maxCrashes-1].Add(c.Bounds.Contact + c.Bounds.ClockError)
		late := 0
		for _, r := range c.runs {
			if q := c.requests[r.ID]; q.Crashing == request && q.At.After(known) && q.InTouch {
				late++
			}
		}
		if late > maxLateRuns {
			findings = append(findings, Finding{"BUDGET", fmt.Sprintf("%s reached %d targets after all nodes could know of it; it crashed %d", request, late, len(crashes))})
		}
	}
	return findings
}
