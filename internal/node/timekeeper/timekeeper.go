// Package timekeeper reads a monotonic clock that includes the time during which the VM is suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was booted, including suspensions. Go's monotonic clock excludes
// suspensions and therefore cannot bound the age of data that must expire during one.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
