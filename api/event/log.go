package event

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	counterBits = 16
	// maxClockSkew limits how far a peer's clock may advance the local one, so that one wrong wall clock does not spread.
	maxClockSkew = time.Minute
)

// Log is the event log of one process: a ring buffer of events stamped with a hybrid logical clock. It is safe for
// concurrent use.
type Log struct {
	process     string
	incarnation string
	now         func() time.Time

	mu    sync.Mutex
	clock uint64
	seq   uint64
	ring  []Event
}

// NewLog returns a Log that keeps the newest events, at most capacity of them.
func NewLog(process, incarnation string, capacity int, now func() time.Time) *Log {
	return &Log{process: process, incarnation: incarnation, now: now, ring: make([]Event, capacity)}
}

// Record fills in the sequence number, clock, process and incarnation of the event and stores it.
func (l *Log) Record(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.Seq = l.seq
	e.Clock = l.advance()
	e.Process = l.process
	e.Incarnation = l.incarnation
	l.ring[(l.seq-1)%uint64(len(l.ring))] = e
}

// Clock advances the clock and returns it, for an outgoing message.
func (l *Log) Clock() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.advance()
}

// Observe advances the clock to the one in a received message if that is later, so that the next event follows both. A
// clock that is too far ahead of the wall clock is ignored.
func (l *Log) Observe(clock uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := physicalClock(l.now().Add(maxClockSkew))
	if clock > l.clock && clock < limit {
		l.clock = clock
	}
}

// Since returns the events after seq that are still in the ring buffer.
func (l *Log) Since(seq uint64) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Page{Process: l.process, Events: []Event{}}
	oldest := uint64(1)
	if l.seq > uint64(len(l.ring)) {
		oldest = l.seq - uint64(len(l.ring)) + 1
	}
	first := seq + 1
	if first < oldest {
		page.Dropped = oldest - first
		first = oldest
	}
	for s := first; s <= l.seq; s++ {
		page.Events = append(page.Events, l.ring[(s-1)%uint64(len(l.ring))])
	}
	return page
}

// SetHeader sets the clock header of an outgoing message.
func (l *Log) SetHeader(h http.Header) {
	h.Set(ClockHeader, strconv.FormatUint(l.Clock(), 10))
}

// ObserveHeader observes the clock in the header of a received message, if it has one.
func (l *Log) ObserveHeader(h http.Header) {
	clock, err := strconv.ParseUint(h.Get(ClockHeader), 10, 64)
	if err == nil {
		l.Observe(clock)
	}
}

func (l *Log) advance() uint64 {
	l.clock = max(l.clock+1, physicalClock(l.now()))
	return l.clock
}

func physicalClock(t time.Time) uint64 { return uint64(t.UnixMilli()) << counterBits }

// Transport returns a round tripper that sets the clock header on requests and observes it on responses.
func (l *Log) Transport(base http.RoundTripper) http.RoundTripper {
	return &transport{log: l, base: base}
}

type transport struct {
	log  *Log
	base http.RoundTripper
}

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	out := r.Clone(r.Context())
	t.log.SetHeader(out.Header)
	resp, err := t.base.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	t.log.ObserveHeader(resp.Header)
	return resp, nil
}

// Handler observes the clock header of requests and sets it on responses. Use it only on ports that no callers can reach,
// because they must not be able to change the clock.
func (l *Log) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.ObserveHeader(r.Header)
		l.SetHeader(w.Header())
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP responds to GET /events?since=SEQ with a Page.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Since(since))
}
