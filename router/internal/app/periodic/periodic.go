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
