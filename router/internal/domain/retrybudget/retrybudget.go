// Package retrybudget limits the retries of requests, so that retries cannot multiply an overload. The limit holds for all
// instances together: each may use an equal part of a fixed allowance, and a ratio of its own requests.
package retrybudget

import (
	"sync"
	"time"
)

// windowSteps is the number of steps in which a window slides.
const windowSteps = 10

// safetyFactor is the part of the budget that is used. It covers the error of a window that slides in steps and counts requests
// when they are sent.
const safetyFactor = 0.8

// Settings are the limits of the budget.
type Settings struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// FixedRetries is the number of retries per window that are allowed in addition to the ratio, for all instances together.
	FixedRetries float64
	Window       time.Duration
}

type counts struct {
	step     int64
	requests [windowSteps]float64
	retries  [windowSteps]float64
}

// Budget holds the budgets of all services. It is safe for concurrent use.
type Budget struct {
	settings  Settings
	instances func() int

	mu       sync.Mutex
	services map[string]*counts
}

// New returns a budget that is shared by the number of instances that the function returns.
func New(s Settings, instances func() int) *Budget {
	return &Budget{settings: s, instances: instances, services: map[string]*counts{}}
}

// UpdateSettings replaces the limits and keeps the counts, unless the length of the window changes.
func (b *Budget) UpdateSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Window != b.settings.Window {
		b.services = map[string]*counts{} // counts per step of another length are not comparable
	}
	b.settings = s
}

// RecordRequest counts a request to the service.
func (b *Budget) RecordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	c.requests[c.step%windowSteps]++
}

// TryRetry takes a retry from the budget and reports whether one was left.
func (b *Budget) TryRetry(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	requests, retries := sum(c.requests), sum(c.retries)
	limit := safetyFactor * (b.settings.Ratio*requests + b.settings.FixedRetries/float64(max(1, b.instances())))
	if retries+1 > limit {
		return false
	}
	c.retries[c.step%windowSteps]++
	return true
}

// advance clears the steps that have left the window.
func (b *Budget) advance(service string, now time.Duration) *counts {
	step := int64(now / max(1, b.settings.Window/windowSteps))
	c := b.services[service]
	if c == nil {
		c = &counts{step: step}
		b.services[service] = c
	}
	for i := c.step + 1; i <= min(step, c.step+windowSteps); i++ {
		c.requests[i%windowSteps], c.retries[i%windowSteps] = 0, 0
	}
	c.step = max(c.step, step)
	return c
}

func sum(parts [windowSteps]float64) float64 {
	total := 0.0
	for _, n := range parts {
		total += n
	}
	return total
}
