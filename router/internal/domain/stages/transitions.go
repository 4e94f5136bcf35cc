package stages

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

// Transition says that an engine is changing its stage and takes no requests meanwhile. Instances exchange transitions.
type Transition struct {
	Endpoint string        `json:"endpoint"`
	To       routing.Stage `json:"to"`
	// RemainingMS is how long the transition holds at most, in milliseconds.
	RemainingMS int64 `json:"left_ms"`
}

type transition struct {
	to    routing.Stage
	until time.Duration
}

// Transitions holds the transitions of all instances. It is safe for concurrent use; requests read it without a lock.
type Transitions struct {
	mu     sync.Mutex
	own    map[string]transition
	others map[string]map[string]transition
	all    atomic.Pointer[map[string]transition]
}

// NewTransitions returns an empty Transitions.
func NewTransitions() *Transitions {
	t := &Transitions{own: map[string]transition{}, others: map[string]map[string]transition{}}
	t.all.Store(&map[string]transition{})
	return t
}

// Add notes that an engine is changing, until a time since boot at most.
func (t *Transitions) Add(endpoint string, to routing.Stage, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[endpoint] = transition{to, until}
	t.merge()
}

// Remove removes this instance's transition.
func (t *Transitions) Remove(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.own, endpoint)
	t.merge()
}

// Local lists this instance's transitions that still hold, for the others.
func (t *Transitions) Local(now time.Duration) []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Transition
	for endpoint, v := range t.own {
		if v.until <= now {
			delete(t.own, endpoint)
			continue
		}
		out = append(out, Transition{Endpoint: endpoint, To: v.to, RemainingMS: (v.until - now).Milliseconds()})
	}
	return out
}

// All lists the transitions of all instances that still hold.
func (t *Transitions) All(now time.Duration) []Transition {
	var out []Transition
	for endpoint, v := range *t.all.Load() {
		if v.until > now {
			out = append(out, Transition{Endpoint: endpoint, To: v.to, RemainingMS: (v.until - now).Milliseconds()})
		}
	}
	return out
}

// ReplacePeer replaces the transitions of another instance.
func (t *Transitions) ReplacePeer(instance string, list []Transition, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 && t.others[instance] == nil {
		return
	}
	delete(t.others, instance)
	if len(list) > 0 {
		heard := map[string]transition{}
		for _, v := range list {
			heard[v.Endpoint] = transition{v.To, now + time.Duration(v.RemainingMS)*time.Millisecond}
		}
		t.others[instance] = heard
	}
	t.merge()
}

// merge publishes the transitions of all instances; t.mu is held.
func (t *Transitions) merge() {
	all := maps.Clone(t.own)
	for _, heard := range t.others {
		maps.Copy(all, heard)
	}
	t.all.Store(&all)
}

// Target returns the stage to which an engine in the given stage is changing; ok is false if it is not.
func (t *Transitions) Target(endpoint string, stage routing.Stage, now time.Duration) (to routing.Stage, ok bool) {
	v, changing := (*t.all.Load())[endpoint]
	if !changing || v.to == stage || v.until <= now {
		return "", false
	}
	return v.to, true
}
