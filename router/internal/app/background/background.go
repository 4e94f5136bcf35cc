// Package background has helpers for the background loops of an instance.
package background

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
)

// restartDelay is the time after which a loop that panicked is started again.
const restartDelay = time.Second

// Supervise runs a loop until it returns or ctx ends. A loop that panics is started again, so that an unexpected error in one
// loop does not end the process.
func Supervise(ctx context.Context, logger *log.Logger, name string, loop func(context.Context)) {
	for ctx.Err() == nil {
		if CallWithRecover(logger, name, func() { loop(ctx) }) {
			return
		}
		SleepContext(ctx, restartDelay)
	}
}

// CallWithRecover calls f, logs a panic, and reports whether f returned without one.
func CallWithRecover(logger *log.Logger, name string, f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			logger.Error().Str("event", "loop.panic").Str("loop", name).Any("cause", cause).Str("stack", string(debug.Stack())).Msg("")
		}
	}()
	f()
	return true
}

// RunEvery calls f once each period until ctx ends. A call that takes longer than the period delays the next one.
func RunEvery(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// SleepContext waits for the duration d, or until ctx ends.
func SleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
