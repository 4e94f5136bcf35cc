// Package kit has the stand-ins that the review's scripts start: the platform's store, servers, and the router's processes. It follows the
// users' pages and uses the standard library only.
package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's store of objects.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
	// compacted is the revision up to which the history is gone.
	compacted uint64
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	at       time.Time
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

const (
	// ValueBytes is the largest size of an object, and of the objects in a page of a list, which has pageItems objects at most.
	ValueBytes = 1 << 20
	pageItems  = 500
	// historyTime is history_s.
	historyTime = 20 * time.Second
)

// StartStore starts a store on a free port of the IP address.
func StartStore(ip string) *Store {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		Unable("the store cannot listen: %v", err)
	}
	s := &Store{Address: l.Addr().String(), revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go http.Serve(l, s)
	return s
}

// Put writes the spec of an object as the operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil || len(raw) > ValueBytes {
		Unable("an object of %d bytes cannot be stored: %v", len(raw), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.delete(kind, o)
	}
}

func (s *Store) write(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	created := s.revision
	if o != nil {
		created = o.Metadata.CreateRevision
	}
	o = &object{Metadata: metadata{Name: name, Revision: s.revision, CreateRevision: created, Finalizers: []string{}}, Spec: spec}
	s.objects[kind][name] = o
	s.record(event{kind: kind, revision: s.revision, Object: *o})
	return o
}

func (s *Store) delete(kind string, o *object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	s.record(event{kind: kind, revision: s.revision, Removed: true, Object: *o})
}

func (s *Store) record(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	for time.Since(s.history[0].at) > historyTime {
		s.compacted = s.history[0].revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
		return
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		if o = s.objects[kind][in.Metadata.Name]; o != nil {
			answer(w, http.StatusConflict, o)
			return
		}
		answer(w, http.StatusOK, s.write(kind, in.Metadata.Name, in.Spec))
		return
	}
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	wanted := in.Metadata.Revision
	if value, err := strconv.ParseUint(query.Get("revision"), 10, 64); err == nil {
		wanted = value
	}
	if r.Method != http.MethodGet && wanted != 0 && wanted != o.Metadata.Revision {
		answer(w, http.StatusConflict, o)
		return
	}
	switch r.Method {
	case http.MethodGet:
		answer(w, http.StatusOK, o)
	case http.MethodPut:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec))
	case http.MethodDelete:
		s.delete(kind, o)
		answer(w, http.StatusOK, o)
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	page, size := []*object{}, 0
	for _, o := range items {
		if size += len(o.Spec); len(page) > 0 && (len(page) == pageItems || size > ValueBytes) {
			break
		}
		page = append(page, o)
	}
	answer(w, http.StatusOK, map[string]any{"items": page, "more_pages": len(page) < len(items), "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed, compacted := s.revision, s.changed, s.compacted
		s.mu.Unlock()
		if since < compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}
