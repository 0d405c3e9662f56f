// Package boottime reads the time since the machine was booted. Unlike the monotonic clock
// of package time it counts the time in which the machine is suspended, and unlike the time
// of day it never jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// startedAt replaces the boot of the machine if its clock cannot be read.
var startedAt = time.Now()

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(startedAt)
	}
	return time.Duration(now.Nano())
}
