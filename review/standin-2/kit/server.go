package kit

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a server of a plain service.
type Server struct {
	ID, Address string
	// WorkTime is how long a request takes. Respond, if it is set, writes the answer in place of 800 bytes.
	WorkTime time.Duration
	Respond  func(w http.ResponseWriter, r *http.Request)

	mu  sync.Mutex
	ran map[string]int
}

// StartServer starts a server on a free port of the IP address.
func StartServer(ip, id string) *Server {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		Unable("a server cannot listen: %v", err)
	}
	s := &Server{ID: id, Address: l.Addr().String(), ran: map[string]int{}}
	go http.Serve(l, s)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	Log("server %s runs %s", s.ID, id)
	w.Header().Set("X-Response-Stamp", "stamp."+id)
	if s.Respond != nil {
		s.Respond(w, r)
		Log("server %s ends %s", s.ID, id)
		return
	}
	time.Sleep(s.WorkTime)
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	w.Write(make([]byte, answerBytes))
}

// answerBytes is the size of the answers.
const answerBytes = 800

// Ran returns how often the server has run a request.
func (s *Server) Ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// Config returns a configuration with the given routes of one plain service.
func Config(version int, service string, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "tenants": []any{},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// Route returns a route of the host h.example.
func Route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 900,
		"gap_aim_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "public": true, "sticky": false, "resumable": false,
	}
}
