// Package gossip tells the other instances what this one does: what it has admitted for each customer, its work at each
// endpoint, and which configuration it knows.
//
// Every instance reports to a few instances, the collectors, which so know the state of the fleet, and reads from one of them a
// view that sums up all the others. What an instance sends and receives so follows its own requests, whatever the size of the
// fleet; in a small one every instance is a collector, and no views are read. Collectors hold soft state only: another one takes
// over when one is lost, and instances that see different collectors for a while lose accuracy, not safety.
//
// Changes of work and of waiting requests are reported at once, other changes in periods, the whole state seldom. Amounts are
// absolute, so that a message may come twice, and an instance that misses a message asks for the whole state.
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
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/stages"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

const (
	// basePeriod is the time between whole states in a small fleet, and the age of what is not told at once: plain requests,
	// which cost little.
	basePeriod = 150 * time.Millisecond
	// changeDelay is how long a change waits for others to go into the same message.
	changeDelay = 2 * time.Millisecond
	// periodPerPeer lengthens the period in large fleets, up to maxPeriod, so that a collector receives some hundred periodic
	// reports a second at most.
	periodPerPeer = 6 * time.Millisecond
	maxPeriod     = time.Second
	// wholeEvery is how many periods pass between whole states. In the others only changes are told; an instance that misses a
	// message asks for the whole state, at most once in askPause.
	wholeEvery = 10
	askPause   = 100 * time.Millisecond
	// relistAfter and relistPeriod are when a collector reads the list of instances again: instances that start together
	// find only those that were listed before them.
	relistAfter  = 400 * time.Millisecond
	relistPeriod = 30 * time.Second
	// silentPeriods is for how many periods an instance may be silent until it is assumed to admit its share of the rates.
	silentPeriods = 3
	// lostAfter and lostPeriods are when the work that a silent instance has told no longer counts: its requests have ended
	// with it, or their endpoints tell by refusing.
	lostAfter   = 2 * time.Second
	lostPeriods = 4
	// forgottenAfter is when a silent instance counts as removed for good. It exceeds the partitions that are to be borne.
	forgottenAfter = time.Minute
	// hearTime is how long a new instance waits for the states of the others once it knows them.
	hearTime = 100 * time.Millisecond
	// behindFor is how long a peer may know something newer before the platform is asked again: longer than the mirror's
	// pause between calls of the platform. The answer may be arriving, so refreshPause passes until the next time.
	behindFor    = 700 * time.Millisecond
	refreshPause = 4 * time.Second
	// fetchAfter is how long a peer may know something newer before its copy is fetched if the platform does not answer, and
	// fetchLate if its answer may be arriving: 3,000 endpoints are 1 MB, which takes seconds when a whole fleet reads them,
	// and copies would load the same links.
	fetchAfter = 1500 * time.Millisecond
	fetchLate  = 5 * time.Second
	// fallbackDelay is the mean time for which an instance that starts waits for the platform before it asks others.
	fallbackDelay = 400 * time.Millisecond
	// fetchTimeout bounds the fetch of a copy: 1 MB over a link of 10 Mbit/s, twice.
	fetchTimeout = 2 * time.Second
	// registerPause is the time between attempts to register.
	registerPause = 500 * time.Millisecond
	// renewSpread and renewPerPeer are the time over which the instances of a fleet register again, renewPause the time until one
	// tries again that has failed.
	renewSpread  = time.Second
	renewPerPeer = 10 * time.Millisecond
	renewPause   = 3 * time.Second
)

// Transport carries messages. Addresses are IP:PORT.
type Transport interface {
	// Send sends a message, which may get lost, to each of the addresses.
	Send(addresses []string, m Message) error
	// Fetch asks an instance for its state.
	Fetch(ctx context.Context, address string) (State, error)
}

// Registry is the platform's list of instances.
type Registry interface {
	// Register enters the instance, and reports whether it replaced an entry of an earlier start.
	Register(ctx context.Context, in routing.Instance) (again bool, err error)
	Instances(ctx context.Context) ([]routing.Instance, error)
	RemoveInstance(ctx context.Context, name string) error
	// Era rises when the platform comes back from a copy, in which entries may be missing.
	Era() uint64
}

// Queue holds the requests that wait for a place.
type Queue interface {
	// Waiting lists this instance's requests.
	Waiting() []waitlist.Request
	// WaitingExcept lists the requests of all instances but one.
	WaitingExcept(instance string) []waitlist.Request
	// Hear replaces what another instance has told.
	Hear(instance string, requests []waitlist.Request)
	// Dispatch is called after each message that was taken over.
	Dispatch()
}

// Deps are what a Service works with.
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
	// Availability knows which endpoints say that they leave.
	Availability *availability.Tracker
	Boot         func() time.Duration
	Logger       *log.Logger
}

// peer is what is known of another instance.
type peer struct {
	instance routing.Instance
	sequence uint64
	number   uint64
	heard    time.Duration
	silent   bool
	// toldAlive is when the peer was heard, listed or told of as a collector.
	toldAlive time.Duration
	// complete says that no message has been lost since the last whole state; asked is when that state was asked for.
	complete bool
	asked    time.Duration
	// behind is since when the peer knows something newer; zero if it does not.
	behind time.Duration
	// reads says that the peer reads its views from this instance, waits that it has waiting requests; viewed is when it was
	// sent the last view.
	reads, waits bool
	viewed       time.Duration
}

// Service exchanges messages with the other instances. It is safe for concurrent use.
type Service struct {
	Deps

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	// number counts the reports, periods the periodic ones.
	number, periods uint64
	fetching        bool
	// fallbackAt is when copies of others may be fetched although nothing is known, refreshAt when the platform may be
	// asked again. Times are since boot.
	fallbackAt, refreshAt time.Duration
	// told is what the last messages told, toldWaiting the number of waiting requests in the last one.
	told        ledger
	toldWaiting int

	announced chan struct{}
	// urgent is set when the next report is to hold what otherwise only periodic ones hold.
	urgent     atomic.Bool
	collectors collectors
	// era is the platform's era in which this instance has registered, renewAt when it registers again; zero if it need not.
	era     uint64
	renewAt time.Duration
	// relistAt is when a collector reads the list of instances again.
	relistAt time.Duration
	// relisted is set once the list holds all instances that started together.
	relisted atomic.Bool
	// others is the number of peers, which is read while other locks are held.
	others atomic.Int64
	// met is the time since boot at which other instances became known; zero before.
	met atomic.Int64
}

// New returns a service.
func New(d Deps) *Service {
	return &Service{Deps: d, peers: map[string]*peer{}, announced: make(chan struct{}, 1), collectors: newCollectors(d.Self)}
}

// TriggerReport has the changes told at once.
func (s *Service) TriggerReport() {
	select {
	case s.announced <- struct{}{}:
	default:
	}
}

// TriggerStatusReport has the others told at once of endpoints that leave.
func (s *Service) TriggerStatusReport() {
	s.urgent.Store(true)
	s.TriggerReport()
}

// Run registers the instance and sends messages until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.fallbackAt = s.Boot() + fallbackDelay/2 + rand.N(fallbackDelay)
	s.relistAt = s.Boot() + relistAfter + rand.N(relistAfter)
	s.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { background.Supervise(ctx, s.Logger, "join", s.join) })
	wg.Go(func() { background.Supervise(ctx, s.Logger, "changes", s.tellChanges) })
	for ctx.Err() == nil {
		s.tellPeriodic()
		s.expirePeers()
		go background.CallWithRecover(s.Logger, "relist", func() { s.relist(ctx) })
		go background.CallWithRecover(s.Logger, "renew", func() { s.renew(ctx) })
		s.pause(ctx)
	}
	wg.Wait()
}

// pause waits for the next period. Meanwhile a reader without a view asks for one again and again.
func (s *Service) pause(ctx context.Context) {
	left := s.period()
	for ; left > 0 && ctx.Err() == nil; left -= basePeriod {
		background.SleepContext(ctx, min(left, basePeriod))
		if s.collectors.reading.Load() && !s.collectors.hasView.Load() {
			s.askView()
		} else if left > basePeriod {
			background.SleepContext(ctx, left-basePeriod)
			return
		}
	}
}

func (s *Service) period() time.Duration {
	return min(max(basePeriod, time.Duration(s.FleetSize())*periodPerPeer), maxPeriod)
}

// Joined reports whether this instance knows what the others have admitted and placed. Until then it would place requests
// and charge limits as if it were alone.
func (s *Service) Joined() bool {
	met := time.Duration(s.met.Load())
	if met == 0 {
		return false
	}
	since := s.Boot() - met
	return since >= hearTime && (s.informed() || since >= viewPatience)
}

// informed reports whether this instance knows the state of the others: from its views or, as a collector, once it has read the
// list of instances for a second time, or at once if it was listed before. In a fleet where all are collectors, everyone who
// starts tells everyone.
func (s *Service) informed() bool {
	if s.collectors.reading.Load() {
		return s.collectors.hasView.Load()
	}
	return s.relisted.Load() || s.FleetSize() < smallFleet
}

// FleetSize is the number of instances that are known, this one included.
func (s *Service) FleetSize() int { return int(s.others.Load()) + 1 }

// join registers in the platform and reads the list of instances. Of two instances that start at the same time, at least one
// finds the other in the list, and greets it. Seeds are asked if the platform refuses, or does not answer soon.
func (s *Service) join(ctx context.Context) {
	s.mu.Lock()
	wait := s.fallbackAt - s.Boot()
	s.mu.Unlock()
	unanswered := time.AfterFunc(wait, func() { s.askSeeds(ctx) })
	defer unanswered.Stop()
	for ctx.Err() == nil {
		err := s.register(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			s.Logger.Warn().Str("event", "instance.not_registered").Err(err).Msg("trying again")
			s.askSeeds(ctx)
		}
		background.SleepContext(ctx, registerPause)
	}
}

// askSeeds fetches the state of all seeds until one has told of other instances.
func (s *Service) askSeeds(ctx context.Context) {
	if s.FleetSize() > 1 {
		return
	}
	for _, seed := range s.Seeds {
		if seed != s.Self.Address {
			go s.fetch(ctx, seed)
		}
	}
}

func (s *Service) register(ctx context.Context) error {
	era := s.Registry.Era()
	again, err := s.Registry.Register(ctx, s.Self)
	if err != nil {
		return err
	}
	list, err := s.Registry.Instances(ctx)
	if err != nil {
		return err
	}
	s.addInstances(list)
	if again {
		s.relisted.Store(true) // the fleet was listed before
	}
	s.mu.Lock()
	s.era, s.renewAt = max(s.era, era), 0
	s.mu.Unlock()
	s.SendState(false)
	s.Logger.Info().Str("event", "instance.registered").Int("instances", len(list)).Bool("again", again).Msg("")
	return nil
}

// renew registers again after the platform has come back from a copy, which may lack this instance's entry. Instances spread their
// calls over a time that grows with the fleet.
func (s *Service) renew(ctx context.Context) {
	s.mu.Lock()
	now := s.Boot()
	lacks := s.met.Load() > 0 && s.Registry.Era() > s.era
	if lacks && s.renewAt == 0 {
		s.renewAt = now + rand.N(max(renewSpread, time.Duration(len(s.peers))*renewPerPeer))
	}
	due := lacks && now >= s.renewAt
	if due {
		s.renewAt = now + renewPause
	}
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.register(ctx); err != nil {
		s.Logger.Warn().Str("event", "instance.not_registered").Err(err).Msg("trying again")
	}
}

// relist reads the list of instances again, if this instance is a collector.
func (s *Service) relist(ctx context.Context) {
	s.mu.Lock()
	due := s.Boot() >= s.relistAt && s.met.Load() > 0
	if due {
		s.relistAt = s.Boot() + relistPeriod/2 + rand.N(relistPeriod)
	}
	due = due && s.collectors.collecting() && len(s.peers)+1 >= smallFleet
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

// addInstances makes instances known from a list.
func (s *Service) addInstances(list []routing.Instance) {
	s.met.CompareAndSwap(0, int64(s.Boot()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range list {
		s.addMember(in)
	}
	s.elect()
}

// addMember makes an instance known that has not been heard; s.mu is held.
func (s *Service) addMember(in routing.Instance) {
	if in.Name == s.Self.Name || s.peers[in.Name] != nil {
		return
	}
	s.peers[in.Name] = &peer{instance: in, heard: s.Boot(), toldAlive: s.Boot(), silent: true}
	if s.collectors.collecting() {
		s.others.Store(int64(len(s.peers)))
		s.Limiter.AddPeer(in.Name)
	}
}
