// Package stages decides how many engines of a service should be in the prefill and in the decode stage, from the work of both.
// It answers the load at which requests wait for decode slots while prefill engines idle, and the reverse.
package stages

import (
	"math"
	"slices"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
)

const (
	// minPrefill engines stay in the prefill stage: decode engines read what is left when one of them is lost. Services with
	// fewer than minEngines are left alone.
	minPrefill = 2
	minEngines = 6
	// leastUse is the mean use of the engines from which the work says something about the ratio.
	leastUse = 0.1
	// busyDecode is the mean use from which decode engines get help, early enough for a burst that multiplies the load.
	// busyPrefill is the use from which prefill engines are too few, and fullDecode the use at which decode engines spare none.
	busyDecode  = 0.25
	busyPrefill = 0.85
	fullDecode  = 0.7
	// averageTime is the time constant of the averages, twice the length of a stream, so that decoding has caught up with
	// prefills.
	averageTime = 8 * time.Second
	// settleTime is how long the service must have been at work before anything changes: the length of a stream.
	settleTime = 4 * time.Second
	// orderPause is the least time between rounds of orders: several samples, so that an order shows in the next decision. In
	// each round one in orderPart engines of the service may be ordered, and at least one.
	orderPause = time.Second
	orderPart  = 12
	// shortTime is how long prefill engines must have been too few before a decode engine is taken from its streams.
	shortTime = 2 * time.Second
)

// Engine is an engine with its work. Orderable engines have had no order yet.
type Engine struct {
	Endpoint   routing.Endpoint
	Load       inflight.Load
	Switchable bool
}

// Pool is the engines of a service by stage. Engines that are changing are in neither list.
type Pool struct {
	Prefill, Decode []Engine
	// SwitchingToPrefill and SwitchingToDecode are the numbers of engines that are changing to the stage.
	SwitchingToPrefill, SwitchingToDecode int
}

func (p Pool) size() int {
	return len(p.Prefill) + len(p.Decode) + p.SwitchingToPrefill + p.SwitchingToDecode
}

// load is work in engines.
type load struct{ prefill, decode float64 }

// measure returns how many prefill engines are busy, and the use of the decode engines.
func (p Pool) measure(size engines.Capacity) load {
	var l load
	for _, e := range p.Prefill {
		l.prefill += math.Min(1, float64(e.Load.Requests))
	}
	for _, e := range p.Decode {
		l.decode += math.Min(1, engines.Candidate{Load: e.Load}.Utilization(size))
		l.prefill += math.Min(1, float64(e.Load.LocalPrefills)) / engines.DecodePrefillFactor
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
	// use is that of the decode engines in the last sample, as a part.
	use float64
	// next is the earliest time of the next round of orders.
	next time.Duration
}

// Observe adds a sample. Idle times count for nothing.
func (p *Planner) Observe(now time.Duration, pool Pool, size engines.Capacity) {
	l := pool.measure(size)
	p.use = l.decode / float64(max(1, len(pool.Decode)))
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
	count := len(pool.Prefill) + pool.SwitchingToPrefill
	return p.mean.prefill/p.weight >= busyPrefill*float64(count) && count < p.prefillEngines(pool.size())
}

// surplus is the number of prefill engines that decoding needs more.
func (p *Planner) surplus(pool Pool) int {
	count := len(pool.Decode) + pool.SwitchingToDecode
	if p.mean.decode/p.weight < busyDecode*float64(count) {
		return 0
	}
	return len(pool.Prefill) + pool.SwitchingToPrefill - max(minPrefill, p.prefillEngines(pool.size()))
}

// prefillEngines returns how many of the engines should be in the prefill stage, so that both stages are full at the same load.
func (p *Planner) prefillEngines(count int) int {
	share := p.mean.prefill / (p.mean.prefill + p.mean.decode)
	return int(math.Round(share * float64(count)))
}

// NextSwitches returns the engines that should change their stage now and the stage.
func (p *Planner) NextSwitches(now time.Duration, pool Pool) (list []Engine, to routing.Stage) {
	if pool.size() < minEngines || p.busySince == 0 || now-p.busySince < settleTime || now < p.next {
		return nil, ""
	}
	round := max(1, pool.size()/orderPart)
	if surplus := p.surplus(pool); surplus > 0 {
		list, to = leastUsed(pool.Prefill, min(surplus, round)), routing.Decode
	} else if p.shortSince > 0 && now-p.shortSince >= shortTime && pool.SwitchingToPrefill == 0 && p.use < fullDecode {
		list, to = leastUsed(pool.Decode, 1), routing.Prefill
	}
	if len(list) > 0 {
		p.next = now + orderPause
	}
	return list, to
}

// leastUsed returns up to count orderable engines with the least work, each from the failure domain that then has the most engines,
// so that every domain keeps some.
func leastUsed(list []Engine, count int) (chosen []Engine) {
	inDomain := map[string]int{}
	for _, e := range list {
		inDomain[e.Endpoint.Domain]++
	}
	before := func(a, b Engine) bool {
		if x, y := inDomain[a.Endpoint.Domain], inDomain[b.Endpoint.Domain]; x != y {
			return x > y
		}
		if a.Load.Tokens != b.Load.Tokens {
			return a.Load.Tokens < b.Load.Tokens
		}
		return a.Endpoint.ID < b.Endpoint.ID
	}
	left := slices.DeleteFunc(slices.Clone(list), func(e Engine) bool { return !e.Switchable })
	for len(chosen) < count && len(left) > 0 {
		best := 0
		for i := range left {
			if before(left[i], left[best]) {
				best = i
			}
		}
		inDomain[left[best].Endpoint.Domain]--
		chosen = append(chosen, left[best])
		left = slices.Delete(left, best, best+1)
	}
	return chosen
}
