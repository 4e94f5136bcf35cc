// Package stages decides how many engines of a service should read prompts and how many should decode, from the work that
// both did lately. It answers the load at which requests wait for decode slots while prefill engines idle, and the reverse.
package stages

import (
	"math"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/work"
)

const (
	// spare is the capacity for reading that is kept beyond the measured need, as a factor: prompts come in bursts that
	// are shorter than the time in which an engine changes.
	spare = 1.3
	// minReaders engines go on reading, so that the loss of one or two leaves one; smaller services are left alone.
	minReaders = 3
	minEngines = 6
	// leastUse is the mean use of the engines from which the work says something about the ratio.
	leastUse = 0.1
	// busyDecoding is the mean use of decoding engines from which they get help: bursts of today's deployments double the
	// load. busyReading is the use of reading engines that counts as short.
	busyDecoding = 0.4
	busyReading  = 0.85
	// memory is the time constant of the averages, twice the length of a stream, so that decoding has caught up with reading.
	memory = 8 * time.Second
	// settle is how long the service must have been at work before anything changes, and the least time between changes.
	settle = 4 * time.Second
	pause  = time.Second
	// shortFor is how long engines that read must have been too few before one that decodes is taken from its streams.
	shortFor = 5 * time.Second
)

// Engine is an engine with its work. Orderable engines have had no order yet.
type Engine struct {
	Endpoint  routing.Endpoint
	Work      work.Amount
	Orderable bool
}

// Pool is the engines of a service by stage. Engines that are changing are in neither list.
type Pool struct {
	Readers, Decoders []Engine
	// ToRead and ToDecode are the numbers of engines that are changing to the stage.
	ToRead, ToDecode int
}

func (p Pool) size() int { return len(p.Readers) + len(p.Decoders) + p.ToRead + p.ToDecode }

// load is work in engines.
type load struct{ reading, decoding float64 }

// measure returns how many engines read, and the use of those that decode.
func (p Pool) measure(size engines.Size) load {
	var l load
	for _, e := range p.Readers {
		l.reading += math.Min(1, float64(e.Work.Requests))
	}
	for _, e := range p.Decoders {
		l.decoding += math.Min(1, engines.Candidate{Work: e.Work}.Use(size))
	}
	return l
}

// Planner follows the load of one service. Times are since boot. It is not safe for concurrent use.
type Planner struct {
	mean load
	// weight is the sum of the samples' weights, with which the mean of the first samples is not too low.
	weight float64
	// at is the last sample, busySince the first one of the present work, shortSince since when readers are too few;
	// zero if they are not.
	at, busySince, shortSince time.Duration
	// next is the earliest time of the next change.
	next time.Duration
}

// Observe adds a sample. Idle times count for nothing.
func (p *Planner) Observe(now time.Duration, pool Pool, size engines.Size) {
	l := pool.measure(size)
	if l.reading+l.decoding == 0 || l.reading+l.decoding < leastUse*float64(pool.size()) {
		p.at = now
		return
	}
	if p.busySince == 0 {
		p.busySince = now
	}
	keep := math.Exp(-float64(now-p.at) / float64(memory))
	p.mean.reading = keep*p.mean.reading + (1-keep)*l.reading
	p.mean.decoding = keep*p.mean.decoding + (1-keep)*l.decoding
	p.weight = keep*p.weight + (1 - keep)
	p.at = now
	switch {
	case !p.readingShort(pool):
		p.shortSince = 0
	case p.shortSince == 0:
		p.shortSince = now
	}
}

// readingShort reports whether reading binds, and the work needs more engines for it.
func (p *Planner) readingShort(pool Pool) bool {
	readers := len(pool.Readers) + pool.ToRead
	return p.mean.reading/p.weight >= busyReading*float64(readers) && readers < p.readers(pool.size(), 1, 1)
}

// decodingShort reports whether decoding is near to binding, and the work needs fewer engines for reading.
func (p *Planner) decodingShort(pool Pool) bool {
	decoders := len(pool.Decoders) + pool.ToDecode
	return p.mean.decoding/p.weight >= busyDecoding*float64(decoders) &&
		len(pool.Readers)+pool.ToRead > p.readers(pool.size(), spare, minReaders)
}

// readers returns how many of the engines should read, so that reading and decoding are full at the same load, with some
// spare for reading.
func (p *Planner) readers(count int, spare float64, least int) int {
	reading, decoding := p.mean.reading/p.weight, p.mean.decoding/p.weight
	share := spare * reading / (spare*reading + decoding)
	return max(least, int(math.Ceil(share*float64(count))))
}

// Next returns the engine that should change its stage now and the stage; ok is false if none should.
func (p *Planner) Next(now time.Duration, pool Pool) (e Engine, to routing.Stage, ok bool) {
	if pool.size() < minEngines || p.busySince == 0 || now-p.busySince < settle || now < p.next {
		return Engine{}, "", false
	}
	switch {
	case p.decodingShort(pool):
		e, ok = leastUsed(pool.Readers)
		to = routing.Decode
	case p.shortSince > 0 && now-p.shortSince >= shortFor && pool.ToRead == 0:
		e, ok = leastUsed(pool.Decoders)
		to = routing.Prefill
	}
	if ok {
		p.next = now + pause
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
