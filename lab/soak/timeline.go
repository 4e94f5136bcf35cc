package soak

import (
	"sync"
	"time"
)

// Scopes of faults that do not concern a single instance.
const (
	storeScope   = "store"
	serversScope = "servers"
)

// interval is a fault on the time line.
type interval struct {
	// scope is an instance's name, or one of the scopes above.
	scope    string
	planned  bool
	from, to time.Time
}

// timeline records which part of the system was disturbed when.
type timeline struct {
	mu        sync.Mutex
	intervals []interval
}

// begin notes the beginning of a fault and returns what notes its end.
func (t *timeline) begin(scope string, planned bool) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.intervals)
	t.intervals = append(t.intervals, interval{scope: scope, planned: planned, from: time.Now()})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.intervals[n].to = time.Now()
	}
}

// any reports whether an interval that matches overlaps the span. An interval without an end lasts on.
func (t *timeline) any(from, to time.Time, match func(interval) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.intervals {
		if match(v) && v.from.Before(to) && (v.to.IsZero() || v.to.After(from)) {
			return true
		}
	}
	return false
}

// inTouch reports whether neither the instance nor the store was disturbed from the stable time before the span to its end.
func (t *timeline) inTouch(instance string, stable time.Duration, from, to time.Time) bool {
	return !t.any(from.Add(-stable), to, func(v interval) bool { return v.scope == instance || v.scope == storeScope })
}

// calm reports whether there was no unplanned fault at all in the span.
func (t *timeline) calm(from, to time.Time) bool {
	return !t.any(from, to, func(v interval) bool { return !v.planned })
}
