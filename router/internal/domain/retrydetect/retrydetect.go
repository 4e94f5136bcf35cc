// Package retrydetect distinguishes callers that retry after a refusal from first attempts, by the remaining timeout that they
// declare. During an overload, slots must go to requests that can still be on time. First attempts differ in their timeouts, so
// a short timeout alone does not show that a caller has waited before.
package retrydetect

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of callers that the distribution of timeouts is computed from.
	maxSamples = 64
	// minSamples is the number of callers that are needed to use the distribution. Until then, callers are sampled even while
	// others may be retrying.
	minSamples = 8
	// retryQuantile is the quantile of the distribution below which a caller counts as retrying.
	retryQuantile = 0.05
)

// Detector tracks the timeouts of callers: the longest by route, and their distribution by service. It is safe for concurrent
// use.
type Detector struct {
	mu             sync.Mutex
	longestTimeout map[string]time.Duration
	services       map[string]*distribution
}

// distribution holds the timeouts of a service's callers, as fractions of the longest timeout on their routes.
type distribution struct {
	fractions []float64
	next      int
	// lastRefusal is the time since boot of the last refusal; anyRefusal is set if there was one.
	lastRefusal time.Duration
	anyRefusal  bool
}

// New returns a Detector without samples.
func New() *Detector {
	return &Detector{longestTimeout: map[string]time.Duration{}, services: map[string]*distribution{}}
}

// RecordRefusal records that a caller of a service was told to retry later.
func (d *Detector) RecordRefusal(service string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	s.lastRefusal, s.anyRefusal = now, true
}

// PriorWait estimates how long a caller had waited before it sent this request; zero for a first attempt.
func (d *Detector) PriorWait(service, route string, timeout, now time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := max(d.longestTimeout[route], timeout)
	d.longestTimeout[route] = longest
	s := d.service(service)
	fraction := float64(timeout) / float64(longest)
	// Callers retry only within their timeouts, so no caller is retrying once the longest timeout has passed since the last
	// refusal.
	if noRetries := !s.anyRefusal || now-s.lastRefusal > longest; noRetries || len(s.fractions) < minSamples {
		s.add(fraction)
	}
	return time.Duration(max(0, s.lower()-fraction) * float64(longest))
}

func (d *Detector) service(name string) *distribution {
	s := d.services[name]
	if s == nil {
		s = &distribution{}
		d.services[name] = s
	}
	return s
}

func (s *distribution) add(fraction float64) {
	if len(s.fractions) < maxSamples {
		s.fractions = append(s.fractions, fraction)
		return
	}
	s.fractions[s.next] = fraction
	s.next = (s.next + 1) % maxSamples
}

// lower returns the fraction of the longest timeout that nearly all first attempts reach; zero with too few samples.
func (s *distribution) lower() float64 {
	if len(s.fractions) < minSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.fractions))
	return sorted[int(retryQuantile*float64(len(sorted)))]
}
