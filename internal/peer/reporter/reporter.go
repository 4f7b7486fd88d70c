// Package reporter exchanges reports of load, costs and rate usage with the other nodes over UDP.
//
// A report is sent to each node of the same data centre and to one node of each other data centre, which relays
// it to the nodes of its own, because traffic between data centres is billed by volume. Each data centre has a few
// relays, so that a relay receives many reports and passes them on together: the number of datagrams would grow as the
// square of the fleet otherwise. The relay is chosen at random among them for each report, so that a node that is down
// loses only some of the reports to its data centre.
//
// The use of rate limits changes fast and is small, so it is also sent on its own between two reports. A node sends
// something at least once a period, so that the others know that they hear it.
package reporter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"github.com/tinylib/msgp/msgp"
)

const (
	// Period is the time between two reports. UrgentPeriod replaces it while Reporter.Urgent returns true, for
	// example while the target is close to its limit. It is also the minimum time between two usage reports.
	Period       = time.Second
	UrgentPeriod = 200 * time.Millisecond
	// checkInterval is how often to check whether a report is due.
	checkInterval = 50 * time.Millisecond
	// busyDatagrams is the number of datagrams at one check above which the next ones are read after busyInterval. The
	// kernel's smallest usual buffer holds about 50 datagrams of 2 KB.
	busyDatagrams = 16
	busyInterval  = 20 * time.Millisecond
	// maxAddresses bounds the parsed addresses that are kept.
	maxAddresses = 10_000
	// maxReportBytes limits the encoded size of a report. A larger report is not sent.
	maxReportBytes = 60 << 10
	// maxBytesPerSecond limits the bandwidth that a node uses for its own reports, maxUsageBytesPerSecond that for
	// usage reports. To stay below it, a node of a large fleet sends reports less often.
	maxBytesPerSecond      = 30_000
	maxUsageBytesPerSecond = 20_000
	// maxUsagePeriod is the longest time for which the bandwidth delays a usage report. Until the others receive it, they
	// may admit requests beyond the rate of an account.
	maxUsagePeriod = 500 * time.Millisecond
)

// Datagram kinds, encoded in the first byte.
const (
	kindDirect = 0
	// kindRelay asks the receiver to forward the report to the other nodes of its data centre.
	kindRelay = 1
	// kindUsage and kindUsageRelay are the same for usage reports.
	kindUsage      = 2
	kindUsageRelay = 3
	// kindBatch precedes several reports, each of which is preceded by kindDirect or kindUsage.
	kindBatch = 4
	// kindCrashes precedes a message on crashes of targets, which is not relayed.
	kindCrashes = 5
)

const (
	// relayPurpose is the purpose for which relays are ranked, and relaysPerDataCentre their number.
	relayPurpose        = "relay"
	relaysPerDataCentre = 3
	// maxBatchBytes is the size from which a batch is sent at once. A smaller one is sent at the next check.
	maxBatchBytes = 16 << 10
)

// Reporter exchanges reports with the other nodes.
type Reporter struct {
	// Listen is the UDP address to listen on, as "IP:port".
	Listen  string
	Tracker *tracker.Tracker
	// Urgent returns whether the other nodes need a report soon. It is called far more often than BuildReport.
	Urgent func() bool
	// Immediate, if set, returns whether a report is due now, however short ago the previous one was sent.
	Immediate func() bool
	// BuildReport returns this node's report.
	BuildReport func() tracker.Report
	// BuildUsages returns the account usages that the other nodes need soon, if any.
	BuildUsages func() []tracker.AccountUsage
	// BuildDemand, if set, returns the demand that enters at this node and the recent rate of each row. The result must not
	// be changed afterwards. DemandUrgent, if set, returns whether the other nodes need the demand sooner than reports.
	BuildDemand  func() ([]tracker.DemandRow, []float32)
	DemandUrgent func() bool
	// OnUsages is called with the account usages of each received report that is newer than the previous one from the
	// same node, which it must not keep. complete tells whether they are those of all accounts. Reports from unknown nodes
	// are ignored.
	OnUsages func(u *tracker.UsageReport, complete bool)
	// Metrics, if set, gets the counters of the datagrams sent.
	Metrics *metrics.Set
	// Crashes, if set, exchanges messages on crashes of targets.
	Crashes Exchanger

	socket  *socket
	started int64
	done    sync.WaitGroup
	// addresses holds the parsed report addresses. Only Run uses it.
	addresses map[string]netip.AddrPort
	sent      map[traffic]*sentCounters

	sequence uint64
	demand   demandSender

	// receivedDemand and receivedUsages are reused for received reports. Only the reader of datagrams uses them.
	receivedDemand map[string]float32
	receivedUsages []tracker.AccountUsage

	batchMu sync.Mutex
	// batch holds the received reports that are to be relayed, as a datagram. It is empty if there are none.
	batch []byte
	// demandBatch holds the received sums of other data centres that are to be relayed, each preceded by its kind.
	demandBatch []byte
}

// Exchanger exchanges messages with other nodes. Messages may be lost.
type Exchanger interface {
	// Messages returns the messages that are due: those for all other nodes, and those for a random node.
	Messages() (toAll, toOne [][]byte)
	// Receive applies a message and returns the messages for the given node, if any.
	Receive(raw []byte) (node string, replies [][]byte)
}

// Open opens the UDP socket.
func (r *Reporter) Open() error {
	addr, err := net.ResolveUDPAddr("udp4", r.Listen)
	if err != nil {
		return fmt.Errorf("report address: %w", err)
	}
	listen := addr.AddrPort()
	if !listen.Addr().IsValid() {
		listen = netip.AddrPortFrom(netip.IPv4Unspecified(), listen.Port())
	}
	r.socket, err = openSocket(listen)
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	r.started = time.Now().UnixMilli()
	return nil
}

// Started returns what identifies this process in its reports. It is set by Open.
func (r *Reporter) Started() int64 { return r.started }

// Run sends and receives reports until the context is done.
func (r *Reporter) Run(ctx context.Context) {
	r.done.Add(1)
	defer r.done.Done()
	r.socket.queueing = true
	busy := time.NewTimer(checkInterval)
	defer busy.Stop()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var last, lastUsage time.Time
	var minPeriod time.Duration
	minUsagePeriod := UsagePeriod(0)
	var usagePeriods *metrics.Histogram
	if r.Metrics != nil {
		usagePeriods = r.Metrics.GetOrCreateHistogram("peer_usage_report_period_seconds")
	}
	for {
		r.socket.flush()
		select {
		case <-ctx.Done():
			return
		case <-busy.C:
			r.receive(busy)
		case now := <-ticker.C:
			r.receive(busy)
			r.flush()
			r.exchange()
			r.prepareDemand(now)
			if now.Sub(last) >= r.period(minPeriod) || (r.Immediate != nil && r.Immediate()) {
				last, lastUsage = now, now
				report := r.BuildReport()
				minPeriod = time.Duration(r.send(&report)) * time.Second / maxBytesPerSecond
				continue
			}
			if now.Sub(lastUsage) < minUsagePeriod {
				r.sendPendingDemand()
				continue
			}
			// An empty report tells the others that nothing has changed.
			if usages := r.BuildUsages(); len(usages) > 0 || now.Sub(lastUsage) >= Period {
				if usagePeriods != nil && len(usages) > 0 {
					usagePeriods.Update(now.Sub(lastUsage).Seconds())
				}
				lastUsage = now
				minUsagePeriod = UsagePeriod(r.sendUsages(usages))
			}
			r.sendPendingDemand()
		}
	}
}

// exchange sends the messages on crashes that are due.
func (r *Reporter) exchange() {
	if r.Crashes == nil {
		return
	}
	others := r.Tracker.OtherMembers()
	if len(others) == 0 {
		return
	}
	toAll, toOne := r.Crashes.Messages()
	for _, m := range others {
		r.sendCrashes(toAll, m)
	}
	r.sendCrashes(toOne, others[rand.IntN(len(others))])
}

func (r *Reporter) sendCrashes(messages [][]byte, to tracker.Member) {
	for _, raw := range messages {
		r.write(append([]byte{kindCrashes}, raw...), to)
	}
}

// handleCrashes applies a message on crashes and replies to it.
func (r *Reporter) handleCrashes(raw []byte) {
	if r.Crashes == nil {
		return
	}
	node, replies := r.Crashes.Receive(raw)
	if m, ok := r.Tracker.Member(node); ok {
		r.sendCrashes(replies, m)
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

// UsagePeriod returns the minimum time between a usage report and the next one, given the number of bytes that were sent to
// all destinations.
func UsagePeriod(sent int) time.Duration {
	byBandwidth := time.Duration(sent) * time.Second / maxUsageBytesPerSecond
	return min(max(byBandwidth, UrgentPeriod), maxUsagePeriod)
}

// destination is a node to which a report is sent, and the datagram kind to use.
type destination struct {
	tracker.Member
	kind byte
}

// destinations returns the other nodes of this data centre, and one of the relays of each other data centre.
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
		list = append(list, destination{r.chooseRelay(members), kindRelay})
	}
	return list
}

// chooseRelay returns one of the relays among the members of a data centre, which are the first of those that respond.
func (r *Reporter) chooseRelay(members []tracker.Member) tracker.Member {
	if reachable := r.Tracker.Responsive(time.Now(), members); len(reachable) > 0 {
		members = reachable
	}
	byName := map[string]tracker.Member{}
	names := make([]string, 0, len(members))
	for _, m := range members {
		byName[m.Node] = m
		names = append(names, m.Node)
	}
	relays := elector.Rank(relayPurpose, names)
	return byName[relays[rand.IntN(min(len(relays), relaysPerDataCentre))]]
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
	return r.broadcast(kindUsage, &tracker.UsageReport{
		Node: r.Tracker.Self, Started: r.started, Sequence: r.sequence, AccountUsages: usages,
	})
}

// broadcast sends the report to all destinations, as base or the kind that is relayed. It returns the total number of
// bytes, or 0 if the report cannot be encoded within maxReportBytes.
func (r *Reporter) broadcast(base byte, report msgp.Marshaler) int {
	raw, err := report.MarshalMsg([]byte{base})
	if err != nil || len(raw) > maxReportBytes {
		return 0
	}
	destinations := r.destinations()
	withDemand, sent := r.withDemand(raw), 0
	for _, to := range destinations {
		if withDemand != nil && to.kind == kindDirect && to.TakesDemand {
			r.write(withDemand, to.Member)
			sent++
			continue
		}
		raw[0] = base + to.kind
		r.write(raw, to.Member)
	}
	if withDemand != nil {
		r.demand.sent(sent)
	}
	return len(raw) * len(destinations)
}

// write sends a datagram at the end of the check. Errors are ignored, because the next report replaces a lost one.
func (r *Reporter) write(raw []byte, to tracker.Member) {
	addr, ok := r.addresses[to.ReportAddress]
	if !ok {
		var err error
		if addr, err = netip.ParseAddrPort(to.ReportAddress); err != nil {
			return
		}
		if r.addresses == nil || len(r.addresses) >= maxAddresses {
			r.addresses = map[string]netip.AddrPort{}
		}
		r.addresses[to.ReportAddress] = addr
	}
	r.count(raw, to)
	r.socket.send(raw, addr)
}

// receive handles the datagrams that have arrived. If they are many, it is called again before the next check, so that the
// kernel's buffer does not overflow.
func (r *Reporter) receive(again *time.Timer) {
	if r.socket.receive(r.handleReceived) >= busyDatagrams {
		again.Reset(busyInterval)
	}
}

func (r *Reporter) handleReceived(raw []byte) {
	if len(raw) > 1 {
		r.handleDatagram(raw)
	}
}

// handleDatagram decodes and applies the reports of a datagram.
func (r *Reporter) handleDatagram(raw []byte) {
	switch raw[0] {
	case kindBatch:
	case kindCrashes:
		r.handleCrashes(raw[1:])
		return
	case kindDemand:
		r.handleDemand(raw[1:])
		return
	case kindDataCentreDemand:
		r.handleSums(raw[1:], true)
		return
	default:
		_ = r.handleOne(raw)
		return
	}
	for raw = raw[1:]; len(raw) > 1; {
		switch raw[0] {
		case kindDirect, kindUsage:
			raw = r.handleOne(raw)
		case kindDemand:
			raw = r.handleDemand(raw[1:])
		case kindDataCentreDemand:
			raw = r.handleSums(raw[1:], false)
		default:
			return
		}
	}
}

// handleOne decodes and applies the first report of a datagram, and relays it to the other nodes of this data centre if
// it asks for that. It returns the bytes that follow, or nil if the report could not be decoded.
func (r *Reporter) handleOne(raw []byte) []byte {
	kind := raw[0]
	var rest []byte
	var newer bool
	switch kind {
	case kindDirect, kindRelay:
		rest, newer = r.handleReport(raw[1:])
	case kindUsage, kindUsageRelay:
		rest, newer = r.handleUsages(raw[1:])
	}
	if newer && (kind == kindRelay || kind == kindUsageRelay) {
		r.relay(kind-kindRelay, raw[1:len(raw)-len(rest)])
	}
	return rest
}

// relay adds a report to the batch that is sent to the other nodes of this data centre.
func (r *Reporter) relay(kind byte, report []byte) {
	r.batchMu.Lock()
	if len(r.batch) == 0 {
		r.batch = append(r.batch, kindBatch)
	}
	r.batch = append(append(r.batch, kind), report...)
	full := len(r.batch) >= maxBatchBytes
	r.batchMu.Unlock()
	if full {
		r.flush()
	}
}

// flush sends the batch. Nodes of earlier versions get its reports one by one.
func (r *Reporter) flush() {
	r.batchMu.Lock()
	defer r.batchMu.Unlock()
	if len(r.batch) == 0 && len(r.demandBatch) == 0 {
		return
	}
	if len(r.batch) == 0 {
		r.batch = append(r.batch, kindBatch)
	}
	batch := r.batch
	if len(r.demandBatch) > 0 {
		batch = slices.Concat(r.batch, r.demandBatch)
	}
	for _, m := range r.Tracker.OtherMembers() {
		if m.DataCentre != r.Tracker.DataCentre {
			continue
		}
		if m.TakesBatches && m.TakesDemand {
			r.write(batch, m)
			continue
		}
		if len(r.batch) == 1 {
			continue
		}
		if m.TakesBatches {
			r.write(r.batch, m)
			continue
		}
		for rest := r.batch[1:]; len(rest) > 1; {
			next, err := msgp.Skip(rest[1:])
			if err != nil {
				break
			}
			r.write(rest[:len(rest)-len(next)], m)
			rest = next
		}
	}
	r.batch, r.demandBatch = r.batch[:0], r.demandBatch[:0]
}

// Close waits until Run has ended and closes the socket.
func (r *Reporter) Close() {
	r.done.Wait()
	r.socket.close()
}
