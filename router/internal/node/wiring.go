package node

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/platform"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/app/forward"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/rebalance"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/memestimate"
	"tanagerwood.dev/router/internal/domain/retrybudget"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/stages"
)

// parts are the components that are used while the node runs. They are resolved once: the injector is not safe for
// concurrent use.
type parts struct {
	mirror     *routingcache.Cache
	peers      *gossip.Service
	dispatcher *dispatch.Dispatcher
	rebalancer *rebalance.Rebalancer
	handler    *frontend.Handler
	endpoints  *platform.Endpoints
	health     *health.Tracker
	available  *availability.Tracker
	budget     *retrybudget.Budget
	metrics    metrics.Registry
}

func (n *Node) resolve() *parts {
	return &parts{
		mirror:     do.MustInvoke[*routingcache.Cache](n.injector),
		peers:      do.MustInvoke[*gossip.Service](n.injector),
		dispatcher: do.MustInvoke[*dispatch.Dispatcher](n.injector),
		rebalancer: do.MustInvoke[*rebalance.Rebalancer](n.injector),
		handler:    do.MustInvoke[*frontend.Handler](n.injector),
		endpoints:  do.MustInvoke[*platform.Endpoints](n.injector),
		health:     do.MustInvoke[*health.Tracker](n.injector),
		available:  do.MustInvoke[*availability.Tracker](n.injector),
		budget:     do.MustInvoke[*retrybudget.Budget](n.injector),
		metrics:    do.MustInvoke[metrics.Registry](n.injector),
	}
}

// state joins what the components read of the configuration and the endpoints.
type state struct {
	*routingcache.Cache
	transitions  *stages.Transitions
	availability *availability.Tracker
	// leavingGrace is for how long endpoints that say that they leave are used if a service has no others.
	leavingGrace time.Duration
	boot         func() time.Duration
}

// Services implements rebalance.State.
func (s state) Services() []*routing.Service {
	if t := s.Table(); t != nil {
		return t.Services()
	}
	return nil
}

// CountChanging implements rebalance.State.
func (s state) CountChanging(service string, to routing.Stage) (count int) {
	now := s.boot()
	for _, ep := range s.Endpoints().ByID {
		if next, ok := s.transitions.Target(ep.ID, ep.Stage, now); ok && next == to && ep.Service == service && !ep.Leaving {
			count++
		}
	}
	return count
}

// IsListed implements rebalance.State.
func (s state) IsListed(endpoint string) bool {
	_, ok := s.Endpoints().ByID[endpoint]
	return ok
}

// Service implements dispatch.State.
func (s state) Service(name string) *routing.Service {
	if t := s.Table(); t != nil {
		return t.Service(name)
	}
	return nil
}

// Stage implements dispatch.State, forward.State and rebalance.State.
func (s state) Stage(service string, stage routing.Stage) []routing.Endpoint {
	return s.availability.Usable(s.listed(service, stage), s.leavingGrace, s.boot())
}

// Returns implements dispatch.State and forward.State.
func (s state) Returns(service string, stage routing.Stage) time.Duration {
	return s.availability.PauseRemaining(s.listed(service, stage), s.boot())
}

// Paused implements forward.State.
func (s state) Paused(ep routing.Endpoint) bool { return s.availability.Paused(ep, s.boot()) }

// listed lists the endpoints of a service that the platform lists in a stage.
func (s state) listed(service string, stage routing.Stage) []routing.Endpoint {
	var out []routing.Endpoint
	now := s.boot()
	for _, ep := range s.Endpoints().ByID {
		if ep.Service != service || ep.Stage != stage || ep.Leaving {
			continue
		}
		if _, changing := s.transitions.Target(ep.ID, stage, now); !changing {
			out = append(out, ep)
		}
	}
	return out
}

// instances is the number of instances that share the work. The functions here are called only while the node runs; they
// break the cycle between the peers and the components that the peers need.
func (n *Node) instances() int { return n.parts.Load().peers.FleetSize() }

// announce has the other instances told at once what has changed.
func (n *Node) announce() { n.parts.Load().peers.TriggerReport() }

// leavingGracePart divides the time within which leaving endpoints must get no more requests.
const leavingGracePart = 2

// hearNotice takes what an endpoint says of itself.
func (n *Node) hearNotice(ep routing.Endpoint, notice routing.Notice) {
	p := n.parts.Load()
	if !p.available.RecordNotice(ep, notice, clock.System{}.Boot()) {
		return
	}
	n.options.Logger.Info().Str("event", "endpoint.notice").Str("endpoint", ep.ID).Bool("leaving", notice.Leaving).
		Int64("pause_ms", notice.Pause.Milliseconds()).Msg("")
	if notice.Leaving {
		p.peers.TriggerStatusReport()
	}
}

func (n *Node) newInjector() do.Injector {
	i := do.New()
	s, logger, boot := n.options.Settings, n.options.Logger, clock.System{}.Boot
	learnt := latency.New()
	available := availability.New(rand.Float64)
	do.ProvideValue(i, available)
	store := platform.NewStore(s.PlatformAddress, silence)
	do.ProvideValue(i, store)
	do.ProvideValue(i, newRegistry(n.options.DroppedLines, learnt.InvalidSamples, available, store.Era))
	do.ProvideValue(i, inflight.NewTracker())
	do.ProvideValue(i, learnt)
	do.Provide(i, func(i do.Injector) (*sharedlimit.Limiter, error) {
		m := do.MustInvoke[*routingcache.Cache](i)
		return sharedlimit.New(func(name string) *routing.Customer {
			if t := m.Table(); t != nil {
				return t.CustomerByName(name)
			}
			return nil
		}), nil
	})
	do.ProvideValue(i, health.NewTracker(n.instances))
	do.ProvideValue(i, stages.NewTransitions())
	endpoints := platform.NewEndpoints(endpointDial, silence, maxIdle)
	endpoints.OnNotice(n.hearNotice)
	do.ProvideValue(i, endpoints)
	do.Provide(i, func(i do.Injector) (*routingcache.Cache, error) {
		limits := routingcache.PropagationLimits{Config: s.ConfigPropagationLimit, Endpoints: s.DrainPropagationLimit}
		return routingcache.New(do.MustInvoke[*platform.Store](i), limits, logger, boot), nil
	})
	do.Provide(i, func(i do.Injector) (state, error) {
		return state{Cache: do.MustInvoke[*routingcache.Cache](i), transitions: do.MustInvoke[*stages.Transitions](i), availability: available,
			leavingGrace: s.DrainPropagationLimit / leavingGracePart, boot: boot}, nil
	})
	do.Provide(i, func(i do.Injector) (*gossip.Service, error) {
		return gossip.New(gossip.Deps{
			Self: routing.Instance{
				Name: s.Instance, Address: s.PeerListen, Domain: s.Domain, Incarnation: uint64(time.Now().UnixNano()),
				Capacity: int(100 * s.CPUShare),
			},
			Seeds: s.SeedAddresses(), Transport: do.MustInvoke[gossip.Transport](i), Registry: do.MustInvoke[*platform.Store](i),
			Mirror: do.MustInvoke[*routingcache.Cache](i), Limiter: do.MustInvoke[*sharedlimit.Limiter](i),
			EndpointLoad: do.MustInvoke[*inflight.Tracker](i), Queue: do.MustInvoke[*dispatch.Dispatcher](i), Transitions: do.MustInvoke[*stages.Transitions](i),
			Health: do.MustInvoke[*health.Tracker](i), Availability: available, Boot: boot, Logger: logger,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*retrybudget.Budget, error) {
		return retrybudget.New(retrybudget.Settings{Ratio: s.RetryRatio, FixedRetries: s.FixedRetries, Window: s.RetryWindow},
			n.instances), nil
	})
	do.Provide(i, func(i do.Injector) (*dispatch.Dispatcher, error) {
		return dispatch.New(dispatch.Deps{
			Engines: do.MustInvoke[*platform.Endpoints](i), State: do.MustInvoke[state](i),
			EndpointLoad: do.MustInvoke[*inflight.Tracker](i), Health: do.MustInvoke[*health.Tracker](i), Timings: do.MustInvoke[*latency.Estimator](i),
			MemoryEstimator: memestimate.New(), Domain: s.Domain, InstanceCount: n.instances,
			Random: rand.Float64, OnChange: n.announce, SinceBoot: boot, Logger: logger,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*forward.Forwarder, error) {
		return forward.New(forward.Deps{
			State: do.MustInvoke[state](i), Client: do.MustInvoke[*platform.Endpoints](i),
			Dispatcher: do.MustInvoke[*dispatch.Dispatcher](i), RateLimiter: do.MustInvoke[*sharedlimit.Limiter](i),
			RetryBudget: do.MustInvoke[*retrybudget.Budget](i), EndpointLoad: do.MustInvoke[*inflight.Tracker](i),
			Health: do.MustInvoke[*health.Tracker](i), Timings: do.MustInvoke[*latency.Estimator](i), Domain: s.Domain,
			InstanceCount: n.instances,
			PeersSynced:   func() bool { return n.parts.Load().peers.Joined() },
			AwaitPeerSync: func(done <-chan struct{}) { n.parts.Load().peers.RefreshView(done) },
			Random:        rand.Float64, OnChange: n.announce, SinceBoot: boot, Logger: logger, Metrics: do.MustInvoke[metrics.Registry](i),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*rebalance.Rebalancer, error) {
		peers := do.MustInvoke[*gossip.Service](i)
		return rebalance.New(rebalance.Deps{
			InstanceName: s.Instance, State: do.MustInvoke[state](i), EndpointLoad: do.MustInvoke[*inflight.Tracker](i), Transitions: do.MustInvoke[*stages.Transitions](i),
			Claims: do.MustInvoke[*platform.Store](i), Orders: do.MustInvoke[*platform.Endpoints](i),
			IsLeader:             func() bool { return peers.Joined() && peers.IsLeader() && n.phase() == frontend.Serving },
			OnTransitionsChanged: func() { peers.SendState(false) }, Boot: boot, Logger: logger,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*frontend.Handler, error) {
		return frontend.New(frontend.Deps{
			CallerDecoder: platform.Callers{}, RequestHandler: do.MustInvoke[*forward.Forwarder](i), SinceBoot: boot, Logger: logger,
			MaxBufferedBodyBytes: int64(bodyPart * float64(s.MemoryMB) * (1 << 20)), StopPhase: n.phase,
		}), nil
	})
	return i
}
