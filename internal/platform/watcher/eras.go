package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/settler"
	"github.com/plantainwheel/plantainwheel/platform"
)

// eras tracks the eras of the store. All topics share it, since they learn of a restore at different times. It is safe
// for concurrent use. No other lock is acquired while its mutex is held.
type eras struct {
	now     func() time.Duration
	mu      sync.Mutex
	settler settler.Settler
	latest  platform.Era
	// ended is cancelled when a later era begins.
	ended context.Context
	end   context.CancelFunc
}

func newEras(now func() time.Duration, period, maxPeriod time.Duration) *eras {
	e := &eras{now: now, latest: platform.NoEra, settler: settler.Settler{Period: period, MaxPeriod: maxPeriod}}
	e.ended, e.end = context.WithCancel(context.Background())
	return e
}

// observe records the era of an answer. It returns false if the answer is of an earlier era than the latest.
func (e *eras) observe(era platform.Era) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.latest {
		return era == e.latest
	}
	e.settler.Observe(e.now(), int64(era))
	e.latest = era
	e.end()
	e.ended, e.end = context.WithCancel(context.Background())
	return true
}

// current returns the latest era and a context that is cancelled when a later one begins.
func (e *eras) current() (platform.Era, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.ended
}

// vouch records that another node has found the era settled.
func (e *eras) vouch(era platform.Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settler.Vouch(e.now(), int64(era))
}

func (e *eras) isVouched() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settler.Vouched()
}

// setBehind records whether the store lacks a configuration that it has acknowledged.
func (e *eras) setBehind(behind bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settler.SetBehind(behind)
}

// proves reports whether a read that was sent at the given time and answered in the era proves what is newest.
func (e *eras) proves(sentAt time.Duration, era platform.Era) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settler.Proves(sentAt, int64(era))
}

// remaining returns the time until reads prove what is newest.
func (e *eras) remaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settler.Remaining(e.now())
}
