// Package pace learns how long the parts of a model request take at the engines of a service: reading the prompt, the time
// until the first event, and the time for which a place is held. Engines differ by an order of magnitude in each, so that
// limits on waiting and on prefills follow from what was measured.
package latency

import (
	"math"
	"sync"
	"time"
)

const (
	// priorRead and priorStart are assumed until a service has been measured: the time to read a token of a prompt, with
	// some queueing, and the time to the first event of a stream after that.
	priorRead  = time.Second / 25_000
	priorStart = 150 * time.Millisecond
	// priorWeight is the number of measurements that the assumptions count for.
	priorWeight = 4
	// memory is the number of measurements after which an old one has lost most of its weight.
	memory = 32
	// leastHolds is the number of held places from which their mean is used.
	leastHolds = 3
	// longest bounds a single measurement: a process may be suspended between its two ends.
	longest = time.Minute
)

// Estimator is what is known of the services. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*service
	ignored  int64
}

type service struct {
	read, start, hold mean
	// alone is the time to read a token at an engine that reads nothing else.
	alone mean
}

// mean is an exponentially weighted mean and deviation.
type mean struct {
	value, deviation float64
	weight           float64
}

func (m *mean) add(v float64) {
	m.weight = min(m.weight+1, memory)
	distance := v - m.value
	m.value += distance / m.weight
	m.deviation += (math.Abs(distance) - m.deviation) / m.weight
}

// high is a value that most measurements stay below.
func (m *mean) high() float64 { return m.value + m.deviation }

// New returns a pace that knows nothing but the assumptions.
func New() *Estimator { return &Estimator{services: map[string]*service{}} }

// service returns the entry of a service; p.mu is held.
func (p *Estimator) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			read:  mean{value: priorRead.Seconds(), weight: priorWeight},
			start: mean{value: priorStart.Seconds(), weight: priorWeight},
			alone: mean{value: priorRead.Seconds(), weight: priorWeight},
		}
		p.services[name] = s
	}
	return s
}

// usable reports whether a measurement can be one, and counts those that cannot; p.mu is held.
func (p *Estimator) usable(took time.Duration, tokens int64) bool {
	if took > 0 && took <= longest && tokens > 0 {
		return true
	}
	p.ignored++
	return false
}

// RecordPrefill enters the time in which an engine has read a prompt, with the time that the prompt waited there.
func (p *Estimator) RecordPrefill(name string, tokens int64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usable(took, tokens) {
		p.service(name).read.add(took.Seconds() / float64(tokens))
	}
}

// RecordIdlePrefill enters the time in which an engine that had nothing else to read has read a prompt.
func (p *Estimator) RecordIdlePrefill(name string, tokens int64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usable(took, tokens) {
		p.service(name).alone.add(took.Seconds() / float64(tokens))
	}
}

// RecordDecodeStart enters the time from the send to the first event of a stream whose prompt was read before.
func (p *Estimator) RecordDecodeStart(name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usable(took, 1) {
		p.service(name).start.add(took.Seconds())
	}
}

// RecordHold enters the time for which a request that was served held its place.
func (p *Estimator) RecordHold(name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usable(took, 1) {
		p.service(name).hold.add(took.Seconds())
	}
}

// PrefillLatency is the time in which a prompt will have been read, in most cases.
func (p *Estimator) PrefillLatency(name string, tokens int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return seconds(p.service(name).read.high() * float64(max(0, tokens)))
}

// PrefillBusyTime is the time for which the tokens of prompts occupy a prefill engine.
func (p *Estimator) PrefillBusyTime(name string, tokens int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return seconds(p.service(name).alone.value * float64(max(0, tokens)))
}

// DecodeStartLatency is the time from the send to the first event of a stream whose prompt was read before, in most cases.
func (p *Estimator) DecodeStartLatency(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return seconds(p.service(name).start.high())
}

// FirstEventLatency is the time from a place to the first event, in most cases.
func (p *Estimator) FirstEventLatency(name string, tokens int64) time.Duration {
	read := p.PrefillLatency(name, tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	return read + seconds(p.service(name).start.high())
}

// MeanHoldTime is the mean time for which a place is held; zero until it is known.
func (p *Estimator) MeanHoldTime(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	hold := p.service(name).hold
	if hold.weight < leastHolds {
		return 0
	}
	return seconds(hold.value)
}

// InvalidSamples is the number of measurements that cannot be ones.
func (p *Estimator) InvalidSamples() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ignored
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
