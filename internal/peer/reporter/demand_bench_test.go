package reporter

import (
	"fmt"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
)

// BenchmarkReceiveDemand measures the receipt of the rows of one node of the same data centre.
func BenchmarkReceiveDemand(b *testing.B) {
	for _, n := range []int{10, 40} {
		b.Run(fmt.Sprint(n, "-rows"), func(b *testing.B) {
			r := newBenchReporter()
			report := tracker.DemandReport{Node: "vm-5", Started: 1}
			for i := range n {
				report.Rows = append(report.Rows, tracker.DemandRow{Route: fmt.Sprint("route-", i%8), Rank: i, Rate: 1})
				report.Recent = append(report.Recent, 1)
			}
			var raw []byte
			b.ReportAllocs()
			for b.Loop() {
				report.Sequence++
				raw, _ = report.MarshalMsg(append(raw[:0], kindDemand))
				r.handleDatagram(raw)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
	}
}
