package tracker

//go:generate msgp -file demand.go -o demand_gen.go -io=false -tests=false
//go:generate sed -i s/msgp.ReadStringBytes(/readName(/ demand_gen.go

//msgp:tuple DemandRow DemandReport DataCentreDemand
//msgp:ignore demandState demandClass demandSum nodeDemand dataCentreDemand sequence
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
	// index holds the position of each class in classes. order holds the positions by rank and route; it is shorter than
	// classes if some are new.
	index   map[demandClass]int
	classes []demandClass
	order   []int
	// sums is reused for each sum, by position.
	sums []demandSum
}

// demandClass is what rows are summed up by.
type demandClass struct {
	route string
	rank  int
}

type demandSum struct {
	rate, recent float32
	known        bool
}

// maxDemandClasses bounds the classes that reports may name.
const maxDemandClasses = 10_000

type nodeDemand struct {
	report     DemandReport
	receivedAt time.Time
	// positions holds the position of the class of each row, or -1 if there are too many classes.
	positions []int
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
	old := n.report.Rows
	n.report, n.receivedAt = *r, now
	t.demand.setPositions(n, old)
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
// older than 3.5 s counts with a share that falls to zero over another 3.5 s. The caller must not change the rows.
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
	d := &t.demand
	d.sums = slices.Grow(d.sums[:0], len(d.classes))[:len(d.classes)]
	clear(d.sums)
	var ages time.Duration
	for node, n := range d.byNode {
		age := now.Sub(n.receivedAt)
		share := decay(age)
		if share <= 0 {
			delete(d.byNode, node)
			continue
		}
		sums.Nodes++
		ages += age
		n.addTo(d.sums, share)
	}
	if sums.Nodes > 0 {
		sums.AgeMs = int((ages / time.Duration(sums.Nodes)).Milliseconds())
	}
	for _, i := range d.ordered() {
		if sum := &d.sums[i]; sum.known {
			sums.Rows = append(sums.Rows, DemandRow{Route: d.classes[i].route, Rank: d.classes[i].rank, Rate: sum.rate})
			sums.Recent = append(sums.Recent, sum.recent)
		}
	}
	return sums
}

// addTo adds the share of the node's demand to the sums.
func (n *nodeDemand) addTo(sums []demandSum, share float32) {
	for i, position := range n.positions {
		if position < 0 {
			continue
		}
		rate := n.report.Rows[i].Rate
		recent := rate
		if len(n.report.Recent) > 0 {
			recent = n.report.Recent[i]
		}
		sum := &sums[position]
		sum.rate += rate * share
		sum.recent += recent * share
		sum.known = true
	}
}

// setPositions finds the classes of the node's rows, because they are summed up far more often than received. Rows that name
// the same class as the old row in their place keep its position.
func (d *demandState) setPositions(n *nodeDemand, old []DemandRow) {
	known := min(len(n.positions), len(old))
	positions := n.positions[:known]
	n.positions = n.positions[:0]
	for k, row := range n.report.Rows {
		if k < known && old[k].Route == row.Route && old[k].Rank == row.Rank && positions[k] >= 0 {
			n.positions = append(n.positions, positions[k])
			continue
		}
		class := demandClass{row.Route, row.Rank}
		i, ok := d.index[class]
		switch {
		case ok:
		case len(d.classes) >= maxDemandClasses:
			i = -1
		default:
			if d.index == nil {
				d.index = map[demandClass]int{}
			}
			i = len(d.classes)
			d.index[class] = i
			d.classes = append(d.classes, class)
		}
		n.positions = append(n.positions, i)
	}
}

// ordered returns the positions of all classes by rank and route.
func (d *demandState) ordered() []int {
	if len(d.order) == len(d.classes) {
		return d.order
	}
	for i := len(d.order); i < len(d.classes); i++ {
		d.order = append(d.order, i)
	}
	slices.SortFunc(d.order, func(a, b int) int {
		x, y := &d.classes[a], &d.classes[b]
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.route, y.route))
	})
	return d.order
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
	old := n.report.Rows
	n.report.Rows, n.report.Recent, n.receivedAt = rows, recent, now
	t.demand.setPositions(n, old)
}

// UnrankedDemand returns the demand, in slots by service, of the other nodes that send reports but whose demand by rank is
// not known, and the number of these nodes. unknown is the number of nodes that send reports but have not told of any demand
// yet, because they have just started.
func (t *Tracker) UnrankedDemand(now time.Time) (slots map[string]float64, nodes, unknown int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots = map[string]float64{}
	for _, p := range t.peers {
		if p.Node == t.Self || p.report.Sequence == 0 || t.reportOverdue(now, p) || t.knowsDemand(now, p) {
			continue
		}
		if p.TakesDemand && len(p.demand) == 0 {
			unknown++
			continue
		}
		nodes++
		for _, d := range p.demand {
			slots[t.serviceNames[d.service]] += d.slots
		}
	}
	return slots, nodes, unknown
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
