// Package availability tracks the notices that endpoints send in their answers: that they are leaving, that this instance should
// send them no requests for a while, or how many requests per second they accept. All apply to one incarnation of an endpoint.
// Leaving notices and limits are shared with the other instances; a pause applies to this instance alone.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// maxPause bounds a pause. Longer pauses are treated as errors of the endpoint and shortened.
	maxPause = 10 * time.Minute
	// resumeJitter is the fraction of a pause over which instances spread their return, at most maxResumeJitter.
	resumeJitter    = 0.25
	maxResumeJitter = 500 * time.Millisecond
)

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id      string
	startMS int64
}

// LeavingEndpoint identifies a leaving incarnation of an endpoint. Instances exchange it.
type LeavingEndpoint struct {
	Endpoint string `json:"endpoint"`
	// StartMS is the Unix time in milliseconds at which the endpoint started; zero if unknown.
	StartMS int64 `json:"born,omitempty"`
	// AgeMS is the time in milliseconds since the endpoint announced that it leaves.
	AgeMS int64 `json:"age_ms"`
}

// leavingNotice is when an endpoint announced that it leaves, and whether it did so to this instance (direct) or to a peer.
type leavingNotice struct {
	since  time.Duration
	direct bool
}

// state is immutable because the request path reads it without a lock.
type state struct {
	leaving map[incarnation]leavingNotice
	pauses  map[incarnation]time.Duration
	limits  map[incarnation]limit
}

// Tracker holds the notices of all endpoints. It is safe for concurrent use. Times are since boot.
type Tracker struct {
	random func() float64

	mu      sync.Mutex
	state   atomic.Pointer[state]
	invalid atomic.Int64
	// sentUnderLimit counts the requests that were sent to endpoints with a limit.
	sentUnderLimit atomic.Int64
}

// New returns an empty Tracker. The function random returns a number in [0, 1).
func New(random func() float64) *Tracker {
	t := &Tracker{random: random}
	t.state.Store(&state{leaving: map[incarnation]leavingNotice{}, pauses: map[incarnation]time.Duration{}, limits: map[incarnation]limit{}})
	return t
}

func incarnationOf(ep routing.Endpoint) incarnation { return incarnation{ep.ID, ep.StartedMS} }

// RecordNotice records a notice of an endpoint and reports whether it was new.
func (t *Tracker) RecordNotice(ep routing.Endpoint, n routing.Notice, now time.Duration) (isNew bool) {
	if n.Pause < 0 || n.Pause > maxPause {
		t.invalid.Add(1)
		n.Pause = max(0, min(n.Pause, maxPause))
	}
	s := t.state.Load()
	if (s.leaving[incarnationOf(ep)].direct || !n.Leaving) && n.Pause == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	if l, known := next.leaving[incarnationOf(ep)]; n.Leaving && !l.direct {
		next.leaving[incarnationOf(ep)] = leavingNotice{since: now, direct: true}
		isNew = !known
	}
	if n.Pause > 0 {
		spread := min(time.Duration(resumeJitter*float64(n.Pause)), maxResumeJitter)
		until := now + n.Pause + time.Duration(t.random()*float64(spread))
		isNew = isNew || next.pauses[incarnationOf(ep)] <= now
		next.pauses[incarnationOf(ep)] = max(until, next.pauses[incarnationOf(ep)])
	}
	t.state.Store(next)
	return isNew
}

// clone copies the state; t.mu must be held.
func (t *Tracker) clone() *state {
	s := t.state.Load()
	return &state{leaving: maps.Clone(s.leaving), pauses: maps.Clone(s.pauses), limits: maps.Clone(s.limits)}
}

// Usable returns the endpoints that accept requests. Leaving endpoints are returned only if there are no others: all servers of a
// service may announce that they leave, rightly or not, while requests keep arriving. Those that announced it to this instance
// directly are used only within the grace period.
func (t *Tracker) Usable(all []routing.Endpoint, grace, now time.Duration) []routing.Endpoint {
	s := t.state.Load()
	if len(s.leaving)+len(s.pauses) == 0 {
		return all
	}
	var usable, leavingOnly []routing.Endpoint
	for _, ep := range all {
		l, leaving := s.leaving[incarnationOf(ep)]
		switch {
		case now < s.pauses[incarnationOf(ep)]:
		case !leaving:
			usable = append(usable, ep)
		case !l.direct || now-l.since < grace:
			leavingOnly = append(leavingOnly, ep)
		}
	}
	if len(usable) == 0 {
		return leavingOnly
	}
	return usable
}

// Leaving reports whether an endpoint has announced that it leaves.
func (t *Tracker) Leaving(ep routing.Endpoint) bool {
	_, leaving := t.state.Load().leaving[incarnationOf(ep)]
	return leaving
}

// Paused reports whether an endpoint has asked for a pause that is not over.
func (t *Tracker) Paused(ep routing.Endpoint, now time.Duration) bool {
	return now < t.state.Load().pauses[incarnationOf(ep)]
}

// PauseRemaining returns the time until the first of the endpoints ends its pause; zero if any of them is not paused.
func (t *Tracker) PauseRemaining(all []routing.Endpoint, now time.Duration) time.Duration {
	s := t.state.Load()
	first := time.Duration(0)
	for _, ep := range all {
		remaining := s.pauses[incarnationOf(ep)] - now
		if remaining <= 0 {
			return 0
		}
		if first == 0 || remaining < first {
			first = remaining
		}
	}
	return first
}

// LeavingEndpoints lists the leaving endpoints for the other instances.
func (t *Tracker) LeavingEndpoints(now time.Duration) []LeavingEndpoint {
	var out []LeavingEndpoint
	for inc, l := range t.state.Load().leaving {
		out = append(out, LeavingEndpoint{Endpoint: inc.id, StartMS: inc.startMS, AgeMS: (now - l.since).Milliseconds()})
	}
	return out
}

// MergePeer merges the leaving endpoints reported by another instance and reports whether any was new.
func (t *Tracker) MergePeer(reported []LeavingEndpoint, now time.Duration) (isNew bool) {
	known := t.state.Load().leaving
	for _, l := range reported {
		if _, ok := known[incarnation{l.Endpoint, l.StartMS}]; !ok {
			isNew = true
		}
	}
	if !isNew {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	for _, l := range reported {
		inc := incarnation{l.Endpoint, l.StartMS}
		if _, ok := next.leaving[inc]; !ok && l.AgeMS >= 0 {
			next.leaving[inc] = leavingNotice{since: now - time.Duration(l.AgeMS)*time.Millisecond}
		}
	}
	t.state.Store(next)
	return true
}

// Prune deletes leaving notices and limits that are older than retention and whose incarnation is not listed, limits that ended
// before that, and pauses that are over.
func (t *Tracker) Prune(listed func(endpoint string) (routing.Endpoint, bool), now time.Duration) {
	s := t.state.Load()
	if len(s.leaving)+len(s.pauses)+len(s.limits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	unlisted := func(inc incarnation) bool {
		ep, ok := listed(inc.id)
		return !ok || ep.StartedMS != inc.startMS
	}
	maps.DeleteFunc(next.leaving, func(inc incarnation, l leavingNotice) bool { return unlisted(inc) && now-l.since > retention })
	maps.DeleteFunc(next.pauses, func(inc incarnation, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(next.limits, func(inc incarnation, l limit) bool { return (unlisted(inc) || l.ended) && now-l.statedAt > retention })
	t.state.Store(next)
}

// retention is how long the notice of an unlisted incarnation is kept, since it may be listed again after an outage of the
// platform.
const retention = time.Minute

// InvalidNotices returns the number of notices with an invalid pause or limit.
func (t *Tracker) InvalidNotices() int64 { return t.invalid.Load() }

// Counts returns the numbers of leaving and of paused endpoints.
func (t *Tracker) Counts(now time.Duration) (leaving, paused int) {
	s := t.state.Load()
	for _, until := range s.pauses {
		if now < until {
			paused++
		}
	}
	return len(s.leaving), paused
}
