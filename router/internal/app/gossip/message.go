package gossip

import (
	"context"
	"errors"
	"net"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/mirror"
	"tanagerwood.dev/router/internal/app/periodic"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/stages"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/domain/work"
)

// Message is what an instance tells the others.
type Message struct {
	Sender   routing.Instance `json:"sender"`
	Sequence uint64           `json:"seq"`
	// Config and Endpoints are the revisions that the sender knows.
	Config    uint64                 `json:"config"`
	Endpoints uint64                 `json:"endpoints"`
	Spent     map[string]int64       `json:"spent,omitempty"`
	Work      map[string]work.Amount `json:"work,omitempty"`
	// Waiting lists the sender's requests that wait for a place, also in partial messages.
	Waiting []waitlist.Request `json:"waiting,omitempty"`
	// Changing lists the engines that the sender has ordered to change their stage; it is not in partial messages.
	Changing []stages.Mark `json:"changing,omitempty"`
	// Outcomes are those at endpoints that have failed lately; they are not in partial messages.
	Outcomes map[string]health.Outcomes `json:"outcomes,omitempty"`
	// Stopped is set in the last message of an instance that stops as planned.
	Stopped bool `json:"stopped,omitempty"`
	// Partial messages hold only what has changed since the sender's last message.
	Partial bool `json:"partial,omitempty"`
}

// State is what an instance gives to one that asks.
type State struct {
	Copy      mirror.Copy        `json:"copy"`
	Instances []routing.Instance `json:"instances"`
}

// tellChanges sends partial messages after announced. Nudges within a short time share a message.
func (s *Service) tellChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announced:
		}
		periodic.Sleep(ctx, changeDelay)
		s.tellPartial()
	}
}

func (s *Service) tellPartial() {
	config, endpoints := s.Mirror.Revisions()
	s.mu.Lock()
	spent, own := s.Limiter.Spent(), s.Book.Own()
	changedSpent, changedWork := changes(s.toldSpent, spent), changes(s.toldWork, own)
	waiting := s.Queue.Waiting()
	if len(changedSpent)+len(changedWork)+len(waiting)+s.toldWaiting == 0 {
		s.mu.Unlock()
		return
	}
	s.toldSpent, s.toldWork, s.toldWaiting = spent, own, len(waiting)
	s.sequence++
	m := Message{
		Sender: s.Self, Sequence: s.sequence, Config: config, Endpoints: endpoints, Spent: changedSpent, Work: changedWork,
		Waiting: waiting, Partial: true,
	}
	addresses := s.addresses()
	s.mu.Unlock()
	s.send(m, addresses)
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

// Tell sends the present state to all other instances.
func (s *Service) Tell(stopped bool) {
	s.mu.Lock()
	m := s.whole()
	m.Stopped = stopped
	s.toldSpent, s.toldWork, s.toldWaiting = m.Spent, m.Work, len(m.Waiting)
	addresses := s.addresses()
	s.mu.Unlock()
	s.send(m, addresses)
}

// whole returns the whole state; s.mu is held.
func (s *Service) whole() Message {
	now := s.Boot()
	config, endpoints := s.Mirror.Revisions()
	s.sequence++
	return Message{
		Sender: s.Self, Sequence: s.sequence, Config: config, Endpoints: endpoints, Spent: s.Limiter.Spent(), Work: s.Book.Own(),
		Waiting: s.Queue.Waiting(), Changing: s.Marks.Own(now), Outcomes: s.Health.Tell(now),
	}
}

// addresses lists the peers' addresses; s.mu is held.
func (s *Service) addresses() []string {
	addresses := make([]string, 0, len(s.peers))
	for _, p := range s.peers {
		addresses = append(addresses, p.instance.Address)
	}
	return addresses
}

func (s *Service) send(m Message, addresses []string) {
	if err := s.Transport.Send(addresses, m); err != nil && !errors.Is(err, net.ErrClosed) {
		s.Logger.Debug().Str("event", "message.not_sent").Int("to", len(addresses)).Err(err).Msg("")
	}
}

// Leave tells the others that this instance stops.
func (s *Service) Leave() { s.Tell(true) }
