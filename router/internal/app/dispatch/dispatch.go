// Package dispatch gives model requests a place at a decode engine: it reserves a slot and memory at the engine itself,
// and keeps requests waiting, for a bounded time, while all engines are full.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/domain/work"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// fullFor is how long an engine that refused a reservation counts as full, unless a request of this instance ends there.
	fullFor = 60 * time.Millisecond
	// checkPeriod is how often waiting requests are looked at when nothing else happens.
	checkPeriod = 20 * time.Millisecond
	// progressStep is the growth of a request that is entered in the book, in tokens: half a percent of a small engine.
	progressStep = 400
	// reserveTimeout bounds a reservation, which an engine answers at once.
	reserveTimeout = 300 * time.Millisecond
	// releaseTimeout bounds the release of a reservation; after it, the engine lets it lapse.
	releaseTimeout = time.Second
	// minReturn and maxReturn bound the time after which refused callers are told to come back. They are spread, so that
	// the returns do not come as another burst.
	minReturn = 1 * time.Second
	maxReturn = 3 * time.Second
)

// Engines reserves places at engines.
type Engines interface {
	Reserve(ctx context.Context, ep routing.Endpoint, tokens int64, life time.Duration) (routing.Reservation, error)
	Release(ctx context.Context, r routing.Reservation) error
}

// State gives the configuration and the endpoints in force.
type State interface {
	Service(name string) *routing.Service
	// Stage lists the usable endpoints of a service that are in the stage, without those that are leaving.
	Stage(service string, stage routing.Stage) []routing.Endpoint
}

// Deps are what a Dispatcher works with.
type Deps struct {
	Engines Engines
	State   State
	Book    *work.Book
	Health  *health.Tracker
	Domain  string
	// Instances is the number of instances that share the engines.
	Instances func() int
	// Random returns a number in [0, 1).
	Random func() float64
	// Changed is called when a place was taken or released.
	Changed func()
	Boot    func() time.Duration
	Logger  *log.Logger
}

// Job is a request that needs a place. Times are since boot.
type Job struct {
	RequestID string
	Service   string
	Demand    routing.Demand
	// OnTimeUntil is when the place must be found for the answer to be on time, Latest when waiting ends.
	OnTimeUntil time.Duration
	Latest      time.Duration
	// Avoid holds endpoints that have failed this request.
	Avoid map[string]bool
}

// Place is a place at a decode engine. Release must be called.
type Place struct {
	Endpoint routing.Endpoint
	// Reservation is nil if the engine grants none.
	Reservation *routing.Reservation
	// Waited is how long the request waited for the place.
	Waited time.Duration

	dispatcher *Dispatcher
	demand     routing.Demand
	amount     work.Amount
	// made is the output as of the last progress, in tokens; perEvent the tokens in an event of the engine's streams.
	made     int64
	perEvent int64
	used     bool
	once     sync.Once
}

// Dispatcher finds places. It is safe for concurrent use.
type Dispatcher struct {
	Deps

	mu    sync.Mutex
	lists map[string]*waitlist.List
	full  map[string]time.Duration
}

// New returns a dispatcher. Run must be started too.
func New(d Deps) *Dispatcher {
	return &Dispatcher{Deps: d, lists: map[string]*waitlist.List{}, full: map[string]time.Duration{}}
}

// Run looks at the waiting requests until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.Kick()
		}
	}
}

// Kick lets waiting requests try for places that may have become free.
func (d *Dispatcher) Kick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service := range d.lists {
		d.kick(service)
	}
}

// errFull says that no engine has room now.
var errFull = errors.New("no decode engine has room")

// Place waits for a place. Errors are of kind fault.Overloaded, fault.NoEndpoint or fault.CallerGone, and not run.
func (d *Dispatcher) Place(ctx context.Context, job *Job) (*Place, error) {
	began := d.Boot()
	for {
		place, err := d.try(ctx, job)
		if err == nil {
			place.Waited = d.Boot() - began
			return place, nil
		}
		if ctx.Err() != nil {
			return nil, fault.Wrap(ctx.Err(), fault.CallerGone, openai.NotRun, "the caller is gone")
		}
		if err := d.wait(ctx, job); err != nil {
			return nil, err
		}
	}
}

// candidates lists the decode engines of the job's service that may take it.
func (d *Dispatcher) candidates(job *Job, now time.Duration) []engines.Candidate {
	endpoints := health.Usable(d.Health, d.State.Stage(job.Service, routing.Decode), endpointID, now)
	out := make([]engines.Candidate, 0, len(endpoints))
	for _, ep := range endpoints {
		if job.Avoid[ep.ID] {
			continue
		}
		out = append(out, engines.Candidate{
			Endpoint: ep, Work: d.Book.At(ep.ID), FailureRate: d.Health.FailureRate(ep.ID), Full: now < d.full[ep.ID],
		})
	}
	return out
}

func endpointID(ep routing.Endpoint) string { return ep.ID }

func (d *Dispatcher) size(service string) (engines.Size, *routing.Engine) {
	s := d.State.Service(service)
	if s == nil || s.Engine == nil {
		return engines.Size{}, nil
	}
	return engines.Size{Slots: s.Engine.Slots, Tokens: s.Engine.MemoryTokens}, s.Engine
}

// try reserves a place at the best engine that seems to have room, one after the other.
func (d *Dispatcher) try(ctx context.Context, job *Job) (*Place, error) {
	for ctx.Err() == nil {
		p, engine, err := d.choose(job)
		if err != nil {
			return nil, err
		}
		err = d.reserve(ctx, job, p, engine)
		if err == nil {
			d.Changed()
			return p, nil
		}
		d.refused(ctx, job, p, err)
	}
	return nil, ctx.Err()
}

// choose picks an engine and enters the work in the book, so that requests that come at the same time see it.
func (d *Dispatcher) choose(job *Job) (*Place, *routing.Engine, error) {
	size, engine := d.size(job.Service)
	if engine == nil {
		return nil, nil, fault.New(fault.NoEndpoint, "the service has no engines")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := d.candidates(job, d.Boot())
	best := engines.Decode(candidates, size, engines.Memory(job.Demand, 0), d.Domain)
	if best < 0 {
		return nil, nil, errFull
	}
	p := &Place{Endpoint: candidates[best].Endpoint, dispatcher: d, demand: job.Demand, perEvent: engine.EventTokens,
		amount: work.Amount{Requests: 1, Tokens: engines.Memory(job.Demand, 0)}}
	d.Book.Begin(p.Endpoint.ID, p.amount)
	return p, engine, nil
}

func (d *Dispatcher) reserve(ctx context.Context, job *Job, p *Place, engine *routing.Engine) error {
	if engine.MaxReservation <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	r, err := d.Engines.Reserve(ctx, p.Endpoint, engines.ReservedTokens, engine.MaxReservation)
	if err != nil {
		return err
	}
	p.Reservation = &r
	return nil
}

// refused takes the work out of the book again and keeps other requests away from the engine for a while.
func (d *Dispatcher) refused(ctx context.Context, job *Job, p *Place, err error) {
	now := d.Boot()
	d.Book.End(p.Endpoint.ID, p.amount)
	d.mu.Lock()
	d.full[p.Endpoint.ID] = now + fullFor
	d.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, routing.ErrNotRun) || health.Unreachable(err) {
		d.Health.Failed(p.Endpoint.ID, true, now)
	}
	d.Logger.Info().Str("event", "place.refused").Str("request", job.RequestID).Str("endpoint", p.Endpoint.ID).
		Int("requests", p.amount.Requests).Int64("tokens", p.amount.Tokens).Err(err).Msg("")
}

// wait waits until the request may try again.
func (d *Dispatcher) wait(ctx context.Context, job *Job) error {
	notify := make(chan bool, 1)
	entry := &waitlist.Entry{
		Tokens: engines.Memory(job.Demand, 0), OnTimeUntil: job.OnTimeUntil, Latest: job.Latest, Notify: func(refused bool) { notify <- refused },
	}
	d.mu.Lock()
	list := d.list(job.Service)
	list.Add(entry, d.Boot())
	waiting := list.Len()
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		d.mu.Lock()
		list.Remove(entry)
		d.mu.Unlock()
		return fault.Wrap(ctx.Err(), fault.CallerGone, openai.NotRun, "the caller is gone")
	case refused := <-notify:
		if !refused {
			return nil
		}
	}
	d.Logger.Info().Str("event", "place.none").Str("request", job.RequestID).Int("waiting", waiting).
		Dur("past_on_time", d.Boot()-job.OnTimeUntil).Msg("")
	return fault.New(fault.Overloaded, "all engines are busy; come back after Retry-After").WithRetryAfter(d.returnTime())
}

func (d *Dispatcher) returnTime() time.Duration {
	return minReturn + time.Duration(d.Random()*float64(maxReturn-minReturn))
}

// list returns the service's list of waiting requests. As many late ones may wait as this instance's part of the slots.
func (d *Dispatcher) list(service string) *waitlist.List {
	l := d.lists[service]
	if l == nil {
		size, _ := d.size(service)
		slots := size.Slots * len(d.State.Stage(service, routing.Decode))
		l = waitlist.New(max(1, slots/max(1, d.Instances())))
		d.lists[service] = l
	}
	return l
}

// kick refuses requests that have waited for too long, and lets as many of the others try as seem to find room.
func (d *Dispatcher) kick(service string) {
	list := d.lists[service]
	now := d.Boot()
	for _, e := range list.Expire(now) {
		e.Notify(true)
	}
	if list.Len() == 0 {
		return
	}
	size, _ := d.size(service)
	candidates := d.candidates(&Job{Service: service}, now)
	list.Each(func(e *waitlist.Entry) bool {
		best := engines.Decode(candidates, size, e.Tokens, d.Domain)
		if best < 0 {
			return false
		}
		candidates[best].Work.Requests++
		candidates[best].Work.Tokens += e.Tokens
		list.Remove(e)
		e.Notify(false)
		return true
	})
}

// Use marks the reservation as used, so that Release does not give it back.
func (p *Place) Use() { p.used = true }

// Progress counts events of the stream, so that the memory that the request uses is known.
func (p *Place) Progress(events int) {
	p.made += int64(events) * p.perEvent
	tokens := engines.Memory(p.demand, p.made)
	if grown := tokens - p.amount.Tokens; grown >= progressStep || grown <= -progressStep {
		p.dispatcher.Book.Begin(p.Endpoint.ID, work.Amount{Tokens: grown})
		p.amount.Tokens = tokens
	}
}

// Release ends the work at the place.
func (p *Place) Release() {
	p.once.Do(func() {
		d := p.dispatcher
		d.Book.End(p.Endpoint.ID, p.amount)
		d.Changed()
		if p.Reservation != nil && !p.used {
			go d.giveBack(*p.Reservation)
		}
		d.mu.Lock()
		delete(d.full, p.Endpoint.ID)
		for service := range d.lists {
			d.kick(service)
		}
		d.mu.Unlock()
	})
}

func (d *Dispatcher) giveBack(r routing.Reservation) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.Engines.Release(ctx, r); err != nil {
		d.Logger.Info().Str("event", "reservation.not_released").Str("endpoint", r.Endpoint.ID).Err(err).Msg("it lapses by itself")
	}
}
