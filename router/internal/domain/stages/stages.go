// Package stages decides how many engines of a service should be in the prefill and in the decode stage, from the work of both.
// It answers the load at which requests wait for decode slots while prefill engines idle, and the reverse.
package stages

import (
	"math"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/work"
)

const (
	// spare is the prefill capacity that is kept beyond the measured need, as a factor: prompts come in bursts that are
	// shorter than the time in which an engine changes.
	spare = 1.3
	// minPrefill engines stay in the prefill stage, so that the loss of two leaves one. Services with fewer than minEngines are
	// left alone.
	minPrefill = 3
	minEngines = 6
	// leastUse is the mean use of the engines from which the work says something about the ratio.
	leastUse = 0.1
	// busyDecode is the mean use from which decode engines get help: bursts of today's deployments double the load.
	// busyPrefill is the use from which prefill engines are too few.
	busyDecode  = 0.4
	busyPrefill = 0.85
	// averageTime is the time constant of the averages, twice the length of a stream, so that decoding has caught up with
	// prefills.
	averageTime = 8 * time.Second
	// settleTime is how long the service must have been at work before anything changes: the length of a stream.
	settleTime = 4 * time.Second
	// orderPause is the least time between orders: several samples, so that an order shows in the next decision.
	orderPause = time.Second
	// shortTime is how long prefill engines must have been too few before a decode engine is taken from its streams.
	shortTime = 5 * time.Second
)

// Engine is an engine with its work. Orderable engines have had no order yet.
type Engine struct {
	Endpoint  routing.Endpoint
	Work      work.Amount
	Orderable bool
}

// Pool is the engines of a service by stage. Engines that are changing are in neither list.
type Pool struct {
	Prefill, Decode []Engine
	// ToPrefill and ToDecode are the numbers of engines that are changing to the stage.
	ToPrefill, ToDecode int
}

func (p Pool) size() int { return len(p.Prefill) + len(p.Decode) + p.ToPrefill + p.ToDecode }

// load is work in engines.
type load struct{ prefill, decode float64 }

// measure returns how many prefill engines are busy, and the use of the decode engines.
func (p Pool) measure(size engines.Size) load {
	var l load
	for _, e := range p.Prefill {
		l.prefill += math.Min(1, float64(e.Work.Requests))
	}
	for _, e := range p.Decode {
		l.decode += math.Min(1, engines.Candidate{Work: e.Work}.Use(size))
	}
	return l
}

// Planner follows the load of one service. Times are since boot. It is not safe for concurrent use.
type Planner struct {
	mean load
	// weight is the sum of the samples' weights, with which the mean of the first samples is not too low.
	weight float64
	// at is the last sample, busySince the first one of the present work, shortSince since when prefill engines are too
	// few; zero if they are not.
	at, busySince, shortSince time.Duration
	// next is the earliest time of the next change.
	next time.Duration
}

// Observe adds a sample. Idle times count for nothing.
func (p *Planner) Observe(now time.Duration, pool Pool, size engines.Size) {
	l := pool.measure(size)
	if l.prefill+l.decode == 0 || l.prefill+l.decode < leastUse*float64(pool.size()) {
		p.at = now
		return
	}
	if p.busySince == 0 {
		p.busySince = now
	}
	keep := math.Exp(-float64(now-p.at) / float64(averageTime))
	p.mean.prefill = keep*p.mean.prefill + (1-keep)*l.prefill
	p.mean.decode = keep*p.mean.decode + (1-keep)*l.decode
	p.weight = keep*p.weight + (1 - keep)
	p.at = now
	switch {
	case !p.prefillShort(pool):
		p.shortSince = 0
	case p.shortSince == 0:
		p.shortSince = now
	}
}

// prefillShort reports whether prefill engines are hardly ever idle, and the work needs more of them.
func (p *Planner) prefillShort(pool Pool) bool {
	count := len(pool.Prefill) + pool.ToPrefill
	return p.mean.prefill/p.weight >= busyPrefill*float64(count) && count < p.prefillEngines(pool.size(), 1, 1)
}

// decodeShort reports whether decode engines are near to full in a burst, and the work needs fewer prefill engines.
func (p *Planner) decodeShort(pool Pool) bool {
	count := len(pool.Decode) + pool.ToDecode
	return p.mean.decode/p.weight >= busyDecode*float64(count) &&
		len(pool.Prefill)+pool.ToPrefill > p.prefillEngines(pool.size(), spare, minPrefill)
}

// prefillEngines returns how many of the engines should be in the prefill stage, so that both stages are full at the same load,
// with some spare for prefills.
func (p *Planner) prefillEngines(count int, spare float64, least int) int {
	share := spare * p.mean.prefill / (spare*p.mean.prefill + p.mean.decode)
	return max(least, int(math.Ceil(share*float64(count))))
}

// Next returns the engine that should change its stage now and the stage; ok is false if none should.
func (p *Planner) Next(now time.Duration, pool Pool) (e Engine, to routing.Stage, ok bool) {
	if pool.size() < minEngines || p.busySince == 0 || now-p.busySince < settleTime || now < p.next {
		return Engine{}, "", false
	}
	switch {
	case p.decodeShort(pool):
		e, ok = leastUsed(pool.Prefill)
		to = routing.Decode
	case p.shortSince > 0 && now-p.shortSince >= shortTime && pool.ToPrefill == 0:
		e, ok = leastUsed(pool.Decode)
		to = routing.Prefill
	}
	if ok {
		p.next = now + orderPause
	}
	return e, to, ok
}

// leastUsed returns the orderable engine with the least work, of those in the failure domain with the most engines, so that
// every domain keeps some.
func leastUsed(list []Engine) (best Engine, ok bool) {
	inDomain := map[string]int{}
	for _, e := range list {
		inDomain[e.Endpoint.Domain]++
	}
	before := func(a, b Engine) bool {
		if x, y := inDomain[a.Endpoint.Domain], inDomain[b.Endpoint.Domain]; x != y {
			return x > y
		}
		if a.Work.Tokens != b.Work.Tokens {
			return a.Work.Tokens < b.Work.Tokens
		}
		return a.Endpoint.ID < b.Endpoint.ID
	}
	for _, e := range list {
		if e.Orderable && (!ok || before(e, best)) {
			best, ok = e, true
		}
	}
	return best, ok
}
