// Package engine is a stand-in for a model engine: continuous batching, KV cache memory in blocks, a prefix cache, KV
// export and import, cancel, orders and switchable faults. Its output is a pure function of the prompt.
package engine

import (
	"net/http"
	"time"

	"tanagerwood.dev/api/event"
)

// Role is what an engine does in a split request.
type Role string

// Roles of engines. RoleBoth serves unsplit requests too.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
)

// Options configures an engine. A zero rate, interval or delay means none, so that an engine made from only a Role
// answers at once; sizes that are zero get the values of DefaultOptions.
type Options struct {
	Name  string
	Role  Role
	Model string
	// URL is the base address that other engines fetch exported KV cache from; the request's Host if empty.
	URL string

	// Slots is how many requests decode at once. Blocks of BlockTokens tokens are the KV cache memory.
	Slots       int
	Blocks      int64
	BlockTokens int64
	// BytesPerToken and KVBytesPerToken convert prompt text to tokens and tokens to KV cache.
	BytesPerToken   int64
	KVBytesPerToken int64

	// PrefillRate is in tokens a second; one prompt is prefilled at a time.
	PrefillRate float64
	// TokenInterval is the time between tokens of a request that decodes alone. Each further request in the batch adds
	// the part IntervalGrowth of it.
	TokenInterval  time.Duration
	IntervalGrowth float64
	// LinkRate is the rate of the link over which KV cache is imported, in bytes a second.
	LinkRate float64
	// KVExpiry is how long exported KV cache that nobody fetches is kept.
	KVExpiry time.Duration

	// PrefixCacheBlocks bounds the prefix cache, in blocks of api/engine.CacheBlockBytes of text.
	PrefixCacheBlocks int
	// CacheEventDelay is the age at which a cache event becomes visible; the part CacheEventLoss never does.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// LoadReportInterval is the time between load reports. GET /load gives the last but one; with 0 it is exact.
	LoadReportInterval time.Duration
	// OrderDuration is how long an accepted order takes.
	OrderDuration time.Duration

	// ChecksFencing makes the engine refuse orders whose fencing number is lower than the highest seen.
	ChecksFencing bool

	// Log is the timeline; a new one if nil.
	Log *event.Log
	// Transport fetches KV cache from other engines; a new http.Transport if nil.
	Transport http.RoundTripper
}

// DefaultOptions returns an engine of realistic speed: a 4,000-token prompt takes 200 ms, as much as 10 decode steps
// of a batch of 20 requests.
func DefaultOptions() Options {
	return Options{
		Name: "engine", Role: RoleBoth, Model: "model",
		Slots: 20, Blocks: 64, BlockTokens: 2048, BytesPerToken: 4, KVBytesPerToken: 128 << 10,
		PrefillRate: 20_000, TokenInterval: 20 * time.Millisecond, IntervalGrowth: 0.02, LinkRate: 10e9,
		KVExpiry: 800 * time.Millisecond, PrefixCacheBlocks: 2000, CacheEventDelay: 200 * time.Millisecond,
		CacheEventLoss: 0.01, LoadReportInterval: 250 * time.Millisecond, OrderDuration: time.Second, ChecksFencing: true,
	}
}

func (o Options) withSizes() Options {
	d := DefaultOptions()
	setDefault(&o.Name, d.Name)
	setDefault(&o.Role, d.Role)
	setDefault(&o.Model, d.Model)
	setDefault(&o.Slots, d.Slots)
	setDefault(&o.Blocks, d.Blocks)
	setDefault(&o.BlockTokens, d.BlockTokens)
	setDefault(&o.BytesPerToken, d.BytesPerToken)
	setDefault(&o.KVBytesPerToken, d.KVBytesPerToken)
	setDefault(&o.KVExpiry, d.KVExpiry)
	setDefault(&o.PrefixCacheBlocks, d.PrefixCacheBlocks)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
