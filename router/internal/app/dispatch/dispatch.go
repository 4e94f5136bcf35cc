// Package dispatch assigns model requests to decode engines. It reserves a slot and memory at the engine and, while all engines
// are full, queues requests for a bounded time.
package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/domain/endpointlimit"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/memestimate"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/priority"
	"tanagerwood.dev/router/internal/domain/regions"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// fullBackoff is how long an engine counts as full after it refused a reservation, unless a request of this instance ends
	// there earlier. It doubles with each further refusal, up to maxFullBackoff, because engines refuse for seconds while they
	// change their stage or stop.
	fullBackoff    = 60 * time.Millisecond
	maxFullBackoff = time.Second
	// waitlistCheckInterval is the interval at which waiting requests are checked when no event triggers a dispatch. The loop is
	// idle while no request waits.
	waitlistCheckInterval = 20 * time.Millisecond
	// peerMessageDelay is the typical age of a message from another instance on arrival: a hop between failure domains takes 1 to
	// 1.5 ms.
	peerMessageDelay = 2 * time.Millisecond
	// maxSharedRequests is the maximum number of waiting requests that an instance reports to the others, which keeps messages
	// small.
	maxSharedRequests = 32
	// memoryUpdateTokens is the change in a request's memory, in tokens, from which it is recorded in the endpoint load: half a
	// percent of a small engine.
	memoryUpdateTokens = 400
	// reserveTimeout is the timeout of a reservation call, which an engine answers immediately.
	reserveTimeout = 300 * time.Millisecond
	// releaseTimeout is the timeout of a release call. A reservation that is not released expires at the engine.
	releaseTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 5 * time.Second
	// retryJitter is the range of the jitter added to Retry-After while all engines have asked for a pause or are at their limits.
	retryJitter = 500 * time.Millisecond
	// defaultHoldTime is the assumed mean time for which slots are held until measurements exist.
	defaultHoldTime = 2 * time.Second
)

// EngineClient reserves and releases capacity at engines.
type EngineClient interface {
	Reserve(ctx context.Context, ep routing.Endpoint, tokens int64, life time.Duration) (routing.Reservation, error)
	Release(ctx context.Context, r routing.Reservation) error
}

// RoutingState provides the current configuration and endpoints.
type RoutingState interface {
	Service(name string) *routing.Service
	// Stage lists the usable endpoints of a service in the stage. Endpoints that are leaving are not included.
	Stage(service string, stage routing.Stage) []routing.Endpoint
	// PauseRemaining is the time until the first of these endpoints accepts requests again if all have asked for a
	// pause, and zero otherwise.
	PauseRemaining(service string, stage routing.Stage) time.Duration
	// Paused reports whether an endpoint has asked for a pause that is not over.
	Paused(ep routing.Endpoint) bool
	// AllEvacuated reports whether evacuations leave a service without endpoints in the stage.
	AllEvacuated(service string, stage routing.Stage) bool
}

// Deps holds the dependencies of a Dispatcher.
type Deps struct {
	Engines      EngineClient
	State        RoutingState
	EndpointLoad *inflight.Tracker
	Health       *health.Tracker
	// Limits admits requests to engines that have announced a request limit.
	Limits *endpointlimit.Limiter
	// Timings estimates for how long slots are held, MemoryEstimator how much memory requests use.
	Timings         *latency.Estimator
	MemoryEstimator *memestimate.Estimator
	// Speeds estimates the speed of engines; nil if their speed is not used.
	Speeds *speed.Tracker
	// Pace limits the requests at engines that have started or come back; nil if there are no limits.
	Pace   *pace.Limiter
	Domain string
	// InstanceCount is the number of instances that share the engines.
	InstanceCount func() int
	// Random returns a number in [0, 1).
	Random func() float64
	// OnChange is called when this instance's load or waiting requests change.
	OnChange  func()
	SinceBoot func() time.Duration
	Logger    *log.Logger
}

// SlotRequest describes a request that needs a slot. Times are since boot.
type SlotRequest struct {
	RequestID string
	Service   string
	Demand    routing.Demand
	// SlotDeadline is the latest time at which the slot must be acquired for the response to be on time.
	SlotDeadline time.Duration
	Class        priority.Class
	// Reserved is the position in which the request is queued first if it belongs to the reserved share of the less urgent requests; nil
	// otherwise.
	Reserved *waitlist.Position
	// Exclude holds the ids of endpoints at which this request has failed.
	Exclude map[string]bool
	// Allowed is the filter of the failure domains in which the request may run.
	Allowed regions.Filter
	// Stop is closed when the request must not wait any longer because the instance stops. It is nil for a request that may wait until
	// its context ends.
	Stop <-chan struct{}
}

// Dispatcher assigns slots to requests. It is safe for concurrent use.
type Dispatcher struct {
	Deps

	// waitStarted is signalled when a request starts to wait.
	waitStarted chan struct{}

	mu        sync.Mutex
	waitlists map[string]*waitlist.List
	fullUntil map[string]time.Duration
	// consecutiveRefusals counts an engine's refused reservations since its last granted one.
	consecutiveRefusals map[string]int
	peerRequests        map[string][]peerRequest
}

// peerRequest is a waiting request of another instance.
type peerRequest struct {
	service string
	waitlist.PeerRequest
}

// New returns a dispatcher. The caller must also start Run.
func New(d Deps) *Dispatcher {
	return &Dispatcher{
		Deps: d, waitStarted: make(chan struct{}, 1), waitlists: map[string]*waitlist.List{}, fullUntil: map[string]time.Duration{}, consecutiveRefusals: map[string]int{}, peerRequests: map[string][]peerRequest{},
	}
}

// Run dispatches waiting requests periodically until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.waitStarted:
		}
		for ctx.Err() == nil && d.hasWaiting() {
			background.SleepContext(ctx, waitlistCheckInterval)
			d.Dispatch()
		}
	}
}

func (d *Dispatcher) hasWaiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.waitlists {
		if list.Len() > 0 {
			return true
		}
	}
	return false
}

// Dispatch assigns slots that may have become free to waiting requests.
func (d *Dispatcher) Dispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchAll()
}

func (d *Dispatcher) dispatchAll() {
	for service := range d.waitlists {
		d.dispatchService(service)
	}
}

// Waiting lists this instance's waiting requests, for the other instances.
func (d *Dispatcher) Waiting() []waitlist.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.SinceBoot()
	var out []waitlist.Request
	for service, list := range d.waitlists {
		out = append(out, list.Requests(service, now)...)
	}
	return out[:min(len(out), maxSharedRequests)]
}

// WaitingExcept lists the waiting requests of all instances except one, limited to the most urgent ones.
func (d *Dispatcher) WaitingExcept(instance string) []waitlist.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.SinceBoot()
	var out []waitlist.Request
	for service, list := range d.waitlists {
		out = append(out, list.Requests(service, now)...)
	}
	for name, requests := range d.peerRequests {
		if name == instance {
			continue
		}
		for _, r := range requests {
			out = append(out, waitlist.Request{
				ID: r.ID, Service: r.service, Tokens: r.Tokens, SlackMS: (r.LatestStart - now).Milliseconds(), Class: r.Class,
			})
		}
	}
	waitlist.SortForPeers(out)
	return out[:min(len(out), maxSharedRequests)]
}

// ReplacePeerRequests replaces the known waiting requests of another instance.
func (d *Dispatcher) ReplacePeerRequests(instance string, requests []waitlist.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(requests) == 0 {
		delete(d.peerRequests, instance)
		return
	}
	now := d.SinceBoot()
	known := make([]peerRequest, len(requests))
	for i, r := range requests {
		known[i] = peerRequest{service: r.Service, PeerRequest: waitlist.PeerRequest{
			ID: r.ID, Tokens: r.Tokens, Class: r.Class.Valid(),
			LatestStart: now - peerMessageDelay + time.Duration(r.SlackMS)*time.Millisecond,
		}}
	}
	d.peerRequests[instance] = known
}

// AcquireSlot waits for a slot and reserves it. Errors have the kind fault.Overloaded, fault.NoEndpoint, fault.Draining or
// fault.CallerDisconnected and the outcome not run.
func (d *Dispatcher) AcquireSlot(ctx context.Context, req *SlotRequest) (*Slot, error) {
	start := d.SinceBoot()
	if _, engine := d.engineSize(req.Service); engine == nil {
		return nil, fault.New(fault.NoEndpoint, "the service has no engines; come back after Retry-After").WithRetryAfter(minRetryAfter)
	}
	if pause := d.State.PauseRemaining(req.Service, routing.Decode); start+pause > max(start, req.SlotDeadline) {
		return nil, fault.New(fault.Overloaded, "all engines have asked for a pause; come back after Retry-After").
			WithRetryAfter(pause + time.Duration(d.Random()*float64(retryJitter)))
	}
	if delay := d.limitDelay(req.Service, req.Allowed, start); start+delay > max(start, req.SlotDeadline) {
		return nil, fault.New(fault.Overloaded, "all engines are at the request limits that they have announced; come back after Retry-After").
			WithRetryAfter(delay + time.Duration(d.Random()*float64(retryJitter)))
	}
	for {
		if isClosed(req.Stop) {
			return nil, plannedstop.Error()
		}
		if d.hasNoEngine(req.Service, req.Allowed) {
			return nil, d.noEngineError()
		}
		slot, err := d.waitForSlot(ctx, req)
		if err != nil {
			return nil, err
		}
		err = d.reserve(ctx, slot)
		if err == nil {
			d.mu.Lock()
			delete(d.consecutiveRefusals, slot.Endpoint.ID)
			d.mu.Unlock()
			d.logGranted(req, slot, d.SinceBoot()-start)
			d.OnChange()
			return slot, nil
		}
		d.handleRefusal(ctx, req, slot, err)
	}
}

// limitDelay returns the time until the limits of the engines allow a request behind those that wait; zero if an engine has no
// limit.
func (d *Dispatcher) limitDelay(service string, allowed regions.Filter, now time.Duration) time.Duration {
	usable := health.UsableEndpoints(d.Health, d.State.Stage(service, routing.Decode), endpointID, now)
	usable = slices.DeleteFunc(slices.Clone(usable), func(ep routing.Endpoint) bool { return !allowed.Allows(ep.Domain) })
	d.mu.Lock()
	ahead := d.waitlistFor(service).Len() + len(d.peerRequestsFor(service))
	d.mu.Unlock()
	return d.Limits.QueueDelay(usable, ahead)
}

// logGranted logs a granted slot with the data that the choice was based on: the known load of the engine and the number of
// instances that it covers.
func (d *Dispatcher) logGranted(req *SlotRequest, slot *Slot, waited time.Duration) {
	load := d.EndpointLoad.TotalAt(slot.Endpoint.ID)
	d.Logger.Info().Str("event", "place.granted").Str("request", req.RequestID).Str("endpoint", slot.Endpoint.ID).
		Int("requests", load.Requests).Int64("tokens", load.Tokens).Int("instances", d.InstanceCount()).
		Int64("waited_ms", waited.Milliseconds()).Msg("")
}

// decodeCandidates lists the decode engines of a service.
func (d *Dispatcher) decodeCandidates(service string, now time.Duration) []engines.Candidate {
	endpoints := health.UsableEndpoints(d.Health, d.State.Stage(service, routing.Decode), endpointID, now)
	paced := d.Speeds.InForce(service)
	out := make([]engines.Candidate, 0, len(endpoints))
	for _, ep := range endpoints {
		load := d.EndpointLoad.TotalAt(ep.ID)
		out = append(out, engines.Candidate{
			Endpoint: ep, Load: load, FailureRate: d.Health.FailureRate(ep.ID, now),
			Full: now < d.fullUntil[ep.ID] || d.Limits.Delay(ep) > 0, Withheld: paced && d.withheld(ep, load.Requests, now),
		})
	}
	return out
}

func endpointID(ep routing.Endpoint) string { return ep.ID }

// withheld reports whether the pace of an engine at which all instances have the given number of requests allows no further one.
func (d *Dispatcher) withheld(ep routing.Endpoint, requests int, now time.Duration) bool {
	if !d.Pace.InForce(ep.Service) {
		return false
	}
	usual := d.Speeds.Usual(speed.Work{Service: ep.Service, Step: speed.FirstEvent})
	return d.Pace.Withheld(ep, pace.Load{Local: d.EndpointLoad.LocalAt(ep.ID).Requests, Total: requests}, usual, now)
}

func (d *Dispatcher) engineSize(service string) (engines.Capacity, *routing.Engine) {
	s := d.State.Service(service)
	if s == nil || s.Engine == nil {
		return engines.Capacity{}, nil
	}
	return engines.Capacity{
		Slots: s.Engine.Slots, Tokens: d.MemoryEstimator.UsableMemory(s.Name, s.Engine.MemoryTokens), Total: s.Engine.MemoryTokens,
	}, s.Engine
}

func (d *Dispatcher) reserve(ctx context.Context, slot *Slot) error {
	_, engine := d.engineSize(slot.service)
	if engine == nil || engine.MaxReservation <= 0 || d.Limits.Limited(slot.Endpoint) {
		return nil // a reservation would count towards the limit like the request itself
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	r, err := d.Engines.Reserve(ctx, slot.Endpoint, engines.ReservationTokens, engine.MaxReservation)
	if err != nil {
		return err
	}
	slot.Reservation = &r
	return nil
}

// PruneEndpoints removes the state of engines that are no longer listed.
func (d *Dispatcher) PruneEndpoints(listed func(endpoint string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.fullUntil, func(id string, _ time.Duration) bool { return !listed(id) })
	maps.DeleteFunc(d.consecutiveRefusals, func(id string, _ int) bool { return !listed(id) })
}

// handleRefusal removes the request's load from the engine and marks the engine as full for a while.
func (d *Dispatcher) handleRefusal(ctx context.Context, req *SlotRequest, slot *Slot, err error) {
	now := d.SinceBoot()
	d.EndpointLoad.Subtract(slot.Endpoint.ID, slot.load)
	d.mu.Lock()
	d.fullUntil[slot.Endpoint.ID] = now + min(fullBackoff<<min(d.consecutiveRefusals[slot.Endpoint.ID], 8), maxFullBackoff)
	d.consecutiveRefusals[slot.Endpoint.ID]++
	d.mu.Unlock()
	if ctx.Err() != nil || errors.Is(err, routing.ErrEvacuated) {
		return
	}
	d.Pace.RecordRefusal(slot.Endpoint, now)
	if !errors.Is(err, routing.ErrNotRun) || health.IsUnreachable(err) {
		d.Health.RecordFailure(slot.Endpoint.ID, true, now)
		d.OnChange()
	} else {
		d.MemoryEstimator.RecordShortage(req.Service)
	}
	d.Logger.Info().Str("event", "place.refused").Str("request", req.RequestID).Str("endpoint", slot.Endpoint.ID).
		Int64("tokens", slot.load.Tokens).Err(err).Msg("")
}

// dispatchService assigns free slots to the waiting requests of all instances in order, and refuses requests of this instance
// that cannot be answered on time.
func (d *Dispatcher) dispatchService(service string) {
	list, peers := d.waitlists[service], d.peerRequestsFor(service)
	if list.Len()+len(peers) == 0 {
		return
	}
	list.RefuseIf(func(e *waitlist.Entry) bool { return d.hasNoEngine(service, e.Allowed) })
	now := d.SinceBoot()
	capacity, _ := d.engineSize(service)
	candidates := d.decodeCandidates(service, now)
	turnover := waitlist.Turnover{MeanHoldTime: d.Timings.MeanHoldTime(service)}
	for _, c := range candidates {
		turnover.Running += c.Load.Requests
	}
	list.Dispatch(now, peers, turnover, func(tokens int64, own *waitlist.Entry) *routing.Endpoint {
		return d.assignEngine(candidates, capacity, tokens, own)
	})
}

// assignEngine selects an engine from the candidates, whose request limit admits the request, and adds the request to that
// candidate's load.
func (d *Dispatcher) assignEngine(candidates []engines.Candidate, capacity engines.Capacity, tokens int64, own *waitlist.Entry) *routing.Endpoint {
	allowed := candidates
	if own != nil && (len(own.ExcludedEngines) > 0 || own.Allowed != nil) {
		allowed = slices.DeleteFunc(slices.Clone(candidates), func(c engines.Candidate) bool {
			return own.ExcludedEngines[c.Endpoint.ID] || !own.Allowed.Allows(c.Endpoint.Domain)
		})
	}
	best := engines.SelectDecode(allowed, capacity, tokens, d.Domain, d.Random())
	if best < 0 {
		d.keepEngines(candidates, own)
		return nil
	}
	ep := allowed[best].Endpoint
	chosen := slices.IndexFunc(candidates, func(c engines.Candidate) bool { return c.Endpoint.ID == ep.ID })
	if own == nil {
		// A request of another instance is admitted there. What the limit still allows is left to it.
		candidates[chosen].Full = d.Limits.Limited(ep)
	} else if !d.Limits.Admit(ep) {
		candidates[chosen].Full = true
		return d.assignEngine(candidates, capacity, tokens, own)
	}
	candidates[chosen].Load.Requests++
	candidates[chosen].Load.Tokens += tokens
	candidates[chosen].Withheld = d.withheld(ep, candidates[chosen].Load.Requests, d.SinceBoot())
	return &ep
}

// keepEngines marks the engines that an on-time request may use as full, so that later requests do not get them, if the request may not
// run everywhere.
func (d *Dispatcher) keepEngines(candidates []engines.Candidate, own *waitlist.Entry) {
	if own == nil || own.Allowed == nil || d.SinceBoot() > own.LatestStart {
		return
	}
	for i, c := range candidates {
		candidates[i].Full = c.Full || own.Allowed(c.Endpoint.Domain) && !own.ExcludedEngines[c.Endpoint.ID]
	}
}

func (d *Dispatcher) peerRequestsFor(service string) []waitlist.PeerRequest {
	var out []waitlist.PeerRequest
	for _, requests := range d.peerRequests {
		for _, r := range requests {
			if r.service == service {
				out = append(out, r.PeerRequest)
			}
		}
	}
	return out
}
