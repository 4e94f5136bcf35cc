// Package engines selects model engines: a decode engine with a free slot and enough memory for the answer, and the prefill
// engine that finishes the prompt first. It also decides when a decode engine prefills the prompt itself.
package engines

import (
	"math"
	"slices"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
)

const (
	// crossDomainTokens is added to the queue of a prefill engine in another failure domain: about 20 ms of prefill. A KV cache
	// transfer takes twice as long from there.
	crossDomainTokens = 1000
	// tieMarginRequests is the difference in utilization, in requests of the same size, within which engines are equally good.
	tieMarginRequests = 1.0
	// failurePenalty weights the recent failure rate of an engine against its utilization.
	failurePenalty = 2
)

// ReservationTokens is the memory to reserve together with a slot. Engines preempt running requests to provide reserved memory,
// so only the slot is reserved, with one block of memory.
const ReservationTokens = 16

// Candidate is an engine with its known load.
type Candidate struct {
	Endpoint routing.Endpoint
	Load     inflight.Load
	// Full is set if the engine has recently refused a reservation.
	Full bool
	// Withheld is set if the engine is to be used only if no other one has room.
	Withheld bool
	// FailureRate is the fraction of recent calls that failed, from 0 to 1.
	FailureRate float64
}

// Capacity is the capacity of each engine of a service.
type Capacity struct {
	Slots int
	// Tokens is the memory that may be assigned. Total is all of the memory; zero if it is unknown.
	Tokens, Total int64
}

// hasRoom reports whether the engine has a slot and memory for the request.
func (c Candidate) hasRoom(capacity Capacity, tokens int64) bool {
	if c.Full || c.Load.Requests >= capacity.Slots {
		return false
	}
	// A request that exceeds the free memory fits only on an engine without other requests.
	idle := c.Load.Requests == 0 && (capacity.Total == 0 || tokens <= capacity.Total)
	return c.Load.Tokens+tokens <= capacity.Tokens || idle
}

// Utilization returns the fraction of the engine's slots or memory in use, whichever is larger.
func (c Candidate) Utilization(capacity Capacity) float64 {
	slots := float64(c.Load.Requests) / float64(max(1, capacity.Slots))
	memory := float64(c.Load.Tokens) / float64(max(1, capacity.Tokens))
	return max(slots, memory)
}

// SelectDecode returns the index of an engine that has room for the tokens, or -1. It picks at random among the least utilized engines,
// and among those prefers the given domain, which is that of the prefill engine or of the router. A deterministic choice would send all
// instances, whose load data is equally stale, to the same engine and exceed its memory. The random number is in [0, 1).
func SelectDecode(candidates []Candidate, capacity Capacity, tokens int64, domain string, random float64) int {
	costs := make([]float64, len(candidates))
	least := math.Inf(1)
	useWithheld := !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Withheld && c.hasRoom(capacity, tokens) })
	for i, c := range candidates {
		costs[i] = math.Inf(1)
		if (useWithheld || !c.Withheld) && c.hasRoom(capacity, tokens) {
			costs[i] = c.Utilization(capacity) + failurePenalty*c.FailureRate
			least = min(least, costs[i])
		}
	}
	var tied, sameDomain []int
	for i, utilization := range costs {
		if math.IsInf(utilization, 1) || utilization > least+tieMarginRequests*float64(tokens)/float64(max(1, capacity.Tokens)) {
			continue
		}
		tied = append(tied, i)
		if candidates[i].Endpoint.Domain == domain {
			sameDomain = append(sameDomain, i)
		}
	}
	if len(sameDomain) > 0 {
		tied = sameDomain
	}
	if len(tied) == 0 {
		return -1
	}
	return tied[int(random*float64(len(tied)))]
}

// SelectPrefill returns the index of the engine with the shortest prefill queue in tokens, or -1 if there is none. The domain is
// that of the decode engine.
func SelectPrefill(candidates []Candidate, tokens int64, domain string) int {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		cost := float64(c.Load.Tokens+tokens) * (1 + failurePenalty*c.FailureRate)
		if c.Endpoint.Domain != domain {
			cost += crossDomainTokens
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// PrefillEstimate holds the inputs of PrefillOnDecode.
type PrefillEstimate struct {
	// TimeLeft is the time within which the prefill must finish for the first event to be on time.
	TimeLeft time.Duration
	// MaxEventGap is the longest pause between events with which a stream is on time; zero if there is no such bound.
	MaxEventGap time.Duration
	// PrefillTime is how long the prompt occupies a prefill engine. QueuedPrefillTime is the time until the best prefill engine
	// has finished it, including its queue.
	PrefillTime, QueuedPrefillTime time.Duration
	// DecodeLoad is the load of the decode engine, including this request.
	DecodeLoad inflight.Load
}

const (
	// DecodePrefillFactor is how much longer a prefill takes on a decode engine than on a prefill engine.
	DecodePrefillFactor = 2
	// maxQueueFraction is the fraction of the remaining time that a prompt may spend at a prefill engine. Load data is some
	// milliseconds old, and a queue that uses all the time makes every request behind it late.
	maxQueueFraction = 0.5
	// maxGapFraction is the fraction of the allowed event gap for which a prefill may stall the streams of a decode engine.
	maxGapFraction = 0.8
)

// PrefillOnDecode reports whether the decode engine should prefill the prompt itself: the prefill engines would be late, the
// decode engine would not, and the stall of its streams stays within the allowed gap. This covers lost prefill engines and bursts
// that are shorter than a stage switch.
func PrefillOnDecode(e PrefillEstimate) bool {
	prefillTime := DecodePrefillFactor * e.PrefillTime
	if e.QueuedPrefillTime <= time.Duration(maxQueueFraction*float64(e.TimeLeft)) || prefillTime > e.TimeLeft || e.DecodeLoad.LocalPrefills > 0 {
		return false
	}
	idle := e.DecodeLoad.Requests <= 1
	return idle || e.MaxEventGap == 0 || prefillTime <= time.Duration(maxGapFraction*float64(e.MaxEventGap))
}
