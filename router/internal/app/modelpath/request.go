// Package modelpath processes model requests: admission, queueing, selection and reservation of endpoints, prefill, decode,
// relay of tokens, settlement and release.
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

// Request is a parsed and authenticated request of a caller.
type Request struct {
	// ID is unique in the fleet; attempt ids extend it.
	ID       string
	Customer *config.Customer
	// KeyDigest is the digest of the key that the request was authenticated with.
	KeyDigest config.KeyDigest
	Model     *catalogue.Model
	Class     *catalogue.Class
	// Path is the URL path of the request, which is also used for the engine.
	Path string
	Body json.RawMessage
	// PromptTokens is an upper bound of the tokens in the prompt.
	PromptTokens int64
	// MaxTokens is the maximum number of output tokens.
	MaxTokens int64
	// BlockHashes are the hashes of the prompt's cache blocks, in order.
	BlockHashes []uint64
	AcceptedAt  time.Time
}

// TokenWriter writes the tokens of an answer to the caller, in order. An error means that the caller is gone.
type TokenWriter interface {
	WriteToken(text string) error
}

// Result is what remains of an answer after its tokens were written to the TokenWriter.
type Result struct {
	Usage        openai.Usage
	FinishReason string
}

// Canceller cancels an attempt at an endpoint, and retries until the endpoint acknowledges or is gone.
type Canceller interface {
	Cancel(ep port.Endpoint, attempt string)
}

// PlacementRequest describes an attempt to a Placer.
type PlacementRequest struct {
	*Request
	AttemptID string
	// DeliveredTokens is the number of output tokens that the caller already has. They count as part of the prompt.
	DeliveredTokens int64
	// ExcludedEndpoints holds the names of the endpoints at which earlier attempts failed.
	ExcludedEndpoints map[string]bool
}

// Placer queues a request until a pair of endpoints is selected and reserved for it. Its errors have outcome not_run.
type Placer interface {
	Place(ctx context.Context, job PlacementRequest) (Placement, error)
}

// Placement is a reserved pair of a prefill and a decode endpoint.
type Placement interface {
	PrefillEndpoint() port.Endpoint
	// DecodeEndpoint returns the decode endpoint. Policies that select it after the prefill do so in this call.
	DecodeEndpoint(ctx context.Context) (port.Endpoint, error)
	// DecodeLeaves reports whether the decode endpoint has begun to leave, or has left, since it was selected.
	DecodeLeaves() bool
	// SwitchDecodeEndpoint moves the reservation to a decode endpoint that is not in avoid, if one has a free slot.
	SwitchDecodeEndpoint(ctx context.Context, avoid map[string]bool) (port.Endpoint, bool)
	// FinishPrefill releases the reservation at the prefill endpoint.
	FinishPrefill(cachedTokens int64)
	// QueueTime returns how long the request waited for endpoints.
	QueueTime() time.Duration
	// Release releases the reservations that are still held. It may be called more than once.
	Release()
}

// IDGenerator generates request ids of the form <instance>.<incarnation>.<seq>.
type IDGenerator struct {
	prefix string
	seq    atomic.Uint64
}

// NewIDGenerator returns a generator for one incarnation of an instance.
func NewIDGenerator(self peer.MemberID) *IDGenerator {
	return &IDGenerator{prefix: self.Name + "." + strconv.FormatUint(self.Incarnation, 10) + "."}
}

// Next returns a new request id.
func (g *IDGenerator) Next() string { return g.prefix + strconv.FormatUint(g.seq.Add(1), 10) }

func attemptID(request string, attempt int) string { return request + "." + strconv.Itoa(attempt) }
