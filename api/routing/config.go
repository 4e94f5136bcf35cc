// Package routing defines the types that the router and its adapters share: routes, services, customers, endpoints and
// instances of an installation, and calls to endpoints. They are independent of the wire format of any platform; instances
// also exchange them as JSON.
package routing

import "time"

// RouteKind determines whether requests on a route may be retried.
type RouteKind string

// Kinds of routes.
const (
	// Safe requests may be executed more than once.
	Safe RouteKind = "safe"
	// Unsafe requests are executed at most once for each attempt of a caller.
	Unsafe RouteKind = "unsafe"
	// Streaming requests are answered by a stream of events and are executed at most once, unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the share of the requests, relative to the weights of the route's other targets.
	Weight int `json:"weight"`
}

// Route is an entry of the configuration that maps requests to services.
type Route struct {
	Name       string    `json:"name"`
	Host       string    `json:"host"`
	PathPrefix string    `json:"pathPrefix"`
	Kind       RouteKind `json:"kind"`
	// Timeout is the longest time that a caller may have to wait for the end of its response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency target: the time within which a response, or the first event of a stream, counts as on time.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between events with which a stream still counts as on time; zero if none is given.
	EventGap time.Duration `json:"eventGap"`
	// Priority is the priority of the requests of customers without one; 0 is the most urgent.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// MaxAttempts is the largest number of endpoints that may execute one attempt of a caller.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no API key.
	Public    bool `json:"public"`
	Resumable bool `json:"resumable"`
	// AllowedRegions are the regions in which requests must stay; empty if they may go anywhere.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// MayRepeat reports whether a request that may have been executed may be sent again.
func (r *Route) MayRepeat() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// MemoryTokens is the memory of an engine in tokens.
	MemoryTokens int64 `json:"memoryTokens"`
	// HandleTTL is how long an engine keeps the KV cache of a prefill that no decode engine has fetched.
	HandleTTL time.Duration `json:"handleLife"`
	// StageChangeTime is how long an engine is unavailable while it changes its stage.
	StageChangeTime time.Duration `json:"switchTime"`
	// EventTokens is the number of tokens in an event of a stream; zero if it is unknown.
	EventTokens int64 `json:"eventTokens"`
	// MaxReservation is the longest time for which an engine grants a reservation; zero if it grants none.
	MaxReservation time.Duration `json:"maxReservation"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is how many connections one endpoint accepts from all callers together; zero if not limited.
	MaxConnections int `json:"maxConnections"`
	// ColdStart is how long an endpoint is cold after its start. ColdPerSecond is how many requests a second it may get from all
	// instances together while it is cold; zero if not limited.
	ColdStart     time.Duration `json:"coldStart,omitempty"`
	ColdPerSecond float64       `json:"coldPerSecond,omitempty"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// DefaultPriority is the priority of requests for which none is given. Endpoints assume the same value.
const DefaultPriority = 5

// Customer is a tenant of the installation.
type Customer struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// RatePerSecond and Burst limit the customer across all instances together, in tokens if CountsTokens is set and in
	// requests otherwise. A rate of zero means no limit.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	CountsTokens  bool    `json:"countsTokens"`
	// DefaultTokens is the cost of a request that declares no tokens.
	DefaultTokens int64 `json:"plainTokens"`
	// Priority takes precedence over that of the route; nil if none is given.
	Priority *int `json:"priority,omitempty"`
	// AllowedRegions are the regions in which the customer's requests must stay; empty if they may go anywhere.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// Limits restrict what callers may send.
type Limits struct {
	HeaderBytes   int64         `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration `json:"idleTimeout"`
}

// Config is one version of the installation's configuration.
type Config struct {
	// Version is the number that the operator gives, Revision that of the platform's store. Both only increase.
	Version   uint64     `json:"version"`
	Revision  uint64     `json:"revision"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	Limits    Limits     `json:"limits"`
}
