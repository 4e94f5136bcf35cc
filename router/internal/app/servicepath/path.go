// Package servicepath carries calls to plain services: repeatable calls are retried, calls that are not repeatable run at
// most once under a claim in the platform.
package servicepath

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/claim"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// defaultTimeout bounds a call whose route gives no limit.
	defaultTimeout = 30 * time.Second
	// admissionPatience is how long a call waits for tokens. Routes have no class of work that would say.
	admissionPatience = time.Second
	// platformTimeout bounds one platform call, so that several fit into the claim's send window.
	platformTimeout = 500 * time.Millisecond
	// peerTimeout bounds a question to a peer.
	peerTimeout = 300 * time.Millisecond
	// outageRetryAfter is when a caller refused for a platform outage should come back.
	outageRetryAfter = 2 * time.Second
	// endpointRetryAfter is when a caller that found no working endpoint should come back.
	endpointRetryAfter = time.Second
)

// Call is one call of a caller to a plain service.
type Call struct {
	Route *catalogue.Route
	// Customer is nil on open routes.
	Customer *config.Customer
	// KeyDigest is the digest of the key that the call came with; the call ends when the key is withdrawn. It is ignored
	// on open routes.
	KeyDigest config.KeyDigest
	Method    string
	// Path includes the query.
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// RequestID is the router's id of the request, <instance>.<incarnation>.<seq>.
	RequestID string
}

func (c *Call) customerName() string {
	if c.Customer == nil {
		return ""
	}
	return c.Customer.Name
}

func (c *Call) timeout() time.Duration {
	if c.Route.TimeoutMS <= 0 {
		return defaultTimeout
	}
	return time.Duration(c.Route.TimeoutMS) * time.Millisecond
}

// attempt is the id of the call's n-th attempt, from 1.
func (c *Call) attempt(n int) string { return c.RequestID + "." + strconv.Itoa(n) }

// Deps are what a Path works with.
type Deps struct {
	Clock      port.Clock
	Config     port.Config
	Platform   port.Platform
	Peers      port.Peers
	Membership port.Membership
	// RosterSource tells the newest known roster. It may be nil; then a refusal without the platform says "unknown" until this
	// instance has watched the fleet for claim.MemoryTime.
	RosterSource  RosterSource
	Admission     port.Admission
	ServiceClient port.Service
	Events        port.EventLog
}

// RosterSource tells the newest known roster.
type RosterSource interface{ Roster() peer.Roster }

// Forwarder carries calls. It is safe for concurrent use.
type Forwarder struct {
	Deps
	memory    *claim.SendTracker
	fleet     *claim.FleetMonitor
	endpoints *endpoints
	open      *openCalls
	// work holds calls that are not repeatable, which go on after their callers are gone, and repairs of claims.
	work tasks
}

// New returns a Path and subscribes it to the configuration. Run must be started too.
func New(d Deps) *Forwarder {
	p := &Forwarder{Deps: d, memory: claim.NewSendTracker(), fleet: claim.NewFleetMonitor(), endpoints: newEndpoints(), open: newOpenCalls()}
	d.Config.Subscribe(p.open.withdraw)
	return p
}

// Handle carries one call and returns the service's answer, or a fault.Error.
func (p *Forwarder) Handle(ctx context.Context, c Call) (port.ServiceResponse, error) {
	if !c.Route.Repeatable && c.IdempotencyKey == "" {
		return port.ServiceResponse{}, p.refused(&c, fault.New(fault.MissingKey,
			"this route runs calls at most once; send an Idempotency-Key header"))
	}
	ctx, done := p.open.enter(ctx, &c, p.Config)
	defer done()
	resp, err := p.admitted(ctx, &c)
	if err != nil {
		return port.ServiceResponse{}, p.refused(&c, ended(ctx, err))
	}
	resp.Header = answerHeader(resp.Header)
	return resp, nil
}

func (p *Forwarder) admitted(ctx context.Context, c *Call) (port.ServiceResponse, error) {
	charge, err := p.admit(ctx, c)
	if err != nil {
		return p.notAdmitted(ctx, c, err)
	}
	var resp port.ServiceResponse
	if c.Route.Repeatable {
		resp, err = p.repeatable(ctx, c)
	} else {
		resp, err = p.once(ctx, c)
	}
	if ran(resp, err) {
		charge.Settle(c.Route.CostTokens)
	} else {
		charge.Cancel()
	}
	return resp, err
}

// ran reports whether the call may have reached an endpoint; a replayed answer was paid for before.
func ran(resp port.ServiceResponse, err error) bool {
	if err != nil {
		return fault.As(err).Outcome != openai.NotRun
	}
	return resp.Header.Get(ReplayedHeader) == ""
}

// free is the charge of a call that costs nothing.
type free struct{}

// Settle implements port.Charge.
func (free) Settle(int64) {}

// Cancel implements port.Charge.
func (free) Cancel() {}

func (p *Forwarder) admit(ctx context.Context, c *Call) (port.Charge, error) {
	if c.Customer == nil || c.Route.CostTokens <= 0 {
		return free{}, nil
	}
	return p.Admission.Admit(ctx, c.Customer, c.Route.CostTokens, admissionPatience)
}

// notAdmitted answers a call that was not admitted. A repeat of a call that may have run must not be told that it did
// not run, so its claim is looked up first.
func (p *Forwarder) notAdmitted(ctx context.Context, c *Call, err error) (port.ServiceResponse, error) {
	if c.Route.Repeatable {
		return port.ServiceResponse{}, err
	}
	name := claimName(c)
	lookup, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	record, _, getErr := p.readClaim(lookup, name)
	switch {
	case fault.Is(getErr, fault.NotFound) && !p.memory.MayHaveSent(name, 0, p.Clock.Boot()):
		return port.ServiceResponse{}, err
	case getErr != nil:
		return port.ServiceResponse{}, fault.As(err).WithOutcome(p.outcomeWithoutPlatform(ctx, name, 0))
	case claim.Decide(record, c.RequestID, callDigest(c)) == claim.DifferentCall:
		return port.ServiceResponse{}, err
	}
	return p.existing(c, record)
}

func (p *Forwarder) refused(c *Call, err error) error {
	f := fault.As(err)
	p.record(c, event.RequestRefused, "", string(f.Kind)+" "+string(f.Outcome))
	return f
}

func (p *Forwarder) record(c *Call, kind event.Kind, endpoint, detail string) {
	p.Events.Record(event.Event{Kind: kind, Request: c.RequestID, Customer: c.customerName(), Endpoint: endpoint, Detail: detail})
}

// HandleClaims answers a peer's question whether this instance has sent a call or may still send it.
func (p *Forwarder) HandleClaims(m peer.ClaimsRequest) peer.ClaimsReply {
	return peer.ClaimsReply{Sent: p.memory.MayHaveSent(m.Claim, 0, p.Clock.Boot())}
}

// OpenCalls is the number of calls that are being carried for callers.
func (p *Forwarder) OpenCalls() int { return p.open.count() }

// CancelOpenCalls ends the calls that are being carried. A call that was sent and is not repeatable goes on without its caller
// until its claim is completed; Wait waits for these.
func (p *Forwarder) CancelOpenCalls() { p.open.cutOff() }

// WaitBackground returns when calls that go on after their callers are gone have ended, or when ctx ends.
func (p *Forwarder) WaitBackground(ctx context.Context) error { return p.work.wait(ctx) }
