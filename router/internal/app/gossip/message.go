package gossip

import (
	"context"
	"errors"
	"net"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/stages"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

// Message is what an instance tells the others.
type Message struct {
	Sender   routing.Instance `json:"sender"`
	Sequence uint64           `json:"seq"`
	// ReportNumber counts the sender's reports. A partial message whose number does not follow the last one
	// shows that one was lost.
	ReportNumber uint64 `json:"number"`
	// ConfigVersion is the version of the configuration and Endpoints the revision of the list of endpoints that the sender knows.
	ConfigVersion     uint64           `json:"version"`
	EndpointsRevision uint64           `json:"endpoints"`
	Spent             map[string]int64 `json:"spent,omitempty"`
	// SpentBaseline is what of Spent the collectors of before have known, in whole states of readers.
	SpentBaseline map[string]int64         `json:"base,omitempty"`
	Work          map[string]inflight.Load `json:"work,omitempty"`
	// Waiting lists the sender's requests that wait for a place, also in partial messages.
	Waiting []waitlist.Request `json:"waiting,omitempty"`
	// Transitions lists the engines that the sender has ordered to change their stage, in periodic messages.
	Transitions []stages.Transition `json:"changing,omitempty"`
	// Outcomes are those at endpoints that have failed lately, in periodic messages.
	Outcomes map[string]health.Outcomes `json:"outcomes,omitempty"`
	// Leaving lists the endpoints that have said that they leave, in periodic messages.
	Leaving []availability.LeavingEndpoint `json:"leaving,omitempty"`
	// Stopped is set in the last message of an instance that stops as planned.
	Stopped bool `json:"stopped,omitempty"`
	// Partial messages hold only the spending and the work that have changed since the sender's last message.
	Partial bool `json:"partial,omitempty"`
	// Periodic messages are sent at regular times, the others when something has changed.
	Periodic bool `json:"periodic,omitempty"`
	// ViewFor is set in views: the reader for which the others are summed up. Spent, Work, Waiting, Changing and Outcomes are those of
	// all instances but the reader, Instances is their number with it.
	ViewFor       string `json:"view,omitempty"`
	InstanceCount int    `json:"instances,omitempty"`
	// BucketLevels are those of the customers' buckets, in views.
	BucketLevels map[string]int64 `json:"levels,omitempty"`
	// ViewFrom has the collector of this name send a view, or every receiver.
	ViewFrom string `json:"view_from,omitempty"`
	// Collectors are the instances that collect as far as the sender, a collector or an instance that was taken for one, knows.
	Collectors []routing.Instance `json:"collectors,omitempty"`
	// Standbys are those that collect if all Collectors are lost, in views.
	Standbys []routing.Instance `json:"standbys,omitempty"`
	// RequestState has the receiver send its whole state; such a message holds nothing else.
	RequestState bool `json:"ask,omitempty"`
}

// State is what an instance gives to one that asks.
type State struct {
	Copy      routingcache.Snapshot `json:"copy"`
	Instances []routing.Instance    `json:"instances"`
}

// tellChanges sends partial messages after announced. Nudges within a short time share a message.
func (s *Service) tellChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announced:
		}
		background.SleepContext(ctx, changeDelay)
		s.tellChanged()
		s.pushViews()
	}
}

// ledger is what this instance has admitted and its work, read at one time.
type ledger struct {
	spent map[string]int64
	work  map[string]inflight.Load
}

func (s *Service) ledger() ledger { return ledger{s.Limiter.LocalSpent(), s.EndpointLoad.Local()} }

// tellChanged sends what has changed since the last message, if anything has.
func (s *Service) tellChanged() {
	s.mu.Lock()
	l := s.ledger()
	m := s.changed(l)
	urgent := s.urgent.Swap(false)
	news := s.Health.ReportPending() || urgent
	if news {
		m = s.addPeriodic(m)
	}
	if len(m.Spent)+len(m.Work)+len(m.Waiting)+s.toldWaiting == 0 && !news {
		s.mu.Unlock()
		return
	}
	s.tellAll(m, l)
}

// tellPeriodic sends the whole state in every wholeEvery-th period, and what has changed in the others.
func (s *Service) tellPeriodic() {
	s.mu.Lock()
	l := s.ledger()
	var m Message
	if s.periods%wholeEvery == 0 {
		m = s.whole(l)
	} else {
		m = s.addPeriodic(s.changed(l))
	}
	s.periods++
	s.tellAll(m, l)
}

// SendState sends the whole state to the collectors.
func (s *Service) SendState(stopped bool) {
	s.mu.Lock()
	l := s.ledger()
	m := s.whole(l)
	m.Stopped = stopped
	s.tellAll(m, l)
}

// tellAll sends a report that tells the ledger to the collectors and releases s.mu.
func (s *Service) tellAll(m Message, l ledger) {
	s.told, s.toldWaiting = l, len(m.Waiting)
	s.sequence++
	s.number++
	m.Sequence, m.ReportNumber = s.sequence, s.number
	if m.Periodic || len(m.Waiting) > 0 {
		m.ViewFrom = s.collectors.primary
	}
	if s.collectors.collecting() {
		m.Collectors = s.collectors.set
	}
	addresses := s.reportTo()
	s.mu.Unlock()
	s.send(m, addresses)
}

// message returns what all messages hold but those that ask.
func (s *Service) message() Message {
	config, endpoints := s.Mirror.Versions()
	return Message{Sender: s.Self, ConfigVersion: config, EndpointsRevision: endpoints, Waiting: s.Queue.Waiting()}
}

// changed returns what has changed since the last message; s.mu is held.
func (s *Service) changed(l ledger) Message {
	m := s.message()
	m.Partial = true
	m.Spent, m.Work = changes(s.told.spent, l.spent), changes(s.told.work, l.work)
	return m
}

// whole returns the whole state.
func (s *Service) whole(l ledger) Message {
	m := s.message()
	m.Spent, m.Work, m.SpentBaseline = l.spent, l.work, s.collectors.base
	return s.addPeriodic(m)
}

// addPeriodic adds what only periodic messages hold.
func (s *Service) addPeriodic(m Message) Message {
	now := s.Boot()
	m.Periodic, m.Transitions, m.Outcomes = true, s.Transitions.Local(now), s.Health.LocalReport(now)
	m.Leaving = s.Availability.LeavingEndpoints(now)
	return m
}

// changes returns the entries of now that differ from those of before. Entries that are missing have become zero.
func changes[V comparable](before, now map[string]V) map[string]V {
	out := map[string]V{}
	for key, value := range now {
		if old, known := before[key]; !known || old != value {
			out[key] = value
		}
	}
	var zero V
	for key := range before {
		if _, left := now[key]; !left {
			out[key] = zero
		}
	}
	return out
}

func (s *Service) send(m Message, addresses []string) {
	if err := s.Transport.Send(addresses, m); err != nil && !errors.Is(err, net.ErrClosed) {
		s.Logger.Debug().Str("event", "message.not_sent").Int("to", len(addresses)).Err(err).Msg("")
	}
}

// Leave tells the others that this instance stops.
func (s *Service) Leave() {
	s.SendState(true)
	s.redirectReaders()
}
