// Package distributor passes on the records of the store's topics from the few nodes that read the store to the other
// nodes of their data centre, together with the time at which the store was read.
package distributor

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
)

// Errors returned by Copy.Read and Client.Read.
var (
	// ErrStale means that the node has not read the store recently enough.
	ErrStale = errors.New("records are too old")
	// ErrBehind means that the node has not read up to the wanted offset.
	ErrBehind = errors.New("records end before the wanted offset")
	// ErrNode means that the node did not answer in a usable way.
	ErrNode = errors.New("node failed")
)

// maxRecords is the maximum number of records in one reply.
const maxRecords = 500

// FromNewest is the offset that stands for the newest record of each key.
const FromNewest = -1

// Question asks for the records of a topic.
type Question struct {
	Topic string
	// Era is the era of From, which is an offset or FromNewest.
	Era  platform.Era
	From int64
	// MaxAge bounds the time between the read of the store and the receipt of the question.
	MaxAge time.Duration
	// Wait is how long to wait for a record, or for a read of the store that is recent enough.
	Wait time.Duration
}

// Reading holds the records of a topic.
type Reading struct {
	platform.Batch
	// Complete is false if further records follow.
	Complete bool
	// ProvenAt is the time at which a read of the store was sent that proves that there are no further records.
	ProvenAt time.Duration
}

// Copy holds the newest record of each key of the topics that a node follows. It is safe for concurrent use. No other
// lock is acquired while its mutex is held.
type Copy struct {
	// Now reads a clock that includes the time during which the VM is suspended.
	Now func() time.Duration
	// OnQuestion, if set, is called for each question. stale is set if the records are too old for the question. It
	// reports whether the topic can be read now; otherwise the latest failure stands.
	OnQuestion func(topic string, stale bool) bool

	mu     sync.Mutex
	topics map[string]*topicCopy
}

type topicCopy struct {
	known    bool
	era      platform.Era
	next     int64
	records  map[string]platform.Record
	provenAt time.Duration
	// failing is set while the node cannot read the topic.
	failing bool
	// changed is closed and replaced whenever the copy changes.
	changed chan struct{}
}

func (c *Copy) topic(name string) *topicCopy {
	if c.topics == nil {
		c.topics = map[string]*topicCopy{}
	}
	t := c.topics[name]
	if t == nil {
		t = &topicCopy{changed: make(chan struct{})}
		c.topics[name] = t
	}
	return t
}

// Store adds the records of a reading of the topic, which started at offset from, to the copy. A reading from
// FromNewest replaces the copy. One that does not continue the copy is ignored.
func (c *Copy) Store(name string, from int64, r *Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(name)
	switch {
	case from == FromNewest:
		t.known, t.era, t.records = true, r.Era, map[string]platform.Record{}
	case !t.known || t.era != r.Era || from > t.next:
		return
	}
	for _, record := range r.Records {
		if record.Offset >= t.records[record.Key].Offset {
			t.records[record.Key] = record
		}
	}
	if from == FromNewest {
		t.next = r.Next
	}
	t.next = max(t.next, r.Next)
	if r.Complete {
		t.provenAt = max(t.provenAt, r.ProvenAt)
	}
	t.failing = false
	t.notify()
}

// Fail records that the node cannot read the topic at present, so that others need not wait for it.
func (c *Copy) Fail(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(name)
	t.failing = true
	t.notify()
}

func (t *topicCopy) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Read answers a question that was received at the given time. It returns as soon as there is a record or a later read of
// the store has proven that there is none, or once Wait has passed. It returns ErrStale or ErrBehind if the copy cannot
// answer by then.
func (c *Copy) Read(ctx context.Context, receivedAt time.Duration, q Question) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	if c.OnQuestion != nil && c.OnQuestion(q.Topic, !c.isRecent(receivedAt, q)) {
		c.clearFailure(q.Topic)
	}
	known := c.provenAt(q.Topic)
	for {
		r, done, changed, err := c.read(receivedAt, q)
		if done || (err == nil && r.ProvenAt > known) || ctx.Err() != nil {
			return r, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// isRecent reports whether the copy is recent enough for the question.
func (c *Copy) isRecent(receivedAt time.Duration, q Question) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.topic(q.Topic).isRecent(receivedAt, q)
}

func (t *topicCopy) isRecent(receivedAt time.Duration, q Question) bool {
	return t.known && t.provenAt >= receivedAt-q.MaxAge
}

// provenAt returns the time of the latest proof of the topic.
func (c *Copy) provenAt(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.topic(name).provenAt
}

func (c *Copy) clearFailure(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.topic(name).failing = false
}

// read returns the present answer to the question, whether it must be given at once, and a channel that is closed when
// the copy changes.
func (c *Copy) read(receivedAt time.Duration, q Question) (r Reading, done bool, changed chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(q.Topic)
	from := q.From
	if q.Era < t.era {
		from = FromNewest
	}
	switch {
	case t.failing || !t.isRecent(receivedAt, q):
		return Reading{}, t.failing, t.changed, ErrStale
	case q.Era > t.era || from > t.next:
		return Reading{}, false, t.changed, ErrBehind
	}
	r = t.readingFrom(from)
	return r, len(r.Records) > 0 || from == FromNewest, t.changed, nil
}

// readingFrom returns the records from the offset on.
func (t *topicCopy) readingFrom(from int64) Reading {
	r := Reading{Batch: platform.Batch{Next: t.next, End: t.next, Era: t.era}, Complete: true, ProvenAt: t.provenAt}
	for _, record := range t.records {
		if record.Offset >= from && (from != FromNewest || len(record.Value) > 0) {
			r.Records = append(r.Records, record)
		}
	}
	slices.SortFunc(r.Records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	if len(r.Records) > maxRecords {
		r.Records = r.Records[:maxRecords]
		r.Next = r.Records[maxRecords-1].Offset + 1
		r.Complete = false
	}
	return r
}
