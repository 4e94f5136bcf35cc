// Package latency estimates, per service, how long engines take to prefill a prompt and to send the first event, and how long
// requests hold a slot. Engines differ by an order of magnitude in each, so time limits are derived from measurements.
package latency

import (
	"math"
	"sync"
	"time"
)

const (
	// priorPrefill is the assumed prefill time per token, including some queueing, and priorDecodeStart the assumed time from
	// there to the first event of a stream, until a service has been measured.
	priorPrefill     = time.Second / 25_000
	priorDecodeStart = 150 * time.Millisecond
	// priorWeight is the number of samples that the assumptions count for.
	priorWeight = 4
	// decaySamples is the number of samples after which an old one has lost most of its weight.
	decaySamples = 32
	// minHoldSamples is the number of hold times that are needed to use their mean.
	minHoldSamples = 3
	// maxSample bounds a single measurement, since a process may be suspended between its start and its end.
	maxSample = time.Minute
)

// Estimator holds the measurements of all services. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*service
	invalid  int64
}

type service struct {
	prefill, decodeStart, hold mean
	// idlePrefill is the prefill time per token at an engine without other prefills.
	idlePrefill mean
}

// mean is an exponentially weighted mean and mean absolute deviation.
type mean struct {
	value, deviation float64
	weight           float64
}

func (m *mean) add(v float64) {
	m.weight = min(m.weight+1, decaySamples)
	distance := v - m.value
	m.value += distance / m.weight
	m.deviation += (math.Abs(distance) - m.deviation) / m.weight
}

// upper returns a value that most samples stay below.
func (m *mean) upper() float64 { return m.value + m.deviation }

// New returns an Estimator without measurements.
func New() *Estimator { return &Estimator{services: map[string]*service{}} }

// service returns the entry of a service; e.mu must be held.
func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{
			prefill:     mean{value: priorPrefill.Seconds(), weight: priorWeight},
			decodeStart: mean{value: priorDecodeStart.Seconds(), weight: priorWeight},
			idlePrefill: mean{value: priorPrefill.Seconds(), weight: priorWeight},
		}
		e.services[name] = s
	}
	return s
}

// checkSample reports whether a sample is valid and counts invalid ones; e.mu must be held.
func (e *Estimator) checkSample(took time.Duration, tokens int64) bool {
	if took > 0 && took <= maxSample && tokens > 0 {
		return true
	}
	e.invalid++
	return false
}

// RecordPrefill records the duration of a prefill, including the time that the prompt was queued at the engine.
func (e *Estimator) RecordPrefill(name string, tokens int64, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkSample(took, tokens) {
		e.service(name).prefill.add(took.Seconds() / float64(tokens))
	}
}

// RecordIdlePrefill records the duration of a prefill at an engine without other prefills.
func (e *Estimator) RecordIdlePrefill(name string, tokens int64, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkSample(took, tokens) {
		e.service(name).idlePrefill.add(took.Seconds() / float64(tokens))
	}
}

// RecordDecodeStart records the time from sending a decode request, whose prompt was prefilled elsewhere, to the first event of
// its stream.
func (e *Estimator) RecordDecodeStart(name string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkSample(took, 1) {
		e.service(name).decodeStart.add(took.Seconds())
	}
}

// RecordHold records how long a completed request held its slot.
func (e *Estimator) RecordHold(name string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkSample(took, 1) {
		e.service(name).hold.add(took.Seconds())
	}
}

// PrefillLatency returns the time within which most prefills of this length finish, including queueing at the engine.
func (e *Estimator) PrefillLatency(name string, tokens int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fromSeconds(e.service(name).prefill.upper() * float64(max(0, tokens)))
}

// PrefillBusyTime returns the mean time for which prompts of this total length occupy a prefill engine.
func (e *Estimator) PrefillBusyTime(name string, tokens int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fromSeconds(e.service(name).idlePrefill.value * float64(max(0, tokens)))
}

// DecodeStartLatency returns the time from sending a decode request, whose prompt was prefilled elsewhere, within which most
// streams send their first event.
func (e *Estimator) DecodeStartLatency(name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fromSeconds(e.service(name).decodeStart.upper())
}

// FirstEventLatency returns the time from the assignment of a slot within which most streams send their first event.
func (e *Estimator) FirstEventLatency(name string, tokens int64) time.Duration {
	prefill := e.PrefillLatency(name, tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	return prefill + fromSeconds(e.service(name).decodeStart.upper())
}

// MeanHoldTime returns the mean time for which a slot is held; zero until enough samples are known.
func (e *Estimator) MeanHoldTime(name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	hold := e.service(name).hold
	if hold.weight < minHoldSamples {
		return 0
	}
	return fromSeconds(hold.value)
}

// InvalidSamples returns the number of samples that were rejected as invalid.
func (e *Estimator) InvalidSamples() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.invalid
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
