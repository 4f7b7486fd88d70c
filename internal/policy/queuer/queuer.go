// Package queuer shares a target's slots among requests by rank.
package queuer

import "time"

// CallRank is the rank of calls that targets make while they run a request: refusing one wastes the work
// that its ancestors have done, so they go before all new requests.
const CallRank = -1

// waitersPerSlot bounds the queue. Together with the latest start of each entry it keeps a full queue
// shorter than the time that callers wait.
const waitersPerSlot = 3

// Entry is a request that asks to run.
type Entry struct {
	// Rank orders requests; lower goes first.
	Rank int
	// LatestStart is when the request is refused if it still waits.
	LatestStart time.Time
}

// Queue shares Limit slots. It is not safe for concurrent use.
type Queue struct {
	// Limit is the most requests that run at once.
	Limit int

	running int
	waiting []*Entry
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer asks for a slot. Started says that the request may run now. A refused entry is returned where the
// queue is full: the offered one, or a less important one that has made room for it.
func (q *Queue) Offer(e *Entry) (started bool, refused *Entry) {
	if q.running < q.Limit && len(q.waiting) == 0 {
		q.running++
		return true, nil
	}
	if len(q.waiting) < waitersPerSlot*max(q.Limit, 1) {
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

// insert keeps the order by rank, and within a rank by arrival.
func (q *Queue) insert(e *Entry) {
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].Rank > e.Rank {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = e
}

// Done gives a slot back.
func (q *Queue) Done() { q.running-- }

// Next starts waiting entries as far as the limit allows, and returns those that waited too long.
func (q *Queue) Next(now time.Time) (started, late []*Entry) {
	late = q.expire(now)
	for q.running < q.Limit && len(q.waiting) > 0 {
		started = append(started, q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
	return started, late
}

func (q *Queue) expire(now time.Time) []*Entry {
	var late []*Entry
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if now.After(e.LatestStart) {
			late = append(late, e)
			continue
		}
		kept = append(kept, e)
	}
	q.waiting = kept
	return late
}

// Remove takes out a waiting entry and says whether it waited.
func (q *Queue) Remove(e *Entry) bool {
	for i, v := range q.waiting {
		if v == e {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Clear takes out all waiting entries.
func (q *Queue) Clear() []*Entry {
	out := q.waiting
	q.waiting = nil
	return out
}
