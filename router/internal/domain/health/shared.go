package health

import (
	"math"
	"time"
)

const (
	// window is the time constant with which outcomes lose their weight: faults of endpoints last some seconds.
	window = 3 * time.Second
	// leastFailures is the decayed number of failures from which an endpoint's outcomes are told to other instances.
	leastFailures = 0.5
	// maxDownShare bounds the part of the endpoints that an instance can tell to be unreachable. One that reaches fewer is cut off
	// itself. Up to leastDown may always be told.
	maxDownShare = 0.34
	leastDown    = 2
)

// Outcomes are the numbers of recent failures and of all recent requests at an endpoint. Older ones weigh less.
type Outcomes struct {
	Failed float64 `json:"f"`
	Total  float64 `json:"n"`
	// Reporters is the number of instances whose outcomes these are; zero means one.
	Reporters int `json:"k,omitempty"`
	// Unreachable is the number of tellers that could not reach the endpoint lately.
	Unreachable int `json:"d,omitempty"`
}

func (o Outcomes) plus(p Outcomes) Outcomes {
	return Outcomes{Failed: o.Failed + p.Failed, Total: o.Total + p.Total}
}

func (o Outcomes) negated() Outcomes { return Outcomes{Failed: -o.Failed, Total: -o.Total} }

// counted are outcomes as of a time since boot.
type counted struct {
	Outcomes
	at time.Duration
}

// now returns what the outcomes still weigh.
func (c counted) now(now time.Duration) Outcomes {
	keep := math.Exp(-float64(now-c.at) / float64(window))
	return Outcomes{Failed: keep * c.Failed, Total: keep * c.Total, Reporters: c.Reporters, Unreachable: c.Unreachable}
}

// count adds an outcome; t.mu is held.
func (t *Tracker) count(endpoint string, failed float64, now time.Duration) {
	t.own[endpoint] = counted{t.own[endpoint].now(now).plus(Outcomes{Failed: failed, Total: 1}), now}
}

// LocalReport lists this instance's outcomes at endpoints that have failed lately, for the other instances.
func (t *Tracker) LocalReport(now time.Duration) map[string]Outcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]Outcomes
	t.news.Store(false)
	for endpoint, c := range t.own {
		o := c.now(now)
		if r := t.records[endpoint]; r != nil && r.down(now) {
			o.Unreachable = 1
		}
		if o.Failed < leastFailures && o.Unreachable == 0 {
			continue
		}
		if out == nil {
			out = map[string]Outcomes{}
		}
		out[endpoint] = Outcomes{Failed: round(o.Failed), Total: round(o.Total), Unreachable: o.Unreachable}
	}
	return out
}

// ReportExcluding returns what all instances but one have told of endpoints that have failed lately, this one included.
func (t *Tracker) ReportExcluding(instance string, now time.Duration) map[string]Outcomes {
	out := t.LocalReport(now)
	if out == nil {
		out = map[string]Outcomes{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, p := range t.pools {
		sum, tellers, down := p.now(now), p.tellers, t.down[endpoint].tellers
		if c, told := t.told[instance][endpoint]; told {
			sum, tellers, down = sum.plus(c.now(now).negated()), tellers-c.tellers(), down-c.Unreachable
		}
		if tellers <= 0 {
			continue
		}
		if own, told := out[endpoint]; told {
			sum, tellers, down = sum.plus(own), tellers+1, down+own.Unreachable
		}
		out[endpoint] = Outcomes{Failed: round(sum.Failed), Total: round(sum.Total), Reporters: tellers, Unreachable: down}
	}
	return out
}

func (o Outcomes) tellers() int { return max(1, o.Reporters) }

// round keeps messages short.
func round(v float64) float64 { return math.Round(v*10) / 10 }

// pool is the sum of what other instances have told about an endpoint, with the number of those that tell.
type pool struct {
	counted
	tellers int
}

// unreached is the number of other instances that cannot reach an endpoint, and the time since boot from which there are any.
type unreached struct {
	tellers int
	since   time.Duration
}

// ApplyReport replaces the outcomes that another instance has told. The sums are kept here, because requests read them.
func (t *Tracker) ApplyReport(instance string, told map[string]Outcomes, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := 1
	if t.cutOff(told) {
		usable = 0
	}
	for endpoint, c := range t.told[instance] {
		t.addToPool(endpoint, c.now(now).negated(), -c.tellers(), now)
		t.hearDown(endpoint, max(0, told[endpoint].Unreachable)*usable-c.Unreachable, now)
	}
	before := t.told[instance]
	delete(t.told, instance)
	if len(told) == 0 {
		return
	}
	heard := make(map[string]counted, len(told))
	for endpoint, o := range told {
		o.Unreachable = max(0, o.Unreachable) * usable
		if _, known := before[endpoint]; !known {
			t.hearDown(endpoint, o.Unreachable, now)
		}
		heard[endpoint] = counted{o, now}
		t.addToPool(endpoint, o, o.tellers(), now)
	}
	t.told[instance] = heard
}

// addToPool adds outcomes and tellers to the sum of an endpoint; t.mu is held.
func (t *Tracker) addToPool(endpoint string, o Outcomes, tellers int, now time.Duration) {
	p := t.pools[endpoint]
	p.counted = counted{p.now(now).plus(o), now}
	p.tellers += tellers
	if p.tellers == 0 {
		delete(t.pools, endpoint)
		return
	}
	t.pools[endpoint] = p
}

// hearDown changes the number of instances that cannot reach an endpoint; t.mu is held.
func (t *Tracker) hearDown(endpoint string, change int, now time.Duration) {
	if change == 0 {
		return
	}
	u := t.down[endpoint]
	if u.tellers == 0 {
		u.since = now
	}
	if u.tellers += change; u.tellers <= 0 {
		delete(t.down, endpoint)
		return
	}
	t.down[endpoint] = u
}

// cutOff reports whether what an instance tells of itself shows that its own network is at fault; t.mu is held.
func (t *Tracker) cutOff(told map[string]Outcomes) bool {
	down := 0
	for _, o := range told {
		if o.Unreachable > 0 && o.Reporters == 0 {
			down++
		}
	}
	return float64(down) > max(leastDown, maxDownShare*float64(t.endpoints))
}

// toldDown reports whether another instance could not reach an endpoint that has not answered here since; t.mu is held.
func (t *Tracker) toldDown(endpoint string) bool {
	u, told := t.down[endpoint]
	if !told {
		return false
	}
	answered, ever := t.answered[endpoint]
	return !ever || answered < u.since
}

// pooled returns the failure rate of the endpoint over all instances, if others have told of failures; t.mu is held. Instances
// that have told nothing are taken to have had as many requests as this one, all of them answered. A single instance whose
// own path to the endpoint is broken so changes little.
func (t *Tracker) pooled(endpoint string, now time.Duration) float64 {
	p, told := t.pools[endpoint]
	if !told {
		return 0
	}
	own := t.own[endpoint].now(now)
	sum := p.now(now).plus(own)
	if sum.Failed < leastFailures {
		return 0
	}
	return sum.Failed / (sum.Total + own.Total*float64(max(0, t.instances()-p.tellers-1)))
}
