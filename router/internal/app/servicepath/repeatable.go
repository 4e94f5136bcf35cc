package servicepath

import (
	"context"
	"net/http"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// handleRepeatable tries the call on up to maxAttempts endpoints. Only the first attempt uses a pooled connection. Every attempt
// but the last gets half of the remaining time, so that a pooled connection that went silent leaves time for a fresh one.
func (fw *Forwarder) handleRepeatable(ctx context.Context, c *Call) (port.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var (
		resp    port.ServiceResponse
		err     error = noEndpointError(c)
		outcome       = openai.NotRun
		tried         = map[string]bool{}
	)
	for n := 1; n <= maxAttempts; n++ {
		ep, ok := fw.chooseEndpoint(c, tried)
		if !ok {
			break
		}
		resp, err = fw.sendWithTimeout(ctx, c, ep, n)
		if err == nil && !isRetryableStatus(resp.Status) {
			return resp, nil
		}
		if err == nil || fault.As(err).Outcome != openai.NotRun {
			outcome = openai.Unknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		err = fault.As(err).WithOutcome(outcome).WithRetryAfter(endpointRetryAfter)
	}
	return resp, err
}

// isRetryableStatus reports whether the status indicates a failure of the endpoint rather than of the call.
func isRetryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// chooseEndpoint returns the best endpoint that was not tried yet, or the best one if all were tried.
func (fw *Forwarder) chooseEndpoint(c *Call, tried map[string]bool) (port.Endpoint, bool) {
	list := fw.endpoints.rank(fw.Clock.Boot(), fw.Config.Endpoints(), c.Route.Pool)
	if len(list) == 0 {
		return port.Endpoint{}, false
	}
	for _, ep := range list {
		if !tried[ep.Name] {
			tried[ep.Name] = true
			return ep, true
		}
	}
	return list[0], true
}

func (fw *Forwarder) sendWithTimeout(ctx context.Context, c *Call, ep port.Endpoint, n int) (port.ServiceResponse, error) {
	if deadline, ok := ctx.Deadline(); ok && n < maxAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = attemptCtx
	}
	return fw.send(ctx, c, ep, n, n > 1)
}

// send makes one attempt at one endpoint and records its events.
func (fw *Forwarder) send(ctx context.Context, c *Call, ep port.Endpoint, n int, fresh bool) (port.ServiceResponse, error) {
	defer fw.endpoints.beginCall(ep.Name)()
	attempt := c.attemptID(n)
	fw.Events.Record(event.Event{Kind: event.ServiceSent, Request: attempt, Customer: c.customerName(), Endpoint: ep.Name})
	resp, err := fw.ServiceClient.Call(ctx, ep, newServiceCall(c, attempt, fresh))
	if err == nil && fault.ImpliesNotRun(resp.Status) {
		fw.endpoints.markFailed(ep.Name, fw.Clock.Boot())
	}
	if err == nil {
		fw.Events.Record(event.Event{Kind: event.ServiceAnswered, Request: attempt, Customer: c.customerName(), Endpoint: ep.Name})
		return resp, nil
	}
	f := fault.As(err)
	if f.Kind == fault.EndpointFailed && f.Outcome == openai.NotRun {
		fw.endpoints.markFailed(ep.Name, fw.Clock.Boot())
	}
	fw.Events.Record(event.Event{Kind: event.AttemptFailed, Request: attempt, Customer: c.customerName(), Endpoint: ep.Name,
		Detail: string(f.Kind) + " " + string(f.Outcome)})
	return port.ServiceResponse{}, f
}

func noEndpointError(c *Call) *fault.Error {
	return fault.New(fault.NoEndpoint, "pool "+c.Route.Pool+" has no endpoint; come back later").WithRetryAfter(endpointRetryAfter)
}
