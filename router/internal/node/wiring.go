package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"tanagerwood.dev/api/deadpeer"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/platform"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/app/crashstore"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/app/forward"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/rebalance"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/coldstart"
	"tanagerwood.dev/router/internal/domain/endpointlimit"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/memestimate"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/domain/regions"
	"tanagerwood.dev/router/internal/domain/retrybudget"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/slowreader"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/domain/stages"
)

// components holds the components used while the node runs. They are resolved once, since the injector is not safe for concurrent
// use.
type components struct {
	routingCache *routingcache.Cache
	state        routingState
	peers        *gossip.Service
	dispatcher   *dispatch.Dispatcher
	rebalancer   *rebalance.Rebalancer
	handler      *frontend.Handler
	callers      *deadpeer.Detector
	endpoints    *platform.Endpoints
	health       *health.Tracker
	availability *availability.Tracker
	cold         *coldstart.Tracker
	limits       *endpointlimit.Limiter
	budget       *retrybudget.Budget
	quarantine   *quarantine.Tracker
	crashStore   *crashstore.Keeper
	speeds       *speed.Tracker
	paces        *pace.Limiter
	load         *inflight.Tracker
	metrics      metrics.Registry
}

func (n *Node) resolveComponents() *components {
	return &components{
		routingCache: do.MustInvoke[*routingcache.Cache](n.injector),
		state:        do.MustInvoke[routingState](n.injector),
		peers:        do.MustInvoke[*gossip.Service](n.injector),
		dispatcher:   do.MustInvoke[*dispatch.Dispatcher](n.injector),
		rebalancer:   do.MustInvoke[*rebalance.Rebalancer](n.injector),
		handler:      do.MustInvoke[*frontend.Handler](n.injector),
		callers:      do.MustInvoke[*deadpeer.Detector](n.injector),
		endpoints:    do.MustInvoke[*platform.Endpoints](n.injector),
		health:       do.MustInvoke[*health.Tracker](n.injector),
		availability: do.MustInvoke[*availability.Tracker](n.injector),
		cold:         do.MustInvoke[*coldstart.Tracker](n.injector),
		limits:       do.MustInvoke[*endpointlimit.Limiter](n.injector),
		budget:       do.MustInvoke[*retrybudget.Budget](n.injector),
		quarantine:   do.MustInvoke[*quarantine.Tracker](n.injector),
		crashStore:   do.MustInvoke[*crashstore.Keeper](n.injector),
		speeds:       do.MustInvoke[*speed.Tracker](n.injector),
		paces:        do.MustInvoke[*pace.Limiter](n.injector),
		load:         do.MustInvoke[*inflight.Tracker](n.injector),
		metrics:      do.MustInvoke[metrics.Registry](n.injector),
	}
}

// routingState combines the routing cache, stage transitions and endpoint availability into the state interfaces of the dispatch,
// forward and rebalance packages.
type routingState struct {
	*routingcache.Cache
	transitions  *stages.Transitions
	availability *availability.Tracker
	// leavingGrace is how long endpoints that announced their leave are still used if the service has no others.
	leavingGrace time.Duration
	boot         func() time.Duration
}

// Services implements rebalance.FleetState.
func (s routingState) Services() []*routing.Service {
	if t := s.Table(); t != nil {
		return t.Services()
	}
	return nil
}

// CountChanging implements rebalance.FleetState.
func (s routingState) CountChanging(service string, to routing.Stage) (count int) {
	now := s.boot()
	for _, ep := range s.Endpoints().ByID {
		if next, ok := s.transitions.Target(ep.ID, ep.Stage, now); ok && next == to && ep.Service == service && !ep.Leaving && !s.Evacuated(ep) {
			count++
		}
	}
	return count
}

// IsListed implements rebalance.FleetState.
func (s routingState) IsListed(endpoint string) bool {
	_, ok := s.Endpoints().ByID[endpoint]
	return ok
}

// Service implements dispatch.RoutingState.
func (s routingState) Service(name string) *routing.Service {
	if t := s.Table(); t != nil {
		return t.Service(name)
	}
	return nil
}

// Stage implements dispatch.RoutingState, forward.RoutingState and rebalance.FleetState.
func (s routingState) Stage(service string, stage routing.Stage) []routing.Endpoint {
	return s.availability.Usable(s.endpointsInStage(service, stage), s.leavingGrace, s.boot())
}

// PauseRemaining implements dispatch.RoutingState and forward.RoutingState.
func (s routingState) PauseRemaining(service string, stage routing.Stage) time.Duration {
	return s.availability.PauseRemaining(s.endpointsInStage(service, stage), s.boot())
}

// Paused implements forward.RoutingState.
func (s routingState) Paused(ep routing.Endpoint) bool { return s.availability.Paused(ep, s.boot()) }

// Left implements forward.RoutingState. An endpoint that was not leaving when it was chosen may get requests for leavingGrace after
// that, and one that announced its leave to this instance for leavingGrace after the announcement.
func (s routingState) Left(ep routing.Endpoint, chosenAt time.Duration) bool {
	graceStart := s.boot() - s.leavingGrace
	return s.Leaving(ep) && (chosenAt <= graceStart || s.availability.AnnouncedBefore(ep, graceStart))
}

// Leaving implements forward.RoutingState: it reports whether an endpoint is known to leave or to be gone: by the platform's list, or by its own notice.
func (s routingState) Leaving(ep routing.Endpoint) bool {
	listed, known := s.Endpoints().ByID[ep.ID]
	return !known || listed.StartedMS != ep.StartedMS || listed.Leaving || s.availability.Leaving(ep)
}

// Evacuated implements forward.RoutingState.
func (s routingState) Evacuated(ep routing.Endpoint) bool { return s.IsEvacuated(ep.Domain) }

// AllEvacuated implements dispatch.RoutingState.
func (s routingState) AllEvacuated(service string, stage routing.Stage) bool {
	return s.AnyEvacuated() && len(s.endpointsInStage(service, stage)) == 0 && len(s.listedInStage(service, stage)) > 0
}

// endpointsInStage returns the endpoints of a service that the platform lists in a stage, without those that are leaving, changing to
// another stage, or in an evacuated domain.
func (s routingState) endpointsInStage(service string, stage routing.Stage) []routing.Endpoint {
	all := s.listedInStage(service, stage)
	if !s.AnyEvacuated() {
		return all
	}
	return slices.DeleteFunc(all, s.Evacuated)
}

// listedInStage returns what endpointsInStage returns, and also the endpoints in evacuated domains.
func (s routingState) listedInStage(service string, stage routing.Stage) []routing.Endpoint {
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

// fleetSize returns the number of instances in the fleet. Like triggerReport and recordNotice, it is called only while the node
// runs, and looks up the gossip service late: the service depends on the components that call these methods.
func (n *Node) fleetSize() int { return n.components.Load().peers.FleetSize() }

// triggerReport makes the gossip service report changes to the other instances immediately.
func (n *Node) triggerReport() { n.components.Load().peers.TriggerReport() }

// leavingGraceDivisor divides the drain propagation limit, within which a leaving endpoint must stop receiving requests.
const leavingGraceDivisor = 2

// recordSend counts a request that is about to be sent to an endpoint. Control calls are not admitted before, since most of them
// free resources, and are charged here.
func (n *Node) recordSend(ep routing.Endpoint, control bool) {
	p := n.components.Load()
	p.availability.CountSend(ep)
	if control {
		p.limits.Charge(ep)
	} else if p.state.Leaving(ep) {
		metrics.GetOrRegisterCounter("sends.to_leaving", p.metrics).Inc(1)
	}
}

// recordLoad records the load that an endpoint has stated in a response.
func (n *Node) recordLoad(ep routing.Endpoint, load routing.Load) {
	p := n.components.Load()
	if p.speeds.RecordLoad(ep, load, p.load.LocalAt(ep.ID).Requests, clock.System{}.Boot()) {
		n.options.Logger.Info().Str("event", "speed.in_force").Str("service", ep.Service).Str("endpoint", ep.ID).Msg("")
	}
}

// usesSpeed reports whether the settings or the configuration ask for estimates of the speed of a service's endpoints.
func (n *Node) usesSpeed(service string) bool {
	if n.settings.Load().EndpointPacing {
		return true
	}
	s := n.findService(service)
	return s != nil && s.ColdPerSecond > 0
}

// refuseEvacuated returns an error if nothing may be sent to an endpoint because its domain is evacuated. It is the last check before a
// send, and finds requests that were assigned to the endpoint before the evacuation.
func (n *Node) refuseEvacuated(ep routing.Endpoint) error {
	p := n.components.Load()
	if !p.state.Evacuated(ep) {
		return nil
	}
	metrics.GetOrRegisterCounter("sends.refused_evacuated", p.metrics).Inc(1)
	return fmt.Errorf("%w: %s", routing.ErrEvacuated, ep.Domain)
}

// findService returns the configuration of a service, or nil. Like fleetSize, it is called only while the node runs.
func (n *Node) findService(name string) *routing.Service {
	return n.components.Load().state.Service(name)
}

// recordColdEndpoints records which endpoints are cold according to the platform's list.
func (n *Node) recordColdEndpoints(byID map[string]routing.Endpoint) {
	n.components.Load().cold.RecordList(byID, clock.System{}.Boot(), time.Now().UnixMilli())
}

// recordReturn records that the evacuation of a domain has ended.
func (n *Node) recordReturn(cache *routingcache.Cache, domain string) {
	n.components.Load().cold.RecordReturn(domain, cache.Endpoints().ByID, clock.System{}.Boot())
}

// recordNotice records an endpoint's notices: that it is leaving, asks for a pause, or has a request limit. It reports leaving
// endpoints and limits to the peers.
func (n *Node) recordNotice(ep routing.Endpoint, notice routing.Notice) {
	p := n.components.Load()
	if notice.StatesCold {
		p.cold.RecordAnswer(ep, notice.Cold, clock.System{}.Boot())
	}
	if p.availability.RecordLimit(ep, notice, clock.System{}.Boot()) {
		n.options.Logger.Info().Str("event", "endpoint.limit").Str("endpoint", ep.ID).Bool("ended", notice.Limit.State == routing.LimitNone).
			Float64("per_second", notice.Limit.PerSecond).Int64("sent", p.availability.SentUnderLimit(ep)).Msg("")
		p.peers.TriggerStatusReport()
	}
	if !p.availability.RecordNotice(ep, notice, clock.System{}.Boot()) {
		return
	}
	n.options.Logger.Info().Str("event", "endpoint.notice").Str("endpoint", ep.ID).Int64("born", ep.StartedMS).Bool("leaving", notice.Leaving).
		Int64("pause_ms", notice.Pause.Milliseconds()).Msg("")
	if notice.Leaving {
		p.peers.TriggerStatusReport()
	}
}

func (n *Node) newInjector() do.Injector {
	i := do.New()
	s, logger, boot := n.options.Settings, n.options.Logger, clock.System{}.Boot
	latencyEstimator := latency.New()
	availabilityTracker := availability.New(rand.Float64)
	do.ProvideValue(i, availabilityTracker)
	cold := coldstart.New(n.findService)
	do.ProvideValue(i, cold)
	crashes := quarantine.New()
	do.ProvideValue(i, crashes)
	store := platform.NewStore(s.PlatformAddress, deadConnectionTimeout)
	store.LimitMemory(n.controlMemory)
	do.ProvideValue(i, store)
	registry := newRegistry(n.options.DroppedLines, latencyEstimator.InvalidSamples, availabilityTracker, crashes, store.Era)
	registerColdGauge(registry, cold)
	do.ProvideValue(i, registry)
	do.ProvideValue(i, inflight.NewTracker())
	do.ProvideValue(i, latencyEstimator)
	do.Provide(i, func(i do.Injector) (*sharedlimit.Limiter, error) {
		cache := do.MustInvoke[*routingcache.Cache](i)
		limiter := sharedlimit.New(func(key string) *sharedlimit.Quota {
			if q := endpointlimit.FindQuotaAt(availabilityTracker, cold, key, boot()); q != nil {
				return q
			}
			if t := cache.Table(); t != nil {
				if c := t.CustomerByName(key); c != nil {
					return sharedlimit.CustomerQuota(c)
				}
			}
			return nil
		})
		limiter.SetTolerance(sharedlimit.Tolerance{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack})
		return limiter, nil
	})
	do.Provide(i, func(i do.Injector) (*endpointlimit.Limiter, error) {
		return endpointlimit.New(endpointlimit.Deps{
			Notices: availabilityTracker, Cold: cold, Quotas: do.MustInvoke[*sharedlimit.Limiter](i), OnAdmit: n.triggerReport, SinceBoot: boot,
		}), nil
	})
	do.ProvideValue(i, health.NewTracker(n.fleetSize))
	speeds := speed.New(n.usesSpeed)
	do.ProvideValue(i, speeds)
	registerSpeedGauges(registry, speeds)
	paces := pace.New(pace.Deps{Self: s.Instance, InstanceCount: n.fleetSize, Speeds: speeds, OnEvent: n.recordPace})
	do.ProvideValue(i, paces)
	registerPaceGauges(registry, paces)
	do.ProvideValue(i, stages.NewTransitions())
	answerMemory := membudget.New(answerAllowanceBytes, memoryShare(s, answerMemoryFraction))
	endpoints := platform.NewEndpoints(endpointDialTimeout, deadConnectionTimeout, maxIdleConnections)
	endpoints.LimitMemory(answerMemory)
	endpoints.OnNotice(n.recordNotice)
	endpoints.OnSend(n.recordSend)
	endpoints.OnLoad(n.recordLoad)
	if s.EvacuationLimit > 0 {
		endpoints.RefuseSends(n.refuseEvacuated)
	}
	do.ProvideValue(i, endpoints)
	do.Provide(i, func(i do.Injector) (*routingcache.Cache, error) {
		limits := routingcache.PropagationLimits{Config: s.ConfigPropagationLimit, Endpoints: s.DrainPropagationLimit, Heartbeat: s.EndpointHeartbeat}
		cache := routingcache.New(store, limits, n.fleetSize, logger, boot)
		if s.EvacuationLimit > 0 {
			cache.ReadEvacuations(store, s.EvacuationLimit, func(domain string) { n.recordReturn(cache, domain) })
		}
		cache.OnEndpoints(func(byID map[string]routing.Endpoint) { n.recordColdEndpoints(byID) })
		store.OnNewEra(func(era uint64) { cache.RecordEra(era) })
		registerCacheGauges(do.MustInvoke[metrics.Registry](i), cache)
		return cache, nil
	})
	do.Provide(i, func(i do.Injector) (routingState, error) {
		return routingState{Cache: do.MustInvoke[*routingcache.Cache](i), transitions: do.MustInvoke[*stages.Transitions](i), availability: availabilityTracker,
			leavingGrace: s.DrainPropagationLimit / leavingGraceDivisor, boot: boot}, nil
	})
	do.Provide(i, func(i do.Injector) (*gossip.Service, error) {
		peers := gossip.New(gossip.Deps{
			Self: routing.Instance{
				Name: s.Instance, Address: s.PeerListen, Domain: s.Domain, Incarnation: uint64(time.Now().UnixNano()),
				Capacity: int(100 * s.CPUShare),
			},
			Seeds: s.SeedAddresses(), Transport: do.MustInvoke[gossip.Transport](i), Registry: do.MustInvoke[*platform.Store](i),
			Mirror: do.MustInvoke[*routingcache.Cache](i), Limiter: do.MustInvoke[*sharedlimit.Limiter](i),
			EndpointLoad: do.MustInvoke[*inflight.Tracker](i), Queue: do.MustInvoke[*dispatch.Dispatcher](i), Transitions: do.MustInvoke[*stages.Transitions](i),
			Health: do.MustInvoke[*health.Tracker](i), Speeds: speeds, Availability: availabilityTracker, Quarantine: crashes, Boot: boot, Logger: logger,
		})
		registerFetchGauges(registry, peers)
		return peers, nil
	})
	do.Provide(i, func(i do.Injector) (*retrybudget.Budget, error) {
		return retrybudget.New(retrybudget.Settings{Ratio: s.RetryRatio, FixedRetries: s.FixedRetries, Window: s.RetryWindow},
			n.fleetSize), nil
	})
	do.Provide(i, func(i do.Injector) (*dispatch.Dispatcher, error) {
		return dispatch.New(dispatch.Deps{
			Engines: do.MustInvoke[*platform.Endpoints](i), State: do.MustInvoke[routingState](i),
			EndpointLoad: do.MustInvoke[*inflight.Tracker](i), Health: do.MustInvoke[*health.Tracker](i), Timings: do.MustInvoke[*latency.Estimator](i),
			Limits: do.MustInvoke[*endpointlimit.Limiter](i), MemoryEstimator: memestimate.New(), Speeds: speeds, Pace: paces, Domain: s.Domain, InstanceCount: n.fleetSize,
			Random: rand.Float64, OnChange: n.triggerReport, SinceBoot: boot, Logger: logger,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*forward.Forwarder, error) {
		return forward.New(forward.Deps{
			State: do.MustInvoke[routingState](i), Client: do.MustInvoke[*platform.Endpoints](i),
			Dispatcher: do.MustInvoke[*dispatch.Dispatcher](i), RateLimiter: do.MustInvoke[*sharedlimit.Limiter](i),
			Limits: do.MustInvoke[*endpointlimit.Limiter](i), RetryBudget: do.MustInvoke[*retrybudget.Budget](i), EndpointLoad: do.MustInvoke[*inflight.Tracker](i),
			Health: do.MustInvoke[*health.Tracker](i), Timings: do.MustInvoke[*latency.Estimator](i), Domain: s.Domain, Regions: regions.Table(s.Regions),
			Speeds: speeds, Pace: paces, LoadAge: func() time.Duration { return n.components.Load().peers.LoadAge() },
			InstanceCount: n.fleetSize,
			PeersSynced: func() bool {
				p := n.components.Load()
				return p.routingCache.IsComplete() && p.peers.Joined()
			},
			AwaitPeerSync: func(done <-chan struct{}) { n.components.Load().peers.RefreshView(done) },
			Quarantine:    crashes, OnCrash: n.triggerReport,
			IsLeader: func() bool { return n.components.Load().peers.IsLeader() },
			Random:   rand.Float64, OnChange: n.triggerReport, Stop: n.stopSignals, AnswerMemory: answerMemory, SinceBoot: boot, Logger: logger, Metrics: do.MustInvoke[metrics.Registry](i),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*crashstore.Keeper, error) {
		peers := do.MustInvoke[*gossip.Service](i)
		return crashstore.New(crashstore.Deps{
			Store: do.MustInvoke[*platform.Store](i), Quarantine: crashes, IsLeader: func() bool { return peers.Joined() && peers.IsLeader() },
			OnLoad: n.triggerReport, Boot: boot, Now: time.Now, Logger: logger,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*rebalance.Rebalancer, error) {
		peers := do.MustInvoke[*gossip.Service](i)
		return rebalance.New(rebalance.Deps{
			InstanceName: s.Instance, State: do.MustInvoke[routingState](i), EndpointLoad: do.MustInvoke[*inflight.Tracker](i), Transitions: do.MustInvoke[*stages.Transitions](i),
			Claims: do.MustInvoke[*platform.Store](i), Orders: do.MustInvoke[*platform.Endpoints](i),
			IsLeader:             func() bool { return peers.Joined() && peers.IsLeader() && n.stopPhase() == frontend.Serving },
			OnTransitionsChanged: func() { peers.SendState(false) }, Boot: boot, Logger: logger,
		}), nil
	})
	slowCallers := slowreader.NewTracker(memoryShare(s, slowCallerMemoryFraction))
	do.ProvideValue(i, newCallerDetector(s, slowCallers, registry, logger))
	do.Provide(i, func(i do.Injector) (*frontend.Handler, error) {
		return frontend.New(frontend.Deps{
			CallerDecoder: platform.CallerDecoder{}, RequestHandler: do.MustInvoke[*forward.Forwarder](i), SinceBoot: boot, Logger: logger,
			MaxBufferedBodyBytes: memoryShare(s, bodyMemoryFraction), StopPhase: n.stopPhase, Stop: n.stopSignals, SlowCallers: slowCallers,
		}), nil
	})
	return i
}
