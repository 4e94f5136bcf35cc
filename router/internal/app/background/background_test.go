package background_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"github.com/phuslu/log"

	"tanagerwood.dev/router/internal/app/background"
)

// Guards against an unexpected error in one loop that ends the process or stops the loop permanently.
func TestLoopsSurvivePanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		ctx, cancel := context.WithCancel(t.Context())
		runs := 0
		background.Supervise(ctx, logger, "test", func(context.Context) {
			if runs++; runs < 3 {
				panic("unexpected")
			}
			cancel()
		})
		if runs != 3 {
			t.Error(runs, "runs, want 3")
		}
	})
}
