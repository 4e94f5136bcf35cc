package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// maxSends bounds the endpoints that are asked for one request, refusals included.
	maxSends = 3
	// wholeBytes is the largest answer that is read to its end before it is passed on, so that an answer that breaks off can
	// be replaced by another endpoint's.
	wholeBytes = 128 << 10
	// otherDomainLoad is the extra load, in parts of an endpoint, that one in another failure domain counts as having.
	otherDomainLoad = 0.1
	// failureLoad weighs the recent failure rate against the load.
	failureLoad = 2
)

// plain sends the request to one endpoint after the other until it is answered or may not be repeated.
func (r *run) plain() error {
	for {
		ep, ok := r.pickPlain()
		if !ok && r.withheld != nil {
			return r.passFailureOn(errFailure)
		}
		if !ok {
			return fault.New(fault.NoEndpoint, "the service has no usable endpoint; come back after Retry-After").
				WithRetryAfter(noEndpointRetry + r.State.Returns(r.service.Name, ""))
		}
		err := r.tryPlain(ep)
		if err == nil {
			return nil
		}
		r.recordFailure(ep, err)
		if r.begun {
			return err
		}
		if !r.mayRetry(err) {
			return r.passFailureOn(err)
		}
	}
}

// failure is an endpoint's own failure that was withheld.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// passFailureOn answers with the endpoint's own failure, if there was one.
func (r *run) passFailureOn(err error) error {
	if r.withheld == nil {
		return err
	}
	r.begun = true
	r.status = r.withheld.status
	return ignoreGone(r.sink.WriteResponse(r.withheld.status, r.withheld.header, r.withheld.body))
}

// pickPlain chooses the least loaded endpoint that this request has not tried.
func (r *run) pickPlain() (routing.Endpoint, bool) {
	all := r.State.Stage(r.service.Name, "")
	now := r.SinceBoot()
	usable := health.UsableEndpoints(r.Health, all, endpointID, now)
	best, bestLoad := -1, 0.0
	for i, ep := range usable {
		if r.tried[ep.ID] {
			continue
		}
		load := float64(r.EndpointLoad.TotalAt(ep.ID).Requests+1)/float64(max(1, ep.Slots)) + failureLoad*r.Health.FailureRate(ep.ID, now)
		if ep.Domain != r.Domain {
			load += otherDomainLoad
		}
		load += r.Random() * tieBreak
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return routing.Endpoint{}, false
	}
	return usable[best], true
}

// tieBreak spreads requests over endpoints that are equally loaded.
const tieBreak = 0.02

func endpointID(ep routing.Endpoint) string { return ep.ID }

// tryPlain makes one attempt.
func (r *run) tryPlain(ep routing.Endpoint) error {
	r.begin(ep)
	amount := inflight.Load{Requests: 1}
	r.EndpointLoad.Add(ep.ID, amount)
	defer r.EndpointLoad.Subtract(ep.ID, amount)
	ctx, cancel := context.WithTimeout(r.ctx, r.attemptTime())
	defer cancel()
	call := r.call
	call.TimeLeft = r.timeLeft()
	began := r.SinceBoot()
	answer, err := r.Client.Send(ctx, ep, r.maxConns(), &call)
	if err == nil {
		r.attempts++
		r.mayHaveRun = true
		err = r.passOn(answer)
	} else if !errors.Is(err, routing.ErrNotRun) {
		r.attempts++
		r.mayHaveRun = true
	}
	r.judge(ep, err, began)
	return err
}

// attemptTime is how long an attempt may take: all the time that is left, or half of it if another attempt may follow.
func (r *run) attemptTime() time.Duration {
	left := r.timeLeft()
	if r.route.MayRepeat() && r.attempts+1 < r.route.MaxAttempts {
		return max(left/2, min(r.route.Objective, left))
	}
	return left
}

func (r *run) begin(ep routing.Endpoint) {
	r.sends++
	r.endpoint = ep.ID
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[ep.ID] = true
}

// judge records the outcome of a send for the choice of endpoints.
func (r *run) judge(ep routing.Endpoint, err error, began time.Duration) {
	now := r.SinceBoot()
	switch {
	case err == nil:
		r.Health.RecordSuccess(ep.ID, now)
	case r.ctx.Err() != nil && now < r.deadline:
		// The caller is gone, which says nothing about the endpoint.
	default:
		if r.failed(ep, err, began, now) {
			r.Logger.Warn().Str("event", "endpoint.ejected").Str("endpoint", ep.ID).Err(err).Msg("")
			r.OnChange()
		}
	}
}

// failed records a failed send and reports whether it ejects the endpoint.
func (r *run) failed(ep routing.Endpoint, err error, began, now time.Duration) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return r.Health.RecordTimeout(ep.ID, began, now)
	}
	unreachable := errors.Is(err, routing.ErrMisdirected) || errors.Is(err, routing.ErrNotRun) && health.IsUnreachable(err)
	return r.Health.RecordFailure(ep.ID, unreachable, now)
}

// errFailure is an endpoint's own failure that another endpoint may not have.
var errFailure = errors.New("the endpoint answered with a failure")

// passOn passes an answer on. A failure of the endpoint is withheld if the request may be sent to another one.
func (r *run) passOn(answer *routing.Answer) error {
	defer answer.Body.Close()
	body, complete, err := readWhole(answer)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError && complete && r.repeatsFailure() {
		r.withheld = &failure{status: answer.Status, header: answer.Header, body: body}
		return fmt.Errorf("%w: status %d", errFailure, answer.Status)
	}
	r.status = answer.Status
	if complete {
		r.begun = true
		return ignoreGone(r.sink.WriteResponse(answer.Status, answer.Header, body))
	}
	r.begun = true
	if err := r.sink.WriteHeader(answer.Status, answer.Header); err != nil {
		return err
	}
	return r.copyRest(answer, body)
}

// repeatsFailure reports whether another endpoint will be asked after a failure.
func (r *run) repeatsFailure() bool {
	return r.route.Kind == routing.Safe && r.attempts < r.route.MaxAttempts && r.sends < maxSends && r.othersLeft() &&
		r.timeLeft() > r.route.Objective/4
}

func (r *run) othersLeft() bool { return len(r.State.Stage(r.service.Name, "")) > len(r.tried) }

// ignoreGone drops the error of a caller that left while its complete answer was written.
func ignoreGone(error) error { return nil }

func (r *run) copyRest(answer *routing.Answer, first []byte) error {
	buffer := make([]byte, 32<<10)
	for piece := first; ; {
		if err := r.sink.WriteChunk(piece); err != nil {
			return err
		}
		n, err := answer.Body.Read(buffer)
		piece = buffer[:n]
		if err == io.EOF {
			return r.sink.WriteChunk(piece)
		}
		if err != nil {
			return err
		}
	}
}

// readWhole reads an answer's body up to wholeBytes and reports whether that was all.
func readWhole(answer *routing.Answer) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		return nil, false, fmt.Errorf("reading the answer: %w", err)
	}
	return body, len(body) < wholeBytes, nil
}
