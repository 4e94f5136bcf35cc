// Package roster decides about membership: which rosters may still be in use (R3), who may use its shares (R1), who may
// be removed (R2), which members live, and which of them owns an endpoint. It does no I/O; the time is passed in.
package roster

import (
	"slices"
	"time"

	"tanagerwood.dev/api/peer"
)

// Periods of the rules. A confirmation that was obtained before a majority learned of a newer roster has lapsed by
// RosterRetireDelay after that; the margin covers clocks whose rates differ by less than a tenth.
const (
	ConfirmationValidity = 3 * time.Second
	RosterRetireDelay    = ConfirmationValidity + 300*time.Millisecond
	// AcknowledgedRetireDelay applies once all members are known to have a newer roster, so that no confirmation needs to
	// lapse. It outlasts the loans that were given under the older one (quota.LenderValidity) and requests that are being
	// admitted.
	AcknowledgedRetireDelay = 500 * time.Millisecond
	HeartbeatTimeout        = 3 * time.Second
	RemovalTimeout          = 5 * time.Second
	AbsenceTimeout          = 60 * time.Second
)

// IsMajority reports whether n is a strict majority of all.
func IsMajority(n, all int) bool { return 2*n > all }

// History holds the newest roster and the older ones whose shares may still be in use. It is not safe for concurrent use.
type History struct {
	rosters []step // ascending and without gaps; the last is the newest
	// lastRemovalMS is that of the newest roster.
	lastRemovalMS int64
}

// step is one generation and the change that led to it.
type step struct {
	generation uint64
	members    []peer.Member
	change     peer.RosterChange
	// known is set once a majority of the members is known to have a newer generation, and knownAt is when.
	known   bool
	knownAt time.Duration
	// acknowledged is set once all members that have not left are known to have a newer generation.
	acknowledged   bool
	acknowledgedAt time.Duration
}

// outOfUse reports whether nobody uses a share of this generation any more.
func (s *step) outOfUse(now time.Duration) bool {
	return s.known && now >= s.knownAt+RosterRetireDelay || s.acknowledged && now >= s.acknowledgedAt+AcknowledgedRetireDelay
}

// AdoptResult tells what Adopt did.
type AdoptResult struct {
	Adopted bool
	// Gap says that generations between the newest one known before and the adopted one are missing. This instance may
	// have been out of the roster meanwhile, so that its shares must start empty.
	Gap bool
}

// Generation is the newest generation, or 0 if no roster is known.
func (c *History) Generation() uint64 {
	if len(c.rosters) == 0 {
		return 0
	}
	return c.newest().generation
}

// Newest is the newest roster with the changes since the oldest one that may be in use.
func (c *History) Newest() peer.Roster {
	if len(c.rosters) == 0 {
		return peer.Roster{}
	}
	newest := c.newest()
	r := peer.Roster{Generation: newest.generation, Members: newest.members, LastRemovalMS: c.lastRemovalMS}
	for _, s := range c.rosters[1:] {
		r.Changes = append(r.Changes, s.change)
	}
	return r
}

// Members are the members of the newest roster.
func (c *History) Members() []peer.Member {
	if len(c.rosters) == 0 {
		return nil
	}
	return c.newest().members
}

// ActiveRosters lists the members of every roster whose shares may be in use, the newest last.
func (c *History) ActiveRosters() [][]peer.Member {
	all := make([][]peer.Member, 0, len(c.rosters))
	for _, s := range c.rosters {
		all = append(all, s.members)
	}
	return all
}

// Contains reports whether the newest roster names the member.
func (c *History) Contains(id peer.MemberID) bool { return names(c.Members(), id) }

// Adopt takes a newer roster. Older, equal and malformed ones are ignored.
func (c *History) Adopt(r peer.Roster) AdoptResult {
	if r.Generation <= c.Generation() || uint64(len(r.Changes)) >= r.Generation {
		return AdoptResult{}
	}
	c.lastRemovalMS = r.LastRemovalMS
	steps := expand(r)
	if len(c.rosters) == 0 {
		c.rosters = steps
		return AdoptResult{Adopted: true}
	}
	known, oldest := c.Generation(), steps[0].generation
	if oldest > known {
		c.rosters = steps
		return AdoptResult{Adopted: true, Gap: true}
	}
	// What the writer of r has ruled out to be in use stays ruled out.
	kept := slices.DeleteFunc(c.rosters, func(s step) bool { return s.generation < oldest })
	for _, s := range steps {
		if s.generation > known {
			kept = append(kept, s)
		}
	}
	c.rosters = kept
	return AdoptResult{Adopted: true}
}

// Next is the roster after the newest one with the change applied.
func (c *History) Next(change peer.RosterChange) peer.Roster {
	r := c.Newest()
	r.Generation++
	r.Members = apply(r.Members, change.Removed, change.Added)
	if r.Generation > 1 {
		r.Changes = append(r.Changes, change)
	}
	return r
}

// RetireRosters applies R3: a roster is out of use ReuseDelay after a majority of its members is known to have a newer one, or
// AcknowledgedReuseDelay after all of them are. Members that were absent from the platform's list do not count towards the
// majority. It reports whether a roster went out of use.
func (c *History) RetireRosters(now time.Duration, knows func(m peer.Member, generation uint64) bool) bool {
	for i := range c.rosters[:max(0, len(c.rosters)-1)] {
		s := &c.rosters[i]
		if !s.known && c.majorityKnows(i, knows) {
			s.known, s.knownAt = true, now
		}
		if !s.acknowledged && c.allKnow(i, knows) {
			s.acknowledged, s.acknowledgedAt = true, now
		}
	}
	out := 0
	for out < len(c.rosters)-1 && c.rosters[out].outOfUse(now) {
		out++
	}
	c.rosters = slices.Delete(c.rosters, 0, out)
	return out > 0
}

func (c *History) majorityKnows(i int, knows func(peer.Member, uint64) bool) bool {
	var absent []peer.MemberID
	for _, later := range c.rosters[i+1:] {
		absent = append(absent, later.change.Absent...)
	}
	counted, informed := 0, 0
	for _, m := range c.rosters[i].members {
		if slices.Contains(absent, m.MemberID) {
			continue
		}
		counted++
		if knows(m, c.rosters[i].generation+1) {
			informed++
		}
	}
	return counted == 0 || IsMajority(informed, counted)
}

// allKnow reports whether each member of roster i has left by itself or is known to have a newer generation. A member
// that was removed or replaced by others may be frozen, so that its confirmation has to lapse.
func (c *History) allKnow(i int, knows func(peer.Member, uint64) bool) bool {
	var left []peer.MemberID
	var removed []peer.Member
	for _, later := range c.rosters[i+1:] {
		left = append(left, later.change.Left...)
		removed = append(removed, later.change.Removed...)
	}
	for _, m := range c.rosters[i].members {
		if slices.Contains(left, m.MemberID) {
			continue
		}
		if names(removed, m.MemberID) || !knows(m, c.rosters[i].generation+1) {
			return false
		}
	}
	return true
}

func (c *History) newest() *step { return &c.rosters[len(c.rosters)-1] }

// expand rebuilds the older rosters by undoing the changes.
func expand(r peer.Roster) []step {
	steps := make([]step, len(r.Changes)+1)
	members := r.Members
	for i := len(r.Changes); i > 0; i-- {
		change := r.Changes[i-1]
		steps[i] = step{generation: r.Generation - uint64(len(r.Changes)-i), members: members, change: change}
		members = apply(members, change.Added, change.Removed)
	}
	steps[0] = step{generation: r.Generation - uint64(len(r.Changes)), members: members}
	return steps
}

// apply returns the members without some and with others.
func apply(members, without, with []peer.Member) []peer.Member {
	out := make([]peer.Member, 0, len(members)+len(with))
	for _, m := range members {
		if !names(without, m.MemberID) {
			out = append(out, m)
		}
	}
	return append(out, with...)
}

func names(members []peer.Member, id peer.MemberID) bool {
	return slices.ContainsFunc(members, func(m peer.Member) bool { return m.MemberID == id })
}
