// Package testclock has the clock of tests that run in a bubble of testing/synctest, where package time is virtual.
package testclock

import "time"

// Bubble implements port.Clock by package time. The system's clock cannot be used in a bubble, as it asks the kernel.
type Bubble struct{}

// Now implements port.Clock.
func (Bubble) Now() time.Time { return time.Now() }

// Boot implements port.Clock.
func (Bubble) Boot() time.Duration { return time.Duration(time.Now().UnixNano()) }
