// Package work keeps account of the work at endpoints: this instance's exactly, and that of the other instances as they
// tell it.
package inflight

import (
	"maps"
	"sync"
)

// Load is an amount of work at one endpoint.
type Load struct {
	// Requests is the number of open requests.
	Requests int `json:"r,omitempty"`
	// Tokens is the engine memory that the requests may need; at prefill engines, the tokens that are still to be read.
	Tokens int64 `json:"t,omitempty"`
	// LocalPrefills is the number of prompts that a decode engine reads itself.
	LocalPrefills int `json:"p,omitempty"`
}

func (a Load) plus(b Load) Load {
	return Load{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, LocalPrefills: a.LocalPrefills + b.LocalPrefills}
}

func (a Load) negated() Load {
	return Load{Requests: -a.Requests, Tokens: -a.Tokens, LocalPrefills: -a.LocalPrefills}
}

// Tracker is the account. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	own   map[string]Load
	peers map[string]map[string]Load
	total map[string]Load
}

// NewTracker returns an empty account.
func NewTracker() *Tracker {
	return &Tracker{own: map[string]Load{}, peers: map[string]map[string]Load{}, total: map[string]Load{}}
}

// Add enters own work at an endpoint.
func (b *Tracker) Add(endpoint string, a Load) { b.add(endpoint, a) }

// Subtract removes work that Begin entered.
func (b *Tracker) Subtract(endpoint string, a Load) {
	b.add(endpoint, a.negated())
}

func (b *Tracker) add(endpoint string, a Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.own[endpoint].plus(a)
	if sum == (Load{}) {
		delete(b.own, endpoint)
	} else {
		b.own[endpoint] = sum
	}
}

// TotalAt returns the work of all instances at an endpoint.
func (b *Tracker) TotalAt(endpoint string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own[endpoint].plus(b.total[endpoint])
}

// Local returns this instance's work by endpoint.
func (b *Tracker) Local() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load, len(b.own))
	for id, a := range b.own {
		out[id] = a
	}
	return out
}

// UpdatePeer replaces single amounts that another instance has told.
func (b *Tracker) UpdatePeer(instance string, amounts map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := b.peers[instance]
	if told == nil {
		told = map[string]Load{}
		b.peers[instance] = told
	}
	for id, a := range amounts {
		old := told[id]
		b.total[id] = b.total[id].plus(a).plus(old.negated())
		told[id] = a
	}
}

// ReplacePeer replaces what another instance has told; nil removes the instance.
func (b *Tracker) ReplacePeer(instance string, amounts map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if amounts == nil {
		delete(b.peers, instance)
	} else {
		b.peers[instance] = maps.Clone(amounts)
	}
	b.total = make(map[string]Load, len(b.total))
	for _, told := range b.peers {
		for id, a := range told {
			b.total[id] = b.total[id].plus(a)
		}
	}
}

// TotalExcept returns the work of all instances but one, by endpoint.
func (b *Tracker) TotalExcept(instance string) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load, len(b.total)+len(b.own))
	for id, a := range b.total {
		out[id] = a
	}
	for id, a := range b.own {
		out[id] = out[id].plus(a)
	}
	for id, a := range b.peers[instance] {
		out[id] = out[id].plus(a.negated())
	}
	for id, a := range out {
		if a == (Load{}) {
			delete(out, id)
		}
	}
	return out
}
