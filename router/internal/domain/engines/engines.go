// Package engines chooses model engines: a decode engine with a free slot and memory for the whole answer, and the prefill
// engine that will have read the prompt first. It answers the load at which decode slots are short and prompts queue.
package engines

import (
	"math"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
)

const (
	// otherDomainTokens is the extra use, in tokens to read, that a prefill engine in another failure domain counts as having: some
	// 20 ms of reading. A transfer of KV cache takes twice as long there.
	otherDomainTokens = 1000
	// alike is the difference in use, in requests, within which engines are equally good.
	alike = 1.0
	// failurePenalty weighs the recent failure rate of an engine against its use.
	failurePenalty = 2
)

// ReservationTokens is the memory to reserve with a slot. Engines put running requests back for memory that is reserved, so
// only the slot is reserved, with one block of memory.
const ReservationTokens = 16

// Candidate is an engine with what is known of its load.
type Candidate struct {
	Endpoint routing.Endpoint
	Load     inflight.Load
	// Full is set if the engine has refused lately.
	Full bool
	// FailureRate is the recent part of failures, from 0 to 1.
	FailureRate float64
}

// Capacity is the capacity of each engine of a service.
type Capacity struct {
	Slots  int
	Tokens int64
}

// fits reports whether the engine has a slot and memory for the request.
func (c Candidate) fits(size Capacity, tokens int64) bool {
	if c.Full || c.Load.Requests >= size.Slots {
		return false
	}
	// A request that is larger than the memory that is left fits only where nothing else runs.
	return c.Load.Tokens+tokens <= size.Tokens || c.Load.Requests == 0
}

// Utilization is the part of the engine that is in use, of slots or memory, whichever is scarcer.
func (c Candidate) Utilization(size Capacity) float64 {
	slots := float64(c.Load.Requests) / float64(max(1, size.Slots))
	memory := float64(c.Load.Tokens) / float64(max(1, size.Tokens))
	return max(slots, memory)
}

// SelectDecode returns the index of an engine that has room for the tokens, or -1. Domain is where the prompt will have been read, or
// where the router runs. It is one of those that are used least, of the same domain if there are any: instances whose
// knowledge is equally old would all choose the same one, and so fill it beyond its memory. Random is in [0, 1).
func SelectDecode(candidates []Candidate, size Capacity, tokens int64, domain string, random float64) int {
	uses := make([]float64, len(candidates))
	least := math.Inf(1)
	for i, c := range candidates {
		uses[i] = math.Inf(1)
		if c.fits(size, tokens) {
			uses[i] = c.Utilization(size) + failurePenalty*c.FailureRate
			least = min(least, uses[i])
		}
	}
	var near, same []int
	for i, use := range uses {
		if math.IsInf(use, 1) || use > least+alike*float64(tokens)/float64(max(1, size.Tokens)) {
			continue
		}
		near = append(near, i)
		if candidates[i].Endpoint.Domain == domain {
			same = append(same, i)
		}
	}
	if len(same) > 0 {
		near = same
	}
	if len(near) == 0 {
		return -1
	}
	return near[int(random*float64(len(near)))]
}

// SelectPrefill returns the index of the engine with the fewest tokens to read, or -1 if there is none. Domain is where the
// decode engine is.
func SelectPrefill(candidates []Candidate, tokens int64, domain string) int {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		cost := float64(c.Load.Tokens+tokens) * (1 + failurePenalty*c.FailureRate)
		if c.Endpoint.Domain != domain {
			cost += otherDomainTokens
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// PrefillEstimate is what decides which engine reads a prompt.
type PrefillEstimate struct {
	// TimeLeft is the time within which the prompt must have been read for the first event to be on time.
	TimeLeft time.Duration
	// MaxEventGap is the longest pause between events with which a stream is on time; zero if there is no such bound.
	MaxEventGap time.Duration
	// PrefillTime is the time for which the prompt occupies a prefill engine, QueuedPrefillTime the time until the best one has read it,
	// with all that waits there.
	PrefillTime, QueuedPrefillTime time.Duration
	// DecodeLoad is the work at the decode engine, with this request.
	DecodeLoad inflight.Load
}

const (
	// DecodePrefillFactor is how much longer a decode engine takes to read a prompt than a prefill engine.
	DecodePrefillFactor = 2
	// queuePart is the part of the time left for which prompts may wait at prefill engines: what is known of them is some
	// milliseconds old, and a queue that uses all the time makes every request behind it late.
	queuePart = 0.5
	// pausePart is the part of the allowed pause for which a prompt may hold up the streams of the engine that reads it.
	pausePart = 0.8
)

// PrefillOnDecode reports whether the decode engine should read the prompt itself: the prefill engines would be late, the decode
// engine is not, and its streams bear the pause. It answers the loss of prefill engines, and bursts that are shorter than the
// time in which an engine changes its stage.
func PrefillOnDecode(r PrefillEstimate) bool {
	took := DecodePrefillFactor * r.PrefillTime
	if r.QueuedPrefillTime <= time.Duration(queuePart*float64(r.TimeLeft)) || took > r.TimeLeft || r.DecodeLoad.LocalPrefills > 0 {
		return false
	}
	alone := r.DecodeLoad.Requests <= 1
	return alone || r.MaxEventGap == 0 || took <= time.Duration(pausePart*float64(r.MaxEventGap))
}
