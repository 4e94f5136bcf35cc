package modelpath

import (
	"errors"
	"io"
	"strings"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// attemptError is a failed attempt that may be repeated.
type attemptError struct {
	cause error
	// final forbids another attempt, for instance because the request itself is wrong.
	final bool
	// kvLost says that the prefill succeeded and its KV cache did not reach the decode engine.
	kvLost bool
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// forCaller is the error as callers see it: a bad gateway or a timeout, without the names of engines.
func (e *attemptError) forCaller() *fault.Error {
	kind := fault.EndpointFailed
	if fault.Is(e.cause, fault.Timeout) {
		kind = fault.Timeout
	}
	return fault.Wrap(e.cause, kind, openai.Unknown, "the model's engines failed and no further attempt is allowed; repeat the request after Retry-After")
}

// silent is implemented by errors of connections that went silent while the endpoint may be well.
type silent interface{ SilentConnection() bool }

func isSilent(err error) bool {
	var s silent
	return errors.As(err, &s) && s.SilentConnection()
}

// once makes one attempt.
func (r *run) once() error {
	r.attempt++
	id := attemptID(r.req.ID, r.attempt)
	placement, err := r.place(id)
	if err != nil {
		return err
	}
	defer placement.Release()
	r.Inflight.addAttempt(id)
	defer r.Inflight.removeAttempt(id)
	r.meters.attempts.Inc(1)
	kv, err := r.prefill(id, placement)
	if err != nil {
		return err
	}
	return r.decode(id, placement, kv)
}

func (r *run) place(id string) (Placement, error) {
	job := PlacementRequest{Request: r.req, AttemptID: id, DeliveredTokens: r.next, ExcludedEndpoints: r.exclude}
	placement, err := r.Placer.Place(r.ctx, job)
	if err != nil {
		return nil, err
	}
	waited := placement.QueueTime()
	if r.next == 0 {
		r.queued += waited
	}
	r.meters.queueTime.Update(waited.Milliseconds())
	if waited > 0 {
		r.event(event.RequestQueued, id, port.Endpoint{}, waited.String())
	}
	r.event(event.RequestReserved, id, placement.PrefillEndpoint(), "")
	return placement, nil
}

func (r *run) prefill(id string, placement Placement) (*engine.KVTransfer, error) {
	ep := placement.PrefillEndpoint()
	call := r.call(id, &engine.KVTransfer{DoRemoteDecode: true})
	r.event(event.PrefillStarted, id, ep, "")
	r.sent = true
	began := r.Clock.Now()
	result, err := r.Engine.Prefill(r.ctx, ep, call)
	if fault.Is(err, fault.NotFound) {
		err = fault.Wrap(err, fault.EndpointRefused, openai.NotRun, "the prefill engine does not serve the model")
	}
	r.engineTime(began)
	if err == nil && result.KVTransfer.RemoteRequestID != id {
		err = fault.New(fault.EndpointFailed, "the prefill engine answered for another attempt").WithOutcome(openai.Unknown)
	}
	if err != nil {
		return nil, r.failed(err, id, ep)
	}
	placement.FinishPrefill(result.CachedTokens)
	r.prefilled += result.PromptTokens - result.CachedTokens
	if r.next == 0 {
		r.promptTokens, r.cachedTokens = result.PromptTokens, result.CachedTokens
	}
	r.event(event.PrefillEnded, id, ep, "")
	kv := result.KVTransfer
	kv.DoRemoteDecode, kv.DoRemotePrefill = false, true
	return &kv, nil
}

func (r *run) decode(id string, placement Placement, kv *engine.KVTransfer) error {
	prefill := placement.PrefillEndpoint()
	ep, err := placement.DecodeEndpoint(r.ctx)
	if err != nil {
		r.Canceller.Cancel(prefill, id)
		return err
	}
	began := r.Clock.Now()
	ep, stream, err := r.open(id, ep, placement, kv)
	if err != nil {
		r.engineTime(began)
		return r.transferFailed(err, id, prefill, ep)
	}
	defer stream.Close()
	r.event(event.DecodeStarted, id, ep, "")
	before := r.next
	if err := r.relay(id, ep, stream, began); err != nil {
		if r.next == before && r.finish == "" && (isSilent(err) || fault.Is(err, fault.NotFound)) {
			return r.transferFailed(err, id, prefill, ep)
		}
		return r.failed(err, id, prefill, ep)
	}
	r.event(event.DecodeEnded, id, ep, "")
	return nil
}

// transferFailed types a failure before the first token. If the KV cache expired or its transfer stalled, the prefill
// may be repeated without the budget.
func (r *run) transferFailed(err error, id string, prefill, decode port.Endpoint) error {
	failed := r.failed(err, id, prefill, decode)
	failed.kvLost = fault.Is(err, fault.NotFound) || isSilent(err)
	if isSilent(err) {
		r.avoid(decode) // its link may be what stalls
	}
	return failed
}

// open starts the decode. While the exported KV cache lives, an engine that is full is asked again, and one that cannot
// be reached or refuses is replaced by another if there is one. Nothing ran in either case.
func (r *run) open(id string, ep port.Endpoint, placement Placement, kv *engine.KVTransfer) (port.Endpoint, port.TokenStream, error) {
	life := time.Duration(kv.ExpiresInMS) * time.Millisecond * kvUsablePercent / 100
	until := r.Clock.Now().Add(life)
	avoid := map[string]bool{}
	for {
		r.event(event.TransferStarted, id, ep, "")
		stream, err := r.Engine.Decode(r.ctx, ep, r.call(id, kv))
		if err == nil || !mayReopen(err) || r.ctx.Err() != nil || !r.Clock.Now().Before(until) {
			return ep, stream, err
		}
		avoid[ep.Name] = true
		if other, ok := r.otherDecode(placement, avoid); ok {
			ep = other
			continue
		}
		if !fault.Is(err, fault.EndpointRefused) {
			return ep, nil, err
		}
		left := max(0, until.Sub(r.Clock.Now()))
		r.pause(max(minRefusedPause, time.Duration(float64(refusedPause)*float64(left)/float64(life))))
	}
}

// mayReopen reports whether the engine has not taken the KV cache: it refused, or no connection was made.
func mayReopen(err error) bool {
	typed := fault.As(err)
	return typed.Kind == fault.EndpointRefused || typed.Kind == fault.EndpointFailed && typed.Outcome == openai.NotRun
}

// otherDecode moves the decode to another endpoint, which counts as a repeated attempt.
func (r *run) otherDecode(placement Placement, avoid map[string]bool) (port.Endpoint, bool) {
	other, ok := placement.SwitchDecodeEndpoint(r.ctx, avoid)
	if !ok || !r.budget.withdraw() {
		return port.Endpoint{}, false
	}
	r.meters.retries.Inc(1)
	return other, true
}

func (r *run) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// relay passes tokens on in order. A token the caller already has is dropped, and a gap fails the attempt.
func (r *run) relay(id string, ep port.Endpoint, stream port.TokenStream, began time.Time) error {
	first := true
	for {
		chunk, err := stream.Next()
		if err != nil && r.finish != "" && r.ctx.Err() == nil {
			return nil // the answer is complete, with or without the end marker
		}
		if errors.Is(err, io.EOF) {
			err = fault.New(fault.EndpointFailed, "the engine ended the stream without a finish reason").WithOutcome(openai.Unknown)
		}
		if err != nil {
			return err
		}
		if !isFor(chunk, id) {
			r.meters.dropped.Inc(1)
			continue
		}
		delivered, err := r.chunk(chunk)
		if err != nil {
			return err
		}
		if delivered && first {
			first = false
			r.firstToken(id, ep, began)
		}
	}
}

// isFor reports whether a chunk belongs to the attempt. Engines may put the type of the answer before the id.
func isFor(chunk openai.Completion, id string) bool {
	return chunk.ID == id || strings.HasSuffix(chunk.ID, "-"+id)
}

// chunk handles one chunk and reports whether it delivered a token.
func (r *run) chunk(chunk openai.Completion) (bool, error) {
	if len(chunk.Choices) == 0 || r.finish != "" {
		return false, nil
	}
	choice := chunk.Choices[0]
	text := choiceText(choice)
	delivered := false
	// A finish reason without text is an end marker and no token.
	if text != "" || choice.TokenIndex != nil && choice.FinishReason == nil {
		index := r.next
		if choice.TokenIndex != nil {
			index = *choice.TokenIndex
		}
		if index < r.next {
			r.meters.dropped.Inc(1)
			return false, nil
		}
		if index > r.next {
			return false, fault.New(fault.EndpointFailed, "the engine skipped a token").WithOutcome(openai.Unknown)
		}
		if err := r.sink.WriteToken(text); err != nil {
			return false, fault.Wrap(err, fault.CallerGone, openai.Partial, "the caller takes no bytes")
		}
		r.text = append(r.text, text...)
		r.next++
		r.meters.outputTokens.Inc(1)
		delivered = true
	}
	if choice.FinishReason != nil {
		r.finish = *choice.FinishReason
	}
	return delivered, nil
}

func choiceText(c openai.Choice) string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Text != nil:
		return *c.Text
	default:
		return ""
	}
}

func (r *run) firstToken(id string, ep port.Endpoint, decodeBegan time.Time) {
	r.event(event.FirstToken, id, ep, "")
	if r.next != 1 {
		return
	}
	r.engineTime(decodeBegan)
	r.meters.firstToken(r.Clock.Now().Sub(r.req.AcceptedAt), r.queued, r.engines)
}

// failed cancels the attempt at the engines that may hold something for it and excludes the endpoint that failed, which
// is the last one given.
func (r *run) failed(err error, id string, eps ...port.Endpoint) *attemptError {
	typed := fault.As(err)
	last := eps[len(eps)-1]
	for _, ep := range eps {
		r.Canceller.Cancel(ep, id)
	}
	if !isSilent(err) && typed.Kind != fault.NotFound {
		r.avoid(last)
	}
	kind := event.AttemptFailed
	if r.ctx.Err() != nil {
		kind = event.AttemptCancelled
	}
	r.event(kind, id, last, typed.Error())
	final := typed.Kind == fault.BadRequest || typed.Kind == fault.CallerGone
	return &attemptError{cause: err, final: final}
}

// avoid keeps later attempts of this request away from the endpoint, as long as there are others.
func (r *run) avoid(ep port.Endpoint) {
	if r.exclude == nil {
		r.exclude = map[string]bool{}
	}
	r.exclude[ep.Name] = true
}

func (r *run) call(id string, kv *engine.KVTransfer) port.EngineCall {
	call := port.EngineCall{
		Path: r.req.Path, Body: r.req.Body, Stream: kv.DoRemotePrefill, MaxTokens: r.req.MaxTokens,
		Extension: engine.Extension{RequestID: id, Priority: r.req.Class.Priority, KVTransfer: kv},
	}
	if r.next > 0 {
		call.Extension.Continuation = &engine.Continuation{Text: string(r.text), Tokens: r.next}
	}
	return call
}

func (r *run) engineTime(began time.Time) {
	if r.next <= 1 {
		r.engines += r.Clock.Now().Sub(began)
	}
}

func (r *run) event(kind event.Kind, id string, ep port.Endpoint, detail string) {
	r.Events.Record(event.Event{Kind: kind, Request: id, Customer: r.req.Customer.Name, Endpoint: ep.Name, Detail: detail})
}
