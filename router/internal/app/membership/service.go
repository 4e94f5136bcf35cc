// Package membership keeps this instance in the roster, knows which instances live, and obtains the confirmations
// without which shares may not be used. It implements port.Membership and answers peers.
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

// Periods of the loops. A confirmation is renewed early enough that one failed attempt through the platform and one
// through the peers fit before it lapses.
const (
	HeartbeatInterval = 500 * time.Millisecond
	confirmPeriod     = time.Second
	confirmRetry      = 200 * time.Millisecond
	rosterPeriod      = 500 * time.Millisecond
	platformTimeout   = 300 * time.Millisecond
	writeTimeout      = time.Second
)

// Settings of a Service.
type Settings struct {
	Self peer.Member
	// SeedAddresses are peer addresses to start from, beside the platform's instance list.
	SeedAddresses []string
	// Fanout is the number of random peers that get a heartbeat if the fleet has more than FullMeshLimit members.
	Fanout int
	// RandomSeed makes the choice of peers and the jitter repeatable.
	RandomSeed uint64
}

// Dependencies of a Service.
type Dependencies struct {
	Platform port.Platform
	Peers    port.Peers
	Clock    port.Clock
	Config   port.Config
	Events   port.EventLog
	Metrics  metrics.Registry
}

// Service is this instance's membership. Create it with New, then Start it.
type Service struct {
	Dependencies
	settings Settings
	count    counters
	reader   reader

	views          atomic.Pointer[roster.ViewHistory]
	live           atomic.Pointer[roster.LiveMembers]
	confirmedUntil atomic.Int64 // boot time in nanoseconds
	draining       atomic.Bool
	left           atomic.Bool
	requests       atomic.Uint64

	mu           sync.Mutex
	chain        roster.History
	table        *roster.HeartbeatTable
	votes        roster.RemovalVotes
	stored       stored
	absent       map[peer.MemberID]time.Duration
	random       *rand.Rand
	wasConfirmed bool
	superseded   bool

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

var _ port.Membership = (*Service)(nil)

// stored is what the platform was last known to hold.
type stored struct {
	version    uint64
	generation uint64
}

// New returns a service that does nothing before Start.
func New(settings Settings, d Dependencies) *Service {
	s := &Service{
		Dependencies: d,
		settings:     settings,
		count:        newCounters(d.Metrics),
		table:        roster.NewTable(d.Clock.Boot(), settings.Self),
		votes:        make(roster.RemovalVotes),
		absent:       make(map[peer.MemberID]time.Duration),
		random:       rand.New(rand.NewPCG(settings.RandomSeed, 0)),
	}
	s.reader.read = s.readRoster
	s.views.Store((*roster.ViewHistory)(nil).Append(d.Clock.Boot(), false, nil))
	s.live.Store(s.table.LiveMembers(d.Clock.Boot(), nil))
	return s
}

// Start begins the loops: joining the roster, heartbeats, confirmation and removal of dead members.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.loop(ctx, s.beat)
	s.loop(ctx, s.renew)
	s.loop(ctx, s.tend)
}

// loop runs f until the context ends; f returns the pause before its next run.
func (s *Service) loop(ctx context.Context, f func(context.Context) time.Duration) {
	s.loops.Go(func() {
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

// MarkDraining makes heartbeats say that this instance is draining, so that it owns no endpoints any more.
func (s *Service) MarkDraining() { s.draining.Store(true) }

// Leave gives up the shares and removes this instance from the roster. It tries until the context ends.
func (s *Service) Leave(ctx context.Context) error {
	s.MarkDraining()
	s.left.Store(true)
	for {
		err := s.writeRoster(ctx, s.leaveChange)
		if err == nil {
			return nil
		}
		if !sleep(ctx, s.jitter(confirmRetry)) {
			return err
		}
	}
}

// Stop ends the loops and waits for them.
func (s *Service) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	s.loops.Wait()
}

// Self implements port.Membership.
func (s *Service) Self() peer.Member { return s.settings.Self }

// Alive implements port.Membership.
func (s *Service) Alive() []peer.Member { return s.liveNow().Members }

// IsAlive implements port.Membership.
func (s *Service) IsAlive(id peer.MemberID) bool { return s.liveNow().IsAlive(id) }

// Owner implements port.Membership.
func (s *Service) Owner(endpoint string) (peer.Member, bool) {
	owner := s.liveNow().Owner(endpoint, s.settings.Self)
	return owner, owner.MemberID == s.settings.Self.MemberID
}

// Confirmed implements port.Membership.
func (s *Service) Confirmed() bool {
	return !s.left.Load() && int64(s.Clock.Boot()) < s.confirmedUntil.Load()
}

// Views gives the rosters that decide about shares.
func (s *Service) ViewHistory() *roster.ViewHistory { return s.views.Load() }

// RosterGeneration is the newest roster generation known here.
func (s *Service) RosterGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain.Generation()
}

// HeartbeatEntries is what this instance knows about the members that were heard lately, by name.
func (s *Service) HeartbeatEntries() map[string]peer.HeartbeatEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[string]peer.HeartbeatEntry)
	for _, e := range s.table.RecentEntries(s.Clock.Boot()) {
		entries[e.Name] = e
	}
	return entries
}

// NewestPeerRevision is the greatest catalogue revision that a live peer has in force, and that peer's address.
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

// liveNow returns the live set, computing it anew if a member may have died since.
func (s *Service) liveNow() *roster.LiveMembers {
	if l := s.live.Load(); s.Clock.Boot() < l.ValidUntil {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refreshLive()
}

// refreshLive publishes the live set and records who has died. The caller holds mu.
func (s *Service) refreshLive() *roster.LiveMembers {
	before := s.live.Load()
	now := s.table.LiveMembers(s.Clock.Boot(), before)
	for _, m := range before.Members {
		if !now.IsAlive(m.MemberID) {
			s.count.suspected.Inc(1)
			s.Events.Record(event.Event{Kind: event.MemberSuspected, Detail: m.Name})
		}
	}
	s.live.Store(now)
	s.count.live.Update(int64(len(now.Members)))
	return now
}

// adopt takes a newer roster. The caller holds mu.
func (s *Service) adopt(r peer.Roster) {
	adoption := s.chain.Adopt(r)
	if !adoption.Adopted {
		return
	}
	s.table.AddMembers(s.Clock.Boot(), r.Members)
	s.votes.Prune(r.Generation)
	if adoption.Gap || !s.chain.Contains(s.settings.Self.MemberID) {
		s.confirmedUntil.Store(0)
	}
	s.publishView(adoption.Gap)
	s.count.generation.Update(int64(r.Generation))
	s.Events.Record(event.Event{Kind: event.RosterChanged, Detail: describe(r)})
}

// publishView makes the rosters in use decide about shares from now on. The caller holds mu.
func (s *Service) publishView(reset bool) {
	s.views.Store(s.ViewHistory().Append(s.Clock.Boot(), reset, s.chain.ActiveRosters()))
	s.Events.Record(event.Event{Kind: event.ShareChanged, Detail: describe(s.chain.Newest())})
}

// progress applies R3. The caller holds mu.
func (s *Service) progress() {
	self := s.settings.Self.MemberID
	knows := func(m peer.Member, generation uint64) bool {
		return m.MemberID == self || s.table.HasGeneration(m, generation)
	}
	if s.chain.RetireRosters(s.Clock.Boot(), knows) {
		s.publishView(false)
	}
}

func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

// others returns the members of the newest roster but this one.
func (s *Service) others() []peer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.chain.Members()), func(m peer.Member) bool {
		return m.MemberID == s.settings.Self.MemberID
	})
}

// sleep reports false if the context ended first.
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
