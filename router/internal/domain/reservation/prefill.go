package reservation

import (
	"slices"
	"time"

	"tanagerwood.dev/api/engine"
)

// PrefillRequest is what an attempt wants from a prefill endpoint.
type PrefillRequest struct {
	Attempt string
	// UncachedTokens are those that are not in the endpoint's cache.
	UncachedTokens int64
	// MaxDelay is how much later than now the prefill may begin.
	MaxDelay time.Duration
}

// PrefillTable is the table of one prefill endpoint: a line of work that runs one after the other.
type PrefillTable struct {
	rate     float64
	line     []*prefillEntry
	listedAt time.Duration
}

type prefillEntry struct {
	attempt string
	length  time.Duration
	// began is set while the entry is the first of the line.
	began time.Duration
	// due is when the work was expected to begin.
	due  time.Duration
	used bool
	// foreign entries came from the engine's list and not from Reserve.
	foreign bool
}

// NewPrefillTable returns an empty table.
func NewPrefillTable() *PrefillTable { return &PrefillTable{} }

// SetRate sets the endpoint's speed in tokens a second.
func (t *PrefillTable) SetRate(rate float64) { t.rate = rate }

// Len is the number of reservations.
func (t *PrefillTable) Len() int { return len(t.line) }

func (t *PrefillTable) length(tokens int64) time.Duration {
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / t.rate * float64(time.Second))
}

// Backlog is the time until the present line is done.
func (t *PrefillTable) Backlog(now time.Duration) time.Duration {
	var sum time.Duration
	for i, e := range t.line {
		left := e.length
		if i == 0 {
			left = max(e.began+e.length-now, 0)
		}
		sum += left
	}
	return sum
}

// Reserve adds the work to the line if it begins within w.Within. It returns when it begins in any case.
func (t *PrefillTable) Reserve(now time.Duration, w PrefillRequest) (at time.Duration, granted bool) {
	t.lapse(now)
	for _, e := range t.line {
		if e.attempt == w.Attempt {
			return e.due, true
		}
	}
	backlog := t.Backlog(now)
	if backlog > w.MaxDelay {
		return now + backlog, false
	}
	t.append(now, &prefillEntry{attempt: w.Attempt, length: t.length(w.UncachedTokens), due: now + backlog})
	return now + backlog, true
}

func (t *PrefillTable) append(now time.Duration, e *prefillEntry) {
	if len(t.line) == 0 {
		e.began = now
	}
	t.line = append(t.line, e)
}

// Release ends a reservation.
func (t *PrefillTable) Release(now time.Duration, attempt string) {
	t.remove(now, func(e *prefillEntry) bool { return e.attempt == attempt })
}

func (t *PrefillTable) remove(now time.Duration, match func(*prefillEntry) bool) {
	var first *prefillEntry
	if len(t.line) > 0 {
		first = t.line[0]
	}
	t.line = slices.DeleteFunc(t.line, match)
	if len(t.line) > 0 && t.line[0] != first {
		t.line[0].began = now
	}
}

// Reconcile takes the engine's request list. Exported KV cache is no backlog any more.
func (t *PrefillTable) Reconcile(now time.Duration, list []engine.Request) {
	t.listedAt = now
	present := make(map[string]bool, len(list))
	for _, r := range list {
		if r.Phase != engine.PhaseWaiting && r.Phase != engine.PhasePrefill {
			continue
		}
		present[r.ID] = true
		if !t.markUsed(r.ID) {
			t.append(now, &prefillEntry{attempt: r.ID, length: t.length(r.PromptTokens), due: now, used: true, foreign: true})
		}
	}
	t.remove(now, func(e *prefillEntry) bool { return e.used && !present[e.attempt] })
	t.lapse(now)
}

func (t *PrefillTable) markUsed(attempt string) bool {
	for _, e := range t.line {
		if e.attempt == attempt {
			e.used = true
			return true
		}
	}
	return false
}

func (t *PrefillTable) lapse(now time.Duration) {
	t.remove(now, func(e *prefillEntry) bool { return lapsed(now, e.due+e.length, t.listedAt, e.used) })
}

// GrantedAttempts lists the reservations that Observe has not brought in.
func (t *PrefillTable) GrantedAttempts() []string {
	var own []string
	for _, e := range t.line {
		if !e.foreign {
			own = append(own, e.attempt)
		}
	}
	return own
}
