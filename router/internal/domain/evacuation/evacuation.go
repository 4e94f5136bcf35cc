// Package evacuation decides which failure domains are evacuated. An operator evacuates a domain by an entry in the platform's store,
// and ends the evacuation by removing the entry. Instances read the entries or hear of them from each other, in any order and from copies
// of different ages.
//
// What is known is kept as one record for each domain, ordered by the store's revisions. Copies are merged record by record, and the later
// record takes precedence. Revisions of different eras of the store need more care, because a backup may hold an entry whose removal it lacks, and may
// lack an entry that was written after it:
//
//   - An evacuation in force that the restored store lacks stays in force. It ends when its entry is written and removed again.
//   - An entry that the restored store held from its beginning, and that was removed before the restore, is not in force. It is again once
//     it is written anew.
//
// Both rules are functions of values that only grow or only shrink, so that all instances reach the same result.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"tanagerwood.dev/api/routing"
)

const (
	// maxEndedRecords is the number of ended evacuations that are remembered.
	maxEndedRecords = 64
	// maxSharedRecords bounds the records in a message.
	maxSharedRecords = 64
)

// Record is the latest that is known of the evacuation of a domain.
type Record struct {
	Domain string `json:"domain"`
	// Revision is the revision of the entry, or if Ended is set, one at which the entry did not exist.
	Revision uint64 `json:"revision"`
	Ended    bool   `json:"ended,omitempty"`
	// Earlier and EarlierEnded are the Revision and Ended of the latest record of an earlier era; zero if none is known.
	Earlier      uint64 `json:"earlier,omitempty"`
	EarlierEnded bool   `json:"earlier_ended,omitempty"`
}

// before reports whether another record of the domain takes precedence over this one. Of two records of one revision, the one that says
// that the evacuation has ended takes precedence.
func (r Record) before(other Record) bool {
	return r.Revision < other.Revision || r.Revision == other.Revision && !r.Ended && other.Ended
}

// following returns the record with what is known of earlier eras from another one.
func (r Record) following(other Record) Record {
	for _, e := range []Record{other, {Revision: other.Earlier, Ended: other.EarlierEnded}} {
		if e.Revision > 0 && routing.Era(e.Revision) < routing.Era(r.Revision) && (Record{Revision: r.Earlier, Ended: r.EarlierEnded}).before(e) {
			r.Earlier, r.EarlierEnded = e.Revision, e.Ended
		}
	}
	return r
}

// Snapshot is the state that instances pass on to each other.
type Snapshot struct {
	// Revision is the one up to which all changes of its era are included; zero if the records are incomplete.
	Revision uint64 `json:"revision,omitempty"`
	// EraStart is the lowest revision of the era of Revision at which a list or watch was answered.
	EraStart uint64   `json:"era_start,omitempty"`
	Records  []Record `json:"records,omitempty"`
}

// state is immutable because the request path reads it without a lock.
type state struct {
	revision, eraStart uint64
	records            map[string]Record
	inForce            map[string]bool
}

// Tracker holds the evacuations. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	state atomic.Pointer[state]
}

// New returns a Tracker that knows nothing yet.
func New() *Tracker {
	t := &Tracker{}
	t.state.Store(&state{records: map[string]Record{}})
	return t
}

// Known reports whether the evacuations as of any revision are known.
func (t *Tracker) Known() bool { return t.state.Load().revision > 0 }

// Any reports whether any domain is evacuated.
func (t *Tracker) Any() bool { return len(t.state.Load().inForce) > 0 }

// InForce reports whether a domain is evacuated.
func (t *Tracker) InForce(domain string) bool { return t.state.Load().inForce[domain] }

// Domains lists the domains that are evacuated, in alphabetical order.
func (t *Tracker) Domains() []string { return slices.Sorted(maps.Keys(t.state.Load().inForce)) }

// ApplyList applies a complete list of the entries as of a revision and reports whether the evacuations in force changed.
func (t *Tracker) ApplyList(entries []routing.Evacuation, revision uint64) (changed bool) {
	listed := Snapshot{Revision: revision, EraStart: revision}
	for _, e := range entries {
		listed.Records = append(listed.Records, Record{Domain: e.Domain, Revision: e.Revision})
	}
	return t.Merge(listed)
}

// ApplyChanges applies the changes up to a revision, in their order, to what ApplyList and earlier calls have applied. It reports whether
// the evacuations in force changed.
func (t *Tracker) ApplyChanges(changes []routing.EvacuationChange, revision uint64) (changed bool) {
	last := map[string]Record{}
	for _, c := range changes {
		if c.Ended {
			last[c.Domain] = Record{Domain: c.Domain, Revision: revision, Ended: true}
		} else {
			last[c.Domain] = Record{Domain: c.Domain, Revision: c.Revision}
		}
	}
	return t.update(func(next *state) {
		for _, r := range last {
			next.add(r)
		}
		next.advance(revision, revision)
	})
}

// Merge merges what another instance knows and reports whether the evacuations in force changed.
func (t *Tracker) Merge(s Snapshot) (changed bool) {
	if t.includes(s) {
		return false
	}
	return t.update(func(next *state) {
		next.endMissing(s)
		complete := next.revision
		for _, r := range s.Records {
			next.addShared(r, complete)
		}
		next.advance(s.Revision, s.EraStart)
	})
}

// includes reports whether a snapshot certainly holds nothing new: the usual case, which needs no copy.
func (t *Tracker) includes(s Snapshot) bool {
	known := t.state.Load()
	if s.Revision > known.revision || sameEra(s.Revision, known.revision) && s.EraStart < known.eraStart {
		return false
	}
	for _, r := range s.Records {
		if known.records[r.Domain] != r {
			return false
		}
	}
	return true
}

// update replaces the state by a changed copy.
func (t *Tracker) update(change func(next *state)) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.state.Load()
	next := &state{revision: old.revision, eraStart: old.eraStart, records: maps.Clone(old.records)}
	change(next)
	next.prune()
	next.inForce = next.domainsInForce()
	t.state.Store(next)
	return !maps.Equal(old.inForce, next.inForce)
}

func sameEra(a, b uint64) bool { return routing.Era(a) == routing.Era(b) }

// add merges a record with the known one of its domain.
func (s *state) add(r Record) {
	old, known := s.records[r.Domain]
	switch {
	case !known:
		s.records[r.Domain] = r
	case old.before(r):
		s.records[r.Domain] = r.following(old)
	default:
		s.records[r.Domain] = old.following(r)
	}
}

// addShared merges a record of another instance. An entry that existed at a revision up to which this state is complete, and that the state
// does not hold, has been removed since.
func (s *state) addShared(r Record, complete uint64) {
	old, known := s.records[r.Domain]
	if !r.Ended && sameEra(r.Revision, complete) && r.Revision <= complete && !(known && old.Revision >= r.Revision) {
		r.Revision, r.Ended = complete, true
	}
	s.add(r)
}

// endMissing ends the evacuations that a later complete snapshot of the same era lacks.
func (s *state) endMissing(snapshot Snapshot) {
	if snapshot.Revision == 0 {
		return
	}
	has := map[string]bool{}
	for _, r := range snapshot.Records {
		has[r.Domain] = sameEra(r.Revision, snapshot.Revision)
	}
	for domain, r := range s.records {
		if !has[domain] && !r.Ended && sameEra(r.Revision, snapshot.Revision) && r.Revision <= snapshot.Revision {
			r.Revision, r.Ended = snapshot.Revision, true
			s.records[domain] = r
		}
	}
}

// advance records up to which revision the state is complete.
func (s *state) advance(revision, eraStart uint64) {
	switch {
	case revision == 0:
	case s.revision == 0 || routing.Era(revision) > routing.Era(s.revision):
		s.revision, s.eraStart = revision, eraStart
	case sameEra(revision, s.revision):
		s.revision, s.eraStart = max(s.revision, revision), min(s.eraStart, eraStart)
	}
}

// domainsInForce returns the domains that are evacuated.
func (s *state) domainsInForce() map[string]bool {
	out := map[string]bool{}
	for domain, r := range s.records {
		if !r.Ended && !s.isFromBackup(r) {
			out[domain] = true
		}
	}
	return out
}

// isFromBackup reports whether a record is of an entry that the store held when it was restored, and that had been removed before.
func (s *state) isFromBackup(r Record) bool {
	return r.EarlierEnded && sameEra(r.Revision, s.revision) && r.Revision <= s.eraStart &&
		routing.Number(r.Revision) < routing.Number(r.Earlier)
}

// prune forgets the oldest ended evacuations.
func (s *state) prune() {
	var ended []Record
	for _, r := range s.records {
		if r.Ended {
			ended = append(ended, r)
		}
	}
	if len(ended) <= maxEndedRecords {
		return
	}
	slices.SortFunc(ended, func(a, b Record) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, r := range ended[maxEndedRecords:] {
		delete(s.records, r.Domain)
	}
}

// Snapshot returns the state for another instance. It leaves out evacuations that ended in the current era, since a complete state says
// so by lacking them, and holds at most maxSharedRecords records: those that have not ended first, and of these the latest.
func (t *Tracker) Snapshot() Snapshot {
	s := t.state.Load()
	out := Snapshot{Revision: s.revision, EraStart: s.eraStart}
	for _, r := range s.records {
		if !r.Ended || !sameEra(r.Revision, s.revision) {
			out.Records = append(out.Records, r)
		}
	}
	slices.SortFunc(out.Records, func(a, b Record) int {
		if a.Ended != b.Ended {
			if b.Ended {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Domain, b.Domain))
	})
	if len(out.Records) > maxSharedRecords {
		out.Records = out.Records[:maxSharedRecords]
		if !out.Records[maxSharedRecords-1].Ended {
			out.Revision = 0 // records in force may be missing
		}
	}
	return out
}
