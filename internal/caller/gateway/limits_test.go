package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"gotest.tools/v3/assert"
)

// usageReport returns a report on n accounts, each of which has admitted the same number of requests.
func usageReport(node string, n int, admitted float32) *tracker.UsageReport {
	r := &tracker.UsageReport{Node: node, Started: 1}
	for i := range n {
		r.AccountUsages = append(r.AccountUsages, tracker.AccountUsage{Account: fmt.Sprint("account-", i), Admitted: admitted, Demand: 1})
	}
	return r
}

// TestReceiveUsages guards against allocations for each report received, and against usages of one report that are taken
// for those of the next node.
func TestReceiveUsages(t *testing.T) {
	l := gateway.NewRateLimits(5 * time.Second)
	l.SetMembers([]string{"a", "b"})
	full, empty := usageReport("a", 87, 1000), usageReport("b", 0, 0)
	receive := func() {
		l.Receive(full, true)
		l.Receive(empty, true)
	}
	receive()
	allocations := testing.AllocsPerRun(100, receive)
	assert.Assert(t, allocations < 1, "%f allocations", allocations)
	limit := windowlimiter.Limit{Rate: 300, Burst: 300}
	// The node first has to save a token.
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if ok, _ := l.Admit("account-0", limit); ok {
			return
		}
		assert.Assert(t, time.Now().Before(end), "the usage of one node counts twice")
	}
}

// TestReceiveManyUsages checks that a report on very many accounts is applied, and small ones after it.
func TestReceiveManyUsages(t *testing.T) {
	l := gateway.NewRateLimits(5 * time.Second)
	l.SetMembers([]string{"a", "b"})
	l.Receive(usageReport("a", 2000, 1), true)
	l.Receive(usageReport("b", 3, 1000), true)
	ok, _ := l.Admit("account-2", windowlimiter.Limit{Rate: 100})
	assert.Assert(t, !ok)
	ok, _ = l.Admit("account-0", windowlimiter.Limit{Rate: 0})
	assert.Assert(t, ok)
}

// BenchmarkReceiveUsages measures a report on 87 accounts from one of 89 nodes.
func BenchmarkReceiveUsages(b *testing.B) {
	l := gateway.NewRateLimits(5 * time.Second)
	var reports []*tracker.UsageReport
	for i := range 89 {
		reports = append(reports, usageReport(fmt.Sprint("vm-", i), 87, 3))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.Receive(reports[i%len(reports)], true)
		i++
	}
}
