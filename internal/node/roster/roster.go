// Package roster holds the latest known state of the nodes and of their targets.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/balancer"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Entry is a node's description of itself and of its target.
type Entry struct {
	VM          string
	Incarnation int64
	DataCentre  string
	PeerAddress string
	// Service is empty while no target is announced.
	Service string
	// Heartbeat increases with each new entry of a node.
	Heartbeat int64
	InFlight  int
	Queued    int
	Limit     int
	// Level is the admission level. The target admits a call if the call's priority is below the level.
	Level       int
	ServiceTime time.Duration
	Draining    bool
	Left        bool
}

// Member returns the member ID.
func (e Entry) Member() string { return reducer.MemberID(e.VM, e.Incarnation) }

// serviceTargets lists the VMs that have a target of one service.
type serviceTargets struct {
	// local lists the VMs in this node's data centre, remote those in other data centres.
	local  []string
	remote []string
}

const (
	// maxLocalCandidates and maxRemoteCandidates bound the targets considered for one routing decision.
	maxLocalCandidates  = 8
	maxRemoteCandidates = 4
)

// record is the entry of a VM together with what this node has observed of the VM.
type record struct {
	Entry
	member      string
	receivedAt  time.Time
	outstanding int
	outlier     balancer.OutlierDetector
	roundTrip   time.Duration
}

// Roster holds the latest entry of each VM and the results of this node's calls to the VM. It is safe for
// concurrent use. No other lock is acquired while its lock is held.
type Roster struct {
	// Self is this node's VM.
	Self string
	// DataCentre is this node's data centre.
	DataCentre string
	// Clock returns the current time.
	Clock func() time.Time

	mu      sync.Mutex
	records map[string]*record
	// vms lists the VMs in sorted order.
	vms       []string
	byService map[string]*serviceTargets
}

// Merge applies entries received from a peer. An entry replaces an older one of the same VM.
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
		r.byService = map[string]*serviceTargets{}
	}
	old, ok := r.records[e.VM]
	if !ok {
		v := &record{Entry: e, member: e.Member(), receivedAt: now}
		r.records[e.VM] = v
		r.addTarget(v)
		index, _ := slices.BinarySearch(r.vms, e.VM)
		r.vms = slices.Insert(r.vms, index, e.VM)
		return
	}
	order := cmp.Or(cmp.Compare(e.Incarnation, old.Incarnation), cmp.Compare(e.Heartbeat, old.Heartbeat))
	if order <= 0 {
		return
	}
	if e.Incarnation == old.Incarnation && e.Service == old.Service && e.DataCentre == old.DataCentre {
		old.Entry = e
		old.receivedAt = now
		return
	}
	if e.Incarnation > old.Incarnation {
		old.outlier = balancer.OutlierDetector{}
	}
	r.removeTarget(old)
	old.Entry = e
	old.member = e.Member()
	old.receivedAt = now
	r.addTarget(old)
}

// addTarget adds a VM to the targets of its service, if it has one.
func (r *Roster) addTarget(v *record) {
	if v.Service == "" {
		return
	}
	list := r.targetList(v)
	*list = append(*list, v.VM)
	slices.Sort(*list)
}

// removeTarget removes a VM from the targets of its service.
func (r *Roster) removeTarget(v *record) {
	if v.Service == "" {
		return
	}
	list := r.targetList(v)
	*list = slices.DeleteFunc(*list, func(vm string) bool { return vm == v.VM })
}

// targetList returns the list of targets that a VM belongs to.
func (r *Roster) targetList(v *record) *[]string {
	targets, ok := r.byService[v.Service]
	if !ok {
		targets = &serviceTargets{}
		r.byService[v.Service] = targets
	}
	if v.DataCentre == r.DataCentre {
		return &targets.local
	}
	return &targets.remote
}

// AddMembers adds the members whose incarnation is newer than the roster's entry, or that have no entry yet.
func (r *Roster) AddMembers(members []reducer.Member) {
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

// Forget removes a VM from the roster.
func (r *Roster) Forget(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.records[vm]; ok {
		r.removeTarget(old)
		delete(r.records, vm)
		r.vms = slices.DeleteFunc(r.vms, func(v string) bool { return v == vm })
	}
}

// Entries returns all entries ordered by VM.
func (r *Roster) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, len(r.vms))
	for i, vm := range r.vms {
		list[i] = r.records[vm].Entry
	}
	return list
}

// Sample returns up to n entries for an exchange: the entry of this node, then entries of other VMs from a random
// position on. The cost of Sample does not depend on the size of the fleet.
func (r *Roster) Sample(n int, random uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.vms) == 0 || n <= 0 {
		return nil
	}
	list := make([]Entry, 0, n)
	if self, ok := r.records[r.Self]; ok {
		list = append(list, self.Entry)
	}
	start := int(random % uint64(len(r.vms)))
	for i := range min(n, len(r.vms)) {
		vm := r.vms[(start+i)%len(r.vms)]
		if vm != r.Self && len(list) < n {
			list = append(list, r.records[vm].Entry)
		}
	}
	return list
}

// RandomPeer returns the peer address of a random other node that has not left. It returns false if it finds none
// within maxRandomTries.
func (r *Roster) RandomPeer(random uint64) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(len(r.vms))
	for i := range min(n, maxRandomTries) {
		v := r.records[r.vms[(random+i)%n]]
		if v.VM != r.Self && !v.Left {
			return v.PeerAddress, true
		}
	}
	return "", false
}

// maxRandomTries bounds the search for a node that has not left.
const maxRandomTries = 16

// SilentVMs returns the VMs from which no new entry has arrived within timeout.
func (r *Roster) SilentVMs(timeout time.Duration) []string {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for vm, v := range r.records {
		if vm != r.Self && now.Sub(v.receivedAt) > timeout {
			list = append(list, vm)
		}
	}
	slices.Sort(list)
	return list
}

// Address returns the peer address of a VM.
func (r *Roster) Address(vm string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.records[vm]
	if !ok {
		return "", false
	}
	return v.PeerAddress, true
}

// Candidates returns targets of a service. For a large service it returns random samples of the targets in
// this data centre and in the others, so that the cost of routing does not grow with the number of targets.
func (r *Roster) Candidates(service string, random uint64) []balancer.Candidate {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	targets, ok := r.byService[service]
	if !ok {
		return nil
	}
	list := make([]balancer.Candidate, 0, maxLocalCandidates+maxRemoteCandidates)
	list = r.sampleCandidates(list, now, targets.local, maxLocalCandidates, random)
	return r.sampleCandidates(list, now, targets.remote, maxRemoteCandidates, random>>32)
}

// sampleCandidates appends up to n of the VMs to list as candidates. If there are more than n, it selects them
// with a random start and a random step.
func (r *Roster) sampleCandidates(list []balancer.Candidate, now time.Time, vms []string, n int, random uint64) []balancer.Candidate {
	count := uint64(len(vms))
	if len(vms) <= n {
		for _, vm := range vms {
			list = append(list, r.candidate(now, r.records[vm]))
		}
		return list
	}
	index, step := random%count, 1+(random>>16)%(count/uint64(n))
	for range n {
		list = append(list, r.candidate(now, r.records[vms[index%count]]))
		index += step
	}
	return list
}

func (r *Roster) candidate(now time.Time, v *record) balancer.Candidate {
	level := v.Level
	if v.VM != r.Self && now.Sub(v.receivedAt) > levelTTL {
		level = maxLevel
	}
	return balancer.Candidate{
		Member:      v.member,
		Local:       v.DataCentre == r.DataCentre,
		InFlight:    v.InFlight + v.Queued + v.outstanding,
		Limit:       v.Limit,
		Level:       level,
		ServiceTime: v.ServiceTime,
		RoundTrip:   v.roundTrip,
		Draining:    v.Draining || v.Left,
		Suspect:     len(r.vms) <= maxSuspectFleet && balancer.IsSuspect(now, v.receivedAt),
		Ejected:     v.outlier.Ejected(now),
	}
}

const (
	// maxSuspectFleet is the largest fleet in which a target becomes suspect because no new entry of its node
	// arrives. In larger fleets, new entries of a given node arrive too rarely for their absence to be
	// meaningful. There, only failed calls and fences take targets out of rotation.
	maxSuspectFleet = 64
	// levelTTL is how long another node's admission level is valid. After that the level counts as maxLevel.
	levelTTL = time.Second
	maxLevel = int(^uint(0) >> 1)
)

// BeginCall records that a call is being sent to a VM. Each BeginCall is followed by one EndCall.
func (r *Roster) BeginCall(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.records[vm]; ok {
		v.outstanding++
		v.outlier.StartProbe()
	}
}

// roundTripWeight is the weight of a new sample in the moving average of the round-trip time.
const roundTripWeight = 0.1

// EndCall records the end of a call to a VM. ok is false if the result counts as a failure of the node or its
// target. roundTrip is the round-trip time without the service time. EndCall reports whether this result ejected
// the target.
func (r *Roster) EndCall(vm string, ok bool, roundTrip time.Duration) bool {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	v, found := r.records[vm]
	if !found {
		return false
	}
	v.outstanding--
	wasEjected := v.outlier.Ejected(now)
	v.outlier.Observe(now, ok)
	if ok && roundTrip > 0 {
		v.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-v.roundTrip))
	}
	return !wasEjected && v.outlier.Ejected(now)
}
