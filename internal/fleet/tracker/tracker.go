// Package tracker keeps what a node knows of the other nodes and their targets.
package tracker

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/apportioner"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
)

// State is what becomes of a target.
type State string

// The states.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
	// Stopping says that the node ends while its target stays; the node's next process attends it.
	Stopping State = "stopping"
)

// Member is a node with its target, as it stands in the store.
type Member struct {
	Node string `json:"node"`
	// Address takes requests, ControlAddress control calls and ReportAddress reports over UDP.
	Address        string `json:"address"`
	ControlAddress string `json:"control-address"`
	ReportAddress  string `json:"report-address"`
	DataCentre     string `json:"data-centre"`
	Service        string `json:"service"`
	Target         string `json:"target"`
	Born           int64  `json:"born"`
	Slots          int    `json:"slots"`
	State          State  `json:"state"`
	// WarmAt is when the target is no longer slow, in milliseconds since the Unix epoch.
	WarmAt int64 `json:"warm-at"`
}

// Report is what a node tells the others from time to time. It crosses as a list of its fields in this order.
type Report struct {
	Node string
	// Started orders the processes of a node, Sequence the reports of a process.
	Started  int64
	Sequence uint64
	Target   string
	Running  int
	Waiting  int
	Limit    int
	Up       bool
	// Load is the mean of running and waiting requests per slot of late; Trim is what the node has learnt for
	// the service of its target.
	Load float32
	Trim float32
	// Demand is what the requests that enter at the node would use of each service, in slots.
	Demand  map[string]float32
	Failing float32
	Rows    []Row
	Tallies []Tally
}

// Row is what a request of a route causes at the node's target.
type Row struct {
	Route string
	// HoldMs is how long it holds its slot, in milliseconds.
	HoldMs float32
	Calls  map[string]float32
}

// Tally is a client account's use of its rate at the node.
type Tally struct {
	Account string
	Window  float32
	Demand  float32
}

const (
	// avoidFor is how long a node is avoided that could not be reached, unless it is heard from before.
	avoidFor = time.Second
	// refusedFor is how long a node is avoided that refused a request which its report would let in.
	refusedFor = 100 * time.Millisecond
	// loadFresh is how long a reported load is believed.
	loadFresh = 3 * time.Second
)

// Tracker is safe for concurrent use. Its lock is a leaf.
type Tracker struct {
	// Self names the own node, DataCentre its place.
	Self       string
	DataCentre string
	// SilentAfter is when a node that sends no reports is avoided.
	SilentAfter time.Duration

	mu    sync.Mutex
	peers map[string]*peer
	// recalled holds by node what was learnt before this process started.
	recalled map[string]Costs
}

type peer struct {
	Member
	report  Report
	heardAt time.Time
	// outstanding counts the requests sent to the node and not answered; loadOutstanding those at loadAt.
	outstanding     int
	running         int
	waiting         int
	limit           int
	loadOutstanding int
	loadAt          time.Time
	avoidUntil      time.Time
}

func (t *Tracker) peer(node string) *peer {
	if t.peers == nil {
		t.peers = map[string]*peer{}
	}
	p := t.peers[node]
	if p == nil {
		p = &peer{}
		t.peers[node] = p
	}
	return p
}

// SetMember notes what the store says of a node.
func (t *Tracker) SetMember(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(m.Node)
	if p.Target != m.Target || p.Address != m.Address || p.State != m.State {
		p.avoidUntil = time.Time{}
		p.heardAt = time.Now()
	}
	p.Member = m
}

// Drop forgets a node.
func (t *Tracker) Drop(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, node)
}

// Heard takes a report. It reports false for one that is older than the latest.
func (t *Tracker) Heard(now time.Time, r *Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[r.Node]
	if !ok {
		return false
	}
	old := &p.report
	if c := cmp.Or(cmp.Compare(r.Started, old.Started), cmp.Compare(r.Sequence, old.Sequence)); c <= 0 {
		return false
	}
	p.report = *r
	p.heardAt = now
	p.avoidUntil = time.Time{}
	p.noteLoad(now, r.Running, r.Waiting, r.Limit)
	return true
}

func (p *peer) noteLoad(now time.Time, running, waiting, limit int) {
	p.running = running
	p.waiting = waiting
	p.limit = limit
	p.loadAt = now
	p.loadOutstanding = p.outstanding
}

// Loaded notes the load that came with an answer of the node.
func (t *Tracker) Loaded(node string, running, waiting, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok && limit > 0 {
		p.noteLoad(time.Now(), running, waiting, limit)
	}
}

// Sent counts a request sent to the node; Answered takes it back.
func (t *Tracker) Sent(node string) { t.count(node, 1) }

// Answered notes that a request sent to the node has ended.
func (t *Tracker) Answered(node string) { t.count(node, -1) }

func (t *Tracker) count(node string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok {
		p.outstanding = max(p.outstanding+n, 0)
	}
}

// Unreachable notes that the node could not be reached.
func (t *Tracker) Unreachable(node string) { t.avoid(node, avoidFor) }

// Refused notes that the node's target does not take requests at present.
func (t *Tracker) Refused(node string) { t.avoid(node, refusedFor) }

func (t *Tracker) avoid(node string, span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok {
		p.avoidUntil = time.Now().Add(span)
	}
}

// Candidates returns the targets of a service that may run a request of the route, without the nodes that
// were tried already, and their members in the same order.
func (t *Tracker) Candidates(now time.Time, service, route string, tried []string) ([]placer.Candidate, []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []placer.Candidate
	var members []Member
	for _, p := range t.peers {
		if p.Service != service || p.State != Ready || slices.Contains(tried, p.Node) {
			continue
		}
		list = append(list, t.candidate(now, p, route))
		members = append(members, p.Member)
	}
	return list, members
}

func (t *Tracker) candidate(now time.Time, p *peer, route string) placer.Candidate {
	c := placer.Candidate{
		Node:           p.Node,
		SameVM:         p.Node == t.Self,
		SameDataCentre: p.DataCentre == t.DataCentre,
		Running:        p.outstanding,
		Limit:          p.Slots,
		ColdStart:      now.UnixMilli() < p.WarmAt,
		Suspect:        now.Before(p.avoidUntil) || t.silent(now, p),
	}
	if now.Sub(p.loadAt) < loadFresh && p.limit > 0 {
		c.Running = max(p.running+p.outstanding-p.loadOutstanding, p.outstanding, 0)
		c.Waiting = p.waiting
		c.Limit = p.limit
	}
	if p.report.Target == p.Target && p.Target != "" {
		c.FailureRate = float64(p.report.Failing)
		c.Suspect = c.Suspect || !p.report.Up
	}
	c.HoldTime = hold(t.rows(p), route)
	return c
}

// hold returns how long a target takes for the route, or 0 where that is not known.
func hold(rows []Row, route string) time.Duration {
	for _, r := range rows {
		if r.Route == route {
			return time.Duration(float64(r.HoldMs) * float64(time.Millisecond))
		}
	}
	return 0
}

func (t *Tracker) silent(now time.Time, p *peer) bool {
	return p.Node != t.Self && now.Sub(p.heardAt) > t.SilentAfter
}

// Service is what is known of all targets of a service together.
type Service struct {
	Slots int
	// Load is the mean of running and waiting requests per slot, Trim the mean of what the nodes have learnt.
	Load float64
	Trim float64
	// Demand is what the requests at the other nodes would use, in slots.
	Demand float64
}

// Services returns what is known of each service.
func (t *Tracker) Services(now time.Time) map[string]Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]Service{}
	for _, p := range t.peers {
		if p.report.Sequence == 0 || t.silent(now, p) {
			continue
		}
		t.addDemand(all, p)
		if p.State != Ready || !p.report.Up || p.report.Limit == 0 {
			continue
		}
		s := all[p.Service]
		s.Slots += p.report.Limit
		s.Load += float64(p.report.Load) * float64(p.report.Limit)
		s.Trim += float64(p.report.Trim) * float64(p.report.Limit)
		all[p.Service] = s
	}
	for name, s := range all {
		if s.Slots > 0 {
			s.Load /= float64(s.Slots)
			s.Trim /= float64(s.Slots)
		}
		all[name] = s
	}
	return all
}

func (t *Tracker) addDemand(all map[string]Service, p *peer) {
	if p.Node == t.Self {
		return
	}
	for service, slots := range p.report.Demand {
		s := all[service]
		s.Demand += float64(slots)
		all[service] = s
	}
}

// Costs are what a node has learnt of its target, as it stands in the store.
type Costs struct {
	Node    string `json:"node"`
	Service string `json:"service"`
	Rows    []Row  `json:"rows"`
}

// Recall takes what a node had learnt before this process started. It counts until the node tells anew, and as
// long as its target belongs to the same service.
func (t *Tracker) Recall(c Costs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recalled == nil {
		t.recalled = map[string]Costs{}
	}
	t.recalled[c.Node] = c
}

// rows returns what the node tells of its target, or what it had learnt before this process started.
func (t *Tracker) rows(p *peer) []Row {
	if len(p.report.Rows) > 0 {
		return p.report.Rows
	}
	if c := t.recalled[p.Node]; c.Service == p.Service {
		return c.Rows
	}
	return nil
}

// Rows returns what a request of each route causes, averaged over the targets that told it. What a lost
// target told counts only for routes of which no living one tells.
func (t *Tracker) Rows(now time.Time) map[string]apportioner.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	living, lost := rowSums{}, rowSums{}
	for _, p := range t.peers {
		if p.State == Gone || t.silent(now, p) {
			lost.add(p.Service, t.rows(p))
			continue
		}
		living.add(p.Service, t.rows(p))
	}
	rows := lost.means()
	maps.Copy(rows, living.means())
	return rows
}

// rowSums adds up what targets tell of each route.
type rowSums map[string]*rowSum

type rowSum struct {
	apportioner.Row
	n float64
}

func (s rowSums) add(service string, rows []Row) {
	for _, r := range rows {
		sum := s[r.Route]
		if sum == nil {
			sum = &rowSum{Row: apportioner.Row{Service: service, Calls: map[string]float64{}}}
			s[r.Route] = sum
		}
		sum.Hold += float64(r.HoldMs) / 1000
		for k, v := range r.Calls {
			sum.Calls[k] += float64(v)
		}
		sum.n++
	}
}

func (s rowSums) means() map[string]apportioner.Row {
	rows := map[string]apportioner.Row{}
	for name, sum := range s {
		sum.Hold /= sum.n
		for k := range sum.Calls {
			sum.Calls[k] /= sum.n
		}
		rows[name] = sum.Row
	}
	return rows
}

// Others returns the other members.
func (t *Tracker) Others() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Member, 0, len(t.peers))
	for _, p := range t.peers {
		if p.Node != t.Self {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Heardable returns those of the members that were heard from lately.
func (t *Tracker) Heardable(now time.Time, members []Member) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var heard []Member
	for _, m := range members {
		if p, ok := t.peers[m.Node]; ok && !t.silent(now, p) && now.After(p.avoidUntil) {
			heard = append(heard, m)
		}
	}
	return heard
}

// Live returns the number of members that were heard from lately, the own node included.
func (t *Tracker) Live(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, p := range t.peers {
		if p.Node != t.Self && !t.silent(now, p) {
			n++
		}
	}
	return n
}
