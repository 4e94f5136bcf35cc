// Package gossip exchanges the state of the router instances: what each one has admitted for each customer, its work at each
// endpoint, and the version of the configuration that it has.
//
// Every instance sends reports to a few instances, the collectors, which know the state of the whole fleet. The other
// instances, the readers, get from one collector a view that aggregates the state of all the others. The messages of an instance
// therefore grow with its own requests and not with the fleet. In a small fleet every instance is a collector and there are no
// views. Collectors hold soft state only: another instance takes over when one is lost, and instances that use different
// collectors for a while lose accuracy, not safety.
//
// Changes of work and of waiting requests are reported at once, other changes periodically, and the full state rarely. Amounts
// are absolute, so that messages are idempotent, and an instance that misses a message requests the full state.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/domain/stages"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

const (
	// minReportPeriod is the time between periodic reports in a small fleet. It bounds the age of what does not trigger a report:
	// requests to plain services, which cost little.
	minReportPeriod = 150 * time.Millisecond
	// batchDelay is how long a change waits for others, to be sent in the same message.
	batchDelay = 2 * time.Millisecond
	// reportPeriodPerPeer lengthens the period in large fleets, up to maxReportPeriod, so that a collector receives at most a few
	// hundred periodic reports a second.
	reportPeriodPerPeer = 6 * time.Millisecond
	maxReportPeriod     = time.Second
	// periodsPerFullState is the number of periods between reports of the full state. The other reports hold only changes; an
	// instance that misses a message requests the full state, at most once in stateRequestInterval.
	periodsPerFullState  = 10
	stateRequestInterval = 100 * time.Millisecond
	// firstRelistDelay and relistInterval set when a collector reads the list of instances again: instances that start together
	// find only those that were listed before them.
	firstRelistDelay = 400 * time.Millisecond
	relistInterval   = 30 * time.Second
	// silentPeriods is the number of periods without a message after which an instance is assumed to use its share of the rates.
	silentPeriods = 3
	// The reported work of a silent instance is dropped after the greater of lostTimeout and lostPeriods periods: its requests
	// have ended with it, or their endpoints refuse further ones.
	lostTimeout = 2 * time.Second
	lostPeriods = 4
	// forgetTimeout is the silence after which an instance counts as removed for good. It exceeds the network partitions that the
	// fleet has to tolerate.
	forgetTimeout = time.Minute
	// joinDelay is how long a new instance waits for the state of the others once it knows of them.
	joinDelay = 100 * time.Millisecond
	// mirrorRefreshDelay is how long a peer may have a newer version before the platform is asked again: the answer of the own watch
	// comes about as soon as that of the peer's. Since the answer may be arriving already, the platform is asked at most once in
	// mirrorRefreshInterval. The collectors of a large fleet, whose readers wait for them, have shorter times. For a version newer than
	// the one last asked for, newerRefreshInterval is enough once the platform has answered since; see mayAskAgain.
	mirrorRefreshDelay       = 700 * time.Millisecond
	mirrorRefreshInterval    = 4 * time.Second
	newerRefreshInterval     = time.Second
	collectorRefreshDelay    = 100 * time.Millisecond
	collectorRefreshInterval = time.Second
	// catchUpInterval is the interval at which an instance that is behind a peer checks whether the delays have passed.
	catchUpInterval = 100 * time.Millisecond
	// stateFetchDelay is how long a peer may have a newer version before its copy is fetched if the platform does not answer, and
	// receivingFetchDelay if the platform's answer is arriving: a list of 3,000 endpoints has 1 MB, which takes seconds when a
	// whole fleet reads it, and copies would load the same links.
	stateFetchDelay     = 1500 * time.Millisecond
	receivingFetchDelay = 5 * time.Second
	// platformFallbackDelay is the mean time that a starting instance waits for the platform before it asks other instances.
	platformFallbackDelay = 400 * time.Millisecond
	// fetchTimeout bounds the fetch of a copy: twice the transfer time of 1 MB over a link of 10 Mbit/s.
	fetchTimeout          = 2 * time.Second
	registerRetryInterval = 500 * time.Millisecond
	// Instances register again at random times within the greater of reregisterSpread and reregisterSpreadPerPeer for each peer.
	// One that fails tries again after reregisterRetryInterval.
	reregisterSpread        = time.Second
	reregisterSpreadPerPeer = 10 * time.Millisecond
	reregisterRetryInterval = 3 * time.Second
)

// Transport sends messages between instances. Addresses have the form IP:PORT.
type Transport interface {
	// Send sends a message to each of the addresses. Messages may get lost.
	Send(addresses []string, m Message) error
	// Fetch gets the state of another instance.
	Fetch(ctx context.Context, address string) (State, error)
	// FetchNewer gets what is newer at another instance than the known state. An instance of an earlier version returns its whole state.
	FetchNewer(ctx context.Context, address string, known routingcache.Known) (State, error)
}

// Registry is the platform's list of instances.
type Registry interface {
	// Register adds the instance and reports whether it replaced an entry of an earlier start.
	Register(ctx context.Context, in routing.Instance) (replaced bool, err error)
	Instances(ctx context.Context) ([]routing.Instance, error)
	RemoveInstance(ctx context.Context, name string) error
	// Era increases when the platform is restored from a backup, in which entries may be missing.
	Era() uint64
}

// Queue holds the requests that wait for a place at an engine.
type Queue interface {
	// Waiting lists the waiting requests of this instance.
	Waiting() []waitlist.Request
	// WaitingExcept lists the waiting requests of all instances but one.
	WaitingExcept(instance string) []waitlist.Request
	// ReplacePeerRequests replaces the waiting requests of another instance by those that it has reported.
	ReplacePeerRequests(instance string, requests []waitlist.Request)
	// Dispatch is called after each report or view that has been applied.
	Dispatch()
}

// Deps are the dependencies of a Service.
type Deps struct {
	Self         routing.Instance
	Seeds        []string
	Transport    Transport
	Registry     Registry
	Mirror       *routingcache.Cache
	Limiter      *sharedlimit.Limiter
	EndpointLoad *inflight.Tracker
	Queue        Queue
	Transitions  *stages.Transitions
	Health       *health.Tracker
	// Speeds holds the estimates of the speed of endpoints; nil if there are none.
	Speeds *speed.Tracker
	// Availability holds the endpoints that have announced that they leave, and those that have a request limit.
	Availability *availability.Tracker
	// Quarantine holds the crashes of engines at the beginning of answers.
	Quarantine *quarantine.Tracker
	Boot       func() time.Duration
	Logger     *log.Logger
}

// peer is the state of another instance, as far as it is known here.
type peer struct {
	instance     routing.Instance
	sequence     uint64
	reportNumber uint64
	lastHeard    time.Duration
	silent       bool
	// lastAlive is when the peer was last heard, listed, or named as a collector by another instance.
	lastAlive time.Duration
	// complete is set if no message has been lost since the last full state. stateRequestedAt is when the full state was last
	// requested.
	complete         bool
	stateRequestedAt time.Duration
	// configVersion and endpointsRevision are what the peer had when it was last heard. behindSince is since when one of them has been
	// newer than that of this instance; zero if none is.
	configVersion, endpointsRevision uint64
	behindSince                      time.Duration
	// readsViews is set if the peer reads its views from this instance, hasWaiting if it has waiting requests. lastViewSent is
	// when it was last sent a view unasked.
	readsViews, hasWaiting bool
	lastViewSent           time.Duration
}

// Service exchanges state with the other instances. It is safe for concurrent use.
type Service struct {
	Deps

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	// reportNumber counts all reports, periodCount the periodic ones.
	reportNumber, periodCount uint64
	fetching                  bool
	// catchUpScheduled is set while a check is scheduled whether this instance is still behind a peer.
	catchUpScheduled bool
	// fallbackAt is when copies of other instances may be fetched although this one has no configuration, mirrorRefreshAt when
	// the platform may be asked again. Times are since boot.
	fallbackAt, mirrorRefreshAt time.Duration
	// lastRefresh is when the platform was last asked again, and for which versions.
	lastRefresh refresh
	// earlyFetchAt is when a copy may be fetched after mirrorRefreshDelay if the platform does not answer this instance.
	earlyFetchAt time.Duration
	// reported is the state in the last report, reportedWaiting its number of waiting requests.
	reported        accounts
	reportedWaiting int
	// reportedCrashChanges is the number of changes of crash records that the reports include.
	reportedCrashChanges int64

	trigger chan struct{}
	// statusTriggered is set if the next report must include the fields of periodic reports, versionsTriggered if new versions are to be
	// announced.
	statusTriggered, versionsTriggered atomic.Bool
	collectors                         collectorState
	follow                             followState
	fetchCounts                        [fetchOutcomes]atomic.Int64
	// era is the platform's era in which this instance has registered. reregisterAt is when it registers again; zero if it need
	// not.
	era          uint64
	reregisterAt time.Duration
	// relistAt is when a collector reads the list of instances again.
	relistAt time.Duration
	// relisted is set once the list is certain to hold all instances that started together.
	relisted atomic.Bool
	// peerCount is the number of peers. It is atomic because it is read while other locks are held.
	peerCount atomic.Int64
	// discoveredAt is the time since boot at which the other instances became known; zero before.
	discoveredAt atomic.Int64
}

// New returns a Service that sends nothing before Run.
func New(d Deps) *Service {
	s := &Service{Deps: d, peers: map[string]*peer{}, trigger: make(chan struct{}, 1), collectors: newCollectorState(d.Self)}
	d.Mirror.Connect(s)
	return s
}

// TriggerReport has the changes since the last report sent without waiting for the next period.
func (s *Service) TriggerReport() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// TriggerStatusReport is like TriggerReport, but the report also holds the status of endpoints: failures, stage transitions, and
// the endpoints that leave, and their request limits.
func (s *Service) TriggerStatusReport() {
	s.statusTriggered.Store(true)
	s.TriggerReport()
}

// Run registers the instance and sends reports until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.fallbackAt = s.Boot() + platformFallbackDelay/2 + rand.N(platformFallbackDelay)
	s.relistAt = s.Boot() + firstRelistDelay + rand.N(firstRelistDelay)
	s.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { background.Supervise(ctx, s.Logger, "join", s.join) })
	wg.Go(func() { background.Supervise(ctx, s.Logger, "changes", s.runChangeReports) })
	for ctx.Err() == nil {
		s.reportPeriodic()
		s.expirePeers()
		go background.CallWithRecover(s.Logger, "relist", func() { s.relist(ctx) })
		go background.CallWithRecover(s.Logger, "renew", func() { s.reregister(ctx) })
		s.waitForPeriod(ctx)
	}
	wg.Wait()
}

// waitForPeriod waits for the next period. A reader requests a view repeatedly until it has one since the last report: views and
// requests for them may get lost.
func (s *Service) waitForPeriod(ctx context.Context) {
	left, reportedAt := s.reportPeriod(), s.Boot()-batchDelay
	for ; left > 0 && ctx.Err() == nil; left -= minReportPeriod {
		background.SleepContext(ctx, min(left, minReportPeriod))
		if s.collectors.reading.Load() && !s.hasViewSince(reportedAt) {
			s.requestView()
		} else if left > minReportPeriod {
			background.SleepContext(ctx, left-minReportPeriod)
			return
		}
	}
}

// hasViewSince reports whether a view of the current collector has arrived since the given time.
func (s *Service) hasViewSince(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collectors.hasView.Load() && s.collectors.lastView >= at
}

func (s *Service) reportPeriod() time.Duration {
	return min(max(minReportPeriod, time.Duration(s.FleetSize())*reportPeriodPerPeer), maxReportPeriod)
}

// LoadAge returns the mean age of what is known of the requests of other instances at plain endpoints, which are reported periodically.
func (s *Service) LoadAge() time.Duration {
	if s.collectors.collecting() {
		return s.reportPeriod() / 2
	}
	return s.reportPeriod()
}

// Joined reports whether this instance knows what the others have admitted and placed. Before that it would place requests and
// charge limits as if it were alone.
func (s *Service) Joined() bool {
	discovered := time.Duration(s.discoveredAt.Load())
	if discovered == 0 {
		return false
	}
	since := s.Boot() - discovered
	return since >= joinDelay && (s.knowsFleetState() || since >= firstViewTimeout)
}

// knowsFleetState reports whether this instance knows the state of the others. A reader does once it has a view, a collector once
// it has read the list of instances a second time, or at once if it was listed before. In a fleet of collectors only, every
// instance that starts sends its state to all others.
func (s *Service) knowsFleetState() bool {
	if s.collectors.reading.Load() {
		return s.collectors.hasView.Load()
	}
	return s.relisted.Load() || s.FleetSize() < smallFleetSize
}

// FleetSize is the number of known instances, this one included.
func (s *Service) FleetSize() int { return int(s.peerCount.Load()) + 1 }

// join registers with the platform and reads the list of instances. Of two instances that start at the same time, at least one
// finds the other in the list and sends its state to it. The seeds are asked if the platform refuses or does not answer in time.
func (s *Service) join(ctx context.Context) {
	s.mu.Lock()
	wait := s.fallbackAt - s.Boot()
	s.mu.Unlock()
	unanswered := time.AfterFunc(wait, func() { s.fetchFromSeeds(ctx) })
	defer unanswered.Stop()
	for ctx.Err() == nil {
		err := s.register(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			s.Logger.Warn().Str("event", "instance.not_registered").Err(err).Msg("trying again")
			s.fetchFromSeeds(ctx)
		}
		background.SleepContext(ctx, registerRetryInterval)
	}
}

// fetchFromSeeds fetches the state of all seeds, unless other instances are known already.
func (s *Service) fetchFromSeeds(ctx context.Context) {
	if s.FleetSize() > 1 {
		return
	}
	for _, seed := range s.Seeds {
		if seed != s.Self.Address {
			go s.fetchState(ctx, seed)
		}
	}
}

func (s *Service) register(ctx context.Context) error {
	era := s.Registry.Era()
	replaced, err := s.Registry.Register(ctx, s.Self)
	if err != nil {
		return err
	}
	list, err := s.Registry.Instances(ctx)
	if err != nil {
		return err
	}
	s.addInstances(list)
	if replaced {
		s.relisted.Store(true) // the other instances were listed before this one restarted
	}
	s.mu.Lock()
	s.era, s.reregisterAt = max(s.era, era), 0
	s.mu.Unlock()
	s.SendState(false)
	s.Logger.Info().Str("event", "instance.registered").Int("instances", len(list)).Bool("again", replaced).Msg("")
	return nil
}

// reregister registers again after the platform was restored from a backup, which may lack the entry of this instance. Instances
// spread these calls over a time that grows with the fleet.
func (s *Service) reregister(ctx context.Context) {
	s.mu.Lock()
	now := s.Boot()
	eraChanged := s.discoveredAt.Load() > 0 && s.Registry.Era() > s.era
	if eraChanged && s.reregisterAt == 0 {
		s.reregisterAt = now + rand.N(max(reregisterSpread, time.Duration(len(s.peers))*reregisterSpreadPerPeer))
	}
	due := eraChanged && now >= s.reregisterAt
	if due {
		s.reregisterAt = now + reregisterRetryInterval
	}
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.register(ctx); err != nil {
		s.Logger.Warn().Str("event", "instance.not_registered").Err(err).Msg("trying again")
	}
}

// relist reads the list of instances again if it is due and this instance is a collector.
func (s *Service) relist(ctx context.Context) {
	s.mu.Lock()
	due := s.Boot() >= s.relistAt && s.discoveredAt.Load() > 0
	if due {
		s.relistAt = s.Boot() + relistInterval/2 + rand.N(relistInterval)
	}
	due = due && s.collectors.collecting() && len(s.peers)+1 >= smallFleetSize
	s.mu.Unlock()
	if !due {
		return
	}
	list, err := s.Registry.Instances(ctx)
	if err != nil {
		s.Logger.Info().Str("event", "instances.not_listed").Err(err).Msg("trying again later")
		return
	}
	s.addInstances(list)
	s.relisted.Store(true)
	s.SendState(false)
}

// addInstances adds the instances of a list as peers.
func (s *Service) addInstances(list []routing.Instance) {
	if now := s.Boot(); s.discoveredAt.CompareAndSwap(0, int64(now)) {
		s.Limiter.Begin(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range list {
		s.addPeer(in)
	}
	s.electCollectors()
}

// addPeer adds an instance that has not been heard yet; s.mu is held.
func (s *Service) addPeer(in routing.Instance) {
	if in.Name == s.Self.Name || s.peers[in.Name] != nil {
		return
	}
	s.peers[in.Name] = &peer{instance: in, lastHeard: s.Boot(), lastAlive: s.Boot(), silent: true}
	if s.collectors.collecting() {
		s.peerCount.Store(int64(len(s.peers)))
		s.Limiter.AddPeer(in.Name)
	}
}
