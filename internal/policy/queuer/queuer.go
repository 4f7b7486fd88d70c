// Package queuer allocates the slots of a target to requests by rank and, within a rank, by the time at which they must
// start. It answers a load in which short requests with a tight response-time objective compete with the calls of longer
// ones for the slots of one service.
//
// Requests that must start at about the same time are served by the rank of their root request, and then fairly among
// client accounts by start-time fair queueing (Goyal, Vin, Cheng 1996), with each request as one unit of service.
package queuer

import (
	"cmp"
	"slices"
	"time"
)

// ChildCallRank is the rank of the calls that a target makes while it runs a request. Refusing such a call wastes
// the work that its ancestors have done, so these calls precede all new requests.
const ChildCallRank = -1

// maxWaitingPerSlot bounds the queue length. Together with the latest start of each entry, it keeps the wait in
// a full queue shorter than the time-outs of callers.
const maxWaitingPerSlot = 3

// startByStep is the resolution at which times to start are compared. Within it, importance and fairness decide.
const startByStep = 25 * time.Millisecond

// Entry is a request for a slot.
type Entry struct {
	// Rank orders requests; lower ranks run first.
	Rank int
	// LatestStart is the time after which the request is refused if it is still waiting.
	LatestStart time.Time
	// StartBy is the latest start that meets the response-time objective, or zero if there is none. It is fixed when the
	// request arrives, so that a waiting request comes before later ones in the end.
	StartBy time.Time
	// RootRank and Account are the rank and the client account of the caller's request that the entry belongs to.
	RootRank int
	Account  string

	// due is StartBy in units of startByStep, or 0 if there is none.
	due int64
	// arrival is the position among all entries that have waited.
	arrival uint64
	// tag is the start tag of the entry in start-time fair queueing.
	tag float64
}

// Queue allocates Limit slots. It is not safe for concurrent use.
type Queue struct {
	// Limit is the maximum number of requests that run concurrently.
	Limit int

	running int
	// waiting holds the entries in the order of their arrival.
	waiting  []*Entry
	arrivals uint64
	// virtualTime is the start tag of the entry that was started last, and finished holds, by account, the finish tag of
	// its latest entry, unless the account has been idle.
	virtualTime float64
	finished    map[string]float64
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Ahead returns the number of waiting requests that may run before a new one of the given rank.
func (q *Queue) Ahead(rank int) int {
	n := 0
	for _, e := range q.waiting {
		if e.Rank <= rank {
			n++
		}
	}
	return n
}

// Before returns the number of waiting requests that run before the given one.
func (q *Queue) Before(e *Entry) int {
	e.setDue()
	best := q.bestRank(e)
	n := 0
	for _, w := range q.waiting {
		if q.compare(w, e, best) <= 0 {
			n++
		}
	}
	return n
}

// Free reports whether a request that is offered may start at once. available is as for Offer.
func (q *Queue) Free(available int) bool {
	return q.running < q.Limit && len(q.waiting) == 0 && available > 0
}

// Offer requests a slot. started reports whether the request may run now; available is the number of requests that may
// start besides their need of a slot. If the queue is full, refused is the offered entry or a less important one that
// was removed to make room for it.
func (q *Queue) Offer(e *Entry, available int) (started bool, refused *Entry) {
	if q.Free(available) {
		q.running++
		return true, nil
	}
	if len(q.waiting) < maxWaitingPerSlot*max(q.Limit, 1) {
		q.insert(e)
		return false, nil
	}
	e.setDue()
	best := q.bestRank(e)
	last := 0
	for i, w := range q.waiting {
		if q.compare(w, q.waiting[last], best) >= 0 {
			last = i
		}
	}
	evicted := q.waiting[last]
	// A child call stands for work already done, so it never gives way to a new request.
	if evicted.Rank <= e.Rank {
		return false, e
	}
	q.waiting = slices.Delete(q.waiting, last, last+1)
	q.insert(e)
	return false, evicted
}

// insert adds an entry to the waiting ones.
func (q *Queue) insert(e *Entry) {
	q.arrivals++
	e.arrival = q.arrivals
	e.setDue()
	e.tag = max(q.virtualTime, q.finished[e.Account])
	if e.Account != "" {
		if q.finished == nil {
			q.finished = map[string]float64{}
		}
		q.finished[e.Account] = e.tag + 1
	}
	q.waiting = append(q.waiting, e)
}

func (e *Entry) setDue() {
	if !e.StartBy.IsZero() {
		e.due = e.StartBy.UnixNano() / int64(startByStep)
	}
}

// bestRank returns the best rank among the entry and the waiting requests. Child calls count with the rank of their root.
func (q *Queue) bestRank(e *Entry) int {
	best := e.requestRank()
	for _, w := range q.waiting {
		best = min(best, w.requestRank())
	}
	return best
}

// requestRank returns the rank of the caller's request that the entry belongs to.
func (e *Entry) requestRank() int {
	if e.Rank == ChildCallRank {
		return e.RootRank
	}
	return e.Rank
}

// group returns the part of the order that the entry belongs to. Child calls share the first one with the new requests of
// the best rank, as far as these have a time to start by.
func (e *Entry) group(best int) int {
	if e.Rank == ChildCallRank || (e.Rank == best && e.due > 0) {
		return ChildCallRank
	}
	return e.Rank
}

// compare orders waiting entries; a negative result means that a runs first.
func (q *Queue) compare(a, b *Entry, best int) int {
	if c := cmp.Compare(a.group(best), b.group(best)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.due, b.due); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.RootRank, b.RootRank), cmp.Compare(a.tag, b.tag), cmp.Compare(a.arrival, b.arrival))
}

// Done releases a slot.
func (q *Queue) Done() { q.running-- }

// StartQueued starts waiting entries up to the limit and to the given number. It returns them and the entries that have
// passed their latest start.
func (q *Queue) StartQueued(now time.Time, available int) (started, expired []*Entry) {
	expired = q.expire(now)
	for q.running < q.Limit && len(q.waiting) > 0 && len(started) < available {
		started = append(started, q.takeFirst())
		q.running++
	}
	if len(q.waiting) == 0 {
		clear(q.finished)
	}
	return started, expired
}

// takeFirst removes the first entry in the order and returns it.
func (q *Queue) takeFirst() *Entry {
	best := q.bestRank(q.waiting[0])
	first := 0
	for i, e := range q.waiting[1:] {
		if q.compare(e, q.waiting[first], best) < 0 {
			first = i + 1
		}
	}
	e := q.waiting[first]
	q.waiting = slices.Delete(q.waiting, first, first+1)
	q.virtualTime = max(q.virtualTime, e.tag)
	return e
}

func (q *Queue) expire(now time.Time) []*Entry {
	var expired []*Entry
	remaining := q.waiting[:0]
	for _, e := range q.waiting {
		if now.After(e.LatestStart) {
			expired = append(expired, e)
			continue
		}
		remaining = append(remaining, e)
	}
	q.waiting = remaining
	return expired
}

// Remove removes an entry from the queue and reports whether it was waiting.
func (q *Queue) Remove(e *Entry) bool {
	for i, v := range q.waiting {
		if v == e {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Clear removes and returns all waiting entries.
func (q *Queue) Clear() []*Entry {
	out := q.waiting
	q.waiting = nil
	return out
}
