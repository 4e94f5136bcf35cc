// Package servicepath forwards calls to plain services. Repeatable calls are retried; calls that are not repeatable run at most
// once under a claim in the platform.
package servicepath

import (
	"context"
	"fmt"
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
	// defaultTimeout is the timeout of a call whose route sets none.
	defaultTimeout = 30 * time.Second
	// maxAdmissionWait is how long a call waits for rate limit tokens. Routes have no class that could set it.
	maxAdmissionWait = time.Second
	// platformTimeout is the timeout of one platform call. Several of them must fit into claim.SendWindow.
	platformTimeout = 500 * time.Millisecond
	// peerTimeout is the timeout of the claims requests to peers.
	peerTimeout = 300 * time.Millisecond
	// outageRetryAfter is the Retry-After of a call that is refused because of a platform outage.
	outageRetryAfter = 2 * time.Second
	// endpointRetryAfter is the Retry-After of a call for which no endpoint was available.
	endpointRetryAfter = time.Second
)

// Call is a caller's call to a plain service.
type Call struct {
	Route *catalogue.Route
	// Customer is nil on open routes.
	Customer *config.Customer
	// KeyDigest is the digest of the key that the call was authenticated with. The call is cancelled if the key is withdrawn. It
	// is ignored on open routes.
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

// attemptID returns the id of the call's n-th attempt, counted from 1.
func (c *Call) attemptID(n int) string { return c.RequestID + "." + strconv.Itoa(n) }

// Deps are the dependencies of a Forwarder.
type Deps struct {
	Clock      port.Clock
	Config     port.Config
	Platform   port.Platform
	Peers      port.Peers
	Membership port.Membership
	// RosterSource may be nil. While the platform is unreachable, refused calls then have outcome unknown until this instance
	// has observed the fleet for claim.SentRetention.
	RosterSource  RosterSource
	Admission     port.Admission
	ServiceClient port.Service
	Events        port.EventLog
}

// RosterSource returns the newest known roster.
type RosterSource interface{ Roster() peer.Roster }

// Forwarder forwards calls to plain services. It is safe for concurrent use.
type Forwarder struct {
	Deps
	sendTracker  *claim.SendTracker
	fleetMonitor *claim.FleetMonitor
	endpoints    *endpointTracker
	open         *openCalls
	// background holds calls that are not repeatable and go on after their callers are gone, and retries of claim releases and
	// completions.
	background taskGroup
}

// New returns a Forwarder that is subscribed to configuration changes. The caller must also start Run.
func New(d Deps) *Forwarder {
	fw := &Forwarder{Deps: d, sendTracker: claim.NewSendTracker(), fleetMonitor: claim.NewFleetMonitor(), endpoints: newEndpointTracker(), open: newOpenCalls()}
	d.Config.Subscribe(fw.open.cancelWithdrawn)
	return fw
}

// Handle forwards one call and returns the service's response, or a *fault.Error. A response to a call that runs at most once is replaced
// by an error if its status implies that the call has not run.
func (fw *Forwarder) Handle(ctx context.Context, c Call) (port.ServiceResponse, error) {
	if !c.Route.Repeatable && c.IdempotencyKey == "" {
		return port.ServiceResponse{}, fw.refuse(&c, fault.New(fault.IdempotencyKeyMissing,
			"this route runs calls at most once; send an Idempotency-Key header"))
	}
	ctx, done := fw.open.register(ctx, &c, fw.Config)
	defer done()
	resp, err := fw.admitAndForward(ctx, &c)
	if err == nil {
		err = checkOutcome(&c, resp.Status)
	}
	if err != nil {
		return port.ServiceResponse{}, fw.refuse(&c, contextEndError(ctx, err))
	}
	resp.Header = filterResponseHeaders(resp.Header)
	return resp, nil
}

// checkOutcome returns an error if callers would take the status of a response to mean that the call has not run and send it again under
// another key. Services cannot say whether such a call has run. A repeat under the same key gets the same error.
func checkOutcome(c *Call, status int) error {
	if c.Route.Repeatable || !fault.ImpliesNotRun(status) {
		return nil
	}
	return fault.New(fault.EndpointFailed, fmt.Sprintf("the service answered with status %d; the call may have run, ask the service what became of it", status)).
		WithOutcome(openai.Unknown)
}

func (fw *Forwarder) admitAndForward(ctx context.Context, c *Call) (port.ServiceResponse, error) {
	charge, err := fw.admit(ctx, c)
	if err != nil {
		return fw.answerNotAdmitted(ctx, c, err)
	}
	var resp port.ServiceResponse
	if c.Route.Repeatable {
		resp, err = fw.handleRepeatable(ctx, c)
	} else {
		resp, err = fw.handleAtMostOnce(ctx, c)
	}
	if mayHaveRun(resp, err) {
		charge.Settle(c.Route.CostTokens)
	} else {
		charge.Cancel()
	}
	return resp, err
}

// mayHaveRun reports whether the call may have reached an endpoint. A replayed response does not count: the original call was
// charged.
func mayHaveRun(resp port.ServiceResponse, err error) bool {
	if err != nil {
		return fault.As(err).Outcome != openai.NotRun
	}
	return resp.Header.Get(ReplayedHeader) == ""
}

// noCharge is the charge of a call without a cost.
type noCharge struct{}

// Settle implements port.Charge.
func (noCharge) Settle(int64) {}

// Cancel implements port.Charge.
func (noCharge) Cancel() {}

func (fw *Forwarder) admit(ctx context.Context, c *Call) (port.Charge, error) {
	if c.Customer == nil || c.Route.CostTokens <= 0 {
		return noCharge{}, nil
	}
	return fw.Admission.Admit(ctx, c.Customer, c.Route.CostTokens, maxAdmissionWait)
}

// answerNotAdmitted returns the result of a call that was not admitted. It reads the claim first: a retry of a call that may
// have run must not be answered with outcome not_run.
func (fw *Forwarder) answerNotAdmitted(ctx context.Context, c *Call, err error) (port.ServiceResponse, error) {
	if c.Route.Repeatable {
		return port.ServiceResponse{}, err
	}
	name := claimName(c)
	lookupCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	record, _, getErr := fw.readClaim(lookupCtx, name)
	switch {
	case fault.Is(getErr, fault.NotFound) && !fw.sendTracker.MayHaveSent(name, 0, fw.Clock.Boot()):
		return port.ServiceResponse{}, err
	case getErr != nil:
		return port.ServiceResponse{}, fault.As(err).WithOutcome(fw.outcomeWithoutPlatform(ctx, name, 0))
	case claim.Decide(record, c.RequestID, callDigest(c)) == claim.DifferentCall:
		return port.ServiceResponse{}, err
	}
	return fw.answerFromClaim(c, record)
}

func (fw *Forwarder) refuse(c *Call, err error) error {
	f := fault.As(err)
	fw.record(c, event.RequestRefused, "", string(f.Kind)+" "+string(f.Outcome))
	return f
}

func (fw *Forwarder) record(c *Call, kind event.Kind, endpoint, detail string) {
	fw.Events.Record(event.Event{Kind: kind, Request: c.RequestID, Customer: c.customerName(), Endpoint: endpoint, Detail: detail})
}

// HandleClaims tells a peer whether this instance has sent a call or may still send it.
func (fw *Forwarder) HandleClaims(m peer.ClaimsRequest) peer.ClaimsReply {
	return peer.ClaimsReply{Sent: fw.sendTracker.MayHaveSent(m.Claim, 0, fw.Clock.Boot())}
}

// OpenCalls returns the number of calls in progress for callers.
func (fw *Forwarder) OpenCalls() int { return fw.open.count() }

// CancelOpenCalls cancels the calls in progress. A call that was sent and is not repeatable goes on in the background until its
// claim is completed; see WaitBackground.
func (fw *Forwarder) CancelOpenCalls() { fw.open.cancelAll() }

// WaitBackground returns when the calls and claim updates that go on after their callers are gone have ended, or when ctx ends.
func (fw *Forwarder) WaitBackground(ctx context.Context) error { return fw.background.wait(ctx) }
