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

// Phases of a call that runs at most once. The first write and the cancellation by the caller race to leave phaseUnsent; exactly
// one of them succeeds.
const (
	phaseUnsent int32 = iota
	phaseSent
	phaseCancelled
)

// atMostOnceCall is one call that runs at most once, from the creation of its claim to the stored response.
type atMostOnceCall struct {
	forwarder *Forwarder
	call      *Call
	// callerCtx ends when the caller disconnects or its key is withdrawn.
	callerCtx context.Context
	claimName string
	startedAt time.Duration
	phase     atomic.Int32
	claim     ownClaim
}

var errCancelledBeforeSend = fault.New(fault.CallerDisconnected, "the call ended before it was sent")

type callResult struct {
	resp port.ServiceResponse
	err  error
}

// handleAtMostOnce claims the call, sends it and stores the response. Once sent, the call goes on even if the caller
// disconnects, so that a retry finds the response.
func (fw *Forwarder) handleAtMostOnce(ctx context.Context, c *Call) (port.ServiceResponse, error) {
	o := &atMostOnceCall{forwarder: fw, call: c, callerCtx: ctx, claimName: claimName(c), startedAt: fw.Clock.Boot()}
	fw.sendTracker.Begin(o.claimName)
	held, resp, err := o.acquireClaim(ctx)
	if held == nil {
		fw.sendTracker.End(o.claimName, false, fw.Clock.Boot())
		return resp, err
	}
	o.claim = *held
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout())
	result := make(chan callResult, 1)
	fw.background.start(func() {
		defer cancel()
		o.execute(sendCtx, result)
	})
	select {
	case r := <-result:
		return r.resp, r.err
	case <-ctx.Done():
	}
	if o.phase.CompareAndSwap(phaseUnsent, phaseCancelled) {
		cancel()
		return port.ServiceResponse{}, fault.Wrap(ctx.Err(), fault.CallerDisconnected, openai.NotRun, "the call ended before it was sent")
	}
	return port.ServiceResponse{}, fault.Wrap(ctx.Err(), fault.CallerDisconnected, openai.Unknown, "the call ended after it was sent")
}

// beforeWrite allows the first write within claim.SendWindow unless the call was cancelled. Later writes of a long body must end
// within half of claim.SentRetention, well before other instances forget the call.
func (o *atMostOnceCall) beforeWrite(first bool) error {
	if !first {
		if o.forwarder.Clock.Boot()-o.startedAt < claim.SentRetention/2 {
			return nil
		}
		return fault.New(fault.Timeout, "the call's body was not sent in time")
	}
	if refused := o.checkMaySend(); refused != nil {
		return refused
	}
	if !o.phase.CompareAndSwap(phaseUnsent, phaseSent) && o.phase.Load() == phaseCancelled {
		return errCancelledBeforeSend
	}
	return nil
}

func (o *atMostOnceCall) execute(ctx context.Context, result chan<- callResult) {
	resp, err := o.sendOnce(ctx)
	sent := err == nil || fault.As(err).Outcome != openai.NotRun
	o.forwarder.sendTracker.End(o.claimName, sent, o.forwarder.Clock.Boot())
	switch {
	case !sent:
		stored := o.forwarder.releaseClaim(o.call, o.claim)
		result <- callResult{err: err}
		if !stored {
			o.forwarder.retryRelease(o.call, o.claim)
		}
	case err != nil:
		// The claim is kept: the call may have run, so retries get outcome unknown.
		result <- callResult{err: err}
	default:
		o.claim.record = o.claim.record.WithAnswer(resp.Status, selectStoredHeaders(resp.Header), resp.Body)
		stored := o.forwarder.completeClaim(&o.claim)
		result <- callResult{resp: resp}
		if !stored {
			o.forwarder.retryComplete(&o.claim)
		}
	}
}

// sendOnce sends the call on a fresh connection. It tries another endpoint only if no byte can have been written.
func (o *atMostOnceCall) sendOnce(ctx context.Context) (port.ServiceResponse, error) {
	var err error = noEndpointError(o.call)
	tried := map[string]bool{}
	for n := 1; n <= maxAttempts; n++ {
		if refused := o.checkMaySend(); refused != nil {
			return port.ServiceResponse{}, refused
		}
		ep, ok := o.forwarder.chooseEndpoint(o.call, tried)
		if !ok {
			break
		}
		var resp port.ServiceResponse
		resp, err = o.forwarder.send(WithBeforeWrite(ctx, o.beforeWrite), o.call, ep, n, true)
		if err == nil || fault.As(err).Outcome != openai.NotRun {
			return resp, err
		}
	}
	return port.ServiceResponse{}, fault.As(err).WithRetryAfter(endpointRetryAfter)
}

// checkMaySend returns an error if the send window has passed, the caller is gone or this instance is not confirmed.
func (o *atMostOnceCall) checkMaySend() error {
	if !claim.MaySend(o.startedAt, o.forwarder.Clock.Boot()) {
		return fault.New(fault.Timeout, "the time in which the claim allows sending has passed; repeat the call")
	}
	if o.callerCtx.Err() != nil {
		return errCancelledBeforeSend
	}
	if !o.forwarder.Membership.Confirmed() {
		return fault.New(fault.InstanceNotConfirmed, "this instance is cut off from the platform and its peers; send the call to another instance")
	}
	return nil
}
