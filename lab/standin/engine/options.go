// Package engine simulates a model engine: continuous batching, KV cache memory in blocks, a prefix cache, KV export and
// import, cancel, orders and fault injection. Its output is a pure function of the prompt.
package engine

import (
	"net/http"
	"time"

	"tanagerwood.dev/api/event"
)

// Role is the part of a split request that an engine serves.
type Role string

// Roles of engines. RoleBoth serves unsplit requests too.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
)

// Options configures an engine. A zero rate, interval or delay disables it, so that an engine created with only a Role
// responds immediately; sizes that are zero get the values of DefaultOptions.
type Options struct {
	Name  string
	Role  Role
	Model string
	// URL is the base URL from which other engines fetch exported KV cache; it is derived from the request's Host if empty.
	URL string

	// Slots is the number of requests that can decode concurrently. The KV cache memory consists of Blocks blocks of
	// BlockTokens tokens each.
	Slots       int
	Blocks      int64
	BlockTokens int64
	// BytesPerToken converts prompt text to tokens, KVBytesPerToken converts tokens to KV cache size.
	BytesPerToken   int64
	KVBytesPerToken int64

	// PrefillRate is the prefill speed in tokens per second; one prompt is prefilled at a time.
	PrefillRate float64
	// TokenInterval is the time between tokens of a request that decodes alone. Each further request in the batch adds
	// the fraction IntervalGrowth of it.
	TokenInterval  time.Duration
	IntervalGrowth float64
	// LinkRate is the rate of the link over which KV cache is imported, in bytes per second.
	LinkRate float64
	// KVExpiry is the time for which exported KV cache is kept if it is not fetched.
	KVExpiry time.Duration

	// PrefixCacheBlocks is the capacity of the prefix cache, in blocks of api/engine.CacheBlockBytes bytes of text.
	PrefixCacheBlocks int
	// CacheEventDelay is the age at which a cache event becomes visible; the fraction CacheEventLoss of them never does.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// LoadReportInterval is the time between load reports. GET /load returns the last but one; with 0 it returns the exact
	// load.
	LoadReportInterval time.Duration
	// OrderDuration is the time that an accepted order takes.
	OrderDuration time.Duration

	// ChecksFencing makes the engine reject orders whose fencing number is lower than the highest one it has seen.
	ChecksFencing bool

	// Log is the event log; a new one if nil.
	Log *event.Log
	// Transport is used to fetch KV cache from other engines; a new http.Transport if nil.
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

func (o Options) withDefaultSizes() Options {
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
