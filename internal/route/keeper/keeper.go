// Package keeper holds the current configuration and the time at which it was last confirmed to be the newest.
package keeper

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
)

// Keeper holds the current configuration and replaces it only by a higher version. It is safe for concurrent use. All
// times are readings of a clock that also runs while the VM is suspended.
type Keeper struct {
	// Decode parses a configuration in its stored form.
	Decode func([]byte) (matcher.Config, error)

	mu    sync.Mutex
	state atomic.Pointer[state]
	// confirmed is the latest time at which the configuration is known to have been the newest, in nanoseconds.
	confirmed atomic.Int64
}

// state is the current configuration, indexed and in its stored form.
type state struct {
	table *matcher.Table
	raw   []byte
}

// Apply replaces the configuration if the given one is newer. It returns the version of the given one and whether it
// did.
func (k *Keeper) Apply(raw []byte) (version uint64, applied bool, err error) {
	if s := k.state.Load(); s != nil && bytes.Equal(s.raw, raw) {
		return s.table.Config.Version, false, nil
	}
	c, err := k.Decode(raw)
	if err != nil {
		return 0, false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if current := k.state.Load(); current != nil && current.table.Config.Version >= c.Version {
		return c.Version, false, nil
	}
	k.state.Store(&state{table: matcher.NewTable(c), raw: raw})
	return c.Version, true, nil
}

// Confirm records that no newer configuration existed at the given time. The time must be when the query was sent,
// never when its answer arrived, because a newer configuration may have been stored in between.
func (k *Keeper) Confirm(at time.Duration) {
	for {
		old := k.confirmed.Load()
		if int64(at) <= old || k.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Table returns the lookup table of the current configuration, or nil before there is one.
func (k *Keeper) Table() *matcher.Table {
	if s := k.state.Load(); s != nil {
		return s.table
	}
	return nil
}

// Age returns the time since the configuration was last known to be the newest.
func (k *Keeper) Age(now time.Duration) time.Duration { return now - time.Duration(k.confirmed.Load()) }

// Record returns the configuration in its stored form and its version, or nil and 0 before there is one.
func (k *Keeper) Record() ([]byte, uint64) {
	if s := k.state.Load(); s != nil {
		return s.raw, s.table.Config.Version
	}
	return nil, 0
}
