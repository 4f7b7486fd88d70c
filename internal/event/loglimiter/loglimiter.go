// Package loglimiter limits the rate of log lines and counts the lines that it drops.
package loglimiter

import (
	"sync"
	"time"
)

// Limiter allows up to PerSecond lines in each second. It is safe for concurrent use.
type Limiter struct {
	PerSecond int

	mu      sync.Mutex
	second  int64
	allowed int
	dropped int
}

// Allow returns whether a line may be written and, if so, how many lines were dropped since the last allowed one.
func (l *Limiter) Allow(now time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.allowed = 0
	}
	if l.allowed >= l.PerSecond {
		l.dropped++
		return false, 0
	}
	l.allowed++
	dropped = l.dropped
	l.dropped = 0
	return true, dropped
}
