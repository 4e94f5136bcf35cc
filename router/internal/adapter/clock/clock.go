// Package clock reads the clocks of the operating system.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System implements port.Clock with the clocks of the operating system.
type System struct{}

// Now returns the wall-clock time.
func (System) Now() time.Time { return time.Now() }

// Boot returns the time since boot. It reads CLOCK_BOOTTIME, which includes time in suspend; CLOCK_MONOTONIC does not.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error()) // available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
