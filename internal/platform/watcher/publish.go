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
	// putTimeout bounds one write; a write without an answer is made again.
	putTimeout = 800 * time.Millisecond
	// putRetry is the pause before a write is made again.
	putRetry = 400 * time.Millisecond
	// settleTime is how long a written record may take to be read back before it is written again: a write
	// without an answer may take effect seconds later and hide a newer one.
	settleTime = 3 * time.Second
)

// ownRecord is the own member's record, as wanted and as it stands in the store.
type ownRecord struct {
	mu      sync.Mutex
	wanted  tracker.Member
	stored  tracker.Member
	wake    chan struct{}
	written chan struct{}
}

func (o *ownRecord) seen(m tracker.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored = m
	if o.stored == o.wanted && o.written != nil {
		close(o.written)
		o.written = nil
	}
	o.signal()
}

func (o *ownRecord) signal() {
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *ownRecord) waker() chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	return o.wake
}

// due returns the record that is to be written, if there is one.
func (o *ownRecord) due() (tracker.Member, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wanted, o.wanted.Node != "" && o.wanted != o.stored
}

func (o *ownRecord) confirm(m tracker.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wanted == m && o.written != nil {
		close(o.written)
		o.written = nil
	}
}

// Publish asks for the own record to be written. The channel is closed once it stands in the store.
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

// PublishOwn writes the own record whenever it differs from what stands in the store, until the context
// ends.
func (w *Watcher) PublishOwn(ctx context.Context) {
	wake := w.own.waker()
	for {
		pause := settleTime
		if m, due := w.own.due(); due {
			if err := w.put(ctx, m); err != nil {
				pause = putRetry
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

func (w *Watcher) put(ctx context.Context, m tracker.Member) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if err := w.Store.Put(ctx, platform.MemberTopic, m.Node, raw); err != nil {
		w.Log.Warn().Err(err).Str("state", string(m.State)).Msg("own record is not written")
		return err
	}
	w.Log.Info().Str("state", string(m.State)).Str("target", m.Target).Msg("own record written")
	w.own.confirm(m)
	return nil
}
