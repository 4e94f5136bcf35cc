package gossip

import (
	"context"
	"time"

	"tanagerwood.dev/api/routing"
)

// AnnounceVersions has a collector tell its readers and the other collectors that it has a new version of the configuration or of the
// endpoint list. An instance whose own watch was lost would otherwise hear of it with the next view or report only.
func (s *Service) AnnounceVersions() {
	if s.hasReaders() {
		s.versionsTriggered.Store(true)
		s.TriggerReport()
	}
}

// sendVersions sends the versions of this collector if they are new.
func (s *Service) sendVersions() {
	if !s.versionsTriggered.Swap(false) || !s.collectors.collecting() {
		return
	}
	config, endpoints := s.Mirror.Versions()
	s.mu.Lock()
	var addresses []string
	for name, p := range s.peers {
		if p.readsViews || containsInstance(s.collectors.members, name) {
			addresses = append(addresses, p.instance.Address)
		}
	}
	s.mu.Unlock()
	s.send(Message{Sender: s.Self, VersionsOnly: true, ConfigVersion: config, EndpointsRevision: endpoints, Evacuations: s.Mirror.EvacuationReport()}, addresses)
}

// AnnounceEvacuations has the other instances told of evacuations at once: by a collector its readers and the other collectors, by any
// other instance those to which it reports.
func (s *Service) AnnounceEvacuations() {
	if s.hasReaders() {
		s.AnnounceVersions()
		return
	}
	s.TriggerStatusReport()
}

// KnowsMembers reports whether the list of instances is known.
func (s *Service) KnowsMembers() bool { return s.discoveredAt.Load() > 0 }

// handleVersions applies an announcement of versions.
func (s *Service) handleVersions(m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[m.Sender.Name]; p != nil && p.instance.Incarnation == m.Sender.Incarnation {
		if s.collectors.hasView.Load() && containsInstance(s.collectors.members, m.Sender.Name) {
			s.recordContact(s.Boot())
		}
		s.compareVersions(p, m, s.Boot())
	}
}

// compareVersions records the versions of a peer in a message; s.mu is held. If they are newer, this instance catches up.
func (s *Service) compareVersions(p *peer, m Message, now time.Duration) {
	p.configVersion, p.endpointsRevision = m.ConfigVersion, m.EndpointsRevision
	s.catchUp(p, now)
}

// catchUp asks the platform again if the peer has had a newer version for a while; s.mu is held. It fetches the peer's copy if that does
// not help, or if this instance has no configuration and the platform does not answer.
func (s *Service) catchUp(p *peer, now time.Duration) {
	config, endpoints := s.Mirror.Versions()
	if p.configVersion <= config && p.endpointsRevision <= endpoints {
		p.behindSince = 0
		return
	}
	if p.behindSince == 0 {
		p.behindSince = now
	}
	s.scheduleCatchUp()
	if s.fetchFromCollector(p, now) {
		return
	}
	behind := now - p.behindSince
	hasConfig, receiving := config > 0, s.Mirror.IsReceiving()
	delay, interval := s.refreshTimes()
	if hasConfig && !receiving && behind >= delay && s.mayAskAgain(p, now) {
		s.askAgain(p, now, interval)
	}
	if s.fetching || behind < s.fetchDelay(hasConfig, receiving, now) || !hasConfig && now < s.fallbackAt {
		return
	}
	s.fetching = true
	s.earlyFetchAt = now + mirrorRefreshInterval
	p.behindSince = now
	address := p.instance.Address // copied, because later messages replace it under s.mu
	go func() {
		s.fetchState(context.Background(), address)
		s.mu.Lock()
		s.fetching = false
		s.mu.Unlock()
	}()
}

// refresh is a request to ask the platform again, with the newest versions that were known then.
type refresh struct {
	at                time.Duration
	config, endpoints uint64
}

// mayAskAgain reports whether the platform may be asked again because of the peer's versions; s.mu is held. A version newer than the one
// last asked for need not wait for the whole interval if the calls of the last request have been answered.
func (s *Service) mayAskAgain(p *peer, now time.Duration) bool {
	if now >= s.mirrorRefreshAt {
		return true
	}
	newer := p.configVersion > s.lastRefresh.config || p.endpointsRevision > s.lastRefresh.endpoints
	return newer && now-s.lastRefresh.at >= newerRefreshInterval && s.refreshAnswered(now)
}

// refreshAnswered reports whether both feeds have had an answer since the platform was last asked again; s.mu is held.
func (s *Service) refreshAnswered(now time.Duration) bool {
	configAge, endpointsAge := s.Mirror.AnswerAges()
	return max(configAge, endpointsAge) <= now-s.lastRefresh.at
}

// askAgain asks the platform again because of the peer's versions; s.mu is held. If this cancels unanswered calls, the next ones have
// mirrorRefreshInterval: a slow platform would never answer if its calls were cancelled again and again.
func (s *Service) askAgain(p *peer, now, interval time.Duration) {
	if !s.refreshAnswered(now) {
		interval = mirrorRefreshInterval
	}
	s.mirrorRefreshAt = now + interval
	s.lastRefresh = refresh{now, max(s.lastRefresh.config, p.configVersion), max(s.lastRefresh.endpoints, p.endpointsRevision)}
	s.Mirror.RestartWatches()
}

// refreshTimes returns how long a peer may have a newer version before the platform is asked again, and how often that may be.
func (s *Service) refreshTimes() (delay, interval time.Duration) {
	if s.hasReaders() {
		return collectorRefreshDelay, collectorRefreshInterval
	}
	return mirrorRefreshDelay, mirrorRefreshInterval
}

// hasReaders reports whether this instance is a collector of a fleet in which others read views.
func (s *Service) hasReaders() bool {
	return s.collectors.collecting() && s.FleetSize() > smallFleetSize
}

// fetchDelay is how long a peer may have a newer version before its copy is fetched; s.mu is held.
func (s *Service) fetchDelay(hasConfig, receiving bool, now time.Duration) time.Duration {
	switch {
	case hasConfig && s.hasReaders() && s.Mirror.IsAway():
		return collectorRefreshDelay // the readers wait for it, and refusals of the platform look like an answer that is arriving
	case receiving:
		return receivingFetchDelay
	case !hasConfig:
		return 0
	case s.Mirror.IsAway() && now >= s.earlyFetchAt:
		return mirrorRefreshDelay
	default:
		return stateFetchDelay
	}
}

// scheduleCatchUp has the peers that have newer versions looked at again after catchUpInterval; s.mu is held. Their next messages may
// come much later than the delays end.
func (s *Service) scheduleCatchUp() {
	if s.catchUpScheduled {
		return
	}
	s.catchUpScheduled = true
	time.AfterFunc(catchUpInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.catchUpScheduled = false
		now := s.Boot()
		for _, p := range s.peers {
			if p.behindSince != 0 && now-p.lastHeard <= s.viewTimeout() {
				s.catchUp(p, now)
			}
		}
	})
}

func (s *Service) fetchState(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := s.Transport.Fetch(ctx, address)
	if err != nil {
		s.Logger.Info().Str("event", "state.not_fetched").Str("from", address).Err(err).Msg("")
		return
	}
	s.Mirror.ApplySnapshot(state.Copy, address)
	s.addInstances(state.Instances)
	s.SendState(false)
}

// State returns the state that other instances fetch.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Copy: s.Mirror.Snapshot(), Instances: []routing.Instance{s.Self}}
	for _, p := range s.peers {
		state.Instances = append(state.Instances, p.instance)
	}
	return state
}
