package peerudp

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
)

// The parameters of state requests that name what the other instance has.
const (
	versionParameter   = "version"
	revisionParameter  = "revision"
	endpointsParameter = "endpoints"
)

// maxRecentStates limits the encoded states that are kept for instances that name the same state.
const maxRecentStates = 4

// recentKey identifies a response: the state that the other instance has, and the one that it gets.
type recentKey struct{ from, to routingcache.Known }

type recentState struct {
	encoded []byte
	at      time.Time
}

func encodeKnown(k routingcache.Known) string {
	return url.Values{
		versionParameter:   {strconv.FormatUint(k.ConfigVersion, 10)},
		revisionParameter:  {strconv.FormatUint(k.ConfigRevision, 10)},
		endpointsParameter: {strconv.FormatUint(k.Endpoints, 10)},
	}.Encode()
}

// decodeKnown returns the state that a request names, if it names one.
func decodeKnown(q url.Values) (k routingcache.Known, named bool) {
	for name, value := range map[string]*uint64{versionParameter: &k.ConfigVersion, revisionParameter: &k.ConfigRevision, endpointsParameter: &k.Endpoints} {
		number, err := strconv.ParseUint(q.Get(name), 10, 64)
		if err != nil {
			return routingcache.Known{}, false
		}
		*value = number
	}
	return k, true
}

// encodedNewer returns the JSON encoding of what is newer than the known state. Those with a configuration or a whole list are reused for
// stateCacheTTL.
func (h *stateHandler) encodedNewer(known routingcache.Known) ([]byte, error) {
	state := h.newer(known)
	if state.Copy.Config == nil && state.Copy.Endpoints == nil {
		return json.Marshal(state)
	}
	key := recentKey{from: known, to: versionsIn(state)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, found := h.recent[key]; found && time.Since(r.at) < stateCacheTTL {
		return r.encoded, nil
	}
	raw, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	if len(h.recent) >= maxRecentStates {
		clear(h.recent)
	}
	h.recent[key] = recentState{encoded: raw, at: time.Now()}
	return raw, nil
}

// versionsIn returns the versions in a state; zero where it holds none.
func versionsIn(state gossip.State) (k routingcache.Known) {
	if c := state.Copy.Config; c != nil {
		k.ConfigVersion, k.ConfigRevision = c.Version, c.Revision
	}
	if e := state.Copy.Endpoints; e != nil {
		k.Endpoints = e.Revision
	}
	if c := state.Copy.Changes; c != nil {
		k.Endpoints = c.Revision
	}
	return k
}
