// Package pace limits the requests in flight at endpoints that have just started or come back, and at slow ones. The limit holds for all
// instances together. It grows in rounds while the endpoint answers as fast as its service, and falls when the endpoint is slow or refuses.
//
// A limit is a preference: an endpoint at its limit is still used if the other ones are full.
package pace

import (
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/rendezvous"
	"tanagerwood.dev/router/internal/domain/speed"
)

const (
	// initialLimit is the number of requests in flight with which an endpoint starts. It is also the number of instances that may send
	// the first ones, on average.
	initialLimit = 2
	// growthPerRound is the factor by which a limit grows in a round without slow answers and refusals.
	growthPerRound = 2
	// MaxUnderuse is the time after which the limit of an endpoint that has come ends, whatever it answered.
	MaxUnderuse = 3 * time.Second
	// answersPerRound is the length of a round in usual durations of an answer, so that the answers to its requests are known at its end.
	answersPerRound = 1.5
	// silentRounds is the length of a round in which this instance saw no answer, in rounds.
	silentRounds = 2
	// minRound bounds the length of a round for endpoints that answer at once: others learn of requests some milliseconds later.
	minRound = 20 * time.Millisecond
	// slowFactor is the speed factor from which an endpoint counts as slow: nearly twice as long as its service takes. Lower ones are
	// common among machines of different generations.
	slowFactor = 1.8
	// flappingMemory is the time after which earlier returns of an endpoint count no more, and maxFlaps the number that counts at most.
	flappingMemory = 20 * time.Second
	maxFlaps       = 3
)

// Reason is the reason why an endpoint is paced.
type Reason string

// Reasons.
const (
	Started  Reason = "started"
	Returned Reason = "returned"
)

// Event is a change of state: an endpoint became paced, or came to full use.
type Event struct {
	Endpoint routing.Endpoint
	Reason   Reason
	// FullUse is set at the end of the pace; After is how long it lasted and Refusals the number of refusals that were seen.
	FullUse  bool
	After    time.Duration
	Refusals int
}

// Deps holds the dependencies of a Limiter.
type Deps struct {
	// Self is the name of this instance, and InstanceCount the number of all.
	Self          string
	InstanceCount func() int
	Speeds        *speed.Tracker
	// OnEvent is called for each change of state. It must not call the Limiter.
	OnEvent func(Event)
}

// Limiter holds the limits of all endpoints. It is safe for concurrent use. A nil Limiter has none.
type Limiter struct {
	Deps

	mu sync.Mutex
	// services holds the services whose endpoints were observed. Endpoints found in the first observation are not paced.
	services map[string]bool
	records  map[speed.Start]*record
	withheld int64
}

// record is what is known of one start of an endpoint.
type record struct {
	endpoint routing.Endpoint
	present  bool
	// limit is the number of requests of all instances that may be in flight; zero if there is no limit.
	limit  float64
	reason Reason
	since  time.Duration
	// position is this instance's place in the order in which instances may use the endpoint, from 0 to 1.
	position float64
	// usual is the usual duration of an answer, roundStart the start of the current round.
	usual, roundStart time.Duration
	// answered and refused are set if the endpoint answered or refused a request of this instance in the current round.
	answered, refused bool
	refusals          int
	// flaps is the number of returns within the memory of the previous one.
	flaps      int
	returnedAt time.Duration
}

// New returns a Limiter without limits.
func New(d Deps) *Limiter {
	return &Limiter{Deps: d, services: map[string]bool{}, records: map[speed.Start]*record{}}
}

// InForce reports whether endpoints of a service may have limits.
func (l *Limiter) InForce(service string) bool { return l != nil && l.Speeds.InForce(service) }

// Observe records which endpoints of a service can be used now. An endpoint that was not in the previous list is paced.
func (l *Limiter) Observe(service string, usable []routing.Endpoint, now time.Duration) {
	if !l.InForce(service) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[speed.Start]bool, len(usable))
	first := !l.services[service]
	l.services[service] = true
	for _, ep := range usable {
		key := speed.Start{ID: ep.ID, StartedMS: ep.StartedMS}
		listed[key] = true
		if first {
			l.records[key] = &record{endpoint: ep, present: true}
			continue
		}
		l.advance(l.arrived(key, ep, now), now)
	}
	for key, r := range l.records {
		if r.endpoint.Service == service && !listed[key] {
			r.present = false
		}
	}
}

// arrived returns the record of an endpoint that can be used now, with a limit if it could not be used before; l.mu is held.
func (l *Limiter) arrived(key speed.Start, ep routing.Endpoint, now time.Duration) *record {
	r := l.records[key]
	switch {
	case r == nil:
		r = &record{endpoint: ep}
		l.records[key] = r
		l.begin(r, Started, now)
	case !r.present:
		if r.flaps = min(r.flaps+1, maxFlaps); now-r.returnedAt > flappingMemory || r.returnedAt == 0 {
			r.flaps = 0
		}
		r.returnedAt = now
		l.begin(r, Returned, now)
	}
	r.present = true
	return r
}

// begin gives an endpoint the first limit; l.mu is held. A return during a limit is not reported, so that a flapping endpoint does not
// fill the log.
func (l *Limiter) begin(r *record, reason Reason, now time.Duration) {
	known := r.limit > 0
	r.limit, r.reason, r.since, r.roundStart = initialLimit, reason, now, now
	r.answered, r.refused, r.refusals = false, false, 0
	weight := rendezvous.Weight(r.endpoint.ID+strconv.FormatInt(r.endpoint.StartedMS, 10), l.Self)
	r.position = float64(weight) / math.MaxUint64
	if !known {
		l.report(Event{Endpoint: r.endpoint, Reason: reason})
	}
}

func (l *Limiter) report(e Event) {
	if l.OnEvent != nil {
		l.OnEvent(e)
	}
}

// fullUse is the limit from which an endpoint is no longer paced: all its slots, and all instances.
func (l *Limiter) fullUse(r *record) float64 {
	return float64(max(initialLimit, r.endpoint.Slots, l.InstanceCount()))
}

// round returns the length of a round. The rounds of an endpoint that neither is slow nor refuses end within MaxUnderuse.
func (l *Limiter) round(r *record) time.Duration {
	length := max(minRound, time.Duration(answersPerRound*float64(r.usual))) << r.flaps
	if !r.answered {
		length *= silentRounds
	}
	rounds := 1 + math.Ceil(math.Log2(l.fullUse(r)/initialLimit))
	return min(length, time.Duration(float64(MaxUnderuse)/rounds))
}

// advance ends the rounds that are over; l.mu is held.
func (l *Limiter) advance(r *record, now time.Duration) {
	for r.limit > 0 {
		length := l.round(r)
		if now-r.since >= MaxUnderuse || r.limit >= l.fullUse(r) {
			r.limit = 0
			l.report(Event{Endpoint: r.endpoint, Reason: r.reason, FullUse: true, After: now - r.since, Refusals: r.refusals})
			return
		}
		if now-r.roundStart < length {
			return
		}
		r.roundStart += length
		r.limit = l.nextLimit(r, now)
		r.answered, r.refused = false, false
	}
}

// nextLimit returns the limit of the next round: higher, or unchanged after a refusal or if the endpoint is slow.
func (l *Limiter) nextLimit(r *record, now time.Duration) float64 {
	if r.refused || l.Speeds.Factor(r.endpoint, now) >= slowFactor {
		return r.limit
	}
	return r.limit * growthPerRound
}

// RecordAnswer records that an endpoint has answered a request of this instance.
func (l *Limiter) RecordAnswer(ep routing.Endpoint, now time.Duration) {
	l.update(ep, now, func(r *record) { r.answered = true })
}

// RecordRefusal records that an endpoint has refused or failed a request of this instance. The limit falls once in a round.
func (l *Limiter) RecordRefusal(ep routing.Endpoint, now time.Duration) {
	l.update(ep, now, func(r *record) {
		r.refusals++
		if !r.refused {
			r.refused, r.limit, r.roundStart = true, max(1, r.limit/growthPerRound), now
		}
	})
}

// update changes the record of an endpoint with a limit.
func (l *Limiter) update(ep routing.Endpoint, now time.Duration, change func(*record)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[speed.Start{ID: ep.ID, StartedMS: ep.StartedMS}]
	if r == nil {
		return
	}
	if l.advance(r, now); r.limit > 0 {
		change(r)
	}
}

// Load is the number of requests in flight at an endpoint.
type Load struct {
	// Local is that of this instance, and Total that of all.
	Local, Total int
}

// Withheld reports whether the limit of an endpoint allows no further request of this instance. usual is the usual duration of an
// answer of the service.
func (l *Limiter) Withheld(ep routing.Endpoint, load Load, usual, now time.Duration) bool {
	if !l.InForce(ep.Service) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.services[ep.Service] {
		return false
	}
	r := l.arrived(speed.Start{ID: ep.ID, StartedMS: ep.StartedMS}, ep, now)
	r.usual = usual
	l.advance(r, now)
	withheld := l.slowAndBusy(ep, load, now) || r.limit > 0 && l.overLimit(r, load)
	if withheld {
		l.withheld++
	}
	return withheld
}

// overLimit reports whether the requests of this instance exceed its share of the limit, or those of all instances the limit.
func (l *Limiter) overLimit(r *record, load Load) bool {
	instances := float64(max(1, l.InstanceCount()))
	limit := min(r.limit, slots(r.endpoint))
	share := math.Ceil(limit / min(r.limit, instances))
	return r.position >= r.limit/instances || float64(load.Local) >= share || float64(load.Total) >= limit
}

// slowAndBusy reports whether a slow endpoint has the part of its slots in use with which it answers as fast as its service.
func (l *Limiter) slowAndBusy(ep routing.Endpoint, load Load, now time.Duration) bool {
	factor := l.Speeds.Factor(ep, now)
	return factor >= slowFactor && float64(load.Total) >= max(1, slots(ep)/factor)
}

// slots returns the number of slots of an endpoint, without a bound if it is unknown.
func slots(ep routing.Endpoint) float64 {
	if ep.Slots <= 0 {
		return math.Inf(1)
	}
	return float64(ep.Slots)
}

// Option is an endpoint that may get a request.
type Option struct {
	Endpoint routing.Endpoint
	Load     Load
}

// Allowed reports for each endpoint whether the request may go there by the limits. If none of these has a free slot, all may.
func (l *Limiter) Allowed(options []Option, usual, now time.Duration) []bool {
	out := make([]bool, len(options))
	free := false
	for i, o := range options {
		out[i] = !l.Withheld(o.Endpoint, o.Load, usual, now)
		free = free || out[i] && float64(o.Load.Total) < slots(o.Endpoint)
	}
	if !free {
		for i := range out {
			out[i] = true
		}
	}
	return out
}

// Counts returns the number of endpoints with a limit, and how often one withheld a request.
func (l *Limiter) Counts() (paced int, withheld int64) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.limit > 0 && r.present {
			paced++
		}
	}
	return paced, l.withheld
}

// Prune drops the records of starts that the platform lists no longer.
func (l *Limiter) Prune(listed func(speed.Start) bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.records, func(key speed.Start, _ *record) bool { return !listed(key) })
}
