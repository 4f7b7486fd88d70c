package admitter

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Entry is a call that requests admission.
type Entry struct {
	ID         string
	Account    string
	Importance reducer.Importance
	// ChildCall is true if a target makes the call while it runs a request.
	ChildCall bool
	Deadline  time.Time
	Priority  int

	queuedAt time.Time
}

// numClasses is the number of queue classes. They are ordered by importance; within an importance, child calls
// precede new requests.
const numClasses = reducer.ImportanceCount * 2

func (e *Entry) class() int {
	c := int(e.Importance) * 2
	if !e.ChildCall {
		c++
	}
	return c
}

// queue holds waiting calls by class. Within a class, accounts are served in turn.
type queue struct {
	classes [numClasses]roundRobin
	n       int
}

// roundRobin serves accounts in turn, one call each. This is deficit round robin with calls of equal cost.
type roundRobin struct {
	order    []string
	accounts map[string][]*Entry
}

func (q *queue) push(e *Entry) {
	r := &q.classes[e.class()]
	if r.accounts == nil {
		r.accounts = map[string][]*Entry{}
	}
	if len(r.accounts[e.Account]) == 0 {
		r.order = append(r.order, e.Account)
	}
	r.accounts[e.Account] = append(r.accounts[e.Account], e)
	q.n++
}

// pop removes the next call of the most important non-empty class.
func (q *queue) pop() *Entry {
	for i := range q.classes {
		if e := q.classes[i].pop(); e != nil {
			q.n--
			return e
		}
	}
	return nil
}

func (r *roundRobin) pop() *Entry {
	if len(r.order) == 0 {
		return nil
	}
	account := r.order[0]
	r.order = r.order[1:]
	waiting := r.accounts[account]
	e := waiting[0]
	if len(waiting) == 1 {
		delete(r.accounts, account)
		return e
	}
	r.accounts[account] = waiting[1:]
	r.order = append(r.order, account)
	return e
}

// evict removes the newest call of the account with the most waiting calls in the least important non-empty
// class, provided that this class is less important than the given one.
func (q *queue) evict(class int) *Entry {
	for i := numClasses - 1; i > class; i-- {
		if e := q.classes[i].evictLongest(1); e != nil {
			q.n--
			return e
		}
	}
	return nil
}

// evictFromLargerAccount removes the newest call of the account with the most waiting calls in the class,
// provided that it has at least two more waiting calls than the given account.
func (q *queue) evictFromLargerAccount(class int, account string) *Entry {
	r := &q.classes[class]
	e := r.evictLongest(len(r.accounts[account]) + 2)
	if e != nil {
		q.n--
	}
	return e
}

func (r *roundRobin) evictLongest(minWaiting int) *Entry {
	longest := ""
	for _, account := range r.order {
		if len(r.accounts[account]) > len(r.accounts[longest]) {
			longest = account
		}
	}
	waiting := r.accounts[longest]
	if len(waiting) == 0 || len(waiting) < minWaiting {
		return nil
	}
	e := waiting[len(waiting)-1]
	r.remove(func(other *Entry) bool { return other == e })
	return e
}

// removeIf removes and returns all calls that match.
func (q *queue) removeIf(match func(*Entry) bool) []*Entry {
	var out []*Entry
	for i := range q.classes {
		out = append(out, q.classes[i].remove(match)...)
	}
	q.n -= len(out)
	return out
}

func (r *roundRobin) remove(match func(*Entry) bool) []*Entry {
	var out []*Entry
	order := r.order[:0]
	for _, account := range r.order {
		var kept []*Entry
		for _, e := range r.accounts[account] {
			if match(e) {
				out = append(out, e)
			} else {
				kept = append(kept, e)
			}
		}
		if len(kept) == 0 {
			delete(r.accounts, account)
			continue
		}
		r.accounts[account] = kept
		order = append(order, account)
	}
	r.order = order
	return out
}
