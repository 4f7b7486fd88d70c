// Package keeper holds the configuration in force and how recent it is known to be.
package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
)

// Keeper only ever moves to a higher version. Times are those of a clock that also counts while the VM is
// suspended. It is safe for concurrent use.
type Keeper struct {
	// Decode reads a configuration as it stands in the store.
	Decode func([]byte) (matcher.Config, error)

	mu    sync.Mutex
	state atomic.Pointer[state]
	// confirmed is the latest time at which the configuration is known to have been the newest.
	confirmed atomic.Int64
}

type state struct {
	table *matcher.Table
	raw   []byte
}

// Apply takes a configuration if it is newer than the one in force, and says whether it was.
func (k *Keeper) Apply(raw []byte) (bool, error) {
	c, err := k.Decode(raw)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.state.Load(); old != nil && old.table.Config.Version >= c.Version {
		return false, nil
	}
	k.state.Store(&state{table: matcher.NewTable(c), raw: raw})
	return true, nil
}

// Confirm notes that no newer configuration existed at a time. That is when the question was sent, never
// when its answer arrived.
func (k *Keeper) Confirm(at time.Duration) {
	for {
		old := k.confirmed.Load()
		if int64(at) <= old || k.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Table returns the configuration in force, or nil before the first.
func (k *Keeper) Table() *matcher.Table {
	if s := k.state.Load(); s != nil {
		return s.table
	}
	return nil
}

// Age returns how long ago the configuration was last known to be the newest.
func (k *Keeper) Age(now time.Duration) time.Duration { return now - time.Duration(k.confirmed.Load()) }

// Record returns the configuration as it stands in the store, and its version; nil before the first.
func (k *Keeper) Record() ([]byte, uint64) {
	if s := k.state.Load(); s != nil {
		return s.raw, s.table.Config.Version
	}
	return nil, 0
}
