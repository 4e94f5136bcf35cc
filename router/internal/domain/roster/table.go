package roster

import (
	"slices"
	"strings"
	"time"

	"tanagerwood.dev/api/peer"
)

const (
	// forgetAfter drops members that are gone from the table.
	forgetAfter = 60 * time.Second
	// gossipFor bounds how long an entry is passed on after its counter last grew, well below forgetAfter, so that a
	// forgotten entry does not come back.
	gossipFor = 20 * time.Second
)

// HeartbeatTable is the heartbeat table. It is not safe for concurrent use.
type HeartbeatTable struct {
	self string
	rows map[string]*row
}

type row struct {
	peer.HeartbeatEntry
	// at is when the counter last grew, or when the member was first known.
	at time.Duration
	// heard is false for a member that only a roster has named.
	heard bool
	// digest sums up what a full entry tells, but for the counter, the generation and the revision.
	digest uint32
}

// NewTable returns a table with the member's own entry.
func NewTable(now time.Duration, self peer.Member) *HeartbeatTable {
	t := &HeartbeatTable{self: self.Name, rows: make(map[string]*row)}
	t.rows[self.Name] = newRow(now, peer.HeartbeatEntry{Member: self}, true)
	return t
}

func newRow(now time.Duration, e peer.HeartbeatEntry, heard bool) *row {
	return &row{HeartbeatEntry: e, at: now, heard: heard, digest: digest(e)}
}

// UpdateSelf raises the own counter and publishes what is in force here.
func (t *HeartbeatTable) UpdateSelf(now time.Duration, generation, revision uint64, draining bool) {
	own := t.rows[t.self]
	own.Counter++
	own.RosterGeneration, own.CatalogueRevision, own.Draining = generation, revision, draining
	own.at, own.digest = now, digest(own.HeartbeatEntry)
}

// SelfEntry is the own entry.
func (t *HeartbeatTable) SelfEntry() peer.HeartbeatEntry { return t.rows[t.self].HeartbeatEntry }

// AddMembers makes members of a roster known, so that their silence is counted from now on if they were never heard.
func (t *HeartbeatTable) AddMembers(now time.Duration, members []peer.Member) {
	for _, m := range members {
		r, known := t.rows[m.Name]
		if !known || r.Incarnation < m.Incarnation && m.Name != t.self {
			t.rows[m.Name] = newRow(now, peer.HeartbeatEntry{Member: m}, false)
		}
	}
}

// Merge takes a peer's entries. A greater incarnation replaces a lower one; within one, the greater counter wins. It
// returns the members that are heard for the first time or again, or that began or ceased to drain.
func (t *HeartbeatTable) Merge(now time.Duration, entries []peer.HeartbeatEntry) []peer.MemberID {
	var changed []peer.MemberID
	for _, e := range entries {
		if e.Name != t.self && t.merge(now, e) {
			changed = append(changed, e.MemberID)
		}
	}
	return changed
}

func (t *HeartbeatTable) merge(now time.Duration, e peer.HeartbeatEntry) (changed bool) {
	r, known := t.rows[e.Name]
	switch {
	case !known || e.Incarnation > r.Incarnation:
		t.rows[e.Name] = newRow(now, e, true)
		return true
	case e.Incarnation < r.Incarnation:
		return false
	}
	// Beats may have brought a newer counter than this entry, but within an incarnation the rest only grows.
	e.RosterGeneration = max(r.RosterGeneration, e.RosterGeneration)
	e.CatalogueRevision = max(r.CatalogueRevision, e.CatalogueRevision)
	e.Draining = r.Draining || e.Draining
	changed = r.Draining != e.Draining
	if e.Counter > r.Counter {
		changed = changed || !r.alive(now)
		r.at, r.heard = now, true
	}
	e.Counter = max(r.Counter, e.Counter)
	r.HeartbeatEntry, r.digest = e, digest(e)
	return changed
}

// RecentEntries are the entries to pass on.
func (t *HeartbeatTable) RecentEntries(now time.Duration) []peer.HeartbeatEntry {
	entries := make([]peer.HeartbeatEntry, 0, len(t.rows))
	for _, r := range t.rows {
		if r.fresh(now) {
			entries = append(entries, r.HeartbeatEntry)
		}
	}
	return entries
}

// PruneSilent drops members that were silent for long and that keep reports false for.
func (t *HeartbeatTable) PruneSilent(now time.Duration, keep func(peer.MemberID) bool) {
	for name, r := range t.rows {
		if name != t.self && now-r.at >= forgetAfter && !keep(r.MemberID) {
			delete(t.rows, name)
		}
	}
}

// TimeSinceHeartbeat is how long the member has not been heard. A member whose name a greater incarnation has taken counts as
// silent for ever.
func (t *HeartbeatTable) TimeSinceHeartbeat(now time.Duration, id peer.MemberID) time.Duration {
	r, known := t.rows[id.Name]
	switch {
	case !known:
		return 0
	case r.Incarnation > id.Incarnation:
		return 1<<63 - 1
	case r.Incarnation < id.Incarnation:
		return 0
	}
	return now - r.at
}

// HasGeneration reports whether the member is known to have the generation. A greater incarnation at the same address counts for
// it: the address is taken, so the old process has ended. At another address the old process may be frozen or cut off,
// and may still be confirmed by a majority of which it is a part.
func (t *HeartbeatTable) HasGeneration(m peer.Member, generation uint64) bool {
	r, known := t.rows[m.Name]
	if !known || r.RosterGeneration < generation {
		return false
	}
	return r.Incarnation == m.Incarnation || r.Incarnation > m.Incarnation && r.Address == m.Address
}

// LiveMembers returns the live members and the time until which this holds if nothing new is heard. It shares what has not
// changed with the one before, which may be nil.
func (t *HeartbeatTable) LiveMembers(now time.Duration, before *LiveMembers) *LiveMembers {
	until, alive, same := now+HeartbeatTimeout, 0, before != nil
	for _, r := range t.rows {
		if r.Name == t.self {
			same = same && before.alive[r.MemberID] && before.draining[r.MemberID] == r.Draining
			alive++
			continue
		}
		if r.alive(now) {
			until = min(until, r.at+HeartbeatTimeout)
			same = same && before.alive[r.MemberID] && before.draining[r.MemberID] == r.Draining
			alive++
		}
	}
	if same && alive == len(before.alive) {
		return &LiveMembers{liveSet: before.liveSet, ValidUntil: until}
	}
	return &LiveMembers{liveSet: t.liveSet(now), ValidUntil: until}
}

func (t *HeartbeatTable) liveSet(now time.Duration) *liveSet {
	l := &liveSet{alive: make(map[peer.MemberID]bool), draining: make(map[peer.MemberID]bool)}
	for _, r := range t.rows {
		if r.Name != t.self && !r.alive(now) {
			continue
		}
		l.alive[r.MemberID] = true
		l.Members = append(l.Members, r.Member)
		if r.Draining {
			l.draining[r.MemberID] = true
			continue
		}
		l.owners = append(l.owners, r.Member)
	}
	byName := func(a, b peer.Member) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(l.Members, byName)
	slices.SortFunc(l.owners, byName)
	return l
}

// fresh reports whether the row is passed on.
func (r *row) fresh(now time.Duration) bool { return r.heard && now-r.at < gossipFor }

func (r *row) alive(now time.Duration) bool { return r.heard && now-r.at < HeartbeatTimeout }
