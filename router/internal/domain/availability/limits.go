package availability

import (
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

// limit is the latest statement of an endpoint about the rate of requests that it accepts.
type limit struct {
	source
	perSecond float64
	// ended is set if the endpoint had a limit and has none any more.
	ended bool
	// statedAt is the time since boot at which the endpoint made the statement.
	statedAt time.Duration
	// direct is set if the endpoint made it to this instance.
	direct bool
	// sent counts the requests that this instance has sent to the endpoint under the limit.
	sent *atomic.Int64
}

// statementSkew is the error of the times of other instances' statements: the delay of their messages.
const statementSkew = 100 * time.Millisecond

// StatedLimit is a statement of an endpoint about its limit. Instances exchange it.
type StatedLimit struct {
	Endpoint string `json:"endpoint"`
	// StartMS is the listed start of the endpoint, as a Unix time in milliseconds; zero if unknown.
	StartMS int64 `json:"born,omitempty"`
	// SentMS is when the request was sent whose answer states the limit, as a Unix time in milliseconds; zero if unknown.
	SentMS    int64   `json:"sent,omitempty"`
	PerSecond float64 `json:"per_s,omitempty"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMS is the time in milliseconds since the endpoint made the statement.
	AgeMS int64 `json:"age_ms"`
}

// RecordLimit records what a response of an endpoint says about its limit and reports whether that changes the limit.
func (t *Tracker) RecordLimit(ep routing.Endpoint, notice routing.Notice, now time.Duration) (changed bool) {
	n := notice.Limit
	if n.State == routing.LimitInvalid {
		t.invalid.Add(1)
	}
	_, limited := t.LimitOf(ep)
	if n.State != routing.LimitNamed && !(n.State == routing.LimitNone && limited) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	old, known := next.limitOf(ep)
	stated := limit{source: source{ep.StartedMS, notice.SentMS}, perSecond: n.PerSecond, ended: n.State == routing.LimitNone, statedAt: now, direct: true}
	next.limits[ep.ID] = stated.following(old, known)
	t.state.Store(next)
	return stated.differs(old, known)
}

// limitOf returns the statement that applies to the endpoint.
func (s *state) limitOf(ep routing.Endpoint) (l limit, known bool) {
	l, known = s.limits[ep.ID]
	if !known || !l.appliesTo(ep.StartedMS) {
		return limit{}, false
	}
	return l, true
}

// following returns the limit with the count of its predecessor, unless it is a new one.
func (l limit) following(old limit, known bool) limit {
	l.sent = old.sent
	if !known || old.ended {
		l.sent = new(atomic.Int64)
	}
	return l
}

// differs reports whether the limit is not that of its predecessor.
func (l limit) differs(old limit, known bool) bool {
	wasLimited := known && !old.ended
	return l.ended == wasLimited || !l.ended && l.perSecond != old.perSecond
}

// LimitOf returns the limit of an endpoint in requests per second.
func (t *Tracker) LimitOf(ep routing.Endpoint) (perSecond float64, limited bool) {
	l, known := t.state.Load().limitOf(ep)
	return l.perSecond, known && !l.ended
}

// OwnLimits lists the limits that endpoints have stated to this instance, for the other instances.
func (t *Tracker) OwnLimits(now time.Duration) []StatedLimit {
	return t.listLimits(now, func(l limit) bool { return l.direct })
}

// AllLimits lists the limits that endpoints have stated to any instance.
func (t *Tracker) AllLimits(now time.Duration) []StatedLimit {
	return t.listLimits(now, func(limit) bool { return true })
}

func (t *Tracker) listLimits(now time.Duration, include func(limit) bool) (out []StatedLimit) {
	for id, l := range t.state.Load().limits {
		if include(l) {
			out = append(out, StatedLimit{Endpoint: id, StartMS: l.startMS, SentMS: l.sentMS, PerSecond: l.perSecond, Ended: l.ended, AgeMS: (now - l.statedAt).Milliseconds()})
		}
	}
	return out
}

// MergePeerLimits merges the limits reported by another instance where these are newer, and returns those that differ from what
// was known.
func (t *Tracker) MergePeerLimits(reported []StatedLimit, now time.Duration) (changed []StatedLimit) {
	if len(reported) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	for _, r := range reported {
		if !r.valid() {
			continue
		}
		stated := limit{source: source{r.StartMS, r.SentMS}, perSecond: r.PerSecond, ended: r.Ended, statedAt: now - time.Duration(r.AgeMS)*time.Millisecond}
		old, known := next.limitOf(routing.Endpoint{ID: r.Endpoint, StartedMS: r.StartMS})
		if known && !stated.newerThan(old) {
			continue
		}
		next.limits[r.Endpoint] = stated.following(old, known)
		if stated.differs(old, known) {
			changed = append(changed, r)
		}
	}
	t.state.Store(next)
	return changed
}

// maxStatementAge bounds the age of statements of other instances.
const maxStatementAge = 24 * time.Hour

func (r StatedLimit) valid() bool {
	return r.AgeMS >= 0 && r.AgeMS <= maxStatementAge.Milliseconds() && r.PerSecond >= 0
}

// newerThan reports whether a statement to another instance was made after the known one. What the endpoint has stated to this
// instance itself counts as newer if the difference could be due to a delay.
func (l limit) newerThan(known limit) bool {
	if known.direct {
		return l.statedAt > known.statedAt+statementSkew
	}
	return l.statedAt > known.statedAt
}

// CountSend counts a request that is sent to an endpoint, if the endpoint has a limit.
func (t *Tracker) CountSend(ep routing.Endpoint) {
	if l, known := t.state.Load().limitOf(ep); known && !l.ended {
		l.sent.Add(1)
		t.sentUnderLimit.Add(1)
	}
}

// SentUnderLimit returns the number of requests that this instance has sent to an endpoint since the endpoint announced its
// current or last limit.
func (t *Tracker) SentUnderLimit(ep routing.Endpoint) int64 {
	if l, known := t.state.Load().limitOf(ep); known {
		return l.sent.Load()
	}
	return 0
}

// TotalSentUnderLimit returns the number of requests that this instance has sent to endpoints with a limit.
func (t *Tracker) TotalSentUnderLimit() int64 { return t.sentUnderLimit.Load() }

// LimitedCount returns the number of endpoints with a limit.
func (t *Tracker) LimitedCount() (count int) {
	for _, l := range t.state.Load().limits {
		if !l.ended {
			count++
		}
	}
	return count
}
