// Package patience tells callers that come back after a refusal from those that come for the first time, by the time that they
// still wait. It answers an overload in which the places must go to those that can still be on time: fresh callers differ in
// patience, so that a short one alone does not show that a caller has waited before.
package retrydetect

import (
	"slices"
	"sync"
	"time"
)

const (
	// samples is the number of callers by which the usual spread of patience is known.
	samples = 64
	// leastSamples is the number of callers from which the spread is used, and up to which callers count that come while
	// others may be coming back.
	leastSamples = 8
	// shortest is the quantile of the spread below which a caller has come back.
	shortest = 0.05
)

// Detector knows the usual patience of each route's callers. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	longest  map[string]time.Duration
	services map[string]*spread
}

// spread is how the patience of a service's callers differs, as parts of the longest on their routes.
type spread struct {
	parts []float64
	next  int
	// refused is the time since boot of the last refusal, any whether there was one.
	refused time.Duration
	any     bool
}

// New returns a tracker that knows no callers.
func New() *Detector {
	return &Detector{longest: map[string]time.Duration{}, services: map[string]*spread{}}
}

// RecordRefusal notes that a caller of a service was told to come back.
func (t *Detector) RecordRefusal(service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	s.refused, s.any = now, true
}

// PriorWait estimates for how long a caller has waited before it sent this request: zero for a fresh one.
func (t *Detector) PriorWait(service, route string, patience, now time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := max(t.longest[route], patience)
	t.longest[route] = longest
	s := t.service(service)
	part := float64(patience) / float64(longest)
	// Callers come back within their patience.
	if calm := !s.any || now-s.refused > longest; calm || len(s.parts) < leastSamples {
		s.add(part)
	}
	return time.Duration(max(0, s.low()-part) * float64(longest))
}

func (t *Detector) service(name string) *spread {
	s := t.services[name]
	if s == nil {
		s = &spread{}
		t.services[name] = s
	}
	return s
}

func (s *spread) add(part float64) {
	if len(s.parts) < samples {
		s.parts = append(s.parts, part)
		return
	}
	s.parts[s.next] = part
	s.next = (s.next + 1) % samples
}

// low is the part of the longest patience that nearly all fresh callers have; zero while too few are known.
func (s *spread) low() float64 {
	if len(s.parts) < leastSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.parts))
	return sorted[int(shortest*float64(len(sorted)))]
}
