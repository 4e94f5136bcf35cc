package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// silenceFactor and silenceGapFactor bound, with minSilence, how long callers wait for the first or next event of a
	// stream: a multiple of the objective, a multiple of the route's event gap, and two seconds, whichever is longest.
	// silenceMargin is how much later a stream without events is ended here.
	silenceFactor    = 4
	silenceGapFactor = 8
	minSilence       = 2 * time.Second
	silenceMargin    = 500 * time.Millisecond
	// minPrefillTime is the least time that a prefill is given. Longer ones are given a multiple of their expected time.
	minPrefillTime    = 300 * time.Millisecond
	prefillTimeFactor = 3
	// freeTimeout bounds the release of a KV cache that is not needed; after it, the engine lets it lapse.
	freeTimeout = time.Second
)

// model carries a model request.
func (r *run) model() error {
	r.waitedBefore = r.patience.PriorWait(r.service.Name, r.route.Name, r.req.Caller.Patience, r.SinceBoot())
	for {
		err := r.tryModel()
		if err == nil {
			return nil
		}
		if fault.Is(err, fault.Overloaded) {
			r.patience.RecordRefusal(r.service.Name, r.SinceBoot())
		}
		if r.isFinal(err) || !r.mayRetry(err) {
			return err
		}
	}
}

// isFinal reports whether another attempt cannot help.
func (r *run) isFinal(err error) bool {
	return fault.Is(err, fault.Overloaded) || fault.Is(err, fault.CallerGone) || r.begun && !r.route.Resumable
}

// tryModel makes one attempt: a place at a decode engine, the prefill, and the stream.
func (r *run) tryModel() error {
	began := r.SinceBoot()
	place, err := r.Dispatcher.AcquireSlot(r.ctx, r.job())
	r.times.waited += r.SinceBoot() - began
	if err != nil {
		return err
	}
	defer place.Release()
	handle, err := r.prefill(place)
	if err != nil {
		return err
	}
	return r.decode(place, handle)
}

func (r *run) demand() routing.Demand {
	if r.req.Caller.Demand == nil {
		return routing.Demand{}
	}
	return *r.req.Caller.Demand
}

// job describes the request to the dispatcher. What the caller has waited before a refusal counts.
func (r *run) job() *dispatch.SlotRequest {
	demand := r.demand()
	limit := r.deadline
	if r.route.Objective > 0 {
		limit = min(limit, r.req.Arrived+r.route.Objective-r.waitedBefore)
	}
	return &dispatch.SlotRequest{
		RequestID:    r.req.Caller.RequestID,
		Service:      r.service.Name,
		Demand:       demand,
		SlotDeadline: limit - r.Timings.FirstEventLatency(r.service.Name, demand.PromptTokens),
		Exclude:      r.tried,
	}
}

// prefill has a prefill engine read the prompt. It returns nil without an error if the decode engine is to read it.
func (r *run) prefill(place *dispatch.Slot) (*routing.Handle, error) {
	demand := r.demand()
	ep, ok := r.pickPrefill(place.Endpoint.Domain, demand.PromptTokens)
	if !ok || r.readsInPlace(place, ep) {
		return nil, nil
	}
	queued := r.EndpointLoad.TotalAt(ep.ID).Requests
	amount := inflight.Load{Requests: 1, Tokens: demand.PromptTokens}
	r.EndpointLoad.Add(ep.ID, amount)
	r.OnChange()
	defer func() {
		r.EndpointLoad.Subtract(ep.ID, amount)
		r.OnChange()
	}()
	expected := r.Timings.PrefillLatency(r.service.Name, r.EndpointLoad.TotalAt(ep.ID).Tokens)
	ctx, cancel := context.WithTimeout(r.ctx, max(minPrefillTime, prefillTimeFactor*expected))
	defer cancel()
	call := r.call
	call.TimeLeft = r.timeLeft()
	began := r.SinceBoot()
	handle, err := r.Client.Prefill(ctx, ep, r.maxConns(), &call)
	took := r.SinceBoot() - began
	r.times.prefill += took
	r.judge(ep, err, began)
	if err == nil {
		r.Timings.RecordPrefill(r.service.Name, demand.PromptTokens, took)
		if queued == 0 && r.EndpointLoad.TotalAt(ep.ID).Requests == amount.Requests {
			r.Timings.RecordIdlePrefill(r.service.Name, demand.PromptTokens, took)
		}
		return &handle, nil
	}
	r.recordFailure(ep, fmt.Errorf("prefill: %w", err))
	if r.ctx.Err() != nil {
		return nil, fault.Wrap(err, fault.CallerGone, openai.NotRun, "the caller is gone")
	}
	// The decode engine reads the prompt itself, which needs no further prefill call.
	return nil, nil
}

// readsInPlace decides whether the decode engine of the place reads the prompt, because the prefill engine would be late with it.
func (r *run) readsInPlace(place *dispatch.Slot, prefill routing.Endpoint) bool {
	name, prompt := r.service.Name, r.demand().PromptTokens
	return engines.PrefillOnDecode(engines.PrefillEstimate{
		TimeLeft:          r.onTimeLeft() - r.Timings.DecodeStartLatency(name),
		MaxEventGap:       r.route.EventGap,
		PrefillTime:       r.Timings.PrefillBusyTime(name, prompt),
		QueuedPrefillTime: r.Timings.PrefillBusyTime(name, r.EndpointLoad.TotalAt(prefill.ID).Tokens+prompt),
		DecodeLoad:        r.EndpointLoad.TotalAt(place.Endpoint.ID),
	})
}

// onTimeLeft is how long the first event may still take to be on time.
func (r *run) onTimeLeft() time.Duration {
	if r.route.Objective == 0 {
		return r.timeLeft()
	}
	return r.req.Arrived + r.route.Objective - r.waitedBefore - r.SinceBoot()
}

func (r *run) pickPrefill(domain string, tokens int64) (routing.Endpoint, bool) {
	now := r.SinceBoot()
	usable := health.UsableEndpoints(r.Health, r.State.Stage(r.service.Name, routing.Prefill), endpointID, now)
	candidates := make([]engines.Candidate, len(usable))
	for i, ep := range usable {
		candidates[i] = engines.Candidate{Endpoint: ep, Load: r.EndpointLoad.TotalAt(ep.ID), FailureRate: r.Health.FailureRate(ep.ID, now)}
	}
	best := engines.SelectPrefill(candidates, tokens, domain)
	if best < 0 {
		return routing.Endpoint{}, false
	}
	return usable[best], true
}

// decode starts the stream at the place and passes it on.
func (r *run) decode(place *dispatch.Slot, handle *routing.Handle) error {
	ep := place.Endpoint
	if r.State.Paused(ep) {
		if handle != nil {
			r.free(*handle)
		}
		return fmt.Errorf("%w: it has asked for a pause", routing.ErrNotRun)
	}
	ctx, progress, stop := r.watchProgress(handle == nil)
	defer stop()
	answer, began, err := r.openStream(ctx, place, handle)
	if errors.Is(err, routing.ErrNotRun) && handle != nil && r.mayRetry(err) {
		// The KV cache may have lapsed; the engine reads the prompt itself.
		r.recordFailure(ep, err)
		r.free(*handle)
		answer, began, err = r.openStream(ctx, place, nil)
	}
	if err == nil {
		r.mayHaveRun = true
		err = r.relay(answer, place, began, progress)
	} else if handle != nil {
		r.free(*handle)
	}
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		err = fmt.Errorf("%w: %w", errStalled, err)
	}
	r.judge(ep, err, began)
	if err != nil {
		r.recordFailure(ep, err)
	}
	return err
}

// errStalled ends a stream that keeps its connection without an event for longer than callers wait.
var errStalled = errors.New("the endpoint sent no event for longer than callers wait")

// watchProgress returns a context that ends when no event has arrived for longer than callers wait, and a function that is to be
// called with each event. Routes without an objective and an event gap have no such limit.
func (r *run) watchProgress(readsPrompt bool) (ctx context.Context, progress, stop func()) {
	if r.route.Objective == 0 && r.route.EventGap == 0 {
		return r.ctx, func() {}, func() {}
	}
	limit := max(minSilence, silenceFactor*r.route.Objective, silenceGapFactor*r.route.EventGap) + silenceMargin
	first := limit
	if readsPrompt {
		first += prefillTimeFactor * r.Timings.PrefillLatency(r.service.Name, r.demand().PromptTokens)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	timer := time.AfterFunc(first, func() { cancel(errStalled) })
	return ctx, func() { timer.Reset(limit) }, func() {
		timer.Stop()
		cancel(nil)
	}
}

func (r *run) openStream(ctx context.Context, place *dispatch.Slot, handle *routing.Handle) (*routing.Answer, time.Duration, error) {
	r.begin(place.Endpoint)
	if handle == nil {
		place.SetLocalPrefill(true)
		defer place.SetLocalPrefill(false)
	}
	call := r.call
	call.TimeLeft = r.timeLeft()
	began := r.SinceBoot()
	place.MarkUsed()
	answer, err := r.Client.Decode(ctx, place.Endpoint, r.maxConns(), &call, handle, place.Reservation)
	if err == nil || !errors.Is(err, routing.ErrNotRun) {
		r.attempts++
		r.mayHaveRun = true
	}
	return answer, began, err
}

// free drops a KV cache that is not needed, beside the request.
func (r *run) free(h routing.Handle) {
	ep, ok := r.endpointAt(h.Source)
	if !ok || r.State.Paused(ep) {
		return // the KV cache lapses by itself
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.Client.FreeHandle(ctx, ep, h); err != nil {
			r.Logger.Info().Str("event", "kv.not_freed").Str("endpoint", ep.ID).Err(err).Msg("it lapses by itself")
		}
	}()
}

func (r *run) endpointAt(address string) (routing.Endpoint, bool) {
	for _, ep := range r.State.Stage(r.service.Name, routing.Prefill) {
		if ep.Address == address {
			return ep, true
		}
	}
	return routing.Endpoint{}, false
}
