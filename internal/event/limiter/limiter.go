// Package limiter bounds the number of log lines, and counts what it leaves out.
package limiter

import (
	"sync"
	"time"
)

// Limiter lets PerSecond lines pass in each second. It is safe for concurrent use.
type Limiter struct {
	PerSecond int

	mu      sync.Mutex
	second  int64
	passed  int
	dropped int
}

// Allow says whether a line may be written, and how many were left out since the last that was.
func (l *Limiter) Allow(now time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.passed = 0
	}
	if l.passed >= l.PerSecond {
		l.dropped++
		return false, 0
	}
	l.passed++
	dropped = l.dropped
	l.dropped = 0
	return true, dropped
}
