// Package platform simulates the operators' object service: versioned objects with conditional updates and watches, a lagging
// instance list, call counts, rate limits and fault injection. It keeps everything in memory.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/platform"
)

// Event kinds of the simulated platform's event log.
const (
	ObjectWritten    event.Kind = "platform.object_written"
	ObjectDeleted    event.Kind = "platform.object_deleted"
	ReplyLost        event.Kind = "platform.reply_lost"
	InstancesUpdated event.Kind = "platform.instances_updated"
)

const defaultEventCapacity = 65536

// Options configures a Server. The zero value requires no token and has no rate limits and no lag.
type Options struct {
	// Token is the bearer token that API calls must send; empty means that none is required.
	Token string
	// ReadsPerSecond and WritesPerSecond limit the call rate; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// InstanceLag is the time until changes of the instance list become visible.
	InstanceLag time.Duration
	// Instances is the initial instance list, visible immediately.
	Instances []platform.Instance
	// EventCapacity is the number of events that the event log keeps.
	EventCapacity int
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Server is a simulated platform. It is an http.Handler.
type Server struct {
	token     string
	store     *store
	instances *instanceList
	faults    *faults
	counters  *counters
	reads     *limiter
	writes    *limiter
	events    *event.Log
	handler   http.Handler
}

// New returns a Server without objects.
func New(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.EventCapacity <= 0 {
		o.EventCapacity = defaultEventCapacity
	}
	s := &Server{
		token:     o.Token,
		store:     newStore(),
		instances: newInstanceList(o.Instances, o.InstanceLag, o.Now),
		faults:    &faults{},
		counters:  newCounters(),
		reads:     newLimiter(o.ReadsPerSecond, o.Now),
		writes:    newLimiter(o.WritesPerSecond, o.Now),
		events:    event.NewLog("platform", strconv.FormatInt(o.Now().UnixNano(), 10), o.EventCapacity, o.Now),
	}
	s.handler = s.events.Handler(s.routes())
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /api/v1/instances", s.withFaultsAndLimits(s.reads, s.listInstances))
	mux.Handle("GET /api/v1/{kind}", s.withFaultsAndLimits(s.reads, s.listOrWatch))
	mux.Handle("GET /api/v1/{kind}/{name}", s.withFaultsAndLimits(s.reads, s.get))
	mux.Handle("PUT /api/v1/{kind}/{name}", s.withFaultsAndLimits(s.writes, s.put))
	mux.Handle("DELETE /api/v1/{kind}/{name}", s.withFaultsAndLimits(s.writes, s.delete))
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Calls()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.faults.get()) })
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("POST /instances", s.postInstances)
	mux.Handle("GET /events", s.events)
	return mux
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Calls returns the counts of the calls so far.
func (s *Server) Calls() Calls { return s.counters.get() }

// SetFaults changes the faults, as POST /faults does.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
	if f.Outage != nil && *f.Outage {
		s.store.closeWatches()
	}
	detail, _ := json.Marshal(f)
	s.events.Record(event.Event{Kind: event.FaultSwitched, Detail: string(detail)})
}

// UpdateInstances changes the instance list, as POST /instances does.
func (s *Server) UpdateInstances(u InstanceUpdate) {
	s.instances.enqueue(u)
	detail, _ := json.Marshal(u)
	s.events.Record(event.Event{Kind: InstancesUpdated, Detail: string(detail)})
}

type apiHandler func(w http.ResponseWriter, r *http.Request, kind platform.Kind)

// withFaultsAndLimits wraps a handler of the object API with faults, authentication and the rate limit.
func (s *Server) withFaultsAndLimits(limit *limiter, next apiHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := platform.Kind(r.PathValue("kind"))
		if kind == "" {
			kind = kindInstances
		}
		s.counters.countCall()
		readBody(w, r)
		outage, delay := s.faults.outageAndDelay()
		if !wait(r, delay) {
			return
		}
		switch {
		case outage:
			s.counters.count(kind, func(c *CallCounts) { c.Failed++ })
			writeProblem(w, http.StatusServiceUnavailable, "the platform has an outage", 0)
		case s.token != "" && r.Header.Get("Authorization") != "Bearer "+s.token:
			writeProblem(w, http.StatusUnauthorized, "missing or wrong bearer token", 0)
		case !limit.allow():
			s.counters.count(kind, func(c *CallCounts) { c.Limited++ })
			w.Header().Set("Retry-After", "1")
			writeProblem(w, http.StatusTooManyRequests, "the call rate is used up", 0)
		default:
			next(w, r, kind)
		}
	})
}

// readBody reads the body in advance, because net/http detects that a client disconnected during a delay only after the body
// has been read. A read error is returned at the end of the replaced body.
func readBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err == nil {
		err = io.EOF
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), errorReader{err}))
}

// errorReader is a reader that always returns err.
type errorReader struct{ err error }

func (f errorReader) Read([]byte) (int, error) { return 0, f.err }

func wait(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	list := s.instances.list()
	raw, err := json.Marshal(list)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err.Error(), 0)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(raw), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		s.counters.count(kind, func(c *CallCounts) { c.NotModified++ })
		w.WriteHeader(http.StatusNotModified)
		return
	}
	s.counters.count(kind, func(c *CallCounts) { c.Lists++ })
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	s.counters.count(kind, func(c *CallCounts) { c.Reads++ })
	o, ok := s.store.get(objectKey{kind, r.PathValue("name")}, s.faults.staleWrites())
	if !ok {
		writeProblem(w, http.StatusNotFound, "no such object", 0)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	if version, err := parseVersion(r.Header.Get("If-None-Match")); err == nil && version == o.Version {
		s.counters.count(kind, func(c *CallCounts) { c.NotModified++ })
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	if r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.counters.count(kind, func(c *CallCounts) { c.Lists++ })
	writeJSON(w, http.StatusOK, s.store.list(kind, s.faults.staleWrites()))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	s.counters.count(kind, func(c *CallCounts) { c.Watches++ })
	version, err := parseVersion(r.URL.Query().Get("version"))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "version must be a number", 0)
		return
	}
	watch, ok := s.store.watch(kind, version)
	if !ok {
		writeProblem(w, http.StatusGone, "the version is too old to watch from; list again", 0)
		return
	}
	defer s.store.unwatch(watch)
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		select {
		case e, open := <-watch.events:
			if !open || out.Encode(e) != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	s.counters.count(kind, func(c *CallCounts) { c.Writes++ })
	want, err := condition(r)
	if err != nil {
		writeProblem(w, http.StatusPreconditionRequired, err.Error(), 0)
		return
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("values may have at most %d bytes", platform.MaxValueBytes), 0)
		return
	}
	if !json.Valid(value) {
		writeProblem(w, http.StatusBadRequest, "the value is not JSON", 0)
		return
	}
	s.write(w, objectKey{kind, r.PathValue("name")}, want, value)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	s.counters.count(kind, func(c *CallCounts) { c.Deletes++ })
	want, err := parseVersion(r.Header.Get("If-Match"))
	if err != nil || want == 0 {
		writeProblem(w, http.StatusPreconditionRequired, "a delete needs If-Match with the version", 0)
		return
	}
	s.write(w, objectKey{kind, r.PathValue("name")}, want, nil)
}

func (s *Server) write(w http.ResponseWriter, key objectKey, want uint64, value json.RawMessage) {
	version, lost := s.store.write(key, want, value)
	if lost != nil {
		s.counters.count(key.kind, func(c *CallCounts) { c.Conflicts++ })
		writeProblem(w, http.StatusPreconditionFailed, "the object has another version", lost.currentVersion)
		return
	}
	name := string(key.kind) + "/" + key.name
	written := ObjectWritten
	if value == nil {
		written = ObjectDeleted
	}
	s.events.Record(event.Event{Kind: written, Detail: fmt.Sprintf("%s version %d", name, version)})
	if s.faults.loseReply(key.kind) {
		s.events.Record(event.Event{Kind: ReplyLost, Detail: fmt.Sprintf("%s version %d", name, version)})
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.Header().Set("ETag", etag(version))
	writeJSON(w, http.StatusOK, platform.Object{Kind: key.kind, Name: key.name, Version: version})
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, s.faults.get())
}

func (s *Server) postInstances(w http.ResponseWriter, r *http.Request) {
	var u InstanceUpdate
	if !decode(w, r, &u) {
		return
	}
	s.UpdateInstances(u)
	w.WriteHeader(http.StatusAccepted)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), 0)
		return false
	}
	return true
}

// condition parses the condition of a PUT: 0 to create the object, or the version to replace.
func condition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := parseVersion(r.Header.Get("If-Match"))
	if err != nil || version == 0 {
		return 0, fmt.Errorf("a write needs If-Match with the version, or If-None-Match: *")
	}
	return version, nil
}

func parseVersion(s string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func writeProblem(w http.ResponseWriter, status int, message string, version uint64) {
	writeJSON(w, status, platform.Problem{Message: message, Version: version})
}
