package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/fault"
)

// errEndpointFailure indicates a failure response of an endpoint, which another endpoint may not give.
var errEndpointFailure = errors.New("the endpoint returned a failure response")

// errUnconfirmedRefusal indicates a failure response whose status implies that the request has not run, although the endpoint does not
// confirm it. A refusal that the endpoint confirms is an error that wraps routing.ErrNotRun and no response.
var errUnconfirmedRefusal = errors.New("the endpoint's status implies that the request has not run, which the endpoint does not confirm")

// confirmOutcome returns errUnconfirmedRefusal if the answer is such a response.
func confirmOutcome(answer *routing.Answer) error {
	if !fault.ImpliesNotRun(answer.Status) {
		return nil
	}
	return fmt.Errorf("%w: status %d", errUnconfirmedRefusal, answer.Status)
}

// attemptFailure returns the failure of an attempt as far as the endpoint's health is concerned: err, or that of an answer which was passed
// on. The answer is nil if there is none.
func (r *requestState) attemptFailure(answer *routing.Answer, err error) error {
	if answer == nil {
		return err
	}
	if confirmOutcome(answer) != nil {
		r.metrics.unconfirmedRefusals.Inc(1)
	}
	if err == nil && isEndpointFailure(answer.Status) {
		return fmt.Errorf("%w: status %d", errEndpointFailure, answer.Status)
	}
	return err
}

// isEndpointFailure reports whether a status is that of an endpoint which fails. A 504 says that the request's time was over, which may have
// been short.
func isEndpointFailure(status int) bool {
	return fault.ImpliesNotRun(status) || status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

const (
	// discardTimeout is how long a caller waits until a body that is not passed on has been read, so that the connection is kept.
	discardTimeout = 50 * time.Millisecond
	// maxDiscardedBytes is the size from which such a body is not read to its end.
	maxDiscardedBytes = 64 << 10
)

// discardBody reads and closes the body of an answer that is not passed on. After discardTimeout it goes on in the background, until the
// request's context ends.
func discardBody(answer *routing.Answer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer answer.Body.Close()
		_, _ = io.CopyN(io.Discard, answer.Body, maxDiscardedBytes) // an error, or a longer body, costs the connection
	}()
	timeout := time.NewTimer(discardTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
}

// failedResponse is an endpoint's 5xx response that was withheld from the caller.
type failedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardWithheldFailure passes the withheld response on to the caller if there is one, and returns err otherwise.
func (r *requestState) forwardWithheldFailure(err error) error {
	if r.withheldResponse == nil || r.responseStarted {
		return err
	}
	r.responseStarted = true
	r.status = r.withheldResponse.status
	return ignoreWriteError(r.writer.WriteResponse(r.withheldResponse.status, r.withheldResponse.header, r.withheldResponse.body))
}

// withholdMemory keeps the memory of a withheld response taken until the request ends.
func (r *requestState) withholdMemory(held *membudget.Holding) {
	r.withheldMemory.Close()
	r.withheldMemory = *held
	*held = r.AnswerMemory.Open()
}

// retriesFailure reports whether a 5xx response leads to an attempt at another endpoint.
func (r *requestState) retriesFailure() bool {
	return r.route.Kind == routing.Safe && r.attempts < r.route.MaxAttempts && r.sends < maxSends && r.hasUntriedEndpoint() &&
		r.timeLeft() > r.route.Objective/4
}

func (r *requestState) hasUntriedEndpoint() bool {
	return len(r.stage("")) > len(r.triedEndpoints)
}
