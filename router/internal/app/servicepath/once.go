package servicepath

import (
	"context"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/domain/claim"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Phases of a call that runs at most once. The first write and the caller's end compete to leave phaseUnsent.
const (
	phaseUnsent int32 = iota
	phaseSent
	phaseStopped
)

// onceCall is one call that runs at most once, from its claim to the stored answer.
type onceCall struct {
	path *Forwarder
	call *Call
	// caller ends when the caller is gone or its key is withdrawn.
	caller context.Context
	name   string
	begun  time.Duration
	phase  atomic.Int32
	claim  heldClaim
}

var errStopped = fault.New(fault.CallerGone, "the call ended before it was sent")

type onceResult struct {
	resp port.ServiceResponse
	err  error
}

// once claims the call, sends it and stores the answer. What is sent goes on when the caller is gone, so that a repeat
// finds the answer.
func (p *Forwarder) once(ctx context.Context, c *Call) (port.ServiceResponse, error) {
	o := &onceCall{path: p, call: c, caller: ctx, name: claimName(c), begun: p.Clock.Boot()}
	p.memory.Begin(o.name)
	held, resp, err := o.makeClaim(ctx)
	if held == nil {
		p.memory.End(o.name, false, p.Clock.Boot())
		return resp, err
	}
	o.claim = *held
	work, stop := context.WithTimeout(context.WithoutCancel(ctx), c.timeout())
	result := make(chan onceResult, 1)
	p.work.start(func() {
		defer stop()
		o.run(work, result)
	})
	select {
	case r := <-result:
		return r.resp, r.err
	case <-ctx.Done():
	}
	if o.phase.CompareAndSwap(phaseUnsent, phaseStopped) {
		stop()
		return port.ServiceResponse{}, fault.Wrap(ctx.Err(), fault.CallerGone, openai.NotRun, "the call ended before it was sent")
	}
	return port.ServiceResponse{}, fault.Wrap(ctx.Err(), fault.CallerGone, openai.Unknown, "the call ended after it was sent")
}

// gate allows the first write within the send window and unless the call was stopped. Later writes of a long body end
// well before other instances forget the call.
func (o *onceCall) gate(first bool) error {
	if !first {
		if o.path.Clock.Boot()-o.begun < claim.SentRetention/2 {
			return nil
		}
		return fault.New(fault.Timeout, "the call's body was not sent in time")
	}
	if refused := o.gateOpen(); refused != nil {
		return refused
	}
	if !o.phase.CompareAndSwap(phaseUnsent, phaseSent) && o.phase.Load() == phaseStopped {
		return errStopped
	}
	return nil
}

func (o *onceCall) run(ctx context.Context, result chan<- onceResult) {
	resp, err := o.sendOut(ctx)
	sent := err == nil || fault.As(err).Outcome != openai.NotRun
	o.path.memory.End(o.name, sent, o.path.Clock.Boot())
	switch {
	case !sent:
		stored := o.path.tryRelease(o.call, o.claim)
		result <- onceResult{err: err}
		if !stored {
			o.path.keepReleasing(o.call, o.claim)
		}
	case err != nil:
		// The claim stays as it is: the call may have run, and repeats get "unknown".
		result <- onceResult{err: err}
	default:
		o.claim.record = o.claim.record.WithAnswer(resp.Status, keptHeader(resp.Header), resp.Body)
		stored := o.path.tryComplete(&o.claim)
		result <- onceResult{resp: resp}
		if !stored {
			o.path.keepCompleting(&o.claim)
		}
	}
}

// sendOut sends the call on a fresh connection. It goes to another endpoint only if no byte can have left.
func (o *onceCall) sendOut(ctx context.Context) (port.ServiceResponse, error) {
	var err error = noEndpoint(o.call)
	tried := map[string]bool{}
	for n := 1; n <= maxAttempts; n++ {
		if refused := o.gateOpen(); refused != nil {
			return port.ServiceResponse{}, refused
		}
		ep, ok := o.path.choose(o.call, tried)
		if !ok {
			break
		}
		var resp port.ServiceResponse
		resp, err = o.path.send(WithBeforeWrite(ctx, o.gate), o.call, ep, n, true)
		if err == nil || fault.As(err).Outcome != openai.NotRun {
			return resp, err
		}
	}
	return port.ServiceResponse{}, fault.As(err).WithRetryAfter(endpointRetryAfter)
}

// gateOpen checks the time and the caller.
func (o *onceCall) gateOpen() error {
	if !claim.MaySend(o.begun, o.path.Clock.Boot()) {
		return fault.New(fault.Timeout, "the time in which the claim allows sending has passed; repeat the call")
	}
	if o.caller.Err() != nil {
		return errStopped
	}
	if !o.path.Membership.Confirmed() {
		return fault.New(fault.NotConfirmed, "this instance is cut off from the platform and its peers; send the call to another instance")
	}
	return nil
}
