package roster

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/api/peer"
)

// MergeSender takes what a heartbeat tells about its sender, if its full entry is known. It reports whether the sender is
// heard again or began to drain.
func (t *HeartbeatTable) MergeSender(now time.Duration, m peer.Heartbeat) bool {
	r, known := t.rows[m.From.Name]
	if !known || !r.heard || r.Incarnation != m.From.Incarnation || m.From.Name == t.self {
		return false
	}
	return t.merge(now, peer.HeartbeatEntry{Member: r.Member, Counter: m.Counter, RosterGeneration: m.Roster.Generation,
		CatalogueRevision: m.Revision, Draining: m.Draining})
}

// EncodeCounters holds the counters of the members for a heartbeat, one byte each. A member that was not heard lately is left out,
// so that a receiver, whose own counter of it may be newer by less than half the modulus, never takes an old counter for
// a new one: gossipFor is 40 heartbeats, the modulus 255.
func (t *HeartbeatTable) EncodeCounters(now time.Duration, members []peer.Member) []byte {
	beats := make([]byte, len(members))
	for i, m := range members {
		beats[i] = peer.BeatSilent
		if r, known := t.rows[m.Name]; known && r.Incarnation == m.Incarnation && r.fresh(now) {
			beats[i] = byte(r.Counter % peer.BeatModulus)
		}
	}
	return beats
}

// MergeCounters takes a peer's counters of the members. A counter that is ahead by less than half the modulus is newer. If
// this table is further behind, the counter it arrives at is at most the true one; the full entry follows through the
// digests or from the member itself. It returns the members that are heard again.
func (t *HeartbeatTable) MergeCounters(now time.Duration, members []peer.Member, beats []byte) []peer.MemberID {
	if len(beats) != len(members) {
		return nil
	}
	var risen []peer.MemberID
	for i, m := range members {
		r, known := t.rows[m.Name]
		if beats[i] == peer.BeatSilent || !known || !r.heard || r.Incarnation != m.Incarnation || m.Name == t.self {
			continue
		}
		ahead := (uint64(beats[i]) + peer.BeatModulus - r.Counter%peer.BeatModulus) % peer.BeatModulus
		if ahead == 0 || ahead > peer.BeatModulus/2 {
			continue
		}
		if !r.alive(now) {
			risen = append(risen, m.MemberID)
		}
		r.Counter += ahead
		r.at = now
	}
	return risen
}

// GenerationBitmap has a bit for each member that is known to have the generation.
func (t *HeartbeatTable) GenerationBitmap(members []peer.Member, generation uint64) []byte {
	bits := make([]byte, (len(members)+7)/8)
	for i, m := range members {
		if r, known := t.rows[m.Name]; known && r.Incarnation == m.Incarnation && r.RosterGeneration >= generation {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// MergeGenerationBitmap takes a peer's knowledge of who has the generation.
func (t *HeartbeatTable) MergeGenerationBitmap(members []peer.Member, generation uint64, bits []byte) {
	if len(bits) != (len(members)+7)/8 {
		return
	}
	for i, m := range members {
		r, known := t.rows[m.Name]
		if bits[i/8]&(1<<(i%8)) != 0 && known && r.Incarnation == m.Incarnation {
			r.RosterGeneration = max(r.RosterGeneration, generation)
		}
	}
}

// Digests sum up what full entries tell of the members that are passed on, by group of names.
func (t *HeartbeatTable) Digests(now time.Duration) []byte {
	var sums [peer.DigestGroups]uint32
	for _, r := range t.rows {
		if r.fresh(now) {
			sums[group(r.Name)] += r.digest
		}
	}
	encoded := make([]byte, 0, peer.DigestGroups*peer.DigestBytes)
	for _, sum := range sums {
		encoded = binary.BigEndian.AppendUint32(encoded, sum)
	}
	return encoded
}

// DifferingEntries are the entries of the groups in which a peer's digests differ; all entries if it sent none.
func (t *HeartbeatTable) DifferingEntries(now time.Duration, digests []byte) []peer.HeartbeatEntry {
	own := t.Digests(now)
	var differs [peer.DigestGroups]bool
	any := false
	for g := range differs {
		at := g * peer.DigestBytes
		differs[g] = len(digests) != len(own) || string(own[at:at+peer.DigestBytes]) != string(digests[at:at+peer.DigestBytes])
		any = any || differs[g]
	}
	if !any {
		return nil
	}
	var entries []peer.HeartbeatEntry
	for _, r := range t.rows {
		if r.fresh(now) && differs[group(r.Name)] {
			entries = append(entries, r.HeartbeatEntry)
		}
	}
	return entries
}

func group(name string) int { return int(xxhash.Sum64String(name) % peer.DigestGroups) }

func digest(e peer.HeartbeatEntry) uint32 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], e.Incarnation)
	_, _ = d.Write(number[:]) // a Digest's writes do not fail
	for _, s := range []string{e.Name, e.Address, e.Domain} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	if e.Draining {
		_, _ = d.Write([]byte{1})
	}
	return uint32(d.Sum64())
}
