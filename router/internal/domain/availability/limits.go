package availability

import (
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

// limit is the latest statement of an endpoint about the rate of requests that it accepts.
type limit struct {
	perSecond float64
	// ended is set if the endpoint had a limit and has none any more.
	ended bool
	// statedAt is the time since boot at which the endpoint made the statement.
	statedAt time.Duration
	// sent counts the requests that this instance has sent to the endpoint under the limit.
	sent *atomic.Int64
}

// RecordLimit records what a response of an endpoint says about its limit and reports whether that changes the limit.
func (t *Tracker) RecordLimit(ep routing.Endpoint, n routing.LimitNotice, now time.Duration) (changed bool) {
	if n.State == routing.LimitInvalid {
		t.invalid.Add(1)
	}
	if _, known := t.state.Load().limits[incarnationOf(ep)]; n.State != routing.LimitNamed && (n.State != routing.LimitNone || !known) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.clone()
	old, known := next.limits[incarnationOf(ep)]
	stated := limit{perSecond: n.PerSecond, ended: n.State == routing.LimitNone, statedAt: now, sent: old.sent}
	if !known || old.ended {
		stated.sent = new(atomic.Int64)
	}
	next.limits[incarnationOf(ep)] = stated
	t.state.Store(next)
	return !known || stated.ended != old.ended || stated.perSecond != old.perSecond
}

// CountSend counts a request that is sent to an endpoint, if the endpoint has a limit.
func (t *Tracker) CountSend(ep routing.Endpoint) {
	if l, known := t.state.Load().limits[incarnationOf(ep)]; known && !l.ended {
		l.sent.Add(1)
		t.sentUnderLimit.Add(1)
	}
}

// SentUnderLimit returns the number of requests that this instance has sent to an endpoint since the endpoint announced its
// current or last limit.
func (t *Tracker) SentUnderLimit(ep routing.Endpoint) int64 {
	if l, known := t.state.Load().limits[incarnationOf(ep)]; known {
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
