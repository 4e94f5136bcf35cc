package soak

import (
	"context"
	"sync"
	"time"
)

// Scopes of faults that do not concern a single instance.
const (
	storeScope   = "store"
	serversScope = "servers"
	// machineScope is that of times in which the machine did not run this process, and so perhaps none of the others.
	machineScope = "machine"
)

const (
	// stallCheck is the pause of the loop that notices stalls, and stallLate how late it must be for one: half of the
	// shortest time that is judged, that in which servers stop working for callers that have left.
	stallCheck = 20 * time.Millisecond
	stallLate  = 250 * time.Millisecond
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

// watchMachine notes stalls of the machine until ctx ends, so that the checks do not judge the router for them.
func (t *timeline) watchMachine(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, stallCheck)
		t.noteStall(before, time.Now())
	}
}

// noteStall records a stall if the span is much longer than a pause of the loop.
func (t *timeline) noteStall(from, to time.Time) {
	if to.Sub(from) < stallCheck+stallLate {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.intervals = append(t.intervals, interval{scope: machineScope, from: from, to: to})
}

// stalls is the number of stalls so far.
func (t *timeline) stalls() (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.intervals {
		if v.scope == machineScope {
			count++
		}
	}
	return count
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

// inTouch reports whether neither the instance, nor the store, nor the machine was disturbed from the stable time before the span to its end.
func (t *timeline) inTouch(instance string, stable time.Duration, from, to time.Time) bool {
	return !t.any(from.Add(-stable), to, func(v interval) bool { return v.scope == instance || v.scope == storeScope || v.scope == machineScope })
}

// calm reports whether there was no unplanned fault at all in the span.
func (t *timeline) calm(from, to time.Time) bool {
	return !t.any(from, to, func(v interval) bool { return !v.planned })
}
