package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Heartbeat is the interval of the heartbeats of servers, Lease the silence after which the store removes an entry.
const (
	Heartbeat = 1200 * time.Millisecond
	Lease     = 3 * Heartbeat
)

// Run is a request that a server ran.
type Run struct {
	ID, Server, Tenant string
	Began, Ended       time.Time
	// Whole is set if the server wrote the whole answer.
	Whole bool
}

// Server is a server of a service: a plain one, or a model server if Stage is set.
type Server struct {
	ID, Service, Zone, Stage string
	Slots                    int
	// Work is how long a plain request takes.
	Work time.Duration
	// Events and EventGap describe the streams of a model server.
	Events   int
	EventGap time.Duration

	address string
	store   *Store
	seq     int

	mu       sync.Mutex
	running  int
	waiting  int
	runs     []*Run
	holds    map[string]time.Time
	handles  map[string]time.Time
	peers    *Servers
	leases   int
	lastBeat time.Time
	born     int64
}

// Servers are the servers of a deployment.
type Servers struct {
	mu  sync.Mutex
	all []*Server
}

// Start starts a server. Its first heartbeat is written at once, and further ones at phase after each multiple of Heartbeat since epoch.
func (all *Servers) Start(s *Server, store *Store, epoch time.Time, phase time.Duration) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.store, s.peers, s.born = listener.Addr().String(), store, all, time.Now().UnixMilli()
	s.holds, s.handles = map[string]time.Time{}, map[string]time.Time{}
	all.mu.Lock()
	all.all = append(all.all, s)
	all.mu.Unlock()
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }() // ends with the process
	s.beat()
	go func() {
		for {
			since := time.Since(epoch) - phase
			next := (since/Heartbeat + 1) * Heartbeat
			time.Sleep(next - since)
			s.beat()
		}
	}()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			expired := time.Since(s.lastBeat) > Lease
			s.mu.Unlock()
			if expired {
				store.Expire("servers", s.ID)
			}
		}
	}()
	return nil
}

func (s *Server) beat() {
	entry := map[string]any{"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready", "cold_remaining_ms": 0, "seq": 0, "born": s.born}
	if s.Stage != "" {
		entry["stage"], entry["models"] = s.Stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	if !s.store.Put("servers", s.ID, entry) {
		return
	}
	s.mu.Lock()
	s.lastBeat = time.Now()
	s.mu.Unlock()
}

// Runs returns what all servers have run.
func (all *Servers) Runs() []Run {
	all.mu.Lock()
	defer all.mu.Unlock()
	var out []Run
	for _, s := range all.all {
		s.mu.Lock()
		for _, r := range s.runs {
			out = append(out, *r)
		}
		s.mu.Unlock()
	}
	return out
}

func (all *Servers) takeHandle(source string) bool {
	address, id, _ := strings.Cut(source, "/")
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, s := range all.all {
		if s.address == address {
			return s.take(s.handles, id)
		}
	}
	return false
}

func (s *Server) take(kept map[string]time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := kept[id]
	delete(kept, id)
	return ok && time.Now().Before(until)
}

func (s *Server) grant(kept map[string]time.Time, life time.Duration) string {
	s.leases++
	id := fmt.Sprintf("%x%06x", s.born&0xffffff, s.leases)
	kept[id] = time.Now().Add(life)
	return id
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch path := r.URL.Path; {
	case path == "/-/hold-take":
		s.hold(w, r)
	case strings.HasPrefix(path, "/-/hold-drop/"):
		s.take(s.holds, strings.TrimPrefix(path, "/-/hold-drop/"))
	case strings.HasPrefix(path, "/-/kv-handle/"):
		s.take(s.handles, strings.TrimPrefix(path, "/-/kv-handle/"))
	case strings.HasPrefix(path, "/-/"):
		w.WriteHeader(http.StatusBadRequest)
	case id == "":
		refuse(w, http.StatusBadRequest)
	case s.Stage == "":
		s.plain(w, r, id)
	default:
		s.model(w, r, id)
	}
}

func (s *Server) used() int {
	used := s.running
	for id, until := range s.holds {
		if time.Now().After(until) {
			delete(s.holds, id)
			continue
		}
		used++
	}
	return used
}

func (s *Server) hold(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Tokens int `json:"tokens"`
		TTL    int `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used() >= s.Slots {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply(w, http.StatusOK, map[string]any{"hold": s.grant(s.holds, time.Duration(in.TTL)*time.Millisecond)})
}

func (s *Server) begin(id, tenant string) *Run {
	run := &Run{ID: id, Server: s.ID, Tenant: tenant, Began: time.Now()}
	s.running++
	s.runs = append(s.runs, run)
	return run
}

func (s *Server) end(run *Run, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	run.Ended, run.Whole = time.Now(), whole
}

func (s *Server) stamp(w http.ResponseWriter) {
	w.Header().Set("X-Response-Stamp", "stamp."+s.ID)
	s.mu.Lock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots))
	s.mu.Unlock()
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.Slots {
		s.mu.Unlock()
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	run := s.begin(id, r.Header.Get("X-Tenant"))
	s.mu.Unlock()
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.end(run, false)
		return
	}
	s.stamp(w)
	body := "answer to " + id + " " + strings.Repeat("x", 700) + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	s.end(run, err == nil)
}

func (s *Server) model(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	prefill := r.Header.Get("X-Stage") == "prefill"
	if prefill != (s.Stage == "prefill") {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	tokens, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	prompt, _ := strconv.Atoi(tokens)
	if prefill {
		time.Sleep(time.Duration(prompt) * time.Millisecond / 40)
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"kv_handle": s.grant(s.handles, 500*time.Millisecond), "tokens": prompt, "version": 1})
		return
	}
	if source := r.Header.Get("X-Kv-Source"); source != "" && !s.peers.takeHandle(source) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	held := false
	if hold := r.Header.Get("X-Kv-Hold"); hold != "" {
		held = s.take(s.holds, hold)
	}
	s.mu.Lock()
	if !held && s.used() >= s.Slots {
		s.mu.Unlock()
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	run := s.begin(id, r.Header.Get("X-Tenant"))
	s.mu.Unlock()
	s.stamp(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	s.end(run, s.stream(w, r, id))
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string) (whole bool) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.Events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, id); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		select {
		case <-time.After(s.EventGap):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// WholeStream reports whether a body is the whole stream of a request.
func WholeStream(id, body string, events int) bool {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", n, n, id)
	}
	return b.String() == body
}
