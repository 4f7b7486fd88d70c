// Package roster keeps what a node has heard of the other nodes and of the targets beside them.
package roster

import (
	"cmp"
	"maps"
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

type record struct {
	Entry
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

	mu        sync.Mutex
	records   map[string]*record
	byService map[string][]string
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
		r.byService = map[string][]string{}
	}
	old, ok := r.records[e.VM]
	if !ok {
		r.records[e.VM] = &record{Entry: e, heard: now}
		r.list(e.VM, "", e.Service)
		return
	}
	newer := cmp.Or(cmp.Compare(e.Incarnation, old.Incarnation), cmp.Compare(e.Beat, old.Beat))
	if newer <= 0 {
		return
	}
	if e.Incarnation > old.Incarnation {
		old.outlier = router.Outlier{}
	}
	r.list(e.VM, old.Service, e.Service)
	old.Entry = e
	old.heard = now
}

func (r *Roster) list(vm, before, after string) {
	if before == after {
		return
	}
	r.byService[before] = slices.DeleteFunc(r.byService[before], func(v string) bool { return v == vm })
	if after != "" {
		r.byService[after] = append(r.byService[after], vm)
		slices.Sort(r.byService[after])
	}
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
		r.list(vm, old.Service, "")
		delete(r.records, vm)
	}
}

// Entries returns all entries ordered by VM.
func (r *Roster) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, 0, len(r.records))
	for _, v := range r.records {
		list = append(list, v.Entry)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Sample returns up to n entries to pass on, the own one first, then those that leave, then others
// from a random start.
func (r *Roster) Sample(n int, random uint64) []Entry {
	all := r.Entries()
	if len(all) == 0 {
		return nil
	}
	start := int(random % uint64(len(all)))
	rotated := append(slices.Clone(all[start:]), all[:start]...)
	slices.SortStableFunc(rotated, func(a, b Entry) int { return cmp.Compare(r.order(a), r.order(b)) })
	return rotated[:min(n, len(rotated))]
}

func (r *Roster) order(e Entry) int {
	switch {
	case e.VM == r.Self:
		return 0
	case e.Draining || e.Left:
		return 1
	default:
		return 2
	}
}

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

// Peers returns the addresses of all other nodes that have not left.
func (r *Roster) Peers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for vm, v := range r.records {
		if vm != r.Self && !v.Left {
			list = append(list, v.PeerAddress)
		}
	}
	slices.Sort(list)
	return list
}

// Services lists the services that have at least one target.
func (r *Roster) Services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.byService))
}

// Candidates returns the targets of a service.
func (r *Roster) Candidates(service string) []router.Candidate {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := r.byService[service]
	list := make([]router.Candidate, 0, len(vms))
	for _, vm := range vms {
		list = append(list, r.candidate(now, r.records[vm]))
	}
	return list
}

func (r *Roster) candidate(now time.Time, v *record) router.Candidate {
	level := v.Level
	if v.VM != r.Self && now.Sub(v.heard) > levelLasts {
		level = maxLevel
	}
	return router.Candidate{
		Member:      v.Member(),
		Local:       v.DataCentre == r.DataCentre,
		InFlight:    v.InFlight + v.Queued + v.sent,
		Limit:       v.Limit,
		Level:       level,
		ServiceTime: v.ServiceTime,
		RoundTrip:   v.trip,
		Draining:    v.Draining || v.Left,
		Suspect:     router.Suspect(now, v.heard),
		Ejected:     v.outlier.Ejected(now),
	}
}

const (
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
