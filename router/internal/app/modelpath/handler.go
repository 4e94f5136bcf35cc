package modelpath

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// maxAttempts bounds the attempts of one request, independently of the retry budget.
	maxAttempts = 4
	// drainRetryAfter is the Retry-After of a draining instance: the time a load balancer takes to stop sending to it.
	drainRetryAfter = time.Second
	// failureRetryAfter is the Retry-After of a failed request: the time in which the fleet detects a dead endpoint.
	failureRetryAfter = 3 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// maxDecodeRetryDelay is the initial delay between retries at a decode engine that is full, about two decode steps. The
	// delay shrinks to minDecodeRetryDelay as the KV cache nears its expiry, so that among the attempts that wait for a slot the
	// most urgent one asks most often. With equal delays, some attempts lost every slot to later ones until they failed.
	maxDecodeRetryDelay = 25 * time.Millisecond
	minDecodeRetryDelay = 2 * time.Millisecond
	// kvTransferStartPercent is the share of the KV cache's lifetime within which a transfer may start.
	kvTransferStartPercent = 90
)

// Deps are the dependencies of a Handler.
type Deps struct {
	Config    port.Config
	Admission port.Admission
	Placer    Placer
	Engine    port.Engine
	Canceller Canceller
	Clock     port.Clock
	Events    port.EventLog
	Metrics   metrics.Registry
	Inflight  *InflightRegistry
}

// Handler serves model requests.
type Handler struct {
	Deps
	metrics *handlerMetrics
	budget  *retryBudget
}

// New returns a Handler that is subscribed to configuration changes, to cancel requests whose key is withdrawn.
func New(d Deps) *Handler {
	p := &Handler{Deps: d, budget: newRetryBudget()}
	p.metrics = newHandlerMetrics(d.Metrics, d.Inflight)
	d.Config.Subscribe(p.cancelWithdrawn)
	return p
}

func (p *Handler) cancelWithdrawn(s *config.Snapshot) {
	for _, customer := range p.Inflight.cancelWithdrawn(s) {
		p.Events.Record(event.Event{Kind: event.KeyWithdrawn, Customer: customer})
	}
}

// WaitIdle returns once no request is open. Call InflightRegistry.StopAccepting first, or new requests keep it waiting.
func (p *Handler) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.Inflight.OpenRequests() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Serve processes one request and writes the answer's tokens to w. The outcome of a returned *fault.Error says how far the
// request got.
func (p *Handler) Serve(ctx context.Context, req *Request, w TokenWriter) (Result, error) {
	p.metrics.requests.Inc(1)
	p.record(event.RequestAccepted, req, "")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	open := &openRequest{customer: req.Customer.Name, digest: req.KeyDigest, cancel: cancel}
	if err := p.Inflight.addRequest(req.ID, open); err != nil {
		return Result{}, p.refuse(req, err)
	}
	defer p.Inflight.removeRequest(req.ID)
	// The key may have been withdrawn between authentication and registration.
	if !isKeyGranted(p.Config.Current(), open) {
		return Result{}, p.refuse(req, keyWithdrawnError())
	}
	p.budget.deposit(p.Config.Current().Catalogue.Policy.RetryBudgetPercent)
	r := &execution{Handler: p, ctx: ctx, req: req, writer: w, open: open}
	err := r.admit()
	if err == nil {
		err = r.runAttempts()
		r.settleCharge(err)
	}
	if err != nil {
		return Result{}, p.refuse(req, r.finalError(err))
	}
	p.metrics.answered.Inc(1)
	p.record(event.RequestEnded, req, "")
	return Result{Usage: r.usage(), FinishReason: r.finishReason}, nil
}

func (p *Handler) refuse(req *Request, err error) error {
	typed := fault.As(err)
	p.metrics.countRefusal(typed.Kind)
	kind := event.RequestRefused
	if typed.Kind == fault.CallerDisconnected {
		kind = event.CallerGone
	}
	p.record(kind, req, string(typed.Kind)+" "+string(typed.Outcome))
	return typed
}

func (p *Handler) record(kind event.Kind, req *Request, detail string) {
	p.Events.Record(event.Event{Kind: kind, Request: req.ID, Customer: req.Customer.Name, Detail: detail})
}

// execution is the state of one request.
type execution struct {
	*Handler
	ctx    context.Context
	req    *Request
	writer TokenWriter
	open   *openRequest
	charge port.Charge

	attemptCount      int
	excludedEndpoints map[string]bool
	// sent is true once a byte may have reached an endpoint.
	sent bool
	// kvRetryUsed is true once a prefill was repeated because its KV cache was lost.
	kvRetryUsed bool

	deliveredText   []byte
	deliveredTokens int64
	finishReason    string
	promptTokens    int64
	cachedTokens    int64
	// pendingPrefillTokens counts the tokens of prefills that have not led to an answer.
	pendingPrefillTokens int64

	queueTime  time.Duration
	engineTime time.Duration
}

func (r *execution) admit() error {
	began := r.Clock.Now()
	charge, err := r.Admission.Admit(r.ctx, r.req.Customer, r.req.PromptTokens+r.req.MaxTokens, r.maxAdmissionWait())
	waited := r.Clock.Now().Sub(began)
	r.queueTime += waited
	r.metrics.admissionTime.Update(waited.Milliseconds())
	if err != nil {
		return err
	}
	r.charge = charge
	r.Events.Record(event.Event{
		Kind: event.RequestAdmitted, Request: r.req.ID, Customer: r.req.Customer.Name,
		Tokens: r.req.PromptTokens + r.req.MaxTokens,
	})
	return nil
}

// runAttempts makes attempts until the answer is complete or no retry is allowed.
func (r *execution) runAttempts() error {
	for {
		err := r.runAttempt()
		if err == nil {
			r.metrics.prefillTokens.Inc(r.pendingPrefillTokens)
			return nil
		}
		r.metrics.prefillTokens.Inc(r.pendingPrefillTokens)
		r.metrics.wastedPrefillTokens.Inc(r.pendingPrefillTokens)
		r.pendingPrefillTokens = 0
		if !r.shouldRetry(err) {
			return err
		}
	}
}

func (r *execution) shouldRetry(err error) bool {
	if r.ctx.Err() != nil || r.attemptCount >= maxAttempts {
		return false
	}
	var failed *attemptError
	if !errors.As(err, &failed) || failed.permanent {
		return false
	}
	if failed.kvLost && !r.kvRetryUsed {
		r.kvRetryUsed = true
		return true
	}
	if !r.budget.withdraw() {
		return false
	}
	r.metrics.retries.Inc(1)
	return true
}

// settleCharge charges the tokens used. A request that failed without output is free unless its caller disconnected; otherwise
// callers could get work for free by disconnecting.
func (r *execution) settleCharge(err error) {
	prompt := r.promptTokens
	switch {
	case !r.sent:
		r.charge.Cancel()
	case err == nil || r.deliveredTokens > 0:
		r.charge.Settle(prompt + r.deliveredTokens)
	case r.ctx.Err() != nil || fault.Is(err, fault.CallerDisconnected):
		r.charge.Settle(max(prompt, r.req.PromptTokens))
	default:
		r.charge.Settle(0)
	}
	r.Events.Record(event.Event{
		Kind: event.RequestSettled, Request: r.req.ID, Customer: r.req.Customer.Name, Tokens: prompt + r.deliveredTokens,
	})
}

// finalError converts err to the error that is returned to the caller. Its outcome depends on what reached an endpoint and the
// caller.
func (r *execution) finalError(err error) error {
	if cause := context.Cause(r.ctx); cause != nil {
		var typed *fault.Error
		if !errors.As(cause, &typed) {
			typed = fault.Wrap(cause, fault.CallerDisconnected, openai.Unknown, "the caller is gone")
		}
		return typed.WithOutcome(r.cancelledOutcome())
	}
	typed := fault.As(err)
	var failed *attemptError
	switch {
	case typed.Kind == fault.CallerDisconnected:
		return typed.WithOutcome(r.cancelledOutcome())
	case typed.Kind == fault.BadRequest && r.deliveredTokens == 0:
		return typed.WithOutcome(openai.Unknown) // the engine has read the request
	case errors.As(err, &failed):
		typed = failed.callerError()
	}
	if r.deliveredTokens > 0 {
		return typed.WithOutcome(openai.Partial)
	}
	if r.sent {
		return typed.WithOutcome(openai.Unknown).WithRetryAfter(max(typed.RetryAfter, failureRetryAfter))
	}
	return typed
}

func (r *execution) cancelledOutcome() openai.Outcome {
	if r.sent {
		return openai.Partial
	}
	return openai.NotRun
}

func (r *execution) usage() openai.Usage {
	u := openai.Usage{PromptTokens: r.promptTokens, CompletionTokens: r.deliveredTokens, TotalTokens: r.promptTokens + r.deliveredTokens}
	if r.cachedTokens > 0 {
		u.PromptTokensDetails = &openai.PromptDetails{CachedTokens: r.cachedTokens}
	}
	return u
}
