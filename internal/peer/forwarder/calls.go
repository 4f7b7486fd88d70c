package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
)

const (
	// adoptionTime is how long a call goes on after its connection has closed, so that the sender can ask for it on
	// another one.
	adoptionTime = 100 * time.Millisecond
	// answerRetention is how long the answer of a call is kept, and maxAnswerBytes the maximum size of all that are kept.
	answerRetention = time.Second
	maxAnswerBytes  = 1 << 20
	// callRetention is how long a call is recognised after it has ended, so that a copy that arrives late does not run.
	callRetention = 10 * time.Second
)

// calls holds the calls that were received lately, by ID. A sender that loses the connection of a call sends a copy on
// another connection, which must not run again. The zero value is ready to use. It is safe for concurrent use.
type calls struct {
	mu   sync.Mutex
	byID map[string]*call
	// ended holds the calls that have ended, in that order. Those before the index dropped hold no answer any more.
	ended       []*call
	dropped     int
	answerBytes int
}

// call is one call and all its copies.
type call struct {
	id string
	// cancel cancels the run. It is nil once the call has ended and its answer is complete.
	cancel context.CancelFunc
	// done is closed when the call has ended. answer is then its answer, or nil if it is not kept.
	done    chan struct{}
	answer  *transporter.Answer
	endedAt time.Time
	// copies counts the copies received, and holder is the one whose sender waits for the answer.
	copies, holder int
}

// receive records a copy of a call. It returns the call and the number of the copy, from 1 on. The first copy must run
// the call with the returned context and pass its answer to end.
func (c *calls) receive(now time.Time, id callID) (ctx context.Context, k *call, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld(now)
	k = c.byID[id.id]
	if k == nil {
		if c.byID == nil {
			c.byID = map[string]*call{}
		}
		k = &call{id: id.id, done: make(chan struct{})}
		ctx, k.cancel = context.WithCancel(context.Background())
		c.byID[id.id] = k
	}
	k.copies++
	if k.copies == 1 || id.process != 0 {
		// The connection of a first copy that arrives late has been given up.
		k.holder = k.copies
	}
	return ctx, k, k.copies
}

// leave records that the sender of copy n has closed its connection. It cancels the call unless the sender asks for it
// on another connection within adoptionTime.
func (c *calls) leave(k *call, n int) {
	time.AfterFunc(adoptionTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if k.holder == n && k.cancel != nil {
			k.cancel()
		}
	})
}

// end records the answer of a call. An answer whose body is a stream is not kept.
func (c *calls) end(now time.Time, k *call, a *transporter.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Body.Stream == nil {
		k.answer, k.cancel = a, nil
		c.answerBytes += len(a.Body.Buffered)
	}
	k.endedAt = now
	c.ended = append(c.ended, k)
	close(k.done)
}

// result returns the kept answer of a call that has ended.
func (c *calls) result(k *call) *transporter.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.answer == nil {
		return transporter.UnknownAnswer(reasonAnswerNotKept)
	}
	return k.answer
}

// dropOld drops answers and calls past their retention, and the oldest answers if all of them are too large.
func (c *calls) dropOld(now time.Time) {
	for c.dropped < len(c.ended) && (now.Sub(c.ended[c.dropped].endedAt) > answerRetention || c.answerBytes > maxAnswerBytes) {
		k := c.ended[c.dropped]
		if k.answer != nil {
			c.answerBytes -= len(k.answer.Body.Buffered)
			k.answer = nil
		}
		c.dropped++
	}
	n := 0
	for n < c.dropped && now.Sub(c.ended[n].endedAt) > callRetention {
		delete(c.byID, c.ended[n].id)
		n++
	}
	if n > 0 {
		clear(c.ended[:n])
		c.ended = c.ended[n:]
		c.dropped -= n
	}
}
