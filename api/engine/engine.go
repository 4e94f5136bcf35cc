// Package engine holds the wire types between the router and model engines: the extensions that the OpenAI-compatible
// completion calls carry, and the engines' management calls.
//
// Calls of an engine:
//
//	POST /v1/chat/completions, /v1/completions   caller's body plus Extension; prefill, decode, or both in one
//	GET  /v1/requests                            RequestList: what holds memory now
//	POST /v1/requests/{id}/cancel                CancelResult; 200 once nothing is held for the id
//	GET  /load                                   Load, lagging
//	GET  /cache-events?since=SEQ                 CacheEventPage, late and with gaps
//	POST /orders                                 Order; 409 if the fencing number is checked and old
//	GET  /kv/{id}                                KV cache of an exported request, between engines
package engine

// Extension is added to the body of a completion call that goes to an engine.
type Extension struct {
	// RequestID is the attempt id; it names the request in RequestList and in cancel.
	RequestID string `json:"request_id"`
	// Priority orders the engine's own queue; smaller runs earlier.
	Priority int `json:"priority"`
	// KVTransfer tells the role in a split request; absent means prefill and decode on this engine.
	KVTransfer *KVTransfer `json:"kv_transfer_params,omitempty"`
	// Continuation resumes an answer of which a part was already delivered.
	Continuation *Continuation `json:"continuation,omitempty"`
}

// KVTransfer steers the split of a request. A prefill call sets DoRemoteDecode and gets the remaining fields in its
// answer; the decode call passes them on with DoRemotePrefill.
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

// PrefillResult is the answer to a prefill call with DoRemoteDecode.
type PrefillResult struct {
	PromptTokens int64      `json:"prompt_tokens"`
	CachedTokens int64      `json:"cached_tokens"`
	KVTransfer   KVTransfer `json:"kv_transfer_params"`
}

// Phase says what an engine holds memory for.
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
	// PromptTokens, OutputTokens and MaxTokens let a new owner predict when the slot gets free.
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	MaxTokens    int64 `json:"max_tokens"`
}

// RequestList is the answer of GET /v1/requests: exact, not lagging.
type RequestList struct {
	Engine     string    `json:"engine"`
	UsedBlocks int64     `json:"used_blocks"`
	Requests   []Request `json:"requests"`
}

// CancelResult acknowledges a cancel.
type CancelResult struct {
	// Held says whether the id held anything when the cancel came.
	Held bool `json:"held"`
}

// Load is the lagging load report of an engine.
type Load struct {
	Engine string `json:"engine"`
	Role   string `json:"role"`
	Model  string `json:"model"`
	// ReportedAtMS is when the figures were taken, in milliseconds since the epoch.
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
	// TokenIntervalMS is the present time between output tokens of one request.
	TokenIntervalMS float64 `json:"token_interval_ms"`
	KVBytesPerToken int64   `json:"kv_bytes_per_token"`
	Leaving         bool    `json:"leaving"`
}

// CacheOp says what happened to a cached prefix block.
type CacheOp string

// Cache operations. CacheCleared drops all blocks, for instance after a restart.
const (
	CacheStored  CacheOp = "stored"
	CacheRemoved CacheOp = "removed"
	CacheCleared CacheOp = "cleared"
)

// CacheEvent tells of one block of a cached prefix. Block is the hash of all text up to the end of the block.
type CacheEvent struct {
	Seq   uint64  `json:"seq"`
	Op    CacheOp `json:"op"`
	Block uint64  `json:"block,omitempty"`
}

// CacheEventPage is the answer of GET /cache-events. A gap in Seq means that events were lost.
type CacheEventPage struct {
	Engine string       `json:"engine"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheBlockBytes is the length of the prompt text that one cache block covers.
const CacheBlockBytes = 1024

// OrderKind is the type of an order.
type OrderKind string

// Orders that engines take.
const (
	OrderLoadModel OrderKind = "load_model"
	OrderSetRole   OrderKind = "set_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Argument is the model's name or the role.
	Argument string `json:"argument"`
	// Fencing grows with each holder of the endpoint's order lease.
	Fencing uint64 `json:"fencing"`
}

// OrderResult acknowledges an order, or refuses it with the highest fencing number seen.
type OrderResult struct {
	Accepted       bool   `json:"accepted"`
	HighestFencing uint64 `json:"highest_fencing"`
}
