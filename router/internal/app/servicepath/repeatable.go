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

// maxAttempts bounds how often one call is tried.
const maxAttempts = 3

// repeatable tries the call on up to maxAttempts endpoints. Only the first attempt uses a pooled connection; an attempt
// that has a successor gets half of the time left, so that a silent connection leaves time for a fresh one.
func (p *Forwarder) repeatable(ctx context.Context, c *Call) (port.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var (
		resp    port.ServiceResponse
		err     error = noEndpoint(c)
		outcome       = openai.NotRun
		tried         = map[string]bool{}
	)
	for n := 1; n <= maxAttempts; n++ {
		ep, ok := p.choose(c, tried)
		if !ok {
			break
		}
		resp, err = p.tryOnce(ctx, c, ep, n)
		if err == nil && !worthRetry(resp.Status) {
			return resp, nil
		}
		if err != nil && fault.As(err).Outcome != openai.NotRun {
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

// worthRetry reports whether the status says that the endpoint, rather than the call, is at fault.
func worthRetry(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// choose takes the best endpoint that was not tried, or any again if all were.
func (p *Forwarder) choose(c *Call, tried map[string]bool) (port.Endpoint, bool) {
	list := p.endpoints.order(p.Clock.Boot(), p.Config.Endpoints(), c.Route.Pool)
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

func (p *Forwarder) tryOnce(ctx context.Context, c *Call, ep port.Endpoint, n int) (port.ServiceResponse, error) {
	if deadline, ok := ctx.Deadline(); ok && n < maxAttempts {
		attempt, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = attempt
	}
	return p.send(ctx, c, ep, n, n > 1)
}

// send makes one attempt at one endpoint and records it.
func (p *Forwarder) send(ctx context.Context, c *Call, ep port.Endpoint, n int, fresh bool) (port.ServiceResponse, error) {
	defer p.endpoints.begin(ep.Name)()
	attempt := c.attempt(n)
	p.Events.Record(event.Event{Kind: event.ServiceSent, Request: attempt, Customer: c.customerName(), Endpoint: ep.Name})
	resp, err := p.ServiceClient.Call(ctx, ep, serviceCall(c, attempt, fresh))
	if err == nil {
		p.Events.Record(event.Event{Kind: event.ServiceAnswered, Request: attempt, Customer: c.customerName(), Endpoint: ep.Name})
		return resp, nil
	}
	f := fault.As(err)
	if f.Kind == fault.EndpointFailed && f.Outcome == openai.NotRun {
		p.endpoints.unreachable(ep.Name, p.Clock.Boot())
	}
	p.Events.Record(event.Event{Kind: event.AttemptFailed, Request: attempt, Customer: c.customerName(), Endpoint: ep.Name,
		Detail: string(f.Kind) + " " + string(f.Outcome)})
	return port.ServiceResponse{}, f
}

func noEndpoint(c *Call) *fault.Error {
	return fault.New(fault.NoEndpoint, "pool "+c.Route.Pool+" has no endpoint; come back later").WithRetryAfter(endpointRetryAfter)
}
