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
	r.Registry.addAttempt(id)
	defer r.Registry.removeAttempt(id)
	r.meters.attempts.Inc(1)
	kv, err := r.prefill(id, placement)
	if err != nil {
		return err
	}
	return r.decode(id, placement, kv)
}

func (r *run) place(id string) (Placement, error) {
	began := r.Clock.Now()
	job := Job{Request: r.req, Attempt: id, Delivered: r.next, Exclude: r.exclude}
	placement, err := r.Placer.Place(r.ctx, job)
	waited := r.Clock.Now().Sub(began)
	if r.next == 0 {
		r.queued += waited
	}
	r.meters.queueTime.Update(waited.Milliseconds())
	if err != nil {
		return nil, err
	}
	r.event(event.RequestReserved, id, placement.Prefill(), "")
	return placement, nil
}

func (r *run) prefill(id string, placement Placement) (*engine.KVTransfer, error) {
	ep := placement.Prefill()
	call := r.call(id, &engine.KVTransfer{DoRemoteDecode: true})
	r.event(event.PrefillStarted, id, ep, "")
	r.sent = true
	began := r.Clock.Now()
	result, err := r.Engine.Prefill(r.ctx, ep, call)
	r.engineTime(began)
	if err == nil && result.KVTransfer.RemoteRequestID != id {
		err = fault.New(fault.EndpointFailed, "the prefill engine answered for another attempt").WithOutcome(openai.Unknown)
	}
	if err != nil {
		return nil, r.failed(err, id, ep)
	}
	placement.PrefillEnded(result.CachedTokens)
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
	prefill := placement.Prefill()
	ep, err := placement.Decode(r.ctx)
	if err != nil {
		r.Canceller.Cancel(prefill, id)
		return err
	}
	r.event(event.TransferStarted, id, ep, "")
	began := r.Clock.Now()
	stream, err := r.Engine.Decode(r.ctx, ep, r.call(id, kv))
	if err != nil {
		r.engineTime(began)
		failed := r.failed(err, id, prefill, ep)
		failed.kvLost = fault.Is(err, fault.NotFound) || isSilent(err)
		return failed
	}
	defer stream.Close()
	r.event(event.DecodeStarted, id, ep, "")
	before := r.next
	err = r.relay(id, ep, stream, began)
	if err != nil {
		failed := r.failed(err, id, prefill, ep)
		// No token came at all: the transfer stalled or the KV cache was gone when it began.
		failed.kvLost = r.next == before && (isSilent(err) || fault.Is(err, fault.NotFound))
		return failed
	}
	r.event(event.DecodeEnded, id, ep, "")
	return nil
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
		if !strings.Contains(chunk.ID, id) {
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

// chunk handles one chunk and reports whether it delivered a token.
func (r *run) chunk(chunk openai.Completion) (bool, error) {
	if len(chunk.Choices) == 0 || r.finish != "" {
		return false, nil
	}
	choice := chunk.Choices[0]
	text := choiceText(choice)
	delivered := false
	if choice.TokenIndex != nil || text != "" {
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
		if err := r.sink.Token(text); err != nil {
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
	r.meters.firstToken(r.Clock.Now().Sub(r.req.Accepted), r.queued, r.engines)
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
		if r.exclude == nil {
			r.exclude = map[string]bool{}
		}
		r.exclude[last.Name] = true
	}
	kind := event.AttemptFailed
	if r.ctx.Err() != nil {
		kind = event.AttemptCancelled
	}
	r.event(kind, id, last, typed.Error())
	final := typed.Kind == fault.BadRequest || typed.Kind == fault.CallerGone
	return &attemptError{cause: err, final: final}
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
	r.Log.Record(event.Event{Kind: kind, Request: id, Customer: r.req.Customer.Name, Endpoint: ep.Name, Detail: detail})
}
