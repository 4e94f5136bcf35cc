package stages

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

// Transition states that an engine is switching its stage and takes no requests until it has switched. Instances exchange
// transitions.
type Transition struct {
	Endpoint string        `json:"endpoint"`
	To       routing.Stage `json:"to"`
	// RemainingMS is the time in milliseconds after which the transition expires.
	RemainingMS int64 `json:"left_ms"`
}

type transition struct {
	to    routing.Stage
	until time.Duration
}

// Transitions holds the transitions of all instances. It is safe for concurrent use; the request path reads it without a lock.
type Transitions struct {
	mu    sync.Mutex
	local map[string]transition
	peers map[string]map[string]transition
	all   atomic.Pointer[map[string]transition]
}

// NewTransitions returns an empty Transitions.
func NewTransitions() *Transitions {
	t := &Transitions{local: map[string]transition{}, peers: map[string]map[string]transition{}}
	t.all.Store(&map[string]transition{})
	return t
}

// Add records that this instance has ordered an engine to switch. The transition expires at the given time since boot.
func (t *Transitions) Add(endpoint string, to routing.Stage, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local[endpoint] = transition{to, until}
	t.publish()
}

// Remove deletes a transition of this instance.
func (t *Transitions) Remove(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.local, endpoint)
	t.publish()
}

// Local lists the unexpired transitions of this instance and deletes the expired ones.
func (t *Transitions) Local(now time.Duration) []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Transition
	for endpoint, v := range t.local {
		if v.until <= now {
			delete(t.local, endpoint)
			continue
		}
		out = append(out, Transition{Endpoint: endpoint, To: v.to, RemainingMS: (v.until - now).Milliseconds()})
	}
	return out
}

// All lists the unexpired transitions of all instances.
func (t *Transitions) All(now time.Duration) []Transition {
	var out []Transition
	for endpoint, v := range *t.all.Load() {
		if v.until > now {
			out = append(out, Transition{Endpoint: endpoint, To: v.to, RemainingMS: (v.until - now).Milliseconds()})
		}
	}
	return out
}

// ReplacePeer replaces the transitions reported by another instance.
func (t *Transitions) ReplacePeer(instance string, list []Transition, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 && t.peers[instance] == nil {
		return
	}
	delete(t.peers, instance)
	if len(list) > 0 {
		reported := map[string]transition{}
		for _, v := range list {
			reported[v.Endpoint] = transition{v.To, now + time.Duration(v.RemainingMS)*time.Millisecond}
		}
		t.peers[instance] = reported
	}
	t.publish()
}

// publish merges the transitions of all instances for lock-free readers; t.mu must be held.
func (t *Transitions) publish() {
	all := maps.Clone(t.local)
	for _, reported := range t.peers {
		maps.Copy(all, reported)
	}
	t.all.Store(&all)
}

// Target returns the stage to which an engine in the given stage is switching; ok is false if it is not switching.
func (t *Transitions) Target(endpoint string, stage routing.Stage, now time.Duration) (to routing.Stage, ok bool) {
	v, changing := (*t.all.Load())[endpoint]
	if !changing || v.to == stage || v.until <= now {
		return "", false
	}
	return v.to, true
}
