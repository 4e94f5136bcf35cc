// Package health judges endpoints by the outcomes of requests. Status checks may be wrong in either direction, and cost
// slots; requests are sent anyway.
package health

import (
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ejectAfter is how many failures in a row eject an endpoint.
	ejectAfter = 3
	// minEjection and maxEjection bound an ejection; it doubles with each further failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// weight is the weight of the newest outcome in the failure rate.
	weight = 0.1
	// maxEjectedShare bounds the part of a service's endpoints that may be ejected at once, so that a fault of the whole
	// fleet never empties a service.
	maxEjectedShare = 0.5
)

type record struct {
	inRow       int
	rate        float64
	ejectedTill time.Duration
	ejections   int
	// unreachable says that the ejection is for an endpoint that could not be reached.
	unreachable bool
}

func (r *record) down(now time.Duration) bool { return r.unreachable && now < r.ejectedTill }

// Tracker keeps the outcomes by endpoint. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record
	// answered is when each endpoint has answered last.
	answered map[string]time.Duration
	// own are this instance's recent outcomes, told those of the others by instance and endpoint.
	own  map[string]counted
	told map[string]map[string]counted
	// pools are the sums of told by endpoint.
	pools map[string]pool
	// endpoints is the number of endpoints in the list.
	endpoints int
	// down holds the endpoints that other instances cannot reach.
	down map[string]unreached
	// instances is the number of instances that use the endpoints.
	instances func() int
	// news is set when an endpoint could not be reached and the other instances have not been told.
	news atomic.Bool
}

// NewTracker returns an empty tracker for a fleet of the given size.
func NewTracker(instances func() int) *Tracker {
	return &Tracker{
		records: map[string]*record{}, answered: map[string]time.Duration{}, own: map[string]counted{},
		told: map[string]map[string]counted{}, pools: map[string]pool{}, down: map[string]unreached{}, instances: instances,
	}
}

// RecordSuccess records an answer of the endpoint.
func (t *Tracker) RecordSuccess(endpoint string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered[endpoint] = now
	t.count(endpoint, 0, now)
	r := t.records[endpoint]
	if r == nil {
		return
	}
	r.inRow, r.ejections = 0, 0
	r.rate -= weight * r.rate
	if r.rate < 0.01 {
		delete(t.records, endpoint)
	}
}

// RecordFailure records a failure, and reports whether it ejects the endpoint. A hard failure is one that shows that the endpoint
// cannot be reached; it ejects at once.
func (t *Tracker) RecordFailure(endpoint string, hard bool, now time.Duration) (ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil {
		r = &record{}
		t.records[endpoint] = r
	}
	t.count(endpoint, 1, now)
	r.inRow++
	r.rate += weight * (1 - r.rate)
	if r.inRow < ejectAfter && !hard {
		return false
	}
	ejected = now >= r.ejectedTill
	if ejected {
		r.unreachable = hard
		t.news.CompareAndSwap(false, hard)
		r.ejectedTill = now + min(minEjection<<r.ejections, maxEjection)
		r.ejections = min(r.ejections+1, 8)
	}
	return ejected
}

// RecordTimeout records a request that got no answer since it began, and reports whether it ejects the endpoint. An endpoint
// that has answered nothing else in that time cannot be reached. Where it has, the request alone took long.
func (t *Tracker) RecordTimeout(endpoint string, began, now time.Duration) (ejected bool) {
	t.mu.Lock()
	answered, ever := t.answered[endpoint]
	t.mu.Unlock()
	if ever && answered >= began {
		return false
	}
	return t.RecordFailure(endpoint, true, now)
}

// RetainListed removes what is known of endpoints that are not in the list any more, which has count endpoints.
func (t *Tracker) RetainListed(count int, listed func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = count
	maps.DeleteFunc(t.records, func(id string, _ *record) bool { return !listed(id) })
	maps.DeleteFunc(t.answered, func(id string, _ time.Duration) bool { return !listed(id) })
	maps.DeleteFunc(t.own, func(id string, _ counted) bool { return !listed(id) })
}

// FailureRate returns the recent part of failures, from 0 to 1: what this instance saw, or what all saw, whichever is more.
func (t *Tracker) FailureRate(endpoint string, now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := t.pooled(endpoint, now)
	if r := t.records[endpoint]; r != nil {
		rate = max(rate, r.rate)
	}
	return rate
}

// IsUnreachable reports whether an error shows that an endpoint could not be reached.
func IsUnreachable(err error) bool {
	var network net.Error
	return errors.As(err, &network)
}

// ReportPending reports whether an endpoint could not be reached since the last Tell, which other instances should know at once.
func (t *Tracker) ReportPending() bool { return t.news.Load() }

// UsableEndpoints returns the endpoints that are not ejected here, and that no other instance has found to be unreachable since they have
// answered here. If more than half are ejected, all are returned.
func UsableEndpoints[E any](t *Tracker, all []E, id func(E) string, now time.Duration) []E {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := make([]E, 0, len(all))
	for _, e := range all {
		if r := t.records[id(e)]; (r == nil || now >= r.ejectedTill) && !t.toldDown(id(e)) {
			usable = append(usable, e)
		}
	}
	if float64(len(all)-len(usable)) > maxEjectedShare*float64(len(all)) {
		return all
	}
	return usable
}
