package stages

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

// Mark says that an engine is changing its stage and takes no requests meanwhile. Instances exchange marks.
type Mark struct {
	Endpoint string        `json:"endpoint"`
	To       routing.Stage `json:"to"`
	// LeftMS is how long the mark holds at most, in milliseconds.
	LeftMS int64 `json:"left_ms"`
}

type mark struct {
	to    routing.Stage
	until time.Duration
}

// Marks holds the marks of all instances. It is safe for concurrent use; requests read it without a lock.
type Marks struct {
	mu     sync.Mutex
	own    map[string]mark
	others map[string]map[string]mark
	all    atomic.Pointer[map[string]mark]
}

// NewMarks returns an empty Marks.
func NewMarks() *Marks {
	m := &Marks{own: map[string]mark{}, others: map[string]map[string]mark{}}
	m.all.Store(&map[string]mark{})
	return m
}

// Set marks an engine until a time since boot.
func (m *Marks) Set(endpoint string, to routing.Stage, until time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own[endpoint] = mark{to, until}
	m.merge()
}

// Drop removes this instance's mark.
func (m *Marks) Drop(endpoint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.own, endpoint)
	m.merge()
}

// Own lists this instance's marks that still hold, for the others.
func (m *Marks) Own(now time.Duration) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Mark
	for endpoint, v := range m.own {
		if v.until <= now {
			delete(m.own, endpoint)
			continue
		}
		out = append(out, Mark{Endpoint: endpoint, To: v.to, LeftMS: (v.until - now).Milliseconds()})
	}
	return out
}

// Hear replaces the marks of another instance.
func (m *Marks) Hear(instance string, list []Mark, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(list) == 0 && m.others[instance] == nil {
		return
	}
	delete(m.others, instance)
	if len(list) > 0 {
		heard := map[string]mark{}
		for _, v := range list {
			heard[v.Endpoint] = mark{v.To, now + time.Duration(v.LeftMS)*time.Millisecond}
		}
		m.others[instance] = heard
	}
	m.merge()
}

// merge publishes the marks of all instances; m.mu is held.
func (m *Marks) merge() {
	all := maps.Clone(m.own)
	for _, heard := range m.others {
		maps.Copy(all, heard)
	}
	m.all.Store(&all)
}

// Changing returns the stage to which an engine in the given stage is changing; ok is false if it is not.
func (m *Marks) Changing(endpoint string, stage routing.Stage, now time.Duration) (to routing.Stage, ok bool) {
	v, marked := (*m.all.Load())[endpoint]
	if !marked || v.to == stage || v.until <= now {
		return "", false
	}
	return v.to, true
}
