package roster

import (
	"slices"
	"strings"
	"time"

	"tanagerwood.dev/api/peer"
)

const (
	// pruneAfter is how long after its counter last grew a member that has left the roster is dropped from the table.
	pruneAfter = 60 * time.Second
	// gossipWindow is how long an entry is passed on after its counter last grew. It is well below pruneAfter, so that
	// a dropped entry does not come back from a peer.
	gossipWindow = 20 * time.Second
)

// HeartbeatTable holds the latest heartbeat of each member. It is not safe for concurrent use.
type HeartbeatTable struct {
	self string
	rows map[string]*row
}

type row struct {
	peer.HeartbeatEntry
	// advancedAt is when the counter last grew, or when the member was added.
	advancedAt time.Duration
	// received is false until a heartbeat of the member arrives; such a member was added from a roster.
	received bool
	// digest is a checksum of the entry without the counter, the generation and the revision.
	digest uint32
}

// NewTable returns a table that holds only the entry of this instance.
func NewTable(now time.Duration, self peer.Member) *HeartbeatTable {
	t := &HeartbeatTable{self: self.Name, rows: make(map[string]*row)}
	t.rows[self.Name] = newRow(now, peer.HeartbeatEntry{Member: self}, true)
	return t
}

func newRow(now time.Duration, e peer.HeartbeatEntry, received bool) *row {
	return &row{HeartbeatEntry: e, advancedAt: now, received: received, digest: entryDigest(e)}
}

// UpdateSelf increments the counter of this instance and sets the state that its entry reports.
func (t *HeartbeatTable) UpdateSelf(now time.Duration, generation, revision uint64, draining bool) {
	own := t.rows[t.self]
	own.Counter++
	own.RosterGeneration, own.CatalogueRevision, own.Draining = generation, revision, draining
	own.advancedAt, own.digest = now, entryDigest(own.HeartbeatEntry)
}

// SelfEntry returns the entry of this instance.
func (t *HeartbeatTable) SelfEntry() peer.HeartbeatEntry { return t.rows[t.self].HeartbeatEntry }

// AddMembers adds the members of a roster that are not in the table yet. For a member without a heartbeat,
// TimeSinceHeartbeat counts from this time.
func (t *HeartbeatTable) AddMembers(now time.Duration, members []peer.Member) {
	for _, m := range members {
		r, known := t.rows[m.Name]
		if !known || r.Incarnation < m.Incarnation && m.Name != t.self {
			t.rows[m.Name] = newRow(now, peer.HeartbeatEntry{Member: m}, false)
		}
	}
}

// Merge merges entries from a peer. A greater incarnation replaces a lower one; within an incarnation, the greater
// counter wins. It returns the members that are alive for the first time or again, or whose draining state changed.
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
	// An encoded counter may have been newer than this entry, but within an incarnation the other fields only grow.
	e.RosterGeneration = max(r.RosterGeneration, e.RosterGeneration)
	e.CatalogueRevision = max(r.CatalogueRevision, e.CatalogueRevision)
	e.Draining = r.Draining || e.Draining
	changed = r.Draining != e.Draining
	if e.Counter > r.Counter {
		changed = changed || !r.alive(now)
		r.advancedAt, r.received = now, true
	}
	e.Counter = max(r.Counter, e.Counter)
	r.HeartbeatEntry, r.digest = e, entryDigest(e)
	return changed
}

// RecentEntries returns the entries whose counters grew recently enough to be passed on.
func (t *HeartbeatTable) RecentEntries(now time.Duration) []peer.HeartbeatEntry {
	entries := make([]peer.HeartbeatEntry, 0, len(t.rows))
	for _, r := range t.rows {
		if r.recent(now) {
			entries = append(entries, r.HeartbeatEntry)
		}
	}
	return entries
}

// PruneStale drops the members whose counter has not grown for pruneAfter, except those for which keep returns true.
func (t *HeartbeatTable) PruneStale(now time.Duration, keep func(peer.MemberID) bool) {
	for name, r := range t.rows {
		if name != t.self && now-r.advancedAt >= pruneAfter && !keep(r.MemberID) {
			delete(t.rows, name)
		}
	}
}

// TimeSinceHeartbeat returns the time since the last heartbeat of the member. It is the greatest duration if a greater
// incarnation has replaced the member.
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
	return now - r.advancedAt
}

// HasGeneration reports whether the member is known to have the roster generation. A greater incarnation at the same
// address counts as the member: the address is in use, so the old process has ended. If the address differs, the old
// process may be frozen or cut off, and may still be confirmed by a majority that it is a part of.
func (t *HeartbeatTable) HasGeneration(m peer.Member, generation uint64) bool {
	r, known := t.rows[m.Name]
	if !known || r.RosterGeneration < generation {
		return false
	}
	return r.Incarnation == m.Incarnation || r.Incarnation > m.Incarnation && r.Address == m.Address
}

// LiveMembers returns the members that are alive now. It reuses the index of the previous result, which may be nil, if
// the set has not changed.
func (t *HeartbeatTable) LiveMembers(now time.Duration, previous *LiveMembers) *LiveMembers {
	until, alive, unchanged := now+HeartbeatTimeout, 0, previous != nil
	for _, r := range t.rows {
		if r.Name == t.self {
			unchanged = unchanged && previous.alive[r.MemberID] && previous.draining[r.MemberID] == r.Draining
			alive++
			continue
		}
		if r.alive(now) {
			until = min(until, r.advancedAt+HeartbeatTimeout)
			unchanged = unchanged && previous.alive[r.MemberID] && previous.draining[r.MemberID] == r.Draining
			alive++
		}
	}
	if unchanged && alive == len(previous.alive) {
		return &LiveMembers{liveIndex: previous.liveIndex, ValidUntil: until}
	}
	return &LiveMembers{liveIndex: t.buildLiveIndex(now), ValidUntil: until}
}

func (t *HeartbeatTable) buildLiveIndex(now time.Duration) *liveIndex {
	l := &liveIndex{alive: make(map[peer.MemberID]bool), draining: make(map[peer.MemberID]bool)}
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

// recent reports whether the counter grew recently enough for the entry to be passed on.
func (r *row) recent(now time.Duration) bool { return r.received && now-r.advancedAt < gossipWindow }

func (r *row) alive(now time.Duration) bool { return r.received && now-r.advancedAt < HeartbeatTimeout }
