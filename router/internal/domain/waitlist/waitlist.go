// Package waitlist orders requests that wait for a place at an engine, across all instances, by how soon they must begin to be
// answered on time. A request waits only while it can still be answered on time: one that is clearly too late is refused at
// once, so that a burst leaves no queue that makes later requests late in turn. Each instance knows what waits elsewhere and
// leaves the places to it that come before its own, since instances that all try for the same place at the same moment
// overload the engine.
package waitlist

import (
	"cmp"
	"slices"
	"time"

	"tanagerwood.dev/api/routing"
)

// Request is a waiting request as instances tell each other.
type Request struct {
	// ID is the id of the caller's attempt, which puts requests of equal urgency into the same order everywhere.
	ID      string `json:"i"`
	Service string `json:"s"`
	// Tokens is the engine memory that the request needs.
	Tokens int64 `json:"t"`
	// SlackMS is how long the request may still wait to be answered on time, in milliseconds; negative if it is late.
	SlackMS int64 `json:"l"`
}

// Entry is a waiting request of this instance. Times are since boot.
type Entry struct {
	ID     string
	Tokens int64
	// LatestStart is when the request must leave the list to be answered on time.
	LatestStart time.Duration
	// ExcludedEngines holds the engines that have failed the request.
	ExcludedEngines map[string]bool
	// OnDecision is called once, when the request leaves the list by Dispatch: with its engine, or nil if it is refused.
	OnDecision func(engine *routing.Endpoint)
	// admitted says that the request was expected to get a place in time when it came.
	admitted bool
}

// PeerRequest is a waiting request of another instance.
type PeerRequest struct {
	ID          string
	Tokens      int64
	LatestStart time.Duration
}

// List holds this instance's waiting requests for a service. Its user serialises access.
type List struct {
	entries []*Entry
	// contendedUntil is until when late requests get no place.
	contendedUntil time.Duration
}

// Len is the number of waiting requests.
func (l *List) Len() int { return len(l.entries) }

// Add enters a request.
func (l *List) Add(e *Entry) {
	at, _ := slices.BinarySearchFunc(l.entries, e, func(a, b *Entry) int { return cmp.Compare(a.LatestStart, b.LatestStart) })
	l.entries = slices.Insert(l.entries, at, e)
}

// Remove takes a request off the list and reports whether it was on it.
func (l *List) Remove(e *Entry) bool {
	i := slices.Index(l.entries, e)
	if i < 0 {
		return false
	}
	l.entries = slices.Delete(l.entries, i, i+1)
	return true
}

// Requests lists the waiting requests for other instances.
func (l *List) Requests(service string, now time.Duration) []Request {
	out := make([]Request, len(l.entries))
	for i, e := range l.entries {
		out[i] = Request{ID: e.ID, Service: service, Tokens: e.Tokens, SlackMS: (e.LatestStart - now).Milliseconds()}
	}
	return out
}

// sameUrgency is the difference in time within which requests are equally urgent. What other instances tell is a few
// milliseconds old, so that a finer order would differ from one instance to the next.
const sameUrgency = 16 * time.Millisecond

// waiting is a request of any instance.
type waiting struct {
	late    bool
	urgency time.Duration
	id      string
	tokens  int64
	own     *Entry
}

// Turnover is how fast places become free.
type Turnover struct {
	// Running is the number of requests that hold a place, Hold the mean time for which one does; zero if it is not known.
	Running      int
	MeanHoldTime time.Duration
}

// wait is the time until as many places will have become free.
func (t Turnover) wait(places int) time.Duration {
	if t.Running == 0 {
		return 0
	}
	return time.Duration(places) * t.MeanHoldTime / time.Duration(t.Running)
}

// AssignFunc finds an engine for a request and counts it as used there, or returns nil if there is none. Own is nil for the requests
// of other instances.
type AssignFunc func(tokens int64, own *Entry) *routing.Endpoint

// contendedFor is for how long after a request on time has waited late ones get no place. A place is held for seconds, in which
// further requests that can be on time arrive.
const contendedFor = time.Second

// Dispatch goes through the requests of all instances in the order in which they are to be served. The first one on time for
// which there is no engine ends the grants: places are kept for it, and for those behind it. Own requests that get an engine
// leave the list. So do, without one, those that are late, and new ones that will be by the time at which enough places are
// expected to have become free.
func (l *List) Dispatch(now time.Duration, others []PeerRequest, turnover Turnover, take AssignFunc) {
	waits := 0
	for _, w := range l.order(now, others) {
		var engine *routing.Endpoint
		if waits == 0 && !(w.late && now < l.contendedUntil) {
			engine = take(w.tokens, w.own)
		}
		if engine == nil && !w.late {
			waits++
			l.contendedUntil = now + contendedFor
		}
		if w.own == nil {
			continue
		}
		if engine != nil || w.late || !w.own.admitted && now+turnover.wait(waits) > w.own.LatestStart {
			l.Remove(w.own)
			w.own.OnDecision(engine)
		}
		w.own.admitted = true
	}
}

func (l *List) order(now time.Duration, others []PeerRequest) []waiting {
	all := make([]waiting, 0, len(l.entries)+len(others))
	for _, e := range l.entries {
		all = append(all, waiting{late: now > e.LatestStart, urgency: e.LatestStart / sameUrgency, id: e.ID, tokens: e.Tokens, own: e})
	}
	for _, o := range others {
		all = append(all, waiting{late: now > o.LatestStart, urgency: o.LatestStart / sameUrgency, id: o.ID, tokens: o.Tokens})
	}
	slices.SortStableFunc(all, func(a, b waiting) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.id, b.id))
	})
	return all
}
