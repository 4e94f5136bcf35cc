package reservation

import (
	"slices"
	"time"

	"tanagerwood.dev/api/engine"
)

// PrefillRequest is a request of an attempt for a reservation at a prefill endpoint.
type PrefillRequest struct {
	Attempt string
	// UncachedTokens is the number of prompt tokens that are not in the endpoint's cache.
	UncachedTokens int64
	// MaxDelay is how much later than now the prefill may start.
	MaxDelay time.Duration
}

// PrefillTable holds the reservations at one prefill endpoint: a queue of prefills that run one after the other.
type PrefillTable struct {
	tokensPerSecond float64
	queue           []*prefillEntry
	listedAt        time.Duration
}

type prefillEntry struct {
	attempt  string
	duration time.Duration
	// startedAt is set while the entry is the first in the queue.
	startedAt time.Duration
	// expectedStart is when the prefill was expected to start.
	expectedStart time.Duration
	used          bool
	// fromList is set if the entry was added by Reconcile and not by Reserve.
	fromList bool
}

// NewPrefillTable returns an empty table.
func NewPrefillTable() *PrefillTable { return &PrefillTable{} }

// SetRate sets the speed of the endpoint in tokens per second.
func (t *PrefillTable) SetRate(rate float64) { t.tokensPerSecond = rate }

// Len returns the number of reservations.
func (t *PrefillTable) Len() int { return len(t.queue) }

func (t *PrefillTable) duration(tokens int64) time.Duration {
	if t.tokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / t.tokensPerSecond * float64(time.Second))
}

// Backlog returns the time until all prefills in the queue are done.
func (t *PrefillTable) Backlog(now time.Duration) time.Duration {
	var sum time.Duration
	for i, e := range t.queue {
		left := e.duration
		if i == 0 {
			left = max(e.startedAt+e.duration-now, 0)
		}
		sum += left
	}
	return sum
}

// Reserve appends the prefill to the queue if it starts within r.MaxDelay. It returns the expected start even if it
// does not grant it.
func (t *PrefillTable) Reserve(now time.Duration, r PrefillRequest) (at time.Duration, granted bool) {
	t.expireUnused(now)
	for _, e := range t.queue {
		if e.attempt == r.Attempt {
			return e.expectedStart, true
		}
	}
	backlog := t.Backlog(now)
	if backlog > r.MaxDelay {
		return now + backlog, false
	}
	t.append(now, &prefillEntry{attempt: r.Attempt, duration: t.duration(r.UncachedTokens), expectedStart: now + backlog})
	return now + backlog, true
}

func (t *PrefillTable) append(now time.Duration, e *prefillEntry) {
	if len(t.queue) == 0 {
		e.startedAt = now
	}
	t.queue = append(t.queue, e)
}

// Release ends a reservation.
func (t *PrefillTable) Release(now time.Duration, attempt string) {
	t.remove(now, func(e *prefillEntry) bool { return e.attempt == attempt })
}

func (t *PrefillTable) remove(now time.Duration, match func(*prefillEntry) bool) {
	var first *prefillEntry
	if len(t.queue) > 0 {
		first = t.queue[0]
	}
	t.queue = slices.DeleteFunc(t.queue, match)
	if len(t.queue) > 0 && t.queue[0] != first {
		t.queue[0].startedAt = now
	}
}

// Reconcile updates the table from the engine's request list. Requests whose KV cache is being exported are not part of
// the backlog.
func (t *PrefillTable) Reconcile(now time.Duration, list []engine.Request) {
	t.listedAt = now
	present := make(map[string]bool, len(list))
	for _, r := range list {
		if r.Phase != engine.PhaseWaiting && r.Phase != engine.PhasePrefill {
			continue
		}
		present[r.ID] = true
		if !t.markUsed(r.ID) {
			t.append(now, &prefillEntry{attempt: r.ID, duration: t.duration(r.PromptTokens), expectedStart: now, used: true, fromList: true})
		}
	}
	t.remove(now, func(e *prefillEntry) bool { return e.used && !present[e.attempt] })
	t.expireUnused(now)
}

func (t *PrefillTable) markUsed(attempt string) bool {
	for _, e := range t.queue {
		if e.attempt == attempt {
			e.used = true
			return true
		}
	}
	return false
}

func (t *PrefillTable) expireUnused(now time.Duration) {
	t.remove(now, func(e *prefillEntry) bool { return expired(now, e.expectedStart+e.duration, t.listedAt, e.used) })
}

// GrantedAttempts returns the attempts that Reserve has granted, without those that Reconcile has added.
func (t *PrefillTable) GrantedAttempts() []string {
	var own []string
	for _, e := range t.queue {
		if !e.fromList {
			own = append(own, e.attempt)
		}
	}
	return own
}
