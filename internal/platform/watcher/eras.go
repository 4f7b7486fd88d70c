package watcher

import (
	"context"
	"sync"

	"github.com/plantainwheel/plantainwheel/platform"
)

// eras holds the latest era of the store that an answer has named. All topics share it, since they learn of a restore
// at different times. It is safe for concurrent use. No other lock is acquired while its mutex is held.
type eras struct {
	mu     sync.Mutex
	latest platform.Era
	// ended is cancelled when a later era begins.
	ended context.Context
	end   context.CancelFunc
}

func newEras() *eras {
	e := &eras{latest: platform.NoEra}
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
