package evictor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crowd is an evictor with connections.
type crowd struct {
	*Evictor
	t *testing.T
}

func newCrowd(t *testing.T, maxConns int, maxBytes int64) *crowd {
	return &crowd{Evictor: &Evictor{MaxConns: maxConns, MaxBytes: maxBytes}, t: t}
}

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func (c *crowd) add(d time.Duration) *Entry {
	c.t.Helper()
	e, _ := c.Add(at(d))
	assert.Assert(c.t, e != nil, "no room")
	return e
}

func (c *crowd) begin(d time.Duration, e *Entry, unread bool) {
	c.t.Helper()
	_, ok := c.Begin(at(d), e, unread)
	assert.Assert(c.t, ok, "no room")
}

// TestVictimOrder guards against new connections that get no room while others hold connections without using them, and
// against the loss of a connection whose request has been passed on.
func TestVictimOrder(t *testing.T) {
	c := newCrowd(t, 100, 1<<20)
	running, stalled, used, reading, silent, young := c.add(0), c.add(0), c.add(0), c.add(0), c.add(time.Second), c.add(3*time.Second)
	c.begin(0, running, false)
	c.begin(0, stalled, false)
	c.Write(at(time.Second), stalled)
	c.begin(0, used, false)
	c.Idle(at(0), used)
	c.Received(at(0), reading, 10, 1)
	for _, want := range []*Entry{reading, silent, used, stalled, young} {
		victims := c.Evict(at(3500 * time.Millisecond))
		assert.Equal(t, len(victims), 1)
		assert.Assert(t, victims[0] == want, "%+v", victims[0])
		c.Remove(want)
	}
	assert.Equal(t, len(c.Evict(at(time.Minute))), 0, "a request that has been read is kept")
	assert.Equal(t, c.open, 1)
}

func TestAddMakesRoom(t *testing.T) {
	c := newCrowd(t, 2, 1<<20)
	first, second := c.add(0), c.add(time.Second)
	e, victims := c.Add(at(2 * time.Second))
	assert.Assert(t, e == nil && len(victims) == 0, "the victim is not closed yet")
	assert.Assert(t, first.Evicted(), "evicted when the last connection was taken")
	c.Remove(first)
	e, victims = c.Add(at(2 * time.Second))
	assert.Assert(t, e != nil && len(victims) == 1 && victims[0] == second)
	c.Remove(second)
	c.Remove(e)
	for range 2 {
		c.begin(3*time.Second, c.add(3*time.Second), false)
	}
	e, victims = c.Add(at(4 * time.Second))
	assert.Assert(t, e == nil && len(victims) == 0, "all have requests in progress")
}

// TestMemory checks that the requests that have been read for the longest time make room, and that one is refused if all have
// been read.
func TestMemory(t *testing.T) {
	c := newCrowd(t, 100, 100<<10)
	slow, body, quick := c.add(0), c.add(0), c.add(0)
	c.Received(at(0), slow, 16<<10, 1)
	c.begin(time.Second, body, true)
	victims := c.Received(at(2*time.Second), quick, 20<<10, 1)
	assert.Equal(t, len(victims), 1)
	assert.Assert(t, victims[0] == slow && !slow.HasHandler())
	assert.Equal(t, len(c.Buffered(at(2*time.Second), body, 1<<10)), 0)
	victims, ok := c.Begin(at(3*time.Second), quick, false)
	assert.Assert(t, ok)
	assert.Equal(t, len(victims), 1)
	assert.Assert(t, victims[0] == body && body.HasHandler())
	assert.Assert(t, !c.Complete(at(3*time.Second), body), "a victim is not passed on")
	next := c.add(3 * time.Second)
	_, ok = c.Begin(at(3*time.Second), next, false)
	assert.Assert(t, !ok, "the request in progress takes up the memory")
	c.Idle(at(4*time.Second), next)
	c.Idle(at(4*time.Second), quick)
	assert.Equal(t, c.bytes, int64(0))
	c.begin(4*time.Second, next, false)
	for _, e := range []*Entry{slow, body, quick, next} {
		c.Remove(e)
	}
	assert.Equal(t, c.open, 0)
	assert.Equal(t, c.bytes, int64(0))
}

// TestRefusalKeepsOthers guards against requests that are closed for the sake of one that is refused all the same.
func TestRefusalKeepsOthers(t *testing.T) {
	c := newCrowd(t, 100, 100<<10)
	for range 3 {
		c.begin(0, c.add(0), false)
	}
	for range 10 {
		e, refused := c.add(0), c.add(0)
		assert.Equal(t, len(c.Received(at(0), e, 100, 3)), 0)
		victims, ok := c.Begin(at(0), refused, false)
		assert.Assert(t, !ok && len(victims) == 0)
		c.Remove(refused)
	}
	assert.Assert(t, c.bytes <= c.MaxBytes+c.MaxBytes/4, "%d bytes", c.bytes)
	// Requests that are read can't grow without a bound beside those in progress.
	for range 10 {
		c.Received(at(0), c.add(0), 10<<10, 3)
	}
	assert.Assert(t, c.bytes <= c.MaxBytes+c.MaxBytes/4, "%d bytes", c.bytes)
}

// TestLongHeader checks that a header is read although it exceeds the memory by itself.
func TestLongHeader(t *testing.T) {
	c := newCrowd(t, 100, 1<<10)
	e := c.add(0)
	assert.Equal(t, len(c.Received(at(0), e, 4<<10, 1000)), 0)
}

func TestExpired(t *testing.T) {
	c := newCrowd(t, 100, 1<<20)
	silent, unfinished, used, body := c.add(0), c.add(0), c.add(0), c.add(0)
	c.Received(at(0), unfinished, 10, 1)
	c.begin(0, used, false)
	c.Idle(at(0), used)
	c.begin(0, body, true)
	const headerTimeout, idleTimeout = 5 * time.Second, 20 * time.Second
	slow, unused := c.Expired(at(5*time.Second), headerTimeout, idleTimeout)
	assert.Equal(t, len(slow)+len(unused), 0)
	slow, unused = c.Expired(at(6*time.Second), headerTimeout, idleTimeout)
	assert.Assert(t, len(slow) == 1 && slow[0] == unfinished)
	assert.Equal(t, len(unused), 0)
	slow, unused = c.Expired(at(21*time.Second), headerTimeout, idleTimeout)
	assert.Equal(t, len(slow), 0)
	assert.Assert(t, len(unused) == 2 && unused[0] == silent && unused[1] == used)
	assert.Assert(t, !body.Evicted(), "its handler bounds the time")
}
