// Package roster keeps what a node has heard of the other nodes and of the targets beside them.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/router"
)

// Entry is what a node says of itself and of its target.
type Entry struct {
	VM          string
	Incarnation int64
	DataCentre  string
	PeerAddress string
	// Service is empty while no target is announced.
	Service string
	// Beat rises with each statement.
	Beat        int64
	InFlight    int
	Queued      int
	Limit       int
	Level       int
	ServiceTime time.Duration
	Draining    bool
	Left        bool
}

// Member returns the member ID.
func (e Entry) Member() string { return reducer.MemberID(e.VM, e.Incarnation) }

// group lists the VMs with targets of one service.
type group struct {
	// near are those in the own data centre, far the others.
	near []string
	far  []string
}

const (
	// sampleNear and sampleFar bound the targets that one choice looks at.
	sampleNear = 8
	sampleFar  = 4
)

type record struct {
	Entry
	member  string
	heard   time.Time
	sent    int
	outlier router.Outlier
	trip    time.Duration
}

// Roster is safe for concurrent use. Its lock is a leaf.
type Roster struct {
	// Self is the node's own VM.
	Self string
	// DataCentre is the node's own data centre.
	DataCentre string
	// Clock returns the time.
	Clock func() time.Time

	mu      sync.Mutex
	records map[string]*record
	// names lists the VMs in order.
	names     []string
	byService map[string]*group
}

// Merge takes in entries that a peer has passed on.
func (r *Roster) Merge(entries []Entry) {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.merge(now, e)
	}
}

func (r *Roster) merge(now time.Time, e Entry) {
	if r.records == nil {
		r.records = map[string]*record{}
		r.byService = map[string]*group{}
	}
	old, ok := r.records[e.VM]
	if !ok {
		v := &record{Entry: e, member: e.Member(), heard: now}
		r.records[e.VM] = v
		r.enlist(v)
		at, _ := slices.BinarySearch(r.names, e.VM)
		r.names = slices.Insert(r.names, at, e.VM)
		return
	}
	newer := cmp.Or(cmp.Compare(e.Incarnation, old.Incarnation), cmp.Compare(e.Beat, old.Beat))
	if newer <= 0 {
		return
	}
	if e.Incarnation == old.Incarnation && e.Service == old.Service && e.DataCentre == old.DataCentre {
		old.Entry = e
		old.heard = now
		return
	}
	if e.Incarnation > old.Incarnation {
		old.outlier = router.Outlier{}
	}
	r.delist(old)
	old.Entry = e
	old.member = e.Member()
	old.heard = now
	r.enlist(old)
}

// enlist adds a VM to the targets of its service, if it has one.
func (r *Roster) enlist(v *record) {
	if v.Service == "" {
		return
	}
	list := r.side(v)
	*list = append(*list, v.VM)
	slices.Sort(*list)
}

// delist takes a VM out of the targets of its service.
func (r *Roster) delist(v *record) {
	if v.Service == "" {
		return
	}
	list := r.side(v)
	*list = slices.DeleteFunc(*list, func(vm string) bool { return vm == v.VM })
}

// side returns the list that a VM belongs to.
func (r *Roster) side(v *record) *[]string {
	g, ok := r.byService[v.Service]
	if !ok {
		g = &group{}
		r.byService[v.Service] = g
	}
	if v.DataCentre == r.DataCentre {
		return &g.near
	}
	return &g.far
}

// Add notes the members of the fold that have not been heard of yet.
func (r *Roster) Add(members []reducer.Member) {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		r.merge(now, Entry{
			VM:          m.VM,
			Incarnation: m.Incarnation,
			DataCentre:  m.DataCentre,
			PeerAddress: m.PeerAddress,
		})
	}
}

// Forget drops a VM that has been silent and is no longer a member.
func (r *Roster) Forget(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.records[vm]; ok {
		r.delist(old)
		delete(r.records, vm)
		r.names = slices.DeleteFunc(r.names, func(v string) bool { return v == vm })
	}
}

// Entries returns all entries ordered by VM.
func (r *Roster) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, len(r.names))
	for i, vm := range r.names {
		list[i] = r.records[vm].Entry
	}
	return list
}

// Sample returns up to n entries to pass on: the own one, then others from a random start on. Its cost
// does not depend on the size of the fleet.
func (r *Roster) Sample(n int, random uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.names) == 0 || n <= 0 {
		return nil
	}
	list := make([]Entry, 0, n)
	if self, ok := r.records[r.Self]; ok {
		list = append(list, self.Entry)
	}
	start := int(random % uint64(len(r.names)))
	for i := range min(n, len(r.names)) {
		vm := r.names[(start+i)%len(r.names)]
		if vm != r.Self && len(list) < n {
			list = append(list, r.records[vm].Entry)
		}
	}
	return list
}

// Random returns the peer address of a random other node that has not left.
func (r *Roster) Random(random uint64) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(len(r.names))
	for i := range min(n, maxTries) {
		v := r.records[r.names[(random+i)%n]]
		if v.VM != r.Self && !v.Left {
			return v.PeerAddress, true
		}
	}
	return "", false
}

// maxTries bounds the search for a node that has not left.
const maxTries = 16

// Silent returns the VMs that have not been heard of for a time.
func (r *Roster) Silent(span time.Duration) []string {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for vm, v := range r.records {
		if vm != r.Self && now.Sub(v.heard) > span {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}

// Address returns the peer address and member ID of a VM.
func (r *Roster) Address(vm string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.records[vm]
	if !ok {
		return "", false
	}
	return v.PeerAddress, true
}

// Candidates returns targets of a service: all of them where there are few, else a random part of those
// in the own data centre and of the others, so that the cost of a choice does not grow with the service.
func (r *Roster) Candidates(service string, random uint64) []router.Candidate {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.byService[service]
	if !ok {
		return nil
	}
	list := make([]router.Candidate, 0, sampleNear+sampleFar)
	list = r.sample(list, now, g.near, sampleNear, random)
	return r.sample(list, now, g.far, sampleFar, random>>32)
}

// sample appends up to n of the VMs, from a random start with a random step.
func (r *Roster) sample(list []router.Candidate, now time.Time, vms []string, n int, random uint64) []router.Candidate {
	count := uint64(len(vms))
	if len(vms) <= n {
		for _, vm := range vms {
			list = append(list, r.candidate(now, r.records[vm]))
		}
		return list
	}
	at, step := random%count, 1+(random>>16)%(count/uint64(n))
	for range n {
		list = append(list, r.candidate(now, r.records[vms[at%count]]))
		at += step
	}
	return list
}

func (r *Roster) candidate(now time.Time, v *record) router.Candidate {
	level := v.Level
	if v.VM != r.Self && now.Sub(v.heard) > levelLasts {
		level = maxLevel
	}
	return router.Candidate{
		Member:      v.member,
		Local:       v.DataCentre == r.DataCentre,
		InFlight:    v.InFlight + v.Queued + v.sent,
		Limit:       v.Limit,
		Level:       level,
		ServiceTime: v.ServiceTime,
		RoundTrip:   v.trip,
		Draining:    v.Draining || v.Left,
		Suspect:     len(r.names) <= heardFleet && router.Suspect(now, v.heard),
		Ejected:     v.outlier.Ejected(now),
	}
}

const (
	// heardFleet is the largest fleet in which each node hears of each other one often enough for its
	// silence to mean something. In larger ones only failed calls and fences take targets out.
	heardFleet = 64
	// levelLasts is how long a published level is believed.
	levelLasts = time.Second
	maxLevel   = int(^uint(0) >> 1)
)

// Begin notes that a call is sent to a VM.
func (r *Roster) Begin(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.records[vm]; ok {
		v.sent++
		v.outlier.Probe()
	}
}

// tripWeight is the share of a new sample in the mean round trip.
const tripWeight = 0.1

// End notes how a call to a VM ended: whether the node answered, and how long the way took. It says
// whether the target has just been ejected.
func (r *Roster) End(vm string, ok bool, trip time.Duration) bool {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	v, found := r.records[vm]
	if !found {
		return false
	}
	v.sent--
	before := v.outlier.Ejected(now)
	v.outlier.Observe(now, ok)
	if ok && trip > 0 {
		v.trip += time.Duration(tripWeight * float64(trip-v.trip))
	}
	return !before && v.outlier.Ejected(now)
}
