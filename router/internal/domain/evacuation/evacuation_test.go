package evacuation_test

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/evacuation"
)

// store is a log of the entries of a store that may be restored from a backup.
type store struct {
	era, number uint64
	entries     map[string]uint64
}

func (s *store) revision() uint64 { return routing.Revision(s.era, s.number) }

func (s *store) begin(domain string) routing.EvacuationChange {
	s.number++
	s.entries[domain] = s.revision()
	return routing.EvacuationChange{Evacuation: routing.Evacuation{Domain: domain, Revision: s.revision()}}
}

func (s *store) end(domain string) routing.EvacuationChange {
	s.number++
	c := routing.EvacuationChange{Evacuation: routing.Evacuation{Domain: domain, Revision: s.entries[domain]}, Ended: true}
	delete(s.entries, domain)
	return c
}

func (s *store) backup() store {
	c := store{era: s.era, number: s.number, entries: map[string]uint64{}}
	for d, r := range s.entries {
		c.entries[d] = r
	}
	return c
}

// restore replaces the store by a backup, in the next era.
func (s *store) restore(c store) {
	era := s.era + 1
	*s = c.backup()
	s.era = era
	for d, r := range s.entries {
		s.entries[d] = routing.Revision(era, routing.Number(r))
	}
}

func (s *store) list() (out []routing.Evacuation) {
	for d, r := range s.entries {
		out = append(out, routing.Evacuation{Domain: d, Revision: r})
	}
	return out
}

func newStore() *store { return &store{number: 100, entries: map[string]uint64{}} }

func expect(t *testing.T, tr *evacuation.Tracker, want ...string) {
	t.Helper()
	if got := tr.Domains(); !slices.Equal(got, want) {
		t.Errorf("evacuated: %v, want %v", got, want)
	}
}

// Guards against an evacuation that is lost, or that returns, by an older list, a repeated one or one of another instance.
func TestListsAndChangesInAnyOrder(t *testing.T) {
	s, tr := newStore(), evacuation.New()
	if tr.Known() {
		t.Error("known before anything was read")
	}
	tr.ApplyList(s.list(), s.revision())
	first := s.begin("a")
	oldList, oldRevision := s.list(), s.revision()
	tr.ApplyChanges([]routing.EvacuationChange{first}, s.revision())
	expect(t, tr, "a")
	copied := tr.Snapshot()
	ended := s.end("a")
	tr.ApplyChanges([]routing.EvacuationChange{ended, s.begin("b")}, s.revision())
	tr.ApplyList(oldList, oldRevision)
	tr.Merge(copied)
	expect(t, tr, "b")
	tr.ApplyChanges([]routing.EvacuationChange{s.begin("a"), s.end("a"), s.begin("a")}, s.revision())
	expect(t, tr, "a", "b")
	tr.Merge(copied)
	expect(t, tr, "a", "b")
	s.end("b")
	tr.ApplyList(s.list(), s.revision())
	expect(t, tr, "a")
	fresh := evacuation.New()
	fresh.ApplyList(s.list(), s.revision())
	fresh.Merge(copied)
	expect(t, fresh, "a")
}

// Guards against a restored store that undoes what operators did after the backup.
func TestStoreRestoredFromABackup(t *testing.T) {
	s, tr := newStore(), evacuation.New()
	tr.ApplyList(s.list(), s.revision())
	tr.ApplyChanges([]routing.EvacuationChange{s.begin("ended"), s.begin("stays")}, s.revision())
	c := s.backup()
	tr.ApplyChanges([]routing.EvacuationChange{s.end("ended"), s.begin("begun")}, s.revision())
	expect(t, tr, "begun", "stays")
	s.number += 50 // writes of other kinds that the backup lacks
	s.restore(c)
	s.number++
	tr.ApplyList(s.list(), s.revision())
	expect(t, tr, "begun", "stays")
	late := evacuation.New() // an instance that starts now takes the old entry for one in force until it hears of the others
	late.ApplyList(s.list(), s.revision())
	late.Merge(tr.Snapshot())
	expect(t, late, "begun", "stays")
	tr.Merge(late.Snapshot())
	expect(t, tr, "begun", "stays")
	tr.ApplyChanges([]routing.EvacuationChange{s.end("ended"), s.begin("ended"), s.end("stays")}, s.revision())
	expect(t, tr, "begun", "ended")
	tr.ApplyChanges([]routing.EvacuationChange{s.begin("begun"), s.end("begun")}, s.revision())
	expect(t, tr, "ended")
}

// Guards against instances that disagree for good because they heard of the same states in different orders, also across restores.
func TestInstancesAgreeWhateverTheyHearFirst(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		s, watcher := newStore(), evacuation.New()
		var backup store
		var shared []evacuation.Snapshot
		for step := range 30 {
			domain := string(rune('a' + random.IntN(3)))
			switch n := random.IntN(10); {
			case step == 0 || n == 0:
				backup = s.backup()
			case n == 1:
				s.number += random.Uint64N(5)
				s.restore(backup)
				backup = s.backup()
			case s.entries[domain] > 0:
				s.end(domain)
			default:
				s.begin(domain)
			}
			watcher.ApplyList(s.list(), s.revision())
			shared = append(shared, watcher.Snapshot())
		}
		for range 3 {
			tr := evacuation.New()
			random.Shuffle(len(shared), func(i, j int) { shared[i], shared[j] = shared[j], shared[i] })
			for _, c := range shared {
				tr.Merge(c)
			}
			if !reflect.DeepEqual(tr.Domains(), watcher.Domains()) {
				t.Fatalf("seed %d: evacuated %v, want %v", seed, tr.Domains(), watcher.Domains())
			}
		}
	}
}
