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
	// poisonScope marks the crashes of engines by the poison part of prompts.
	poisonScope = "poison"
	// machineScope marks periods in which the machine did not run this process, and so possibly none of the others.
	machineScope = "machine"
)

const (
	// stallCheck is the pause of the loop that detects stalls, and stallThreshold how late the loop must be for a stall: half
	// of the shortest bound that is checked, that in which servers must stop working for callers that have disconnected.
	stallCheck     = 20 * time.Millisecond
	stallThreshold = 250 * time.Millisecond
)

// interval is the period of a fault.
type interval struct {
	// scope is an instance's name, or one of the scopes above.
	scope   string
	planned bool
	// rejection is set if the store rejects the instance, which is not disturbed otherwise.
	rejection bool
	from, to  time.Time
}

// timeline records which part of the system was disturbed when.
type timeline struct {
	mu        sync.Mutex
	intervals []interval
}

// begin records the beginning of a fault and returns a function that records its end.
func (t *timeline) begin(scope string, planned bool) (end func()) {
	return t.add(interval{scope: scope, planned: planned, from: time.Now()})
}

// beginRejection is like begin, for a time in which the store rejects an instance.
func (t *timeline) beginRejection(instance string) (end func()) {
	return t.add(interval{scope: instance, rejection: true, from: time.Now()})
}

func (t *timeline) add(v interval) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.intervals)
	t.intervals = append(t.intervals, v)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.intervals[n].to = time.Now()
	}
}

// watchStalls records stalls of the machine until ctx ends, so that the checks do not attribute them to the router.
func (t *timeline) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, stallCheck)
		t.recordStall(before, time.Now())
	}
}

// recordStall records a stall if the span is much longer than a pause of the loop.
func (t *timeline) recordStall(from, to time.Time) {
	if to.Sub(from) < stallCheck+stallThreshold {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.intervals = append(t.intervals, interval{scope: machineScope, from: from, to: to})
}

// stalls returns the number of stalls so far.
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

// overlaps reports whether a matching interval overlaps the span. An interval without an end is still open.
func (t *timeline) overlaps(from, to time.Time, match func(interval) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.intervals {
		if match(v) && v.from.Before(to) && (v.to.IsZero() || v.to.After(from)) {
			return true
		}
	}
	return false
}

// undisturbed reports whether the instance, the store and the machine were free of faults from the stable time before the span
// to its end.
func (t *timeline) undisturbed(instance string, stable time.Duration, from, to time.Time) bool {
	return !t.overlaps(from.Add(-stable), to, func(v interval) bool { return v.scope == instance || v.scope == storeScope || v.scope == machineScope })
}

// undisturbedExceptRejection is like undisturbed, but the store may have rejected the instance.
func (t *timeline) undisturbedExceptRejection(instance string, stable time.Duration, from, to time.Time) bool {
	return !t.overlaps(from.Add(-stable), to, func(v interval) bool {
		return v.scope == instance && !v.rejection || v.scope == storeScope || v.scope == machineScope
	})
}

// withoutUnplannedFault reports whether there was no unplanned fault at all in the span.
func (t *timeline) withoutUnplannedFault(from, to time.Time) bool {
	return !t.overlaps(from, to, func(v interval) bool { return !v.planned })
}
