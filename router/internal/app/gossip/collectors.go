package gossip

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/rendezvous"
)

const (
	// Up to smallFleetSize instances, all are collectors, and no round trip is needed before a request is placed. Larger fleets
	// have largeFleetCollectors, since each of them receives every report.
	smallFleetSize       = 10
	largeFleetCollectors = 5
	// standbyCount is the number of instances that become collectors if all collectors are lost at once. Readers need to know no
	// other instances than these and the collectors.
	standbyCount = 5
	// collectorKey is the key of the rendezvous hash that ranks the candidates in the same order on all instances.
	collectorKey = "collectors"
	// viewTimeoutPeriods is the number of periods without a view after which a reader chooses another collector.
	viewTimeoutPeriods = 2
	// unheardTimeout is how long an instance that others have named may be chosen as a collector without being heard.
	unheardTimeout = 3 * time.Second
	// failedTimeout is how long a reader does not use a collector that was silent.
	failedTimeout = 10 * time.Second
	// baselineTimeout is the time after which all other instances have sent their full states to a new collector.
	baselineTimeout = 5 * time.Second
	// allCollectors in place of a collector's name requests a view from every collector. A reader sends it when it has lost its
	// own.
	allCollectors = "*"
)

// neverAlive is the lastAlive of a peer that no other instance has named.
const neverAlive = time.Duration(math.MinInt64 / 2)

// collectorState is what an instance knows of the collectors. Fields that are not atomic are guarded by Service.mu.
type collectorState struct {
	// members are the collectors in order of rank. primary is the one whose views this instance reads; empty on collectors.
	members []routing.Instance
	primary string
	// standbys are the instances that become collectors if all members are lost.
	standbys []routing.Instance
	// lastView is when the last view arrived.
	lastView time.Duration
	// failedUntil holds the collectors that were silent and the time until which they are not used.
	failedUntil map[string]time.Duration
	// spentBaseline is what this instance had spent when the last view arrived. collectingSince is when it became a collector.
	spentBaseline   map[string]int64
	collectingSince time.Duration
	// viewArrived is closed and replaced when a view arrives.
	viewArrived chan struct{}
	// reading is set on readers, hasView once a view from the current collector has arrived.
	reading, hasView atomic.Bool
}

func newCollectorState(self routing.Instance) collectorState {
	return collectorState{members: []routing.Instance{self}, failedUntil: map[string]time.Duration{}, viewArrived: make(chan struct{})}
}

func (c *collectorState) collecting() bool { return !c.reading.Load() }

// rank orders the candidates for collectors: instances of greater capacity come first.
type rank struct {
	capacity int
	weight   uint64
}

func rankOf(in routing.Instance) rank {
	return rank{capacity: in.Capacity, weight: rendezvous.Weight(collectorKey, in.Name)}
}

func (r rank) before(other rank) bool {
	return r.capacity > other.capacity || r.capacity == other.capacity && r.weight > other.weight
}

func collectorCount(instances int) int {
	if instances <= smallFleetSize {
		return instances
	}
	return largeFleetCollectors
}

// highestRanked returns the count instances of the highest rank.
func highestRanked(list []routing.Instance, count int) []routing.Instance {
	var best []routing.Instance
	var ranks []rank
	for _, in := range list {
		r := rankOf(in)
		at := len(ranks)
		for at > 0 && r.before(ranks[at-1]) {
			at--
		}
		if at < count {
			best, ranks = slices.Insert(best, at, in), slices.Insert(ranks, at, r)
			best, ranks = best[:min(len(best), count)], ranks[:min(len(ranks), count)]
		}
	}
	return best
}

func containsInstance(list []routing.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in routing.Instance) bool { return in.Name == name })
}

// collectorCandidates lists the instances that may become collectors; s.mu is held. A collector leaves out those that are silent,
// a reader those that did not answer it.
func (s *Service) collectorCandidates(now time.Duration) []routing.Instance {
	list := []routing.Instance{s.Self}
	for name, p := range s.peers {
		unheard := p.silent && now-p.lastAlive > unheardTimeout
		if s.collectors.collecting() && unheard || now < s.collectors.failedUntil[name] {
			continue
		}
		list = append(list, p.instance)
	}
	return list
}

// electCollectors chooses the collectors among the known instances; s.mu is held. A reader that gets views keeps the collectors
// that the views name.
func (s *Service) electCollectors() {
	now := s.Boot()
	if s.collectors.reading.Load() && now-s.collectors.lastView < s.viewTimeout() {
		return
	}
	count := collectorCount(len(s.peers) + 1)
	best := highestRanked(s.collectorCandidates(now), count+standbyCount)
	s.collectors.standbys = best[min(count, len(best)):]
	s.applyCollectors(best[:min(count, len(best))], now)
}

// applyCollectors sets the collectors, and makes this instance a reader or a collector accordingly; s.mu is held.
func (s *Service) applyCollectors(members []routing.Instance, now time.Duration) {
	c := &s.collectors
	c.members = members
	isReader := !containsInstance(members, s.Self.Name)
	switch {
	case isReader && c.collecting():
		s.startReading(now)
	case !isReader && !c.collecting():
		s.startCollecting()
	}
	if isReader && (c.primary == "" || !containsInstance(members, c.primary)) {
		c.primary = s.choosePrimary(now)
	}
}

// choosePrimary chooses the collector whose views this instance reads, or all of them if none is known to answer. Each reader
// ranks them differently, so that the readers are spread over the collectors.
func (s *Service) choosePrimary(now time.Duration) string {
	best, bestWeight := allCollectors, uint64(0)
	for _, in := range s.collectors.members {
		if w := rendezvous.Weight(s.Self.Name, in.Name); now >= s.collectors.failedUntil[in.Name] && w >= bestWeight {
			best, bestWeight = in.Name, w
		}
	}
	return best
}

// startReading makes this instance a reader. It drops the state of the single peers, because views hold their aggregate; s.mu is
// held.
func (s *Service) startReading(now time.Duration) {
	s.collectors.reading.Store(true)
	s.collectors.hasView.Store(false)
	s.collectors.lastView = now + max(0, firstViewTimeout-s.viewTimeout())
	for name := range s.peers {
		s.dropPeerState(name)
	}
	s.Logger.Info().Str("event", "collector.ended").Int("instances", len(s.peers)+1).Msg("reading views")
}

// startCollecting makes this instance a collector. It drops the aggregate of the views. All peers count as silent until they
// report, and only the other collectors as alive; s.mu is held.
func (s *Service) startCollecting() {
	s.collectors.reading.Store(false)
	s.Mirror.RestartWatches() // others rely on this instance now
	s.collectors.primary, s.collectors.collectingSince = "", s.Boot()
	s.dropPeerState(aggregateName)
	for name, p := range s.peers {
		*p = peer{instance: p.instance, lastHeard: s.Boot(), silent: true, lastAlive: neverAlive}
		if containsInstance(s.collectors.members, name) {
			p.lastAlive = s.Boot()
		}
		s.Limiter.AddPeer(name)
	}
	s.peerCount.Store(int64(len(s.peers)))
	s.Logger.Info().Str("event", "collector.started").Int("instances", len(s.peers)+1).Msg("")
}

// dropPeerState removes what an instance has reported.
func (s *Service) dropPeerState(name string) {
	if name == aggregateName {
		s.Limiter.RemoveAggregate()
	} else {
		s.Limiter.RemovePeer(name)
	}
	s.EndpointLoad.ReplacePeer(name, nil)
	s.Queue.ReplacePeerRequests(name, nil)
	s.Health.ApplyReport(name, nil, s.Boot())
	s.Speeds.RemovePeer(name, s.Boot())
}

func (s *Service) viewTimeout() time.Duration { return viewTimeoutPeriods * s.reportPeriod() }

// checkPrimary requests views from all collectors when the primary one is silent; s.mu is held. If none answers, the standbys
// become collectors.
func (s *Service) checkPrimary(now time.Duration) {
	c := &s.collectors
	if c.collecting() {
		if now-c.collectingSince > baselineTimeout {
			c.spentBaseline = nil
		}
		return
	}
	if now-c.lastView < s.viewTimeout() {
		return
	}
	c.hasView.Store(false)
	if c.primary != "" {
		s.Logger.Warn().Str("event", "collector.silent").Str("peer", c.primary).Dur("for", now-c.lastView).Msg("requesting views from all collectors")
		c.failedUntil[c.primary] = now + failedTimeout
	}
	c.primary = allCollectors
	if now-c.lastView < s.viewTimeout()+s.reportPeriod() {
		return
	}
	for _, in := range c.members {
		c.failedUntil[in.Name] = now + failedTimeout
	}
	c.lastView = now - s.viewTimeout()
	if len(c.standbys) == 0 {
		s.electCollectors()
		return
	}
	next := c.standbys
	c.standbys = nil
	s.applyCollectors(next, now)
}

// reportAddresses lists the addresses to which reports are sent: the collectors, and the instances of the highest rank even if
// they are silent, so that instances which were cut off find each other again; s.mu is held.
func (s *Service) reportAddresses() []string {
	all := []routing.Instance{s.Self}
	for _, p := range s.peers {
		all = append(all, p.instance)
	}
	var addresses []string
	for _, in := range append(highestRanked(all, collectorCount(len(all))), s.collectors.members...) {
		if in.Name != s.Self.Name && !slices.Contains(addresses, in.Address) {
			addresses = append(addresses, in.Address)
		}
	}
	return addresses
}

// handleCollectors applies the list of collectors of another instance.
func (s *Service) handleCollectors(m Message) {
	if len(m.Collectors) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Boot()
	for _, in := range slices.Concat(m.Collectors, m.Standbys) {
		s.addPeer(in)
		// A reader's list of collectors may be outdated. Only the collector from which it gets views is known to be alive.
		if m.ViewFor != "" || in.Name == m.ViewFrom {
			s.markAlive(in.Name, now)
		}
	}
	switch {
	case s.collectors.collecting():
		s.electCollectors()
	case m.ViewFor != "" || !s.collectors.hasView.Load():
		s.collectors.standbys = m.Standbys
		s.applyCollectors(m.Collectors, now)
		if m.ViewFor == "" && containsInstance(m.Collectors, m.ViewFrom) && !s.collectors.collecting() {
			s.collectors.primary = m.ViewFrom // the sender gets views from it
			delete(s.collectors.failedUntil, m.ViewFrom)
		}
	}
}

// markAlive records that another instance has named this one as alive; s.mu is held.
func (s *Service) markAlive(name string, now time.Duration) {
	if p := s.peers[name]; p != nil {
		p.lastAlive = now
	}
	if s.collectors.collecting() {
		delete(s.collectors.failedUntil, name)
	}
}

// IsCollector reports whether this instance is a collector.
func (s *Service) IsCollector() bool { return s.collectors.collecting() }
