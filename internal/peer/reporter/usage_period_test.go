package reporter

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// TestLargeUsageReportsLeaveInTime guards against usage reports that leave late because those before them were large: 100
// accounts in use at all times, in a data centre of 40 nodes.
func TestLargeUsageReportsLeaveInTime(t *testing.T) {
	const span, atLeast = 4 * time.Second, 4
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	unread, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer unread.Close()
	tr := &tracker.Tracker{Self: "self", DataCentre: "dc", ReportTimeout: time.Minute}
	tr.SetMember(tracker.Member{Node: "listening", DataCentre: "dc", ReportAddress: c.LocalAddr().String()})
	for i := range 39 {
		tr.SetMember(tracker.Member{Node: fmt.Sprint(i), DataCentre: "dc", ReportAddress: unread.LocalAddr().String()})
	}
	usages := make([]tracker.AccountUsage, 100)
	for i := range usages {
		usages[i] = tracker.AccountUsage{Account: fmt.Sprint("account-", i), Admitted: 1, Demand: 1}
	}
	r := &Reporter{
		Listen: "127.0.0.1:0", Tracker: tr, Urgent: func() bool { return false },
		BuildReport: func() tracker.Report { return tracker.Report{Node: "self"} },
		BuildUsages: func() []tracker.AccountUsage { return usages },
		OnUsages:    func(*tracker.UsageReport, bool) {},
	}
	assert.NilError(t, r.Open())
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })

	reports := 0
	buf := make([]byte, 1<<16)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(span)))
	for {
		n, _, err := c.ReadFrom(buf)
		if err != nil {
			break
		}
		if n > 0 && buf[0] == kindUsage {
			reports++
		}
	}
	wg.Wait()
	r.Close()
	assert.Check(t, reports >= atLeast, "%d usage reports in %s", reports, span)
}

// TestUsagePeriod checks when usage reports of several sizes are followed by the next.
func TestUsagePeriod(t *testing.T) {
	for sent, want := range map[int]time.Duration{
		0: 200 * time.Millisecond, 4000: 200 * time.Millisecond, 6000: 300 * time.Millisecond,
		10_000: 500 * time.Millisecond, 50_000: 500 * time.Millisecond,
	} {
		assert.Equal(t, UsagePeriod(sent), want, "%d bytes", sent)
	}
}
