// Package waitlist orders requests that wait for a place at an engine, across all instances. Those that can still be
// answered on time go first, in order of urgency; late ones are served from what the others leave, and only a bounded number
// of them waits. A long queue in order of arrival alone would make everyone late. Each instance knows what waits elsewhere
// and leaves the places to it that come before its own, since instances that all try for the same place at the same moment
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
	// OnTimeLeft is how long the request may still wait to be answered on time, in milliseconds; negative if it is late.
	OnTimeLeft int64 `json:"l"`
}

// Entry is a waiting request of this instance. Times are since boot.
type Entry struct {
	ID     string
	Tokens int64
	// OnTimeUntil is when the request must leave the list to be answered on time, Latest when it must leave the list at all.
	OnTimeUntil time.Duration
	Latest      time.Duration
	// Avoid holds the engines that have failed the request.
	Avoid map[string]bool
	// Decided is called once, when the request leaves the list by Grant or Expire: with its engine, or nil if it is refused.
	Decided func(engine *routing.Endpoint)
}

// Other is a waiting request of another instance.
type Other struct {
	ID          string
	Tokens      int64
	OnTimeUntil time.Duration
}

// List holds this instance's waiting requests for a service. Its user serialises access.
type List struct {
	entries []*Entry
}

// Len is the number of waiting requests.
func (l *List) Len() int { return len(l.entries) }

// Add enters a request.
func (l *List) Add(e *Entry) {
	at, _ := slices.BinarySearchFunc(l.entries, e, func(a, b *Entry) int { return cmp.Compare(a.OnTimeUntil, b.OnTimeUntil) })
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

// Tell lists the waiting requests for other instances.
func (l *List) Tell(service string, now time.Duration) []Request {
	out := make([]Request, len(l.entries))
	for i, e := range l.entries {
		out[i] = Request{ID: e.ID, Service: service, Tokens: e.Tokens, OnTimeLeft: (e.OnTimeUntil - now).Milliseconds()}
	}
	return out
}

// Expire refuses requests that have waited for as long as they may, and late ones beyond maxLate: the newest, which have
// waited least.
func (l *List) Expire(now time.Duration, maxLate int) {
	late := 0
	var refused []*Entry
	l.entries = slices.DeleteFunc(l.entries, func(e *Entry) bool {
		if now > e.OnTimeUntil {
			late++
		}
		if now >= e.Latest || now > e.OnTimeUntil && late > maxLate {
			refused = append(refused, e)
			return true
		}
		return false
	})
	for _, e := range refused {
		e.Decided(nil)
	}
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

// Grant goes through the requests of all instances in the order in which they are to be served. The function take finds an
// engine for a request and counts it as used there, or returns nil if there is none. The first request for which there is
// none ends the round: places are kept for it. Own requests that get an engine leave the list.
func (l *List) Grant(now time.Duration, others []Other, take func(tokens int64, own *Entry) *routing.Endpoint) {
	if len(l.entries) == 0 {
		return
	}
	for _, w := range l.order(now, others) {
		engine := take(w.tokens, w.own)
		if engine == nil {
			return
		}
		if w.own != nil {
			l.Remove(w.own)
			w.own.Decided(engine)
		}
	}
}

func (l *List) order(now time.Duration, others []Other) []waiting {
	all := make([]waiting, 0, len(l.entries)+len(others))
	for _, e := range l.entries {
		all = append(all, waiting{late: now > e.OnTimeUntil, urgency: e.OnTimeUntil / sameUrgency, id: e.ID, tokens: e.Tokens, own: e})
	}
	for _, o := range others {
		all = append(all, waiting{late: now > o.OnTimeUntil, urgency: o.OnTimeUntil / sameUrgency, id: o.ID, tokens: o.Tokens})
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
