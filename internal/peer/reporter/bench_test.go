package reporter

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
)

// newBenchReporter returns a reporter that knows 195 nodes in five data centres.
func newBenchReporter() *Reporter {
	t := &tracker.Tracker{Self: "vm-0", DataCentre: "dc-0", ReportTimeout: 3 * time.Second}
	for i := range 195 {
		t.SetMember(tracker.Member{Node: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%5), Service: fmt.Sprint("service-", i%4), State: tracker.Ready})
	}
	r := &Reporter{Tracker: t, OnUsages: func(*tracker.UsageReport, bool) {}}
	return r
}

// benchReport returns a report as the nodes of a large fleet send it.
func benchReport(node string, sequence uint64, accounts int) *tracker.Report {
	r := &tracker.Report{
		Node: node, Started: 1, Sequence: sequence, Target: "i-12345678", Running: 20, Waiting: 3, Limit: 23, Up: true, Load: 0.9, Correction: 1,
		Demand: map[string]float32{"service-0": 1, "service-1": 2, "service-2": 3, "service-3": 4},
		RouteCosts: []tracker.RouteCosts{
			{Route: "route-1", HoldMs: 200, Calls: map[string]float32{"route-5": 2}},
			{Route: "route-2", HoldMs: 300, Calls: map[string]float32{"route-5": 1}},
			{Route: "route-5", HoldMs: 15, Calls: map[string]float32{"route-6": 1}},
		},
	}
	for i := range accounts {
		r.AccountUsages = append(r.AccountUsages, tracker.AccountUsage{Account: fmt.Sprint("account-", i), Admitted: 3, Demand: 1.5})
	}
	return r
}

// BenchmarkReceive measures the receipt of one report with the given number of accounts.
func BenchmarkReceive(b *testing.B) {
	for _, accounts := range []int{0, 10, 40} {
		b.Run(fmt.Sprint(accounts, "-accounts"), func(b *testing.B) {
			r := newBenchReporter()
			var raws [][]byte
			for i := range 194 {
				raw, err := benchReport(fmt.Sprint("vm-", i+1), 1, accounts).MarshalMsg([]byte{kindDirect})
				if err != nil {
					b.Fatal(err)
				}
				raws = append(raws, raw)
			}
			b.SetBytes(int64(len(raws[0])))
			i := 0
			for b.Loop() {
				r.handleDatagram(raws[i%len(raws)])
				i++
			}
		})
	}
}
