// Package slowreader bounds the memory that is held for callers that do not read their answers. A write that has been blocked for a
// while counts with all that its request holds. If the sum exceeds the limit, the callers that have read nothing for longest are cut:
// their endpoints are the next to cut their answers off, so that they are the least likely to get complete ones.
package slowreader

import (
	"container/list"
	"sync"
	"time"
)

// Grace is how long a write may be blocked before it counts. Callers on a busy link are often blocked for shorter times.
const Grace = time.Second

// Write is a write to a caller that has not returned. Its fields must not change.
type Write struct {
	// Bytes is the memory that the request holds until the write returns.
	Bytes int64
	// Cut ends the write. It must not block.
	Cut func()

	since   time.Duration
	element *list.Element
}

// Tracker holds the writes in progress. It is safe for concurrent use.
type Tracker struct {
	limit int64

	mu sync.Mutex
	// writes is ordered by their beginning.
	writes list.List
	held   int64
	cut    int64
}

// NewTracker returns a tracker with a limit in bytes for the memory that blocked writes hold together.
func NewTracker(limit int64) *Tracker { return &Tracker{limit: limit} }

// Begin records the beginning of a write, or that a caller has read a part of it.
func (t *Tracker) Begin(w *Write, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.since, w.element = now, t.writes.PushBack(w)
}

// End records that a write has returned.
func (t *Tracker) End(w *Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.element != nil {
		t.writes.Remove(w.element)
		w.element = nil
	}
}

// Check cuts writes as far as necessary, the longest blocked one first. It reports whether writes are left in progress, which must be
// checked again.
func (t *Tracker) Check(now time.Duration) (inProgress bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.exceeding(now) {
		w.Cut() // the lock keeps it from cutting a later write of the same caller
	}
	return t.writes.Len() > 0
}

// exceeding removes and returns the writes to be cut; t.mu is held.
func (t *Tracker) exceeding(now time.Duration) (out []*Write) {
	t.held = 0
	for e := t.writes.Front(); e != nil && now-e.Value.(*Write).since >= Grace; e = e.Next() {
		t.held += e.Value.(*Write).Bytes
	}
	for t.held > t.limit {
		w := t.writes.Remove(t.writes.Front()).(*Write)
		w.element = nil
		t.held -= w.Bytes
		t.cut++
		out = append(out, w)
	}
	return out
}

// Held returns the memory that blocked writes held at the last check, in bytes.
func (t *Tracker) Held() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// CutWrites returns the number of writes that were cut.
func (t *Tracker) CutWrites() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}
