package gossip

import (
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

const (
	// firstViewTimeout is how long a starting instance waits for its first view.
	firstViewTimeout = 1500 * time.Millisecond
	// viewRequestTimeout bounds the wait for a view before a request is placed. A round trip takes a few milliseconds.
	viewRequestTimeout = 50 * time.Millisecond
	// minPushInterval is the least time between unasked views to a reader with waiting requests.
	minPushInterval = 20 * time.Millisecond
)

// aggregateName is the instance name under which a reader stores the aggregated state of its views.
const aggregateName = ""

// requestView requests a view from the primary collector, or from all collectors if none is known to answer.
func (s *Service) requestView() {
	s.mu.Lock()
	addresses := []string{s.addressOf(s.collectors.primary)}
	if s.collectors.primary == allCollectors {
		addresses = s.reportAddresses()
	}
	s.mu.Unlock()
	s.send(Message{Sender: s.Self, ViewFor: s.Self.Name}, addresses)
}

// RefreshView waits until this instance knows the current state of the others. Collectors always do; a reader requests a view and
// waits for it until done is closed or viewRequestTimeout has passed.
func (s *Service) RefreshView(done <-chan struct{}) {
	if s.collectors.collecting() {
		return
	}
	s.mu.Lock()
	arrival, primary := s.collectors.viewArrived, s.collectors.primary
	s.mu.Unlock()
	if primary == allCollectors {
		return // no collector answers; see checkPrimary
	}
	s.requestView()
	timer := time.NewTimer(viewRequestTimeout)
	defer timer.Stop()
	select {
	case <-arrival:
	case <-done:
	case <-timer.C:
		s.Limiter.MarkAggregateSilent()
		s.Logger.Info().Str("event", "view.late").Str("from", primary).Msg("")
	}
}

// addressOf returns the address of a peer, or "" if it is unknown; s.mu is held.
func (s *Service) addressOf(name string) string {
	if p := s.peers[name]; p != nil {
		return p.instance.Address
	}
	return ""
}

// buildView returns the aggregated state of all instances but the reader; s.mu is not held.
func (s *Service) buildView(reader string) Message {
	now := s.Boot()
	config, endpoints := s.Mirror.Versions()
	m := Message{
		Sender: s.Self, ViewFor: reader, ConfigVersion: config, EndpointsRevision: endpoints, Spent: s.Limiter.SpentExcluding(reader), BucketLevels: s.Limiter.BucketLevels(now), Work: s.EndpointLoad.TotalExcept(reader),
		Waiting: s.Queue.WaitingExcept(reader), Transitions: s.Transitions.All(now), Outcomes: s.Health.ReportExcluding(reader, now), Speeds: s.Speeds.ReportExcluding(reader, now),
		Leaving: s.Availability.LeavingEndpoints(now), Limits: s.Availability.AllLimits(now),
		Crashes: s.Quarantine.Suspect(now), Evacuations: s.Mirror.EvacuationReport(), PlatformAnswerAgeMS: answerAgeMS(s.Mirror.FleetAnswerAge()),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	m.Sequence, m.InstanceCount, m.Collectors, m.Standbys = s.sequence, len(s.peers)+1, s.collectors.members, s.collectors.standbys
	return m
}

// sendView sends a view to a reader. An instance that is no collector, or does not know the state of the fleet yet, sends only
// the list of collectors.
func (s *Service) sendView(to routing.Instance) {
	switch {
	case s.collectors.collecting() && s.Joined():
		s.send(s.buildView(to.Name), []string{to.Address})
		return
	case !s.collectors.collecting() && !s.collectors.hasView.Load():
		return
	}
	s.mu.Lock()
	m := Message{Sender: s.Self, Collectors: s.collectors.members, ViewFrom: s.collectors.primary}
	s.mu.Unlock()
	s.send(m, []string{to.Address})
}

// pushViews sends views to the readers that have waiting requests.
func (s *Service) pushViews() {
	if !s.collectors.collecting() {
		return
	}
	now := s.Boot()
	var readers []routing.Instance
	postponed := false
	s.mu.Lock()
	for _, p := range s.peers {
		switch {
		case !p.readsViews || !p.hasWaiting:
		case now-p.lastViewSent < minPushInterval:
			postponed = true
		default:
			p.lastViewSent = now
			readers = append(readers, p.instance)
		}
	}
	s.mu.Unlock()
	for _, in := range readers {
		s.sendView(in)
	}
	if postponed {
		time.AfterFunc(minPushInterval, s.TriggerReport)
	}
}

// redirectReaders has the readers of this collector choose another one at once, because it stops.
func (s *Service) redirectReaders() {
	if !s.collectors.collecting() {
		return
	}
	var readers []string
	s.mu.Lock()
	for _, p := range s.peers {
		if p.readsViews {
			readers = append(readers, p.instance.Address)
		}
	}
	s.mu.Unlock()
	s.send(Message{Sender: s.Self, Stopped: true}, readers)
}

// handleCollectorStop chooses another collector if the primary one stops.
func (s *Service) handleCollectorStop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.collectors
	c.failedUntil[name] = s.Boot() + failedTimeout
	if c.primary == name {
		c.hasView.Store(false)
		c.primary = s.choosePrimary(s.Boot())
	}
}

// handleView applies a view.
func (s *Service) handleView(m Message) {
	s.handleCollectors(m)
	now := s.Boot()
	s.mu.Lock()
	c := &s.collectors
	if c.collecting() || m.ViewFor != s.Self.Name {
		s.mu.Unlock()
		return
	}
	s.addPeer(m.Sender)
	p := s.peers[m.Sender.Name]
	if m.Sender.Incarnation < p.instance.Incarnation || m.Sender.Incarnation == p.instance.Incarnation && m.Sequence <= p.sequence {
		s.mu.Unlock()
		return
	}
	p.instance, p.sequence, p.lastHeard, p.silent = m.Sender, m.Sequence, now, false
	if c.primary != m.Sender.Name && c.hasView.Load() {
		s.mu.Unlock()
		return // views of different collectors have no common order
	}
	c.primary, c.lastView = m.Sender.Name, now
	delete(c.failedUntil, m.Sender.Name)
	c.hasView.Store(true)
	s.peerCount.Store(int64(max(0, m.InstanceCount-1)))
	s.recordContact(now)
	s.compareVersions(p, m, now)
	arrival := c.viewArrived
	c.viewArrived = make(chan struct{})
	c.spentBaseline = s.Limiter.LocalSpent()
	s.mu.Unlock()
	s.recordPlatformAnswer(m, now)
	s.mergeCrashes(m, now)
	s.mergeLimits(m, now) // before the requests that were sent under these limits
	s.Limiter.ApplyAggregate(sharedlimit.AggregateReport{
		Source: m.Sender.Name, Incarnation: m.Sender.Incarnation, Instances: m.InstanceCount - 1, Spent: m.Spent, Levels: m.BucketLevels,
	}, now)
	if m.Work == nil {
		m.Work = map[string]inflight.Load{}
	}
	s.EndpointLoad.ReplacePeer(aggregateName, m.Work)
	s.Transitions.ReplacePeer(aggregateName, m.Transitions, now)
	s.Health.ApplyReport(aggregateName, m.Outcomes, now)
	s.Speeds.ApplyReport(aggregateName, m.Speeds, now)
	s.Availability.MergePeer(m.Leaving, now)
	s.Queue.ReplacePeerRequests(aggregateName, m.Waiting)
	close(arrival)
	s.Queue.Dispatch()
}
