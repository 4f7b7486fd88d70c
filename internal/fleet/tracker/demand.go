package tracker

//go:generate msgp -file demand.go -o demand_gen.go -io=false -tests=false

//msgp:tuple DemandRow DemandReport DataCentreDemand
//msgp:ignore demandState nodeDemand dataCentreDemand sequence
//msgp:limit arrays:20000 maps:5000

import (
	"cmp"
	"slices"
	"time"
)

// DemandRow is the rate at which requests of a route and rank arrive.
type DemandRow struct {
	Route string
	// Rank is the rank of the requests, or -1 for child calls, whose route is the called one.
	Rank int
	// Rate is the number of requests per second that are offered where they enter, whether admitted or not.
	Rate float32
}

// DemandReport holds the demand that enters at one node. It is encoded as a list of its fields in this order.
type DemandReport struct {
	Node     string
	Started  int64
	Sequence uint64
	Rows     []DemandRow `msg:",allownil"`
	// Recent holds, for each row, the rate averaged over a shorter time than Rate. It shows a rise earlier, but at one node
	// alone it is mostly noise. It may be empty.
	Recent []float32 `msg:",allownil"`
}

// DataCentreDemand is the demand that enters at the nodes of a data centre. It is encoded as a list of its fields in this
// order.
type DataCentreDemand struct {
	DataCentre string
	// From is the node that has summed the rows of the data centre's nodes. Started identifies its process, and Sequence
	// increases with each sum of the process.
	From     string
	Started  int64
	Sequence uint64
	// AgeMs is the mean age of the rows summed, in milliseconds, and Nodes the number of nodes that they are of.
	AgeMs int
	Nodes int
	Rows  []DemandRow `msg:",allownil"`
	// Recent holds the rate of each row averaged over a shorter time. It may be empty.
	Recent []float32 `msg:",allownil"`
}

const (
	// maxDemandAge is the age up to which demand counts in full. From there on it decays to zero over demandDecay,
	// because the requests of nodes that fall silent may go on arriving.
	maxDemandAge = 3500 * time.Millisecond
	demandDecay  = 3500 * time.Millisecond
	// preferredSumAge is the age up to which the sums of a node that has heard more nodes are preferred to newer ones of
	// another node of the same data centre.
	preferredSumAge = time.Second
	// maxRank bounds the ranks in reports.
	maxRank = 1 << 20
)

// demandState is the demand that other nodes have reported.
type demandState struct {
	// byNode holds the rows of the nodes of this data centre, byDataCentre the sums of the other data centres.
	byNode       map[string]*nodeDemand
	byDataCentre map[string]*dataCentreDemand
}

type nodeDemand struct {
	report     DemandReport
	receivedAt time.Time
}

type dataCentreDemand struct {
	sums       DataCentreDemand
	receivedAt time.Time
	// latest holds the process and sequence of the newest sums of each sender.
	latest map[string]sequence
}

// sequence is the position of a report among those of its node.
type sequence struct {
	started  int64
	sequence uint64
}

func areRowsSound(rows []DemandRow, recent []float32) bool {
	if (len(recent) > 0 && len(recent) != len(rows)) || !areSound(recent...) {
		return false
	}
	for i := range rows {
		if r := &rows[i]; r.Rank < -1 || r.Rank > maxRank || !areSound(r.Rate) {
			return false
		}
	}
	return true
}

// ApplyDemand stores the demand that enters at a node of this data centre, which may be this node. It returns false if the
// node is unknown or of another data centre, if it has already sent a newer report or the same one, or if the report is
// invalid. The rows must not be changed afterwards.
func (t *Tracker) ApplyDemand(now time.Time, r *DemandReport) bool {
	if !areRowsSound(r.Rows, r.Recent) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[r.Node]
	if r.Node != t.Self && (!ok || p.DataCentre != t.DataCentre) {
		return false
	}
	if t.demand.byNode == nil {
		t.demand.byNode = map[string]*nodeDemand{}
	}
	n := t.demand.byNode[r.Node]
	if n == nil {
		n = &nodeDemand{}
		t.demand.byNode[r.Node] = n
	}
	if !isNewer(r.Started, r.Sequence, n.report.Started, n.report.Sequence) {
		return false
	}
	n.report, n.receivedAt = *r, now
	return true
}

// ApplyDataCentreDemand stores the sums of another data centre. It returns false if their sender is not a known node of that
// data centre, if it has already sent newer ones or the same, or if they are invalid. The rows must not be changed
// afterwards.
func (t *Tracker) ApplyDataCentreDemand(now time.Time, d *DataCentreDemand) bool {
	if !areRowsSound(d.Rows, d.Recent) || !areSound(float32(d.AgeMs), float32(d.Nodes)) || d.DataCentre == t.DataCentre {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[d.From]; !ok || p.DataCentre != d.DataCentre {
		return false
	}
	if t.demand.byDataCentre == nil {
		t.demand.byDataCentre = map[string]*dataCentreDemand{}
	}
	c := t.demand.byDataCentre[d.DataCentre]
	if c == nil {
		c = &dataCentreDemand{latest: map[string]sequence{}}
		t.demand.byDataCentre[d.DataCentre] = c
	}
	last := c.latest[d.From]
	if !isNewer(d.Started, d.Sequence, last.started, last.sequence) {
		return false
	}
	c.latest[d.From] = sequence{d.Started, d.Sequence}
	if d.From == c.sums.From || d.Nodes >= c.sums.Nodes || now.Sub(c.receivedAt) > preferredSumAge {
		c.sums, c.receivedAt = *d, now
	}
	return true
}

// decay returns the share with which demand of the given age counts.
func decay(age time.Duration) float32 {
	return 1 - float32(min(max(age-maxDemandAge, 0), demandDecay))/float32(demandDecay)
}

// Demand returns the demand that enters at each data centre, ordered by name. This data centre is included. Demand that is
// older than 3.5 s counts with a share that falls to zero over another 3.5 s.
func (t *Tracker) Demand(now time.Time) []DataCentreDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]DataCentreDemand, 0, len(t.demand.byDataCentre)+1)
	if own := t.sumDemand(now); own.Nodes > 0 {
		list = append(list, own)
	}
	for _, c := range t.demand.byDataCentre {
		age := now.Sub(c.receivedAt) + time.Duration(c.sums.AgeMs)*time.Millisecond
		share := decay(age)
		if share <= 0 {
			continue
		}
		d := c.sums
		d.AgeMs = int(age.Milliseconds())
		if share < 1 {
			d.Rows, d.Recent = slices.Clone(d.Rows), slices.Clone(d.Recent)
			for i := range d.Rows {
				d.Rows[i].Rate *= share
			}
			for i := range d.Recent {
				d.Recent[i] *= share
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b DataCentreDemand) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// sumDemand returns the sums of this data centre, without From, Started and Sequence. Nodes whose demand has decayed to
// zero are forgotten. The caller holds the mutex.
func (t *Tracker) sumDemand(now time.Time) DataCentreDemand {
	sums := DataCentreDemand{DataCentre: t.DataCentre, From: t.Self}
	type key struct {
		route string
		rank  int
	}
	type rates struct{ rate, recent float32 }
	byKey := map[key]rates{}
	var ages time.Duration
	for node, n := range t.demand.byNode {
		age := now.Sub(n.receivedAt)
		share := decay(age)
		if share <= 0 {
			delete(t.demand.byNode, node)
			continue
		}
		sums.Nodes++
		ages += age
		for i, row := range n.report.Rows {
			recent := row.Rate
			if len(n.report.Recent) > 0 {
				recent = n.report.Recent[i]
			}
			sum := byKey[key{row.Route, row.Rank}]
			byKey[key{row.Route, row.Rank}] = rates{sum.rate + row.Rate*share, sum.recent + recent*share}
		}
	}
	if sums.Nodes > 0 {
		sums.AgeMs = int((ages / time.Duration(sums.Nodes)).Milliseconds())
	}
	for k, r := range byKey {
		sums.Rows = append(sums.Rows, DemandRow{Route: k.route, Rank: k.rank, Rate: r.rate})
	}
	slices.SortFunc(sums.Rows, func(a, b DemandRow) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Route, b.Route))
	})
	for _, row := range sums.Rows {
		sums.Recent = append(sums.Recent, byKey[key{row.Route, row.Rank}].recent)
	}
	return sums
}

// SetOwnDemand stores the demand that enters at this node, which is known here before it is reported. The slices must not
// be changed afterwards.
func (t *Tracker) SetOwnDemand(now time.Time, rows []DemandRow, recent []float32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.demand.byNode == nil {
		t.demand.byNode = map[string]*nodeDemand{}
	}
	n := t.demand.byNode[t.Self]
	if n == nil {
		n = &nodeDemand{}
		t.demand.byNode[t.Self] = n
	}
	n.report.Rows, n.report.Recent, n.receivedAt = rows, recent, now
}

// UnrankedDemand returns the demand, in slots by service, of the other nodes that send reports but whose demand by rank is
// not known, and the number of these nodes.
func (t *Tracker) UnrankedDemand(now time.Time) (slots map[string]float64, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots = map[string]float64{}
	for _, p := range t.peers {
		if p.Node == t.Self || p.report.Sequence == 0 || t.reportOverdue(now, p) || t.knowsDemand(now, p) {
			continue
		}
		nodes++
		for _, d := range p.demand {
			slots[t.serviceNames[d.service]] += d.slots
		}
	}
	return slots, nodes
}

// knowsDemand reports whether the demand of the node by rank is known. The caller holds the mutex.
func (t *Tracker) knowsDemand(now time.Time, p *peer) bool {
	if !p.TakesDemand {
		return false
	}
	if p.DataCentre == t.DataCentre {
		return t.demand.byNode[p.Node] != nil
	}
	c := t.demand.byDataCentre[p.DataCentre]
	return c != nil && now.Sub(c.receivedAt) < maxDemandAge+demandDecay
}
