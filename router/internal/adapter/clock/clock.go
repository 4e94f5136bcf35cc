// Package clock is the system's clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System reads the operating system's clocks.
type System struct{}

// Now is the wall clock.
func (System) Now() time.Time { return time.Now() }

// Boot reads CLOCK_BOOTTIME, which goes on while the machine is suspended; CLOCK_MONOTONIC does not.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
