// Package roster holds the rules of membership: which rosters may still be in use (R3), who may use its shares (R1),
// who may be removed (R2), which members are alive, and which of them owns an endpoint. It does no I/O; the time is
// passed in.
package roster

import (
	"slices"
	"time"

	"tanagerwood.dev/api/peer"
)

// Timeouts and delays of the rules. RosterRetireDelay after a majority has received a newer roster, every confirmation
// that was obtained before that has expired. The margin of 300 ms allows for clocks whose rates differ by
// less than a tenth.
const (
	ConfirmationValidity = 3 * time.Second
	RosterRetireDelay    = ConfirmationValidity + 300*time.Millisecond
	// AcknowledgedRetireDelay applies once all members are known to have a newer roster, so that no confirmation has to
	// expire first. It is longer than the validity of loans given under the older roster (quota.LenderLoanValidity) and
	// also covers requests that are being admitted.
	AcknowledgedRetireDelay = 500 * time.Millisecond
	HeartbeatTimeout        = 3 * time.Second
	RemovalTimeout          = 5 * time.Second
	AbsenceTimeout          = 60 * time.Second
)

// IsMajority reports whether n is a strict majority of all.
func IsMajority(n, all int) bool { return 2*n > all }

// History holds the newest roster and the older ones whose shares may still be in use. It is not safe for concurrent
// use.
type History struct {
	rosters []generationRecord // consecutive generations in ascending order
	// lastRemovalMS is LastRemovalMS of the newest roster.
	lastRemovalMS int64
}

// generationRecord is one generation of the roster and the change that led to it.
type generationRecord struct {
	generation uint64
	members    []peer.Member
	change     peer.RosterChange
	// majorityInformed is set at majorityInformedAt, once a majority of the members is known to have a newer
	// generation.
	majorityInformed   bool
	majorityInformedAt time.Duration
	// allInformed is set at allInformedAt, once all members that have not left are known to have a newer generation.
	allInformed   bool
	allInformedAt time.Duration
}

// outOfUse reports whether no member can still use a share of this generation.
func (s *generationRecord) outOfUse(now time.Duration) bool {
	return s.majorityInformed && now >= s.majorityInformedAt+RosterRetireDelay || s.allInformed && now >= s.allInformedAt+AcknowledgedRetireDelay
}

// AdoptResult is the result of Adopt.
type AdoptResult struct {
	Adopted bool
	// Gap is set if generations are missing between the previously newest one and the adopted one. This instance may
	// have been out of the roster in between, so its shares must start empty.
	Gap bool
}

// Generation returns the newest generation, or 0 if no roster is known.
func (h *History) Generation() uint64 {
	if len(h.rosters) == 0 {
		return 0
	}
	return h.newest().generation
}

// Newest returns the newest roster with the changes since the oldest one that may be in use.
func (h *History) Newest() peer.Roster {
	if len(h.rosters) == 0 {
		return peer.Roster{}
	}
	newest := h.newest()
	r := peer.Roster{Generation: newest.generation, Members: newest.members, LastRemovalMS: h.lastRemovalMS}
	for _, s := range h.rosters[1:] {
		r.Changes = append(r.Changes, s.change)
	}
	return r
}

// Members returns the members of the newest roster.
func (h *History) Members() []peer.Member {
	if len(h.rosters) == 0 {
		return nil
	}
	return h.newest().members
}

// ActiveRosters returns the members of every roster whose shares may be in use, the newest last.
func (h *History) ActiveRosters() [][]peer.Member {
	all := make([][]peer.Member, 0, len(h.rosters))
	for _, s := range h.rosters {
		all = append(all, s.members)
	}
	return all
}

// Contains reports whether the member is in the newest roster.
func (h *History) Contains(id peer.MemberID) bool { return containsMember(h.Members(), id) }

// Adopt adds a newer roster. Older, equal and malformed rosters are ignored.
func (h *History) Adopt(r peer.Roster) AdoptResult {
	if r.Generation <= h.Generation() || uint64(len(r.Changes)) >= r.Generation {
		return AdoptResult{}
	}
	h.lastRemovalMS = r.LastRemovalMS
	steps := rebuildGenerations(r)
	if len(h.rosters) == 0 {
		h.rosters = steps
		return AdoptResult{Adopted: true}
	}
	known, oldest := h.Generation(), steps[0].generation
	if oldest > known {
		h.rosters = steps
		return AdoptResult{Adopted: true, Gap: true}
	}
	// Rosters that the writer of r found to be out of use stay out of use.
	kept := slices.DeleteFunc(h.rosters, func(s generationRecord) bool { return s.generation < oldest })
	for _, s := range steps {
		if s.generation > known {
			kept = append(kept, s)
		}
	}
	h.rosters = kept
	return AdoptResult{Adopted: true}
}

// Next returns the roster that follows the newest one when the change is applied.
func (h *History) Next(change peer.RosterChange) peer.Roster {
	r := h.Newest()
	r.Generation++
	r.Members = applyChange(r.Members, change.Removed, change.Added)
	if r.Generation > 1 {
		r.Changes = append(r.Changes, change)
	}
	return r
}

// RetireRosters applies R3: a roster is out of use RosterRetireDelay after a majority of its members is known to have a
// newer one, or AcknowledgedRetireDelay after all of them are. Members that were absent from the platform's list do not
// count towards the majority. It reports whether a roster was retired.
func (h *History) RetireRosters(now time.Duration, hasGeneration func(m peer.Member, generation uint64) bool) bool {
	for i := range h.rosters[:max(0, len(h.rosters)-1)] {
		s := &h.rosters[i]
		if !s.majorityInformed && h.majorityHasNewer(i, hasGeneration) {
			s.majorityInformed, s.majorityInformedAt = true, now
		}
		if !s.allInformed && h.allHaveNewer(i, hasGeneration) {
			s.allInformed, s.allInformedAt = true, now
		}
	}
	retired := 0
	for retired < len(h.rosters)-1 && h.rosters[retired].outOfUse(now) {
		retired++
	}
	h.rosters = slices.Delete(h.rosters, 0, retired)
	return retired > 0
}

func (h *History) majorityHasNewer(i int, hasGeneration func(peer.Member, uint64) bool) bool {
	var absent []peer.MemberID
	for _, later := range h.rosters[i+1:] {
		absent = append(absent, later.change.Absent...)
	}
	counted, informed := 0, 0
	for _, m := range h.rosters[i].members {
		if slices.Contains(absent, m.MemberID) {
			continue
		}
		counted++
		if hasGeneration(m, h.rosters[i].generation+1) {
			informed++
		}
	}
	return counted == 0 || IsMajority(informed, counted)
}

// allHaveNewer reports whether each member of roster i has left by itself or is known to have a newer generation. A
// member that was removed or replaced by others may be frozen, so its confirmation has to expire first.
func (h *History) allHaveNewer(i int, hasGeneration func(peer.Member, uint64) bool) bool {
	var left []peer.MemberID
	var removed []peer.Member
	for _, later := range h.rosters[i+1:] {
		left = append(left, later.change.Left...)
		removed = append(removed, later.change.Removed...)
	}
	for _, m := range h.rosters[i].members {
		if slices.Contains(left, m.MemberID) {
			continue
		}
		if containsMember(removed, m.MemberID) || !hasGeneration(m, h.rosters[i].generation+1) {
			return false
		}
	}
	return true
}

func (h *History) newest() *generationRecord { return &h.rosters[len(h.rosters)-1] }

// rebuildGenerations reconstructs the older rosters by undoing the changes.
func rebuildGenerations(r peer.Roster) []generationRecord {
	steps := make([]generationRecord, len(r.Changes)+1)
	members := r.Members
	for i := len(r.Changes); i > 0; i-- {
		change := r.Changes[i-1]
		steps[i] = generationRecord{generation: r.Generation - uint64(len(r.Changes)-i), members: members, change: change}
		members = applyChange(members, change.Added, change.Removed)
	}
	steps[0] = generationRecord{generation: r.Generation - uint64(len(r.Changes)), members: members}
	return steps
}

// applyChange returns the members without those to remove and with those to add.
func applyChange(members, removed, added []peer.Member) []peer.Member {
	out := make([]peer.Member, 0, len(members)+len(added))
	for _, m := range members {
		if !containsMember(removed, m.MemberID) {
			out = append(out, m)
		}
	}
	return append(out, added...)
}

func containsMember(members []peer.Member, id peer.MemberID) bool {
	return slices.ContainsFunc(members, func(m peer.Member) bool { return m.MemberID == id })
}
