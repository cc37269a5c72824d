// Package boottime reads a clock that goes on while the machine is suspended. What must not be taken
// for recent after a suspension is dated by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, time in suspension included. It returns 0 if the
// clock cannot be read, which dates nothing.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
