package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// maxSends is the maximum number of endpoints that a request is sent to, including those that refuse it.
	maxSends = 3
	// maxBufferedBytes is the size up to which a response is buffered before it is passed on, so that a truncated response can be
	// replaced by another endpoint's.
	maxBufferedBytes = 128 << 10
	// copyBufferBytes is the size of the buffer through which the rest of a longer response is passed on.
	copyBufferBytes = 16 << 10
	// crossDomainPenalty is the load that is added for an endpoint in another failure domain, as a fraction of the endpoint's
	// capacity.
	crossDomainPenalty = 0.1
	// failureRateWeight is the weight of the recent failure rate relative to the load.
	failureRateWeight = 2
)

// forwardPlain sends the request to one endpoint after another until it is answered or may not be retried.
func (r *requestState) forwardPlain() error {
	if err := r.yield(); err != nil {
		return err
	}
	for {
		if err := r.checkQuarantine(); err != nil {
			return r.forwardWithheldFailure(err)
		}
		ep, ok := r.pickPlain()
		if !ok && r.withheldResponse != nil {
			return r.forwardWithheldFailure(errEndpointFailure)
		}
		if !ok {
			return r.noPlainEndpoint()
		}
		err := r.tryPlain(ep)
		if err == nil {
			return nil
		}
		r.recordFailure(ep, err)
		r.refusals.record(r.service.Name, err, r.SinceBoot())
		if r.isFinal(err) {
			return err
		}
		if !r.mayRetry(err) {
			return r.forwardWithheldFailure(err)
		}
	}
}

// noPlainEndpoint returns the error of a request for which no endpoint is left, with the time at which one is.
func (r *requestState) noPlainEndpoint() error {
	all := r.stage("")
	untried := slices.DeleteFunc(slices.Clone(all), func(ep routing.Endpoint) bool { return r.triedEndpoints[ep.ID] })
	if delay := r.Limits.QueueDelay(untried, 0); delay > 0 {
		jitter := time.Duration(r.Random() * float64(noEndpointRetryAfter))
		return fault.New(fault.Overloaded, "all endpoints are at the request limits that they have announced; come back after Retry-After").
			WithRetryAfter(max(delay, noEndpointRetryAfter) + jitter)
	}
	return fault.New(fault.NoEndpoint, "the service has no usable endpoint; come back after Retry-After").
		WithRetryAfter(noEndpointRetryAfter + r.State.PauseRemaining(r.service.Name, ""))
}

// pickPlain selects the least loaded endpoint that this request has not tried and whose request limit admits it.
func (r *requestState) pickPlain() (routing.Endpoint, bool) {
	usable := health.UsableEndpoints(r.Health, r.stage(""), endpointID, r.SinceBoot())
	candidates := lo.Reject(usable, func(ep routing.Endpoint, _ int) bool { return r.triedEndpoints[ep.ID] || r.Limits.Delay(ep) > 0 })
	for len(candidates) > 0 {
		best := r.choosePlain(candidates)
		if r.Limits.Limited(candidates[best]) {
			r.syncPeers(r.ctx)
		}
		if r.Limits.Admit(candidates[best]) {
			return candidates[best], true
		}
		candidates = slices.Delete(candidates, best, best+1)
	}
	return routing.Endpoint{}, false
}

// choosePlain returns the index of the endpoint to use: among those whose pace allows a further request, if one of these has a free slot.
func (r *requestState) choosePlain(candidates []routing.Endpoint) int {
	if !r.Pace.InForce(r.service.Name) {
		return r.leastLoaded(candidates)
	}
	allowed := r.allowedByPace(candidates, r.Speeds.Usual(r.plainWork()))
	best := r.leastLoaded(lo.Filter(candidates, func(_ routing.Endpoint, i int) bool { return allowed[i] }))
	for i := range candidates {
		if allowed[i] {
			best--
		}
		if best < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// leastLoaded returns the index of the endpoint with the least load, or of that which is expected to answer first if the speed of the
// endpoints is known.
func (r *requestState) leastLoaded(candidates []routing.Endpoint) int {
	if r.Speeds.InForce(r.service.Name) {
		return r.soonestDone(candidates)
	}
	now := r.SinceBoot()
	best, bestLoad := -1, 0.0
	for i, ep := range candidates {
		load := float64(r.EndpointLoad.TotalAt(ep.ID).Requests+1)/float64(max(1, ep.Slots)) + failureRateWeight*r.Health.FailureRate(ep.ID, now)
		if ep.Domain != r.Domain {
			load += crossDomainPenalty
		}
		load += r.Random() * loadJitter
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// loadJitter is a random addition to the load that spreads requests over equally loaded endpoints.
const loadJitter = 0.02

func endpointID(ep routing.Endpoint) string { return ep.ID }

// tryPlain makes one attempt at the endpoint.
func (r *requestState) tryPlain(ep routing.Endpoint) error {
	r.recordSend(ep)
	load := inflight.Load{Requests: 1}
	r.EndpointLoad.Add(ep.ID, load)
	defer r.EndpointLoad.Subtract(ep.ID, load)
	ctx, progress, stop := r.plainAttemptContext(ep)
	defer stop()
	call := r.call
	call.TimeLeft = r.timeLeft()
	start := r.SinceBoot()
	r.expectAnswer(start)
	answer, err := r.Client.Send(ctx, ep, r.maxConns(), &call)
	r.uncountUnsent(err)
	if err == nil {
		r.attempts++
		r.mayHaveRun = true
		r.recordPlainSpeed(ep, answer.Status, start)
		err = r.forwardPlainAnswer(answer, start, progress)
	} else if !errors.Is(err, routing.ErrNotRun) {
		r.attempts++
		r.mayHaveRun = true
	}
	r.recordOutcome(ep, r.attemptFailure(answer, err), start)
	if err == nil {
		r.recordAnswer(0, true)
	} else {
		r.reportCrash(ep, err)
	}
	return err
}

// plainAttemptContext returns the context of an attempt: with a stall timeout for a stream, and with attemptTimeout otherwise.
func (r *requestState) plainAttemptContext(ep routing.Endpoint) (ctx context.Context, progress, stop func()) {
	if r.route.Kind == routing.Streaming {
		return r.withStallTimeout(ep, false)
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.attemptTimeout(ep))
	return ctx, func() {}, cancel
}

// forwardPlainAnswer passes an answer on: a stream as its events arrive, anything else as a whole.
func (r *requestState) forwardPlainAnswer(answer *routing.Answer, start time.Duration, progress func()) error {
	if r.responseStarted || answer.Status == http.StatusOK && r.expectsEvents(answer) {
		return r.relayStream(answer, unrecordedStream{}, start, progress)
	}
	return r.forwardResponse(answer)
}

// unrecordedStream is the streamRecorder of streams of plain endpoints, whose memory is not estimated.
type unrecordedStream struct{}

func (unrecordedStream) RecordEvents(int)               {}
func (unrecordedStream) RecordEventGap(time.Duration)   {}
func (unrecordedStream) RecordFirstEvent(time.Duration) {}
func (unrecordedStream) RecordCompletion()              {}

// attemptTimeout is the timeout of an attempt: all the time left, or half of it if another attempt is possible. A slow endpoint has
// longer.
func (r *requestState) attemptTimeout(ep routing.Endpoint) time.Duration {
	left := r.timeLeft()
	if r.route.MayRepeat() && r.attempts+1 < r.route.MaxAttempts {
		return min(r.extended(ep, max(left/2, min(r.route.Objective, left))), left)
	}
	return left
}

func (r *requestState) recordSend(ep routing.Endpoint) {
	r.sends++
	r.lastEndpoint = ep.ID
	if r.triedEndpoints == nil {
		r.triedEndpoints = map[string]bool{}
	}
	r.triedEndpoints[ep.ID] = true
}

// uncountUnsent takes back the count of a send that an evacuation has prevented, so that it does not use up the sends of the request.
func (r *requestState) uncountUnsent(err error) {
	if errors.Is(err, routing.ErrEvacuated) {
		r.sends--
	}
}

// recordOutcome updates the endpoint's health with the outcome of a send.
func (r *requestState) recordOutcome(ep routing.Endpoint, err error, start time.Duration) {
	now := r.SinceBoot()
	switch {
	case err == nil:
		r.Health.RecordSuccess(ep.ID, now)
	case errors.Is(err, routing.ErrEvacuated):
		// Nothing was sent, which says nothing about the endpoint.
	case r.ctx.Err() != nil && now < r.deadline:
		// The caller has disconnected, which says nothing about the endpoint.
	default:
		r.Pace.RecordRefusal(ep, now)
		if r.recordHealthFailure(ep, err, start, now) {
			r.Logger.Warn().Str("event", "endpoint.ejected").Str("endpoint", ep.ID).Err(err).Msg("")
			r.OnChange()
		}
	}
}

// recordHealthFailure records a failed send and reports whether the endpoint was ejected for it.
func (r *requestState) recordHealthFailure(ep routing.Endpoint, err error, start, now time.Duration) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return r.Health.RecordTimeout(ep.ID, start, now)
	}
	if errors.Is(err, routing.ErrMisdirected) {
		return r.Health.RecordReplaced(ep.ID, now)
	}
	unreachable := errors.Is(err, routing.ErrNotRun) && health.IsUnreachable(err)
	return r.Health.RecordFailure(ep.ID, unreachable, now)
}

// forwardResponse passes a response on to the caller. A 5xx response is withheld if the request may be sent to another endpoint. A response
// that falsely implies that a request has not run is not passed on if the caller would repeat a request that may run only once.
func (r *requestState) forwardResponse(answer *routing.Answer) error {
	if err := confirmOutcome(answer); err != nil && !r.route.MayRepeat() {
		discardBody(answer)
		return err
	}
	defer answer.Body.Close()
	held := r.AnswerMemory.Open()
	defer held.Close()
	body, complete, err := readBuffered(answer, &held)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError && complete && r.retriesFailure() {
		r.withholdMemory(&held)
		r.withheldResponse = &failedResponse{status: answer.Status, header: answer.Header, body: body}
		return fmt.Errorf("%w: status %d", errEndpointFailure, answer.Status)
	}
	r.status = answer.Status
	if complete {
		r.responseStarted = true
		return ignoreWriteError(r.writer.WriteResponse(answer.Status, answer.Header, body))
	}
	r.responseStarted = true
	if err := r.writer.WriteHeader(answer.Status, answer.Header); err != nil {
		return err
	}
	return r.copyBody(answer, body, &held)
}

// ignoreWriteError drops the error of a caller that disconnected while its complete response was written.
func ignoreWriteError(error) error { return nil }

// copyBody passes on what was buffered of a body, whose memory is then given back, and the rest as it arrives.
func (r *requestState) copyBody(answer *routing.Answer, buffered []byte, held *membudget.Holding) error {
	if err := r.writer.WriteChunk(buffered); err != nil {
		return err
	}
	held.Close()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		chunk := buffer[:n]
		if err == io.EOF {
			return r.writer.WriteChunk(chunk)
		}
		if err != nil {
			return err
		}
		if err := r.writer.WriteChunk(chunk); err != nil {
			return err
		}
	}
}

// readBuffered reads a response's body up to maxBufferedBytes, or as far as the budget for answers allows, and reports whether the body is
// complete.
func readBuffered(answer *routing.Answer, held *membudget.Holding) (body []byte, complete bool, err error) {
	body, err = membudget.ReadAll(answer.Body, maxBufferedBytes, held)
	if errors.Is(err, membudget.ErrExhausted) {
		return body, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("reading the response body: %w", err)
	}
	return body, len(body) < maxBufferedBytes, nil
}
