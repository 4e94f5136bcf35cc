package routingcache

import (
	"time"

	"tanagerwood.dev/api/routing"
)

// departedFor is how long after the store came back from a copy an endpoint stays gone that was gone before. The copy may list it
// again, and drops it as soon as it misses its heartbeats; what is still listed then is alive.
const departedFor = 10 * time.Second

// rememberedFor is for how long it is kept that an endpoint is gone: longer than what a copy of the store may lack.
const rememberedFor = time.Minute

// statement is what the platform said of a start of an endpoint: that it is leaving, or gone.
type statement struct {
	born int64
	gone bool
	// at is when it was said, in time since boot.
	at time.Duration
	// era is the one in which it was said. In a later one it holds until the endpoint is written again.
	era uint64
}

// statements are what must be kept if the store comes back from a copy that is older than they are. The mirror's lock guards them.
type statements struct {
	byID map[string]statement
	// hidden holds the endpoints that the copy lists although they are gone, until the time since boot.
	hidden map[string]routing.Endpoint
	until  time.Duration
}

func newStatements() statements {
	return statements{byID: map[string]statement{}, hidden: map[string]routing.Endpoint{}}
}

// note remembers which endpoints are leaving or gone after a change of the list.
func (s *statements) note(before, after map[string]routing.Endpoint, era uint64, now time.Duration) {
	for id, said := range s.byID {
		e, listed := after[id]
		if listed && (e.Born != said.born || !e.Leaving) || !listed && now-said.at > rememberedFor {
			delete(s.byID, id)
		}
	}
	for id, e := range after {
		if _, said := s.byID[id]; e.Leaving && !said {
			s.byID[id] = statement{born: e.Born, era: era, at: now}
		}
	}
	for id, e := range before {
		if _, listed := after[id]; !listed {
			s.byID[id] = statement{born: e.Born, gone: true, era: era, at: now}
		}
	}
}

// confirm forgets what was said of an endpoint, because it was written again.
func (s *statements) confirm(id string) {
	delete(s.byID, id)
	delete(s.hidden, id)
}

// apply has what was said in earlier eras hold for a list of a later one.
func (s *statements) apply(byID map[string]routing.Endpoint, era uint64, now time.Duration) {
	for id, said := range s.byID {
		e, listed := byID[id]
		switch {
		case said.era >= era || !listed || e.Born != said.born:
		case !said.gone:
			e.Leaving = true
			byID[id] = e
		case now < s.until:
			s.hidden[id] = e
			delete(byID, id)
		}
	}
}

// enterEra notes that the store has come back from a copy; m.mu is held. Endpoints that the copy lacks are kept for as long as
// after an outage.
func (m *Cache) enterEra(era uint64) {
	now := m.boot()
	m.recovered = now
	m.said.until = now + departedFor
	m.logger.Warn().Str("event", "platform.restored").Uint64("era", era).Msg("the store has come back from a copy")
	time.AfterFunc(departedFor, m.showHidden)
}

// showHidden lists the endpoints that are still in the store's list, though they were gone before it came back.
func (m *Cache) showHidden() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.said.hidden) == 0 || m.boot() < m.said.until {
		return
	}
	old := m.Endpoints()
	byID := make(map[string]routing.Endpoint, len(old.ByID))
	for id, e := range old.ByID {
		byID[id] = e
	}
	for id, e := range m.said.hidden {
		byID[id] = e
		m.said.confirm(id)
	}
	m.storeEndpoints(byID, old.Revision)
}

// merge completes a list that replaces the present one: endpoints that may have lapsed stay, and what was said in earlier eras
// holds; m.mu is held.
func (m *Cache) merge(byID map[string]routing.Endpoint, revision uint64) {
	old := m.Endpoints()
	if era := routing.Era(revision); old.Revision != 0 && era > routing.Era(old.Revision) {
		m.enterEra(era)
	}
	for id, e := range old.ByID {
		if _, listed := byID[id]; !listed && m.keepsLapsed(id, e) {
			byID[id] = e
		}
	}
	m.said.apply(byID, routing.Era(revision), m.boot())
}
