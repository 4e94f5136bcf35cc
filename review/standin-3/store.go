package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name           string   `json:"name"`
		Revision       uint64   `json:"revision"`
		CreateRevision uint64   `json:"create_revision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// store is a stand-in for the platform's store: objects by kind and name, one revision counter, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator or a server does, without a condition.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.writeLocked(kind, o)
}

func (s *store) writeLocked(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.notifyLocked(event{kind: kind, Object: o})
	return o
}

func (s *store) notifyLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	kind, name, named := strings.Cut(path, "/")
	switch {
	case !ok || kind == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		s.write(w, r, kind, name, named)
	}
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "store_revision": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	want, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !found:
		reply(w, http.StatusNotFound, map[string]any{})
	case want != 0 && want != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	default:
		s.revision++
		delete(s.objects[kind], name)
		o.Metadata.Revision = s.revision
		s.notifyLocked(event{kind: kind, Removed: true, Object: o})
		reply(w, http.StatusOK, o)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, named bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !named {
		name = in.Metadata.Name
	}
	name, status := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !found:
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	next := old
	next.Metadata.Name = name
	if status {
		next.Status = in.Status
	} else {
		next.Spec, next.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	reply(w, http.StatusOK, s.writeLocked(kind, next))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				over = true
			}
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}
