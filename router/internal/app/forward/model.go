package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// The timeout for the first or next event of a stream is a multiple of the route's objective (stallObjectiveFactor), a
	// multiple of its event gap (stallEventGapFactor), or minStallTimeout, whichever is longest. These match how long callers
	// wait; stallTimeoutMargin is added so that the router gives up after them.
	stallObjectiveFactor = 4
	stallEventGapFactor  = 8
	minStallTimeout      = 2 * time.Second
	stallTimeoutMargin   = 500 * time.Millisecond
	// minPrefillTimeout is the minimum timeout of a prefill. Longer prefills have a timeout of a multiple of their expected
	// duration.
	minPrefillTimeout    = 300 * time.Millisecond
	prefillTimeoutFactor = 3
	// handleReleaseTimeout is the timeout for releasing an unused KV cache. A cache that is not released expires at the engine.
	handleReleaseTimeout = time.Second
)

// forwardModel forwards a model request.
func (r *requestState) forwardModel() error {
	r.priorWait = r.retryDetector.PriorWait(r.service.Name, r.route.Name, r.req.Caller.Timeout, r.SinceBoot())
	for {
		err := r.tryModel()
		if err == nil {
			return nil
		}
		if fault.Is(err, fault.Overloaded) {
			r.retryDetector.RecordRefusal(r.service.Name, r.SinceBoot())
		}
		if r.isFinal(err) || !r.mayRetry(err) {
			return err
		}
	}
}

// isFinal reports whether another attempt is pointless or not allowed.
func (r *requestState) isFinal(err error) bool {
	if fault.Is(err, fault.Overloaded) || fault.Is(err, fault.PromptQuarantined) || fault.Is(err, fault.Draining) || fault.Is(err, fault.CallerDisconnected) {
		return true
	}
	canResume := r.route.Resumable && (!r.dataSent || r.call.ResumeAfter != "")
	return r.responseStarted && !canResume
}

// tryModel makes one attempt: it acquires a slot at a decode engine, runs the prefill and relays the stream.
func (r *requestState) tryModel() error {
	start := r.SinceBoot()
	slot, err := r.Dispatcher.AcquireSlot(r.ctx, r.slotRequest())
	r.durations.slotWait += r.SinceBoot() - start
	r.countSlot(r.SinceBoot()-start, err)
	if err != nil {
		return err
	}
	defer slot.Release()
	if err := r.checkQuarantine(); err != nil {
		return err
	}
	handle, err := r.prefill(slot)
	if err != nil {
		return err
	}
	return r.decode(slot, handle)
}

func (r *requestState) demand() routing.Demand {
	if r.req.Caller.Demand == nil {
		return routing.Demand{}
	}
	return *r.req.Caller.Demand
}

// slotRequest describes the request to the dispatcher. Time that the caller spent on refused attempts counts towards the
// objective.
func (r *requestState) slotRequest() *dispatch.SlotRequest {
	demand := r.demand()
	limit := r.deadline
	if r.route.Objective > 0 {
		limit = min(limit, r.req.Arrived+r.route.Objective-r.priorWait)
	}
	var stop <-chan struct{}
	if !r.mayHaveRun { // the caller of a request that no endpoint has can retry it at another instance
		stop = r.Stop.Waits().Done()
	}
	latestStart := limit - r.Timings.FirstEventLatency(r.service.Name, demand.PromptTokens)
	return &dispatch.SlotRequest{
		RequestID:    r.req.Caller.RequestID,
		Service:      r.service.Name,
		Demand:       demand,
		SlotDeadline: latestStart,
		Class:        r.class,
		Reserved:     r.reservedPosition(latestStart),
		Exclude:      r.triedEndpoints,
		Allowed:      r.allowed,
		Stop:         stop,
	}
}

// prefill has a prefill engine process the prompt. It returns nil without an error if the decode engine is to process the prompt.
func (r *requestState) prefill(slot *dispatch.Slot) (*routing.KVHandle, error) {
	demand := r.demand()
	ep, ok := r.pickPrefill(slot.Endpoint.Domain, demand.PromptTokens)
	if !ok || r.usesLocalPrefill(slot, ep) || !r.mayPrefill() || !r.Limits.Admit(ep) {
		return nil, nil
	}
	r.prefills++
	alreadyRunning := r.EndpointLoad.TotalAt(ep.ID).Requests
	load := inflight.Load{Requests: 1, Tokens: demand.PromptTokens}
	r.EndpointLoad.Add(ep.ID, load)
	r.OnChange()
	defer func() {
		r.EndpointLoad.Subtract(ep.ID, load)
		r.OnChange()
	}()
	queued := r.EndpointLoad.TotalAt(ep.ID).Tokens
	expected := r.Timings.PrefillLatency(r.service.Name, queued)
	ctx, cancel := context.WithTimeout(r.ctx, r.extended(ep, max(minPrefillTimeout, prefillTimeoutFactor*expected)))
	defer cancel()
	call := r.call
	call.TimeLeft = r.timeLeft()
	start := r.SinceBoot()
	handle, err := r.Client.Prefill(ctx, ep, r.maxConns(), &call)
	took := r.SinceBoot() - start
	r.durations.prefill += took
	r.recordOutcome(ep, err, start)
	if err == nil {
		r.prefillEngine = ep
		r.Timings.RecordPrefill(r.service.Name, demand.PromptTokens, took)
		r.recordPrefillSpeed(ep, queued, took)
		if alreadyRunning == 0 && r.EndpointLoad.TotalAt(ep.ID).Requests == load.Requests {
			r.Timings.RecordIdlePrefill(r.service.Name, demand.PromptTokens, took)
		}
		return &handle, nil
	}
	if errors.Is(err, routing.ErrEvacuated) {
		r.prefills--
		return r.prefill(slot) // at an engine of another domain, if there is one
	}
	r.recordFailure(ep, fmt.Errorf("prefill: %w", err))
	if r.ctx.Err() != nil {
		return nil, fault.Wrap(err, fault.CallerDisconnected, openai.NotRun, "the caller is gone")
	}
	// Falls back to the decode engine for the prompt, which needs no further prefill. The send to it is a retry if the prefill arrived.
	unsent := errors.Is(err, routing.ErrNotRun) && health.IsUnreachable(err)
	if !unsent && !r.RetryBudget.TryRetry(r.service.Name, r.SinceBoot()) {
		return nil, fmt.Errorf("%w: the prefill failed, and the retry budget is used up: %w", routing.ErrNotRun, err)
	}
	return nil, nil
}

// mayPrefill reports whether the request may be sent to a prefill engine. Sends after the first one count as retries.
func (r *requestState) mayPrefill() bool {
	return r.prefills == 0 || r.RetryBudget.TryRetry(r.service.Name, r.SinceBoot())
}

// usesLocalPrefill reports whether the decode engine processes the prompt because the prefill engine would take too long.
func (r *requestState) usesLocalPrefill(slot *dispatch.Slot, prefill routing.Endpoint) bool {
	name, prompt := r.service.Name, r.demand().PromptTokens
	return engines.PrefillOnDecode(engines.PrefillEstimate{
		TimeLeft:          r.timeToObjective() - r.scaled(slot.Endpoint, r.Timings.DecodeStartLatency(name)),
		MaxEventGap:       r.route.EventGap,
		PrefillTime:       r.scaled(slot.Endpoint, r.Timings.PrefillBusyTime(name, prompt)),
		QueuedPrefillTime: r.scaled(prefill, r.Timings.PrefillBusyTime(name, r.EndpointLoad.TotalAt(prefill.ID).Tokens+prompt)),
		DecodeLoad:        r.EndpointLoad.TotalAt(slot.Endpoint.ID),
	})
}

// timeToObjective is the time left until the first event is late.
func (r *requestState) timeToObjective() time.Duration {
	if r.route.Objective == 0 {
		return r.timeLeft()
	}
	return r.req.Arrived + r.route.Objective - r.priorWait - r.SinceBoot()
}

func (r *requestState) pickPrefill(domain string, tokens int64) (routing.Endpoint, bool) {
	now := r.SinceBoot()
	usable := health.UsableEndpoints(r.Health, r.stage(routing.Prefill), endpointID, now)
	candidates := make([]engines.Candidate, 0, len(usable))
	usable = lo.Reject(usable, func(ep routing.Endpoint, _ int) bool { return r.Limits.Delay(ep) > 0 })
	if r.Pace.InForce(r.service.Name) {
		allowed := r.allowedByPace(usable, r.Timings.PrefillLatency(r.service.Name, tokens))
		usable = lo.Filter(usable, func(_ routing.Endpoint, i int) bool { return allowed[i] })
	}
	for _, ep := range usable {
		load := r.EndpointLoad.TotalAt(ep.ID)
		if r.Limits.Delay(ep) > 0 || !engines.HoldsPrompt(load, tokens, r.service.Engine.MemoryTokens) {
			continue
		}
		candidates = append(candidates, engines.Candidate{Endpoint: ep, Load: load, FailureRate: r.Health.FailureRate(ep.ID, now)})
	}
	best := engines.SelectPrefill(candidates, tokens, domain)
	if best < 0 {
		return routing.Endpoint{}, false
	}
	return candidates[best].Endpoint, true
}

// decode opens the stream at the slot's engine and relays it.
func (r *requestState) decode(slot *dispatch.Slot, handle *routing.KVHandle) error {
	ep := slot.Endpoint
	if err := r.checkSlot(slot); err != nil {
		r.recordFailure(ep, err)
		if handle != nil {
			r.releaseHandle(*handle)
		}
		return err
	}
	if handle != nil && r.State.Evacuated(r.prefillEngine) {
		handle = nil // the engine would fetch the KV cache from the evacuated domain; it expires there
	}
	ctx, progress, stop := r.withStallTimeout(ep, handle == nil)
	defer stop()
	answer, start, err := r.openStream(ctx, slot, handle)
	if handle != nil && r.mayResend(ep, err) {
		// The KV cache may have expired; retry with the prompt processed by the decode engine.
		r.recordFailure(ep, err)
		r.releaseHandle(*handle)
		answer, start, err = r.openStream(ctx, slot, nil)
	}
	if err == nil {
		r.mayHaveRun = true
		err = r.relayStream(answer, slot, start, progress)
	} else if handle != nil {
		r.releaseHandle(*handle)
	}
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = fmt.Errorf("%w: %w", errStalled, err)
	}
	r.recordOutcome(ep, r.attemptFailure(answer, err), start)
	if err != nil {
		r.recordFailure(ep, err)
		r.reportCrash(ep, err)
	}
	return err
}

// mayResend reports whether a request may be sent once more to an engine that refused it. The request may have waited there for seconds,
// and the engine may have announced since then that it leaves or wants no requests.
func (r *requestState) mayResend(ep routing.Endpoint, err error) bool {
	if !errors.Is(err, routing.ErrNotRun) || errors.Is(err, routing.ErrMisdirected) {
		return false
	}
	if r.State.Evacuated(ep) || r.State.Leaving(ep) || r.State.Paused(ep) {
		return false
	}
	return r.checkQuarantine() == nil && r.mayRetry(err) && r.Limits.Admit(ep)
}

// checkSlot checks whether the request may still be sent to the engine of a slot. The slot was acquired before the prefill, which may have
// taken seconds.
func (r *requestState) checkSlot(slot *dispatch.Slot) error {
	switch ep := slot.Endpoint; {
	case r.State.Evacuated(ep):
		return fmt.Errorf("%w: %w: %s", routing.ErrNotRun, routing.ErrEvacuated, ep.Domain)
	case r.State.Paused(ep):
		return fmt.Errorf("%w: the endpoint has asked for a pause", routing.ErrNotRun)
	case r.State.Left(ep, slot.AcquiredAt()):
		return fmt.Errorf("%w: the endpoint is leaving", routing.ErrNotRun)
	case !slot.Admitted() && !r.Limits.Admit(ep):
		return fmt.Errorf("%w: the endpoint is at the request limit that it has announced", routing.ErrNotRun)
	}
	return r.checkQuarantine()
}

// errStalled ends a stream whose connection stays open but that sends no event for longer than callers wait.
var errStalled = errors.New("the endpoint sent no event within the stall timeout")

// withStallTimeout returns a context that is cancelled when no event has arrived for longer than callers wait, and a progress
// function to call for each event. Routes without an objective and an event gap have no such timeout.
func (r *requestState) withStallTimeout(ep routing.Endpoint, readsPrompt bool) (ctx context.Context, progress, stop func()) {
	if r.route.Objective == 0 && r.route.EventGap == 0 {
		return r.ctx, func() {}, func() {}
	}
	limit := max(minStallTimeout, stallObjectiveFactor*r.route.Objective, stallEventGapFactor*r.route.EventGap) + stallTimeoutMargin
	first := limit
	if readsPrompt {
		first += r.extended(ep, prefillTimeoutFactor*r.Timings.PrefillLatency(r.service.Name, r.demand().PromptTokens))
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	timer := time.AfterFunc(first, func() { cancel(errStalled) })
	return ctx, func() { timer.Reset(limit) }, func() {
		timer.Stop()
		cancel(nil)
	}
}

func (r *requestState) openStream(ctx context.Context, slot *dispatch.Slot, handle *routing.KVHandle) (*routing.Answer, time.Duration, error) {
	r.recordSend(slot.Endpoint)
	if handle == nil {
		slot.SetLocalPrefill(true)
		defer slot.SetLocalPrefill(false)
	}
	call := r.call
	call.TimeLeft = r.timeLeft()
	start := r.SinceBoot()
	r.expectAnswer(start)
	slot.MarkUsed()
	answer, err := r.Client.Decode(ctx, slot.Endpoint, r.maxConns(), &call, handle, slot.Reservation)
	r.uncountUnsent(err)
	if err == nil || !errors.Is(err, routing.ErrNotRun) {
		r.attempts++
		r.mayHaveRun = true
	}
	return answer, start, err
}

// releaseHandle releases an unused KV cache in the background.
func (r *requestState) releaseHandle(h routing.KVHandle) {
	ep, ok := r.prefillEndpointAt(h.Source)
	if !ok || r.State.Paused(ep) {
		return // the KV cache expires at the engine
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handleReleaseTimeout)
		defer cancel()
		if err := r.Client.FreeHandle(ctx, ep, h); err != nil {
			r.Logger.Info().Str("event", "kv.not_freed").Str("endpoint", ep.ID).Err(err).Msg("the KV cache expires at the engine")
		}
	}()
}

func (r *requestState) prefillEndpointAt(address string) (routing.Endpoint, bool) {
	for _, ep := range r.State.Stage(r.service.Name, routing.Prefill) {
		if ep.Address == address {
			return ep, true
		}
	}
	return routing.Endpoint{}, false
}
