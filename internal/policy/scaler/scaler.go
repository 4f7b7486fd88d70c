// Package scaler decides how many processors the runtime uses.
//
// With more processors than the load needs, threads wake each other for each request and look for work in vain: a request
// through two nodes took 11 futex calls and twice the epoll waits with four processors, and 180 us of processor time
// instead of 134 us with one.
package scaler

import "math"

const (
	// raiseShare is the share of the processors in use above which their number is doubled. Garbage collection uses up to
	// a quarter of them.
	raiseShare = 0.6
	// lowerShare is the share of the remaining processors below which there is one less.
	lowerShare = 0.35
)

// Processors returns the number of processors that the runtime should use next, from 1 to limit. current is the present
// number, and used the processor time of the process in seconds per second since the last decision.
func Processors(current, limit int, used float64) int {
	switch {
	case math.IsNaN(used) || used < 0:
	case used > raiseShare*float64(current):
		current *= 2
	case current > 1 && used < lowerShare*float64(current-1):
		current--
	}
	return max(min(current, limit), 1)
}
