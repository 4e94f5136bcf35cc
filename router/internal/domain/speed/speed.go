// Package speed estimates how long each endpoint takes for its work in relation to the other endpoints of its service. The factor of an
// endpoint is learnt from the durations of prefills, first events and plain requests; the figure in which an endpoint states its own speed
// at the moment adds to it for a short time.
//
// The estimates are in force for a service if it is configured so, or once one of its endpoints has stated its speed.
package speed

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// decayTime is the time constant of the exponential decay of measurements, and maxAge the age from which they count no more.
	decayTime = 10 * time.Second
	maxAge    = 40 * time.Second
	// priorWeight is the number of samples that the assumption counts for that an endpoint is as fast as its service.
	priorWeight = 4
	// maxSampleLog bounds the natural logarithm of a single ratio, so that one stalled request does not decide.
	maxSampleLog = 1.5
	// maxFactor bounds the factor of an endpoint in both directions. One that is slower still gets requests only if the others are full.
	maxFactor = 8
	// factorStepLog is the step in which factors differ, as a natural logarithm. Without steps, all instances would choose the same one of
	// several equal endpoints, whose estimates differ by chance.
	factorStepLog = 0.14
	// figureHalfLife is the age at which a stated speed counts half. Endpoints change their speed several times a second.
	figureHalfLife = 300 * time.Millisecond
	// meanSamples is the number of samples after which an old one has lost most of its weight in a reference or a mean.
	meanSamples = 64
	// percentUsual is the figure of an endpoint that is as fast as usual.
	percentUsual = 100
	// maxSample bounds a single duration, since a process may be suspended between its start and its end.
	maxSample = time.Minute
)

// Start identifies one start of an endpoint. A restarted endpoint may keep its ID, and its machine may be another one.
type Start struct {
	ID        string
	StartedMS int64
}

func startOf(ep routing.Endpoint) Start { return Start{ep.ID, ep.StartedMS} }

// Work is a kind of work whose durations are compared.
type Work struct {
	// Service is the service of the endpoint, Route that of the request if requests of different routes differ.
	Service, Route string
	Step           Step
}

// Step is a step of a request.
type Step int

// Steps of requests.
const (
	Prefill Step = iota
	FirstEvent
	Plain
)

// sums holds the decayed number of samples and the sum of the logarithms of their ratios to the service.
type sums struct {
	count, logs float64
	at          time.Duration
}

func (s sums) decayed(now time.Duration) sums {
	age := now - s.at
	if s.count == 0 || age > maxAge {
		return sums{at: now}
	}
	keep := math.Exp(-float64(max(0, age)) / float64(decayTime))
	return sums{count: keep * s.count, logs: keep * s.logs, at: now}
}

func (s sums) plus(o sums) sums { return sums{s.count + o.count, s.logs + o.logs, s.at} }

func (s sums) negated() sums { return sums{-s.count, -s.logs, s.at} }

// estimate returns the logarithm of the factor, with the service as the prior.
func (s sums) estimate() float64 { return s.logs / (max(0, s.count) + priorWeight) }

// mean is a moving mean over samples.
type mean struct{ value, weight float64 }

func (m *mean) add(v float64) {
	m.weight = min(m.weight+1, meanSamples)
	m.value += (v - m.value) / m.weight
}

// duration returns the duration whose logarithm is the mean.
func (m *mean) duration() time.Duration {
	return time.Duration(math.Exp(m.value) * float64(time.Second))
}

// record is what is known of one start of an endpoint.
type record struct {
	own sums
	// unreported is set if own has samples that were not reported to the other instances.
	unreported bool
	// figureLog is the logarithm of the latest stated speed, figureAt its time since boot, and figureMean the mean of the figures.
	figureLog  float64
	figureAt   time.Duration
	figureMean mean
	hasFigure  bool
	// queue is the number of requests of other instances in the latest load that the endpoint has stated, and queueAt its time.
	queue    float64
	queueAt  time.Duration
	hasQueue bool
	// waiting is set if requests waited at the endpoint then.
	waiting bool
}

// momentary returns the logarithm of the stated speed, weighted by its age.
func (r *record) momentary(now time.Duration) float64 {
	if !r.hasFigure {
		return 0
	}
	return r.figureMean.value + (r.figureLog-r.figureMean.value)*weightAt(now-r.figureAt, figureHalfLife)
}

// weightAt is the weight of a figure of the given age.
func weightAt(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(max(1, halfLife)))
}

// Tracker holds the estimates of all endpoints. It is safe for concurrent use. The estimates of a nil Tracker are in force for no service.
type Tracker struct {
	// configured reports whether the estimates are in force for a service by its configuration.
	configured func(service string) bool
	// stated holds the services of which an endpoint has stated its speed. It is replaced with mu held and read without, so that requests
	// of services without estimates take no lock.
	stated atomic.Pointer[map[string]bool]

	mu         sync.Mutex
	records    map[Start]*record
	references map[Work]*mean
	// reports holds the sums of the other instances by instance, and peerSums their sum.
	reports  map[string]map[Start]sums
	peerSums map[Start]sums
	// reportedAt is when this instance last reported its sums.
	reportedAt time.Duration
	hasReport  bool
}

// New returns a Tracker without measurements. The function reports whether the estimates are in force for a service by configuration.
func New(configured func(service string) bool) *Tracker {
	t := &Tracker{
		configured: configured, records: map[Start]*record{}, references: map[Work]*mean{},
		reports: map[string]map[Start]sums{}, peerSums: map[Start]sums{},
	}
	t.stated.Store(&map[string]bool{})
	return t
}

// InForce reports whether the estimates are in force for a service.
func (t *Tracker) InForce(service string) bool {
	return t != nil && ((*t.stated.Load())[service] || t.configured(service))
}

// markStated records that an endpoint of the service has stated its speed; t.mu is held.
func (t *Tracker) markStated(service string) {
	stated := *t.stated.Load()
	if stated[service] {
		return
	}
	next := maps.Clone(stated)
	next[service] = true
	t.stated.Store(&next)
}

// record returns the record of an endpoint; t.mu is held.
func (t *Tracker) record(key Start) *record {
	r := t.records[key]
	if r == nil {
		r = &record{figureMean: mean{weight: priorWeight}}
		t.records[key] = r
	}
	return r
}

// RecordLoad records the load that an endpoint has stated. local is the number of requests of this instance at the endpoint. It reports
// whether the estimates have come into force for the service.
func (t *Tracker) RecordLoad(ep routing.Endpoint, load routing.Load, local int, now time.Duration) (started bool) {
	if load.SpeedPercent <= 0 && !t.InForce(ep.Service) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if load.SpeedPercent > 0 {
		started = !t.InForce(ep.Service)
		t.markStated(ep.Service)
	}
	r := t.record(startOf(ep))
	r.queue, r.queueAt, r.hasQueue = float64(max(0, load.Running+load.Waiting-local)), now, true
	r.waiting = load.Waiting > 0
	if load.SpeedPercent > 0 {
		r.figureLog, r.figureAt, r.hasFigure = math.Log(load.SpeedPercent/percentUsual), now, true
		r.figureMean.add(r.figureLog)
	}
	return started
}

// Record records how long an endpoint took for some units of work: tokens for a prefill, and 1 otherwise. What the endpoint has stated of
// its speed in the same response must have been recorded before.
func (t *Tracker) Record(ep routing.Endpoint, work Work, units int64, took, now time.Duration) {
	if took <= 0 || took > maxSample || units <= 0 || !t.InForce(work.Service) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := startOf(ep)
	r := t.record(key)
	if work.Step == Plain && r.waiting {
		return // the duration includes a queue
	}
	value := math.Log(took.Seconds()/float64(units)) - r.momentary(now)
	reference := t.references[work]
	if reference == nil {
		reference = &mean{}
		t.references[work] = reference
		reference.value = value - t.learnt(key, r, now)
	}
	ratio := min(max(value-reference.value, -maxSampleLog), maxSampleLog)
	reference.add(reference.value + ratio - t.learnt(key, r, now))
	r.own = r.own.decayed(now).plus(sums{count: 1, logs: ratio})
	r.unreported = true
}

// learnt returns the logarithm of the factor that is learnt from all instances; t.mu is held.
func (t *Tracker) learnt(key Start, r *record, now time.Duration) float64 {
	total := t.peerSums[key].decayed(now)
	if r != nil {
		total = total.plus(r.own.decayed(now))
	}
	return total.estimate()
}

// Factor returns the expected duration of work at an endpoint in relation to its service. It is 1 if the estimates are not in force.
func (t *Tracker) Factor(ep routing.Endpoint, now time.Duration) float64 {
	if !t.InForce(ep.Service) {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := startOf(ep)
	r := t.records[key]
	log := t.learnt(key, r, now)
	if r != nil {
		log += r.momentary(now)
	}
	log = factorStepLog * math.Round(log/factorStepLog)
	return min(max(math.Exp(log), 1.0/maxFactor), maxFactor)
}

// Counts returns the number of services for which the estimates are in force because their endpoints state their speed, and the number of
// endpoints that deviate from their service.
func (t *Tracker) Counts(now time.Duration) (services, deviating int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.records {
		if math.Abs(t.learnt(key, r, now)) >= minReportedLog {
			deviating++
		}
	}
	return len(*t.stated.Load()), deviating
}

// Prune drops what is known of starts that the platform lists no longer, and reports of other instances that are too old.
func (t *Tracker) Prune(listed func(Start) bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range t.reports {
		maps.DeleteFunc(report, func(key Start, s sums) bool { return now-s.at > maxAge || !listed(key) })
	}
	maps.DeleteFunc(t.records, func(key Start, _ *record) bool { return !listed(key) })
	maps.DeleteFunc(t.peerSums, func(key Start, s sums) bool { return now-s.at > maxAge || !listed(key) })
}
