// Package reporter exchanges reports of load, costs and rate usage with the other nodes over UDP.
//
// A report is sent to each node of the same data centre and to one node of each other data centre, which relays
// it to the nodes of its own, because traffic between data centres is billed by volume. The relay is chosen at
// random for each report, so that a node that is down loses only some of the reports to its data centre.
//
// The use of rate limits changes fast and is small, so it is also sent on its own between two reports.
package reporter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/ugorji/go/codec"
)

const (
	// Period is the time between two reports. UrgentPeriod replaces it while Reporter.Urgent returns true, for
	// example while the target is close to its limit. It is also the minimum time between two usage reports.
	Period       = time.Second
	UrgentPeriod = 200 * time.Millisecond
	// checkInterval is how often to check whether a report is due.
	checkInterval = 50 * time.Millisecond
	// maxReportBytes limits the encoded size of a report. A larger report is not sent.
	maxReportBytes = 60 << 10
	// maxBytesPerSecond limits the bandwidth that a node uses for its own reports, maxUsageBytesPerSecond that for
	// usage reports. To stay below it, a node of a large fleet sends reports less often.
	maxBytesPerSecond      = 30_000
	maxUsageBytesPerSecond = 20_000
)

// Datagram kinds, encoded in the first byte.
const (
	kindDirect = 0
	// kindRelay asks the receiver to forward the report to the other nodes of its data centre.
	kindRelay = 1
	// kindUsage and kindUsageRelay are the same for usage reports.
	kindUsage      = 2
	kindUsageRelay = 3
)

// Reporter exchanges reports with the other nodes.
type Reporter struct {
	// Listen is the UDP address to listen on, as "IP:port".
	Listen  string
	Tracker *tracker.Tracker
	// Urgent returns whether the other nodes need a report soon. It is called far more often than BuildReport.
	Urgent func() bool
	// BuildReport returns this node's report.
	BuildReport func() tracker.Report
	// BuildUsages returns the account usages that the other nodes need soon, if any.
	BuildUsages func() []tracker.AccountUsage
	// OnUsages is called with the account usages of each received report that is newer than the previous one from the
	// same node, and with Report.Started. Reports from unknown nodes are ignored.
	OnUsages func(node string, started int64, usages []tracker.AccountUsage)

	conn    *net.UDPConn
	handle  codec.MsgpackHandle
	started int64
	done    sync.WaitGroup

	sequence uint64
}

// usageReport reports the account usages that have changed since the latest report.
type usageReport struct {
	Node          string
	Started       int64
	Sequence      uint64
	AccountUsages []tracker.AccountUsage
}

// Open opens the UDP socket.
func (r *Reporter) Open() error {
	addr, err := net.ResolveUDPAddr("udp4", r.Listen)
	if err != nil {
		return fmt.Errorf("report address: %w", err)
	}
	r.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	r.started = time.Now().UnixMilli()
	// Encoded as arrays, because the field names would take more bytes than the values.
	r.handle.StructToArray = true
	return nil
}

// Run sends and receives reports until the context is done.
func (r *Reporter) Run(ctx context.Context) {
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		r.receive()
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var last, lastUsage time.Time
	var minPeriod, minUsagePeriod time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(last) >= r.period(minPeriod) {
				last, lastUsage = now, now
				report := r.BuildReport()
				minPeriod = time.Duration(r.send(&report)) * time.Second / maxBytesPerSecond
				continue
			}
			if now.Sub(lastUsage) < max(UrgentPeriod, minUsagePeriod) {
				continue
			}
			if usages := r.BuildUsages(); len(usages) > 0 {
				lastUsage = now
				minUsagePeriod = time.Duration(r.sendUsages(usages)) * time.Second / maxUsageBytesPerSecond
			}
		}
	}
}

// period returns the time between two reports. minPeriod is the minimum time that keeps the bandwidth within
// maxBytesPerSecond, given the number of bytes sent for the last report.
func (r *Reporter) period(minPeriod time.Duration) time.Duration {
	if r.Urgent() {
		return max(UrgentPeriod, minPeriod)
	}
	return max(Period, minPeriod)
}

// destination is a node to which a report is sent, and the datagram kind to use.
type destination struct {
	tracker.Member
	kind byte
}

// destinations returns the other nodes of this data centre, and one random node of each other data centre,
// chosen from the responsive ones if there are any.
func (r *Reporter) destinations() []destination {
	var list []destination
	others := map[string][]tracker.Member{}
	for _, m := range r.Tracker.OtherMembers() {
		if m.DataCentre == r.Tracker.DataCentre {
			list = append(list, destination{m, kindDirect})
			continue
		}
		others[m.DataCentre] = append(others[m.DataCentre], m)
	}
	for _, members := range others {
		if reachable := r.Tracker.Responsive(time.Now(), members); len(reachable) > 0 {
			members = reachable
		}
		list = append(list, destination{members[rand.IntN(len(members))], kindRelay})
	}
	return list
}

// send sends the report to all destinations and returns the total number of bytes.
func (r *Reporter) send(report *tracker.Report) int {
	r.sequence++
	report.Started = r.started
	report.Sequence = r.sequence
	r.Tracker.ApplyReport(time.Now(), report)
	return r.broadcast(kindDirect, report)
}

// sendUsages sends the account usages to all destinations and returns the total number of bytes.
func (r *Reporter) sendUsages(usages []tracker.AccountUsage) int {
	r.sequence++
	return r.broadcast(kindUsage, &usageReport{
		Node: r.Tracker.Self, Started: r.started, Sequence: r.sequence, AccountUsages: usages,
	})
}

// broadcast sends the report to all destinations, as base or the kind that is relayed. It returns the total number of
// bytes, or 0 if the report cannot be encoded within maxReportBytes.
func (r *Reporter) broadcast(base byte, report any) int {
	var body []byte
	if err := codec.NewEncoderBytes(&body, &r.handle).Encode(report); err != nil || len(body) > maxReportBytes {
		return 0
	}
	raw := append([]byte{base}, body...)
	destinations := r.destinations()
	for _, to := range destinations {
		raw[0] = base + to.kind
		r.write(raw, to.Member)
	}
	return len(raw) * len(destinations)
}

// write sends a datagram. Errors are ignored, because the next report replaces a lost one.
func (r *Reporter) write(raw []byte, to tracker.Member) {
	addr, err := netip.ParseAddrPort(to.ReportAddress)
	if err != nil {
		return
	}
	_, _ = r.conn.WriteToUDPAddrPort(raw, addr)
}

func (r *Reporter) receive() {
	buf := make([]byte, maxReportBytes+1)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 2 {
			continue
		}
		r.handleDatagram(buf[:n])
	}
}

// handleDatagram decodes and applies a report. If the datagram is to be relayed, it forwards the report to the other
// nodes of this data centre.
func (r *Reporter) handleDatagram(raw []byte) {
	kind := raw[0]
	var node string
	var newer bool
	switch kind {
	case kindDirect, kindRelay:
		node, newer = r.handleReport(raw[1:])
	case kindUsage, kindUsageRelay:
		node, newer = r.handleUsages(raw[1:])
	}
	if !newer || (kind != kindRelay && kind != kindUsageRelay) {
		return
	}
	raw[0] = kind - kindRelay
	for _, m := range r.Tracker.OtherMembers() {
		if m.DataCentre == r.Tracker.DataCentre && m.Node != node {
			r.write(raw, m)
		}
	}
}

// handleReport applies a report and returns its node and whether it is newer than the previous one.
func (r *Reporter) handleReport(body []byte) (node string, newer bool) {
	var report tracker.Report
	if err := codec.NewDecoderBytes(body, &r.handle).Decode(&report); err != nil {
		return "", false
	}
	if !r.Tracker.ApplyReport(time.Now(), &report) {
		return "", false
	}
	r.applyUsages(&usageReport{report.Node, report.Started, report.Sequence, report.AccountUsages})
	return report.Node, true
}

// handleUsages applies a usage report and returns its node and whether it is newer than the previous one.
func (r *Reporter) handleUsages(body []byte) (node string, newer bool) {
	var report usageReport
	if err := codec.NewDecoderBytes(body, &r.handle).Decode(&report); err != nil {
		return "", false
	}
	return report.Node, r.applyUsages(&report)
}

// applyUsages passes on the account usages if they are newer than the previous ones of the node.
func (r *Reporter) applyUsages(u *usageReport) bool {
	newer := r.Tracker.ApplyUsages(u.Node, u.Started, u.Sequence)
	if newer {
		r.OnUsages(u.Node, u.Started, u.AccountUsages)
	}
	return newer
}

// Close closes the socket and waits until the receiving goroutine has ended.
func (r *Reporter) Close() {
	_ = r.conn.Close()
	r.done.Wait()
}
