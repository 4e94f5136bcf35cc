// Package reservations keeps the reservation tables of the endpoints that this instance owns, and asks the owners of
// the others.
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
	// ownerTimeout is how long an owner may take to answer; peers are less than 2 ms away.
	ownerTimeout = 50 * time.Millisecond
	// ownerPause is how long an owner that did not answer is not asked, so that a dead owner costs one timeout and not
	// one for each request until the heartbeats show it dead.
	ownerPause = 500 * time.Millisecond
	// listInterval is the time between two readings of an owned engine's request list.
	listInterval = time.Second
	listTimeout  = time.Second
	// freshList is the age below which a list that Observe got is not read again. It is longer than the period of other
	// readers, which is that of this one.
	freshList = listInterval * 5 / 4
	// rebuildTimeout bounds the reading that a new owner's first reservation waits for. It leaves time within ownerTimeout.
	rebuildTimeout = 30 * time.Millisecond
	// releaseTimeout bounds the message that gives a reservation back; a lost one lapses.
	releaseTimeout = time.Second
)

// Names of the metrics.
const (
	MetricGranted       = "reservations.granted"
	MetricRefused       = "reservations.refused"
	MetricEstimated     = "reservations.estimated"
	MetricOwnerRequests = "reservations.asked"
)

// LoadSource gives the view of the endpoints.
type LoadSource interface{ View() *endpointload.View }

// Deps are the parts that the service works with.
type Deps struct {
	Membership port.Membership
	Peers      port.Peers
	Engine     port.Engine
	Loads      LoadSource
	// Config finds owned endpoints that are not in the view.
	Config  port.Config
	Clock   port.Clock
	Metrics metrics.Registry
}

// Service reserves and releases. It is safe for concurrent use; each endpoint has its own lock.
type Service struct {
	Deps
	tables sync.Map // endpoint name to *table: state of owned endpoints
	local  sync.Map // endpoint name to *table: estimates for use without the owner
	paused sync.Map // owner name to time.Duration: until when it is not asked

	granted, refused, estimated, asked metrics.Counter
}

// New returns a service.
func New(d Deps) *Service {
	return &Service{
		Deps:      d,
		granted:   metrics.GetOrRegisterCounter(MetricGranted, d.Metrics),
		refused:   metrics.GetOrRegisterCounter(MetricRefused, d.Metrics),
		estimated: metrics.GetOrRegisterCounter(MetricEstimated, d.Metrics),
		asked:     metrics.GetOrRegisterCounter(MetricOwnerRequests, d.Metrics),
	}
}

// table is the state of one endpoint.
type table struct {
	mu      sync.Mutex
	decode  *reservation.DecodeTable
	prefill *reservation.PrefillTable
	// listed is true once the engine's request list was read in this ownership.
	listed   bool
	listedAt time.Duration
	// reportedAt is the load report that an estimate was last built from.
	reportedAt time.Duration
}

func newTable() *table {
	return &table{decode: reservation.NewDecodeTable(), prefill: reservation.NewPrefillTable()}
}

func load(m *sync.Map, endpoint string) *table {
	if t, ok := m.Load(endpoint); ok {
		return t.(*table)
	}
	t, _ := m.LoadOrStore(endpoint, newTable())
	return t.(*table)
}

// Reserve asks the endpoint's owner for a reservation, or estimates locally if the owner does not answer.
func (s *Service) Reserve(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	m.From, m.Endpoint = s.Membership.Self().MemberID, ep.Name
	owner, self := s.Membership.Owner(ep.Name)
	if self {
		return s.own(ctx, ep, m)
	}
	if reply, ok := s.ask(ctx, owner, m); ok {
		return reply
	}
	return s.Estimate(ep, m)
}

func (s *Service) ask(ctx context.Context, owner peer.Member, m peer.ReserveRequest) (peer.ReserveReply, bool) {
	if until, ok := s.paused.Load(owner.Name); owner.Name == "" || ok && s.Clock.Boot() < until.(time.Duration) {
		return peer.ReserveReply{}, false
	}
	s.asked.Inc(1)
	timed, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply, err := s.Peers.Reserve(timed, owner.Address, m)
	if err != nil {
		if ctx.Err() == nil {
			s.paused.Store(owner.Name, s.Clock.Boot()+ownerPause)
		}
		return reply, false
	}
	return reply, !reply.NotOwner
}

// HandleReserve answers another instance.
func (s *Service) HandleReserve(ctx context.Context, m peer.ReserveRequest) peer.ReserveReply {
	ep, known := s.endpoint(m.Endpoint)
	if _, self := s.Membership.Owner(m.Endpoint); !self || !known {
		return peer.ReserveReply{NotOwner: true}
	}
	return s.own(ctx, ep, m)
}

// HandleRelease takes a reservation back for another instance.
func (s *Service) HandleRelease(m peer.ReleaseRequest) {
	if t, ok := s.tables.Load(m.Endpoint); ok {
		t.(*table).release(s.Clock.Boot(), m.Attempt)
	}
}

// Release gives a reservation back without waiting for the owner.
func (s *Service) Release(ep port.Endpoint, attempt string) {
	now := s.Clock.Boot()
	m := peer.ReleaseRequest{Endpoint: ep.Name, Attempt: attempt}
	if t, ok := s.local.Load(ep.Name); ok {
		t.(*table).release(now, attempt)
	}
	owner, self := s.Membership.Owner(ep.Name)
	if self {
		s.HandleRelease(m)
		return
	}
	if until, ok := s.paused.Load(owner.Name); owner.Name == "" || ok && now < until.(time.Duration) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = s.Peers.Release(ctx, owner.Address, m) // a lost message lapses with the engine's list
	}()
}

func (t *table) release(now time.Duration, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decode.Release(now, attempt)
	t.prefill.Release(now, attempt)
}

// own reserves at an endpoint that this instance owns.
func (s *Service) own(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	if ep.Leaving {
		s.refused.Inc(1)
		return peer.ReserveReply{InMS: leavingMS}
	}
	t := load(&s.tables, ep.Name)
	t.mu.Lock()
	fresh := !t.listed
	t.mu.Unlock()
	if fresh {
		timed, cancel := context.WithTimeout(ctx, rebuildTimeout)
		s.list(timed, ep)
		cancel()
	}
	now := s.Clock.Boot()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.size(t, ep)
	return s.count(t.reserve(now, m))
}

// leavingMS keeps askers away from a leaving endpoint.
const leavingMS = int64(time.Hour / time.Millisecond)

func (s *Service) count(r peer.ReserveReply) peer.ReserveReply {
	if r.Granted {
		s.granted.Inc(1)
	} else {
		s.refused.Inc(1)
	}
	return r
}

// reserve is called with the lock held.
func (t *table) reserve(now time.Duration, m peer.ReserveRequest) peer.ReserveReply {
	within := time.Duration(m.WithinMS) * time.Millisecond
	var at time.Duration
	var granted bool
	if m.Prefill {
		at, granted = t.prefill.Reserve(now, reservation.PrefillRequest{
			Attempt: m.Attempt, UncachedTokens: m.PromptTokens - m.CachedTokens, MaxDelay: within,
		})
	} else {
		at, granted = t.decode.Reserve(now, reservation.DecodeRequest{
			Attempt: m.Attempt, Requester: m.From.Name, NeededAt: now + time.Duration(m.InMS)*time.Millisecond, MaxDelay: within,
			PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens, KVBytes: m.KVBytes,
		})
	}
	return peer.ReserveReply{Granted: granted, InMS: max(0, (at - now).Milliseconds())}
}

// size takes the endpoint's size from the view, or from its pool.
func (s *Service) size(t *table, ep port.Endpoint) {
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

// endpoint finds a model endpoint by name, with the newest word on leaving.
func (s *Service) endpoint(name string) (port.Endpoint, bool) {
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

// list reads the engine's request list into the table.
func (s *Service) list(ctx context.Context, ep port.Endpoint) {
	list, err := s.Engine.Requests(ctx, ep)
	if err != nil {
		return
	}
	s.Observe(ep, list)
}

// Observe takes the request list of an owned engine. Other readers of the list may pass it on.
func (s *Service) Observe(ep port.Endpoint, list engine.RequestList) {
	now := s.Clock.Boot()
	t := load(&s.tables, ep.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	s.size(t, ep)
	t.listed, t.listedAt = true, now
	if ep.Role == platform.RolePrefill {
		t.prefill.Reconcile(now, list.Requests)
	} else {
		t.decode.Reconcile(now, list.Requests)
	}
}

// Run reads the lists of the owned endpoints that nobody has passed to Observe lately, and forgets endpoints that are not
// owned any more, until the context ends.
func (s *Service) Run(ctx context.Context) {
	background.RunEvery(ctx, listInterval, s.listOwned)
}

func (s *Service) observedLately(endpoint string) bool {
	t := load(&s.tables, endpoint)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed && s.Clock.Boot()-t.listedAt < freshList
}

func (s *Service) listOwned(ctx context.Context) {
	timed, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var wait sync.WaitGroup
	owned := map[string]bool{}
	for _, ep := range s.Config.Endpoints() {
		if ep.Role != platform.RolePrefill && ep.Role != platform.RoleDecode {
			continue
		}
		if _, self := s.Membership.Owner(ep.Name); self {
			owned[ep.Name] = true
			if !s.observedLately(ep.Name) {
				wait.Go(func() { s.list(timed, ep) })
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
