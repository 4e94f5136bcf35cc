package quota

import (
	"cmp"
	"slices"
)

// peaks answers which was the highest level since a charge, for all open charges of a bucket. Between falls the level
// only grows, so it is enough to note the level before each fall: a charge, a used or lapsed loan, a smaller share.
// Notes are kept in descending order of level: a note is dropped when a later one is at least as high. Levels are
// stored less offset; raising offset raises all of them.
type peaks struct {
	notes       []note
	seq         uint64
	openCharges int
	offset      float64
}

type note struct {
	// seq numbers the falls of the level; the note was taken before this one.
	seq   uint64
	level float64
}

// open notes the level before a charge and returns the charge's number.
func (p *peaks) open(level float64) uint64 {
	p.mark(level)
	p.openCharges++
	return p.seq
}

// mark notes the level before it falls.
func (p *peaks) mark(level float64) {
	p.seq++
	if p.openCharges == 0 {
		return
	}
	stored := level - p.offset
	for len(p.notes) > 0 && p.notes[len(p.notes)-1].level <= stored {
		p.notes = p.notes[:len(p.notes)-1]
	}
	p.notes = append(p.notes, note{seq: p.seq, level: stored})
}

// since returns the highest level after charge seq, given the present one, and at most limit.
func (p *peaks) since(seq uint64, present, limit float64) float64 {
	i, _ := slices.BinarySearchFunc(p.notes, seq+1, func(n note, s uint64) int { return cmp.Compare(n.seq, s) })
	highest := present
	if i < len(p.notes) {
		highest = max(highest, p.notes[i].level+p.offset)
	}
	return min(highest, limit)
}

// close ends a charge whose refund raised the level of the past for the other open charges.
func (p *peaks) close(level, refund float64) {
	p.openCharges--
	if p.openCharges == 0 {
		p.clear()
		return
	}
	p.mark(level)
	p.raise(refund)
}

// raise raises the noted levels.
func (p *peaks) raise(by float64) { p.offset += by }

func (p *peaks) clear() {
	p.notes = p.notes[:0]
	p.openCharges = 0
	p.offset = 0
}
