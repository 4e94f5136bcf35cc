package routingcache

import (
	"time"

	"tanagerwood.dev/api/routing"
)

// hideRemovedDuration is how long after a restore of the store from a backup the endpoints stay hidden that had been removed
// before. The backup may list such an endpoint again; the store drops it when its heartbeats are missing. An endpoint that is
// still listed after this time is alive.
const hideRemovedDuration = 10 * time.Second

// departureRetention is how long the removal of an endpoint is remembered. It exceeds the span of writes that a backup of the
// store may lack.
const departureRetention = time.Minute

// departure records that the platform reported one incarnation of an endpoint, identified by its start, as leaving or removed.
type departure struct {
	born    int64
	removed bool
	// observedAt is when it was reported, in time since boot.
	observedAt time.Duration
	// era is the store era in which it was reported. In a later era the record holds until the endpoint is written again.
	era uint64
}

// departureLog holds the departures that must survive a restore of the store from an older backup. The cache's lock guards it.
type departureLog struct {
	byID map[string]departure
	// hideUntil is the time since boot until which endpoints are hidden that the backup lists although they were removed.
	hideUntil time.Duration
}

func newDepartureLog() departureLog {
	return departureLog{byID: map[string]departure{}}
}

// record updates the departures after a change of the endpoint list.
func (s *departureLog) record(before, after map[string]routing.Endpoint, era uint64, now time.Duration) {
	for id, recorded := range s.byID {
		e, listed := after[id]
		if listed && (e.StartedMS != recorded.born || !e.Leaving) || !listed && now-recorded.observedAt > departureRetention {
			delete(s.byID, id)
		}
	}
	for id, e := range after {
		if _, recorded := s.byID[id]; e.Leaving && !recorded {
			s.byID[id] = departure{born: e.StartedMS, era: era, observedAt: now}
		}
	}
	for id, e := range before {
		if _, listed := after[id]; !listed {
			s.byID[id] = departure{born: e.StartedMS, removed: true, era: era, observedAt: now}
		}
	}
}

// applyTo applies the departures of earlier eras to an endpoint list of a later era.
func (s *departureLog) applyTo(byID map[string]routing.Endpoint, era uint64, now time.Duration) {
	for id, recorded := range s.byID {
		e, listed := byID[id]
		switch {
		case recorded.era >= era || !listed || e.StartedMS != recorded.born:
		case !recorded.removed:
			e.Leaving = true
			byID[id] = e
		case now < s.hideUntil:
			delete(byID, id)
		}
	}
}

// handleStoreRestore notes that the store was restored from a backup. Endpoints that the backup lacks are kept for the same time
// as after an outage. The caller holds m.mu.
func (m *Cache) handleStoreRestore(era uint64) {
	now := m.sinceBoot()
	m.recoveredAt, m.restoredAt = now, now
	m.departures.hideUntil = now + hideRemovedDuration
	m.logger.Warn().Str("event", "platform.restored").Uint64("era", era).Msg("the store was restored from a backup")
	time.AfterFunc(hideRemovedDuration, m.relistHidden)
}

// relistHidden lists the hidden endpoints that are still in the store's list, although they had been removed before the restore.
func (m *Cache) relistHidden() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishEndpoints(m.Endpoints().Revision)
}
