// Package periodic runs the background loops of an instance.
package periodic

import (
	"context"
	"time"
)

// Run calls f once each period until ctx ends. A call that takes longer than the period delays the next one.
func Run(ctx context.Context, period time.Duration, f func(context.Context)) {
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

// Sleep waits for the time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
