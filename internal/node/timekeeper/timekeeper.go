// Package timekeeper reads a clock that also counts while the VM is suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started, suspensions included. Go's own monotonic clock leaves them
// out, so it cannot bound the age of anything that must not be believed after a suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
