// Package boottime reads a monotonic clock that includes the time for which the machine was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a function that returns the time since an arbitrary origin.
type Clock func() time.Duration

// Now returns the time since the machine was started, including the time for which it was suspended (CLOCK_BOOTTIME).
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel provides this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
