// Package service simulates a plain service: it counts every booking that it ran, responds to lookups, and injects faults on
// request.
package service

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/lab/standin/silent"
)

const (
	// DefaultBookingField is the default name of the body field that identifies a booking.
	DefaultBookingField = "booking"
	logCapacity         = 8192
	maxBodyBytes        = 8 << 20
)

// Options configures a service.
type Options struct {
	Name string
	// BookingField is the field of a JSON body that identifies the booking; DefaultBookingField if empty.
	BookingField string
	// Exit terminates the process for the fault DieAfterRun; if nil, the service aborts all calls from then on.
	Exit func()
	// Log is the event log; a new one if nil.
	Log *event.Log
}

// Run counts the runs of one booking.
type Run struct {
	Count int `json:"count"`
	// Attempts counts the runs by attempt id, which is taken from the X-Request-Id header.
	Attempts map[string]int `json:"attempts"`
}

// Runs is the response body of GET /runs.
type Runs struct {
	Service string         `json:"service"`
	Runs    map[string]Run `json:"runs"`
	Lookups int            `json:"lookups"`
}

// Response is the response body for a booking or a lookup. The response to a lookup depends only on its path, which includes
// the query.
type Response struct {
	Service string `json:"service,omitempty"`
	Booking string `json:"booking,omitempty"`
	Path    string `json:"path"`
	// Run is the number of times the booking has run.
	Run int `json:"run,omitempty"`
}

// Service is one running simulated service.
type Service struct {
	opts    Options
	log     *event.Log
	handler http.Handler
	closing chan struct{}
	once    sync.Once

	mu          sync.Mutex
	runs        map[string]Run
	lookups     int
	headers     []http.Header
	faults      Faults
	crashed     bool
	connections silent.Connections
}

// New returns a service. Close ends its pending calls.
func New(opts Options) *Service {
	if opts.Name == "" {
		opts.Name = "service"
	}
	if opts.BookingField == "" {
		opts.BookingField = DefaultBookingField
	}
	s := &Service{
		opts: opts, log: opts.Log, closing: make(chan struct{}), runs: make(map[string]Run),
	}
	if s.log == nil {
		s.log = event.NewLog(opts.Name, "", logCapacity, time.Now)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("/faults", s.serveFaults)
	mux.Handle("GET /events", s.log)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	mux.HandleFunc("/", s.serveCall)
	s.handler = s.log.Handler(mux)
	return s
}

// Handler serves the service's HTTP API.
func (s *Service) Handler() http.Handler { return s.handler }

// Close ends pending calls.
func (s *Service) Close() { s.once.Do(func() { close(s.closing) }) }

// Runs returns the counts.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Runs{Service: s.opts.Name, Runs: make(map[string]Run, len(s.runs)), Lookups: s.lookups}
	for k, v := range s.runs {
		r.Runs[k] = Run{Count: v.Count, Attempts: maps.Clone(v.Attempts)}
	}
	return r
}

// RunCount returns how often the booking ran.
func (s *Service) RunCount(booking string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[booking].Count
}

// Headers returns the headers of the received calls, oldest first.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header{}, s.headers...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.applyConnectionFaults(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, "the body ended early")
		return
	}
	f := s.CurrentFaults()
	s.pause(r, f.SlowMS)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.countLookup()
		s.pause(r, f.LateReplyMS)
		writeJSON(w, cmp.Or(f.FailStatus, http.StatusOK), Response{Path: r.URL.RequestURI()})
		return
	}
	response := s.run(r, body)
	s.crashIfRequested()
	s.pause(r, f.LateReplyMS)
	writeJSON(w, cmp.Or(f.FailStatus, http.StatusCreated), response)
}

func (s *Service) countLookup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
}

// run runs the booking. Runs are counted nowhere else.
func (s *Service) run(r *http.Request, body []byte) Response {
	booking := s.bookingName(body)
	attempt := r.Header.Get(openai.RequestIDHeader)
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.runs[booking]
	if run.Attempts == nil {
		run.Attempts = make(map[string]int)
	}
	run.Count++
	run.Attempts[attempt]++
	s.runs[booking] = run
	s.log.Record(event.Event{Kind: event.ServiceAnswered, Request: attempt, Endpoint: s.opts.Name, Detail: booking})
	return Response{Service: s.opts.Name, Booking: booking, Path: r.URL.RequestURI(), Run: run.Count}
}

func (s *Service) bookingName(body []byte) string {
	fields := map[string]any{}
	_ = json.Unmarshal(body, &fields)
	name, _ := fields[s.opts.BookingField].(string)
	return name
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
