package platform

import (
	"sort"
	"sync"
	"time"

	"tanagerwood.dev/api/platform"
)

// InstanceUpdate is the body of POST /instances. Instances are added or replaced by name, and those named in Removed are
// deleted; both changes become visible after the lag.
type InstanceUpdate struct {
	Instances []platform.Instance `json:"instances,omitempty"`
	Removed   []string            `json:"removed,omitempty"`
	// LagMS overrides Options.InstanceLag for this update, in milliseconds.
	LagMS *int64 `json:"lagMs,omitempty"`
}

type pendingUpdate struct {
	update InstanceUpdate
	due    time.Time
}

// instanceList is the platform's list of live and leaving instances, in which changes become visible after a lag.
type instanceList struct {
	lag time.Duration
	now func() time.Time

	mu      sync.Mutex
	visible map[string]platform.Instance
	pending []pendingUpdate
}

func newInstanceList(seed []platform.Instance, lag time.Duration, now func() time.Time) *instanceList {
	l := &instanceList{lag: lag, now: now, visible: make(map[string]platform.Instance)}
	l.apply(InstanceUpdate{Instances: seed})
	return l
}

func (l *instanceList) enqueue(u InstanceUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := l.lag
	if u.LagMS != nil {
		lag = time.Duration(*u.LagMS) * time.Millisecond
	}
	l.pending = append(l.pending, pendingUpdate{update: u, due: l.now().Add(lag)})
}

func (l *instanceList) list() platform.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	list := platform.InstanceList{Instances: make([]platform.Instance, 0, len(l.visible))}
	for _, i := range l.visible {
		list.Instances = append(list.Instances, i)
	}
	sort.Slice(list.Instances, func(i, j int) bool { return list.Instances[i].Name < list.Instances[j].Name })
	return list
}

func (l *instanceList) applyDue() {
	now := l.now()
	sort.SliceStable(l.pending, func(i, j int) bool { return l.pending[i].due.Before(l.pending[j].due) })
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		l.apply(l.pending[0].update)
		l.pending = l.pending[1:]
	}
}

func (l *instanceList) apply(u InstanceUpdate) {
	for _, i := range u.Instances {
		if i.State == "" {
			i.State = platform.InstanceLive
		}
		l.visible[i.Name] = i
	}
	for _, name := range u.Removed {
		delete(l.visible, name)
	}
}
