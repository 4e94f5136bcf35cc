package peerudp

import (
	"sync/atomic"
	"time"
)

// refusalLogInterval is the shortest time between two log lines about refused messages of one kind, which anybody can send who reaches the
// port.
const refusalLogInterval = time.Second

// sparseLog decides which of many equal events are logged. It is safe for concurrent use.
type sparseLog struct {
	// last is the time of the last line in Unix nanoseconds, skipped the number of events since.
	last, skipped atomic.Int64
}

// due reports whether an event is to be logged, and how many before it were not.
func (l *sparseLog) due() (skipped int64, ok bool) {
	now, last := time.Now().UnixNano(), l.last.Load()
	if now-last < int64(refusalLogInterval) || !l.last.CompareAndSwap(last, now) {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}
