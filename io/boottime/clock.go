// Package boottime reads a clock that never jumps and that also counts the time for which the machine was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin.
type Clock func() time.Duration

// Now reads the system's clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
