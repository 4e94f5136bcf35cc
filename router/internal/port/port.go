// Package port defines the interfaces between the router's application logic and its external dependencies (engines,
// plain services, the platform, peers, clocks and the timeline), and those between the packages of the application.
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

// Clock reads the wall clock and the time since boot. Tests substitute their own implementation.
type Clock interface {
	// Now returns the wall-clock time.
	Now() time.Time
	// Boot returns the time since boot, including time during which the machine or the process was suspended. Leases and
	// validity periods are measured with it.
	Boot() time.Duration
}

// EventLog records timeline events. Record sets the sequence number, the clock and the process of the event.
type EventLog interface {
	Record(e event.Event)
}

// Platform is a client of the platform's object API. Errors are of kind fault.NotFound, fault.Conflict or
// fault.PlatformUnavailable; for writes, PlatformUnavailable with outcome unknown means that the write may have taken
// effect.
type Platform interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	// GetNewer returns changed=false if the object still has the given version.
	GetNewer(ctx context.Context, kind platform.Kind, name string, version uint64) (o platform.Object, changed bool, err error)
	// List passes all objects of a kind to yield, one after the other. If it fails, they may not have been all.
	List(ctx context.Context, kind platform.Kind, yield func(platform.Object)) error
	// Create fails with fault.Conflict if the object exists.
	Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (version uint64, err error)
	// Replace fails with fault.Conflict if the object has a version other than the given one.
	Replace(ctx context.Context, kind platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error)
	Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Peers sends messages to other instances. The address is the base URL of the other instance's peer port.
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

// EngineCall is one attempt to run a request on an engine. Body is the caller's JSON object; the adapter adds the
// extension, sets "stream" and the token limit, and removes the fields that only the router may set.
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

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Method string
	// Path includes the query string, without the parameters that hold credentials.
	Path   string
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection. A pooled connection may be broken without either end having detected it.
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
	// Current returns the current snapshot. It never returns nil; before the first revision, it returns an empty snapshot
	// with revision 0.
	Current() *config.Snapshot
	// Subscribe registers f to be called after each change. The calls are sequential and run on the goroutine that applied
	// the change.
	Subscribe(f func(*config.Snapshot))
	// Endpoints returns the endpoints in the newest instance list, which are all its instances except routers.
	Endpoints() []Endpoint
	// Routers returns the router instances in the platform's instance list, and whether this process has read that list
	// yet.
	Routers() (instances []platform.Instance, read bool)
}

// Membership reports which instances are alive and whether this instance may use its quota shares.
type Membership interface {
	Self() peer.Member
	// Alive returns the live members, including this one, sorted by name.
	Alive() []peer.Member
	IsAlive(id peer.MemberID) bool
	// Owner returns the live member that owns the endpoint's soft state; self is true if that is this instance.
	Owner(endpoint string) (m peer.Member, self bool)
	// Confirmed reports whether this instance may use its quota shares now.
	Confirmed() bool
}

// Charge is the number of tokens that admission took from a customer's buckets for one request. Exactly one call of
// Settle or Cancel takes effect.
type Charge interface {
	// Settle adjusts the charge to the tokens used: it refunds the excess or charges the difference.
	Settle(used int64)
	// Cancel refunds the whole charge of a request that did not run.
	Cancel()
}

// Admission admits requests within each customer's rate and burst limits.
type Admission interface {
	// Admit charges the tokens, and waits up to patience until the customer's buckets hold enough of them. Errors are of
	// kind fault.RateLimited (with RetryAfter), fault.ExceedsBurst, fault.InstanceNotConfirmed or
	// fault.CallerDisconnected.
	Admit(ctx context.Context, customer *config.Customer, tokens int64, patience time.Duration) (Charge, error)
}

// Inflight is the registry of the attempts that this instance is running on endpoints.
type Inflight interface {
	// Has reports whether the attempt is in the registry.
	Has(attempt string) bool
}
