// Package gossip tells the other instances what this one does: what it has admitted for each customer, its work at each
// endpoint, and which configuration it knows. Large changes are told at once in partial messages, so that all instances
// place requests and charge limits on the same state; messages with the whole state follow in a period that grows with the
// fleet, and make up for messages that got lost. Amounts are absolute, so that a message may come twice.
package gossip

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/mirror"
	"tanagerwood.dev/router/internal/app/periodic"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/domain/work"
)

const (
	// basePeriod is the time between whole states in a small fleet, and the age of what is not told at once: plain requests,
	// which cost little.
	basePeriod = 150 * time.Millisecond
	// changeDelay is how long a change waits for others to go into the same message.
	changeDelay = 2 * time.Millisecond
	// periodPerPeer lengthens the period in large fleets, so that an instance receives at most about 160 whole states a second.
	periodPerPeer = 6 * time.Millisecond
	// silentPeriods is for how many periods an instance may be silent until it is assumed to admit its share of the rates.
	silentPeriods = 3
	// lostAfter and lostPeriods are when the work that a silent instance has told no longer counts: its requests have ended
	// with it, or their endpoints tell by refusing.
	lostAfter   = 2 * time.Second
	lostPeriods = 4
	// forgottenAfter is when a silent instance counts as removed for good. It exceeds the partitions that are to be borne.
	forgottenAfter = time.Minute
	// hearTime is how long a new instance waits for the states of the others once it knows them.
	hearTime = 100 * time.Millisecond
	// behindFor is how long a peer may know something newer before its copy is fetched: longer than the mirror's pause
	// between calls of the platform.
	behindFor = 700 * time.Millisecond
	// fetchTimeout bounds the fetch of a copy.
	fetchTimeout = time.Second
	// registerPause is the time between attempts to register.
	registerPause = 500 * time.Millisecond
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

// Transport carries messages. Addresses are IP:PORT.
type Transport interface {
	// Send sends a message that may get lost.
	Send(address string, m Message) error
	// Fetch asks an instance for its state.
	Fetch(ctx context.Context, address string) (State, error)
}

// Registry is the platform's list of instances.
type Registry interface {
	Register(ctx context.Context, in routing.Instance) error
	Instances(ctx context.Context) ([]routing.Instance, error)
	RemoveInstance(ctx context.Context, name string) error
}

// Queue holds the requests that wait for a place.
type Queue interface {
	// Waiting lists this instance's requests.
	Waiting() []waitlist.Request
	// Hear replaces what another instance has told.
	Hear(instance string, requests []waitlist.Request)
	// Dispatch is called after each message that was taken over.
	Dispatch()
}

// Deps are what a Service works with.
type Deps struct {
	Self      routing.Instance
	Seeds     []string
	Transport Transport
	Registry  Registry
	Mirror    *mirror.Mirror
	Limiter   *sharedlimit.Limiter
	Book      *work.Book
	Queue     Queue
	Boot      func() time.Duration
	Logger    *log.Logger
}

type peer struct {
	instance routing.Instance
	sequence uint64
	heard    time.Duration
	silent   bool
	// behind is since when the peer knows something newer; zero if it does not.
	behind time.Duration
}

// Service exchanges messages with the other instances. It is safe for concurrent use.
type Service struct {
	Deps

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	fetching bool
	// toldSpent and toldWork are what the last messages told.
	toldSpent map[string]int64
	toldWork  map[string]work.Amount
	// toldWaiting is the number of waiting requests in the last message.
	toldWaiting int

	announced chan struct{}
	// others is the number of peers, which is read while other locks are held.
	others atomic.Int64
	// met is the time since boot at which other instances became known; zero before.
	met atomic.Int64
}

// New returns a service.
func New(d Deps) *Service {
	return &Service{Deps: d, peers: map[string]*peer{}, announced: make(chan struct{}, 1)}
}

// Announce has the changes told at once.
func (s *Service) Announce() {
	select {
	case s.announced <- struct{}{}:
	default:
	}
}

// Run registers the instance and sends messages until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.join(ctx) })
	wg.Go(func() { s.tellChanges(ctx) })
	for ctx.Err() == nil {
		s.Tell(false)
		s.expirePeers()
		periodic.Sleep(ctx, s.period())
	}
	wg.Wait()
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

func (s *Service) period() time.Duration {
	return max(basePeriod, time.Duration(s.Size())*periodPerPeer)
}

// Joined reports whether this instance knows what the others have admitted and placed. Until then it would place requests
// and charge limits as if it were alone.
func (s *Service) Joined() bool {
	met := time.Duration(s.met.Load())
	return met > 0 && s.Boot()-met >= hearTime
}

// Size is the number of instances that are known, this one included.
func (s *Service) Size() int { return int(s.others.Load()) + 1 }

// join asks the seeds for their state at once, then registers in the platform and reads the list of instances. Of two
// instances that start at the same time, at least one finds the other in the list, and greets it.
func (s *Service) join(ctx context.Context) {
	for _, seed := range s.Seeds {
		if seed != s.Self.Address {
			go s.fetch(ctx, seed)
		}
	}
	for ctx.Err() == nil {
		err := s.register(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			s.Logger.Warn().Str("event", "instance.not_registered").Err(err).Msg("trying again")
		}
		periodic.Sleep(ctx, registerPause)
	}
}

func (s *Service) register(ctx context.Context) error {
	if err := s.Registry.Register(ctx, s.Self); err != nil {
		return err
	}
	list, err := s.Registry.Instances(ctx)
	if err != nil {
		return err
	}
	s.addInstances(list)
	s.Tell(false)
	s.Logger.Info().Str("event", "instance.registered").Int("instances", len(list)).Msg("")
	return nil
}

// addInstances makes instances known from a list.
func (s *Service) addInstances(list []routing.Instance) {
	s.met.CompareAndSwap(0, int64(s.Boot()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range list {
		if in.Name == s.Self.Name || s.peers[in.Name] != nil {
			continue
		}
		s.peers[in.Name] = &peer{instance: in, heard: s.Boot(), silent: true}
		s.others.Store(int64(len(s.peers)))
		s.Limiter.Expect(in.Name)
	}
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
	config, endpoints := s.Mirror.Revisions()
	s.sequence++
	return Message{
		Sender: s.Self, Sequence: s.sequence, Config: config, Endpoints: endpoints, Spent: s.Limiter.Spent(), Work: s.Book.Own(),
		Waiting: s.Queue.Waiting(),
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
	for _, address := range addresses {
		if err := s.Transport.Send(address, m); err != nil && !errors.Is(err, net.ErrClosed) {
			s.Logger.Debug().Str("event", "message.not_sent").Str("to", address).Err(err).Msg("")
		}
	}
}

// Hear takes a message over.
func (s *Service) Hear(m Message) {
	now := s.Boot()
	newer, started := s.heard(m, now)
	if started {
		s.answer(m.Sender.Address)
	}
	if !newer {
		return
	}
	s.Limiter.Hear(m.Sender.Name, m.Sender.Incarnation, m.Spent, m.Partial, now)
	switch {
	case m.Stopped:
		s.forget(m.Sender.Name, "stopped")
	case m.Partial:
		s.Book.Update(m.Sender.Name, m.Work)
	case m.Work == nil:
		s.Book.Hear(m.Sender.Name, map[string]work.Amount{})
	default:
		s.Book.Hear(m.Sender.Name, m.Work)
	}
	s.Queue.Hear(m.Sender.Name, m.Waiting)
	s.Queue.Dispatch()
}

// answer sends the whole state to an instance that has just started, which must not decide without it for a period.
func (s *Service) answer(address string) {
	s.mu.Lock()
	m := s.whole()
	s.mu.Unlock()
	s.send(m, []string{address})
}

// heard enters the sender and reports whether the message is its newest, and whether it is the first of its life.
func (s *Service) heard(m Message, now time.Duration) (newer, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[m.Sender.Name]
	if p == nil {
		p = &peer{silent: true}
		s.peers[m.Sender.Name] = p
		s.others.Store(int64(len(s.peers)))
	}
	if m.Sender.Incarnation < p.instance.Incarnation || m.Sender.Incarnation == p.instance.Incarnation && m.Sequence <= p.sequence {
		return false, false
	}
	started = m.Sender.Incarnation != p.instance.Incarnation || p.sequence == 0
	if p.silent || started {
		s.Logger.Info().Str("event", "instance.heard").Str("peer", m.Sender.Name).Uint64("incarnation", m.Sender.Incarnation).Msg("")
	}
	p.instance, p.sequence, p.heard, p.silent = m.Sender, m.Sequence, now, false
	s.compare(p, m, now)
	return true, started
}

// compare fetches the peer's copy if it has known something newer for a while, or if this instance knows nothing.
func (s *Service) compare(p *peer, m Message, now time.Duration) {
	config, endpoints := s.Mirror.Revisions()
	if m.Config <= config && m.Endpoints <= endpoints {
		p.behind = 0
		return
	}
	if p.behind == 0 {
		p.behind = now
	}
	if s.fetching || config > 0 && now-p.behind < behindFor {
		return
	}
	s.fetching = true
	p.behind = now
	s.Mirror.Refresh()
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
	s.Mirror.Adopt(state.Copy, address)
	s.addInstances(state.Instances)
	s.Tell(false)
}

// State is what another instance gets that asks.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Copy: s.Mirror.Copy(), Instances: []routing.Instance{s.Self}}
	for _, p := range s.peers {
		state.Instances = append(state.Instances, p.instance)
	}
	return state
}

// expirePeers notes silent instances and forgets those that are gone.
func (s *Service) expirePeers() {
	now, period := s.Boot(), s.period()
	s.Limiter.SetSilence(silentPeriods * period)
	var silent, gone []string
	s.mu.Lock()
	for name, p := range s.peers {
		switch {
		case now-p.heard > forgottenAfter:
			gone = append(gone, name)
		case now-p.heard > max(lostAfter, lostPeriods*period) && !p.silent:
			p.silent = true
			silent = append(silent, name)
		}
	}
	s.mu.Unlock()
	for _, name := range silent {
		s.Logger.Warn().Str("event", "instance.silent").Str("peer", name).Dur("for", lostAfter).Msg("")
		s.Book.Hear(name, nil)
		s.Queue.Hear(name, nil)
	}
	for _, name := range gone {
		s.forget(name, "silent")
		if s.first() {
			go s.unlist(name)
		}
	}
}

// first reports whether this instance has the smallest name of those that are heard, so that one of them acts for all.
func (s *Service) first() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		if !p.silent && name < s.Self.Name {
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
	s.mu.Unlock()
	s.Book.Hear(name, nil)
	s.Queue.Hear(name, nil)
	s.Limiter.Forget(name)
	s.Logger.Info().Str("event", "instance.forgotten").Str("peer", name).Str("reason", reason).Msg("")
}

// Leave tells the others that this instance stops.
func (s *Service) Leave() { s.Tell(true) }
