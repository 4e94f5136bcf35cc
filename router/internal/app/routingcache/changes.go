package routingcache

import (
	"encoding/binary"
	"hash/fnv"
	"maps"

	"tanagerwood.dev/api/routing"
)

// maxListChanges is the number of changes of the endpoint list that are remembered for other instances.
const maxListChanges = 64

// Known names the state that an instance has when it fetches what is newer.
type Known struct {
	ConfigVersion, ConfigRevision uint64
	Endpoints                     uint64
}

// EndpointChanges leads from one revision of the platform's list to another one.
type EndpointChanges struct {
	Since    uint64 `json:"since"`
	Revision uint64 `json:"revision"`
	// Written holds the endpoints that were written since, Removed those that the list no longer holds.
	Written []routing.Endpoint `json:"written,omitempty"`
	Removed []string           `json:"removed,omitempty"`
	// Checksum is that of the list at Revision. An instance whose list differs after the changes fetches the whole list.
	Checksum uint64 `json:"checksum"`
}

// listChange names the endpoints that were written or removed between two revisions of the list.
type listChange struct {
	from, to uint64
	ids      []string
}

// listHistory holds the latest changes of the platform's list in this instance, oldest first. The cache's lock guards it.
type listHistory []listChange

// record adds the change from one list to the next. A list of another era is not reached by changes.
func (h *listHistory) record(from, to uint64, before, after map[string]routing.Endpoint) {
	if from == 0 || routing.Era(from) != routing.Era(to) {
		*h = nil
		return
	}
	c := listChange{from: from, to: to}
	for id, e := range after {
		if was, found := before[id]; !found || was != e {
			c.ids = append(c.ids, id)
		}
	}
	for id := range before {
		if _, found := after[id]; !found {
			c.ids = append(c.ids, id)
		}
	}
	if from == to && len(c.ids) == 0 {
		return
	}
	*h = append(*h, c)
	if excess := len(*h) - maxListChanges; excess > 0 {
		*h = append(listHistory(nil), (*h)[excess:]...)
	}
}

// addWritten adds endpoints to the latest change that were written with the content that they had.
func (h listHistory) addWritten(ids []string) {
	if len(h) > 0 {
		h[len(h)-1].ids = append(h[len(h)-1].ids, ids...)
	}
}

// since returns the endpoints that have changed since a revision, and whether that is known.
func (h listHistory) since(revision uint64) (ids map[string]struct{}, known bool) {
	for i, c := range h {
		if c.from != revision {
			continue
		}
		ids = map[string]struct{}{}
		for _, c := range h[i:] {
			for _, id := range c.ids {
				ids[id] = struct{}{}
			}
		}
		return ids, true
	}
	return nil, false
}

// checksum returns a checksum of a list that does not depend on its order.
func checksum(listed map[string]routing.Endpoint) (sum uint64) {
	h := fnv.New64a()
	for id, e := range listed {
		h.Reset()
		started := binary.BigEndian.AppendUint64(nil, uint64(e.StartedMS))
		if e.Leaving {
			started = append(started, 1)
		}
		for _, part := range [][]byte{[]byte(id), []byte(e.Service), []byte(e.Address), []byte(e.Stage), started} {
			_, _ = h.Write(append(part, 0)) // hash.Hash.Write never returns an error
		}
		sum += h.Sum64()
	}
	return sum
}

// Known names the state of this instance.
func (m *Cache) Known() Known {
	k := Known{Endpoints: m.Endpoints().Revision}
	if t := m.Table(); t != nil {
		k.ConfigVersion, k.ConfigRevision = t.Config.Version, t.Config.Revision
	}
	return k
}

// SnapshotSince returns what is newer than the state of another instance. The endpoints are those of the platform's list: each
// instance applies what it knows of outages and restores.
func (m *Cache) SnapshotSince(k Known) (c Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.Table(); t != nil && isNewer(t.Config, k.ConfigVersion, k.ConfigRevision) {
		c.Config = t.Config
	}
	revision := m.Endpoints().Revision
	if revision <= k.Endpoints {
		return c
	}
	ids, known := m.history.since(k.Endpoints)
	if !known || len(ids) > len(m.listed)/2+1 {
		c.Endpoints = &EndpointList{Revision: revision, ByID: m.listed}
		return c
	}
	c.Changes = &EndpointChanges{Since: k.Endpoints, Revision: revision, Checksum: checksum(m.listed)}
	for id := range ids {
		if e, listed := m.listed[id]; listed {
			c.Changes.Written = append(c.Changes.Written, e)
		} else {
			c.Changes.Removed = append(c.Changes.Removed, id)
		}
	}
	return c
}

// ApplyNewer takes over the newer parts of what another instance returned for the known state of this one, and reports whether the changes
// of the endpoint list led to the list of the other instance.
func (m *Cache) ApplyNewer(c Snapshot, from string) bool {
	m.ApplySnapshot(c, from)
	applied := c.Changes == nil || m.applyChanges(c.Changes)
	m.RecordEra(routing.Era(m.Endpoints().Revision))
	return applied
}

func (m *Cache) applyChanges(c *EndpointChanges) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.Endpoints().Revision
	if c.Revision <= known {
		return true
	}
	if c.Since != known {
		return false
	}
	listed := maps.Clone(m.listed)
	var written []string
	for _, e := range c.Written {
		listed[e.ID] = e
		written = append(written, e.ID)
	}
	for _, id := range c.Removed {
		delete(listed, id)
	}
	if checksum(listed) != c.Checksum {
		return false
	}
	for _, id := range written {
		delete(m.departures.byID, id)
	}
	m.replaceList(listed, c.Revision)
	m.history.addWritten(written)
	return true
}

// isNewer reports whether a configuration is newer than one of the given version and revision. Versions only increase, also when the
// store was restored from a backup that holds an older one.
func isNewer(c *routing.Config, version, revision uint64) bool {
	return c.Version > version || c.Version == version && c.Revision > revision
}
