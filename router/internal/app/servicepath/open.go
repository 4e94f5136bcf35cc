package servicepath

import (
	"context"
	"errors"
	"sync"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// errWithdrawn is the cause of a context that ended because the caller's key was withdrawn.
var errWithdrawn = errors.New("the key was withdrawn")

// errCutOff is the cause of a context that ended because a planned stop reached its time limit.
var errCutOff = errors.New("the instance stops and the call did not finish in time")

// openCalls knows the calls that are being carried, to end those whose key is withdrawn.
type openCalls struct {
	mu    sync.Mutex
	calls map[*openCall]struct{}
}

type openCall struct {
	// keyless calls came on open routes, where no key can be withdrawn.
	keyless  bool
	digest   config.KeyDigest
	customer string
	cancel   context.CancelCauseFunc
}

func newOpenCalls() *openCalls { return &openCalls{calls: make(map[*openCall]struct{})} }

// enter registers the call until done is called.
func (o *openCalls) enter(ctx context.Context, c *Call, cfg port.Config) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	entry := &openCall{keyless: c.Customer == nil, digest: c.KeyDigest, customer: c.customerName(), cancel: cancel}
	o.mu.Lock()
	o.calls[entry] = struct{}{}
	o.mu.Unlock()
	entry.check(cfg.Current()) // the key may have been withdrawn after it was checked and before the registration
	return ctx, func() {
		o.mu.Lock()
		delete(o.calls, entry)
		o.mu.Unlock()
		cancel(nil)
	}
}

// withdraw ends the calls whose key the snapshot no longer grants to their customer.
func (o *openCalls) withdraw(s *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for entry := range o.calls {
		entry.check(s)
	}
}

func (o *openCalls) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}

func (o *openCalls) cutOff() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for entry := range o.calls {
		entry.cancel(errCutOff)
	}
}

func (c *openCall) check(s *config.Snapshot) {
	if c.keyless {
		return
	}
	if customer, ok := s.CustomerByKey(c.digest); !ok || customer.Name != c.customer {
		c.cancel(errWithdrawn)
	}
}

// ended types the error of a call whose key was withdrawn or whose caller is gone, and keeps the outcome.
func ended(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	outcome := openai.Unknown
	if f := fault.As(err); f.Outcome == openai.NotRun {
		outcome = openai.NotRun
	}
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		return fault.Wrap(err, fault.KeyWithdrawn, outcome, "the key was withdrawn; use another key of the customer")
	}
	if errors.Is(context.Cause(ctx), errCutOff) {
		return fault.Wrap(err, fault.Draining, outcome, "the instance stops and the call did not finish in time; ask another instance")
	}
	return fault.Wrap(err, fault.CallerGone, outcome, "the caller ended the call")
}
