package gossip

import (
	"context"
	"time"

	"tanagerwood.dev/router/internal/domain/inflight"
)

// HandleMessage applies a message of another instance.
func (s *Service) HandleMessage(m Message) {
	switch {
	case m.Sender.Name == s.Self.Name || m.Sender.Name == "":
		// Two instances of the same name would answer each other's messages endlessly.
		s.Logger.Warn().Str("event", "message.foreign").Str("sender", m.Sender.Name).Str("address", m.Sender.Address).
			Msg("ignored a message with the name of this instance; give each instance a unique name")
	case m.RequestState:
		s.sendFullStateTo(m.Sender.Address)
	case m.ViewFor != "" && m.ViewFor == m.Sender.Name:
		s.sendView(m.Sender)
	case m.ViewFor != "":
		s.handleView(m)
	case m.VersionsOnly:
		s.handleVersions(m)
	case m.Sequence == 0 && m.Stopped:
		s.handleCollectorStop(m.Sender.Name)
	case m.Sequence == 0:
		s.handleCollectors(m)
	default:
		s.handleReport(m)
	}
}

// handleReport applies a report if this instance is a collector.
func (s *Service) handleReport(m Message) {
	if !s.collectors.collecting() {
		s.mu.Lock()
		s.addPeer(m.Sender)
		s.mu.Unlock()
		if !m.Stopped {
			s.sendView(m.Sender)
		}
		return
	}
	now := s.Boot()
	result := s.recordReport(m, now)
	if result.firstOfStart {
		s.sendFullStateTo(m.Sender.Address)
	}
	if result.requestState {
		s.send(Message{Sender: s.Self, RequestState: true}, []string{m.Sender.Address})
	}
	if !result.isNew {
		return
	}
	s.recordPlatformAnswer(m, now)
	s.mergeLimits(m, now) // before the requests that were sent under these limits
	s.mergeCrashes(m, now)
	s.Limiter.ApplyReport(m.Sender.Name, m.Sender.Incarnation, m.Spent, m.SpentBaseline, m.Partial, now)
	if result.complete {
		s.Limiter.ConfirmUpToDate(m.Sender.Name, m.Sender.Incarnation, now)
	}
	switch {
	case m.Stopped:
		s.forgetPeer(m.Sender.Name, "stopped")
	case m.Partial:
		s.EndpointLoad.UpdatePeer(m.Sender.Name, m.Work)
	case m.Work == nil:
		s.EndpointLoad.ReplacePeer(m.Sender.Name, map[string]inflight.Load{})
	default:
		s.EndpointLoad.ReplacePeer(m.Sender.Name, m.Work)
	}
	if m.Periodic {
		s.Transitions.ReplacePeer(m.Sender.Name, m.Transitions, now)
		s.Health.ApplyReport(m.Sender.Name, m.Outcomes, now)
		s.Speeds.ApplyReport(m.Sender.Name, m.Speeds, now)
		s.Availability.MergePeer(m.Leaving, now)
	}
	s.Queue.ReplacePeerRequests(m.Sender.Name, m.Waiting)
	s.Queue.Dispatch()
	if result.notCollector || m.ViewFrom == s.Self.Name || m.ViewFrom == allCollectors {
		s.sendView(m.Sender)
	}
	if result.pushViews {
		s.TriggerReport()
	}
}

// maxAnswerAge is the age from which an answer of the platform to another instance tells nothing.
const maxAnswerAge = time.Hour

// recordPlatformAnswer records when the platform last answered another instance.
func (s *Service) recordPlatformAnswer(m Message, now time.Duration) {
	if m.PlatformAnswerAgeMS > 0 && m.PlatformAnswerAgeMS < maxAnswerAge.Milliseconds() {
		s.Mirror.RecordPeerAnswer(now - time.Duration(m.PlatformAnswerAgeMS)*time.Millisecond)
	}
}

// mergeLimits applies the request limits that endpoints have stated to other instances.
func (s *Service) mergeLimits(m Message, now time.Duration) {
	for _, l := range s.Availability.MergePeerLimits(m.Limits, now) {
		s.Logger.Info().Str("event", "endpoint.limit").Str("endpoint", l.Endpoint).Str("from", m.Sender.Name).Bool("ended", l.Ended).
			Float64("per_second", l.PerSecond).Int64("age_ms", l.AgeMS).Msg("")
	}
}

// mergeCrashes applies the crashes of engines that other instances have observed.
func (s *Service) mergeCrashes(m Message, now time.Duration) {
	before := len(s.Quarantine.Quarantined(now))
	if s.Quarantine.MergePeer(m.Crashes, now) && len(s.Quarantine.Quarantined(now)) != before {
		s.Logger.Warn().Str("event", "prompt.quarantined").Str("from", m.Sender.Name).Any("parts", s.Quarantine.Quarantined(now)).Msg("")
	}
}

// sendFullStateTo sends the full state to an instance that has just started or has missed a message.
func (s *Service) sendFullStateTo(address string) {
	s.mu.Lock()
	m := s.fullState(s.ownState())
	s.sequence++
	m.Sequence, m.ReportNumber = s.sequence, s.reportNumber
	s.mu.Unlock()
	s.send(m, []string{address})
}

// reportResult says how a report is to be handled.
type reportResult struct {
	// isNew is set if the report is the sender's latest one, firstOfStart if it is the first one since the sender started.
	isNew, firstOfStart bool
	// complete is set if no report of the sender is missing, requestState if its full state is to be requested.
	complete, requestState bool
	// notCollector is set if the sender wrongly acts as a collector, pushViews if readers with waiting requests are to be sent
	// views.
	notCollector, pushViews bool
}

// recordReport updates the entry of the sender.
func (s *Service) recordReport(m Message, now time.Duration) reportResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[m.Sender.Name]
	if p == nil {
		p = &peer{silent: true}
		s.peers[m.Sender.Name] = p
		s.peerCount.Store(int64(len(s.peers)))
	}
	if m.Sender.Incarnation == p.instance.Incarnation && m.Sequence <= p.sequence {
		// A full state that a later message has overtaken cannot be applied and is requested again.
		return reportResult{requestState: !m.Partial && !p.complete}
	}
	if m.Sender.Incarnation < p.instance.Incarnation {
		return reportResult{}
	}
	started := m.Sender.Incarnation != p.instance.Incarnation || p.sequence == 0
	if p.silent || started {
		s.Logger.Info().Str("event", "instance.heard").Str("peer", m.Sender.Name).Uint64("incarnation", m.Sender.Incarnation).Msg("")
	}
	p.complete = !m.Partial || !started && p.complete && m.ReportNumber == p.reportNumber+1
	requestState := !p.complete && now-p.stateRequestedAt >= stateRequestInterval
	if requestState {
		p.stateRequestedAt = now
	}
	reelect := p.silent || p.instance != m.Sender
	p.instance, p.sequence, p.reportNumber, p.lastHeard, p.silent = m.Sender, m.Sequence, m.ReportNumber, now, false
	p.lastAlive = now
	p.hasWaiting = len(m.Waiting) > 0
	if m.ViewFrom != "" {
		p.readsViews = m.ViewFrom == s.Self.Name
	}
	if reelect {
		s.electCollectors()
	}
	s.compareVersions(p, m, now)
	notCollector := len(m.Collectors) > 0 && !containsInstance(s.collectors.members, m.Sender.Name)
	return reportResult{isNew: true, firstOfStart: started, complete: p.complete, requestState: requestState, notCollector: notCollector, pushViews: !m.Periodic && s.hasWaitingReaders()}
}

// hasWaitingReaders reports whether a reader of this instance's views has waiting requests; s.mu is held.
func (s *Service) hasWaitingReaders() bool {
	for _, p := range s.peers {
		if p.readsViews && p.hasWaiting {
			return true
		}
	}
	return false
}

// expirePeers marks silent instances and removes those that have been silent for forgetTimeout.
func (s *Service) expirePeers() {
	now, period := s.Boot(), s.reportPeriod()
	s.Limiter.SetSilenceTimeout(silentPeriods * period)
	var silent, gone []string
	s.mu.Lock()
	s.checkPrimary(now)
	for name, p := range s.peers {
		switch {
		case !s.collectors.collecting():
		case now-p.lastHeard > forgetTimeout:
			gone = append(gone, name)
		case now-p.lastHeard > max(lostTimeout, lostPeriods*period) && !p.silent:
			p.silent = true
			silent = append(silent, name)
		}
	}
	if s.collectors.collecting() {
		s.electCollectors()
	}
	s.mu.Unlock()
	for _, name := range silent {
		s.Logger.Warn().Str("event", "instance.silent").Str("peer", name).Dur("for", lostTimeout).Msg("")
		s.EndpointLoad.ReplacePeer(name, nil)
		s.Queue.ReplacePeerRequests(name, nil)
	}
	for _, name := range gone {
		s.forgetPeer(name, "silent")
		if s.IsLeader() {
			go s.unregister(name)
		}
	}
}

// IsLeader reports whether this instance acts for the whole fleet: its name is the smallest of the collectors that are not
// silent. Instances that cannot reach each other may both be leaders at the same time.
func (s *Service) IsLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collectors.reading.Load() {
		return false
	}
	for _, in := range s.collectors.members {
		if p := s.peers[in.Name]; p != nil && !p.silent && in.Name < s.Self.Name {
			return false
		}
	}
	return true
}

// unregister removes an instance from the platform's list, in which starting instances would find it. An instance that was only
// cut off works on, because the others hear its reports without the list.
func (s *Service) unregister(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := s.Registry.RemoveInstance(ctx, name); err != nil {
		s.Logger.Warn().Str("event", "instance.not_unlisted").Str("peer", name).Err(err).Msg("")
	}
}

func (s *Service) forgetPeer(name, reason string) {
	s.mu.Lock()
	delete(s.peers, name)
	s.peerCount.Store(int64(len(s.peers)))
	s.electCollectors()
	s.mu.Unlock()
	s.dropPeerState(name)
	s.Logger.Info().Str("event", "instance.forgotten").Str("peer", name).Str("reason", reason).Msg("")
}
