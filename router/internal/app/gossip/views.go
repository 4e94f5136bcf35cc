package gossip

import (
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

const (
	// viewPatience is how long an instance that starts waits for its first view.
	viewPatience = 1500 * time.Millisecond
	// refreshTimeout bounds the wait for a view before a request is placed. A round trip takes a few milliseconds.
	refreshTimeout = 50 * time.Millisecond
	// pushPause is the least time between the views that an instance with waiting requests is sent unasked.
	pushPause = 20 * time.Millisecond
)

// othersName is the name under which a reader enters what its views sum up.
const othersName = ""

// askView asks for a view, all collectors if none is known to answer.
func (s *Service) askView() {
	s.mu.Lock()
	addresses := []string{s.addressOf(s.collectors.primary)}
	if s.collectors.primary == everyCollector {
		addresses = s.reportTo()
	}
	s.mu.Unlock()
	s.send(Message{Sender: s.Self, ViewFor: s.Self.Name}, addresses)
}

// RefreshView waits until this instance knows the present state of the others: a collector does, a reader asks for a view.
func (s *Service) RefreshView(done <-chan struct{}) {
	if s.collectors.collecting() {
		return
	}
	s.mu.Lock()
	arrival, primary := s.collectors.arrival, s.collectors.primary
	s.mu.Unlock()
	if primary == everyCollector {
		return // no view is to be had; see checkViews
	}
	s.askView()
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-arrival:
	case <-done:
	case <-timer.C:
		s.Limiter.MarkAggregateSilent()
		s.Logger.Info().Str("event", "view.late").Str("from", primary).Msg("")
	}
}

// addressOf returns the address of an instance; s.mu is held.
func (s *Service) addressOf(name string) string {
	if p := s.peers[name]; p != nil {
		return p.instance.Address
	}
	return ""
}

// view returns what the other instances do, for one of them; s.mu is not held.
func (s *Service) view(reader string) Message {
	now := s.Boot()
	config, endpoints := s.Mirror.Versions()
	m := Message{
		Sender: s.Self, ViewFor: reader, ConfigVersion: config, EndpointsRevision: endpoints, Spent: s.Limiter.SpentExcluding(reader), BucketLevels: s.Limiter.BucketLevels(now), Work: s.EndpointLoad.TotalExcept(reader),
		Waiting: s.Queue.WaitingExcept(reader), Transitions: s.Transitions.All(now), Outcomes: s.Health.ReportExcluding(reader, now),
		Leaving: s.Availability.LeavingEndpoints(now),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	m.Sequence, m.InstanceCount, m.Collectors, m.Standbys = s.sequence, len(s.peers)+1, s.collectors.set, s.collectors.standbys
	return m
}

// sendView sends a view to an instance that reads here. An instance that does not collect, or not yet know the others, tells
// only who collects.
func (s *Service) sendView(to routing.Instance) {
	switch {
	case s.collectors.collecting() && s.Joined():
		s.send(s.view(to.Name), []string{to.Address})
		return
	case !s.collectors.collecting() && !s.collectors.hasView.Load():
		return
	}
	s.mu.Lock()
	m := Message{Sender: s.Self, Collectors: s.collectors.set, ViewFrom: s.collectors.primary}
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
	later := false
	s.mu.Lock()
	for _, p := range s.peers {
		switch {
		case !p.reads || !p.waits:
		case now-p.viewed < pushPause:
			later = true
		default:
			p.viewed = now
			readers = append(readers, p.instance)
		}
	}
	s.mu.Unlock()
	for _, in := range readers {
		s.sendView(in)
	}
	if later {
		time.AfterFunc(pushPause, s.TriggerReport)
	}
}

// redirectReaders has the readers of a collector that stops turn to others at once.
func (s *Service) redirectReaders() {
	if !s.collectors.collecting() {
		return
	}
	var readers []string
	s.mu.Lock()
	for _, p := range s.peers {
		if p.reads {
			readers = append(readers, p.instance.Address)
		}
	}
	s.mu.Unlock()
	s.send(Message{Sender: s.Self, Stopped: true}, readers)
}

// leaveCollector turns to another collector, because the present one stops.
func (s *Service) leaveCollector(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.collectors
	c.failed[name] = s.Boot() + failedFor
	if c.primary == name {
		c.hasView.Store(false)
		c.primary = s.choosePrimary(s.Boot())
	}
}

// hearView takes a view over.
func (s *Service) hearView(m Message) {
	s.hearCollectors(m)
	now := s.Boot()
	s.mu.Lock()
	c := &s.collectors
	if c.collecting() || m.ViewFor != s.Self.Name {
		s.mu.Unlock()
		return
	}
	s.addMember(m.Sender)
	p := s.peers[m.Sender.Name]
	if m.Sender.Incarnation < p.instance.Incarnation || m.Sender.Incarnation == p.instance.Incarnation && m.Sequence <= p.sequence {
		s.mu.Unlock()
		return
	}
	p.instance, p.sequence, p.heard, p.silent = m.Sender, m.Sequence, now, false
	if c.primary != m.Sender.Name && c.hasView.Load() {
		s.mu.Unlock()
		return // the views of one collector follow each other, those of several do not
	}
	c.primary, c.viewed = m.Sender.Name, now
	delete(c.failed, m.Sender.Name)
	c.hasView.Store(true)
	s.others.Store(int64(max(0, m.InstanceCount-1)))
	s.compare(p, m, now)
	arrival := c.arrival
	c.arrival = make(chan struct{})
	c.base = s.Limiter.LocalSpent()
	s.mu.Unlock()
	s.Limiter.ApplyAggregate(sharedlimit.AggregateReport{
		Source: m.Sender.Name, Incarnation: m.Sender.Incarnation, Instances: m.InstanceCount - 1, Spent: m.Spent, Levels: m.BucketLevels,
	}, now)
	if m.Work == nil {
		m.Work = map[string]inflight.Load{}
	}
	s.EndpointLoad.ReplacePeer(othersName, m.Work)
	s.Transitions.ReplacePeer(othersName, m.Transitions, now)
	s.Health.ApplyReport(othersName, m.Outcomes, now)
	s.Availability.MergePeer(m.Leaving, now)
	s.Queue.Hear(othersName, m.Waiting)
	close(arrival)
	s.Queue.Dispatch()
}
