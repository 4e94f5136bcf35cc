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
	// longestPeriod is the time after which the longest timeout of a route is forgotten unless it is declared again, and for which at
	// least it is remembered.
	longestPeriod = 2 * time.Minute
	// retryQuantile is the quantile of the distribution below which a caller counts as retrying.
	retryQuantile = 0.05
)

// Detector tracks the timeouts of callers: the longest by route, and their distribution by service. It is safe for concurrent
// use.
type Detector struct {
	mu             sync.Mutex
	longestTimeout map[string]*recentMaximum
	services       map[string]*distribution
}

// recentMaximum is the largest of the values of the current and the last period.
type recentMaximum struct {
	current, last time.Duration
	// began is the time since boot at which the current period began.
	began time.Duration
}

func (m *recentMaximum) add(value, now time.Duration) {
	if elapsed := now - m.began; elapsed >= longestPeriod {
		m.last = m.current
		if elapsed >= 2*longestPeriod {
			m.last = 0
		}
		m.current, m.began = 0, now
	}
	m.current = max(m.current, value)
}

func (m *recentMaximum) value() time.Duration { return max(m.current, m.last) }

// sample is the timeout that a caller declared on a route.
type sample struct {
	route   string
	timeout time.Duration
}

// distribution holds the timeouts of a service's callers. They are compared as fractions of the longest timeouts on their routes.
type distribution struct {
	samples []sample
	next    int
	// lastRefusal is the time since boot of the last refusal; anyRefusal is set if there was one.
	lastRefusal time.Duration
	anyRefusal  bool
}

// New returns a Detector without samples.
func New() *Detector {
	return &Detector{longestTimeout: map[string]*recentMaximum{}, services: map[string]*distribution{}}
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
	maximum := d.longestTimeout[route]
	if maximum == nil {
		maximum = &recentMaximum{began: now}
		d.longestTimeout[route] = maximum
	}
	maximum.add(timeout, now)
	longest := maximum.value()
	s := d.service(service)
	// Callers retry only within their timeouts, so no caller is retrying once the longest timeout has passed since the last
	// refusal.
	if noRetries := !s.anyRefusal || now-s.lastRefusal > longest; noRetries || len(s.samples) < minSamples {
		s.add(sample{route, timeout})
	}
	fraction := float64(timeout) / float64(longest)
	return time.Duration(max(0, d.lower(s)-fraction) * float64(longest))
}

func (d *Detector) service(name string) *distribution {
	s := d.services[name]
	if s == nil {
		s = &distribution{}
		d.services[name] = s
	}
	return s
}

func (s *distribution) add(v sample) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, v)
		return
	}
	s.samples[s.next] = v
	s.next = (s.next + 1) % maxSamples
}

// lower returns the fraction of the longest timeout that nearly all first attempts reach; zero with too few samples.
func (d *Detector) lower(s *distribution) float64 {
	if len(s.samples) < minSamples {
		return 0
	}
	fractions := make([]float64, len(s.samples))
	for i, v := range s.samples {
		fractions[i] = min(1, float64(v.timeout)/float64(d.longestTimeout[v.route].value()))
	}
	slices.Sort(fractions)
	return fractions[int(retryQuantile*float64(len(fractions)))]
}
