// Package health tracks the health of endpoints passively, from the outcomes of requests. Active status checks may be
// wrong in either direction and take up slots; requests are sent in any case.
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
	// ejectAfterFailures is the number of consecutive failures after which an endpoint is ejected.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the duration of an ejection, which doubles with each consecutive ejection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// rateWeight is the weight of the newest outcome in the moving average of the failure rate.
	rateWeight = 0.1
	// maxEjectedFraction is the largest part of a service's endpoints that may be ejected at once, so that a fault of
	// the whole fleet does not leave a service without endpoints.
	maxEjectedFraction = 0.5
)

type endpointRecord struct {
	consecutiveFailures int
	failureRate         float64
	ejectedUntil        time.Duration
	ejections           int
	// unreachable is set if the endpoint was ejected because it could not be reached, replaced if another one answered at its address.
	unreachable, replaced bool
}

func (r *endpointRecord) ejectedAsUnreachable(now time.Duration) bool {
	return r.unreachable && now < r.ejectedUntil
}

// Tracker tracks the outcomes of requests by endpoint. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*endpointRecord
	// lastAnswer is when each endpoint last answered.
	lastAnswer map[string]time.Duration
	// local holds the recent outcomes of this instance by endpoint; reports holds those of the other instances by
	// instance and endpoint.
	local   map[string]decayingOutcomes
	reports map[string]map[string]decayingOutcomes
	// sums holds the sums of reports by endpoint.
	sums map[string]outcomeSum
	// listedEndpoints is the number of endpoints in the list.
	listedEndpoints int
	// unreachable holds the endpoints that other instances could not reach.
	unreachable map[string]unreachableReports
	// instanceCount returns the number of instances that use the endpoints.
	instanceCount func() int
	// reportPending is set when an endpoint could not be reached and this has not been reported to the other instances.
	reportPending atomic.Bool
}

// NewTracker returns an empty tracker. The function returns the number of instances that use the endpoints.
func NewTracker(instances func() int) *Tracker {
	return &Tracker{
		records: map[string]*endpointRecord{}, lastAnswer: map[string]time.Duration{}, local: map[string]decayingOutcomes{},
		reports: map[string]map[string]decayingOutcomes{}, sums: map[string]outcomeSum{}, unreachable: map[string]unreachableReports{}, instanceCount: instances,
	}
}

// RecordSuccess records that the endpoint answered a request.
func (t *Tracker) RecordSuccess(endpoint string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastAnswer[endpoint] = now
	t.countOutcome(endpoint, 0, now)
	r := t.records[endpoint]
	if r == nil {
		return
	}
	r.consecutiveFailures, r.ejections = 0, 0
	r.failureRate -= rateWeight * r.failureRate
	if r.failureRate < 0.01 {
		delete(t.records, endpoint)
	}
}

// RecordFailure records a failed request and reports whether the endpoint is ejected for it. If the failure shows that
// the endpoint is unreachable, one is enough.
func (t *Tracker) RecordFailure(endpoint string, unreachable bool, now time.Duration) (ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil {
		r = &endpointRecord{}
		t.records[endpoint] = r
	}
	t.countOutcome(endpoint, 1, now)
	r.consecutiveFailures++
	r.failureRate += rateWeight * (1 - r.failureRate)
	if r.consecutiveFailures < ejectAfterFailures && !unreachable {
		return false
	}
	ejected = now >= r.ejectedUntil
	if ejected {
		r.unreachable, r.replaced = unreachable, false
		t.reportPending.CompareAndSwap(false, unreachable)
		r.ejectedUntil = now + min(minEjection<<r.ejections, maxEjection)
		r.ejections = min(r.ejections+1, 8)
	}
	return ejected
}

// RecordReplaced records that another endpoint answers at the endpoint's address, or that it does not do what it is listed for, and
// reports whether it is ejected for it.
func (t *Tracker) RecordReplaced(endpoint string, now time.Duration) (ejected bool) {
	ejected = t.RecordFailure(endpoint, true, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[endpoint]; r != nil {
		r.replaced = true
	}
	return ejected
}

// RecordTimeout records a request that has had no answer since startedAt and reports whether the endpoint is ejected
// for it. If the endpoint has answered nothing else in that time, it counts as unreachable; otherwise only this request
// was slow.
func (t *Tracker) RecordTimeout(endpoint string, startedAt, now time.Duration) (ejected bool) {
	t.mu.Lock()
	answered, ever := t.lastAnswer[endpoint]
	t.mu.Unlock()
	if ever && answered >= startedAt {
		return false
	}
	return t.RecordFailure(endpoint, true, now)
}

// RetainListed drops the records of endpoints that are no longer in the list, which has count endpoints.
func (t *Tracker) RetainListed(count int, listed func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedEndpoints = count
	maps.DeleteFunc(t.records, func(id string, _ *endpointRecord) bool { return !listed(id) })
	maps.DeleteFunc(t.lastAnswer, func(id string, _ time.Duration) bool { return !listed(id) })
	maps.DeleteFunc(t.local, func(id string, _ decayingOutcomes) bool { return !listed(id) })
}

// FailureRate returns the recent failure rate of the endpoint, from 0 to 1: that seen by this instance or that of all
// instances, whichever is higher.
func (t *Tracker) FailureRate(endpoint string, now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := t.combinedFailureRate(endpoint, now)
	if r := t.records[endpoint]; r != nil {
		rate = max(rate, r.failureRate)
	}
	return rate
}

// IsUnreachable reports whether the error shows that an endpoint could not be reached.
func IsUnreachable(err error) bool {
	var network net.Error
	return errors.As(err, &network)
}

// ReportPending reports whether an endpoint could not be reached since the last LocalReport, so that the other
// instances should be informed at once.
func (t *Tracker) ReportPending() bool { return t.reportPending.Load() }

// UsableEndpoints returns the endpoints that are not ejected here and that no other instance has reported as
// unreachable since they last answered here. If this excludes more than half of the endpoints, all of them are
// returned but those that others have replaced, if any is left.
func UsableEndpoints[E any](t *Tracker, all []E, id func(E) string, now time.Duration) []E {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable, present := make([]E, 0, len(all)), make([]E, 0, len(all))
	for _, e := range all {
		r := t.records[id(e)]
		ejected := r != nil && now < r.ejectedUntil
		if !ejected && !t.reportedUnreachable(id(e)) {
			usable = append(usable, e)
		}
		if !ejected || !r.replaced {
			present = append(present, e)
		}
	}
	switch {
	case float64(len(all)-len(usable)) <= maxEjectedFraction*float64(len(all)):
		return usable
	case len(present) > 0:
		return present
	default:
		return all
	}
}
