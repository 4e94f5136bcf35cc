// Package availability tracks the notices that endpoints send in their answers: that they are leaving, that this instance should
// send them no requests for a while, or how many requests per second they accept. All apply to one start of an endpoint.
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

// LeavingEndpoint identifies a start of an endpoint that leaves. Instances exchange it.
type LeavingEndpoint struct {
	Endpoint string `json:"endpoint"`
	// StartMS is the listed start of the endpoint, as a Unix time in milliseconds; zero if unknown.
	StartMS int64 `json:"born,omitempty"`
	// SentMS is when the request was sent that the endpoint answered with its announcement, as a Unix time in milliseconds; zero if
	// unknown.
	SentMS int64 `json:"sent,omitempty"`
	// AgeMS is the time in milliseconds since the endpoint announced that it leaves.
	AgeMS int64 `json:"age_ms"`
}

// leavingNotice is when an endpoint announced that it leaves, and whether it did so to this instance (direct) or to a peer.
type leavingNotice struct {
	source
	since  time.Duration
	direct bool
}

// pause is a pause that an endpoint has asked for.
type pause struct {
	source
	until time.Duration
}

// state is immutable because the request path reads it without a lock. The maps hold the latest notice of each endpoint by its id.
type state struct {
	leaving map[string]leavingNotice
	pauses  map[string]pause
	limits  map[string]limit
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
	t.state.Store(&state{leaving: map[string]leavingNotice{}, pauses: map[string]pause{}, limits: map[string]limit{}})
	return t
}

// RecordNotice records a notice of an endpoint and reports whether it was new.
func (t *Tracker) RecordNotice(ep routing.Endpoint, n routing.Notice, now time.Duration) (isNew bool) {
	if n.Pause < 0 || n.Pause > maxPause {
		t.invalid.Add(1)
		n.Pause = max(0, min(n.Pause, maxPause))
	}
	if l, known := t.state.Load().leavingOf(ep); (known && l.direct || !n.Leaving) && n.Pause == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	from := source{ep.StartedMS, n.SentMS}
	if l, known := next.leavingOf(ep); n.Leaving && !(known && l.direct) {
		next.leaving[ep.ID] = leavingNotice{source: from, since: now, direct: true}
		isNew = !known
	}
	if n.Pause > 0 {
		spread := min(time.Duration(resumeJitter*float64(n.Pause)), maxResumeJitter)
		until := now + n.Pause + time.Duration(t.random()*float64(spread))
		before := next.pausedUntil(ep)
		isNew = isNew || before <= now
		next.pauses[ep.ID] = pause{source: from, until: max(until, before)}
	}
	t.state.Store(next)
	return isNew
}

// leavingOf returns the leaving notice that applies to the endpoint.
func (s *state) leavingOf(ep routing.Endpoint) (l leavingNotice, known bool) {
	l, known = s.leaving[ep.ID]
	return l, known && l.appliesTo(ep.StartedMS)
}

// pausedUntil returns the end of the endpoint's pause, or zero if none is known.
func (s *state) pausedUntil(ep routing.Endpoint) time.Duration {
	if p := s.pauses[ep.ID]; p.appliesTo(ep.StartedMS) {
		return p.until
	}
	return 0
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
		l, leaving := s.leavingOf(ep)
		switch {
		case now < s.pausedUntil(ep):
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
	_, leaving := t.state.Load().leavingOf(ep)
	return leaving
}

// AnnouncedBefore reports whether an endpoint announced to this instance, at the given time or earlier, that it leaves.
func (t *Tracker) AnnouncedBefore(ep routing.Endpoint, at time.Duration) bool {
	l, leaving := t.state.Load().leavingOf(ep)
	return leaving && l.direct && l.since <= at
}

// Paused reports whether an endpoint has asked for a pause that is not over.
func (t *Tracker) Paused(ep routing.Endpoint, now time.Duration) bool {
	return now < t.state.Load().pausedUntil(ep)
}

// PauseRemaining returns the time until the first of the endpoints ends its pause; zero if any of them is not paused.
func (t *Tracker) PauseRemaining(all []routing.Endpoint, now time.Duration) time.Duration {
	s := t.state.Load()
	first := time.Duration(0)
	for _, ep := range all {
		remaining := s.pausedUntil(ep) - now
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
	for id, l := range t.state.Load().leaving {
		out = append(out, LeavingEndpoint{Endpoint: id, StartMS: l.startMS, SentMS: l.sentMS, AgeMS: (now - l.since).Milliseconds()})
	}
	return out
}

// MergePeer merges the leaving endpoints reported by another instance and reports whether any was new.
func (t *Tracker) MergePeer(reported []LeavingEndpoint, now time.Duration) (isNew bool) {
	s := t.state.Load()
	for _, l := range reported {
		isNew = isNew || s.isNews(l)
	}
	if !isNew {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	for _, l := range reported {
		if next.isNews(l) {
			next.leaving[l.Endpoint] = leavingNotice{source: source{l.StartMS, l.SentMS}, since: now - time.Duration(l.AgeMS)*time.Millisecond}
		}
	}
	t.state.Store(next)
	return true
}

// isNews reports whether no notice is known that applies to the reported start.
func (s *state) isNews(l LeavingEndpoint) bool {
	_, known := s.leavingOf(routing.Endpoint{ID: l.Endpoint, StartedMS: l.StartMS})
	return !known && l.AgeMS >= 0
}

// Prune deletes leaving notices and limits that are older than retention and whose start is not listed, limits that ended
// before that, and pauses that are over.
func (t *Tracker) Prune(listed func(endpoint string) (routing.Endpoint, bool), now time.Duration) {
	s := t.state.Load()
	if len(s.leaving)+len(s.pauses)+len(s.limits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	unlisted := func(id string, from source) bool {
		ep, ok := listed(id)
		return !ok || ep.StartedMS != from.startMS
	}
	maps.DeleteFunc(next.leaving, func(id string, l leavingNotice) bool { return unlisted(id, l.source) && now-l.since > retention })
	maps.DeleteFunc(next.pauses, func(_ string, p pause) bool { return now >= p.until })
	maps.DeleteFunc(next.limits, func(id string, l limit) bool {
		return (unlisted(id, l.source) || l.ended) && now-l.statedAt > retention
	})
	t.state.Store(next)
}

// retention is how long the notice of an unlisted start is kept, since it may be listed again after an outage of the platform. A notice
// that came before its start was listed is kept as long: by then the endpoint is gone, or says again that it leaves.
const retention = time.Minute

// InvalidNotices returns the number of notices with an invalid pause or limit.
func (t *Tracker) InvalidNotices() int64 { return t.invalid.Load() }

// Counts returns the numbers of leaving and of paused endpoints.
func (t *Tracker) Counts(now time.Duration) (leaving, paused int) {
	s := t.state.Load()
	for _, p := range s.pauses {
		if now < p.until {
			paused++
		}
	}
	return len(s.leaving), paused
}
