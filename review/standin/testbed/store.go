// Package testbed holds small stand-ins for the platform's store, the servers and the consumers, as PROTOCOL.md describes them, and
// starts router processes against them. All addresses are loopback addresses.
package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of entries in a page of a list.
const pageSize = 500

// Mode is how the store answers calls.
type Mode int

// Modes of the store.
const (
	Serving Mode = iota
	// Busy refuses every call with 503 and cuts the watches that wait.
	Busy
	// Silent takes calls and never answers those that arrive meanwhile; their channels stay open. Watches that wait already go on.
	Silent
)

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision,omitempty"`
	CreateRevision uint64   `json:"create_revision,omitempty"`
	Finalizers     []string `json:"finalizers,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

// Store is the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []storeEvent
	// compacted is the revision up to which the history is gone.
	compacted uint64
	mode      Mode
	// muted keeps watches from hearing of changes.
	muted bool
	// cut counts the times at which the waiting watches were cut off.
	cut     int
	changed chan struct{}
	// onAnswer is called after each answered call for the list of servers.
	onAnswer func(caller, what string)
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// OnServersAnswer sets a function that is called after each answered list or watch of the servers.
func (s *Store) OnServersAnswer(f func(caller, what string)) { s.onAnswer = f }

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode sets how the store answers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	if m == Busy {
		s.cut++
	}
	s.notify()
}

// Mute keeps the watches from hearing of changes.
func (s *Store) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// DropHistory drops the history and cuts the waiting watches off. It ends Mute.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.history, s.compacted = false, nil, s.revision
	s.cut++
	s.notify()
}

// Put creates or replaces an object. It reports whether the store took the write.
func (s *Store) Put(kind, name string, spec any) bool {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != Serving {
		return false
	}
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(raw) {
		return true
	}
	s.put(kind, name, raw)
	return true
}

// Expire removes an object, also while the store refuses calls.
func (s *Store) Expire(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Names lists the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

func (s *Store) names(kind string) []string {
	var out []string
	for name := range s.objects[kind] {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRevision: s.revision}, Spec: spec}
	if old, ok := s.objects[kind][name]; ok {
		o.Metadata.CreateRevision = old.Metadata.CreateRevision
	}
	s.objects[kind][name] = o
	s.history = append(s.history, storeEvent{kind: kind, revision: s.revision, Object: o})
	s.notify()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, storeEvent{kind: kind, revision: s.revision, Removed: true, Object: o})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	kind, name, _ := strings.Cut(rest, "/")
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	switch {
	case mode == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == Silent:
		_, _ = io.Copy(io.Discard, r.Body) // the end of the channel is noticed once the body is read
		<-r.Context().Done()
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.drop(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may be gone
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items, more := []object{}, false
	for _, name := range s.names(kind) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.objects[kind][name])
	}
	body := map[string]any{"items": items, "more_pages": more, "store_revision": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
	s.answered(r, kind, fmt.Sprintf("list of %d", len(items)))
}

func (s *Store) answered(r *http.Request, kind, what string) {
	if kind == "servers" && s.onAnswer != nil {
		s.onAnswer(r.RemoteAddr, what)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && exists && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.put(kind, name, in.Spec))
	}
}

func (s *Store) drop(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	wanted := r.URL.Query().Get("revision")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case wanted != "" && wanted != strconv.FormatUint(old.Metadata.Revision, 10):
		reply(w, http.StatusConflict, old)
	default:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		var events []storeEvent
		for _, e := range s.history {
			if e.kind == kind && e.revision > since && !s.muted && s.mode == Serving {
				events = append(events, e)
			}
		}
		revision, changed, muted, isCut, gone := s.revision, s.changed, s.muted, s.cut != cut, since < s.compacted
		s.mu.Unlock()
		switch {
		case isCut:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			s.answered(r, kind, "410")
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			s.answered(r, kind, fmt.Sprintf("%d changes", len(events)))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if muted {
				revision = since // a watch that hears nothing does not advance
			}
			reply(w, http.StatusOK, map[string]any{"events": []storeEvent{}, "store_revision": revision})
			s.answered(r, kind, "no change")
			return
		case <-r.Context().Done():
			return
		}
	}
}
