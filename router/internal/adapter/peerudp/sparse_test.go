package peerudp

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against clients that fill the log with refused messages.
func TestLogsFewOfManyRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l sparseLog
		if skipped, ok := l.due(); !ok || skipped != 0 {
			t.Error("first", skipped, ok)
		}
		for range 5 {
			if _, ok := l.due(); ok {
				t.Error("logged again at once")
			}
		}
		time.Sleep(refusalLogInterval)
		if skipped, ok := l.due(); !ok || skipped != 5 {
			t.Error("later", skipped, ok)
		}
	})
}
