package reporter_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/peer/reporter"
	"gotest.tools/v3/assert"
)

// totalDemand returns the demand that the reporter's node knows of.
func totalDemand(r *reporter.Reporter) float32 {
	total := float32(0)
	for _, d := range r.Tracker.Demand(time.Now()) {
		for _, row := range d.Rows {
			total += row.Rate
		}
	}
	return total
}

// TestReportsReachEveryNode checks that each node receives the reports of each other node, directly within a data
// centre and through relays between data centres, the same for usage reports and demand, and that malformed datagrams are ignored.
func TestReportsReachEveryNode(t *testing.T) {
	for name, takesBatches := range map[string]func(i int) bool{
		"nodes of an earlier version": func(int) bool { return false },
		"both versions":               func(i int) bool { return i%3 > 0 },
		"in batches":                  func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) { testReportsReachEveryNode(t, takesBatches) })
	}
}

func testReportsReachEveryNode(t *testing.T, takesBatches func(i int) bool) {
	const n = 10
	members := make([]tracker.Member, n)
	for i := range members {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		members[i] = tracker.Member{Node: fmt.Sprint(i), DataCentre: fmt.Sprint("dc-", i%2), ReportAddress: c.LocalAddr().String(), TakesBatches: takesBatches(i), TakesDemand: takesBatches(i)}
		assert.NilError(t, c.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	received := map[string]bool{}
	var reporters []*reporter.Reporter
	for i, m := range members {
		tr := &tracker.Tracker{Self: m.Node, DataCentre: m.DataCentre, ReportTimeout: time.Minute}
		for _, o := range members {
			tr.SetMember(o)
		}
		r := &reporter.Reporter{
			Listen: m.ReportAddress, Tracker: tr,
			Urgent: func() bool { return false },
			BuildReport: func() tracker.Report {
				return tracker.Report{Node: m.Node, AccountUsages: []tracker.AccountUsage{{Account: "shop", Admitted: float32(i)}}}
			},
			BuildDemand: func() ([]tracker.DemandRow, []float32) {
				return []tracker.DemandRow{{Route: "order", Rank: 1, Rate: 1}}, []float32{1}
			},
			BuildUsages: func() []tracker.AccountUsage {
				return []tracker.AccountUsage{{Account: "changed", Demand: float32(i)}, {Account: "shop"}}
			},
			OnUsages: func(u *tracker.UsageReport, complete bool) {
				mu.Lock()
				defer mu.Unlock()
				usages := u.AccountUsages
				received[fmt.Sprint(u.Node, ">", m.Node, " ", len(usages))] = float32(u.Node[0]-'0') == usages[0].Admitted+usages[0].Demand && complete == (len(usages) == 1)
			},
		}
		assert.NilError(t, r.Open())
		reporters = append(reporters, r)
		wg.Go(func() { r.Run(ctx) })
	}
	noise, err := net.Dial("udp4", members[0].ReportAddress)
	assert.NilError(t, err)
	defer noise.Close()
	for _, raw := range []string{"", "x", "\x00\xff\xff\xff", "\x01\x9d", "\x02\x94", "\x04x", "\x04\x00\xff", "\x04\x00\xc0\x02\x94", "\x04\x02\x94\xa0\x00\x00\xdd\xff\xff\xff\xff"} {
		_, _ = noise.Write([]byte(raw))
	}
	all := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range reporters {
			if demand := totalDemand(r); takesBatches(0) && demand != n {
				return false
			}
		}
		return len(received) == 2*n*(n-1)
	}
	for end := time.Now().Add(10 * time.Second); !all() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	for _, r := range reporters {
		r.Close()
	}
	assert.Equal(t, len(received), 2*n*(n-1))
	if takesBatches(0) {
		for _, r := range reporters {
			assert.Equal(t, totalDemand(r), float32(n))
		}
	}
	for pair, complete := range received {
		assert.Assert(t, complete, pair)
	}
}
