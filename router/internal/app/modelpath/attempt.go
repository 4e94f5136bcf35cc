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

// attemptError is the error of a failed attempt. The request may be retried unless the error is permanent.
type attemptError struct {
	cause error
	// permanent is true if a retry cannot succeed, for instance because the request itself is invalid.
	permanent bool
	// kvLost is true if the prefill succeeded but its KV cache did not reach the decode engine.
	kvLost bool
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// callerError returns the error that is reported to the caller: a bad gateway or a timeout, without the names of engines.
func (e *attemptError) callerError() *fault.Error {
	kind := fault.EndpointFailed
	if fault.Is(e.cause, fault.Timeout) {
		kind = fault.Timeout
	}
	return fault.Wrap(e.cause, kind, openai.Unknown, "the model's engines failed and no further attempt is allowed; repeat the request after Retry-After")
}

// silentConnectionError is implemented by errors of connections that delivered nothing for too long, although the endpoint may
// be healthy.
type silentConnectionError interface{ SilentConnection() bool }

func isSilentConnection(err error) bool {
	var s silentConnectionError
	return errors.As(err, &s) && s.SilentConnection()
}

// runAttempt makes one attempt: placement, prefill and decode.
func (r *execution) runAttempt() error {
	r.attemptCount++
	id := attemptID(r.req.ID, r.attemptCount)
	placement, err := r.place(id)
	if err != nil {
		return err
	}
	defer placement.Release()
	r.Inflight.addAttempt(id)
	defer r.Inflight.removeAttempt(id)
	r.metrics.attempts.Inc(1)
	kv, err := r.prefill(id, placement)
	if err != nil {
		return err
	}
	return r.decode(id, placement, kv)
}

func (r *execution) place(id string) (Placement, error) {
	job := PlacementRequest{Request: r.req, AttemptID: id, DeliveredTokens: r.deliveredTokens, ExcludedEndpoints: r.excludedEndpoints}
	placement, err := r.Placer.Place(r.ctx, job)
	if err != nil {
		return nil, err
	}
	waited := placement.QueueTime()
	if r.deliveredTokens == 0 {
		r.queueTime += waited
	}
	r.metrics.queueTime.Update(waited.Milliseconds())
	if waited > 0 {
		r.recordEvent(event.RequestQueued, id, port.Endpoint{}, waited.String())
	}
	r.recordEvent(event.RequestReserved, id, placement.PrefillEndpoint(), "")
	return placement, nil
}

func (r *execution) prefill(id string, placement Placement) (*engine.KVTransfer, error) {
	ep := placement.PrefillEndpoint()
	call := r.engineCall(id, &engine.KVTransfer{DoRemoteDecode: true})
	if !r.open.markSent() {
		return nil, drainingError()
	}
	r.recordEvent(event.PrefillStarted, id, ep, "")
	r.sent = true
	began := r.Clock.Now()
	result, err := r.Engine.Prefill(r.ctx, ep, call)
	if fault.Is(err, fault.NotFound) {
		err = fault.Wrap(err, fault.EndpointRefused, openai.NotRun, "the prefill engine does not serve the model")
	}
	r.addEngineTime(began)
	if err == nil && result.KVTransfer.RemoteRequestID != id {
		err = fault.New(fault.EndpointFailed, "the prefill engine answered for another attempt").WithOutcome(openai.Unknown)
	}
	if err != nil {
		return nil, r.failAttempt(err, id, ep)
	}
	placement.FinishPrefill(result.CachedTokens)
	r.pendingPrefillTokens += result.PromptTokens - result.CachedTokens
	if r.deliveredTokens == 0 {
		r.promptTokens, r.cachedTokens = result.PromptTokens, result.CachedTokens
	}
	r.recordEvent(event.PrefillEnded, id, ep, "")
	kv := result.KVTransfer
	kv.DoRemoteDecode, kv.DoRemotePrefill = false, true
	return &kv, nil
}

func (r *execution) decode(id string, placement Placement, kv *engine.KVTransfer) error {
	prefill := placement.PrefillEndpoint()
	ep, err := placement.DecodeEndpoint(r.ctx)
	if err != nil {
		r.Canceller.Cancel(prefill, id)
		return err
	}
	began := r.Clock.Now()
	ep, stream, err := r.openDecode(id, ep, placement, kv)
	if err != nil {
		r.addEngineTime(began)
		return r.failTransfer(err, id, prefill, ep)
	}
	defer stream.Close()
	r.recordEvent(event.DecodeStarted, id, ep, "")
	before := r.deliveredTokens
	if err := r.relayTokens(id, ep, stream, began); err != nil {
		if r.deliveredTokens == before && r.finishReason == "" && (isSilentConnection(err) || fault.Is(err, fault.NotFound)) {
			return r.failTransfer(err, id, prefill, ep)
		}
		return r.failAttempt(err, id, prefill, ep)
	}
	r.recordEvent(event.DecodeEnded, id, ep, "")
	return nil
}

// failTransfer fails an attempt before its first token. If the KV cache expired or its transfer stalled, the error allows one
// new prefill that does not count against the retry budget.
func (r *execution) failTransfer(err error, id string, prefill, decode port.Endpoint) error {
	failed := r.failAttempt(err, id, prefill, decode)
	failed.kvLost = fault.Is(err, fault.NotFound) || isSilentConnection(err)
	if isSilentConnection(err) {
		r.excludeEndpoint(decode) // the stall may come from the link of this endpoint
	}
	return failed
}

// openDecode starts the decode. While the exported KV cache is valid, it retries an engine that is full, and switches to another
// engine, if there is one, when the engine refuses, cannot be reached, or leaves. In all cases no decode has started.
func (r *execution) openDecode(id string, ep port.Endpoint, placement Placement, kv *engine.KVTransfer) (port.Endpoint, port.TokenStream, error) {
	life := time.Duration(kv.ExpiresInMS) * time.Millisecond * kvTransferStartPercent / 100
	until := r.Clock.Now().Add(life)
	avoid := map[string]bool{}
	for {
		if placement.DecodeLeaves() { // the prefill and waits for a full engine may take seconds
			avoid[ep.Name] = true
			other, ok := r.switchDecode(placement, avoid)
			if !ok {
				return ep, nil, fault.New(fault.EndpointRefused, "the decode engine leaves, and no other one has room")
			}
			ep = other
			continue
		}
		r.recordEvent(event.TransferStarted, id, ep, "")
		stream, err := r.Engine.Decode(r.ctx, ep, r.engineCall(id, kv))
		if err == nil || !isDecodeRetryable(err) || r.ctx.Err() != nil || !r.Clock.Now().Before(until) {
			return ep, stream, err
		}
		avoid[ep.Name] = true
		if other, ok := r.switchDecode(placement, avoid); ok {
			ep = other
			continue
		}
		if !fault.Is(err, fault.EndpointRefused) {
			return ep, nil, err
		}
		left := max(0, until.Sub(r.Clock.Now()))
		r.sleep(max(minDecodeRetryDelay, time.Duration(float64(maxDecodeRetryDelay)*float64(left)/float64(life))))
	}
}

// isDecodeRetryable reports whether the engine has not taken the KV cache: it refused the request, or no connection was made.
func isDecodeRetryable(err error) bool {
	typed := fault.As(err)
	return typed.Kind == fault.EndpointRefused || typed.Kind == fault.EndpointFailed && typed.Outcome == openai.NotRun
}

// switchDecode moves the decode to another endpoint. This counts as a retry against the budget.
func (r *execution) switchDecode(placement Placement, avoid map[string]bool) (port.Endpoint, bool) {
	other, ok := placement.SwitchDecodeEndpoint(r.ctx, avoid)
	if !ok || !r.budget.withdraw() {
		return port.Endpoint{}, false
	}
	r.metrics.retries.Inc(1)
	return other, true
}

func (r *execution) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// relayTokens writes the tokens to the caller in order. It drops tokens that the caller already has and fails the attempt at a
// gap.
func (r *execution) relayTokens(id string, ep port.Endpoint, stream port.TokenStream, began time.Time) error {
	first := true
	for {
		chunk, err := stream.Next()
		if err != nil && r.finishReason != "" && r.ctx.Err() == nil {
			return nil // the answer is complete, with or without the end marker
		}
		if errors.Is(err, io.EOF) {
			err = fault.New(fault.EndpointFailed, "the engine ended the stream without a finish reason").WithOutcome(openai.Unknown)
		}
		if err != nil {
			return err
		}
		if !belongsToAttempt(chunk, id) {
			r.metrics.droppedChunks.Inc(1)
			continue
		}
		delivered, err := r.handleChunk(chunk)
		if err != nil {
			return err
		}
		if delivered && first {
			first = false
			r.recordFirstToken(id, ep, began)
		}
	}
}

// belongsToAttempt reports whether a chunk belongs to the attempt. Engines may prefix the id with the type of the answer.
func belongsToAttempt(chunk openai.Completion, id string) bool {
	return chunk.ID == id || strings.HasSuffix(chunk.ID, "-"+id)
}

// handleChunk processes one chunk and reports whether it delivered a token.
func (r *execution) handleChunk(chunk openai.Completion) (bool, error) {
	if len(chunk.Choices) == 0 || r.finishReason != "" {
		return false, nil
	}
	choice := chunk.Choices[0]
	text := choiceText(choice)
	delivered := false
	// A chunk with a finish reason and no text is an end marker, not a token.
	if text != "" || choice.TokenIndex != nil && choice.FinishReason == nil {
		index := r.deliveredTokens
		if choice.TokenIndex != nil {
			index = *choice.TokenIndex
		}
		if index < r.deliveredTokens {
			r.metrics.droppedChunks.Inc(1)
			return false, nil
		}
		if index > r.deliveredTokens {
			return false, fault.New(fault.EndpointFailed, "the engine skipped a token").WithOutcome(openai.Unknown)
		}
		if err := r.writer.WriteToken(text); err != nil {
			return false, fault.Wrap(err, fault.CallerDisconnected, openai.Partial, "the caller takes no bytes")
		}
		r.deliveredText = append(r.deliveredText, text...)
		r.deliveredTokens++
		r.metrics.outputTokens.Inc(1)
		delivered = true
	}
	if choice.FinishReason != nil {
		r.finishReason = *choice.FinishReason
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

func (r *execution) recordFirstToken(id string, ep port.Endpoint, decodeBegan time.Time) {
	r.recordEvent(event.FirstToken, id, ep, "")
	if r.deliveredTokens != 1 {
		return
	}
	r.addEngineTime(decodeBegan)
	r.metrics.observeFirstToken(r.Clock.Now().Sub(r.req.AcceptedAt), r.queueTime, r.engineTime)
}

// failAttempt cancels the attempt at eps, the endpoints that may hold state for it, and excludes the last of them, which is the
// one that failed. An endpoint whose connection went silent or that no longer has the KV cache is not excluded.
func (r *execution) failAttempt(err error, id string, eps ...port.Endpoint) *attemptError {
	typed := fault.As(err)
	last := eps[len(eps)-1]
	for _, ep := range eps {
		r.Canceller.Cancel(ep, id)
	}
	if !isSilentConnection(err) && typed.Kind != fault.NotFound {
		r.excludeEndpoint(last)
	}
	kind := event.AttemptFailed
	if r.ctx.Err() != nil {
		kind = event.AttemptCancelled
	}
	r.recordEvent(kind, id, last, typed.Error())
	final := typed.Kind == fault.BadRequest || typed.Kind == fault.CallerDisconnected
	return &attemptError{cause: err, permanent: final}
}

// excludeEndpoint makes later attempts of this request avoid the endpoint as long as there are others.
func (r *execution) excludeEndpoint(ep port.Endpoint) {
	if r.excludedEndpoints == nil {
		r.excludedEndpoints = map[string]bool{}
	}
	r.excludedEndpoints[ep.Name] = true
}

func (r *execution) engineCall(id string, kv *engine.KVTransfer) port.EngineCall {
	call := port.EngineCall{
		Path: r.req.Path, Body: r.req.Body, Stream: kv.DoRemotePrefill, MaxTokens: r.req.MaxTokens,
		Extension: engine.Extension{RequestID: id, Priority: r.req.Class.Priority, KVTransfer: kv},
	}
	if r.deliveredTokens > 0 {
		call.Extension.Continuation = &engine.Continuation{Text: string(r.deliveredText), Tokens: r.deliveredTokens}
	}
	return call
}

func (r *execution) addEngineTime(began time.Time) {
	if r.deliveredTokens <= 1 {
		r.engineTime += r.Clock.Now().Sub(began)
	}
}

func (r *execution) recordEvent(kind event.Kind, id string, ep port.Endpoint, detail string) {
	r.Events.Record(event.Event{Kind: kind, Request: id, Customer: r.req.Customer.Name, Endpoint: ep.Name, Detail: detail})
}
