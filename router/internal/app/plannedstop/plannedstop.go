// Package plannedstop ends the waits and the requests of an instance that stops as planned, so that each caller gets an answer before
// the process exits.
package plannedstop

import (
	"context"
	"time"

	"tanagerwood.dev/router/internal/fault"
)

// retryAfter is the Retry-After of a request that a stopping instance refuses. The caller should retry on a new connection.
const retryAfter = 10 * time.Millisecond

// Error returns the error of a request that ends because the instance stops, with the outcome not run.
func Error() *fault.Error {
	return fault.New(fault.Draining, "this instance stops; use a new connection").WithRetryAfter(retryAfter)
}

// Signals tells the requests of an instance how far a planned stop has come. It is safe for concurrent use.
type Signals struct {
	waits    context.Context
	endWaits context.CancelFunc
	requests context.Context
	end      context.CancelCauseFunc
}

// New returns the signals of an instance that does not stop.
func New() *Signals {
	s := &Signals{}
	s.waits, s.endWaits = context.WithCancel(context.Background())
	s.requests, s.end = context.WithCancelCause(context.Background())
	return s
}

// Waits returns a context that is done when requests that no endpoint has must not wait any longer: what is sent to an endpoint later may
// not be answered before the process exits.
func (s *Signals) Waits() context.Context { return s.waits }

// Requests returns the context of all requests. When the stop ends them, its cause is the error of Error.
func (s *Signals) Requests() context.Context { return s.requests }

// EndWaits ends the waits of requests that no endpoint has.
func (s *Signals) EndWaits() { s.endWaits() }

// EndRequests ends all requests, whose callers get a final answer.
func (s *Signals) EndRequests() {
	s.endWaits()
	s.end(Error())
}

// Abort ends all requests without an answer, as a crash does.
func (s *Signals) Abort() {
	s.endWaits()
	s.end(context.Canceled)
}

// Ended reports whether a planned stop has ended the request with this context.
func Ended(ctx context.Context) bool { return fault.Is(context.Cause(ctx), fault.Draining) }
