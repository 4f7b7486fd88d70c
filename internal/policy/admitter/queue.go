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
	// ChildCall is true if the request has already run in an earlier hop.
	ChildCall bool
	Deadline  time.Time
	Priority  int

	queuedAt time.Time
}

// numClasses is the number of queue classes. They are ordered by importance; within an importance, calls of
// later hops precede new requests.
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

// roundRobin serves accounts in turn, one call each, which is deficit round robin with calls of equal cost.
type roundRobin struct {
	order    []string
	accounts map[string][]*Entry
}

func (q *queue) push(e *Entry) {
	t := &q.classes[e.class()]
	if t.accounts == nil {
		t.accounts = map[string][]*Entry{}
	}
	if len(t.accounts[e.Account]) == 0 {
		t.order = append(t.order, e.Account)
	}
	t.accounts[e.Account] = append(t.accounts[e.Account], e)
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

func (t *roundRobin) pop() *Entry {
	if len(t.order) == 0 {
		return nil
	}
	account := t.order[0]
	t.order = t.order[1:]
	waiting := t.accounts[account]
	e := waiting[0]
	if len(waiting) == 1 {
		delete(t.accounts, account)
		return e
	}
	t.accounts[account] = waiting[1:]
	t.order = append(t.order, account)
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
	t := &q.classes[class]
	e := t.evictLongest(len(t.accounts[account]) + 2)
	if e != nil {
		q.n--
	}
	return e
}

func (t *roundRobin) evictLongest(minWaiting int) *Entry {
	longest := ""
	for _, account := range t.order {
		if len(t.accounts[account]) > len(t.accounts[longest]) {
			longest = account
		}
	}
	waiting := t.accounts[longest]
	if len(waiting) == 0 || len(waiting) < minWaiting {
		return nil
	}
	e := waiting[len(waiting)-1]
	t.remove(func(x *Entry) bool { return x == e })
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

func (t *roundRobin) remove(match func(*Entry) bool) []*Entry {
	var out []*Entry
	order := t.order[:0]
	for _, account := range t.order {
		var kept []*Entry
		for _, e := range t.accounts[account] {
			if match(e) {
				out = append(out, e)
			} else {
				kept = append(kept, e)
			}
		}
		if len(kept) == 0 {
			delete(t.accounts, account)
			continue
		}
		t.accounts[account] = kept
		order = append(order, account)
	}
	t.order = order
	return out
}
