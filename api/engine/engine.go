// Package engine holds the wire types between the router and model engines: the extensions that the OpenAI-compatible
// completion calls carry, and the engines' management calls.
//
// Calls of an engine:
//
//	POST /v1/chat/completions, /v1/completions   caller's body plus Extension; prefill, decode, or both in one call
//	GET  /v1/requests                            RequestList: the requests that hold memory now
//	POST /v1/requests/{id}/cancel                CancelResult; 200 once the request holds nothing
//	GET  /load                                   Load, delayed
//	GET  /cache-events?since=SEQ                 CacheEventPage; delayed, and events may be missing
//	POST /orders                                 Order; 409 if the engine checks the fencing number and it is outdated
//	GET  /kv/{id}                                KV cache of an exported request, between engines
package engine

// Extension is added to the body of a completion call that goes to an engine.
type Extension struct {
	// RequestID is the attempt id; it identifies the request in RequestList and in the cancel call.
	RequestID string `json:"request_id"`
	// Priority orders the engine's own queue; smaller runs earlier.
	Priority int `json:"priority"`
	// KVTransfer is the engine's part of a disaggregated request; without it, prefill and decode both run on this engine.
	KVTransfer *KVTransfer `json:"kv_transfer_params,omitempty"`
	// Continuation resumes a response of which a part was already delivered.
	Continuation *Continuation `json:"continuation,omitempty"`
}

// KVTransfer controls the disaggregation of a request. A prefill call sets DoRemoteDecode and receives the remaining fields
// in its response; the decode call passes them on with DoRemotePrefill.
type KVTransfer struct {
	DoRemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteEngine    string `json:"remote_engine,omitempty"`
	RemoteURL       string `json:"remote_url,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes,omitempty"`
	// ExpiresInMS is how long the exported KV cache is kept, in milliseconds from the prefill's end.
	ExpiresInMS int64 `json:"expires_in_ms,omitempty"`
}

// Continuation holds the output that the caller already has. The engine treats Text as part of the prompt and numbers
// its first output token Tokens.
type Continuation struct {
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
}

// PrefillResult is the response to a prefill call with DoRemoteDecode.
type PrefillResult struct {
	PromptTokens int64      `json:"prompt_tokens"`
	CachedTokens int64      `json:"cached_tokens"`
	KVTransfer   KVTransfer `json:"kv_transfer_params"`
}

// Phase is the phase of a request for which an engine holds memory.
type Phase string

// Phases of a request in an engine.
const (
	PhaseWaiting Phase = "waiting"
	PhasePrefill Phase = "prefill"
	PhaseExport  Phase = "export"
	PhaseImport  Phase = "import"
	PhaseDecode  Phase = "decode"
)

// Request is one entry of RequestList.
type Request struct {
	ID     string `json:"id"`
	Phase  Phase  `json:"phase"`
	Blocks int64  `json:"blocks"`
	AgeMS  int64  `json:"age_ms"`
	// PromptTokens, OutputTokens and MaxTokens allow a new owner to predict when the slot becomes free.
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	MaxTokens    int64 `json:"max_tokens"`
}

// RequestList is the response to GET /v1/requests. It is exact and not delayed.
type RequestList struct {
	Engine     string    `json:"engine"`
	UsedBlocks int64     `json:"used_blocks"`
	Requests   []Request `json:"requests"`
}

// CancelResult confirms a cancel call.
type CancelResult struct {
	// Held is set if the request held anything when the cancel call arrived.
	Held bool `json:"held"`
}

// Load is the delayed load report of an engine.
type Load struct {
	Engine string `json:"engine"`
	Role   string `json:"role"`
	Model  string `json:"model"`
	// ReportedAtMS is when the values were measured, in milliseconds since the epoch.
	ReportedAtMS  int64 `json:"reported_at_ms"`
	Slots         int   `json:"slots"`
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	TotalBlocks   int64 `json:"total_blocks"`
	UsedBlocks    int64 `json:"used_blocks"`
	BlockTokens   int64 `json:"block_tokens"`
	PrefillTokens int64 `json:"prefill_backlog_tokens"`
	// PrefillRate and LinkRate are the engine's speeds, in tokens and bytes a second.
	PrefillRate float64 `json:"prefill_tokens_per_second"`
	LinkRate    float64 `json:"link_bytes_per_second"`
	// TokenIntervalMS is the current time between output tokens of one request.
	TokenIntervalMS float64 `json:"token_interval_ms"`
	KVBytesPerToken int64   `json:"kv_bytes_per_token"`
	Leaving         bool    `json:"leaving"`
}

// CacheOp is an operation on a cached prefix block.
type CacheOp string

// Cache operations. CacheCleared drops all blocks, for instance after a restart.
const (
	CacheStored  CacheOp = "stored"
	CacheRemoved CacheOp = "removed"
	CacheCleared CacheOp = "cleared"
)

// CacheEvent reports an operation on one block of a cached prefix. Block is the hash of all text up to the end of the block.
type CacheEvent struct {
	Seq   uint64  `json:"seq"`
	Op    CacheOp `json:"op"`
	Block uint64  `json:"block,omitempty"`
}

// CacheEventPage is the response to GET /cache-events. A gap in Seq means that events were lost.
type CacheEventPage struct {
	Engine string       `json:"engine"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheBlockBytes is the length of the prompt text that one cache block covers.
const CacheBlockBytes = 1024

// OrderKind is the type of an order.
type OrderKind string

// Orders that engines accept.
const (
	OrderLoadModel OrderKind = "load_model"
	OrderSetRole   OrderKind = "set_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Argument is the model's name or the role.
	Argument string `json:"argument"`
	// Fencing is the fencing number, which increases with each holder of the endpoint's order lease.
	Fencing uint64 `json:"fencing"`
}

// OrderResult confirms an order, or refuses it. It holds the highest fencing number that the engine has seen.
type OrderResult struct {
	Accepted       bool   `json:"accepted"`
	HighestFencing uint64 `json:"highest_fencing"`
}
