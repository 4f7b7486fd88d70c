package attendant

import (
	"math"

	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

const (
	// changedSlots is the change of the occupied and waiting requests, as a part of the limit, from which another report is
	// sent soon, and minChangedSlots its minimum. Two counts of a target of 200 slots at the same load differ by 20 (the root
	// of twice their number), and placement adds what this node has sent since the report.
	changedSlots    = 0.15
	minChangedSlots = 2
	// changedLoad, changedFailures and changedCorrection are the changes of the mean load per slot, of the failure rate and
	// of the correction factor from which another report is sent soon.
	changedLoad       = 0.03
	changedFailures   = 0.05
	changedCorrection = 0.02
	// changedDemand is the change of the demand over all services, as a part of it, and minChangedDemand its minimum in
	// slots. The errors of many nodes cancel out in the sum.
	changedDemand    = 0.1
	minChangedDemand = 0.5
)

// loadReport is the part of a report that changes with the load.
type loadReport struct {
	load       executor.Load
	correction float64
	demand     map[string]float64
}

func newLoadReport(load *executor.Load, correction float64, demand map[string]float64) loadReport {
	return loadReport{load: *load, correction: correction, demand: demand}
}

// changed reports whether the new load differs from the reported one by so much that the other nodes need it soon.
func (old *loadReport) changed(now loadReport) bool {
	a, b := &old.load, &now.load
	if a.Up != b.Up || a.Paced != b.Paced || a.Limit != b.Limit {
		return true
	}
	slots := max(changedSlots*float64(b.Limit), minChangedSlots)
	return math.Abs(float64(a.Occupied()-b.Occupied())) > slots || math.Abs(float64(a.Waiting-b.Waiting)) > slots ||
		math.Abs(a.Mean-b.Mean) > changedLoad || math.Abs(a.FailureRate-b.FailureRate) > changedFailures ||
		math.Abs(old.correction-now.correction) > changedCorrection || demandChanged(old.demand, now.demand)
}

// demandChanged compares the demand by service.
func demandChanged(old, now map[string]float64) bool {
	difference, total := 0.0, 0.0
	for service, slots := range now {
		difference += math.Abs(slots - old[service])
		total += slots
	}
	for service, slots := range old {
		if _, ok := now[service]; !ok {
			difference += slots
		}
	}
	return difference > max(changedDemand*total, minChangedDemand)
}
