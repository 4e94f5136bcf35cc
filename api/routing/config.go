// Package routing defines what adapters and the router tell each other about an installation: its routes, services,
// customers, endpoints and instances. The types are independent of any platform's wire format; instances also exchange
// them as JSON.
package routing

import "time"

// RouteKind says what may be repeated on a route.
type RouteKind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe RouteKind = "unsafe"
	// Streaming requests are answered by a series of events and run at most once, unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// Target is a service that receives a part of a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the part of the requests, relative to the weights of the route's other targets.
	Weight int `json:"weight"`
}

// Route is an entry of the configuration that maps requests to services.
type Route struct {
	Name       string    `json:"name"`
	Host       string    `json:"host"`
	PathPrefix string    `json:"pathPrefix"`
	Kind       RouteKind `json:"kind"`
	// Timeout is the longest time that a caller may be kept waiting for the end of its answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer, or the first event of a stream, counts as on time.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between events with which a stream still counts as on time; zero if none is given.
	EventGap time.Duration `json:"eventGap"`
	// Priority is the route's rank; 0 is the most urgent.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// MaxAttempts is the largest number of endpoints that may run one attempt of a caller.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public    bool `json:"public"`
	Resumable bool `json:"resumable"`
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is the memory of an engine in tokens.
	MemoryTokens int64 `json:"memoryTokens"`
	// HandleTTL is how long an engine keeps the KV cache of a prefill that nobody has taken.
	HandleTTL time.Duration `json:"handleLife"`
	// StageChangeTime is how long an engine is away when it changes its stage.
	StageChangeTime time.Duration `json:"switchTime"`
	// EventTokens is the number of tokens in an event of a stream; zero if it is not told.
	EventTokens int64 `json:"eventTokens"`
	// MaxReservation is the longest time for which an engine grants a reservation; zero if it grants none.
	MaxReservation time.Duration `json:"maxReservation"`
}

// Service is a group of endpoints that are interchangeable.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is how many connections one endpoint accepts from all callers together; zero if not limited.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

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
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int64         `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration `json:"idleTimeout"`
}

// Config is one version of the installation's configuration.
type Config struct {
	// Version is the operator's number, Revision the store's. Both only grow.
	Version   uint64     `json:"version"`
	Revision  uint64     `json:"revision"`
	Routes    []Route    `json:"routes"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	Limits    Limits     `json:"limits"`
}
