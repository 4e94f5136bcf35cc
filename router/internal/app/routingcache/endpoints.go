package routingcache

import (
	"maps"
	"time"

	"tanagerwood.dev/api/routing"
)

// keptEndpoint is an endpoint that is used although the platform's list lacks it, until the given time since boot.
type keptEndpoint struct {
	endpoint routing.Endpoint
	until    time.Duration
}

// KeptEndpoint is an endpoint that an instance uses for some time although the platform's list lacks it.
type KeptEndpoint struct {
	Endpoint routing.Endpoint `json:"endpoint"`
	LeftMS   int64            `json:"leftMs"`
}

// replaceList makes a list the platform's newest known one. Every new list takes this way, whether it comes from a list call, a watch,
// another instance or a restored store: it decides which endpoints are used although the list lacks them, and which are not although it
// holds them. The caller holds m.mu.
func (m *Cache) replaceList(listed map[string]routing.Endpoint, revision uint64) {
	old := m.Endpoints()
	if era := routing.Era(revision); old.Revision != 0 && era > routing.Era(old.Revision) {
		m.handleStoreRestore(era)
	}
	m.history.record(old.Revision, revision, m.listed, listed)
	m.listed = listed
	for id, e := range old.ByID {
		if _, found := listed[id]; !found {
			m.keepExpired(id, e)
		}
	}
	m.publishEndpoints(revision)
}

// publishEndpoints publishes the endpoints that are used at present: those that the platform lists, without those that are hidden, and
// those that are kept. The caller holds m.mu.
func (m *Cache) publishEndpoints(revision uint64) {
	now, old := m.sinceBoot(), m.Endpoints()
	byID := maps.Clone(m.listed)
	m.departures.applyTo(byID, routing.Era(revision), now)
	for id, k := range m.kept {
		if _, found := m.listed[id]; found || now >= k.until {
			delete(m.kept, id)
			continue
		}
		byID[id] = k.endpoint
	}
	m.departures.record(old.ByID, byID, routing.Era(revision), now)
	m.endpoints.Store(&EndpointList{Revision: revision, ByID: byID})
	m.logChanges(old.ByID, byID, revision)
	m.onEndpoints(byID)
	if revision != old.Revision {
		m.fleet.AnnounceVersions()
	}
}

// logChanges logs the endpoints that differ between two lists.
func (m *Cache) logChanges(before, after map[string]routing.Endpoint, revision uint64) {
	for id, e := range after {
		if was, known := before[id]; !known || was.WithoutCold() != e.WithoutCold() {
			m.logger.Info().Str("event", "endpoint.listed").Str("endpoint", id).Str("service", e.Service).
				Str("stage", string(e.Stage)).Int64("born", e.StartedMS).Bool("leaving", e.Leaving).Uint64("era", routing.Era(revision)).Uint64("revision", routing.Number(revision)).Msg("")
		}
	}
	for id := range before {
		if _, listed := after[id]; !listed {
			m.logger.Info().Str("event", "endpoint.gone").Str("endpoint", id).Uint64("era", routing.Era(revision)).Uint64("revision", routing.Number(revision)).Msg("")
		}
	}
}

// Snapshot returns the current state for another instance. Endpoints that are kept are given apart from the list: each instance decides by
// what it knows of the platform's outages which ones it keeps.
func (m *Cache) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Snapshot{Endpoints: m.Endpoints(), Evacuations: m.EvacuationReport()}
	if t := m.Table(); t != nil {
		c.Config = t.Config
	}
	if len(m.kept) == 0 {
		return c
	}
	c.Endpoints = &EndpointList{Revision: c.Endpoints.Revision, ByID: maps.Clone(c.Endpoints.ByID)}
	c.Kept = make(map[string]KeptEndpoint, len(m.kept))
	for id, k := range m.kept {
		delete(c.Endpoints.ByID, id)
		c.Kept[id] = KeptEndpoint{Endpoint: k.endpoint, LeftMS: (k.until - m.sinceBoot()).Milliseconds()}
	}
	return c
}

// ApplySnapshot takes over the parts of another instance's snapshot that are newer.
func (m *Cache) ApplySnapshot(c Snapshot, from string) {
	m.ApplyEvacuationReport(c.Evacuations, from)
	if c.Config != nil {
		m.applyConfig(c.Config, from)
	}
	if c.Endpoints == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.Endpoints().Revision
	if c.Endpoints.Revision <= known {
		return
	}
	if known == 0 {
		m.adoptKept(c.Kept)
	}
	m.replaceList(maps.Clone(c.Endpoints.ByID), c.Endpoints.Revision)
	m.logger.Info().Str("event", "endpoints.adopted").Str("from", from).Uint64("era", routing.Era(c.Endpoints.Revision)).Uint64("revision", routing.Number(c.Endpoints.Revision)).
		Int("endpoints", len(c.Endpoints.ByID)).Int("kept", len(m.kept)).Msg("")
}

// adoptKept keeps the endpoints that another instance keeps. An instance that has just started cannot judge by itself whether the platform
// was away. The caller holds m.mu.
func (m *Cache) adoptKept(kept map[string]KeptEndpoint) {
	for id, k := range kept {
		left := min(time.Duration(k.LeftMS)*time.Millisecond, expiredEndpointGrace)
		m.kept[id] = keptEndpoint{endpoint: k.Endpoint, until: m.sinceBoot() + left}
		time.AfterFunc(left, m.removeExpired)
	}
}
