// Package tracker keeps a node's view of the other nodes and their targets.
package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"github.com/plantainwheel/plantainwheel/internal/policy/warmer"
)

// State is the lifecycle state of a target.
type State string

// The lifecycle states.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
	// Stopping means that the node is stopping while its target keeps running. The node's next process takes
	// over the target.
	Stopping State = "stopping"
)

// Member is the stored record of a node and its target.
type Member struct {
	Node string `json:"node"`
	// Address accepts requests, ControlAddress accepts control calls, and ReportAddress accepts reports over
	// UDP.
	Address        string `json:"address"`
	ControlAddress string `json:"control-address"`
	ReportAddress  string `json:"report-address"`
	DataCentre     string `json:"data-centre"`
	Service        string `json:"service"`
	Target         string `json:"target"`
	StartedAtMs    int64  `json:"born"`
	Slots          int    `json:"slots"`
	State          State  `json:"state"`
	// WarmUpEndMs is the time at which the target's warm-up ends, in milliseconds since the Unix epoch.
	WarmUpEndMs int64 `json:"warm-at"`
	// TakesBatches tells that the node understands several reports in one datagram.
	TakesBatches bool `json:"takes-batches,omitempty"`
	// TakesDemand tells that the node understands demand by route and rank, also in a batch.
	TakesDemand bool `json:"takes-demand,omitempty"`
	// RecognisesCopies tells that the node recognises a forwarded request that is sent again.
	RecognisesCopies bool `json:"recognises-copies,omitempty"`
	// Version is the version of the target's software, if known.
	Version string `json:"version,omitempty"`
	// DepartedAtMs is the time of day at which a target that is gone has deregistered, in milliseconds since the Unix epoch.
	// Nodes of earlier versions leave it out.
	DepartedAtMs int64 `json:"departed-at,omitempty"`
}

const (
	// unreachableBackoff is the time for which an unreachable node is suspect, unless it sends a report
	// earlier.
	unreachableBackoff = time.Second
	// refusalBackoff is the time for which a node is suspect after it refused a request although its report
	// showed free capacity.
	refusalBackoff = 100 * time.Millisecond
	// maxServices bounds the services for which other nodes may report a demand.
	maxServices = 10_000
	// forgetTime is the time without reports after which a member no longer shares the rate limits.
	forgetTime = 2 * time.Minute
	// maxLoadAge is the age above which a reported load is ignored.
	maxLoadAge = 3 * time.Second
)

// Tracker holds a node's view of the fleet. It is safe for concurrent use. No other lock is acquired while its
// lock is held.
type Tracker struct {
	// Self is the name of this node, DataCentre its data centre.
	Self       string
	DataCentre string
	// ReportTimeout is the time without reports after which a node is suspect.
	ReportTimeout time.Duration
	// Evacuated, if set, returns the names of the evacuated data centres, whose targets get no requests. It is called
	// while the lock is held.
	Evacuated func() map[string]bool
	// ColdPerSecond, if set, returns the number of requests per second that a cold target of the service tolerates, or 0 if
	// it is not limited.
	ColdPerSecond func(service string) float64

	mu    sync.Mutex
	peers map[string]*peer
	// byService holds the peers by the service of their targets, and others the members except this node. Both are nil
	// after a change of the members.
	byService map[string][]*peer
	others    []Member
	// services holds the position of each service in serviceNames.
	services     map[string]int
	serviceNames []string
	// restored holds, by node, the costs that were learned before this process started, and restoredOf, by service, those
	// of one of its nodes.
	restored   map[string]NodeCosts
	restoredOf map[string]NodeCosts
	statements map[incarnation]statement
	demand     demandState
	// roundTrips holds the measured round trip to each other data centre.
	roundTrips map[string]*roundTrip
}

// serviceDemand is the demand of a service, in slots, by its position in Tracker.serviceNames.
type serviceDemand struct {
	service int
	slots   float64
}

type peer struct {
	Member
	report   Report
	demand   []serviceDemand
	lastSeen time.Time
	// usagesStarted and usagesSequence are those of the latest report with account usages.
	usagesStarted  int64
	usagesSequence uint64
	// outstanding counts the requests sent to the node and not answered yet. loadOutstanding is the value of
	// outstanding at loadUpdatedAt.
	outstanding int
	// lateAt holds, for each outstanding request, the time from which on it is late.
	lateAt          []time.Time
	running         int
	waiting         int
	limit           int
	loadOutstanding int
	loadUpdatedAt   time.Time
	suspectUntil    time.Time
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

// SetMember stores the record of a node.
func (t *Tracker) SetMember(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(m.Node)
	t.byService, t.others = nil, nil
	if p.Target != m.Target || p.Address != m.Address || p.State != m.State {
		p.suspectUntil = time.Time{}
		p.lastSeen = time.Now()
	}
	p.Member = m
}

// RemoveMember removes a node.
func (t *Tracker) RemoveMember(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, node)
	t.byService, t.others = nil, nil
}

// ApplyReport stores a report. It keeps neither Demand nor AccountUsages, which the caller may reuse. It returns false if the node is unknown or has already sent a newer report or the
// same one, or if the report is invalid.
func (t *Tracker) ApplyReport(now time.Time, r *Report) bool {
	if !r.isValid() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[r.Node]
	if !ok {
		return false
	}
	if !isNewer(r.Started, r.Sequence, p.report.Started, p.report.Sequence) {
		return false
	}
	p.report = *r
	p.report.Demand, p.report.AccountUsages = nil, nil
	t.setDemand(p, r.Demand)
	p.lastSeen = now
	p.suspectUntil = time.Time{}
	p.setLoad(now, r.Running, r.Waiting, r.Limit)
	return true
}

// isNewer reports whether a report is newer than an old one of the same node.
func isNewer(started int64, sequence uint64, oldStarted int64, oldSequence uint64) bool {
	return cmp.Or(cmp.Compare(started, oldStarted), cmp.Compare(sequence, oldSequence)) > 0
}

// ApplyUsages records that a report of the node has account usages. It returns false if the node is unknown or they are
// not newer than those of another report.
func (t *Tracker) ApplyUsages(node string, started int64, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[node]
	if !ok || !isNewer(started, sequence, p.usagesStarted, p.usagesSequence) {
		return false
	}
	p.usagesStarted, p.usagesSequence = started, sequence
	return true
}

func (p *peer) setLoad(now time.Time, running, waiting, limit int) {
	p.running = running
	p.waiting = waiting
	p.limit = limit
	p.loadUpdatedAt = now
	p.loadOutstanding = p.outstanding
}

// RecordLoad records the load that an answer of the node carried.
func (t *Tracker) RecordLoad(node string, running, waiting, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok && limit > 0 {
		p.setLoad(time.Now(), running, waiting, limit)
	}
}

// Process returns the process that the node's latest report came from, or 0 if it is unknown or does not recognise
// forwarded requests that are sent again.
func (t *Tracker) Process(node string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok && p.RecognisesCopies {
		return p.report.Started
	}
	return 0
}

// MarkUnreachable records that the node could not be reached.
func (t *Tracker) MarkUnreachable(node string) { t.markSuspect(node, unreachableBackoff) }

// MarkRefusing records that the node's target doesn't accept requests at present.
func (t *Tracker) MarkRefusing(node string) { t.markSuspect(node, refusalBackoff) }

func (t *Tracker) markSuspect(node string, period time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok {
		p.suspectUntil = time.Now().Add(period)
	}
}

// Candidates appends the targets of a service that may run a request of the route to list, except those of the nodes in
// tried, and returns the result. It starts with another target each time, so that the nodes do not all choose the same
// one of several equal targets.
func (t *Tracker) Candidates(list []placer.Candidate, now time.Time, service, route string, tried []string) []placer.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := t.peersOf(service)
	if len(peers) == 0 {
		return list
	}
	first := rand.IntN(len(peers))
	for i := range peers {
		p := peers[(first+i)%len(peers)]
		if !t.takesRequests(p) || slices.Contains(tried, p.Node) {
			continue
		}
		list = append(list, t.candidate(now, p, route))
	}
	ignoreGeneralLateness(list)
	return list
}

// peersOf returns the peers whose targets belong to the service.
func (t *Tracker) peersOf(service string) []*peer {
	if t.byService == nil {
		t.byService = map[string][]*peer{}
		for _, p := range t.peers {
			t.byService[p.Service] = append(t.byService[p.Service], p)
		}
	}
	return t.byService[service]
}

// Member returns the record of a node, or false if it is unknown.
func (t *Tracker) Member(node string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[node]; ok {
		return p.Member, true
	}
	return Member{}, false
}

func (t *Tracker) candidate(now time.Time, p *peer, route string) placer.Candidate {
	c := placer.Candidate{
		Node:           p.Node,
		DataCentre:     p.DataCentre,
		InFlight:       p.outstanding,
		Late:           p.late(now),
		SameVM:         p.Node == t.Self,
		SameDataCentre: p.DataCentre == t.DataCentre,
		Running:        p.outstanding,
		Limit:          p.Slots,
		WarmingUp:      now.UnixMilli() < p.WarmUpEndMs,
		Suspect:        now.Before(p.suspectUntil) || t.reportOverdue(now, p),
	}
	if now.Sub(p.loadUpdatedAt) < maxLoadAge && p.limit > 0 {
		c.Running = max(p.running+p.outstanding-p.loadOutstanding, p.outstanding, 0)
		c.Waiting = p.waiting
		c.Limit = p.limit
	}
	if p.report.Target == p.Target && p.Target != "" {
		c.FailureRate = float64(p.report.FailureRate)
		c.Suspect = c.Suspect || !p.report.Up
	}
	c.HoldTime = holdTimeOf(t.expectedCosts(p), route)
	if c.WarmingUp && t.ColdPerSecond != nil {
		limitCold(&c, t.ColdPerSecond(p.Service))
	}
	return c
}

// limitCold reduces the limit of a target that warms up to the requests that run at once at its pace. The target's report
// may be from before it became cold, or lack.
func limitCold(c *placer.Candidate, perSecond float64) {
	if perSecond > 0 {
		c.Limit = warmer.Slots(perSecond, c.Limit, c.HoldTime)
	}
}

// holdTimeOf returns the hold time of the route, or 0 if unknown.
func holdTimeOf(costs []RouteCosts, route string) time.Duration {
	for _, r := range costs {
		if r.Route == route {
			return time.Duration(float64(r.HoldMs) * float64(time.Millisecond))
		}
	}
	return 0
}

func (t *Tracker) reportOverdue(now time.Time, p *peer) bool {
	return p.Node != t.Self && now.Sub(p.lastSeen) > t.ReportTimeout
}

// OtherMembers returns all members except this node, ordered by name. The caller must not change the list.
func (t *Tracker) OtherMembers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.others != nil {
		return t.others
	}
	list := make([]Member, 0, len(t.peers))
	for _, p := range t.peers {
		if p.Node != t.Self {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	t.others = list
	return list
}

// Responsive returns the given members that sent reports recently and are not suspect.
func (t *Tracker) Responsive(now time.Time, members []Member) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var responsive []Member
	for _, m := range members {
		if p, ok := t.peers[m.Node]; ok && !t.reportOverdue(now, p) && now.After(p.suspectUntil) {
			responsive = append(responsive, m)
		}
	}
	return responsive
}

// Sharing returns the names of the other members that share the rate limits of the client accounts. A silent member may
// be cut off and go on admitting requests, so it is included for long, unless it has announced that it stops.
func (t *Tracker) Sharing(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		gone := now.Sub(p.lastSeen) > forgetTime || (p.State == Stopping && t.reportOverdue(now, p))
		if p.Node != t.Self && !gone {
			names = append(names, p.Node)
		}
	}
	return names
}
