// Package retrybudget bounds the sends beyond the first of each request, so that retries cannot multiply an overload. The
// bound holds for all instances together: each uses a part of the fixed allowance, and a ratio of its own requests.
package retrybudget

import (
	"sync"
	"time"
)

// steps is the number of parts in which a window slides.
const steps = 10

// safety is the part of the budget that is used. Windows slide in steps, and requests count when they are sent.
const safety = 0.8

// Settings are the bounds of the budget.
type Settings struct {
	// Ratio is the retries per request.
	Ratio float64
	// FixedRetries is the number of retries in a window that are allowed beside the ratio, for all instances together.
	FixedRetries float64
	Window       time.Duration
}

type counts struct {
	step     int64
	requests [steps]float64
	retries  [steps]float64
}

// Budget keeps the budgets by service. It is safe for concurrent use.
type Budget struct {
	settings  Settings
	instances func() int

	mu       sync.Mutex
	services map[string]*counts
}

// New returns a budget that is shared by as many instances as the function tells.
func New(s Settings, instances func() int) *Budget {
	return &Budget{settings: s, instances: instances, services: map[string]*counts{}}
}

// UpdateSettings replaces the bounds; what was counted stays.
func (b *Budget) UpdateSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Window != b.settings.Window {
		b.services = map[string]*counts{} // counts of other steps cannot be compared
	}
	b.settings = s
}

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	c.requests[c.step%steps]++
}

// TryRetry takes a retry from the budget, if it holds one.
func (b *Budget) TryRetry(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	requests, retries := sum(c.requests), sum(c.retries)
	limit := safety * (b.settings.Ratio*requests + b.settings.FixedRetries/float64(max(1, b.instances())))
	if retries+1 > limit {
		return false
	}
	c.retries[c.step%steps]++
	return true
}

// advance clears the parts that have left the window.
func (b *Budget) advance(service string, now time.Duration) *counts {
	step := int64(now / (b.settings.Window / steps))
	c := b.services[service]
	if c == nil {
		c = &counts{step: step}
		b.services[service] = c
	}
	for i := c.step + 1; i <= min(step, c.step+steps); i++ {
		c.requests[i%steps], c.retries[i%steps] = 0, 0
	}
	c.step = max(c.step, step)
	return c
}

func sum(parts [steps]float64) float64 {
	total := 0.0
	for _, n := range parts {
		total += n
	}
	return total
}
