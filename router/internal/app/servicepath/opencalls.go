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

// errKeyWithdrawn is the cancellation cause of calls whose key was withdrawn.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// errDrainTimeout is the cancellation cause of calls that are still open when the drain timeout expires.
var errDrainTimeout = errors.New("the instance stops and the call did not finish in time")

// openCalls is the set of calls in progress, kept to cancel those whose key is withdrawn.
type openCalls struct {
	mu    sync.Mutex
	calls map[*openCall]struct{}
}

type openCall struct {
	// keyless is set for calls on open routes, which have no key that could be withdrawn.
	keyless  bool
	digest   config.KeyDigest
	customer string
	cancel   context.CancelCauseFunc
}

func newOpenCalls() *openCalls { return &openCalls{calls: make(map[*openCall]struct{})} }

// register adds the call to the set until done is called.
func (o *openCalls) register(ctx context.Context, c *Call, cfg port.Config) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	entry := &openCall{keyless: c.Customer == nil, digest: c.KeyDigest, customer: c.customerName(), cancel: cancel}
	o.mu.Lock()
	o.calls[entry] = struct{}{}
	o.mu.Unlock()
	entry.cancelIfWithdrawn(cfg.Current()) // the key may have been withdrawn between authentication and registration
	return ctx, func() {
		o.mu.Lock()
		delete(o.calls, entry)
		o.mu.Unlock()
		cancel(nil)
	}
}

// cancelWithdrawn cancels the calls whose key no longer belongs to their customer in the snapshot.
func (o *openCalls) cancelWithdrawn(s *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for entry := range o.calls {
		entry.cancelIfWithdrawn(s)
	}
}

func (o *openCalls) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}

func (o *openCalls) cancelAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for entry := range o.calls {
		entry.cancel(errDrainTimeout)
	}
}

func (c *openCall) cancelIfWithdrawn(s *config.Snapshot) {
	if c.keyless {
		return
	}
	if customer, ok := s.CustomerByKey(c.digest); !ok || customer.Name != c.customer {
		c.cancel(errKeyWithdrawn)
	}
}

// contextEndError converts err to the fault for the reason for which ctx ended: withdrawn key, drain timeout or caller gone.
// Outcome not_run is kept; any other becomes unknown. If ctx has not ended, it returns err.
func contextEndError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	outcome := openai.Unknown
	if f := fault.As(err); f.Outcome == openai.NotRun {
		outcome = openai.NotRun
	}
	if errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return fault.Wrap(err, fault.KeyWithdrawn, outcome, "the key was withdrawn; use another key of the customer")
	}
	if errors.Is(context.Cause(ctx), errDrainTimeout) {
		return fault.Wrap(err, fault.Draining, outcome, "the instance stops and the call did not finish in time; ask another instance")
	}
	return fault.Wrap(err, fault.CallerDisconnected, outcome, "the caller ended the call")
}
