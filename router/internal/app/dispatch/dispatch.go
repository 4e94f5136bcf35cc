// Package dispatch gives model requests a place at a decode engine: it reserves a slot and memory at the engine itself,
// and keeps requests waiting, for a bounded time, while all engines are full.
package dispatch

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/memestimate"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// fullFor is how long an engine that refused a reservation counts as full, unless a request of this instance ends there. It
	// doubles with each further refusal, up to maxFullFor: engines refuse for seconds while they change or end.
	fullFor    = 60 * time.Millisecond
	maxFullFor = time.Second
	// checkPeriod is how often waiting requests are looked at when nothing else happens. An instance without any does not wake.
	checkPeriod = 20 * time.Millisecond
	// messageAge is the usual age of another instance's message when it arrives: a hop between domains takes 1 to 1.5 ms.
	messageAge = 2 * time.Millisecond
	// maxTold is the number of waiting requests that an instance tells the others, so that messages stay small.
	maxTold = 32
	// progressStep is the growth of a request that is entered in the book, in tokens: half a percent of a small engine.
	progressStep = 400
	// reserveTimeout bounds a reservation, which an engine answers at once.
	reserveTimeout = 300 * time.Millisecond
	// releaseTimeout bounds the release of a reservation; after it, the engine lets it lapse.
	releaseTimeout = time.Second
	// minReturn and maxReturn bound the time after which refused callers are told to come back.
	minReturn = 1 * time.Second
	maxReturn = 5 * time.Second
	// returnSpread is the time over which callers return after a pause of all engines.
	returnSpread = 500 * time.Millisecond
	// usualHold is for how long places are assumed to be held until it is known.
	usualHold = 2 * time.Second
)

// EngineClient reserves places at engines.
type EngineClient interface {
	Reserve(ctx context.Context, ep routing.Endpoint, tokens int64, life time.Duration) (routing.Reservation, error)
	Release(ctx context.Context, r routing.Reservation) error
}

// RoutingState gives the configuration and the endpoints in force.
type RoutingState interface {
	Service(name string) *routing.Service
	// Stage lists the usable endpoints of a service that are in the stage, without those that are leaving.
	Stage(service string, stage routing.Stage) []routing.Endpoint
	// Returns is the time until one of them wants requests again, if all have asked for a pause; zero otherwise.
	Returns(service string, stage routing.Stage) time.Duration
	// Paused reports whether an endpoint wants no requests now.
	Paused(ep routing.Endpoint) bool
}

// Deps are what a Dispatcher works with.
type Deps struct {
	Engines      EngineClient
	State        RoutingState
	EndpointLoad *inflight.Tracker
	Health       *health.Tracker
	// Timings knows for how long places are held, Growth how much memory the requests use.
	Timings         *latency.Estimator
	MemoryEstimator *memestimate.Estimator
	Domain          string
	// InstanceCount is the number of instances that share the engines.
	InstanceCount func() int
	// Random returns a number in [0, 1).
	Random func() float64
	// OnChange is called when a place was taken or released.
	OnChange  func()
	SinceBoot func() time.Duration
	Logger    *log.Logger
}

// SlotRequest is a request that needs a place. Times are since boot.
type SlotRequest struct {
	RequestID string
	Service   string
	Demand    routing.Demand
	// SlotDeadline is when the place must be found for the answer to be on time.
	SlotDeadline time.Duration
	// Exclude holds endpoints that have failed this request.
	Exclude map[string]bool
}

// Dispatcher finds places. It is safe for concurrent use.
type Dispatcher struct {
	Deps

	// waits is signalled when a request begins to wait.
	waits chan struct{}

	mu    sync.Mutex
	lists map[string]*waitlist.List
	full  map[string]time.Duration
	// refusals counts the reservations in a row that an engine has refused.
	refusals map[string]int
	others   map[string][]other
}

// other is a waiting request of another instance.
type other struct {
	service string
	waitlist.PeerRequest
}

// New returns a dispatcher. Run must be started too.
func New(d Deps) *Dispatcher {
	return &Dispatcher{
		Deps: d, waits: make(chan struct{}, 1), lists: map[string]*waitlist.List{}, full: map[string]time.Duration{}, refusals: map[string]int{}, others: map[string][]other{},
	}
}

// Run looks at the waiting requests until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.waits:
		}
		for ctx.Err() == nil && d.anyWaits() {
			background.SleepContext(ctx, checkPeriod)
			d.Dispatch()
		}
	}
}

func (d *Dispatcher) anyWaits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.lists {
		if list.Len() > 0 {
			return true
		}
	}
	return false
}

// Dispatch grants places that may have become free.
func (d *Dispatcher) Dispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchAll()
}

func (d *Dispatcher) dispatchAll() {
	for service := range d.lists {
		d.dispatchService(service)
	}
}

// Waiting lists this instance's waiting requests for the other instances.
func (d *Dispatcher) Waiting() []waitlist.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.SinceBoot()
	var out []waitlist.Request
	for service, list := range d.lists {
		out = append(out, list.Requests(service, now)...)
	}
	return out[:min(len(out), maxTold)]
}

// WaitingExcept lists the waiting requests of all instances but one, the most urgent ones if there are many.
func (d *Dispatcher) WaitingExcept(instance string) []waitlist.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.SinceBoot()
	var out []waitlist.Request
	for service, list := range d.lists {
		out = append(out, list.Requests(service, now)...)
	}
	for name, told := range d.others {
		if name == instance {
			continue
		}
		for _, o := range told {
			out = append(out, waitlist.Request{ID: o.ID, Service: o.service, Tokens: o.Tokens, SlackMS: (o.LatestStart - now).Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b waitlist.Request) int { return cmp.Compare(a.SlackMS, b.SlackMS) })
	return out[:min(len(out), maxTold)]
}

// Hear replaces what another instance has told about its waiting requests.
func (d *Dispatcher) Hear(instance string, requests []waitlist.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(requests) == 0 {
		delete(d.others, instance)
		return
	}
	now := d.SinceBoot()
	told := make([]other, len(requests))
	for i, r := range requests {
		told[i] = other{service: r.Service, PeerRequest: waitlist.PeerRequest{
			ID: r.ID, Tokens: r.Tokens, LatestStart: now - messageAge + time.Duration(r.SlackMS)*time.Millisecond,
		}}
	}
	d.others[instance] = told
}

// AcquireSlot waits for a place. Errors are of kind fault.Overloaded, fault.NoEndpoint or fault.CallerGone, and not run.
func (d *Dispatcher) AcquireSlot(ctx context.Context, job *SlotRequest) (*Slot, error) {
	began := d.SinceBoot()
	if _, engine := d.size(job.Service); engine == nil {
		return nil, fault.New(fault.NoEndpoint, "the service has no engines; come back after Retry-After").WithRetryAfter(minReturn)
	}
	if pause := d.State.Returns(job.Service, routing.Decode); began+pause > max(began, job.SlotDeadline) {
		return nil, fault.New(fault.Overloaded, "all engines have asked for a pause; come back after Retry-After").
			WithRetryAfter(pause + time.Duration(d.Random()*float64(returnSpread)))
	}
	for {
		p, err := d.wait(ctx, job)
		if err != nil {
			return nil, err
		}
		err = d.reserve(ctx, p)
		if err == nil {
			d.mu.Lock()
			delete(d.refusals, p.Endpoint.ID)
			d.mu.Unlock()
			d.granted(job, p, d.SinceBoot()-began)
			d.OnChange()
			return p, nil
		}
		d.refused(ctx, job, p, err)
	}
}

// granted writes the line of a place with what decided: the engine's work as far as this instance knows it, and how many
// instances it knows that from.
func (d *Dispatcher) granted(job *SlotRequest, p *Slot, waited time.Duration) {
	known := d.EndpointLoad.TotalAt(p.Endpoint.ID)
	d.Logger.Info().Str("event", "place.granted").Str("request", job.RequestID).Str("endpoint", p.Endpoint.ID).
		Int("requests", known.Requests).Int64("tokens", known.Tokens).Int("instances", d.InstanceCount()).
		Int64("waited_ms", waited.Milliseconds()).Msg("")
}

// candidates lists the decode engines of a service.
func (d *Dispatcher) candidates(service string, now time.Duration) []engines.Candidate {
	endpoints := health.UsableEndpoints(d.Health, d.State.Stage(service, routing.Decode), endpointID, now)
	out := make([]engines.Candidate, 0, len(endpoints))
	for _, ep := range endpoints {
		out = append(out, engines.Candidate{
			Endpoint: ep, Load: d.EndpointLoad.TotalAt(ep.ID), FailureRate: d.Health.FailureRate(ep.ID, now), Full: now < d.full[ep.ID],
		})
	}
	return out
}

func endpointID(ep routing.Endpoint) string { return ep.ID }

func (d *Dispatcher) size(service string) (engines.Capacity, *routing.Engine) {
	s := d.State.Service(service)
	if s == nil || s.Engine == nil {
		return engines.Capacity{}, nil
	}
	return engines.Capacity{Slots: s.Engine.Slots, Tokens: d.MemoryEstimator.Usable(s.Name, s.Engine.MemoryTokens)}, s.Engine
}

func (d *Dispatcher) reserve(ctx context.Context, p *Slot) error {
	_, engine := d.size(p.service)
	if engine == nil || engine.MaxReservation <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	r, err := d.Engines.Reserve(ctx, p.Endpoint, engines.ReservationTokens, engine.MaxReservation)
	if err != nil {
		return err
	}
	p.Reservation = &r
	return nil
}

// PruneEndpoints removes what is known of engines that are not in the list any more.
func (d *Dispatcher) PruneEndpoints(listed func(endpoint string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.full, func(id string, _ time.Duration) bool { return !listed(id) })
	maps.DeleteFunc(d.refusals, func(id string, _ int) bool { return !listed(id) })
}

// refused takes the work out of the book again and keeps other requests away from the engine for a while.
func (d *Dispatcher) refused(ctx context.Context, job *SlotRequest, p *Slot, err error) {
	now := d.SinceBoot()
	d.EndpointLoad.Subtract(p.Endpoint.ID, p.amount)
	d.mu.Lock()
	d.full[p.Endpoint.ID] = now + min(fullFor<<min(d.refusals[p.Endpoint.ID], 8), maxFullFor)
	d.refusals[p.Endpoint.ID]++
	d.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, routing.ErrNotRun) || health.IsUnreachable(err) {
		d.Health.RecordFailure(p.Endpoint.ID, true, now)
		d.OnChange()
	} else {
		d.MemoryEstimator.RecordShortage(job.Service)
	}
	d.Logger.Info().Str("event", "place.refused").Str("request", job.RequestID).Str("endpoint", p.Endpoint.ID).
		Int64("tokens", p.amount.Tokens).Err(err).Msg("")
}

// wait enters the request in the list, also if there is room, so that requests of all instances are served in one order.
// The place that it returns is entered in the book.
func (d *Dispatcher) wait(ctx context.Context, job *SlotRequest) (*Slot, error) {
	granted := make(chan *Slot, 1)
	entry := &waitlist.Entry{
		ID: job.RequestID, Tokens: d.MemoryEstimator.Memory(job.Service, job.Demand, 0), LatestStart: job.SlotDeadline, ExcludedEngines: job.Exclude,
	}
	entry.OnDecision = func(engine *routing.Endpoint) {
		if engine == nil {
			granted <- nil
			return
		}
		granted <- d.newPlace(job, *engine)
	}
	d.mu.Lock()
	list := d.list(job.Service)
	list.Add(entry)
	d.dispatchService(job.Service)
	waits := len(granted) == 0
	waiting := list.Len()
	d.mu.Unlock()
	if waits {
		select {
		case d.waits <- struct{}{}:
		default:
		}
		d.OnChange()
		defer d.OnChange()
	}
	select {
	case <-ctx.Done():
		return nil, d.abandon(ctx, list, entry, granted)
	case p := <-granted:
		if p != nil {
			return p, nil
		}
	}
	d.Logger.Info().Str("event", "place.none").Str("request", job.RequestID).Int("waiting", waiting).
		Dur("place_held", d.Timings.MeanHoldTime(job.Service)).Dur("past_on_time", d.SinceBoot()-job.SlotDeadline).Msg("")
	return nil, fault.New(fault.Overloaded, "all engines are busy; come back after Retry-After").WithRetryAfter(d.returnTime(job.Service))
}

// abandon takes the request of a caller that left off the list, with the place that it may just have got.
func (d *Dispatcher) abandon(ctx context.Context, list *waitlist.List, entry *waitlist.Entry, granted chan *Slot) error {
	d.mu.Lock()
	waited := list.Remove(entry)
	d.mu.Unlock()
	if !waited {
		if p := <-granted; p != nil {
			d.EndpointLoad.Subtract(p.Endpoint.ID, p.amount)
		}
	}
	return fault.Wrap(ctx.Err(), fault.CallerGone, openai.NotRun, "the caller is gone")
}

// returnTime is when a refused caller should come back: about when the places that are taken now are free again, spread over as
// long, so that the returns do not come as another burst.
func (d *Dispatcher) returnTime(service string) time.Duration {
	hold := d.Timings.MeanHoldTime(service)
	if hold == 0 {
		hold = usualHold
	}
	spread := time.Duration((0.5 + d.Random()) * float64(hold))
	return min(max(spread, minReturn), maxReturn)
}

func (d *Dispatcher) list(service string) *waitlist.List {
	l := d.lists[service]
	if l == nil {
		l = &waitlist.List{}
		d.lists[service] = l
	}
	return l
}

// dispatchService grants the places that are free to the requests of all instances in order, and refuses those of this
// instance that cannot be answered on time.
func (d *Dispatcher) dispatchService(service string) {
	list, others := d.lists[service], d.othersOf(service)
	if list.Len()+len(others) == 0 {
		return
	}
	now := d.SinceBoot()
	size, _ := d.size(service)
	candidates := d.candidates(service, now)
	turnover := waitlist.Turnover{MeanHoldTime: d.Timings.MeanHoldTime(service)}
	for _, c := range candidates {
		turnover.Running += c.Load.Requests
	}
	list.Dispatch(now, others, turnover, func(tokens int64, own *waitlist.Entry) *routing.Endpoint {
		return d.take(candidates, size, tokens, own)
	})
}

// take finds an engine among the candidates and counts the request as placed there.
func (d *Dispatcher) take(candidates []engines.Candidate, size engines.Capacity, tokens int64, own *waitlist.Entry) *routing.Endpoint {
	allowed := candidates
	if own != nil && len(own.ExcludedEngines) > 0 {
		allowed = slices.DeleteFunc(slices.Clone(candidates), func(c engines.Candidate) bool { return own.ExcludedEngines[c.Endpoint.ID] })
	}
	best := engines.SelectDecode(allowed, size, tokens, d.Domain, d.Random())
	if best < 0 {
		return nil
	}
	ep := allowed[best].Endpoint
	for i := range candidates {
		if candidates[i].Endpoint.ID == ep.ID {
			candidates[i].Load.Requests++
			candidates[i].Load.Tokens += tokens
		}
	}
	return &ep
}

func (d *Dispatcher) othersOf(service string) []waitlist.PeerRequest {
	var out []waitlist.PeerRequest
	for _, told := range d.others {
		for _, o := range told {
			if o.service == service {
				out = append(out, o.PeerRequest)
			}
		}
	}
	return out
}
