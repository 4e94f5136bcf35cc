package quota

import (
	"cmp"
	"slices"
)

// peakHistory finds the highest level of a bucket since a charge, for all open charges. The level only grows between
// drops, so it is enough to record the level before each drop: a charge, a used or expired loan, a smaller share.
// Entries are in descending order of level, since an entry is removed when a later one is at least as high. Levels are
// stored relative to offset, so that raising offset raises all of them.
type peakHistory struct {
	entries     []peak
	seq         uint64
	openCharges int
	offset      float64
}

type peak struct {
	// seq is the number of the drop before which the level was recorded.
	seq   uint64
	level float64
}

// openCharge records the level before a charge and returns the number of the charge.
func (p *peakHistory) openCharge(level float64) uint64 {
	p.record(level)
	p.openCharges++
	return p.seq
}

// record records the level before it drops.
func (p *peakHistory) record(level float64) {
	p.seq++
	if p.openCharges == 0 {
		return
	}
	stored := level - p.offset
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].level <= stored {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, peak{seq: p.seq, level: stored})
}

// highestSince returns the highest level after charge seq, at most limit. present is the current level.
func (p *peakHistory) highestSince(seq uint64, present, limit float64) float64 {
	i, _ := slices.BinarySearchFunc(p.entries, seq+1, func(n peak, s uint64) int { return cmp.Compare(n.seq, s) })
	highest := present
	if i < len(p.entries) {
		highest = max(highest, p.entries[i].level+p.offset)
	}
	return min(highest, limit)
}

// closeCharge ends a charge. Its refund raises the past levels for the other open charges.
func (p *peakHistory) closeCharge(level, refund float64) {
	p.openCharges--
	if p.openCharges == 0 {
		p.clear()
		return
	}
	p.record(level)
	p.raise(refund)
}

// raise adds the amount to the recorded levels.
func (p *peakHistory) raise(amount float64) { p.offset += amount }

func (p *peakHistory) clear() {
	p.entries = p.entries[:0]
	p.openCharges = 0
	p.offset = 0
}
