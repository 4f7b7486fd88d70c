package reporter

import (
	"math"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
)

const (
	// kindDemand precedes the demand that enters at a node of the same data centre, and kindDataCentreDemand the sums of a
	// data centre. Sums that arrive outside a batch come from another data centre and are relayed. Both are sent only to
	// members that take them, because earlier versions stop reading a batch at an unknown kind.
	kindDemand           = 6
	kindDataCentreDemand = 7

	// maxDemandBytesPerSecond limits the bandwidth that a node uses for its demand within its data centre.
	maxDemandBytesPerSecond = 60_000
	// summerPurpose is the purpose for which the nodes that sum up the demand of a data centre are ranked. The second one
	// sends its sums once a period only, in case the first one is lost.
	summerPurpose = "demand"
	numSummers    = 2
	// changedDemand is the relative change of a data centre's demand after which new sums are sent urgently.
	changedDemand = 0.1
)

// demandSender is the state of the demand that a reporter sends. Only Run uses it.
type demandSender struct {
	// pending is the encoded demand, preceded by its kind, that is due and not sent yet.
	pending   []byte
	sentAt    time.Time
	minPeriod time.Duration
	// summer is the position of this node among those that sum up the demand of its data centre, at rankedAt. It is
	// numSummers or more if the node does not.
	summer    int
	rankedAt  time.Time
	sumsAt    time.Time
	sumsTotal float64
}

// prepareDemand encodes the demand that enters at this node if it is due, and sends the sums of its data centre if those
// are. The encoded demand is sent with the next report, or on its own by sendPendingDemand.
func (r *Reporter) prepareDemand(now time.Time) {
	if r.BuildDemand == nil {
		return
	}
	d := &r.demand
	if now.Sub(d.sentAt) >= r.demandPeriod() {
		d.sentAt = now
		r.sequence++
		rows, recent := r.BuildDemand()
		report := &tracker.DemandReport{Node: r.Tracker.Self, Started: r.started, Sequence: r.sequence, Rows: rows, Recent: recent}
		r.Tracker.ApplyDemand(now, report)
		raw, err := report.MarshalMsg([]byte{kindDemand})
		if err == nil && len(raw) <= maxReportBytes {
			d.pending = raw
		}
	}
	r.sendSums(now)
}

// demandPeriod returns the time between two reports of demand.
func (r *Reporter) demandPeriod() time.Duration {
	if r.DemandUrgent != nil && r.DemandUrgent() {
		return max(UrgentPeriod, r.demand.minPeriod)
	}
	return r.period(r.demand.minPeriod)
}

// sendPendingDemand sends the demand that no report has taken along.
func (r *Reporter) sendPendingDemand() {
	if len(r.demand.pending) == 0 {
		return
	}
	n := 0
	for _, m := range r.Tracker.OtherMembers() {
		if m.DataCentre == r.Tracker.DataCentre && m.TakesDemand {
			r.write(r.demand.pending, m)
			n++
		}
	}
	r.demand.sent(n)
}

// sent records that the pending demand was sent to n nodes.
func (d *demandSender) sent(n int) {
	d.minPeriod = time.Duration(len(d.pending)*n) * time.Second / maxDemandBytesPerSecond
	d.pending = nil
}

// withDemand returns the datagram of a report followed by the pending demand, or nil if none is pending or both together
// are too large.
func (r *Reporter) withDemand(report []byte) []byte {
	if len(r.demand.pending) == 0 || len(report)+len(r.demand.pending)+1 > maxReportBytes {
		return nil
	}
	return slices.Concat([]byte{kindBatch}, report, r.demand.pending)
}

// sendSums sends the demand of this data centre to one relay of each other one, if this node sums it up and it is due.
func (r *Reporter) sendSums(now time.Time) {
	d := &r.demand
	if now.Sub(d.rankedAt) >= Period {
		d.rankedAt = now
		d.summer = r.rankAsSummer(now)
	}
	if d.summer >= numSummers || now.Sub(d.sumsAt) < UrgentPeriod {
		return
	}
	due := now.Sub(d.sumsAt) >= Period
	if !due && d.summer > 0 {
		return
	}
	sums, ok := r.ownDemand(now)
	if !ok {
		return
	}
	total := 0.0
	for _, rate := range sums.Recent {
		total += float64(rate)
	}
	if !due && r.demandPeriod() >= Period && math.Abs(total-d.sumsTotal) <= changedDemand*d.sumsTotal {
		return
	}
	d.sumsAt, d.sumsTotal = now, total
	r.sequence++
	sums.From, sums.Started, sums.Sequence = r.Tracker.Self, r.started, r.sequence
	raw, err := sums.MarshalMsg([]byte{kindDataCentreDemand})
	if err != nil || len(raw) > maxReportBytes {
		return
	}
	others := map[string][]tracker.Member{}
	for _, m := range r.Tracker.OtherMembers() {
		if m.DataCentre != r.Tracker.DataCentre && m.TakesDemand {
			others[m.DataCentre] = append(others[m.DataCentre], m)
		}
	}
	for _, members := range others {
		r.write(raw, r.chooseRelay(members))
	}
}

// rankAsSummer returns the position of this node among those that sum up the demand of its data centre, or numSummers if
// there is no other data centre.
func (r *Reporter) rankAsSummer(now time.Time) int {
	var neighbours []tracker.Member
	elsewhere := false
	for _, m := range r.Tracker.OtherMembers() {
		switch {
		case m.DataCentre != r.Tracker.DataCentre:
			elsewhere = true
		case m.TakesDemand:
			neighbours = append(neighbours, m)
		}
	}
	if !elsewhere {
		return numSummers
	}
	names := []string{r.Tracker.Self}
	for _, m := range r.Tracker.Responsive(now, neighbours) {
		names = append(names, m.Node)
	}
	return slices.Index(elector.Rank(summerPurpose, names), r.Tracker.Self)
}

// ownDemand returns the sums of this data centre, or false if there are none.
func (r *Reporter) ownDemand(now time.Time) (tracker.DataCentreDemand, bool) {
	for _, d := range r.Tracker.Demand(now) {
		if d.DataCentre == r.Tracker.DataCentre {
			return d, true
		}
	}
	return tracker.DataCentreDemand{}, false
}

// handleDemand applies the demand of a node. It returns the bytes that follow, or nil if it cannot be decoded.
func (r *Reporter) handleDemand(raw []byte) []byte {
	var report tracker.DemandReport
	rest, err := report.UnmarshalMsg(raw)
	if err != nil {
		return nil
	}
	r.Tracker.ApplyDemand(time.Now(), &report)
	return rest
}

// handleSums applies the sums of a data centre, and relays them if they are new and relay is set. It returns the bytes
// that follow, or nil if the sums cannot be decoded.
func (r *Reporter) handleSums(raw []byte, relay bool) []byte {
	var sums tracker.DataCentreDemand
	rest, err := sums.UnmarshalMsg(raw)
	if err != nil {
		return nil
	}
	if newer := r.Tracker.ApplyDataCentreDemand(time.Now(), &sums); newer && relay {
		r.batchMu.Lock()
		defer r.batchMu.Unlock()
		r.demandBatch = append(append(r.demandBatch, kindDataCentreDemand), raw[:len(raw)-len(rest)]...)
	}
	return rest
}
