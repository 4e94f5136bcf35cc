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
	// maxAttempts bounds the attempts of one request, whatever the budget holds.
	maxAttempts = 4
	// retryWhenDraining is how long a balancer takes to stop sending to a stopping instance.
	retryWhenDraining = time.Second
	// retryAfterFailure tells the caller of a failed request when the fleet has noticed a dead endpoint.
	retryAfterFailure = 3 * time.Second
	drainPoll         = 20 * time.Millisecond
	// refusedPause is the time between two questions to a decode engine that is full, at first: about two decode steps.
	// It shrinks to minRefusedPause as the KV cache's life runs out, so that of several attempts that wait for one slot
	// the most urgent asks most often. With equal pauses some attempts lost every slot to later ones until they failed.
	refusedPause    = 25 * time.Millisecond
	minRefusedPause = 2 * time.Millisecond
	// kvUsablePercent is the part of the exported KV cache's life in which a transfer may begin.
	kvUsablePercent = 90
)

// Deps are the parts that a path works with.
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
	meters *meters
	budget *retryBudget
}

// New returns a path. It subscribes to the configuration to end requests whose key is withdrawn.
func New(d Deps) *Handler {
	p := &Handler{Deps: d, budget: newRetryBudget()}
	p.meters = newMeters(d.Metrics, d.Inflight)
	d.Config.Subscribe(p.withdraw)
	return p
}

func (p *Handler) withdraw(s *config.Snapshot) {
	for _, customer := range p.Inflight.withdraw(s) {
		p.Events.Record(event.Event{Kind: event.KeyWithdrawn, Customer: customer})
	}
}

// WaitIdle returns once no request is open. Call Registry.StopAccepting before.
func (p *Handler) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
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

// Serve answers one request. The answer's tokens go to the sink; a typed error says what became of the request.
func (p *Handler) Serve(ctx context.Context, req *Request, sink TokenWriter) (Result, error) {
	p.meters.requests.Inc(1)
	p.record(event.RequestAccepted, req, "")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	open := &openRequest{customer: req.Customer.Name, digest: req.KeyDigest, cancel: cancel}
	if err := p.Inflight.add(req.ID, open); err != nil {
		return Result{}, p.refuse(req, err)
	}
	defer p.Inflight.remove(req.ID)
	// The key may have been withdrawn between authentication and the entry in the registry.
	if !granted(p.Config.Current(), open) {
		return Result{}, p.refuse(req, errWithdrawn())
	}
	p.budget.deposit(p.Config.Current().Catalogue.Policy.RetryBudgetPercent)
	r := &run{Handler: p, ctx: ctx, req: req, sink: sink}
	err := r.admit()
	if err == nil {
		err = r.attempts()
		r.settle(err)
	}
	if err != nil {
		return Result{}, p.refuse(req, r.final(err))
	}
	p.meters.answered.Inc(1)
	p.record(event.RequestEnded, req, "")
	return Result{Usage: r.usage(), FinishReason: r.finish}, nil
}

func (p *Handler) refuse(req *Request, err error) error {
	typed := fault.As(err)
	p.meters.refused(typed.Kind)
	kind := event.RequestRefused
	if typed.Kind == fault.CallerGone {
		kind = event.CallerGone
	}
	p.record(kind, req, string(typed.Kind)+" "+string(typed.Outcome))
	return typed
}

func (p *Handler) record(kind event.Kind, req *Request, detail string) {
	p.Events.Record(event.Event{Kind: kind, Request: req.ID, Customer: req.Customer.Name, Detail: detail})
}

// run is the state of one request.
type run struct {
	*Handler
	ctx    context.Context
	req    *Request
	sink   TokenWriter
	charge port.Charge

	attempt int
	exclude map[string]bool
	// sent is true once a byte may have reached an endpoint.
	sent bool
	// repeatedKV is true once a prefill was repeated because its KV cache was lost.
	repeatedKV bool

	text         []byte
	next         int64
	finish       string
	promptTokens int64
	cachedTokens int64
	// prefilled holds the tokens of prefills that have not led to an answer.
	prefilled int64

	queued  time.Duration
	engines time.Duration
}

func (r *run) admit() error {
	began := r.Clock.Now()
	charge, err := r.Admission.Admit(r.ctx, r.req.Customer, r.req.PromptTokens+r.req.MaxTokens, r.tokenPatience())
	waited := r.Clock.Now().Sub(began)
	r.queued += waited
	r.meters.admitTime.Update(waited.Milliseconds())
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

// attempts repeats attempts until the answer is complete or no further attempt is allowed.
func (r *run) attempts() error {
	for {
		err := r.once()
		if err == nil {
			r.meters.prefillTokens.Inc(r.prefilled)
			return nil
		}
		r.meters.prefillTokens.Inc(r.prefilled)
		r.meters.wastedPrefill.Inc(r.prefilled)
		r.prefilled = 0
		if !r.mayRepeat(err) {
			return err
		}
	}
}

func (r *run) mayRepeat(err error) bool {
	if r.ctx.Err() != nil || r.attempt >= maxAttempts {
		return false
	}
	var failed *attemptError
	if !errors.As(err, &failed) || failed.final {
		return false
	}
	if failed.kvLost && !r.repeatedKV {
		r.repeatedKV = true
		return true
	}
	if !r.budget.withdraw() {
		return false
	}
	r.meters.retries.Inc(1)
	return true
}

// settle charges what was used. A request that failed without output is not charged, unless its caller left: work done
// for callers that leave would otherwise be free.
func (r *run) settle(err error) {
	prompt := r.promptTokens
	switch {
	case !r.sent:
		r.charge.Cancel()
	case err == nil || r.next > 0:
		r.charge.Settle(prompt + r.next)
	case r.ctx.Err() != nil || fault.Is(err, fault.CallerGone):
		r.charge.Settle(max(prompt, r.req.PromptTokens))
	default:
		r.charge.Settle(0)
	}
	r.Events.Record(event.Event{
		Kind: event.RequestSettled, Request: r.req.ID, Customer: r.req.Customer.Name, Tokens: prompt + r.next,
	})
}

// final types the error that ends a request. The outcome depends on what reached an endpoint and the caller.
func (r *run) final(err error) error {
	if cause := context.Cause(r.ctx); cause != nil {
		var typed *fault.Error
		if !errors.As(cause, &typed) {
			typed = fault.Wrap(cause, fault.CallerGone, openai.Unknown, "the caller is gone")
		}
		return typed.WithOutcome(r.cutOutcome())
	}
	typed := fault.As(err)
	var failed *attemptError
	switch {
	case typed.Kind == fault.CallerGone:
		return typed.WithOutcome(r.cutOutcome())
	case typed.Kind == fault.BadRequest && r.next == 0:
		return typed.WithOutcome(openai.Unknown) // the engine read it
	case errors.As(err, &failed):
		typed = failed.forCaller()
	}
	if r.next > 0 {
		return typed.WithOutcome(openai.Partial)
	}
	if r.sent {
		return typed.WithOutcome(openai.Unknown).WithRetryAfter(max(typed.RetryAfter, retryAfterFailure))
	}
	return typed
}

func (r *run) cutOutcome() openai.Outcome {
	if r.sent {
		return openai.Partial
	}
	return openai.NotRun
}

func (r *run) usage() openai.Usage {
	u := openai.Usage{PromptTokens: r.promptTokens, CompletionTokens: r.next, TotalTokens: r.promptTokens + r.next}
	if r.cachedTokens > 0 {
		u.PromptTokensDetails = &openai.PromptDetails{CachedTokens: r.cachedTokens}
	}
	return u
}
