// Package reservation keeps what the owner of an endpoint knows of its near future: decode slots, KV cache blocks and
// the transfer link of a decode endpoint, and the backlog of a prefill endpoint. Times are durations on the boot-time
// clock and are passed in; the caller serialises access.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"tanagerwood.dev/api/engine"
)

const (
	// UnusedTimeout is how long after its time a reservation lapses that the engine does not show in its list.
	UnusedTimeout = time.Second
	// lapseUnseen applies while the engine's list cannot be read.
	lapseUnseen = 3 * time.Second
	// overrunPart is the part of its expected time that a request is expected to go on for once it has run longer than
	// expected. A quarter keeps long-running requests from promising their slot for the next moment, again and again.
	overrunPart = 0.25
	// releaseGrace is the least time for which a reservation that was not released is taken to go on.
	releaseGrace = 20 * time.Millisecond
	// holdSmoothing is the weight of one request in the average that predicts holding times.
	holdSmoothing = 0.05
)

// DecodeCapacity describes a decode endpoint.
type DecodeCapacity struct {
	Slots              int
	Blocks             int64
	BlockTokens        int64
	LinkBytesPerSecond float64
	TokenInterval      time.Duration
}

// DecodeRequest is what an attempt wants from a decode endpoint.
type DecodeRequest struct {
	Attempt string
	// Requester is the instance that asks.
	Requester string
	// NeededAt is when the prefill ends; MaxDelay is how much later the slot may get free.
	NeededAt, MaxDelay time.Duration
	PromptTokens       int64
	OutputTokens       int64
	KVBytes            int64
}

// DecodeTable is the table of one decode endpoint.
type DecodeTable struct {
	size    DecodeCapacity
	entries map[string]*decodeEntry
	// holdRatio is the average of the time that requests hold their slot over the time for their token limit.
	holdRatio float64
	listedAt  time.Duration
	waiters   waiters
}

type decodeEntry struct {
	// due is the time that was granted; at is when the slot is taken, which is later if the slot gets free late.
	due, at  time.Duration
	transfer time.Duration
	// longest is the time for the whole token limit.
	longest time.Duration
	blocks  int64
	used    bool
	// foreign entries came from the engine's list and not from Reserve.
	foreign bool
}

// NewDecodeTable returns an empty table.
func NewDecodeTable() *DecodeTable {
	return &DecodeTable{entries: map[string]*decodeEntry{}, holdRatio: 1, waiters: waiters{}}
}

// SetCapacity sets the endpoint's size, which load reports tell.
func (t *DecodeTable) SetCapacity(s DecodeCapacity) { t.size = s }

// Len is the number of reservations.
func (t *DecodeTable) Len() int { return len(t.entries) }

// Reserve grants a slot, blocks and link time at the earliest moment from n.At on, if that is within n.Within. It
// returns that moment in any case.
func (t *DecodeTable) Reserve(now time.Duration, n DecodeRequest) (at time.Duration, granted bool) {
	t.lapse(now)
	t.shift(now)
	if e, ok := t.entries[n.Attempt]; ok {
		return e.at, true
	}
	e := &decodeEntry{
		transfer: t.transferTime(n.KVBytes),
		longest:  time.Duration(n.OutputTokens) * t.size.TokenInterval,
		blocks:   blocksFor(n.PromptTokens+n.OutputTokens, t.size.BlockTokens),
	}
	if e.blocks > t.size.Blocks || t.size.Slots == 0 {
		return n.NeededAt + n.MaxDelay + time.Hour, false // it never fits
	}
	at = t.earliest(now, max(n.NeededAt, now), e, 1+t.ahead(now, n.Requester, e.blocks))
	if at > n.NeededAt+n.MaxDelay {
		t.waiters.refused(now, n.Requester)
		return at, false
	}
	t.waiters.granted(n.Requester)
	e.due, e.at = at, at
	t.entries[n.Attempt] = e
	return at, true
}

// ahead is how many slots are kept for instances that wait longer, as far as they fit.
func (t *DecodeTable) ahead(now time.Duration, from string, blocks int64) int {
	n := min(t.waiters.ahead(now, from), t.size.Slots-1)
	if blocks > 0 {
		n = min(n, int(t.size.Blocks/blocks)-1)
	}
	return n
}

// shift moves entries that cannot have their slot yet, because more are due than there are slots: they begin now at the
// earliest. Without this a late beginning would make the prediction of its end too early, and so on along a chain.
func (t *DecodeTable) shift(now time.Duration) {
	var due []*decodeEntry
	for _, e := range t.entries {
		if e.at <= now {
			due = append(due, e)
		}
	}
	if len(due) <= t.size.Slots {
		return
	}
	slices.SortFunc(due, func(a, b *decodeEntry) int {
		if a.used != b.used {
			if a.used {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.at, b.at)
	})
	for _, e := range due[t.size.Slots:] {
		e.at = now
	}
}

func blocksFor(tokens, blockTokens int64) int64 {
	if blockTokens <= 0 {
		return 0
	}
	return (tokens + blockTokens - 1) / blockTokens
}

func (t *DecodeTable) transferTime(bytes int64) time.Duration {
	if t.size.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / t.size.LinkBytesPerSecond * float64(time.Second))
}

// earliest looks at the moments when something gets free, in order, for one at which count such entries fit.
func (t *DecodeTable) earliest(now, from time.Duration, e *decodeEntry, count int) time.Duration {
	moments := []time.Duration{from}
	for _, other := range t.entries {
		for _, m := range []time.Duration{t.end(now, other), other.at + other.transfer} {
			if m > from {
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

// end predicts when the entry frees its slot.
func (t *DecodeTable) end(now time.Duration, e *decodeEntry) time.Duration {
	began := e.at + e.transfer
	expected := time.Duration(t.holdRatio * float64(e.longest))
	end := max(began+expected, now+time.Duration(overrunPart*float64(expected)))
	// What is not released holds its slot now, even if it began later than planned.
	return max(min(end, began+e.longest), now+releaseGrace)
}

// fits checks slots, blocks and link from moment at on, for as long as the entry is expected to hold them.
func (t *DecodeTable) fits(now, at time.Duration, e *decodeEntry, count int) bool {
	until := at + e.transfer + time.Duration(t.holdRatio*float64(e.longest))
	starts := []time.Duration{at}
	for _, other := range t.entries {
		if other.at > at && other.at < until {
			starts = append(starts, other.at)
		}
		if e.transfer > 0 && other.transfer > 0 && other.at < at+e.transfer && at < other.at+other.transfer {
			return false
		}
	}
	for _, moment := range starts {
		slots, blocks := count, int64(count)*e.blocks
		for _, other := range t.entries {
			if other.at <= moment && t.end(now, other) > moment {
				slots++
				blocks += other.blocks
			}
		}
		if slots > t.size.Slots || blocks > t.size.Blocks {
			return false
		}
	}
	return true
}

// Release ends a reservation.
func (t *DecodeTable) Release(now time.Duration, attempt string) {
	e, ok := t.entries[attempt]
	if !ok {
		return
	}
	t.shift(now)
	delete(t.entries, attempt)
	t.shift(now)
	held := now - e.at - e.transfer
	if e.longest <= 0 || held <= 0 || e.foreign || !e.used {
		return // its beginning is a guess, or it was given back unused
	}
	ratio := min(float64(held)/float64(e.longest), 1)
	t.holdRatio += holdSmoothing * (ratio - t.holdRatio)
}

// Reconcile takes the engine's request list: it adds what the table does not know, which rebuilds the state of a new
// owner, and drops reservations that were used and are gone.
func (t *DecodeTable) Reconcile(now time.Duration, list []engine.Request) {
	t.listedAt = now
	present := make(map[string]bool, len(list))
	for _, r := range list {
		present[r.ID] = true
		if e, ok := t.entries[r.ID]; ok {
			e.use(now, r, t.size.TokenInterval)
			continue
		}
		longest := time.Duration(max(r.MaxTokens, r.OutputTokens)) * t.size.TokenInterval
		began := now - time.Duration(r.OutputTokens)*t.size.TokenInterval
		t.entries[r.ID] = &decodeEntry{due: began, at: began, longest: longest, blocks: r.Blocks, used: true, foreign: true}
	}
	for attempt, e := range t.entries {
		if e.used && !present[attempt] {
			t.Release(now, attempt)
		}
	}
	t.lapse(now)
}

// use notes that the engine lists the attempt. One that decodes began so long ago as its output took.
func (e *decodeEntry) use(now time.Duration, r engine.Request, interval time.Duration) {
	e.used = true
	if r.Phase == engine.PhaseDecode && r.OutputTokens > 0 {
		e.at = now - time.Duration(r.OutputTokens)*interval - e.transfer
	}
}

// lapse drops reservations whose time has passed without use.
func (t *DecodeTable) lapse(now time.Duration) {
	for attempt, e := range t.entries {
		if lapsed(now, e.due, t.listedAt, e.used) {
			delete(t.entries, attempt)
		}
	}
}

// lapsed requires a list that was read after the reservation's time, or the longer limit.
func lapsed(now, at, listedAt time.Duration, used bool) bool {
	if used || now <= at+UnusedTimeout {
		return false
	}
	return listedAt > at+UnusedTimeout/2 || now > at+lapseUnseen
}

// GrantedAttempts lists the reservations that Observe has not brought in.
func (t *DecodeTable) GrantedAttempts() []string {
	var own []string
	for attempt, e := range t.entries {
		if !e.foreign {
			own = append(own, attempt)
		}
	}
	return own
}
