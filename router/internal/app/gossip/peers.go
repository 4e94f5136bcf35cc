package gossip

import (
	"context"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
)

// HandleMessage takes a message over.
func (s *Service) HandleMessage(m Message) {
	switch {
	case m.Sender.Name == s.Self.Name || m.Sender.Name == "":
		// Two instances with one name would answer each other's answers without end.
		s.Logger.Warn().Str("event", "message.foreign").Str("sender", m.Sender.Name).Str("address", m.Sender.Address).
			Msg("give each instance a name of its own")
	case m.RequestState:
		s.answer(m.Sender.Address)
	case m.ViewFor != "" && m.ViewFor == m.Sender.Name:
		s.sendView(m.Sender)
	case m.ViewFor != "":
		s.hearView(m)
	case m.Sequence == 0 && m.Stopped:
		s.leaveCollector(m.Sender.Name)
	case m.Sequence == 0:
		s.hearCollectors(m)
	default:
		s.hearReport(m)
	}
}

// hearReport takes a report over, if this instance is a collector.
func (s *Service) hearReport(m Message) {
	if !s.collectors.collecting() {
		s.mu.Lock()
		s.addMember(m.Sender)
		s.mu.Unlock()
		if !m.Stopped {
			s.sendView(m.Sender)
		}
		return
	}
	now := s.Boot()
	news := s.heard(m, now)
	if news.started {
		s.answer(m.Sender.Address)
	}
	if news.ask {
		s.send(Message{Sender: s.Self, RequestState: true}, []string{m.Sender.Address})
	}
	if !news.newer {
		return
	}
	s.Limiter.ApplyReport(m.Sender.Name, m.Sender.Incarnation, m.Spent, m.SpentBaseline, m.Partial, now)
	if news.complete {
		s.Limiter.ConfirmUpToDate(m.Sender.Name, m.Sender.Incarnation, now)
	}
	switch {
	case m.Stopped:
		s.forget(m.Sender.Name, "stopped")
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
		s.Availability.MergePeer(m.Leaving, now)
	}
	s.Queue.Hear(m.Sender.Name, m.Waiting)
	s.Queue.Dispatch()
	if news.mistaken || m.ViewFrom == s.Self.Name || m.ViewFrom == everyCollector {
		s.sendView(m.Sender)
	}
	if news.push {
		s.TriggerReport()
	}
}

// answer sends the whole state to an instance that has just started, or has missed a message.
func (s *Service) answer(address string) {
	s.mu.Lock()
	m := s.whole(s.ledger())
	s.sequence++
	m.Sequence, m.ReportNumber = s.sequence, s.number
	s.mu.Unlock()
	s.send(m, []string{address})
}

// news is what a message means for this instance.
type news struct {
	// newer messages are the sender's newest, started ones the first of its life.
	newer, started bool
	// complete says that no message of the sender is missing, ask that its whole state is to be asked for.
	complete, ask bool
	// mistaken senders take themselves for collectors, and are none; push says that readers with waiting requests are to be told.
	mistaken, push bool
}

// heard enters the sender of a message.
func (s *Service) heard(m Message, now time.Duration) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[m.Sender.Name]
	if p == nil {
		p = &peer{silent: true}
		s.peers[m.Sender.Name] = p
		s.others.Store(int64(len(s.peers)))
	}
	if m.Sender.Incarnation == p.instance.Incarnation && m.Sequence <= p.sequence {
		// A whole state that a later message has overtaken is of no use any more, and is asked for again.
		return news{ask: !m.Partial && !p.complete}
	}
	if m.Sender.Incarnation < p.instance.Incarnation {
		return news{}
	}
	started := m.Sender.Incarnation != p.instance.Incarnation || p.sequence == 0
	if p.silent || started {
		s.Logger.Info().Str("event", "instance.heard").Str("peer", m.Sender.Name).Uint64("incarnation", m.Sender.Incarnation).Msg("")
	}
	p.complete = !m.Partial || !started && p.complete && m.ReportNumber == p.number+1
	ask := !p.complete && now-p.asked >= askPause
	if ask {
		p.asked = now
	}
	elect := p.silent || p.instance != m.Sender
	p.instance, p.sequence, p.number, p.heard, p.silent = m.Sender, m.Sequence, m.ReportNumber, now, false
	p.toldAlive = now
	p.waits = len(m.Waiting) > 0
	if m.ViewFrom != "" {
		p.reads = m.ViewFrom == s.Self.Name
	}
	if elect {
		s.elect()
	}
	s.compare(p, m, now)
	mistaken := len(m.Collectors) > 0 && !contains(s.collectors.set, m.Sender.Name)
	return news{newer: true, started: started, complete: p.complete, ask: ask, mistaken: mistaken, push: !m.Periodic && s.hasWaitingReaders()}
}

// hasWaitingReaders reports whether an instance that reads here has waiting requests; s.mu is held.
func (s *Service) hasWaitingReaders() bool {
	for _, p := range s.peers {
		if p.reads && p.waits {
			return true
		}
	}
	return false
}

// compare asks the platform again if the peer has known something newer for a while, and fetches the peer's copy if that does
// not help, or if this instance knows nothing and the platform does not answer.
func (s *Service) compare(p *peer, m Message, now time.Duration) {
	config, endpoints := s.Mirror.Versions()
	if m.ConfigVersion <= config && m.EndpointsRevision <= endpoints {
		p.behind = 0
		return
	}
	if p.behind == 0 {
		p.behind = now
	}
	known, receiving := config > 0, s.Mirror.IsReceiving()
	if known && !receiving && now-p.behind >= behindFor && now >= s.refreshAt {
		s.refreshAt = now + refreshPause
		s.Mirror.RestartWatches()
	}
	patience := fetchAfter
	switch {
	case receiving:
		patience = fetchLate
	case !known:
		patience = 0
	}
	if s.fetching || now-p.behind < patience || !known && now < s.fallbackAt {
		return
	}
	s.fetching = true
	p.behind = now
	address := p.instance.Address // copied, as later messages replace it under s.mu
	go func() {
		s.fetch(context.Background(), address)
		s.mu.Lock()
		s.fetching = false
		s.mu.Unlock()
	}()
}

func (s *Service) fetch(ctx context.Context, address string) {
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

// State is what another instance gets that asks.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Copy: s.Mirror.Snapshot(), Instances: []routing.Instance{s.Self}}
	for _, p := range s.peers {
		state.Instances = append(state.Instances, p.instance)
	}
	return state
}

// expirePeers notes silent instances and forgets those that are gone.
func (s *Service) expirePeers() {
	now, period := s.Boot(), s.period()
	s.Limiter.SetSilenceTimeout(silentPeriods * period)
	var silent, gone []string
	s.mu.Lock()
	s.checkViews(now)
	for name, p := range s.peers {
		switch {
		case !s.collectors.collecting():
		case now-p.heard > forgottenAfter:
			gone = append(gone, name)
		case now-p.heard > max(lostAfter, lostPeriods*period) && !p.silent:
			p.silent = true
			silent = append(silent, name)
		}
	}
	if s.collectors.collecting() {
		s.elect()
	}
	s.mu.Unlock()
	for _, name := range silent {
		s.Logger.Warn().Str("event", "instance.silent").Str("peer", name).Dur("for", lostAfter).Msg("")
		s.EndpointLoad.ReplacePeer(name, nil)
		s.Queue.Hear(name, nil)
	}
	for _, name := range gone {
		s.forget(name, "silent")
		if s.IsLeader() {
			go s.unlist(name)
		}
	}
}

// IsLeader reports whether this instance acts for all: it has the smallest name of the collectors that are heard. Instances that do
// not hear each other may lead at the same time.
func (s *Service) IsLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collectors.reading.Load() {
		return false
	}
	for _, in := range s.collectors.set {
		if p := s.peers[in.Name]; p != nil && !p.silent && in.Name < s.Self.Name {
			return false
		}
	}
	return true
}

// unlist removes an instance that is gone from the platform's list, where instances that start would expect it. One that
// was cut off only goes on, since the others hear it without the list.
func (s *Service) unlist(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := s.Registry.RemoveInstance(ctx, name); err != nil {
		s.Logger.Warn().Str("event", "instance.not_unlisted").Str("peer", name).Err(err).Msg("")
	}
}

func (s *Service) forget(name, reason string) {
	s.mu.Lock()
	delete(s.peers, name)
	s.others.Store(int64(len(s.peers)))
	s.elect()
	s.mu.Unlock()
	s.dropState(name)
	s.Logger.Info().Str("event", "instance.forgotten").Str("peer", name).Str("reason", reason).Msg("")
}
