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
	// smallFleet is the size up to which all instances collect, which needs no round trip before a request is placed, and
	// largeFleetCollectors the number of collectors in larger fleets: every report goes to each of them.
	smallFleet           = 10
	largeFleetCollectors = 5
	// standbyCount is the number of instances that take over if all collectors are lost at once. Readers need not know more of
	// the fleet than these.
	standbyCount = 5
	// collectorKey orders the instances that may be collectors in the same way everywhere.
	collectorKey = "collectors"
	// viewPeriods is for how many periods a collector may leave its readers without a view until they turn to another one.
	viewPeriods = 2
	// settleTime is for how long an instance that others tell of may be taken for a collector without being heard.
	settleTime = 3 * time.Second
	// failedFor is how long a reader leaves out a collector that was silent.
	failedFor = 10 * time.Second
	// forgetBase is after what time on a collector all others have told their whole states to it.
	forgetBase = 5 * time.Second
	// everyCollector is asked for a view by an instance whose collector is lost.
	everyCollector = "*"
)

// never is the time at which an instance was told to be alive if nobody has told of it.
const never = time.Duration(math.MinInt64 / 2)

// collectors is what an instance knows of the collectors. The service's lock guards it, but for what is atomic.
type collectors struct {
	// set are the collectors, ordered by rank; primary is the one whose views this instance reads, empty if it is a collector.
	set     []routing.Instance
	primary string
	// standbys are those that collect if all of the set are lost.
	standbys []routing.Instance
	// viewed is when the last view came.
	viewed time.Duration
	// failed holds the collectors that were silent, by the time until which they are not asked.
	failed map[string]time.Duration
	// base is what this instance had spent when the last view came, collectingFrom when it became a collector.
	base           map[string]int64
	collectingFrom time.Duration
	// arrival is closed and replaced when a view arrives.
	arrival chan struct{}
	// reading is set on instances that read views; hasView once one has come from the present source.
	reading, hasView atomic.Bool
}

func newCollectors(self routing.Instance) collectors {
	return collectors{set: []routing.Instance{self}, failed: map[string]time.Duration{}, arrival: make(chan struct{})}
}

func (c *collectors) collecting() bool { return !c.reading.Load() }

// rank is the order in which an instance may be a collector: stronger ones first.
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

// collectorCount is the number of collectors in a fleet.
func collectorCount(instances int) int {
	if instances <= smallFleet {
		return instances
	}
	return largeFleetCollectors
}

// ranked returns the count instances that rank highest as collectors.
func ranked(list []routing.Instance, count int) []routing.Instance {
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

func contains(list []routing.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in routing.Instance) bool { return in.Name == name })
}

// candidates lists the instances that may be collectors as far as this one knows; s.mu is held. A collector leaves out those
// that are silent, a reader those that did not answer it.
func (s *Service) candidates(now time.Duration) []routing.Instance {
	list := []routing.Instance{s.Self}
	for name, p := range s.peers {
		unheard := p.silent && now-p.toldAlive > settleTime
		if s.collectors.collecting() && unheard || now < s.collectors.failed[name] {
			continue
		}
		list = append(list, p.instance)
	}
	return list
}

// elect chooses the collectors among the known instances; s.mu is held. A reader that has views does not choose.
func (s *Service) elect() {
	now := s.Boot()
	if s.collectors.reading.Load() && now-s.collectors.viewed < s.viewTimeout() {
		return
	}
	count := collectorCount(len(s.peers) + 1)
	best := ranked(s.candidates(now), count+standbyCount)
	s.collectors.standbys = best[min(count, len(best)):]
	s.follow(best[:min(count, len(best))], now)
}

// follow takes a set of collectors over, and changes between collecting and reading where the set says so; s.mu is held.
func (s *Service) follow(set []routing.Instance, now time.Duration) {
	c := &s.collectors
	c.set = set
	reads := !contains(set, s.Self.Name)
	switch {
	case reads && c.collecting():
		s.startReading(now)
	case !reads && !c.collecting():
		s.startCollecting()
	}
	if reads && (c.primary == "" || !contains(set, c.primary)) {
		c.primary = s.choosePrimary(now)
	}
}

// choosePrimary chooses the collector from which this instance reads, or all of them if none is known to answer. Each reader
// orders them differently, so that views are spread.
func (s *Service) choosePrimary(now time.Duration) string {
	best, bestWeight := everyCollector, uint64(0)
	for _, in := range s.collectors.set {
		if w := rendezvous.Weight(s.Self.Name, in.Name); now >= s.collectors.failed[in.Name] && w >= bestWeight {
			best, bestWeight = in.Name, w
		}
	}
	return best
}

// startReading drops what this instance has heard of each of the others: the views sum it up.
func (s *Service) startReading(now time.Duration) {
	s.collectors.reading.Store(true)
	s.collectors.hasView.Store(false)
	s.collectors.viewed = now + max(0, viewPatience-s.viewTimeout())
	for name := range s.peers {
		s.dropState(name)
	}
	s.Logger.Info().Str("event", "collector.ended").Int("instances", len(s.peers)+1).Msg("reading views")
}

// startCollecting drops what views have told. The others count as silent until they report, but for the other collectors.
func (s *Service) startCollecting() {
	s.collectors.reading.Store(false)
	s.collectors.primary, s.collectors.collectingFrom = "", s.Boot()
	s.dropState(othersName)
	for name, p := range s.peers {
		*p = peer{instance: p.instance, heard: s.Boot(), silent: true, toldAlive: never}
		if contains(s.collectors.set, name) {
			p.toldAlive = s.Boot()
		}
		s.Limiter.AddPeer(name)
	}
	s.others.Store(int64(len(s.peers)))
	s.Logger.Info().Str("event", "collector.started").Int("instances", len(s.peers)+1).Msg("")
}

// dropState removes what an instance has told.
func (s *Service) dropState(name string) {
	if name == othersName {
		s.Limiter.RemoveAggregate()
	} else {
		s.Limiter.RemovePeer(name)
	}
	s.EndpointLoad.ReplacePeer(name, nil)
	s.Queue.Hear(name, nil)
	s.Health.ApplyReport(name, nil, s.Boot())
}

func (s *Service) viewTimeout() time.Duration { return viewPeriods * s.period() }

// checkViews turns to another collector when the present one is silent; s.mu is held. Without any that answers, the next in
// rank become collectors.
func (s *Service) checkViews(now time.Duration) {
	c := &s.collectors
	if c.collecting() {
		if now-c.collectingFrom > forgetBase {
			c.base = nil
		}
		return
	}
	if now-c.viewed < s.viewTimeout() {
		return
	}
	c.hasView.Store(false)
	if c.primary != "" {
		s.Logger.Warn().Str("event", "collector.silent").Str("peer", c.primary).Dur("for", now-c.viewed).Msg("asking the others")
		c.failed[c.primary] = now + failedFor
	}
	c.primary = everyCollector
	if now-c.viewed < s.viewTimeout()+s.period() {
		return
	}
	for _, in := range c.set {
		c.failed[in.Name] = now + failedFor
	}
	c.viewed = now - s.viewTimeout()
	if len(c.standbys) == 0 {
		s.elect()
		return
	}
	next := c.standbys
	c.standbys = nil
	s.follow(next, now)
}

// reportTo lists the addresses of the collectors. Those that rank high but are silent are told as well, so that instances
// which were cut off find each other again; s.mu is held.
func (s *Service) reportTo() []string {
	all := []routing.Instance{s.Self}
	for _, p := range s.peers {
		all = append(all, p.instance)
	}
	var addresses []string
	for _, in := range append(ranked(all, collectorCount(len(all))), s.collectors.set...) {
		if in.Name != s.Self.Name && !slices.Contains(addresses, in.Address) {
			addresses = append(addresses, in.Address)
		}
	}
	return addresses
}

// hearCollectors takes over who collects, as another instance tells.
func (s *Service) hearCollectors(m Message) {
	if len(m.Collectors) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Boot()
	for _, in := range slices.Concat(m.Collectors, m.Standbys) {
		s.addMember(in)
		// What a reader tells of collectors may be old, but for the one from which it has views.
		if m.ViewFor != "" || in.Name == m.ViewFrom {
			s.noteAlive(in.Name, now)
		}
	}
	switch {
	case s.collectors.collecting():
		s.elect()
	case m.ViewFor != "" || !s.collectors.hasView.Load():
		s.collectors.standbys = m.Standbys
		s.follow(m.Collectors, now)
		if m.ViewFor == "" && contains(m.Collectors, m.ViewFrom) && !s.collectors.collecting() {
			s.collectors.primary = m.ViewFrom // from which the sender has views
			delete(s.collectors.failed, m.ViewFrom)
		}
	}
}

// noteAlive notes that an instance was told to be alive; s.mu is held.
func (s *Service) noteAlive(name string, now time.Duration) {
	if p := s.peers[name]; p != nil {
		p.toldAlive = now
	}
	if s.collectors.collecting() {
		delete(s.collectors.failed, name)
	}
}

// IsCollector reports whether this instance is a collector.
func (s *Service) IsCollector() bool { return s.collectors.collecting() }
