package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
)

// Evacuations holds the evacuated data centres. It is safe for concurrent use. A nil *Evacuations holds none, for
// deployments without evacuations. All times are readings of a clock that also runs while the VM is suspended.
type Evacuations struct {
	// OnChange, if set, is called for each change: for an evacuation that begins after it is in force, and for one that
	// ends while it is still in force, so that the receiver can prepare. It must not call methods that change the
	// evacuations.
	OnChange func(evacuator.Change)

	// mu orders the changes. It is held while OnChange is called.
	mu  sync.Mutex
	set evacuator.Set
	// inForce holds the names of the evacuated data centres, or nil.
	inForce atomic.Pointer[map[string]bool]
	known   atomic.Bool
	// provenAt is the latest time at which the set is known to have been complete, in nanoseconds.
	provenAt atomic.Int64
}

// Restart forgets what was read of the store, because its newest records are read again.
func (e *Evacuations) Restart() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.Restart()
}

// Apply applies a record that was read at the given time.
func (e *Evacuations) Apply(now time.Duration, record evacuator.Evacuation, evacuated bool) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, begins := e.set.Apply(now, record, evacuated); begins {
		e.publish([]evacuator.Change{c})
	}
}

// Complete records that the records applied are all that the store had when it answered.
func (e *Evacuations) Complete() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.Complete()
	e.publish(nil)
}

// Confirm records that a read of the store, sent at the given time, proves that the records applied are the newest.
func (e *Evacuations) Confirm(now, sentAt time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.set.Confirm(now, sentAt))
}

// Adopt puts the list of another node in force, which was complete at the time provenAt, unless this node's own proof is
// as recent.
func (e *Evacuations) Adopt(now, provenAt time.Duration, list []evacuator.Evacuation) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.set.Adopt(now, provenAt, list))
}

// publish puts the state of the set in force. The caller holds the mutex.
func (e *Evacuations) publish(changes []evacuator.Change) {
	e.notify(changes, false)
	if len(changes) > 0 {
		inForce := map[string]bool{}
		for _, evacuation := range e.set.List() {
			inForce[evacuation.DataCentre] = true
		}
		if len(inForce) > 0 {
			e.inForce.Store(&inForce)
		} else {
			e.inForce.Store(nil)
		}
	}
	if at, ok := e.set.ProvenAt(); ok {
		e.provenAt.Store(int64(at))
	}
	e.known.Store(e.set.Known())
	e.notify(changes, true)
}

func (e *Evacuations) notify(changes []evacuator.Change, evacuated bool) {
	for _, c := range changes {
		if e.OnChange != nil && c.Evacuated == evacuated {
			e.OnChange(c)
		}
	}
}

// Evacuated returns the names of the evacuated data centres, or nil. The caller must not change the map.
func (e *Evacuations) Evacuated() map[string]bool {
	if e == nil {
		return nil
	}
	if m := e.inForce.Load(); m != nil {
		return *m
	}
	return nil
}

// Known reports whether the evacuations have been read since the start.
func (e *Evacuations) Known() bool { return e == nil || e.known.Load() }

// Age returns the time since the set was last known to be complete.
func (e *Evacuations) Age(now time.Duration) time.Duration {
	if e == nil {
		return 0
	}
	return now - time.Duration(e.provenAt.Load())
}

// Proven returns the evacuations in force and the time since they were last known to be complete, or false if that was
// never known.
func (e *Evacuations) Proven(now time.Duration) ([]evacuator.Evacuation, time.Duration, bool) {
	if e == nil {
		return nil, 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.set.ProvenAt()
	return e.set.List(), now - at, ok
}
