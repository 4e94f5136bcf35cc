package roster

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/api/peer"
)

// MergeSender merges the state that a heartbeat reports of its sender, if the full entry of the sender is known. It
// reports whether the sender is alive again or began to drain.
func (t *HeartbeatTable) MergeSender(now time.Duration, m peer.Heartbeat) bool {
	r, known := t.rows[m.From.Name]
	if !known || !r.received || r.Incarnation != m.From.Incarnation || m.From.Name == t.self {
		return false
	}
	return t.merge(now, peer.HeartbeatEntry{Member: r.Member, Counter: m.Counter, RosterGeneration: m.Roster.Generation,
		CatalogueRevision: m.Revision, Draining: m.Draining})
}

// EncodeCounters returns the heartbeat counters of the members, one byte each. A member whose entry is not recent is
// marked as silent: a receiver treats a counter as newer if it is ahead by less than half the modulus, so an old counter
// could be mistaken for a newer one. A counter grows by 40 within gossipWindow, and the modulus is 255.
func (t *HeartbeatTable) EncodeCounters(now time.Duration, members []peer.Member) []byte {
	counters := make([]byte, len(members))
	for i, m := range members {
		counters[i] = peer.CounterSilent
		if r, known := t.rows[m.Name]; known && r.Incarnation == m.Incarnation && r.recent(now) {
			counters[i] = byte(r.Counter % peer.CounterModulus)
		}
	}
	return counters
}

// MergeCounters merges the counters that a peer has encoded. A counter that is ahead by less than half the modulus is
// newer. If this table is further behind, the result is at most the true counter, and the full entry follows through
// the digests or from the member itself. It returns the members that are alive again.
func (t *HeartbeatTable) MergeCounters(now time.Duration, members []peer.Member, counters []byte) []peer.MemberID {
	if len(counters) != len(members) {
		return nil
	}
	var revived []peer.MemberID
	for i, m := range members {
		r, known := t.rows[m.Name]
		if counters[i] == peer.CounterSilent || !known || !r.received || r.Incarnation != m.Incarnation || m.Name == t.self {
			continue
		}
		ahead := (uint64(counters[i]) + peer.CounterModulus - r.Counter%peer.CounterModulus) % peer.CounterModulus
		if ahead == 0 || ahead > peer.CounterModulus/2 {
			continue
		}
		if !r.alive(now) {
			revived = append(revived, m.MemberID)
		}
		r.Counter += ahead
		r.advancedAt = now
	}
	return revived
}

// GenerationBitmap returns a bitmap with a bit for each member, which is set if the member is known to have the
// generation.
func (t *HeartbeatTable) GenerationBitmap(members []peer.Member, generation uint64) []byte {
	bits := make([]byte, (len(members)+7)/8)
	for i, m := range members {
		if r, known := t.rows[m.Name]; known && r.Incarnation == m.Incarnation && r.RosterGeneration >= generation {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// MergeGenerationBitmap merges a peer's bitmap of the members that have the generation.
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

// Digests returns checksums of the recent entries, one for each group of member names.
func (t *HeartbeatTable) Digests(now time.Duration) []byte {
	var sums [peer.DigestGroups]uint32
	for _, r := range t.rows {
		if r.recent(now) {
			sums[digestGroup(r.Name)] += r.digest
		}
	}
	encoded := make([]byte, 0, peer.DigestGroups*peer.DigestBytes)
	for _, sum := range sums {
		encoded = binary.BigEndian.AppendUint32(encoded, sum)
	}
	return encoded
}

// DifferingEntries returns the entries of the groups whose digests differ from a peer's, or all entries if the peer
// sent none.
func (t *HeartbeatTable) DifferingEntries(now time.Duration, digests []byte) []peer.HeartbeatEntry {
	own := t.Digests(now)
	var differs [peer.DigestGroups]bool
	anyDiffers := false
	for g := range differs {
		at := g * peer.DigestBytes
		differs[g] = len(digests) != len(own) || string(own[at:at+peer.DigestBytes]) != string(digests[at:at+peer.DigestBytes])
		anyDiffers = anyDiffers || differs[g]
	}
	if !anyDiffers {
		return nil
	}
	var entries []peer.HeartbeatEntry
	for _, r := range t.rows {
		if r.recent(now) && differs[digestGroup(r.Name)] {
			entries = append(entries, r.HeartbeatEntry)
		}
	}
	return entries
}

func digestGroup(name string) int { return int(xxhash.Sum64String(name) % peer.DigestGroups) }

func entryDigest(e peer.HeartbeatEntry) uint32 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], e.Incarnation)
	_, _ = d.Write(number[:]) // writes to a Digest never fail
	for _, s := range []string{e.Name, e.Address, e.Domain} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	if e.Draining {
		_, _ = d.Write([]byte{1})
	}
	return uint32(d.Sum64())
}
