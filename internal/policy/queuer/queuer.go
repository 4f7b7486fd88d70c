// Package queuer allocates the slots of a target to requests by rank.
package queuer

import "time"

// ChildCallRank is the rank of the calls that a target makes while it runs a request. Refusing such a call wastes
// the work that its ancestors have done, so these calls precede all new requests.
const ChildCallRank = -1

// maxWaitingPerSlot bounds the queue length. Together with the latest start of each entry, it keeps the wait in
// a full queue shorter than the time-outs of callers.
const maxWaitingPerSlot = 3

// Entry is a request for a slot.
type Entry struct {
	// Rank orders requests; lower ranks run first.
	Rank int
	// LatestStart is the time after which the request is refused if it is still waiting.
	LatestStart time.Time
}

// Queue allocates Limit slots. It is not safe for concurrent use.
type Queue struct {
	// Limit is the maximum number of requests that run concurrently.
	Limit int

	running int
	waiting []*Entry
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Ahead returns the number of waiting requests that run before a new one of the given rank.
func (q *Queue) Ahead(rank int) int {
	n := 0
	for n < len(q.waiting) && q.waiting[n].Rank <= rank {
		n++
	}
	return n
}

// Offer requests a slot. started reports whether the request may run now; available is the number of requests that may
// start besides their need of a slot. If the queue is full, refused is the offered entry or a less important one that
// was removed to make room for it.
func (q *Queue) Offer(e *Entry, available int) (started bool, refused *Entry) {
	if q.running < q.Limit && len(q.waiting) == 0 && available > 0 {
		q.running++
		return true, nil
	}
	if len(q.waiting) < maxWaitingPerSlot*max(q.Limit, 1) {
		q.insert(e)
		return false, nil
	}
	last := q.waiting[len(q.waiting)-1]
	if last.Rank <= e.Rank {
		return false, e
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	q.insert(e)
	return false, last
}

// insert keeps the queue ordered by rank, and by arrival within a rank.
func (q *Queue) insert(e *Entry) {
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].Rank > e.Rank {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = e
}

// Done releases a slot.
func (q *Queue) Done() { q.running-- }

// StartQueued starts waiting entries up to the limit and to the given number. It returns them and the entries that have
// passed their latest start.
func (q *Queue) StartQueued(now time.Time, available int) (started, expired []*Entry) {
	expired = q.expire(now)
	for q.running < q.Limit && len(q.waiting) > 0 && len(started) < available {
		started = append(started, q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
	return started, expired
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
