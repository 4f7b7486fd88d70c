package reporter

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
)

// handleReport applies a report. It returns the bytes that follow, or nil if it cannot be decoded, and whether the report
// is newer than the previous one of its node.
func (r *Reporter) handleReport(raw []byte) (rest []byte, newer bool) {
	report := tracker.Report{Demand: r.receivedDemand, AccountUsages: r.receivedUsages}
	rest, err := report.UnmarshalMsg(raw)
	if err != nil {
		return nil, false
	}
	r.reuse(report.Demand, report.AccountUsages)
	if !r.Tracker.ApplyReport(time.Now(), &report) {
		return rest, false
	}
	r.applyUsages(&tracker.UsageReport{Node: report.Node, Started: report.Started, Sequence: report.Sequence, AccountUsages: report.AccountUsages}, true)
	return rest, true
}

// maxReused bounds the size of what is reused for received reports.
const maxReused = 1000

// reuse keeps the demand and the usages of a received report for the next one. A report without them has nil.
func (r *Reporter) reuse(demand map[string]float32, usages []tracker.AccountUsage) {
	if demand != nil && len(demand) <= maxReused {
		r.receivedDemand = demand
	}
	if len(demand) > maxReused {
		r.receivedDemand = nil
	}
	if usages != nil && cap(usages) <= maxReused {
		r.receivedUsages = usages
	}
}

// handleUsages does the same for a usage report.
func (r *Reporter) handleUsages(raw []byte) (rest []byte, newer bool) {
	report := tracker.UsageReport{AccountUsages: r.receivedUsages}
	rest, err := report.UnmarshalMsg(raw)
	if err != nil {
		return nil, false
	}
	r.reuse(nil, report.AccountUsages)
	return rest, r.applyUsages(&report, false)
}

// applyUsages passes on the account usages if they are newer than the previous ones of the node.
func (r *Reporter) applyUsages(u *tracker.UsageReport, complete bool) bool {
	newer := r.Tracker.ApplyUsages(u.Node, u.Started, u.Sequence)
	if newer {
		r.OnUsages(u, complete)
	}
	return newer
}
