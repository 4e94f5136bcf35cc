// Package membership keeps this instance in the roster, detects which instances are alive by heartbeats, and obtains the
// confirmations that are required to use quota shares. It implements port.Membership and handles the membership messages of
// peers.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/roster"
	"tanagerwood.dev/router/internal/port"
)

// Intervals and timeouts of the background loops. A confirmation is renewed early enough that one failed attempt through the
// platform and one through the peers fit in before it expires.
const (
	HeartbeatInterval    = 500 * time.Millisecond
	confirmationInterval = time.Second
	retryDelay           = 200 * time.Millisecond
	rosterInterval       = 500 * time.Millisecond
	platformReadTimeout  = 300 * time.Millisecond
	platformWriteTimeout = time.Second
)

// Settings configures a Service.
type Settings struct {
	Self peer.Member
	// SeedAddresses are addresses of peers to contact at the start, in addition to the platform's instance list.
	SeedAddresses []string
	// Fanout is the number of random live peers that each round of heartbeats is sent to if the fleet has more than
	// MaxFullMeshMembers members.
	Fanout int
	// RandomSeed seeds the random choice of peers and the jitter, so that they are reproducible.
	RandomSeed uint64
}

// Dependencies are the services that a Service uses.
type Dependencies struct {
	Platform port.Platform
	Peers    port.Peers
	Clock    port.Clock
	Config   port.Config
	Events   port.EventLog
	Metrics  metrics.Registry
}

// Service maintains this instance's membership. Use New to create one, then call Start.
type Service struct {
	Dependencies
	settings     Settings
	counters     counters
	rosterReader rosterReader

	views          atomic.Pointer[roster.ViewHistory]
	live           atomic.Pointer[roster.LiveMembers]
	confirmedUntil atomic.Int64 // time since boot in nanoseconds
	draining       atomic.Bool
	left           atomic.Bool
	lastRequestID  atomic.Uint64

	mu             sync.Mutex
	history        roster.History
	table          *roster.HeartbeatTable
	votes          roster.RemovalVotes
	platformRoster platformRoster
	absentSince    map[peer.MemberID]time.Duration
	random         *rand.Rand
	wasConfirmed   bool
	superseded     bool

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

var _ port.Membership = (*Service)(nil)

// platformRoster identifies the roster object last seen on the platform.
type platformRoster struct {
	version    uint64
	generation uint64
}

// New returns a Service. It runs no background loops until Start is called.
func New(settings Settings, d Dependencies) *Service {
	s := &Service{
		Dependencies: d,
		settings:     settings,
		counters:     newCounters(d.Metrics),
		table:        roster.NewTable(d.Clock.Boot(), settings.Self),
		votes:        make(roster.RemovalVotes),
		absentSince:  make(map[peer.MemberID]time.Duration),
		random:       rand.New(rand.NewPCG(settings.RandomSeed, 0)),
	}
	s.rosterReader.read = s.readRoster
	s.views.Store((*roster.ViewHistory)(nil).Append(d.Clock.Boot(), false, nil))
	s.live.Store(s.table.LiveMembers(d.Clock.Boot(), nil))
	return s
}

// Start starts the background loops: heartbeats, renewal of the confirmation, and maintenance of the roster.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.runPeriodically(ctx, s.sendHeartbeats)
	s.runPeriodically(ctx, s.renewConfirmation)
	s.runPeriodically(ctx, s.maintainRoster)
}

// runPeriodically calls f repeatedly until the context ends. f returns the delay until its next call.
func (s *Service) runPeriodically(ctx context.Context, f func(context.Context) time.Duration) {
	s.goroutines.Go(func() {
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
				timer.Reset(f(ctx))
			}
		}
	})
}

// MarkDraining announces in heartbeats that this instance is draining, so that it no longer owns any endpoints.
func (s *Service) MarkDraining() { s.draining.Store(true) }

// Leave stops using the shares and removes this instance from the roster. It retries until the context ends.
func (s *Service) Leave(ctx context.Context) error {
	s.MarkDraining()
	s.left.Store(true)
	for {
		err := s.updateRoster(ctx, s.leaveChange)
		if err == nil {
			return nil
		}
		if !sleep(ctx, s.jitter(retryDelay)) {
			return err
		}
	}
}

// Stop stops the background loops and waits for them and for exchanges in progress.
func (s *Service) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	s.goroutines.Wait()
}

// Self implements port.Membership.
func (s *Service) Self() peer.Member { return s.settings.Self }

// Alive implements port.Membership.
func (s *Service) Alive() []peer.Member { return s.liveMembers().Members }

// IsAlive implements port.Membership.
func (s *Service) IsAlive(id peer.MemberID) bool { return s.liveMembers().IsAlive(id) }

// Owner implements port.Membership.
func (s *Service) Owner(endpoint string) (peer.Member, bool) {
	owner := s.liveMembers().Owner(endpoint, s.settings.Self)
	return owner, owner.MemberID == s.settings.Self.MemberID
}

// Confirmed implements port.Membership.
func (s *Service) Confirmed() bool {
	return !s.left.Load() && int64(s.Clock.Boot()) < s.confirmedUntil.Load()
}

// ViewHistory returns the recent roster views, from which the shares are computed.
func (s *Service) ViewHistory() *roster.ViewHistory { return s.views.Load() }

// RosterGeneration returns the newest roster generation that this instance knows.
func (s *Service) RosterGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Generation()
}

// HeartbeatEntries returns the heartbeat entries of the recently heard members, by name.
func (s *Service) HeartbeatEntries() map[string]peer.HeartbeatEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[string]peer.HeartbeatEntry)
	for _, e := range s.table.RecentEntries(s.Clock.Boot()) {
		entries[e.Name] = e
	}
	return entries
}

// NewestPeerRevision returns the highest catalogue revision in force at a recently heard peer, and the address of that peer.
func (s *Service) NewestPeerRevision() (revision uint64, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.table.RecentEntries(s.Clock.Boot()) {
		if e.CatalogueRevision > revision && e.Name != s.settings.Self.Name {
			revision, address = e.CatalogueRevision, e.Address
		}
	}
	return revision, address
}

// liveMembers returns the set of live members. It recomputes the set if a member may have died since.
func (s *Service) liveMembers() *roster.LiveMembers {
	if l := s.live.Load(); s.Clock.Boot() < l.ValidUntil {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refreshLiveMembers()
}

// refreshLiveMembers recomputes the set of live members and records the members that are no longer in it. The caller must hold
// mu.
func (s *Service) refreshLiveMembers() *roster.LiveMembers {
	before := s.live.Load()
	now := s.table.LiveMembers(s.Clock.Boot(), before)
	for _, m := range before.Members {
		if !now.IsAlive(m.MemberID) {
			s.counters.membersSuspected.Inc(1)
			s.Events.Record(event.Event{Kind: event.MemberSuspected, Detail: m.Name})
		}
	}
	s.live.Store(now)
	s.counters.liveMembers.Update(int64(len(now.Members)))
	return now
}

// adoptRoster replaces the roster by a newer one and ignores any other. The caller must hold mu.
func (s *Service) adoptRoster(r peer.Roster) {
	adoption := s.history.Adopt(r)
	if !adoption.Adopted {
		return
	}
	s.table.AddMembers(s.Clock.Boot(), r.Members)
	s.votes.Prune(r.Generation)
	if adoption.Gap || !s.history.Contains(s.settings.Self.MemberID) {
		s.confirmedUntil.Store(0)
	}
	s.publishView(adoption.Gap)
	s.counters.rosterGeneration.Update(int64(r.Generation))
	s.Events.Record(event.Event{Kind: event.RosterChanged, Detail: describeRoster(r)})
}

// publishView publishes a new view of the rosters in use, from which shares are computed from now on. The caller must hold mu.
func (s *Service) publishView(reset bool) {
	s.views.Store(s.ViewHistory().Append(s.Clock.Boot(), reset, s.history.ActiveRosters()))
	s.Events.Record(event.Event{Kind: event.ShareChanged, Detail: describeRoster(s.history.Newest())})
}

// retireRosters drops the old rosters that are no longer in use by any member (rule R3 of package roster), and publishes a new
// view if there were any. The caller must hold mu.
func (s *Service) retireRosters() {
	self := s.settings.Self.MemberID
	knows := func(m peer.Member, generation uint64) bool {
		return m.MemberID == self || s.table.HasGeneration(m, generation)
	}
	if s.history.RetireRosters(s.Clock.Boot(), knows) {
		s.publishView(false)
	}
}

func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

// otherMembers returns the members of the newest roster except this one.
func (s *Service) otherMembers() []peer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.history.Members()), func(m peer.Member) bool {
		return m.MemberID == s.settings.Self.MemberID
	})
}

// sleep waits for d. It reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
