package platform

import (
	"encoding/json"
	"sort"
	"sync"

	"tanagerwood.dev/api/platform"
)

const (
	// keptVersions is how many past values of an object are kept for stale reads.
	keptVersions = 16
	// keptChanges is how many changes a watch may lie behind before it has to list again.
	keptChanges = 4096
	// watchBuffer is how many changes a slow watcher may fall behind before it is cut off.
	watchBuffer = 1024
)

type objectKey struct {
	kind platform.Kind
	name string
}

// record is the history of one object, oldest first. A deleted object ends with a nil value.
type record struct {
	values []platform.Object
}

func (r *record) newest() platform.Object { return r.values[len(r.values)-1] }

// behind returns the value that was current the given number of writes of this object ago, or the oldest one kept.
func (r *record) behind(writes int) platform.Object {
	return r.values[max(0, len(r.values)-1-writes)]
}

type watcher struct {
	kind   platform.Kind
	events chan platform.WatchEvent
}

// conflict is the outcome of a conditional write whose condition did not hold.
type conflict struct{ present uint64 }

// store keeps versioned objects. Versions grow over all objects together.
type store struct {
	mu       sync.Mutex
	version  uint64
	objects  map[objectKey]*record
	changes  []platform.WatchEvent
	watchers map[*watcher]bool
}

func newStore() *store {
	return &store{objects: make(map[objectKey]*record), watchers: make(map[*watcher]bool)}
}

// get returns the object as it was the given number of its own writes ago.
func (s *store) get(key objectKey, behind int) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.objects[key]
	if !ok {
		return platform.Object{}, false
	}
	o := r.behind(behind)
	return o, o.Value != nil
}

func (s *store) list(kind platform.Kind, behind int) platform.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version, Objects: []platform.Object{}}
	for key, r := range s.objects {
		o := r.behind(behind)
		if key.kind == kind && o.Value != nil {
			list.Objects = append(list.Objects, o)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Name < list.Objects[j].Name })
	return list
}

// write replaces the object if its present version equals want; want 0 creates it. A nil value deletes it.
func (s *store) write(key objectKey, want uint64, value json.RawMessage) (uint64, *conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.presentVersion(key); present != want {
		return 0, &conflict{present: present}
	}
	s.version++
	o := platform.Object{Kind: key.kind, Name: key.name, Version: s.version, Value: value}
	r := s.objects[key]
	if r == nil {
		r = &record{}
		s.objects[key] = r
	}
	r.values = append(r.values, o)
	if len(r.values) > keptVersions {
		r.values = r.values[1:]
	}
	s.publish(o)
	return s.version, nil
}

func (s *store) presentVersion(key objectKey) uint64 {
	r, ok := s.objects[key]
	if !ok || r.newest().Value == nil {
		return 0
	}
	return r.newest().Version
}

func (s *store) publish(o platform.Object) {
	e := platform.WatchEvent{Type: platform.WatchPut, Object: o}
	if o.Value == nil {
		e.Type = platform.WatchDelete
	}
	s.changes = append(s.changes, e)
	if len(s.changes) > keptChanges {
		s.changes = s.changes[len(s.changes)-keptChanges:]
	}
	for w := range s.watchers {
		if w.kind != o.Kind {
			continue
		}
		select {
		case w.events <- e:
		default:
			s.drop(w)
		}
	}
}

// watch delivers the changes of a kind after a version. It returns false if they are no longer all kept.
func (s *store) watch(kind platform.Kind, version uint64) (*watcher, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.version && (len(s.changes) == 0 || s.changes[0].Object.Version > version+1) {
		return nil, false
	}
	missed := make([]platform.WatchEvent, 0)
	for _, e := range s.changes {
		if e.Object.Kind == kind && e.Object.Version > version {
			missed = append(missed, e)
		}
	}
	bookmark := platform.WatchEvent{Type: platform.WatchBookmark, Object: platform.Object{Kind: kind, Version: s.version}}
	missed = append(missed, bookmark)
	w := &watcher{kind: kind, events: make(chan platform.WatchEvent, len(missed)+watchBuffer)}
	for _, e := range missed {
		w.events <- e
	}
	s.watchers[w] = true
	return w, true
}

func (s *store) unwatch(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(w)
}

// cutWatches ends all watches, as an outage does.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		s.drop(w)
	}
}

func (s *store) drop(w *watcher) {
	if s.watchers[w] {
		delete(s.watchers, w)
		close(w.events)
	}
}
