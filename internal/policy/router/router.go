// Package router chooses the target for a call.
package router

import (
	"time"
)

// Candidate is a target as its entry node sees it.
type Candidate struct {
	Member string
	// Local says that the target is in the entry node's data centre.
	Local bool
	// InFlight counts calls running and queued there, with those under way to it.
	InFlight    int
	Limit       int
	Level       int
	ServiceTime time.Duration
	// RoundTrip is the time to reach the target's node.
	RoundTrip time.Duration
	Draining  bool
	Suspect   bool
	Ejected   bool
}

// unreachedService stands in for the service time of a target that has no samples yet.
const unreachedService = 10 * time.Millisecond

// cost estimates the time until the target would answer.
func (c *Candidate) cost() time.Duration {
	service := c.ServiceTime
	if service == 0 {
		service = unreachedService
	}
	load := float64(c.InFlight+1) / float64(max(c.Limit, 1))
	return c.RoundTrip + time.Duration(load*float64(service))
}

// Request is what the choice depends on.
type Request struct {
	Priority int
	// Later says that the whole request has already run in an earlier hop.
	Later bool
	// Tried lists members that have already refused this call.
	Tried []string
	// Random is a uniform random number.
	Random uint64
}

// Refusal says why no candidate fits.
type Refusal int

// The refusals.
const (
	// Fits says that a candidate was found.
	Fits Refusal = iota
	// NoTarget says that no target can be reached.
	NoTarget
	// Shed says that all targets refuse the call's priority.
	Shed
)

// Choose takes the cheaper of two candidates picked at random, after leaving out those that drain,
// are suspected, are ejected or do not admit the call. Where every candidate is suspected or ejected,
// the suspicion is not believed. Members in other data centres are picked only when they are cheaper.
// The list is reordered.
func Choose(list []Candidate, req Request) (Candidate, Refusal) {
	reachable := keep(list, func(c *Candidate) bool { return !c.Draining && !contains(req.Tried, c.Member) })
	if len(reachable) == 0 {
		return Candidate{}, NoTarget
	}
	healthy := keep(reachable, func(c *Candidate) bool { return !c.Suspect && !c.Ejected })
	if len(healthy) == 0 {
		healthy = reachable
	}
	open := keep(healthy, func(c *Candidate) bool { return req.Later || req.Priority < c.Level })
	if len(open) == 0 {
		return Candidate{}, Shed
	}
	return *pick(open, req.Random), Fits
}

func pick(list []Candidate, random uint64) *Candidate {
	near := keep(list, func(c *Candidate) bool { return c.Local })
	far := list[len(near):]
	switch {
	case len(near) == 0:
		return cheaperOfTwo(far, random)
	case len(far) == 0:
		return cheaperOfTwo(near, random)
	default:
		return cheaper(cheaperOfTwo(near, random), cheaperOfTwo(far, random>>16))
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

// keep moves the candidates that match to the front and returns them.
func keep(list []Candidate, match func(*Candidate) bool) []Candidate {
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
