package health

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of outcomes. Faults of endpoints last some seconds.
	decayTime = 3 * time.Second
	// minReportedFailures is the decayed number of failures from which the outcomes at an endpoint are reported to
	// other instances.
	minReportedFailures = 0.5
	// maxUnreachableFraction is the largest part of the endpoints that an instance can report as unreachable. An
	// instance that cannot reach more than that is itself cut off. Up to unreachableAccepted endpoints are accepted in
	// any case.
	maxUnreachableFraction = 0.34
	unreachableAccepted    = 2
)

// Outcomes holds the number of recent failures and of all recent requests at an endpoint, with older ones weighted
// less.
type Outcomes struct {
	Failed float64 `json:"f"`
	Total  float64 `json:"n"`
	// Reporters is the number of instances whose outcomes are summed up; 0 means one instance.
	Reporters int `json:"k,omitempty"`
	// Unreachable is the number of reporters that recently could not reach the endpoint.
	Unreachable int `json:"d,omitempty"`
}

func (o Outcomes) plus(p Outcomes) Outcomes {
	return Outcomes{Failed: o.Failed + p.Failed, Total: o.Total + p.Total}
}

func (o Outcomes) negated() Outcomes { return Outcomes{Failed: -o.Failed, Total: -o.Total} }

// decayingOutcomes holds outcomes as of a time since boot.
type decayingOutcomes struct {
	Outcomes
	at time.Duration
}

// decayed returns the outcomes with their weight at the given time.
func (c decayingOutcomes) decayed(now time.Duration) Outcomes {
	keep := math.Exp(-float64(now-c.at) / float64(decayTime))
	return Outcomes{Failed: keep * c.Failed, Total: keep * c.Total, Reporters: c.Reporters, Unreachable: c.Unreachable}
}

// countOutcome adds an outcome of this instance. t.mu is held.
func (t *Tracker) countOutcome(endpoint string, failed float64, now time.Duration) {
	t.local[endpoint] = decayingOutcomes{t.local[endpoint].decayed(now).plus(Outcomes{Failed: failed, Total: 1}), now}
}

// LocalReport returns this instance's outcomes at endpoints with recent failures, for the other instances.
func (t *Tracker) LocalReport(now time.Duration) map[string]Outcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]Outcomes
	t.reportPending.Store(false)
	for endpoint, c := range t.local {
		o := c.decayed(now)
		if r := t.records[endpoint]; r != nil && r.ejectedAsUnreachable(now) {
			o.Unreachable = 1
		}
		if o.Failed < minReportedFailures && o.Unreachable == 0 {
			continue
		}
		if out == nil {
			out = map[string]Outcomes{}
		}
		out[endpoint] = Outcomes{Failed: roundToTenth(o.Failed), Total: roundToTenth(o.Total), Unreachable: o.Unreachable}
	}
	return out
}

// ReportExcluding returns the outcomes at endpoints with recent failures, summed over all instances except one. They
// include those of this instance.
func (t *Tracker) ReportExcluding(instance string, now time.Duration) map[string]Outcomes {
	out := t.LocalReport(now)
	if out == nil {
		out = map[string]Outcomes{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, p := range t.sums {
		sum, reporters, unreachable := p.decayed(now), p.reporters, t.unreachable[endpoint].reporters
		if c, reported := t.reports[instance][endpoint]; reported {
			sum, reporters, unreachable = sum.plus(c.decayed(now).negated()), reporters-c.reporterCount(), unreachable-c.Unreachable
		}
		if reporters <= 0 {
			continue
		}
		if own, reported := out[endpoint]; reported {
			sum, reporters, unreachable = sum.plus(own), reporters+1, unreachable+own.Unreachable
		}
		out[endpoint] = Outcomes{Failed: roundToTenth(sum.Failed), Total: roundToTenth(sum.Total), Reporters: reporters, Unreachable: unreachable}
	}
	return out
}

func (o Outcomes) reporterCount() int { return max(1, o.Reporters) }

// roundToTenth rounds to one decimal, which keeps messages short.
func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }

// outcomeSum is the sum of the outcomes that other instances have reported for an endpoint.
type outcomeSum struct {
	decayingOutcomes
	reporters int
}

// unreachableReports is the number of other instances that report an endpoint as unreachable, and the time since boot
// at which the first of them did.
type unreachableReports struct {
	reporters int
	since     time.Duration
}

// ApplyReport replaces the outcomes that another instance has reported. The sums are updated here and not on reading,
// because every request reads them.
func (t *Tracker) ApplyReport(instance string, report map[string]Outcomes, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := 1
	if t.isIsolated(report) {
		usable = 0
	}
	for endpoint, c := range t.reports[instance] {
		t.addToSum(endpoint, c.decayed(now).negated(), -c.reporterCount(), now)
		t.addUnreachable(endpoint, max(0, report[endpoint].Unreachable)*usable-c.Unreachable, now)
	}
	previous := t.reports[instance]
	delete(t.reports, instance)
	if len(report) == 0 {
		return
	}
	received := make(map[string]decayingOutcomes, len(report))
	for endpoint, o := range report {
		o.Unreachable = max(0, o.Unreachable) * usable
		if _, known := previous[endpoint]; !known {
			t.addUnreachable(endpoint, o.Unreachable, now)
		}
		received[endpoint] = decayingOutcomes{o, now}
		t.addToSum(endpoint, o, o.reporterCount(), now)
	}
	t.reports[instance] = received
}

// addToSum adds outcomes and their reporters to the sum of an endpoint. t.mu is held.
func (t *Tracker) addToSum(endpoint string, o Outcomes, reporters int, now time.Duration) {
	p := t.sums[endpoint]
	p.decayingOutcomes = decayingOutcomes{p.decayed(now).plus(o), now}
	p.reporters += reporters
	if p.reporters == 0 {
		delete(t.sums, endpoint)
		return
	}
	t.sums[endpoint] = p
}

// addUnreachable changes the number of instances that report an endpoint as unreachable. t.mu is held.
func (t *Tracker) addUnreachable(endpoint string, change int, now time.Duration) {
	if change == 0 {
		return
	}
	u := t.unreachable[endpoint]
	if u.reporters == 0 {
		u.since = now
	}
	if u.reporters += change; u.reporters <= 0 {
		delete(t.unreachable, endpoint)
		return
	}
	t.unreachable[endpoint] = u
}

// isIsolated reports whether the outcomes of a single instance show that its own network is at fault. t.mu is held.
func (t *Tracker) isIsolated(report map[string]Outcomes) bool {
	unreachable := 0
	for _, o := range report {
		if o.Unreachable > 0 && o.Reporters == 0 {
			unreachable++
		}
	}
	return float64(unreachable) > max(unreachableAccepted, maxUnreachableFraction*float64(t.listedEndpoints))
}

// reportedUnreachable reports whether another instance could not reach an endpoint that has not answered here since.
// t.mu is held.
func (t *Tracker) reportedUnreachable(endpoint string) bool {
	u, reported := t.unreachable[endpoint]
	if !reported {
		return false
	}
	answered, ever := t.lastAnswer[endpoint]
	return !ever || answered < u.since
}

// combinedFailureRate returns the failure rate of the endpoint over all instances, or 0 if no other instance has
// reported failures. An instance without a report is assumed to have had as many requests as this one, all of them
// answered, so that a single instance whose own path to the endpoint is broken has little effect. t.mu is held.
func (t *Tracker) combinedFailureRate(endpoint string, now time.Duration) float64 {
	p, reported := t.sums[endpoint]
	if !reported {
		return 0
	}
	own := t.local[endpoint].decayed(now)
	sum := p.decayed(now).plus(own)
	if sum.Failed < minReportedFailures {
		return 0
	}
	return sum.Failed / (sum.Total + own.Total*float64(max(0, t.instanceCount()-p.reporters-1)))
}
