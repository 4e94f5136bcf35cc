// Package reservation holds the reservation tables of the endpoints that an instance owns: decode slots, KV cache
// blocks and the transfer link of a decode endpoint, and the backlog of a prefill endpoint. Times are durations on the
// boot-time clock and are passed in; the caller serialises access.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"tanagerwood.dev/api/engine"
)

const (
	// UnusedTimeout is how long after its granted time a reservation expires if the engine does not list it.
	UnusedTimeout = time.Second
	// unlistedTimeout replaces UnusedTimeout while the engine's request list cannot be read.
	unlistedTimeout = 3 * time.Second
	// overrunFraction is the part of its expected holding time for which a request is expected to go on once it has
	// exceeded that time. With a smaller fraction, the slot of a long-running request would repeatedly be granted
	// as free within moments.
	overrunFraction = 0.25
	// minRemaining is the least time for which a reservation that was not released is expected to go on.
	minRemaining = 20 * time.Millisecond
	// holdRatioWeight is the weight of one request in the moving average of holdRatio.
	holdRatioWeight = 0.05
)

// DecodeCapacity is the capacity of a decode endpoint.
type DecodeCapacity struct {
	Slots              int
	Blocks             int64
	BlockTokens        int64
	LinkBytesPerSecond float64
	TokenInterval      time.Duration
}

// DecodeRequest is a request of an attempt for a reservation at a decode endpoint.
type DecodeRequest struct {
	Attempt string
	// Requester is the instance that sends the request.
	Requester string
	// NeededAt is when the prefill ends and the slot is needed. MaxDelay is how much later the slot may become free.
	NeededAt, MaxDelay time.Duration
	PromptTokens       int64
	OutputTokens       int64
	KVBytes            int64
}

// DecodeTable holds the reservations at one decode endpoint.
type DecodeTable struct {
	capacity DecodeCapacity
	entries  map[string]*decodeEntry
	// holdRatio is the moving average of the time for which requests hold their slot, divided by the time for their
	// token limit.
	holdRatio float64
	listedAt  time.Duration
	waiters   waiters
}

type decodeEntry struct {
	// grantedAt is the time that was granted. start is when the slot is taken, which is later if the slot becomes free
	// late.
	grantedAt, start time.Duration
	transfer         time.Duration
	// maxHold is the time that decoding up to the token limit takes.
	maxHold time.Duration
	blocks  int64
	used    bool
	// fromList is set if the entry was added by Reconcile and not by Reserve.
	fromList bool
}

// NewDecodeTable returns an empty table.
func NewDecodeTable() *DecodeTable {
	return &DecodeTable{entries: map[string]*decodeEntry{}, holdRatio: 1, waiters: waiters{}}
}

// SetCapacity sets the capacity of the endpoint, as reported with its load.
func (t *DecodeTable) SetCapacity(s DecodeCapacity) { t.capacity = s }

// Len returns the number of reservations.
func (t *DecodeTable) Len() int { return len(t.entries) }

// Reserve grants a slot, blocks and link time at the earliest time from r.NeededAt on, if that is within r.MaxDelay. It
// returns that time even if it does not grant it.
func (t *DecodeTable) Reserve(now time.Duration, r DecodeRequest) (at time.Duration, granted bool) {
	t.expireUnused(now)
	t.postponeWaiting(now)
	if e, ok := t.entries[r.Attempt]; ok {
		return e.start, true
	}
	e := &decodeEntry{
		transfer: t.transferTime(r.KVBytes),
		maxHold:  time.Duration(r.OutputTokens) * t.capacity.TokenInterval,
		blocks:   blocksFor(r.PromptTokens+r.OutputTokens, t.capacity.BlockTokens),
	}
	if e.blocks > t.capacity.Blocks || t.capacity.Slots == 0 {
		return r.NeededAt + r.MaxDelay + time.Hour, false // it can never fit
	}
	at = t.earliest(now, max(r.NeededAt, now), e, 1+t.slotsReservedForWaiters(now, r.Requester, e.blocks))
	if at > r.NeededAt+r.MaxDelay {
		t.waiters.recordRefusal(now, r.Requester)
		return at, false
	}
	t.waiters.remove(r.Requester)
	e.grantedAt, e.start = at, at
	t.entries[r.Attempt] = e
	return at, true
}

// slotsReservedForWaiters returns how many slots are kept free for instances that have waited longer than the
// requester, limited to what fits the endpoint.
func (t *DecodeTable) slotsReservedForWaiters(now time.Duration, requester string, blocks int64) int {
	n := min(t.waiters.countAhead(now, requester), t.capacity.Slots-1)
	if blocks > 0 {
		n = min(n, int(t.capacity.Blocks/blocks)-1)
	}
	return n
}

// postponeWaiting moves the start of entries that cannot have their slot yet, because more are due than there are
// slots, to now. Otherwise the predicted end of an entry that starts late would be too early, and so would the starts
// of all entries that wait for it.
func (t *DecodeTable) postponeWaiting(now time.Duration) {
	var due []*decodeEntry
	for _, e := range t.entries {
		if e.start <= now {
			due = append(due, e)
		}
	}
	if len(due) <= t.capacity.Slots {
		return
	}
	slices.SortFunc(due, func(a, b *decodeEntry) int {
		if a.used != b.used {
			if a.used {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.start, b.start)
	})
	for _, e := range due[t.capacity.Slots:] {
		e.start = now
	}
}

func blocksFor(tokens, blockTokens int64) int64 {
	if blockTokens <= 0 {
		return 0
	}
	return (tokens + blockTokens - 1) / blockTokens
}

func (t *DecodeTable) transferTime(bytes int64) time.Duration {
	if t.capacity.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / t.capacity.LinkBytesPerSecond * float64(time.Second))
}

// earliest returns the first time at which count entries like e fit. It checks the times at which something becomes
// free, in order.
func (t *DecodeTable) earliest(now, notBefore time.Duration, e *decodeEntry, count int) time.Duration {
	moments := []time.Duration{notBefore}
	for _, other := range t.entries {
		for _, m := range []time.Duration{t.predictedEnd(now, other), other.start + other.transfer} {
			if m > notBefore {
				moments = append(moments, m)
			}
		}
	}
	slices.Sort(moments)
	for _, m := range moments {
		if t.fits(now, m, e, count) {
			return m
		}
	}
	return moments[len(moments)-1]
}

// predictedEnd returns when the entry is expected to free its slot.
func (t *DecodeTable) predictedEnd(now time.Duration, e *decodeEntry) time.Duration {
	decodeStart := e.start + e.transfer
	expected := time.Duration(t.holdRatio * float64(e.maxHold))
	end := max(decodeStart+expected, now+time.Duration(overrunFraction*float64(expected)))
	// An entry that was not released still holds its slot, even if it started later than planned.
	return max(min(end, decodeStart+e.maxHold), now+minRemaining)
}

// fits checks slots, blocks and the link for the time in which the entry is expected to hold them, starting at the
// given time.
func (t *DecodeTable) fits(now, at time.Duration, e *decodeEntry, count int) bool {
	until := at + e.transfer + time.Duration(t.holdRatio*float64(e.maxHold))
	starts := []time.Duration{at}
	for _, other := range t.entries {
		if other.start > at && other.start < until {
			starts = append(starts, other.start)
		}
		if e.transfer > 0 && other.transfer > 0 && other.start < at+e.transfer && at < other.start+other.transfer {
			return false
		}
	}
	for _, m := range starts {
		slots, blocks := count, int64(count)*e.blocks
		for _, other := range t.entries {
			if other.start <= m && t.predictedEnd(now, other) > m {
				slots++
				blocks += other.blocks
			}
		}
		if slots > t.capacity.Slots || blocks > t.capacity.Blocks {
			return false
		}
	}
	return true
}

// Release ends a reservation and updates holdRatio with its holding time.
func (t *DecodeTable) Release(now time.Duration, attempt string) {
	e, ok := t.entries[attempt]
	if !ok {
		return
	}
	t.postponeWaiting(now)
	delete(t.entries, attempt)
	t.postponeWaiting(now)
	held := now - e.start - e.transfer
	if e.maxHold <= 0 || held <= 0 || e.fromList || !e.used {
		return // its start is an estimate, or it was released unused
	}
	ratio := min(float64(held)/float64(e.maxHold), 1)
	t.holdRatio += holdRatioWeight * (ratio - t.holdRatio)
}

// Reconcile updates the table from the engine's request list. It adds requests that are not in the table, which
// rebuilds the state of a new owner, and drops reservations that were used and are no longer listed.
func (t *DecodeTable) Reconcile(now time.Duration, list []engine.Request) {
	t.listedAt = now
	present := make(map[string]bool, len(list))
	for _, r := range list {
		present[r.ID] = true
		if e, ok := t.entries[r.ID]; ok {
			e.markListed(now, r, t.capacity.TokenInterval)
			continue
		}
		maxHold := time.Duration(max(r.MaxTokens, r.OutputTokens)) * t.capacity.TokenInterval
		start := now - time.Duration(r.OutputTokens)*t.capacity.TokenInterval
		t.entries[r.ID] = &decodeEntry{grantedAt: start, start: start, maxHold: maxHold, blocks: r.Blocks, used: true, fromList: true}
	}
	for attempt, e := range t.entries {
		if e.used && !present[attempt] {
			t.Release(now, attempt)
		}
	}
	t.expireUnused(now)
}

// markListed records that the engine lists the attempt. The start of a request that decodes is computed from the number
// of its output tokens.
func (e *decodeEntry) markListed(now time.Duration, r engine.Request, interval time.Duration) {
	e.used = true
	if r.Phase == engine.PhaseDecode && r.OutputTokens > 0 {
		e.start = now - time.Duration(r.OutputTokens)*interval - e.transfer
	}
}

// expireUnused drops reservations that were not used within the timeout.
func (t *DecodeTable) expireUnused(now time.Duration) {
	for attempt, e := range t.entries {
		if expired(now, e.grantedAt, t.listedAt, e.used) {
			delete(t.entries, attempt)
		}
	}
}

// expired reports whether an unused reservation has timed out. It requires that the engine's list was read at least
// half of UnusedTimeout after the due time, or that unlistedTimeout has passed.
func expired(now, dueAt, listedAt time.Duration, used bool) bool {
	if used || now <= dueAt+UnusedTimeout {
		return false
	}
	return listedAt > dueAt+UnusedTimeout/2 || now > dueAt+unlistedTimeout
}

// GrantedAttempts returns the attempts that Reserve has granted, without those that Reconcile has added.
func (t *DecodeTable) GrantedAttempts() []string {
	var own []string
	for attempt, e := range t.entries {
		if !e.fromList {
			own = append(own, attempt)
		}
	}
	return own
}
