package routing

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors of calls to endpoints and to the platform. If an error wraps none of them, the outcome is unknown: the request may
// have been executed.
var (
	// ErrNotRun means that the endpoint has not executed the request and never will.
	ErrNotRun = errors.New("the endpoint did not run the request; another endpoint may")
	// ErrMisdirected means that another endpoint has the address, or that the endpoint is in another stage. It is returned
	// together with ErrNotRun.
	ErrMisdirected = errors.New("another endpoint answers at the address, or the endpoint has another stage")
	// ErrHistoryGone means that the platform no longer has the history after the given revision; list again.
	ErrHistoryGone = errors.New("the platform's history is gone; read the list again")
	// ErrConflict means that another writer has changed the entry in the platform, or that it already exists.
	ErrConflict = errors.New("the entry has another revision; read it and try again")
	// ErrMalformedConfig means that a version of the configuration cannot be decoded. The revision that is returned with it is valid.
	ErrMalformedConfig = errors.New("the configuration cannot be decoded")
	// ErrMalformed means that a response violates the protocol, or belongs to another request.
	ErrMalformed = errors.New("the endpoint's answer is malformed; the request may have run")
)

// Call is a request to an endpoint. The router does not interpret its body.
type Call struct {
	// RequestID is the id of the caller's attempt. Endpoints return it in their responses.
	RequestID string
	Method    string
	// Target is the path with its query, byte for byte as the caller sent it.
	Target string
	Host   string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	Body   []byte
	// Customer is the name of the customer to which the caller's key belongs; empty on public routes.
	Customer string
	// TimeLeft is the remaining time for which the caller waits.
	TimeLeft time.Duration
	// ResumeAfter is the id of the last event that the caller has received; empty if the stream starts at its beginning.
	ResumeAfter string
}

// Answer is an endpoint's response. Body must be closed; this cancels the request if the body was not read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 if it is not declared.
	Length int64
	// CloseDelimited is set if the body has neither a length nor chunks and ends with the endpoint's connection.
	CloseDelimited bool
	// Load is the endpoint's load at the time of the response; nil if the endpoint does not report it.
	Load *Load
}

// Load is the number of requests at an endpoint, and of its slots, as the endpoint reports them.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SpeedPercent is how long work takes on the endpoint's machine at the moment; 100 means as usual, and 0 that the endpoint does not
	// report it.
	SpeedPercent float64
}

// Demand is the number of tokens that a model request declares.
type Demand struct {
	PromptTokens int64
	// OutputTokens is the largest number of tokens that may be generated.
	OutputTokens int64
	// ExpectedOutput is the caller's estimate of the tokens that will be generated; zero if it gives none. The estimate is
	// right at the median, but single requests often differ widely from it.
	ExpectedOutput int64
}

// Tokens returns the sum of the prompt and the largest output, which counts against the customer's limit.
func (d Demand) Tokens() int64 { return d.PromptTokens + d.OutputTokens }

// EstimatedOutput returns the caller's estimate of the output, or half of the largest output if there is none.
func (d Demand) EstimatedOutput() int64 {
	if d.ExpectedOutput > 0 {
		return d.ExpectedOutput
	}
	return d.OutputTokens / 2
}

// KVHandle identifies the KV cache that a prefill has stored at an engine.
type KVHandle struct {
	// Source is the address of the engine that holds the cache.
	Source string
	ID     string
}

// Reservation identifies a slot and memory that an engine has reserved for one request.
type Reservation struct {
	Endpoint Endpoint
	ID       string
}
