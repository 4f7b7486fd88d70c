package tracker

import (
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/latecounter"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
)

// DataCentreCapacity is what the targets of a service in a data centre run at once, in slots of a target of mean speed.
type DataCentreCapacity struct {
	DataCentre string
	Slots      float64
}

const (
	// warmingUpShare is the share of its slots with which a target counts while it warms up, since it is slow. Its node
	// lowers the limit that it reports further if the target bears few requests.
	warmingUpShare = 0.4
	// minSpeed and maxSpeed bound the speed of a target, which is learned from few requests at first.
	minSpeed = 0.25
	maxSpeed = 4.0
	// minLate is the number of late requests from which on a target counts as slow.
	minLate = 2
	// unknownHoldTime replaces an unknown hold time when a request is sent.
	unknownHoldTime = 200 * time.Millisecond
	// roundTripWindow is the time for which a round trip counts. The shortest of the current and the previous window is
	// the round trip without the waits of the processes at both ends.
	roundTripWindow = 10 * time.Second
)

// takesRequests reports whether new requests may be sent to the peer's target. The caller holds the mutex.
func (t *Tracker) takesRequests(p *peer) bool {
	return p.State == Ready && !t.evacuated()[p.DataCentre] && !t.statements[p.incarnation()].leaving
}

// Size returns the number of known members.
func (t *Tracker) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// Capacities returns the capacity of each service by data centre, ordered by name. A data centre whose targets of a service
// are all draining, silent, down, unreachable or evacuated has a capacity of 0 there. A service's data centres include all those of
// the fleet.
func (t *Tracker) Capacities(now time.Time) map[string][]DataCentreCapacity {
	evacuated := t.evacuated()
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	live := map[string][]*peer{}
	for _, p := range t.peers {
		if i, known := slices.BinarySearch(names, p.DataCentre); !known {
			names = slices.Insert(names, i, p.DataCentre)
		}
		unreachable := p.suspectUntil.Sub(now) > 2*refusalBackoff
		down := p.report.Target == p.Target && p.report.Sequence != 0 && !p.report.Up
		if p.Service != "" && t.takesRequests(p) && !evacuated[p.DataCentre] && !unreachable && !down && !t.reportOverdue(now, p) {
			live[p.Service] = append(live[p.Service], p)
		}
	}
	all := map[string][]DataCentreCapacity{}
	for service, peers := range live {
		list := make([]DataCentreCapacity, len(names))
		for i, name := range names {
			list[i].DataCentre = name
		}
		means := t.meanHoldMs(peers)
		for _, p := range peers {
			i, _ := slices.BinarySearch(names, p.DataCentre)
			list[i].Slots += t.effectiveSlots(now, p, means)
		}
		all[service] = list
	}
	return all
}

// meanHoldMs returns the mean hold time of each route over the peers, in milliseconds.
func (t *Tracker) meanHoldMs(peers []*peer) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, p := range peers {
		for _, r := range t.expectedCosts(p) {
			sums[r.Route] += float64(r.HoldMs)
			counts[r.Route]++
		}
	}
	for route := range sums {
		sums[route] /= counts[route]
	}
	return sums
}

// effectiveSlots returns the slots of the peer's target, scaled by its speed relative to the others of its service.
func (t *Tracker) effectiveSlots(now time.Time, p *peer, meanHoldMs map[string]float64) float64 {
	slots := float64(p.Slots)
	if now.Sub(p.loadUpdatedAt) < maxLoadAge && p.limit > 0 {
		slots = float64(p.limit)
	}
	speed, routes := 0.0, 0.0
	for _, r := range t.expectedCosts(p) {
		if r.HoldMs > 0 {
			speed += meanHoldMs[r.Route] / float64(r.HoldMs)
			routes++
		}
	}
	if routes > 0 {
		slots *= min(max(speed/routes, minSpeed), maxSpeed)
	}
	if now.UnixMilli() < p.WarmUpEndMs {
		slots *= warmingUpShare
	}
	return slots
}

// StartRequest counts a request of the route that is sent to the node as outstanding, until EndRequest is called with the
// returned time, from which on the request is late.
func (t *Tracker) StartRequest(now time.Time, node, route string) (lateAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[node]
	if !ok {
		return time.Time{}
	}
	hold := holdTimeOf(t.expectedCosts(p), route)
	if hold <= 0 {
		hold = unknownHoldTime
	}
	lateAt = now.Add(latecounter.LateAfter(hold))
	p.outstanding++
	p.lateAt = append(p.lateAt, lateAt)
	return lateAt
}

// EndRequest records that a request sent to the node has ended.
func (t *Tracker) EndRequest(node string, lateAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[node]
	if !ok {
		return
	}
	if i := slices.Index(p.lateAt, lateAt); i >= 0 {
		last := len(p.lateAt) - 1
		p.lateAt[i] = p.lateAt[last]
		p.lateAt = p.lateAt[:last]
		p.outstanding = max(p.outstanding-1, 0)
	}
}

// late returns the number of requests in flight that have run longer than expected, or 0 if they are fewer than minLate or
// less than half of them: a few requests take many times as long as others at any target.
func (p *peer) late(now time.Time) int {
	n := 0
	for _, at := range p.lateAt {
		if now.After(at) {
			n++
		}
	}
	if n < minLate || 2*n < len(p.lateAt) {
		return 0
	}
	return n
}

// ignoreGeneralLateness removes the late requests from the list if most of the targets that this node waits for are late:
// a service below them is slow then, and learned hold times follow in seconds only.
func ignoreGeneralLateness(list []placer.Candidate) {
	late, busy := 0, 0
	for i := range list {
		if list[i].InFlight > 0 {
			busy++
		}
		if list[i].Late > 0 {
			late++
		}
	}
	if late < 2 || 2*late <= busy {
		return
	}
	for i := range list {
		list[i].Late = 0
	}
}

// roundTrip is the shortest round trip of the current and the previous window.
type roundTrip struct {
	current, previous time.Duration
	windowEnd         time.Time
}

// RecordRoundTrip records the time of a call to a node less the time that the node itself took. Times that are not positive
// are ignored.
func (t *Tracker) RecordRoundTrip(node string, d time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[node]
	if !ok || d <= 0 || p.DataCentre == t.DataCentre {
		return
	}
	if t.roundTrips == nil {
		t.roundTrips = map[string]*roundTrip{}
	}
	r := t.roundTrips[p.DataCentre]
	if r == nil {
		r = &roundTrip{current: d, windowEnd: now.Add(roundTripWindow)}
		t.roundTrips[p.DataCentre] = r
	}
	if now.After(r.windowEnd) {
		r.previous, r.current, r.windowEnd = r.current, d, now.Add(roundTripWindow)
	}
	r.current = min(r.current, d)
}

// RoundTrips returns the shortest round trip measured lately to each other data centre that has been called.
func (t *Tracker) RoundTrips() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make(map[string]time.Duration, len(t.roundTrips))
	for dataCentre, r := range t.roundTrips {
		list[dataCentre] = r.current
		if r.previous > 0 {
			list[dataCentre] = min(r.current, r.previous)
		}
	}
	return list
}
