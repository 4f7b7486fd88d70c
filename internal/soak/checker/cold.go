package checker

import (
	"fmt"
	"slices"
	"time"
)

// RecordColdArrival records that a request has reached an instance while it was cold and its node had to know.
func (c *Checker) RecordColdArrival(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coldArrivals == nil {
		c.coldArrivals = map[string][]time.Time{}
	}
	c.coldArrivals[instance] = append(c.coldArrivals[instance], at)
}

// checkCold counts the requests to cold instances in the second from each of them on.
func (c *Checker) checkCold() []Finding {
	var findings []Finding
	for instance, times := range c.coldArrivals {
		slices.SortFunc(times, time.Time.Compare)
		end := 0
		for first, at := range times {
			for end < len(times) && times[end].Sub(at) < time.Second {
				end++
			}
			if n := end - first; float64(n) > c.Bounds.ColdPerSecond {
				findings = append(findings, Finding{"COLD", fmt.Sprintf("%s: %d in the second from %s, %g allowed", instance, n, at, c.Bounds.ColdPerSecond)})
				break
			}
		}
	}
	return findings
}

// ColdRequests returns the number of requests that reached cold instances.
func (c *Checker) ColdRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, times := range c.coldArrivals {
		n += len(times)
	}
	return n
}
