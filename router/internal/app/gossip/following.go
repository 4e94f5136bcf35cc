package gossip

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tanagerwood.dev/router/internal/app/routingcache"
)

const (
	// A reader relies on a collector for contactPeriods report periods after its last message, at least minContactTime, but at most for
	// the part 1/contactLimitDivisor of the propagation limit: the rest is for its own call. Views come once in a period, so that it is at
	// least minContactPeriods.
	contactPeriods      = 3
	minContactTime      = 1500 * time.Millisecond
	contactLimitDivisor = 2
	minContactPeriods   = 1.5
	// slowFetch is the time after which a reader asks the platform besides the collector.
	slowFetch = 300 * time.Millisecond
	// ownWatchTime is how long a reader watches the platform itself after a collector's answer failed or was slow.
	ownWatchTime = 5 * time.Second
	// fetchSpread is the time over which the readers of a collector fetch a new version.
	fetchSpread = 60 * time.Millisecond
)

// followState is what a reader knows of the collector from which it learns of new versions.
type followState struct {
	// contactUntil is until when the reader relies on a collector, in time since boot. It is atomic because it is read while other locks
	// are held.
	contactUntil atomic.Int64
	// Service.mu guards the others: until when the reader does not rely on a collector, when it may fetch again, and whether it fetches.
	blockedUntil, nextFetchAt time.Duration
	fetching                  bool
}

// FetchOutcome is how a fetch of a newer state from a collector ended.
type FetchOutcome int

// The outcomes of fetches.
const (
	FetchChanged FetchOutcome = iota
	FetchWhole
	FetchUnchanged
	FetchMismatch
	FetchSlow
	FetchFailed
	fetchOutcomes
)

// fetchOutcomeNames are the names of the outcomes in metrics.
var fetchOutcomeNames = [fetchOutcomes]string{"changed", "whole", "unchanged", "mismatch", "slow", "failed"}

// FetchOutcomes lists all outcomes.
func FetchOutcomes() (all []FetchOutcome) {
	for o := range fetchOutcomes {
		all = append(all, o)
	}
	return all
}

// String returns the name of the outcome in metrics.
func (o FetchOutcome) String() string { return fetchOutcomeNames[o] }

// Fetches returns the number of fetches with the outcome. A slow fetch is counted again when it ends.
func (s *Service) Fetches(o FetchOutcome) int64 { return s.fetchCounts[o].Load() }

// CollectorContact implements routingcache.Fleet.
func (s *Service) CollectorContact() time.Duration {
	if !s.readsInLargeFleet() {
		return 0
	}
	return time.Duration(s.follow.contactUntil.Load()) - s.Boot()
}

// WatchingInstances implements routingcache.Fleet.
func (s *Service) WatchingInstances() int {
	if s.collectors.collecting() {
		return collectorCount(s.FleetSize())
	}
	return s.FleetSize()
}

func (s *Service) readsInLargeFleet() bool {
	return !s.collectors.collecting() && s.FleetSize() > smallFleetSize
}

// recordContact records that a collector was heard; s.mu is held.
func (s *Service) recordContact(now time.Duration) {
	if now < s.follow.blockedUntil {
		return
	}
	period := s.reportPeriod()
	least := time.Duration(minContactPeriods * float64(period))
	contact := min(max(minContactTime, contactPeriods*period), max(least, s.Mirror.ShortestLimit()/contactLimitDivisor))
	s.follow.contactUntil.Store(int64(now + contact))
}

// fetchFromCollector fetches the newer versions of a collector if this instance relies on collectors, and reports whether it does; s.mu is
// held. Versions in quick succession share a fetch.
func (s *Service) fetchFromCollector(p *peer, now time.Duration) (relies bool) {
	if s.CollectorContact() <= 0 {
		return false
	}
	if now-p.behindSince > s.Mirror.ShortestLimit()/contactLimitDivisor {
		s.stopFollowing(now) // its answers do not hold what it announces
		return false
	}
	if s.follow.fetching || now < s.follow.nextFetchAt {
		return true
	}
	s.follow.fetching = true
	s.follow.nextFetchAt = now + s.Mirror.ChangePause()
	name, address := p.instance.Name, p.instance.Address
	time.AfterFunc(rand.N(fetchSpread), func() { s.fetchNewer(name, address) })
	return true
}

// stopFollowing has this instance watch the platform itself for a while; s.mu is held.
func (s *Service) stopFollowing(now time.Duration) {
	s.follow.blockedUntil = now + ownWatchTime
	s.follow.contactUntil.Store(0)
	s.Mirror.RestartWatches()
}

// fetchNewer fetches and applies what is newer at a collector.
func (s *Service) fetchNewer(name, address string) {
	slow := time.AfterFunc(slowFetch, func() { s.endFetch(name, FetchSlow) })
	defer slow.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	outcome := s.applyNewer(ctx, s.Mirror.Known(), address)
	if outcome == FetchMismatch {
		s.fetchCounts[FetchMismatch].Add(1)
		known := s.Mirror.Known()
		known.Endpoints = 0
		outcome = s.applyNewer(ctx, known, address)
	}
	s.endFetch(name, outcome)
}

func (s *Service) applyNewer(ctx context.Context, known routingcache.Known, address string) FetchOutcome {
	state, err := s.Transport.FetchNewer(ctx, address, known)
	if err != nil {
		s.Logger.Info().Str("event", "state.not_fetched").Str("from", address).Err(err).Msg("")
		return FetchFailed
	}
	// The age of the collector's last answer comes first: it shows whether entries that are missing may have expired in an outage.
	s.recordPlatformAnswer(Message{PlatformAnswerAgeMS: state.PlatformAnswerAgeMS}, s.Boot())
	switch {
	case !s.Mirror.ApplyNewer(state.Copy, address):
		return FetchMismatch
	case state.Copy.Endpoints != nil:
		return FetchWhole
	case state.Copy.Changes != nil || state.Copy.Config != nil:
		return FetchChanged
	default:
		return FetchUnchanged
	}
}

// endFetch counts the outcome of a fetch from a collector, and looks whether the collector has newer versions still.
func (s *Service) endFetch(name string, outcome FetchOutcome) {
	s.fetchCounts[outcome].Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, p := s.Boot(), s.peers[name]
	switch outcome {
	case FetchSlow:
		s.stopFollowing(now)
		return
	case FetchFailed, FetchMismatch:
		s.stopFollowing(now)
	case FetchChanged, FetchWhole:
		if p != nil && p.behindSince != 0 {
			p.behindSince = now
		}
	}
	s.follow.fetching = false
	if p != nil && p.behindSince != 0 {
		s.catchUp(p, now)
	}
}

// StateSince returns what is newer than the state of another instance.
func (s *Service) StateSince(known routingcache.Known) State {
	return State{Copy: s.Mirror.SnapshotSince(known), PlatformAnswerAgeMS: answerAgeMS(s.Mirror.FleetAnswerAge())}
}
