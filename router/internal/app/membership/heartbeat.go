package membership

import (
	"context"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
)

const (
	// MaxFullMeshMembers is the largest fleet in which heartbeats are sent to all peers.
	MaxFullMeshMembers = 8
	// DefaultFanout is the default number of random peers that each round of heartbeats is sent to in a larger fleet.
	DefaultFanout = 2
	// maxSeedsPerRound is the number of heartbeats in a round to seed addresses whose member is not known yet.
	maxSeedsPerRound = 2
	// An instance sends its full entry in its first rounds, and in every fullEntryRoundInterval-th round after that. Members
	// that it does not reach get the entry from others, because their digests differ.
	initialFullEntryRounds = 20
	fullEntryRoundInterval = 16
)

// sendHeartbeats sends one round of heartbeats and returns the delay until the next one.
func (s *Service) sendHeartbeats(ctx context.Context) time.Duration {
	for _, address := range s.prepareHeartbeatRound() {
		s.goroutines.Go(func() { s.exchangeHeartbeat(ctx, address) })
	}
	return s.jitterHeartbeat(HeartbeatInterval)
}

// jitterHeartbeat varies an interval by up to a tenth. Without it the rounds of all instances stay synchronized, and news that
// arrives in one round is passed on only in the next: with 64 members the mean age of heartbeat entries was 1.16 s without
// jitter and 0.75 s with it.
func (s *Service) jitterHeartbeat(interval time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return interval*9/10 + time.Duration(s.random.Int64N(int64(interval/5)))
}

// prepareHeartbeatRound increments this instance's counter, updates the state that depends on the time, and returns the
// addresses for this round.
func (s *Service) prepareHeartbeatRound() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Boot()
	s.table.UpdateSelf(now, s.history.Generation(), s.Config.Current().Revision, s.draining.Load())
	s.table.PruneStale(now, s.history.Contains)
	s.retireRosters()
	s.refreshLiveMembers()
	s.recordConfirmationChange()
	return s.selectTargets()
}

// recordConfirmationChange records an event if the confirmation was gained or has expired. The caller must hold mu.
func (s *Service) recordConfirmationChange() {
	confirmed := s.Confirmed()
	if confirmed == s.wasConfirmed {
		return
	}
	s.wasConfirmed = confirmed
	if confirmed {
		s.counters.isConfirmed.Update(1)
		s.Events.Record(event.Event{Kind: event.ConfirmationGained})
		return
	}
	s.counters.isConfirmed.Update(0)
	s.Events.Record(event.Event{Kind: event.ConfirmationLost})
}

// selectTargets returns the addresses that one round of heartbeats is sent to. The caller must hold mu.
func (s *Service) selectTargets() []string {
	self := s.settings.Self
	known := map[string]bool{self.Address: true}
	var peers []string
	add := func(members []peer.Member) {
		for _, m := range members {
			if m.Name != self.Name && !known[m.Address] {
				known[m.Address] = true
				peers = append(peers, m.Address)
			}
		}
	}
	add(s.live.Load().Members)
	liveCount := len(peers)
	add(s.history.Members())
	if len(peers) >= MaxFullMeshMembers {
		peers = s.samplePeers(peers, liveCount)
	}
	return append(peers, s.sampleSeeds(known)...)
}

// samplePeers picks Fanout random live peers, and one that is not live, so that members that come back are found. The first
// liveCount peers are the live ones.
func (s *Service) samplePeers(peers []string, liveCount int) []string {
	live, silent := peers[:liveCount], peers[liveCount:]
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	chosen := append([]string(nil), live[:min(s.settings.Fanout, len(live))]...)
	if len(silent) > 0 {
		chosen = append(chosen, silent[s.random.IntN(len(silent))])
	}
	return chosen
}

func (s *Service) sampleSeeds(known map[string]bool) []string {
	var seeds []string
	add := func(address string) {
		if address != "" && !known[address] {
			known[address] = true
			seeds = append(seeds, address)
		}
	}
	for _, address := range s.settings.SeedAddresses {
		add(address)
	}
	routers, _ := s.Config.Routers()
	for _, r := range routers {
		if r.State == platform.InstanceLive {
			add(r.URL)
		}
	}
	s.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(maxSeedsPerRound, len(seeds))]
}

// exchangeHeartbeat sends one heartbeat and merges the reply.
func (s *Service) exchangeHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatInterval)
	defer cancel()
	s.counters.heartbeatsSent.Inc(1)
	reply, err := s.Peers.Heartbeat(ctx, address, s.buildHeartbeat())
	if err != nil {
		s.counters.heartbeatsFailed.Inc(1)
		return
	}
	s.mergeHeartbeat(reply)
}

// buildHeartbeat returns the heartbeat that this instance sends.
func (s *Service) buildHeartbeat() peer.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.heartbeatWithoutEntries()
	m.PullRoster = s.history.Generation() == 0 || s.rosterReader.lastReadFailed()
	m.Digests = s.table.Digests(s.Clock.Boot())
	if own := s.table.SelfEntry(); own.Counter < initialFullEntryRounds || own.Counter%fullEntryRoundInterval == 0 {
		m.Entries = []peer.HeartbeatEntry{own}
	}
	return m
}

// heartbeatWithoutEntries returns the fields that requests and replies have in common. The caller must hold mu.
func (s *Service) heartbeatWithoutEntries() peer.Heartbeat {
	members, own := s.history.Members(), s.table.SelfEntry()
	return peer.Heartbeat{
		From:             own.MemberID,
		Counter:          own.Counter,
		Revision:         own.CatalogueRevision,
		Draining:         own.Draining,
		Roster:           peer.Roster{Generation: s.history.Generation()},
		Counters:         s.table.EncodeCounters(s.Clock.Boot(), members),
		GenerationBitmap: s.table.GenerationBitmap(members, s.history.Generation()),
	}
}

// rosterNewerThan returns the newest roster, or only its generation if the given one is not older. The caller must hold mu.
func (s *Service) rosterNewerThan(generation uint64) peer.Roster {
	if generation >= s.history.Generation() {
		return peer.Roster{Generation: s.history.Generation()}
	}
	return s.history.Newest()
}

// mergeHeartbeat applies the heartbeat table and the roster that a peer has sent.
func (s *Service) mergeHeartbeat(m peer.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Boot()
	s.adoptFromPeer(m.Roster)
	changed := s.table.Merge(now, m.Entries)
	if s.table.MergeSender(now, m) {
		changed = append(changed, m.From)
	}
	if m.Roster.Generation == s.history.Generation() {
		members := s.history.Members()
		changed = append(changed, s.table.MergeCounters(now, members, m.Counters)...)
		s.table.MergeGenerationBitmap(members, m.Roster.Generation, m.GenerationBitmap)
	}
	s.retireRosters()
	if len(changed) == 0 {
		return
	}
	for _, id := range changed {
		s.Events.Record(event.Event{Kind: event.MemberAlive, Detail: id.Name})
	}
	s.refreshLiveMembers()
}

// adoptFromPeer adopts a peer's roster, unless it carries only the generation. The caller must hold mu.
func (s *Service) adoptFromPeer(r peer.Roster) {
	if len(r.Members) > 0 {
		s.adoptRoster(r)
	}
}

// ReceiveHeartbeat merges a peer's heartbeat and replies with one of this instance.
func (s *Service) ReceiveHeartbeat(_ context.Context, m peer.Heartbeat) (peer.Heartbeat, error) {
	s.mergeHeartbeat(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.heartbeatWithoutEntries()
	if m.PullRoster {
		reply.Roster = s.rosterNewerThan(m.Roster.Generation)
	}
	reply.Entries = s.table.DifferingEntries(s.Clock.Boot(), m.Digests)
	return reply, nil
}
