// Package waitlist orders the requests that wait for a decode slot, across all instances, by their class and then by their latest start
// time. A request waits only while it can still be answered on time; one that is clearly too late is refused at once, so that a burst
// does not build a queue that delays later requests in turn. Each instance receives the waiting requests of its peers and leaves free
// slots to those that come before its own, because instances that compete for the same slot at the same moment overload the engine.
package waitlist

import (
	"cmp"
	"slices"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/priority"
	"tanagerwood.dev/router/internal/domain/regions"
)

// Request is a waiting request in the form in which instances exchange it.
type Request struct {
	// ID is the ID of the caller's attempt. It breaks ties between requests of equal urgency identically at all instances.
	ID      string `json:"i"`
	Service string `json:"s"`
	// Tokens is the engine memory that the request needs.
	Tokens int64 `json:"t"`
	// SlackMS is the time in milliseconds for which the request can still wait and be answered on time; negative if it is late.
	SlackMS int64 `json:"l"`
	// Class is the class in which the request is queued at present.
	priority.Class
}

// Entry is a waiting request of this instance. Times are since boot.
type Entry struct {
	ID     string
	Tokens int64
	// LatestStart is when the request must leave the list to be answered on time.
	LatestStart time.Duration
	Class       priority.Class
	// Reserved is the position in which the request is queued while it belongs to the reserved share of the less urgent requests; nil
	// otherwise.
	Reserved *Position
	// ExcludedEngines holds the IDs of the engines that have failed the request.
	ExcludedEngines map[string]bool
	// Allowed is the filter of the failure domains in which the request may run; nil if it may run anywhere.
	Allowed regions.Filter
	// OnDecision is called once, when Dispatch removes the request from the list: with the assigned engine, or with nil if the
	// request is refused.
	OnDecision func(engine *routing.Endpoint)
	// admitted is set if the request was expected to get a slot in time when it was first dispatched.
	admitted bool
}

// Position is a request's position in the order: its class, and its latest start in that class.
type Position struct {
	Class       priority.Class
	LatestStart time.Duration
}

// position returns the position in which the request is queued at present.
func (e *Entry) position() Position {
	if e.Reserved != nil {
		return *e.Reserved
	}
	return Position{Class: e.Class, LatestStart: e.LatestStart}
}

// PeerRequest is a waiting request of another instance.
type PeerRequest struct {
	ID          string
	Tokens      int64
	LatestStart time.Duration
	Class       priority.Class
}

// List holds this instance's waiting requests for one service. The caller must serialize access.
type List struct {
	entries []*Entry
	// contendedUntil is the time until which late requests are assigned no slot, by the class of the on-time request that had to wait.
	// It applies to that class and to less urgent ones.
	contendedUntil map[priority.Class]time.Duration
}

// Len returns the number of waiting requests.
func (l *List) Len() int { return len(l.entries) }

// Add inserts a request.
func (l *List) Add(e *Entry) {
	at, _ := slices.BinarySearchFunc(l.entries, e, func(a, b *Entry) int {
		x, y := a.position(), b.position()
		return cmp.Or(priority.Compare(x.Class, y.Class), cmp.Compare(x.LatestStart, y.LatestStart))
	})
	l.entries = slices.Insert(l.entries, at, e)
}

// Remove deletes a request from the list and reports whether it was there.
func (l *List) Remove(e *Entry) bool {
	i := slices.Index(l.entries, e)
	if i < 0 {
		return false
	}
	l.entries = slices.Delete(l.entries, i, i+1)
	return true
}

// RefuseIf removes and refuses the requests for which the function returns true.
func (l *List) RefuseIf(refuse func(e *Entry) bool) {
	for _, e := range slices.Clone(l.entries) {
		if refuse(e) {
			l.Remove(e)
			e.OnDecision(nil)
		}
	}
}

// Requests lists the waiting requests for other instances. It leaves out those that may not run everywhere, which must not hold up requests
// of other instances elsewhere.
func (l *List) Requests(service string, now time.Duration) []Request {
	out := make([]Request, 0, len(l.entries))
	for _, e := range l.entries {
		if e.Allowed != nil {
			continue
		}
		at := e.position()
		out = append(out, Request{
			ID: e.ID, Service: service, Tokens: e.Tokens, SlackMS: (at.LatestStart - now).Milliseconds(), Class: at.Class,
		})
	}
	return out
}

// urgencyResolution is the difference in latest start within which requests are equally urgent. The data of peers is a few
// milliseconds old, so that a finer order would differ between instances.
const urgencyResolution = 16 * time.Millisecond

// queuedRequest is a waiting request of any instance.
type queuedRequest struct {
	class   priority.Class
	late    bool
	urgency time.Duration
	id      string
	tokens  int64
	own     *Entry
}

// Turnover describes how fast slots are released.
type Turnover struct {
	// Running is the number of requests that hold a slot, MeanHoldTime the mean time for which one does; zero if unknown.
	Running      int
	MeanHoldTime time.Duration
}

// timeToFree returns the expected time until the given number of slots have been released.
func (t Turnover) timeToFree(slots int) time.Duration {
	if t.Running == 0 {
		return 0
	}
	return time.Duration(slots) * t.MeanHoldTime / time.Duration(t.Running)
}

// AssignFunc selects an engine for a request and counts the request as running there; it returns nil if no engine has room. If the request
// may not run everywhere and is on time, the engines that it may use then get none of the later requests. The entry is nil for requests of
// other instances.
type AssignFunc func(tokens int64, own *Entry) *routing.Endpoint

// contentionPeriod is how long late requests are assigned no slot after an on-time request, of the same class or a more urgent one,
// had to wait. A slot is held for seconds, in which further requests arrive that can still be on time.
const contentionPeriod = time.Second

// Dispatch visits the requests of all instances in the order in which they should be served. The first on-time request without an
// engine ends the assignments, since later slots are kept for it and the requests behind it. Requests of this instance leave the
// list when they are assigned an engine. They also leave it, refused, if they are late, or if they are new and enough slots are
// not expected to be released before their latest start. A request in a reserved position that would be refused there stays
// in the list in its own class.
func (l *List) Dispatch(now time.Duration, others []PeerRequest, turnover Turnover, take AssignFunc) {
	blocked := 0
	for _, w := range l.serviceOrder(now, others) {
		var engine *routing.Endpoint
		if blocked == 0 && !(w.late && l.contended(w.class, now)) {
			engine = take(w.tokens, w.own)
		}
		ahead := blocked
		switch {
		case engine != nil || w.late:
		case w.own != nil && w.own.Allowed != nil:
			ahead++ // take keeps the engines that it may use for it
		default:
			blocked++
			ahead++
			l.contend(w.class, now)
		}
		if w.own == nil {
			continue
		}
		refused := engine == nil && (w.late || !w.own.admitted && now+turnover.timeToFree(ahead) > w.own.position().LatestStart)
		if refused && w.own.Reserved != nil {
			l.leaveReservedPosition(w.own)
			continue
		}
		if engine != nil || refused {
			l.Remove(w.own)
			w.own.OnDecision(engine)
		}
		w.own.admitted = true
	}
}

// leaveReservedPosition queues a request in its own class, in which the next dispatch decides about it as about a new one.
func (l *List) leaveReservedPosition(e *Entry) {
	l.Remove(e)
	e.Reserved, e.admitted = nil, false
	l.Add(e)
}

// contend records that an on-time request of the class has to wait.
func (l *List) contend(class priority.Class, now time.Duration) {
	if l.contendedUntil == nil {
		l.contendedUntil = map[priority.Class]time.Duration{}
	}
	l.contendedUntil[class] = now + contentionPeriod
}

// contended reports whether late requests of the class are assigned no slot.
func (l *List) contended(class priority.Class, now time.Duration) bool {
	for waited, until := range l.contendedUntil {
		if now < until && priority.Compare(waited, class) <= 0 {
			return true
		}
	}
	return false
}

// newQueuedRequest returns a request that is queued in the given position; own is nil for requests of other instances.
func newQueuedRequest(at Position, now time.Duration, id string, tokens int64, own *Entry) queuedRequest {
	return queuedRequest{
		class: at.Class, late: now > at.LatestStart, urgency: at.LatestStart / urgencyResolution, id: id, tokens: tokens, own: own,
	}
}

func (l *List) serviceOrder(now time.Duration, others []PeerRequest) []queuedRequest {
	all := make([]queuedRequest, 0, len(l.entries)+len(others))
	for _, e := range l.entries {
		all = append(all, newQueuedRequest(e.position(), now, e.ID, e.Tokens, e))
	}
	for _, o := range others {
		all = append(all, newQueuedRequest(Position{Class: o.Class, LatestStart: o.LatestStart}, now, o.ID, o.Tokens, nil))
	}
	slices.SortStableFunc(all, func(a, b queuedRequest) int {
		if byClass := priority.Compare(a.class, b.class); byClass != 0 {
			return byClass
		}
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
