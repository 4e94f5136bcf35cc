// Package stages plans how many engines of a service run the prefill stage and how many the decode stage, from the measured
// demand of both. It corrects loads at which requests wait for decode slots while prefill engines idle, and the reverse.
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
	// minPrefillEngines is the least number of engines kept in the prefill stage; when one is lost, decode engines prefill the
	// rest. Services with fewer than minServiceEngines engines are not changed.
	minPrefillEngines = 2
	minServiceEngines = 6
	// minUtilization is the mean utilization below which samples are ignored, because they show too little of the ratio of the
	// stages.
	minUtilization = 0.1
	// decodeBusyThreshold is the mean utilization of decode engines from which prefill engines are switched to decode; it is low
	// so that it takes effect early in a burst that multiplies the load. prefillBusyThreshold is the utilization from which
	// prefill engines are too few, and decodeFullThreshold that of decode engines from which none is switched to prefill.
	decodeBusyThreshold  = 0.25
	prefillBusyThreshold = 0.85
	decodeFullThreshold  = 0.7
	// averagingTime is the time constant of the averages: twice the length of a stream, so that decoding has caught up with the
	// prefills.
	averagingTime = 8 * time.Second
	// warmupTime is how long the service must have been under load before engines are switched: the length of a stream.
	warmupTime = 4 * time.Second
	// roundInterval is the least time between rounds of orders. It spans several samples, so that the effect of an order shows in
	// the next decision. Each round may order one in roundDivisor engines of the service, and at least one.
	roundInterval = time.Second
	roundDivisor  = 12
	// prefillShortPeriod is how long prefill engines must have been too few before a decode engine is switched away from its
	// streams.
	prefillShortPeriod = 2 * time.Second
)

// Engine is an engine with its load. Switchable engines have not yet been ordered to switch; each engine gets at most one order.
type Engine struct {
	Endpoint   routing.Endpoint
	Load       inflight.Load
	Switchable bool
}

// Pool holds the engines of a service by stage. Engines that are switching are in neither list.
type Pool struct {
	Prefill, Decode []Engine
	// SwitchingToPrefill and SwitchingToDecode count the engines that are switching to the stage.
	SwitchingToPrefill, SwitchingToDecode int
}

func (p Pool) engineCount() int {
	return len(p.Prefill) + len(p.Decode) + p.SwitchingToPrefill + p.SwitchingToDecode
}

// demand is the demand of both stages, in engines.
type demand struct{ prefill, decode float64 }

// measure returns the number of busy prefill engines and the summed utilization of the decode engines.
func (p Pool) measure(capacity engines.Capacity) demand {
	var d demand
	for _, e := range p.Prefill {
		d.prefill += math.Min(1, float64(e.Load.Requests))
	}
	for _, e := range p.Decode {
		d.decode += math.Min(1, engines.Candidate{Load: e.Load}.Utilization(capacity))
		d.prefill += math.Min(1, float64(e.Load.LocalPrefills)) / engines.DecodePrefillFactor
	}
	return d
}

// Planner tracks the demand of one service. Times are since boot. It is not safe for concurrent use.
type Planner struct {
	mean demand
	// weight is the sum of the weights of the samples. Dividing the mean by it keeps the first averages from being too low.
	weight float64
	// lastSample is the time of the last sample, loadedSince that of the first sample under load, and prefillShortSince the time
	// since which prefill engines are too few; zero if they are not.
	lastSample, loadedSince, prefillShortSince time.Duration
	// decodeUtilization is that of the last sample, from 0 to 1.
	decodeUtilization float64
	// nextRound is the earliest time of the next round of orders.
	nextRound time.Duration
}

// Observe adds a sample. Samples without load do not change the averages.
func (p *Planner) Observe(now time.Duration, pool Pool, capacity engines.Capacity) {
	d := pool.measure(capacity)
	p.decodeUtilization = d.decode / float64(max(1, len(pool.Decode)))
	if d.prefill+d.decode == 0 || d.prefill+d.decode < minUtilization*float64(pool.engineCount()) {
		p.lastSample = now
		return
	}
	if p.loadedSince == 0 {
		p.loadedSince = now
	}
	decay := math.Exp(-float64(now-p.lastSample) / float64(averagingTime))
	p.mean.prefill = decay*p.mean.prefill + (1-decay)*d.prefill
	p.mean.decode = decay*p.mean.decode + (1-decay)*d.decode
	p.weight = decay*p.weight + (1 - decay)
	p.lastSample = now
	switch {
	case !p.prefillShort(pool):
		p.prefillShortSince = 0
	case p.prefillShortSince == 0:
		p.prefillShortSince = now
	}
}

// prefillShort reports whether prefill engines are hardly ever idle and the demand calls for more of them.
func (p *Planner) prefillShort(pool Pool) bool {
	count := len(pool.Prefill) + pool.SwitchingToPrefill
	return p.mean.prefill/p.weight >= prefillBusyThreshold*float64(count) && count < p.targetPrefill(pool.engineCount())
}

// prefillSurplus returns the number of prefill engines that should switch to decode.
func (p *Planner) prefillSurplus(pool Pool) int {
	count := len(pool.Decode) + pool.SwitchingToDecode
	if p.mean.decode/p.weight < decodeBusyThreshold*float64(count) {
		return 0
	}
	return len(pool.Prefill) + pool.SwitchingToPrefill - max(minPrefillEngines, p.targetPrefill(pool.engineCount()))
}

// targetPrefill returns how many of the engines should run the prefill stage so that both stages saturate at the same load.
func (p *Planner) targetPrefill(count int) int {
	share := p.mean.prefill / (p.mean.prefill + p.mean.decode)
	return int(math.Round(share * float64(count)))
}

// NextSwitches returns the engines that should switch their stage now and the target stage.
func (p *Planner) NextSwitches(now time.Duration, pool Pool) (list []Engine, to routing.Stage) {
	if pool.engineCount() < minServiceEngines || p.loadedSince == 0 || now-p.loadedSince < warmupTime || now < p.nextRound {
		return nil, ""
	}
	round := max(1, pool.engineCount()/roundDivisor)
	if surplus := p.prefillSurplus(pool); surplus > 0 {
		list, to = selectEngines(pool.Prefill, min(surplus, round)), routing.Decode
	} else if p.prefillShortSince > 0 && now-p.prefillShortSince >= prefillShortPeriod && pool.SwitchingToPrefill == 0 && p.decodeUtilization < decodeFullThreshold {
		list, to = selectEngines(pool.Decode, 1), routing.Prefill
	}
	if len(list) > 0 {
		p.nextRound = now + roundInterval
	}
	return list, to
}

// selectEngines returns up to count switchable engines with the least load. Each is taken from the failure domain with the most
// remaining engines, so that every domain keeps some.
func selectEngines(list []Engine, count int) (chosen []Engine) {
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
