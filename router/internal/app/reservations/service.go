// Package reservations maintains the reservation tables of the endpoints that this instance owns, and calls the owners of the
// other endpoints.
package reservations

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/domain/reservation"
	"tanagerwood.dev/router/internal/port"
)

const (
	// ownerTimeout is the timeout of a call to an owner; peers are less than 2 ms away.
	ownerTimeout = 50 * time.Millisecond
	// ownerBackoff is how long an owner is not called after it failed to answer. A dead owner then costs one timeout, and not one
	// for each request, until its heartbeats are found missing.
	ownerBackoff = 500 * time.Millisecond
	// requestListInterval is the interval at which the request list of an owned engine is read.
	requestListInterval = time.Second
	requestListTimeout  = time.Second
	// freshListAge is the age below which a list passed to Observe is not read again. It is longer than requestListInterval, at
	// which other components read the list as well.
	freshListAge = requestListInterval * 5 / 4
	// rebuildTimeout is the timeout for reading the request list before the first reservation of a new owner. It is shorter than
	// ownerTimeout, so that the caller still gets the reply in time.
	rebuildTimeout = 30 * time.Millisecond
	// releaseTimeout is the timeout of a release message. If the message is lost, the reservation expires.
	releaseTimeout = time.Second
)

// Metric names.
const (
	MetricGranted       = "reservations.granted"
	MetricRefused       = "reservations.refused"
	MetricEstimated     = "reservations.estimated"
	MetricOwnerRequests = "reservations.asked"
)

// LoadSource provides the load view of the endpoints.
type LoadSource interface{ View() *endpointload.View }

// Deps holds the dependencies of the service.
type Deps struct {
	Membership port.Membership
	Peers      port.Peers
	Engine     port.Engine
	Loads      LoadSource
	// Config is used to look up owned endpoints that are not in the load view.
	Config  port.Config
	Clock   port.Clock
	Metrics metrics.Registry
}

// Service reserves and releases capacity at endpoints. It is safe for concurrent use; each endpoint has its own lock.
type Service struct {
	Deps
	tables            sync.Map // endpoint name to *table: state of owned endpoints
	estimates         sync.Map // endpoint name to *table: estimates used when the owner does not answer
	ownerBackoffUntil sync.Map // owner name to time.Duration: time since boot until which the owner is not called

	granted, refused, estimated, ownerRequests metrics.Counter
}

// New returns a Service.
func New(deps Deps) *Service {
	return &Service{
		Deps:          deps,
		granted:       metrics.GetOrRegisterCounter(MetricGranted, deps.Metrics),
		refused:       metrics.GetOrRegisterCounter(MetricRefused, deps.Metrics),
		estimated:     metrics.GetOrRegisterCounter(MetricEstimated, deps.Metrics),
		ownerRequests: metrics.GetOrRegisterCounter(MetricOwnerRequests, deps.Metrics),
	}
}

// table is the state of one endpoint.
type table struct {
	mu      sync.Mutex
	decode  *reservation.DecodeTable
	prefill *reservation.PrefillTable
	// listed is set once the engine's request list has been read in the current ownership.
	listed   bool
	listedAt time.Duration
	// reportedAt is the time of the load report that the estimate was last built from.
	reportedAt time.Duration
}

func newTable() *table {
	return &table{decode: reservation.NewDecodeTable(), prefill: reservation.NewPrefillTable()}
}

func loadTable(m *sync.Map, endpoint string) *table {
	if t, ok := m.Load(endpoint); ok {
		return t.(*table)
	}
	t, _ := m.LoadOrStore(endpoint, newTable())
	return t.(*table)
}

// Reserve requests a reservation from the endpoint's owner, or makes a local estimate if the owner does not answer.
func (s *Service) Reserve(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	m.From, m.Endpoint = s.Membership.Self().MemberID, ep.Name
	owner, isOwner := s.Membership.Owner(ep.Name)
	if isOwner {
		return s.reserveOwned(ctx, ep, m)
	}
	if reply, ok := s.askOwner(ctx, owner, m); ok {
		return reply
	}
	return s.ReserveLocally(ep, m)
}

func (s *Service) askOwner(ctx context.Context, owner peer.Member, m peer.ReserveRequest) (peer.ReserveReply, bool) {
	if until, ok := s.ownerBackoffUntil.Load(owner.Name); owner.Name == "" || ok && s.Clock.Boot() < until.(time.Duration) {
		return peer.ReserveReply{}, false
	}
	s.ownerRequests.Inc(1)
	timed, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply, err := s.Peers.Reserve(timed, owner.Address, m)
	if err != nil {
		if ctx.Err() == nil {
			s.ownerBackoffUntil.Store(owner.Name, s.Clock.Boot()+ownerBackoff)
		}
		return reply, false
	}
	return reply, !reply.NotOwner
}

// HandleReserve handles a reservation request of another instance.
func (s *Service) HandleReserve(ctx context.Context, m peer.ReserveRequest) peer.ReserveReply {
	ep, known := s.findEndpoint(m.Endpoint)
	if _, isOwner := s.Membership.Owner(m.Endpoint); !isOwner || !known {
		return peer.ReserveReply{NotOwner: true}
	}
	return s.reserveOwned(ctx, ep, m)
}

// HandleRelease handles a release message of another instance.
func (s *Service) HandleRelease(m peer.ReleaseRequest) {
	if t, ok := s.tables.Load(m.Endpoint); ok {
		t.(*table).release(s.Clock.Boot(), m.Attempt)
	}
}

// Release releases a reservation without waiting for the owner.
func (s *Service) Release(ep port.Endpoint, attempt string) {
	now := s.Clock.Boot()
	m := peer.ReleaseRequest{Endpoint: ep.Name, Attempt: attempt}
	if t, ok := s.estimates.Load(ep.Name); ok {
		t.(*table).release(now, attempt)
	}
	owner, isOwner := s.Membership.Owner(ep.Name)
	if isOwner {
		s.HandleRelease(m)
		return
	}
	if until, ok := s.ownerBackoffUntil.Load(owner.Name); owner.Name == "" || ok && now < until.(time.Duration) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = s.Peers.Release(ctx, owner.Address, m) // if lost, the entry expires once the engine no longer lists the request
	}()
}

func (t *table) release(now time.Duration, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decode.Release(now, attempt)
	t.prefill.Release(now, attempt)
}

// reserveOwned reserves at an endpoint that this instance owns.
func (s *Service) reserveOwned(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	if ep.Leaving {
		s.refused.Inc(1)
		return peer.ReserveReply{FreeInMS: leavingWaitMS}
	}
	t := loadTable(&s.tables, ep.Name)
	t.mu.Lock()
	needsList := !t.listed
	t.mu.Unlock()
	if needsList {
		timed, cancel := context.WithTimeout(ctx, rebuildTimeout)
		s.readRequestList(timed, ep)
		cancel()
	}
	now := s.Clock.Boot()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.updateSize(t, ep)
	return s.countReply(t.reserve(now, m))
}

// leavingWaitMS is the wait reported for a leaving endpoint. It keeps callers from trying the endpoint again.
const leavingWaitMS = int64(time.Hour / time.Millisecond)

func (s *Service) countReply(r peer.ReserveReply) peer.ReserveReply {
	if r.Granted {
		s.granted.Inc(1)
	} else {
		s.refused.Inc(1)
	}
	return r
}

// reserve reserves in the table. The caller must hold t.mu.
func (t *table) reserve(now time.Duration, m peer.ReserveRequest) peer.ReserveReply {
	within := time.Duration(m.MaxDelayMS) * time.Millisecond
	var at time.Duration
	var granted bool
	if m.Prefill {
		at, granted = t.prefill.Reserve(now, reservation.PrefillRequest{
			Attempt: m.Attempt, UncachedTokens: m.PromptTokens - m.CachedTokens, MaxDelay: within,
		})
	} else {
		at, granted = t.decode.Reserve(now, reservation.DecodeRequest{
			Attempt: m.Attempt, Requester: m.From.Name, NeededAt: now + time.Duration(m.StartInMS)*time.Millisecond, MaxDelay: within,
			PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens, KVBytes: m.KVBytes,
		})
	}
	return peer.ReserveReply{Granted: granted, FreeInMS: max(0, (at - now).Milliseconds())}
}

// updateSize sets the endpoint's capacity from the load view, or from its pool if the view does not include it.
func (s *Service) updateSize(t *table, ep port.Endpoint) {
	state := s.Loads.View().ByName[ep.Name]
	if state == nil {
		pool, ok := s.Config.Current().Pool(ep.Pool)
		if !ok {
			return
		}
		state = &endpointload.State{Endpoint: ep, Pool: pool}
	}
	t.prefill.SetRate(state.PrefillRate())
	t.decode.SetCapacity(reservation.DecodeCapacity{
		Slots: state.Slots(), Blocks: state.Blocks(), BlockTokens: state.BlockTokens(),
		LinkBytesPerSecond: state.LinkRate(), TokenInterval: state.TokenInterval(),
	})
}

// findEndpoint finds a model endpoint by name, with its most recent leaving state.
func (s *Service) findEndpoint(name string) (port.Endpoint, bool) {
	if state := s.Loads.View().ByName[name]; state != nil {
		ep := state.Endpoint
		ep.Leaving = state.Leaving
		return ep, true
	}
	for _, ep := range s.Config.Endpoints() {
		if ep.Name == name {
			return ep, true
		}
	}
	return port.Endpoint{}, false
}

// readRequestList reads the engine's request list and updates the table.
func (s *Service) readRequestList(ctx context.Context, ep port.Endpoint) {
	list, err := s.Engine.Requests(ctx, ep)
	if err != nil {
		return
	}
	s.Observe(ep, list)
}

// Observe updates the table of an owned engine from its request list. Other components that read the list may call it.
func (s *Service) Observe(ep port.Endpoint, list engine.RequestList) {
	now := s.Clock.Boot()
	t := loadTable(&s.tables, ep.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	s.updateSize(t, ep)
	t.listed, t.listedAt = true, now
	if ep.Role == platform.RolePrefill {
		t.prefill.Reconcile(now, list.Requests)
	} else {
		t.decode.Reconcile(now, list.Requests)
	}
}

// Run reads the request lists of owned endpoints for which Observe was not called recently, and drops the tables of endpoints
// that are no longer owned. It returns when ctx ends.
func (s *Service) Run(ctx context.Context) {
	background.RunEvery(ctx, requestListInterval, s.refreshOwned)
}

func (s *Service) hasFreshList(endpoint string) bool {
	t := loadTable(&s.tables, endpoint)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed && s.Clock.Boot()-t.listedAt < freshListAge
}

func (s *Service) refreshOwned(ctx context.Context) {
	timed, cancel := context.WithTimeout(ctx, requestListTimeout)
	defer cancel()
	var wait sync.WaitGroup
	owned := map[string]bool{}
	for _, ep := range s.Config.Endpoints() {
		if ep.Role != platform.RolePrefill && ep.Role != platform.RoleDecode {
			continue
		}
		if _, isOwner := s.Membership.Owner(ep.Name); isOwner {
			owned[ep.Name] = true
			if !s.hasFreshList(ep.Name) {
				wait.Go(func() { s.readRequestList(timed, ep) })
			}
		}
	}
	wait.Wait()
	s.tables.Range(func(name, _ any) bool {
		if !owned[name.(string)] {
			s.tables.Delete(name)
		}
		return true
	})
}
