// Package port defines the small interfaces between the router's decisions and the outside: engines, plain services,
// the platform, peers, clocks and the timeline; and between the parts of the application.
package port

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/config"
)

// Clock reads the wall clock and the time since boot. Tests inject their own.
type Clock interface {
	// Now returns the wall-clock time.
	Now() time.Time
	// Boot returns the time since boot, including time during which the machine or the process was suspended. Leases and
	// validity periods are checked on it.
	Boot() time.Duration
}

// EventLog records timeline events. Record fills in the sequence number, the clock and the process.
type EventLog interface {
	Record(e event.Event)
}

// Platform is the platform's object API. Errors are of kind fault.NotFound, fault.Conflict or fault.PlatformUnavailable; for
// writes, PlatformUnavailable with outcome unknown means that the write may have taken effect.
type Platform interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	// GetNewer returns changed=false if the object still has the version.
	GetNewer(ctx context.Context, kind platform.Kind, name string, version uint64) (o platform.Object, changed bool, err error)
	List(ctx context.Context, kind platform.Kind) (platform.List, error)
	// Create fails with fault.Conflict if the object exists.
	Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (version uint64, err error)
	// Replace fails with fault.Conflict if the object's version is another one.
	Replace(ctx context.Context, kind platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error)
	Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Peers sends messages to other instances. The address is the base URL of the peer port.
type Peers interface {
	Heartbeat(ctx context.Context, address string, m peer.Heartbeat) (peer.Heartbeat, error)
	Confirm(ctx context.Context, address string, m peer.ConfirmRequest) (peer.ConfirmReply, error)
	AgreeRemoval(ctx context.Context, address string, m peer.RemovalRequest) (peer.RemovalReply, error)
	Snapshot(ctx context.Context, address string) (peer.Snapshot, error)
	Loan(ctx context.Context, address string, m peer.LoanRequest) (peer.LoanReply, error)
	LoanDone(ctx context.Context, address string, m peer.LoanDone) error
	Reserve(ctx context.Context, address string, m peer.ReserveRequest) (peer.ReserveReply, error)
	Release(ctx context.Context, address string, m peer.ReleaseRequest) error
	Inflight(ctx context.Context, address string, m peer.InflightRequest) (peer.InflightReply, error)
	Claims(ctx context.Context, address string, m peer.ClaimsRequest) (peer.ClaimsReply, error)
}

// Endpoint is a back end: a model engine or a plain service.
type Endpoint struct {
	Name    string
	Role    platform.InstanceRole
	Pool    string
	URL     string
	Domain  string
	Region  string
	Leaving bool
}

// EngineCall is one attempt at an engine. Body is the caller's JSON object; the adapter adds the extension, sets
// "stream" and removes nothing else.
type EngineCall struct {
	// Path is the caller's path, /v1/chat/completions or /v1/completions.
	Path      string
	Body      json.RawMessage
	Stream    bool
	MaxTokens int64
	Extension engine.Extension
}

// TokenStream delivers the chunks of a decode call. Next returns io.EOF after the engine's end marker, and an error
// if the connection ended before it.
type TokenStream interface {
	Next() (openai.Completion, error)
	io.Closer
}

// Engine is a model engine.
type Engine interface {
	Prefill(ctx context.Context, ep Endpoint, call EngineCall) (engine.PrefillResult, error)
	Decode(ctx context.Context, ep Endpoint, call EngineCall) (TokenStream, error)
	// Cancel returns nil once the engine holds no resources for the attempt.
	Cancel(ctx context.Context, ep Endpoint, attempt string) error
	Requests(ctx context.Context, ep Endpoint) (engine.RequestList, error)
	Load(ctx context.Context, ep Endpoint) (engine.Load, error)
	CacheEvents(ctx context.Context, ep Endpoint, since uint64) (engine.CacheEventPage, error)
	Order(ctx context.Context, ep Endpoint, order engine.Order) (engine.OrderResult, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	// Path includes the query, without credentials.
	Path   string
	Header http.Header
	Body   []byte
	// NewConnection forbids a pooled connection, which may be dead without either end having noticed.
	NewConnection bool
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service. If the error's outcome is not_run, no byte of the call can have reached the endpoint.
type Service interface {
	Call(ctx context.Context, ep Endpoint, call ServiceCall) (ServiceResponse, error)
}

// Config provides the current configuration.
type Config interface {
	// Current never returns nil; before the first revision it is an empty snapshot with revision 0.
	Current() *config.Snapshot
	// Subscribe calls f after each change, one call at a time, on the goroutine that applied it.
	Subscribe(f func(*config.Snapshot))
	// Endpoints returns the newest instance list without routers.
	Endpoints() []Endpoint
	// Routers returns the router instances of the platform's list, and whether this process has read the list yet.
	Routers() (instances []platform.Instance, read bool)
}

// Membership reports which instances are alive and whether this one may use its shares.
type Membership interface {
	Self() peer.Member
	// Alive returns the live members, including this one, sorted by name.
	Alive() []peer.Member
	IsAlive(id peer.MemberID) bool
	// Owner returns the live member that owns the endpoint's soft state; self is true if that is this instance.
	Owner(endpoint string) (m peer.Member, self bool)
	// Confirmed reports whether this member may use its shares now.
	Confirmed() bool
}

// Charge is what admission took from a customer's buckets for one request. Exactly one of Settle and Cancel counts.
type Charge interface {
	// Settle refunds the tokens charged beyond those used, or charges the shortfall.
	Settle(used int64)
	// Cancel refunds the whole charge; the request did not run.
	Cancel()
}

// Admission admits requests within the customers' rates and bursts.
type Admission interface {
	// Admit charges the tokens, waiting up to patience for them to accrue. Errors are of kind fault.RateLimited (with
	// RetryAfter), fault.ExceedsBurst, fault.InstanceNotConfirmed or fault.CallerDisconnected.
	Admit(ctx context.Context, customer *config.Customer, tokens int64, patience time.Duration) (Charge, error)
}

// Inflight is the registry of attempts that this instance has at endpoints.
type Inflight interface {
	Has(attempt string) bool
}
