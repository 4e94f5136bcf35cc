// Package modelpath takes one model request through its steps: admit, queue, choose and reserve, prefill, decode,
// relay, settle and release.
package modelpath

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/port"
)

// Request is a caller's request, parsed and authenticated.
type Request struct {
	// ID names the request in the whole fleet; attempt ids extend it.
	ID       string
	Customer *config.Customer
	// KeyDigest is the digest of the key that the request came with.
	KeyDigest config.KeyDigest
	Model     *catalogue.Model
	Class     *catalogue.Class
	// Path is the caller's path, which is the engine's as well.
	Path string
	Body json.RawMessage
	// PromptTokens is an upper bound of the prompt's tokens.
	PromptTokens int64
	// MaxTokens bounds the output.
	MaxTokens int64
	// BlockHashes are the hashes of the prompt's cache blocks, in order.
	BlockHashes []uint64
	// AcceptedAt is when the request arrived.
	AcceptedAt time.Time
}

// TokenWriter takes the answer's tokens in order. An error means that the caller is gone.
type TokenWriter interface {
	WriteToken(text string) error
}

// Result ends an answer whose tokens went to the sink.
type Result struct {
	Usage        openai.Usage
	FinishReason string
}

// Canceller cancels an attempt at an endpoint and repeats that until the endpoint acknowledges or is gone.
type Canceller interface {
	Cancel(ep port.Endpoint, attempt string)
}

// PlacementRequest is what a Placer needs to know of an attempt.
type PlacementRequest struct {
	*Request
	AttemptID string
	// DeliveredTokens is the number of output tokens that the caller already has. They count as prompt.
	DeliveredTokens int64
	// ExcludedEndpoints holds the endpoints at which earlier attempts failed.
	ExcludedEndpoints map[string]bool
}

// Placer queues a job until a pair of endpoints is chosen and reserved for it. Errors have outcome not_run.
type Placer interface {
	Place(ctx context.Context, job PlacementRequest) (Placement, error)
}

// Placement is a reserved pair of endpoints.
type Placement interface {
	PrefillEndpoint() port.Endpoint
	// DecodeEndpoint returns the decode endpoint. Policies that choose it after the prefill do so here.
	DecodeEndpoint(ctx context.Context) (port.Endpoint, error)
	// SwitchDecodeEndpoint moves the reservation to a decode endpoint that is not to be avoided, if one is free now.
	SwitchDecodeEndpoint(ctx context.Context, avoid map[string]bool) (port.Endpoint, bool)
	// FinishPrefill gives the prefill endpoint's reservation back.
	FinishPrefill(cachedTokens int64)
	// QueueTime is how long the job waited for endpoints.
	QueueTime() time.Duration
	// Release gives back everything that is still reserved. It may be called more than once.
	Release()
}

// IDGenerator makes request ids of the form <instance>.<incarnation>.<seq>.
type IDGenerator struct {
	prefix string
	seq    atomic.Uint64
}

// NewIDGenerator returns a source of ids for one life of an instance.
func NewIDGenerator(self peer.MemberID) *IDGenerator {
	return &IDGenerator{prefix: self.Name + "." + strconv.FormatUint(self.Incarnation, 10) + "."}
}

// Next returns a new request id.
func (g *IDGenerator) Next() string { return g.prefix + strconv.FormatUint(g.seq.Add(1), 10) }

func attemptID(request string, attempt int) string { return request + "." + strconv.Itoa(attempt) }
