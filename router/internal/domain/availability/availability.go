// Package availability keeps what endpoints say of themselves in their answers: that they are leaving, or want no requests from this
// instance for a while. What a start of an endpoint says of its leaving holds until another start is seen, and is told to the other
// instances; a pause concerns this instance alone.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// maxPause bounds a pause; longer ones are taken for errors of the endpoint and cut.
	maxPause = 10 * time.Minute
	// returnSpread is the time after a pause over which instances return, as a part of the pause, up to maxReturnSpread.
	returnSpread    = 0.25
	maxReturnSpread = 500 * time.Millisecond
)

// start names one start of an endpoint.
type start struct {
	id   string
	born int64
}

// LeavingEndpoint names a start of an endpoint that leaves, as instances tell each other.
type LeavingEndpoint struct {
	Endpoint string `json:"endpoint"`
	StartMS  int64  `json:"born,omitempty"`
	// AgeMS is how long ago the endpoint has said so, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// said is when an endpoint has said that it leaves, and whether it has said so to this instance.
type said struct {
	since time.Duration
	here  bool
}

// state is immutable, since requests read it without a lock.
type state struct {
	leaving map[start]said
	pauses  map[start]time.Duration
}

// Tracker is safe for concurrent use. Times are since boot.
type Tracker struct {
	random func() float64

	mu      sync.Mutex
	state   atomic.Pointer[state]
	ignored atomic.Int64
}

// New returns an Availability that knows nothing. The function random returns a number in [0, 1).
func New(random func() float64) *Tracker {
	a := &Tracker{random: random}
	a.state.Store(&state{leaving: map[start]said{}, pauses: map[start]time.Duration{}})
	return a
}

func startOf(ep routing.Endpoint) start { return start{ep.ID, ep.Born} }

// RecordNotice enters a notice of an endpoint, and reports whether it is news.
func (a *Tracker) RecordNotice(ep routing.Endpoint, n routing.Notice, now time.Duration) (news bool) {
	if n.Pause < 0 || n.Pause > maxPause {
		a.ignored.Add(1)
		n.Pause = max(0, min(n.Pause, maxPause))
	}
	s := a.state.Load()
	if (s.leaving[startOf(ep)].here || !n.Leaving) && n.Pause == 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.clone()
	if l, known := next.leaving[startOf(ep)]; n.Leaving && !l.here {
		next.leaving[startOf(ep)] = said{since: now, here: true}
		news = !known
	}
	if n.Pause > 0 {
		spread := min(time.Duration(returnSpread*float64(n.Pause)), maxReturnSpread)
		until := now + n.Pause + time.Duration(a.random()*float64(spread))
		news = news || next.pauses[startOf(ep)] <= now
		next.pauses[startOf(ep)] = max(until, next.pauses[startOf(ep)])
	}
	a.state.Store(next)
	return news
}

// clone copies the state; a.mu is held.
func (a *Tracker) clone() *state {
	s := a.state.Load()
	return &state{leaving: maps.Clone(s.leaving), pauses: maps.Clone(s.pauses)}
}

// Usable returns the endpoints that want requests. Those that have said that they leave are used if no others are left: all
// servers of a service may say so, rightly or not, and callers still come. Those that have said so to this instance are used for up to
// grace after that only.
func (a *Tracker) Usable(all []routing.Endpoint, grace, now time.Duration) []routing.Endpoint {
	s := a.state.Load()
	if len(s.leaving)+len(s.pauses) == 0 {
		return all
	}
	var usable, last []routing.Endpoint
	for _, ep := range all {
		l, leaving := s.leaving[startOf(ep)]
		switch {
		case now < s.pauses[startOf(ep)]:
		case !leaving:
			usable = append(usable, ep)
		case !l.here || now-l.since < grace:
			last = append(last, ep)
		}
	}
	if len(usable) == 0 {
		return last
	}
	return usable
}

// Paused reports whether an endpoint wants no requests now.
func (a *Tracker) Paused(ep routing.Endpoint, now time.Duration) bool {
	return now < a.state.Load().pauses[startOf(ep)]
}

// PauseRemaining is the time until the first of the endpoints wants requests again; zero if one does not pause.
func (a *Tracker) PauseRemaining(all []routing.Endpoint, now time.Duration) time.Duration {
	s := a.state.Load()
	first := time.Duration(0)
	for _, ep := range all {
		left := s.pauses[startOf(ep)] - now
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// LeavingEndpoints lists the endpoints that leave, for the other instances.
func (a *Tracker) LeavingEndpoints(now time.Duration) []LeavingEndpoint {
	var out []LeavingEndpoint
	for s, l := range a.state.Load().leaving {
		out = append(out, LeavingEndpoint{Endpoint: s.id, StartMS: s.born, AgeMS: (now - l.since).Milliseconds()})
	}
	return out
}

// MergePeer enters what another instance has told, and reports whether it is news.
func (a *Tracker) MergePeer(told []LeavingEndpoint, now time.Duration) (news bool) {
	known := a.state.Load().leaving
	for _, l := range told {
		if _, ok := known[start{l.Endpoint, l.StartMS}]; !ok {
			news = true
		}
	}
	if !news {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.clone()
	for _, l := range told {
		s := start{l.Endpoint, l.StartMS}
		if _, ok := next.leaving[s]; !ok && l.AgeMS >= 0 {
			next.leaving[s] = said{since: now - time.Duration(l.AgeMS)*time.Millisecond}
		}
	}
	a.state.Store(next)
	return true
}

// Prune removes the starts of endpoints that are not in the list any more, and pauses that are over.
func (a *Tracker) Prune(listed func(endpoint string) (routing.Endpoint, bool), now time.Duration) {
	s := a.state.Load()
	if len(s.leaving)+len(s.pauses) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.clone()
	gone := func(s start) bool {
		ep, ok := listed(s.id)
		return !ok || ep.Born != s.born
	}
	maps.DeleteFunc(next.leaving, func(s start, l said) bool { return gone(s) && now-l.since > forgetAfter })
	maps.DeleteFunc(next.pauses, func(s start, until time.Duration) bool { return now >= until })
	a.state.Store(next)
}

// forgetAfter is for how long a start that is not listed is remembered: it may be listed again after an outage of the platform.
const forgetAfter = time.Minute

// InvalidNotices is the number of notices that cannot be.
func (a *Tracker) InvalidNotices() int64 { return a.ignored.Load() }

// Counts returns the number of endpoints that leave and that pause.
func (a *Tracker) Counts(now time.Duration) (leaving, paused int) {
	s := a.state.Load()
	for _, until := range s.pauses {
		if now < until {
			paused++
		}
	}
	return len(s.leaving), paused
}
