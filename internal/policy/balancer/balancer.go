// Package balancer chooses the target for a call.
package balancer

import (
	"time"
)

// Candidate is a target as seen by the entry node.
type Candidate struct {
	Member string
	// Local reports whether the target is in the entry node's data centre.
	Local bool
	// InFlight counts the calls running and queued at the target, and those on their way to it.
	InFlight    int
	Limit       int
	Level       int
	ServiceTime time.Duration
	// RoundTrip is the round-trip time to the target's node.
	RoundTrip time.Duration
	Draining  bool
	Suspect   bool
	Ejected   bool
}

// defaultServiceTime is the assumed service time of a target that has no samples yet.
const defaultServiceTime = 10 * time.Millisecond

// cost estimates the time until the target would answer.
func (c *Candidate) cost() time.Duration {
	service := c.ServiceTime
	if service == 0 {
		service = defaultServiceTime
	}
	load := float64(c.InFlight+1) / float64(max(c.Limit, 1))
	return c.RoundTrip + time.Duration(load*float64(service))
}

// Request describes the call to choose a target for.
type Request struct {
	Priority int
	// ChildCall is true if a target makes the call while it runs a request. The admission levels of the
	// candidates don't apply to such a call.
	ChildCall bool
	// Tried lists the members that have already refused this call.
	Tried []string
	// Random is a uniformly distributed random number.
	Random uint64
}

// Refusal is the reason why no candidate was chosen.
type Refusal int

const (
	// NoRefusal means that a candidate was chosen.
	NoRefusal Refusal = iota
	// NoTarget means that no target is available: there is none, or all are draining or have been tried.
	NoTarget
	// Shed means that no eligible target admits calls of this priority.
	Shed
)

// Choose returns the cheaper of two candidates picked at random. If there are candidates in the entry node's
// data centre and in others, it picks two of each and chooses a remote one only if it is cheaper.
//
// Choose leaves out candidates that are draining, suspected or ejected, or that do not admit the call. If
// every candidate is suspected or ejected, suspicion and ejection are ignored. Choose reorders the list.
func Choose(list []Candidate, req Request) (Candidate, Refusal) {
	eligible := partition(list, func(c *Candidate) bool { return !c.Draining && !contains(req.Tried, c.Member) })
	if len(eligible) == 0 {
		return Candidate{}, NoTarget
	}
	healthy := partition(eligible, func(c *Candidate) bool { return !c.Suspect && !c.Ejected })
	if len(healthy) == 0 {
		healthy = eligible
	}
	admitting := partition(healthy, func(c *Candidate) bool { return req.ChildCall || req.Priority < c.Level })
	if len(admitting) == 0 {
		return Candidate{}, Shed
	}
	return *pickByLocality(admitting, req.Random), NoRefusal
}

func pickByLocality(list []Candidate, random uint64) *Candidate {
	local := partition(list, func(c *Candidate) bool { return c.Local })
	remote := list[len(local):]
	switch {
	case len(local) == 0:
		return cheaperOfTwo(remote, random)
	case len(remote) == 0:
		return cheaperOfTwo(local, random)
	default:
		return cheaper(cheaperOfTwo(local, random), cheaperOfTwo(remote, random>>16))
	}
}

func cheaperOfTwo(list []Candidate, random uint64) *Candidate {
	n := uint64(len(list))
	i := random % n
	if n == 1 {
		return &list[i]
	}
	j := (i + 1 + (random>>8)%(n-1)) % n
	return cheaper(&list[i], &list[j])
}

func cheaper(a, b *Candidate) *Candidate {
	if b.cost() < a.cost() {
		return b
	}
	return a
}

// partition moves the matching candidates to the front and returns them.
func partition(list []Candidate, match func(*Candidate) bool) []Candidate {
	n := 0
	for i := range list {
		if match(&list[i]) {
			list[n], list[i] = list[i], list[n]
			n++
		}
	}
	return list[:n]
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
