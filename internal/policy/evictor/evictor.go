// Package evictor decides which connections a server closes so that all of them stay within its memory and its file
// descriptors. It answers crowds of clients that open connections without using them, and that send requests without an end.
package evictor

import (
	"container/list"
	"time"
)

const (
	// requestBytes is the memory of a request that a handler works on, besides what the client has sent: the stacks of its
	// goroutines and the connection on which it is passed on.
	requestBytes = 32 << 10
	// bytesPerByte is the memory for each byte of a request that is kept. The buffers grow by doubling.
	bytesPerByte = 2
	// bytesPerField is the memory for each field of a header, which is kept as received and as passed on.
	bytesPerField = 192
	// grace is how long a connection may take to send a request before it is preferred to idle ones as a victim.
	grace = time.Second
	// stallTime is the time after which a client is taken not to read its answer.
	stallTime = time.Second
	// readingShare is the share of the memory that requests being read may take beyond it if requests in progress take all.
	readingShare = 0.25
	// reservedShare is the share of the connections that is left for those that are being closed.
	reservedShare = 1.0 / 16
)

type phase int

const (
	// fresh is the phase of a connection without any byte of its first request.
	fresh phase = iota
	// reading is the phase in which a request is read, none of which has been passed on.
	reading
	// running is the phase from the moment at which a request has been read, or begins to be passed on, to its answer.
	running
	// idle is the phase between two requests.
	idle
	phaseCount
)

// Entry is a connection. Its fields are used by the evictor only.
type Entry struct {
	phase phase
	// since is when the phase began.
	since   time.Time
	element *list.Element
	bytes   int64
	// handled is set while a handler works on the request, and evicted once the entry has been returned as a victim.
	handled, evicted, removed bool
	// writingSince is when the current write began, or zero.
	writingSince time.Time
}

// HasHandler reports whether a handler reads the body of the connection's request. The handler of a victim answers the request
// once its read has failed. All other victims are closed.
func (e *Entry) HasHandler() bool { return e.handled && e.phase == reading }

// Evicted reports whether the entry has been returned as a victim.
func (e *Entry) Evicted() bool { return e.evicted }

// Evictor tracks the connections of a server. It is not safe for concurrent use.
type Evictor struct {
	// MaxConns is the maximum number of connections.
	MaxConns int
	// MaxBytes is the maximum memory of requests in bytes. Those that are being read may exceed it by readingShare, and one of them
	// by its header.
	MaxBytes int64

	// open counts the connections, leaving those of them that have been evicted and are being closed.
	open    int
	leaving int
	bytes   int64
	phases  [phaseCount]list.List
}

// Add adds a new connection. It returns nil if there is no room, and a victim if there is little.
func (v *Evictor) Add(now time.Time) (e *Entry, victims []*Entry) {
	full := v.open >= v.MaxConns
	if full && v.leaving > 0 {
		return nil, nil
	}
	if float64(v.open-v.leaving+1) > (1-reservedShare)*float64(v.MaxConns) {
		victims = v.Evict(now)
	}
	if full {
		return nil, victims
	}
	v.open++
	e = &Entry{}
	v.enter(e, fresh, now)
	return e, victims
}

// Evict returns the connection to close in favour of a new one, or none if all have requests that have been read. Preferred, the
// longest waiting first, are connections that take long to send a request, then idle ones, then those whose client does not
// read, then any that have no complete request.
func (v *Evictor) Evict(now time.Time) []*Entry {
	slow := older(v.front(fresh), v.front(reading))
	victim := slow
	if slow == nil || now.Sub(slow.since) < grace {
		if e := v.front(idle); e != nil {
			victim = e
		} else if e := v.stalled(now); e != nil {
			victim = e
		}
	}
	if victim == nil {
		return nil
	}
	return []*Entry{v.evict(victim)}
}

// Received records bytes of a request's header with the given number of line ends. It returns the victims.
func (v *Evictor) Received(now time.Time, e *Entry, bytes, fields int) []*Entry {
	if e.phase == fresh || e.phase == idle {
		v.enter(e, reading, now)
	}
	v.charge(e, int64(bytes)*bytesPerByte+int64(fields)*bytesPerField)
	return v.reclaim(now, e, v.excess())
}

// Buffered records bytes of a request's body that are kept. It returns the victims, of which the entry itself may be one.
func (v *Evictor) Buffered(now time.Time, e *Entry, bytes int) []*Entry {
	v.charge(e, int64(bytes)*bytesPerByte)
	return v.reclaim(now, nil, v.excess())
}

// Begin records that a handler begins to work on the request, whose header has been read. unread is set if its body is to be
// read before it is passed on. Begin returns false if there is no room for the request, or the entry has been evicted.
func (v *Evictor) Begin(now time.Time, e *Entry, unread bool) (victims []*Entry, ok bool) {
	if e.evicted {
		return nil, false
	}
	if unread {
		v.enter(e, reading, now)
	} else {
		v.enter(e, running, now)
	}
	e.handled = true
	v.charge(e, requestBytes)
	need := v.bytes - v.MaxBytes
	if need > v.reclaimable(now, e) {
		// Victims would not make room.
		v.release(e)
		return nil, false
	}
	return v.reclaim(now, e, need), true
}

// Complete records that the request has been read, or begins to be passed on. It returns false if the entry has been evicted.
func (v *Evictor) Complete(now time.Time, e *Entry) bool {
	if e.evicted {
		return false
	}
	v.enter(e, running, now)
	return true
}

// Write records that a write to the client begins, and Written that it has ended.
func (v *Evictor) Write(now time.Time, e *Entry) { e.writingSince = now }

// Written records the end of a write.
func (v *Evictor) Written(e *Entry) { e.writingSince = time.Time{} }

// Idle records that the request has been answered.
func (v *Evictor) Idle(now time.Time, e *Entry) {
	if e.evicted {
		return
	}
	v.release(e)
	e.handled = false
	v.enter(e, idle, now)
}

// Remove removes a connection that has been closed.
func (v *Evictor) Remove(e *Entry) {
	if e.removed {
		return
	}
	e.removed = true
	v.open--
	if e.evicted {
		v.leaving--
	}
	v.release(e)
	v.leave(e)
}

// Expired returns the connections that have taken longer than headerTimeout to send a header, and those that have been unused
// for longer than idleTimeout, as victims.
func (v *Evictor) Expired(now time.Time, headerTimeout, idleTimeout time.Duration) (unfinished, unused []*Entry) {
	for _, e := range v.expired(now, reading, headerTimeout) {
		// The handler bounds the time of the body.
		if !e.handled {
			unfinished = append(unfinished, v.evict(e))
		}
	}
	for _, p := range []phase{fresh, idle} {
		for _, e := range v.expired(now, p, idleTimeout) {
			unused = append(unused, v.evict(e))
		}
	}
	return unfinished, unused
}

// expired returns the entries that have been in the phase for longer than the timeout.
func (v *Evictor) expired(now time.Time, p phase, timeout time.Duration) []*Entry {
	var entries []*Entry
	for element := v.phases[p].Front(); element != nil; element = element.Next() {
		e := element.Value.(*Entry)
		if now.Sub(e.since) <= timeout {
			break
		}
		entries = append(entries, e)
	}
	return entries
}

// excess returns the memory to reclaim from requests that are being read. Those in progress leave them readingShare.
func (v *Evictor) excess() int64 {
	need := v.bytes - v.MaxBytes
	if need <= 0 {
		return 0
	}
	reading := v.bytesBeingRead(nil)
	return min(need, reading-int64(readingShare*float64(v.MaxBytes)))
}

// bytesBeingRead returns the memory of all requests that are being read but the one of kept.
func (v *Evictor) bytesBeingRead(kept *Entry) int64 {
	total := int64(0)
	for element := v.phases[reading].Front(); element != nil; element = element.Next() {
		if e := element.Value.(*Entry); e != kept {
			total += e.bytes
		}
	}
	return total
}

// reclaimable returns the memory that reclaim can reclaim.
func (v *Evictor) reclaimable(now time.Time, kept *Entry) int64 {
	total := v.bytesBeingRead(kept)
	if e := v.stalled(now); e != nil && e != kept {
		total += e.bytes
	}
	return total
}

// reclaim returns the victims that free the needed memory: the requests that have been read for the longest time, then the one
// whose client has not read its answer for the longest time. The entry kept is none of them.
func (v *Evictor) reclaim(now time.Time, kept *Entry, need int64) []*Entry {
	var victims []*Entry
	for element := v.phases[reading].Front(); element != nil && need > 0; {
		e := element.Value.(*Entry)
		element = element.Next()
		if e != kept {
			need -= e.bytes
			victims = append(victims, v.evict(e))
		}
	}
	if e := v.stalled(now); need > 0 && e != nil && e != kept {
		victims = append(victims, v.evict(e))
	}
	return victims
}

// stalled returns the connection whose client has not read for the longest time of at least stallTime, or nil.
func (v *Evictor) stalled(now time.Time) *Entry {
	var found *Entry
	for element := v.phases[running].Front(); element != nil; element = element.Next() {
		e := element.Value.(*Entry)
		if e.writingSince.IsZero() || now.Sub(e.writingSince) < stallTime {
			continue
		}
		if found == nil || e.writingSince.Before(found.writingSince) {
			found = e
		}
	}
	return found
}

func (v *Evictor) evict(e *Entry) *Entry {
	e.evicted = true
	v.leaving++
	v.release(e)
	v.leave(e)
	return e
}

// charge adds memory to the entry unless it has been evicted.
func (v *Evictor) charge(e *Entry, bytes int64) {
	if e.evicted || e.removed {
		return
	}
	e.bytes += bytes
	v.bytes += bytes
}

func (v *Evictor) release(e *Entry) {
	v.bytes -= e.bytes
	e.bytes = 0
}

// enter moves the entry to a phase, unless it has been evicted.
func (v *Evictor) enter(e *Entry, p phase, now time.Time) {
	if e.evicted || e.removed {
		return
	}
	if p == reading && e.phase == reading && e.element != nil {
		// The body continues the request.
		return
	}
	v.leave(e)
	e.phase, e.since = p, now
	e.element = v.phases[p].PushBack(e)
}

func (v *Evictor) leave(e *Entry) {
	if e.element != nil {
		v.phases[e.phase].Remove(e.element)
		e.element = nil
	}
}

func (v *Evictor) front(p phase) *Entry {
	element := v.phases[p].Front()
	if element == nil {
		return nil
	}
	return element.Value.(*Entry)
}

// older returns the entry whose phase began first. Either may be nil.
func older(a, b *Entry) *Entry {
	if a == nil || (b != nil && b.since.Before(a.since)) {
		return b
	}
	return a
}
