// Package inflight tracks the load of in-flight requests at each endpoint: that of this instance exactly, and that of the other
// instances as they report it.
package inflight

import (
	"maps"
	"sync"
)

// Load is the load at one endpoint.
type Load struct {
	// Requests is the number of open requests.
	Requests int `json:"r,omitempty"`
	// Tokens is the engine memory that the requests may need, in tokens; at prefill engines, the number of prompt tokens still to
	// be processed.
	Tokens int64 `json:"t,omitempty"`
	// LocalPrefills is the number of prompts that a decode engine is prefilling itself.
	LocalPrefills int `json:"p,omitempty"`
}

func (l Load) plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Tokens: l.Tokens + other.Tokens, LocalPrefills: l.LocalPrefills + other.LocalPrefills}
}

func (l Load) negated() Load {
	return Load{Requests: -l.Requests, Tokens: -l.Tokens, LocalPrefills: -l.LocalPrefills}
}

// Tracker tracks the load at all endpoints. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	local     map[string]Load
	peers     map[string]map[string]Load
	peerTotal map[string]Load
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{local: map[string]Load{}, peers: map[string]map[string]Load{}, peerTotal: map[string]Load{}}
}

// Add adds load of this instance at an endpoint.
func (t *Tracker) Add(endpoint string, load Load) { t.add(endpoint, load) }

// Subtract removes load that was added with Add.
func (t *Tracker) Subtract(endpoint string, load Load) {
	t.add(endpoint, load.negated())
}

func (t *Tracker) add(endpoint string, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.local[endpoint].plus(load)
	if sum == (Load{}) {
		delete(t.local, endpoint)
	} else {
		t.local[endpoint] = sum
	}
}

// TotalAt returns the load of all instances at an endpoint.
func (t *Tracker) TotalAt(endpoint string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local[endpoint].plus(t.peerTotal[endpoint])
}

// LocalAt returns the load of this instance at an endpoint.
func (t *Tracker) LocalAt(endpoint string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local[endpoint]
}

// PeersAt returns the load of the other instances at an endpoint.
func (t *Tracker) PeersAt(endpoint string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerTotal[endpoint]
}

// Local returns the load of this instance by endpoint.
func (t *Tracker) Local() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.local))
	for id, load := range t.local {
		out[id] = load
	}
	return out
}

// UpdatePeer replaces the load of another instance at the given endpoints.
func (t *Tracker) UpdatePeer(instance string, loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := t.peers[instance]
	if reported == nil {
		reported = map[string]Load{}
		t.peers[instance] = reported
	}
	for id, load := range loads {
		old := reported[id]
		t.peerTotal[id] = t.peerTotal[id].plus(load).plus(old.negated())
		reported[id] = load
	}
}

// ReplacePeer replaces the whole load of another instance; nil removes the instance.
func (t *Tracker) ReplacePeer(instance string, loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if loads == nil {
		delete(t.peers, instance)
	} else {
		t.peers[instance] = maps.Clone(loads)
	}
	t.peerTotal = make(map[string]Load, len(t.peerTotal))
	for _, reported := range t.peers {
		for id, load := range reported {
			t.peerTotal[id] = t.peerTotal[id].plus(load)
		}
	}
}

// TotalExcept returns the load of all instances but one, by endpoint.
func (t *Tracker) TotalExcept(instance string) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.peerTotal)+len(t.local))
	for id, load := range t.peerTotal {
		out[id] = load
	}
	for id, load := range t.local {
		out[id] = out[id].plus(load)
	}
	for id, load := range t.peers[instance] {
		out[id] = out[id].plus(load.negated())
	}
	for id, load := range out {
		if load == (Load{}) {
			delete(out, id)
		}
	}
	return out
}
