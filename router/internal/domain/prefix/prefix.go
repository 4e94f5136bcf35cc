// Package prefix indexes which endpoints have which prompt prefixes in their cache. The index is soft state of bounded size,
// built from delayed and incomplete cache events and from the router's own requests. A wrong entry costs efficiency only.
package prefix

import (
	"math/bits"
	"sync"
)

const (
	// MaxEndpoints is the number of endpoints that one index can hold: each has one bit in an entry.
	MaxEndpoints = 64
	stripes      = 64
	// DefaultMaxBlocks bounds the number of entries. An entry takes about 40 bytes, so this is about 8 MB of the 128 MB per
	// instance.
	DefaultMaxBlocks = 200_000
)

// Index maps hashes of prefix blocks to the endpoints that hold them. It is safe for concurrent use.
type Index struct {
	maxPerStripe int
	stripe       [stripes]stripe

	mu           sync.RWMutex
	endpointBits map[string]int
	freeBits     uint64
}

type stripe struct {
	mu      sync.RWMutex
	holders map[uint64]uint64
	// ring holds the blocks in order of insertion; the oldest is evicted when the stripe is full.
	ring []uint64
	next int
}

// New returns an index of at most the given number of blocks.
func New(blocks int) *Index {
	x := &Index{maxPerStripe: max(blocks/stripes, 1), endpointBits: map[string]int{}, freeBits: ^uint64(0)}
	for i := range x.stripe {
		x.stripe[i].holders = map[uint64]uint64{}
	}
	return x
}

func (x *Index) stripeFor(block uint64) *stripe { return &x.stripe[block%stripes] }

// endpointBit returns the bit of the endpoint, and assigns a free one if add is set.
func (x *Index) endpointBit(endpoint string, add bool) (uint64, bool) {
	x.mu.RLock()
	i, ok := x.endpointBits[endpoint]
	x.mu.RUnlock()
	if ok {
		return 1 << i, true
	}
	if !add {
		return 0, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if i, ok := x.endpointBits[endpoint]; ok {
		return 1 << i, true
	}
	if x.freeBits == 0 {
		return 0, false
	}
	i = bits.TrailingZeros64(x.freeBits)
	x.freeBits &^= 1 << i
	x.endpointBits[endpoint] = i
	return 1 << i, true
}

// Store records that the endpoint holds the blocks.
func (x *Index) Store(endpoint string, blocks ...uint64) {
	bit, ok := x.endpointBit(endpoint, true)
	if !ok {
		return
	}
	for _, b := range blocks {
		x.stripeFor(b).store(b, bit, x.maxPerStripe)
	}
}

func (s *stripe) store(block, bit uint64, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mask, ok := s.holders[block]; ok {
		s.holders[block] = mask | bit
		return
	}
	if len(s.ring) < limit {
		s.ring = append(s.ring, block)
	} else {
		delete(s.holders, s.ring[s.next])
		s.ring[s.next] = block
		s.next = (s.next + 1) % limit
	}
	s.holders[block] = bit
}

// Remove records that the endpoint dropped the block. The entry stays in the ring, without a holder, until it is the oldest.
func (x *Index) Remove(endpoint string, block uint64) {
	bit, ok := x.endpointBit(endpoint, false)
	if !ok {
		return
	}
	s := x.stripeFor(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	if mask, ok := s.holders[block]; ok {
		s.holders[block] = mask &^ bit
	}
}

// ClearEndpoint records that the endpoint holds no blocks.
func (x *Index) ClearEndpoint(endpoint string) {
	bit, ok := x.endpointBit(endpoint, false)
	if !ok {
		return
	}
	for i := range x.stripe {
		s := &x.stripe[i]
		s.mu.Lock()
		for b, mask := range s.holders {
			s.holders[b] = mask &^ bit
		}
		s.mu.Unlock()
	}
}

// RemoveEndpoint clears the endpoint and releases its bit for another one.
func (x *Index) RemoveEndpoint(endpoint string) {
	x.ClearEndpoint(endpoint)
	x.mu.Lock()
	defer x.mu.Unlock()
	if i, ok := x.endpointBits[endpoint]; ok {
		delete(x.endpointBits, endpoint)
		x.freeBits |= 1 << i
	}
}

// Len returns the number of entries.
func (x *Index) Len() int {
	n := 0
	for i := range x.stripe {
		s := &x.stripe[i]
		s.mu.RLock()
		n += len(s.holders)
		s.mu.RUnlock()
	}
	return n
}

// Match is the result of looking up the blocks of a prompt.
type Match struct {
	index *Index
	// masks[i] holds the endpoints that have all blocks up to i.
	masks []uint64
}

// Match looks up the blocks of a prompt in order, until no endpoint holds all of them.
func (x *Index) Match(blocks []uint64) Match {
	m := Match{index: x}
	mask := ^uint64(0)
	for _, b := range blocks {
		s := x.stripeFor(b)
		s.mu.RLock()
		mask &= s.holders[b]
		s.mu.RUnlock()
		if mask == 0 {
			break
		}
		m.masks = append(m.masks, mask)
	}
	return m
}

// LeadingBlocks returns the number of leading blocks that the endpoint holds.
func (m Match) LeadingBlocks(endpoint string) int {
	if len(m.masks) == 0 {
		return 0
	}
	bit, ok := m.index.endpointBit(endpoint, false)
	if !ok {
		return 0
	}
	for i, mask := range m.masks {
		if mask&bit == 0 {
			return i
		}
	}
	return len(m.masks)
}
