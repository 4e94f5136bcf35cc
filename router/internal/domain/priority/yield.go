package priority

import "time"

// yieldFraction is the fraction of its objective for which a less urgent request waits for room at plain endpoints. The rest is left
// for the endpoint's own queue and its answer.
const yieldFraction = 0.25

// Decision says what happens to a request for a plain service.
type Decision int

// Decisions about requests for plain services.
const (
	Send Decision = iota
	Wait
	Refuse
)

// PlainRequest describes a request for a plain service, whose endpoints queue requests themselves and refuse those beyond their
// queue.
type PlainRequest struct {
	Service Service
	Class   Class
	// ID is the ID of the caller's attempt.
	ID string
	// HasRoom is set if an endpoint has fewer requests than slots.
	HasRoom bool
	// Refusing is set if endpoints have lately refused requests.
	Refusing bool
	// Waited is the time since arrival, Objective the time within which the answer is on time.
	Waited, Objective time.Duration
}

// Decide returns what happens to the request now. All requests are sent while there is room, and the most urgent ones at any time.
// The others leave the endpoints' queues to those for a while. After that they are sent too, unless the queues overflow, when only
// the reserved share of them is.
func (r PlainRequest) Decide() Decision {
	switch {
	case r.HasRoom || !r.Service.Differ || Compare(r.Class, NewClass(r.Service.MostUrgent, false)) <= 0:
		return Send
	case r.Waited < time.Duration(yieldFraction*float64(r.Objective)):
		return Wait
	case r.Refusing && (r.Class.BeyondRate || !InReservedShare(r.ID)):
		return Refuse
	default:
		return Send
	}
}

// Reserves reports whether a request of the class is queued first like the most urgent ones.
func (s Service) Reserves(class Class, requestID string) bool {
	return s.Differ && !class.BeyondRate && class.Priority() > s.MostUrgent && InReservedShare(requestID)
}
