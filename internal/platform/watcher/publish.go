package watcher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// putTimeout is the timeout of one write. A write without an answer is repeated.
	putTimeout = 800 * time.Millisecond
	// putRetryDelay is the pause before a write is repeated.
	putRetryDelay = 400 * time.Millisecond
	// readBackTimeout is how long a written record may take to be read back before it is written again. A write
	// without an answer may take effect seconds later and overwrite a newer record.
	readBackTimeout = 3 * time.Second
)

// ownRecord holds this node's member record: the wanted version and the version last read from the store.
type ownRecord struct {
	mu     sync.Mutex
	wanted tracker.Member
	stored tracker.Member
	// confirmed is the version whose write the store has acknowledged last, at confirmedAt.
	confirmed   tracker.Member
	confirmedAt time.Time
	wake        chan struct{}
	written     chan struct{}
}

// observe sets the version last read from the store.
func (o *ownRecord) observe(m tracker.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored = m
	if o.stored == o.wanted && o.written != nil {
		close(o.written)
		o.written = nil
	}
	o.signal()
}

// signal wakes PublishOwn. The caller holds the mutex.
func (o *ownRecord) signal() {
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *ownRecord) wakeChannel() chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	return o.wake
}

// pending returns the wanted record and whether it must be written. A record that has just been written is not written
// again because of an earlier one, which may be read later.
func (o *ownRecord) pending() (tracker.Member, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	justWritten := o.wanted == o.confirmed && time.Since(o.confirmedAt) < readBackTimeout
	return o.wanted, o.wanted.Node != "" && o.wanted != o.stored && !justWritten
}

// lost records that the store does not have this node's record.
func (o *ownRecord) lost() {
	o.mu.Lock()
	o.confirmed = tracker.Member{}
	o.mu.Unlock()
	o.observe(tracker.Member{})
}

// confirm records that the store has acknowledged the write of m.
func (o *ownRecord) confirm(m tracker.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed, o.confirmedAt = m, time.Now()
	if o.wanted == m && o.written != nil {
		close(o.written)
		o.written = nil
	}
}

// Publish requests that the member record of this node be written. The returned channel is closed once the
// record is stored, or when a later call of Publish replaces the record.
func (w *Watcher) Publish(m tracker.Member) <-chan struct{} {
	w.Tracker.SetMember(m)
	o := &w.own
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wanted = m
	if o.written != nil {
		close(o.written)
	}
	o.written = make(chan struct{})
	done := o.written
	if o.stored == m {
		close(o.written)
		o.written = nil
	}
	o.signal()
	return done
}

// PublishOwn writes the member record of this node whenever it differs from the stored one, until ctx ends. It begins once the
// members have been read: the record of an earlier process may tell of a departure, and must not be replaced unread.
func (w *Watcher) PublishOwn(ctx context.Context) {
	w.initialize()
	select {
	case <-ctx.Done():
		return
	case <-w.membersRead:
	}
	wake := w.own.wakeChannel()
	for {
		pause := readBackTimeout
		if m, pending := w.own.pending(); pending {
			if err := w.putOwn(ctx, m); err != nil {
				pause = putRetryDelay
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-time.After(pause):
		}
	}
}

func (w *Watcher) putOwn(ctx context.Context, m tracker.Member) error {
	if err := w.put(ctx, platform.MemberTopic, m.Node, m); err != nil {
		w.Log.Warn().Err(err).Str("state", string(m.State)).Msg("writing own member record failed")
		return err
	}
	w.Log.Info().Str("state", string(m.State)).Str("target", m.Target).Msg("own member record written")
	w.own.confirm(m)
	return nil
}

// put writes a record as JSON and observes the era of the answer.
func (w *Watcher) put(ctx context.Context, topic, key string, record any) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return w.putRaw(ctx, topic, key, raw)
}

// PutQuarantine writes the record of a quarantined request, or removes it if the value is empty.
func (w *Watcher) PutQuarantine(ctx context.Context, key string, value []byte) error {
	return w.putRaw(ctx, platform.MemberTopic, key, value)
}

// putRaw writes a record and observes the era of the answer.
func (w *Watcher) putRaw(ctx context.Context, topic, key string, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	era, err := w.Store.Put(ctx, topic, key, raw)
	if err != nil {
		return err
	}
	w.storeEras().observe(era)
	return nil
}
