// Package forward forwards requests from callers to the endpoints of their routes: plain requests to services, and model requests
// through prefill and decode engines. Request bodies are opaque.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/domain/endpointlimit"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/priority"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/domain/regions"
	"tanagerwood.dev/router/internal/domain/retrybudget"
	"tanagerwood.dev/router/internal/domain/retrydetect"
	"tanagerwood.dev/router/internal/domain/routetable"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// startupRetryAfter is the Retry-After while the instance is starting.
	startupRetryAfter = 200 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After of requests for which no endpoint was found.
	noEndpointRetryAfter = 500 * time.Millisecond
	// defaultCallerTimeout applies to requests for which neither the caller nor the route sets a timeout.
	defaultCallerTimeout = 30 * time.Second
)

// EndpointClient sends requests to endpoints.
type EndpointClient interface {
	Send(ctx context.Context, ep routing.Endpoint, maxConns int, call *routing.Call) (*routing.Answer, error)
	Prefill(ctx context.Context, ep routing.Endpoint, maxConns int, call *routing.Call) (routing.KVHandle, error)
	Decode(ctx context.Context, ep routing.Endpoint, maxConns int, call *routing.Call,
		handle *routing.KVHandle, reservation *routing.Reservation) (*routing.Answer, error)
	FreeHandle(ctx context.Context, ep routing.Endpoint, h routing.KVHandle) error
	// RefusesConnections reports whether no process listens at the endpoint's address.
	RefusesConnections(ctx context.Context, ep routing.Endpoint) bool
}

// RoutingState provides the current configuration and endpoints.
type RoutingState interface {
	// Table returns nil until a configuration is known.
	Table() *routetable.Table
	// Stage lists the usable endpoints of a service in the stage. Endpoints that are leaving are not included.
	Stage(service string, stage routing.Stage) []routing.Endpoint
	// PauseRemaining is the time until the first of these endpoints accepts requests again if all have asked for a
	// pause, and zero otherwise.
	PauseRemaining(service string, stage routing.Stage) time.Duration
	// Paused reports whether an endpoint has asked for a pause that is not over.
	Paused(ep routing.Endpoint) bool
	// Evacuated reports whether an endpoint must get nothing because its domain is evacuated.
	Evacuated(ep routing.Endpoint) bool
	// Leaving reports whether an endpoint is known to leave or to be gone.
	Leaving(ep routing.Endpoint) bool
	// Left reports whether an endpoint that was chosen at the given time since boot may have been leaving for so long since then
	// that it must get no requests.
	Left(ep routing.Endpoint, chosenAt time.Duration) bool
}

// Deps holds the dependencies of a Forwarder.
type Deps struct {
	State       RoutingState
	Client      EndpointClient
	Dispatcher  *dispatch.Dispatcher
	RateLimiter *sharedlimit.Limiter
	RetryBudget *retrybudget.Budget
	// Quarantine holds the requests and the parts of prompts that crash endpoints.
	Quarantine *quarantine.Tracker
	// IsLeader reports whether this instance acts for the whole fleet.
	IsLeader func() bool
	// Limits admits requests to endpoints that have announced a request limit.
	Limits *endpointlimit.Limiter
	// AnswerMemory is the budget for what is buffered of answers; nil means no limit.
	AnswerMemory *membudget.Budget
	EndpointLoad *inflight.Tracker
	Health       *health.Tracker
	Timings      *latency.Estimator
	// Speeds estimates the speed of endpoints. LoadAge returns the mean age of the reported requests of other instances at plain
	// endpoints.
	Speeds  *speed.Tracker
	LoadAge func() time.Duration
	// Pace limits the requests at endpoints that have started or come back; nil if there are no limits.
	Pace   *pace.Limiter
	Domain string
	// Regions holds the regions of the failure domains.
	Regions regions.Table
	// InstanceCount is the number of instances that share the endpoints' connections.
	InstanceCount func() int
	// PeersSynced reports whether this instance knows the endpoints and the state of the other instances.
	PeersSynced func() bool
	// AwaitPeerSync blocks until the state of the other instances as of the call is known, or done is closed.
	AwaitPeerSync func(done <-chan struct{})
	// Random returns a number in [0, 1).
	Random func() float64
	// OnChange is called when the load of prefill engines changes, and when an endpoint is ejected.
	OnChange func()
	// Stop tells how far a planned stop of this instance has come.
	Stop *plannedstop.Signals
	// OnCrash is called when the records of crashes change, which the other instances must learn at once.
	OnCrash   func()
	SinceBoot func() time.Duration
	Logger    *log.Logger
	Metrics   metrics.Registry
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	Deps
	retryDetector *retrydetect.Detector
	// refusals holds when endpoints of plain services last refused a request.
	refusals refusalTimes
	metrics  *requestMetrics
}

// New returns a Forwarder.
func New(deps Deps) *Forwarder {
	return &Forwarder{Deps: deps, retryDetector: retrydetect.New(), metrics: newRequestMetrics(deps.Metrics)}
}

// Request is a caller's request.
type Request struct {
	Caller routing.Caller
	Method string
	// Target is the path with its query, byte for byte as received; Path does not include the query.
	Target string
	Path   string
	Host   string
	// ReadBody reads the body, which may have at most limit bytes. Its errors are of type *fault.Error.
	ReadBody func(limit int64) ([]byte, error)
	// Arrived is the time since boot at which the request started to arrive.
	Arrived time.Duration
}

// ResponseWriter writes the response to the caller. Its methods return an error when the caller accepts no more data.
type ResponseWriter interface {
	// WriteResponse writes a response with a complete body.
	WriteResponse(status int, header http.Header, body []byte) error
	// WriteHeader starts a response whose body follows in chunks.
	WriteHeader(status int, header http.Header) error
	// WriteChunk writes a part of the body and flushes it.
	WriteChunk(p []byte) error
}

// requestState is the state of one request.
type requestState struct {
	*Forwarder
	ctx      context.Context
	req      *Request
	writer   ResponseWriter
	table    *routetable.Table
	route    *routing.Route
	customer *routing.Customer
	service  *routing.Service
	call     routing.Call
	// deadline is the time since boot by which the caller must have its final response.
	deadline time.Duration
	cost     int64
	// rateRefusal describes the refusal by the customer's rate limit; nil if there was none.
	rateRefusal *rateRefusal
	// priorities describes the priorities of the service's requests. class is the class of this request.
	priorities priority.Service
	class      priority.Class

	// mayHaveRun is set once an endpoint may have started to process the request.
	mayHaveRun bool
	// responseStarted is set once a part of the response was passed on to the caller, dataSent once an event with data was.
	responseStarted, dataSent bool
	// peersSynced is set once the state of the other instances as of this request is known.
	peersSynced bool
	// sends is the number of sends but for prefills.
	sends, prefills  int
	attempts         int
	triedEndpoints   map[string]bool
	lastEndpoint     string
	status           int
	withheldResponse *failedResponse
	// withheldMemory is the memory that the withheld response takes.
	withheldMemory membudget.Holding
	// allowed is the filter of the domains to which the request may go.
	allowed regions.Filter
	// prefillEngine is the engine of the latest prefill.
	prefillEngine routing.Endpoint
	durations     stepDurations
	// eventCount is the number of events passed on to the caller, priorWait the time that the caller spent on refused attempts
	// before this request.
	eventCount int
	priorWait  time.Duration
	streamEnd  streamEnd
	// answerRequested is the time since boot at which the current attempt was sent, answerBegan that of its first event, or zero, and
	// answerEvents the number of its events. answerSustained is set once the answer shows that the prompt does not crash engines.
	answerRequested, answerBegan time.Duration
	answerEvents                 int
	answerSustained              bool
	// quarantineTraits is set when it is first needed; see traits.
	quarantineTraits []string
	// isQuarantineTrial is set if the request is sent although it is quarantined, to find out whether it still crashes endpoints.
	isQuarantineTrial bool
}

// streamEnd describes the end of the latest stream for the log line of its request.
type streamEnd struct {
	// closeDelimited is set if the stream ends with the endpoint's connection.
	closeDelimited bool
	// unfinishedBytes is the number of bytes after the last complete event.
	unfinishedBytes int
}

// stepDurations holds the durations of a request's steps for its log line.
type stepDurations struct {
	slotWait   time.Duration
	prefill    time.Duration
	firstEvent time.Duration
	// arrivalToFirstEvent is the time from the request's arrival to its first event, lastEventAt the time since boot of the
	// latest event.
	arrivalToFirstEvent, lastEventAt time.Duration
	longestEventGap                  time.Duration
}

// Handle serves one request. It returns an error if nothing was written to the caller. It returns ErrAborted if a part of the
// response was written; the connection must then be closed so that the response does not look complete.
func (f *Forwarder) Handle(ctx context.Context, req *Request, w ResponseWriter) error {
	r := &requestState{Forwarder: f, req: req, writer: w}
	defer r.withheldMemory.Close()
	err := r.prepare(ctx)
	if err == nil {
		var cancel context.CancelFunc
		r.ctx, cancel = context.WithTimeout(ctx, r.deadline-f.SinceBoot())
		err = r.serve()
		cancel()
	}
	if err != nil {
		err = r.finalError(ctx, err)
	}
	r.refundIfNotRun(err)
	r.recordResult(err)
	return err
}

// ErrAborted indicates that the response ended after only a part of it was written.
var ErrAborted = errors.New("response aborted after a part of it was written; the connection must be closed")

// prepare validates the request against the configuration, reads its body and charges the customer's rate limit.
func (r *requestState) prepare(ctx context.Context) error {
	r.table = r.State.Table()
	if r.table == nil || !r.PeersSynced() {
		return fault.New(fault.InstanceNotConfirmed, "this instance has just started and knows no configuration or no other instance yet; "+
			"come back after Retry-After").WithRetryAfter(startupRetryAfter)
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
		return fault.New(fault.NoEndpoint, "the route has no service; come back after Retry-After").WithRetryAfter(noEndpointRetryAfter)
	}
	r.setDeadline()
	r.allowed = r.Regions.Filter(r.route.AllowedRegions, r.customerRegions())
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
		r.syncPeers(ctx)
	}
	if err := r.checkQuarantine(); err != nil {
		return err
	}
	r.prioritize()
	return r.chargeRateLimit()
}

// customerRegions returns the regions in which the customer's requests must stay.
func (r *requestState) customerRegions() []string {
	if r.customer == nil {
		return nil
	}
	return r.customer.AllowedRegions
}

// stage lists the usable endpoints of the service in the stage to which the request may go.
func (r *requestState) stage(stage routing.Stage) []routing.Endpoint {
	all := r.State.Stage(r.service.Name, stage)
	if r.allowed == nil {
		return all
	}
	return lo.Filter(all, func(ep routing.Endpoint, _ int) bool { return r.allowed(ep.Domain) })
}

// syncPeers waits, once for a request, until the state of the other instances is known.
func (r *requestState) syncPeers(ctx context.Context) {
	if !r.peersSynced {
		r.peersSynced = true
		r.AwaitPeerSync(ctx.Done())
	}
}

func (r *requestState) authenticate() error {
	if r.req.Caller.Key != "" {
		r.customer = r.table.CustomerByKey(r.req.Caller.Key)
	}
	if r.customer == nil && !r.route.Public && len(r.table.Config.Customers) > 0 {
		return fault.New(fault.Unauthorized, "the key is not granted; check it or ask the operator for one")
	}
	return nil
}

func (r *requestState) setDeadline() {
	limit := r.req.Caller.Timeout
	if limit <= 0 {
		limit = defaultCallerTimeout
	}
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	r.deadline = r.req.Arrived + limit
}

// chargeRateLimit takes the request's cost from the customer's rate limit.
func (r *requestState) chargeRateLimit() error {
	if r.customer == nil {
		return nil
	}
	r.cost = requestCost(r.customer, r.req.Caller.Demand)
	quota := sharedlimit.CustomerQuota(r.customer)
	ok, wait := r.RateLimiter.Take(quota, r.cost, r.SinceBoot())
	if ok {
		return nil
	}
	r.recordRateRefusal(quota)
	r.cost = 0
	return fault.New(fault.RateLimited, "the customer is over its rate; come back after Retry-After").WithRetryAfter(wait)
}

func requestCost(c *routing.Customer, d *routing.Demand) int64 {
	switch {
	case !c.CountsTokens:
		return 1
	case d == nil:
		return c.DefaultTokens
	default:
		return d.Tokens()
	}
}

func (r *requestState) serve() error {
	r.RetryBudget.RecordRequest(r.service.Name, r.SinceBoot())
	if r.service.Engine != nil {
		return r.forwardModel()
	}
	return r.forwardPlain()
}

// timeLeft is the time until the caller's deadline.
func (r *requestState) timeLeft() time.Duration { return r.deadline - r.SinceBoot() }

// mayRetry reports whether another send is allowed and takes it from the retry budget. Sends that the endpoint refused do not
// count as attempts.
func (r *requestState) mayRetry(err error) bool {
	if r.timeLeft() <= 0 || r.ctx.Err() != nil {
		return false
	}
	if errors.Is(err, routing.ErrEvacuated) {
		return true // nothing was sent
	}
	if errors.Is(err, routing.ErrNotRun) {
		return r.sends < maxSends && r.RetryBudget.TryRetry(r.service.Name, r.SinceBoot())
	}
	return r.route.MayRepeat() && r.attempts < r.route.MaxAttempts && r.RetryBudget.TryRetry(r.service.Name, r.SinceBoot())
}

// finalError converts the error that ends a request to a typed one.
func (r *requestState) finalError(ctx context.Context, err error) error {
	// A read of the body that the stop interrupts ends the context, too, although the caller is there.
	stopped := plannedstop.Ended(ctx) || fault.Is(err, fault.Draining)
	if ctx.Err() != nil && !stopped {
		return fault.Wrap(err, fault.CallerDisconnected, r.outcome(), "the caller is gone")
	}
	if r.responseStarted {
		return errors.Join(ErrAborted, fault.Wrap(err, fault.EndpointFailed, openai.Partial, "the answer broke off"))
	}
	if stopped {
		return plannedstop.Error().WithOutcome(r.outcome())
	}
	var typed *fault.Error
	if errors.As(err, &typed) && typed.Kind != fault.CallerDisconnected {
		return typed.WithOutcome(r.outcome())
	}
	switch {
	case r.deadline > 0 && r.timeLeft() <= 0:
		return fault.Wrap(err, fault.Timeout, r.outcome(), "the route's time limit is over; send the request again if it may be repeated")
	case !r.mayHaveRun:
		return fault.Wrap(err, fault.Overloaded, openai.NotRun, "no endpoint took the request; come back after Retry-After").
			WithRetryAfter(noEndpointRetryAfter)
	default:
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the endpoint failed; the request may have run")
	}
}

func (r *requestState) outcome() openai.Outcome {
	switch {
	case r.responseStarted:
		return openai.Partial
	case r.mayHaveRun:
		return openai.Unknown
	default:
		return openai.NotRun
	}
}

// refundIfNotRun refunds the cost of a failed request that no endpoint can have run.
func (r *requestState) refundIfNotRun(err error) {
	if err != nil && r.cost > 0 && !r.mayHaveRun {
		r.RateLimiter.Refund(sharedlimit.CustomerQuota(r.customer), r.cost)
	}
}

// maxConns is this instance's share of the connections that an endpoint accepts.
func (r *requestState) maxConns() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(minConns, r.service.MaxConnections/max(1, r.InstanceCount()))
}

// minConns is the minimum number of connections that an instance uses to an endpoint.
const minConns = 2
