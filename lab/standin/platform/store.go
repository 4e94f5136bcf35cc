package platform

import (
	"encoding/json"
	"sort"
	"sync"

	"tanagerwood.dev/api/platform"
)

const (
	// keptVersions is the number of values of an object that are kept for stale reads.
	keptVersions = 16
	// keptChanges is the maximum number of changes that a watch may be behind before its client has to list again.
	keptChanges = 4096
	// watchBuffer is the number of changes that a slow watcher may lag behind before its watch is closed.
	watchBuffer = 1024
)

type objectKey struct {
	kind platform.Kind
	name string
}

// history holds the values of one object, oldest first. The last value of a deleted object is nil.
type history struct {
	values []platform.Object
}

func (r *history) newest() platform.Object { return r.values[len(r.values)-1] }

// valueBefore returns the value that the object had the given number of its own writes ago, or the oldest one kept.
func (r *history) valueBefore(writes int) platform.Object {
	return r.values[max(0, len(r.values)-1-writes)]
}

type watcher struct {
	kind   platform.Kind
	events chan platform.WatchEvent
}

// conflict is the result of a conditional write whose condition was not met.
type conflict struct{ currentVersion uint64 }

// store keeps versioned objects. All objects share one version counter.
type store struct {
	mu       sync.Mutex
	version  uint64
	objects  map[objectKey]*history
	changes  []platform.WatchEvent
	watchers map[*watcher]bool
}

func newStore() *store {
	return &store{objects: make(map[objectKey]*history), watchers: make(map[*watcher]bool)}
}

// get returns the object as it was the given number of its own writes ago.
func (s *store) get(key objectKey, behind int) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.objects[key]
	if !ok {
		return platform.Object{}, false
	}
	o := r.valueBefore(behind)
	return o, o.Value != nil
}

func (s *store) list(kind platform.Kind, behind int) platform.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version, Objects: []platform.Object{}}
	for key, r := range s.objects {
		o := r.valueBefore(behind)
		if key.kind == kind && o.Value != nil {
			list.Objects = append(list.Objects, o)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Name < list.Objects[j].Name })
	return list
}

// write replaces the object if its current version equals want; with want 0 it creates the object. A nil value deletes it.
func (s *store) write(key objectKey, want uint64, value json.RawMessage) (uint64, *conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.currentVersion(key); present != want {
		return 0, &conflict{currentVersion: present}
	}
	s.version++
	o := platform.Object{Kind: key.kind, Name: key.name, Version: s.version, Value: value}
	r := s.objects[key]
	if r == nil {
		r = &history{}
		s.objects[key] = r
	}
	r.values = append(r.values, o)
	if len(r.values) > keptVersions {
		r.values = r.values[1:]
	}
	s.publish(o)
	return s.version, nil
}

func (s *store) currentVersion(key objectKey) uint64 {
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
			s.closeWatcher(w)
		}
	}
}

// watch delivers the changes of a kind after a version. It returns false if some of them are no longer kept.
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
	s.closeWatcher(w)
}

// closeWatches closes all watches, as an outage does.
func (s *store) closeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		s.closeWatcher(w)
	}
}

func (s *store) closeWatcher(w *watcher) {
	if s.watchers[w] {
		delete(s.watchers, w)
		close(w.events)
	}
}
