// Package catalogue defines the configuration that operators store in the platform: customers and their API keys, models,
// pools, classes of work and routes. The command line and the daemon use the same types and the same validation.
package catalogue

// Catalogue is the whole configuration, stored as one platform object. Its revision is the object's version.
type Catalogue struct {
	// Owner is the name of the team that is responsible for this catalogue.
	Owner     string     `json:"owner"`
	Customers []Customer `json:"customers"`
	Models    []Model    `json:"models"`
	Classes   []Class    `json:"classes"`
	Pools     []Pool     `json:"pools"`
	Routes    []Route    `json:"routes"`
	Policy    Policy     `json:"policy"`
}

// Customer is a tenant with its limits and keys.
type Customer struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// RateTokens is the rate limit in tokens per second, prompt and output together, across the fleet.
	RateTokens int64 `json:"rateTokensPerSecond"`
	// BurstTokens is the number of tokens that may be admitted at once, across the fleet.
	BurstTokens int64 `json:"burstTokens"`
	// Weight is the customer's relative share of a contended pool; 1 if absent.
	Weight int64 `json:"weight,omitempty"`
	Keys   []Key `json:"keys"`
	// Models that the customer may use; empty means all.
	Models []string `json:"models,omitempty"`
}

// Key is an API key of a customer. Only its digest is stored.
type Key struct {
	// Name distinguishes the keys of a customer, for instance "2026-autumn".
	Name string `json:"name"`
	// SHA256 is the lower-case hexadecimal digest of the key.
	SHA256 string `json:"sha256"`
}

// Model is a model that callers can request by name.
type Model struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// Class is the class of work of requests to this model.
	Class string `json:"class"`
	// BytesPerToken is the least number of prompt bytes a token covers on average; prompt tokens are estimated with it.
	BytesPerToken int64 `json:"bytesPerToken"`
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int64 `json:"kvBytesPerToken"`
	// MaxPromptTokens and MaxOutputTokens bound a request; DefaultOutputTokens applies if the caller gives no limit.
	MaxPromptTokens     int64 `json:"maxPromptTokens"`
	MaxOutputTokens     int64 `json:"maxOutputTokens"`
	DefaultOutputTokens int64 `json:"defaultOutputTokens"`
}

// ClassKind distinguishes requests whose response a user waits for from batch work.
type ClassKind string

// Kinds of classes of work.
const (
	ClassInteractive ClassKind = "interactive"
	ClassBatch       ClassKind = "batch"
)

// Class is a class of work with its latency targets.
type Class struct {
	Name string    `json:"name"`
	Kind ClassKind `json:"kind"`
	// FirstTokenMS and TokenIntervalMS are the latency targets for the 95th percentile of requests, in milliseconds.
	FirstTokenMS    int64 `json:"firstTokenMs"`
	TokenIntervalMS int64 `json:"tokenIntervalMs"`
	// MaxQueueWaitMS is the longest time that a request waits for admission, in milliseconds.
	MaxQueueWaitMS int64 `json:"queuePatienceMs"`
	// Priority orders requests inside an engine; smaller values run earlier.
	Priority int `json:"priority"`
}

// PoolRole is the role of the endpoints of a pool.
type PoolRole string

// Roles of pools.
const (
	RolePrefill PoolRole = "prefill"
	RoleDecode  PoolRole = "decode"
	RoleService PoolRole = "service"
)

// Pool is a set of endpoints of one role. Its members come from the platform's instance list.
type Pool struct {
	Name  string   `json:"name"`
	Owner string   `json:"owner"`
	Role  PoolRole `json:"role"`
	// Model is what the pool serves; empty for services.
	Model string `json:"model,omitempty"`
	// Slots, Blocks and BlockTokens describe one decode endpoint: concurrent requests, KV cache blocks, tokens per block.
	// Prefill pools may set Blocks and BlockTokens too.
	Slots       int   `json:"slots,omitempty"`
	Blocks      int64 `json:"blocks,omitempty"`
	BlockTokens int64 `json:"blockTokens,omitempty"`
	// PrefillRate is the throughput of one prefill endpoint in tokens per second.
	PrefillRate int64 `json:"prefillTokensPerSecond,omitempty"`
	// LinkRate is the rate of the transfer link of one decode endpoint in bytes per second.
	LinkRate int64 `json:"linkBytesPerSecond,omitempty"`
	// ChecksFencing is set if the pool's endpoints refuse orders with an outdated fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Route maps a request path to a service pool. The paths of the model API are built in.
type Route struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// PathPrefix selects the calls; the longest matching prefix is used.
	PathPrefix string `json:"pathPrefix"`
	Pool       string `json:"pool"`
	// Open routes need no API key.
	Open bool `json:"open,omitempty"`
	// Repeatable calls may be sent again to another endpoint; others run at most once and need an Idempotency-Key.
	Repeatable bool `json:"repeatable"`
	// TimeoutMS limits the duration of one call, in milliseconds.
	TimeoutMS int64 `json:"timeoutMs"`
	// CostTokens is the number of tokens that a call counts against the customer's rate limit; 0 if absent.
	CostTokens int64 `json:"costTokens,omitempty"`
}

// PolicyName is the name of a policy for choosing endpoints.
type PolicyName string

// Policies. PolicyReserve is the default; the others are kept as baselines.
const (
	PolicyReserve      PolicyName = "reserve"
	PolicyTwoChoices   PolicyName = "two-choices"
	PolicyRandom       PolicyName = "random"
	PolicyLeastLoaded  PolicyName = "least-loaded"
	PolicyPrefillFirst PolicyName = "prefill-first"
)

// Policy holds the settings that apply to the whole fleet.
type Policy struct {
	Scheduling PolicyName `json:"scheduling,omitempty"`
	// RetryBudgetPercent limits retries to this percentage of requests; 10 if absent.
	RetryBudgetPercent int `json:"retryBudgetPercent,omitempty"`
	// MaxBodyBytes limits the size of a caller's body; 8 MiB if absent.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
}

// Status reports whether a revision is applied and, if it is not, the problems that prevent it.
type Status struct {
	Revision uint64    `json:"revision"`
	Valid    bool      `json:"valid"`
	Problems []Problem `json:"problems,omitempty"`
	// ValidatedBy is the name of the instance that wrote the status.
	ValidatedBy string `json:"judgedBy"`
}

// Problem is one validation error of a catalogue: its location, what is wrong, and how to correct it.
type Problem struct {
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}
