// Package forward carries opaque requests from callers to the endpoints of their routes: plain requests to services, and
// model requests through prefill and decode engines.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/retrybudget"
	"tanagerwood.dev/router/internal/domain/retrydetect"
	"tanagerwood.dev/router/internal/domain/routetable"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// startRetry is when a caller should come back to an instance that has just started.
	startRetry = 200 * time.Millisecond
	// noEndpointRetry is when a caller should come back that found no endpoint.
	noEndpointRetry = 500 * time.Millisecond
	// defaultPatience bounds requests for which neither caller nor route gives a limit.
	defaultPatience = 30 * time.Second
)

// EndpointClient are the calls to endpoints.
type EndpointClient interface {
	Send(ctx context.Context, ep routing.Endpoint, maxConns int, call *routing.Call) (*routing.Answer, error)
	Prefill(ctx context.Context, ep routing.Endpoint, maxConns int, call *routing.Call) (routing.Handle, error)
	Decode(ctx context.Context, ep routing.Endpoint, maxConns int, call *routing.Call,
		handle *routing.Handle, reservation *routing.Reservation) (*routing.Answer, error)
	FreeHandle(ctx context.Context, ep routing.Endpoint, h routing.Handle) error
}

// RoutingState gives the configuration and the endpoints in force.
type RoutingState interface {
	// Table returns nil while no configuration is known.
	Table() *routetable.Table
	// Stage lists the usable endpoints of a service in the stage, without those that are leaving.
	Stage(service string, stage routing.Stage) []routing.Endpoint
	// Returns is the time until one of them wants requests again, if all have asked for a pause; zero otherwise.
	Returns(service string, stage routing.Stage) time.Duration
	// Paused reports whether an endpoint wants no requests now.
	Paused(ep routing.Endpoint) bool
}

// Deps are what a Path works with.
type Deps struct {
	State        RoutingState
	Client       EndpointClient
	Dispatcher   *dispatch.Dispatcher
	RateLimiter  *sharedlimit.Limiter
	RetryBudget  *retrybudget.Budget
	EndpointLoad *inflight.Tracker
	Health       *health.Tracker
	Timings      *latency.Estimator
	Domain       string
	// InstanceCount is the number of instances that share the endpoints' connections.
	InstanceCount func() int
	// PeersSynced reports whether this instance knows what the others do.
	PeersSynced func() bool
	// AwaitPeerSync waits until the state of the other instances is known as of now, or done is closed.
	AwaitPeerSync func(done <-chan struct{})
	// Random returns a number in [0, 1).
	Random func() float64
	// OnChange is called when the work at prefill engines changed.
	OnChange  func()
	SinceBoot func() time.Duration
	Logger    *log.Logger
	Metrics   metrics.Registry
}

// Forwarder carries requests. It is safe for concurrent use.
type Forwarder struct {
	Deps
	patience *retrydetect.Detector
	meters   *meters
}

// New returns a path.
func New(d Deps) *Forwarder {
	return &Forwarder{Deps: d, patience: retrydetect.New(), meters: newMeters(d.Metrics)}
}

// Request is a caller's request.
type Request struct {
	Caller routing.Caller
	Method string
	// Target is the path with its query, byte for byte; Path is the same without the query.
	Target string
	Path   string
	Host   string
	// ReadBody reads the body, of at most limit bytes. Errors are typed.
	ReadBody func(limit int64) ([]byte, error)
	// Arrived is the time since boot at which the request began to arrive.
	Arrived time.Duration
}

// ResponseWriter takes the answer. The methods return an error once the caller takes no more bytes.
type ResponseWriter interface {
	// WriteResponse answers with a complete body.
	WriteResponse(status int, header http.Header, body []byte) error
	// WriteHeader starts an answer whose body follows in pieces.
	WriteHeader(status int, header http.Header) error
	// WriteChunk sends a part of the body at once.
	WriteChunk(p []byte) error
}

// run is the state of one request.
type run struct {
	*Forwarder
	ctx      context.Context
	req      *Request
	sink     ResponseWriter
	table    *routetable.Table
	route    *routing.Route
	customer *routing.Customer
	service  *routing.Service
	call     routing.Call
	// deadline is when the caller must have its final answer, in time since boot.
	deadline time.Duration
	cost     int64

	// mayHaveRun is set once an endpoint may have begun to work for the caller's answer.
	mayHaveRun bool
	// begun is set once a part of the answer was passed on.
	begun    bool
	sends    int
	attempts int
	tried    map[string]bool
	endpoint string
	status   int
	withheld *failure
	times    times
	// events is the number of events that were passed on, waitedBefore the time that the caller waited before it came back.
	events       int
	waitedBefore time.Duration
}

// times are the durations of a request's steps, for its log line.
type times struct {
	waited     time.Duration
	prefill    time.Duration
	firstEvent time.Duration
	// untilFirst is the time from the request's arrival to its first event, lastEvent the time since boot of the newest one.
	untilFirst, lastEvent time.Duration
	longestPause          time.Duration
}

// Handle answers one request. An error is returned if nothing was passed on to the sink; ErrAborted if a part was, and
// the connection must end so that the answer does not look complete.
func (p *Forwarder) Handle(ctx context.Context, req *Request, sink ResponseWriter) error {
	r := &run{Forwarder: p, req: req, sink: sink}
	err := r.prepare(ctx)
	if err == nil {
		var cancel context.CancelFunc
		r.ctx, cancel = context.WithTimeout(ctx, r.deadline-p.SinceBoot())
		err = r.serve()
		cancel()
	}
	if err != nil {
		err = r.final(ctx, err)
	}
	r.settle(err)
	r.record(err)
	return err
}

// ErrAborted says that the answer broke off after a part of it was passed on.
var ErrAborted = errors.New("the answer broke off; the connection must be closed")

// prepare checks the request against the configuration and the customer's limit, and reads its body.
func (r *run) prepare(ctx context.Context) error {
	r.table = r.State.Table()
	if r.table == nil || !r.PeersSynced() {
		return fault.New(fault.NotConfirmed, "this instance has just started and knows no configuration or no other instance yet; "+
			"come back after Retry-After").WithRetryAfter(startRetry)
	}
	if r.route = r.table.Route(r.req.Host, r.req.Path); r.route == nil {
		return fault.New(fault.NotFound, "no route matches the host and path; check them or ask the operator")
	}
	if err := r.authenticate(); err != nil {
		return err
	}
	if r.req.Caller.RequestID == "" {
		return fault.New(fault.BadRequest, "the request has no id; send one in the request id header")
	}
	body, err := r.req.ReadBody(r.table.Config.Limits.BodyBytes)
	if err != nil {
		return err
	}
	name := routetable.PickTarget(r.route, r.Random())
	if r.service = r.table.Service(name); r.service == nil {
		return fault.New(fault.NoEndpoint, "the route has no service; come back after Retry-After").WithRetryAfter(noEndpointRetry)
	}
	r.setDeadline()
	r.call = routing.Call{
		RequestID: r.req.Caller.RequestID, Method: r.req.Method, Target: r.req.Target, Host: r.req.Host,
		Header: r.req.Caller.Header, Body: body,
	}
	if r.customer != nil {
		r.call.Customer = r.customer.Name
	}
	if r.SinceBoot() >= r.deadline {
		return fault.New(fault.Timeout, "the request's time was over before it was sent to an endpoint; send it again")
	}
	if r.service.Engine != nil {
		r.AwaitPeerSync(ctx.Done())
	}
	return r.admit()
}

func (r *run) authenticate() error {
	if r.req.Caller.Key != "" {
		r.customer = r.table.CustomerByKey(r.req.Caller.Key)
	}
	if r.customer == nil && !r.route.Public && len(r.table.Config.Customers) > 0 {
		return fault.New(fault.Unauthorized, "the key is not granted; check it or ask the operator for one")
	}
	return nil
}

func (r *run) setDeadline() {
	limit := r.req.Caller.Patience
	if limit <= 0 {
		limit = defaultPatience
	}
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	r.deadline = r.req.Arrived + limit
}

// admit takes the request's cost from the customer's limit.
func (r *run) admit() error {
	if r.customer == nil {
		return nil
	}
	r.cost = requestCost(r.customer, r.req.Caller.Demand)
	ok, wait := r.RateLimiter.Take(r.customer, r.cost, r.SinceBoot())
	if ok {
		return nil
	}
	r.cost = 0
	return fault.New(fault.RateLimited, "the customer is over its rate; come back after Retry-After").WithRetryAfter(wait)
}

func requestCost(c *routing.Customer, d *routing.Demand) int64 {
	switch {
	case !c.CountsTokens:
		return 1
	case d == nil:
		return c.PlainTokens
	default:
		return d.Tokens()
	}
}

func (r *run) serve() error {
	r.RetryBudget.RecordRequest(r.service.Name, r.SinceBoot())
	if r.service.Engine != nil {
		return r.model()
	}
	return r.plain()
}

// timeLeft is how long the caller still waits.
func (r *run) timeLeft() time.Duration { return r.deadline - r.SinceBoot() }

// mayRetry takes a further send from the budget. Sends that were refused by the endpoint do not count as attempts.
func (r *run) mayRetry(err error) bool {
	if r.timeLeft() <= 0 || r.ctx.Err() != nil {
		return false
	}
	if errors.Is(err, routing.ErrNotRun) {
		return r.sends < maxSends && r.RetryBudget.TryRetry(r.service.Name, r.SinceBoot())
	}
	return r.route.MayRepeat() && r.attempts < r.route.MaxAttempts && r.RetryBudget.TryRetry(r.service.Name, r.SinceBoot())
}

// final types the error that ends a request.
func (r *run) final(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.Wrap(err, fault.CallerGone, r.outcome(), "the caller is gone")
	}
	if r.begun {
		return errors.Join(ErrAborted, fault.Wrap(err, fault.EndpointFailed, openai.Partial, "the answer broke off"))
	}
	var typed *fault.Error
	if errors.As(err, &typed) && typed.Kind != fault.CallerGone {
		return typed.WithOutcome(r.outcome())
	}
	switch {
	case r.deadline > 0 && r.timeLeft() <= 0:
		return fault.Wrap(err, fault.Timeout, r.outcome(), "the route's time limit is over; send the request again if it may be repeated")
	case !r.mayHaveRun:
		return fault.Wrap(err, fault.Overloaded, openai.NotRun, "no endpoint took the request; come back after Retry-After").
			WithRetryAfter(noEndpointRetry)
	default:
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the endpoint failed; the request may have run")
	}
}

func (r *run) outcome() openai.Outcome {
	switch {
	case r.begun:
		return openai.Partial
	case r.mayHaveRun:
		return openai.Unknown
	default:
		return openai.NotRun
	}
}

// settle gives the cost of a request back that did not run.
func (r *run) settle(err error) {
	if err != nil && r.cost > 0 && !r.mayHaveRun {
		r.RateLimiter.Refund(r.customer, r.cost)
	}
}

// maxConns is this instance's part of the connections that an endpoint accepts.
func (r *run) maxConns() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(minConns, r.service.MaxConnections/max(1, r.InstanceCount()))
}

// minConns is the least number of connections to an endpoint that an instance uses.
const minConns = 2
