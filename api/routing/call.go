package routing

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors of calls to endpoints and to the platform. Errors that wrap none of them leave the outcome open: a request may
// have run.
var (
	// ErrNotRun says that the endpoint has not run the request and never will.
	ErrNotRun = errors.New("the endpoint did not run the request; another endpoint may")
	// ErrMisdirected says that another endpoint has the address, or that the endpoint is in another stage. It goes with
	// ErrNotRun.
	ErrMisdirected = errors.New("another endpoint answers at the address, or the endpoint has another stage")
	// ErrHistoryGone says that the platform no longer has the history after the given revision; read the list again.
	ErrHistoryGone = errors.New("the platform's history is gone; read the list again")
	// ErrConflict says that an entry of the platform was changed by another writer, or exists already.
	ErrConflict = errors.New("the entry has another revision; read it and try again")
	// ErrMalformed says that an answer is not one in the protocol, or belongs to another request.
	ErrMalformed = errors.New("the endpoint's answer is malformed; the request may have run")
)

// Call is a request for an endpoint. Its body is opaque to the router.
type Call struct {
	// RequestID is the id of the caller's attempt, which endpoints echo.
	RequestID string
	Method    string
	// Target is the path with its query, byte for byte as the caller sent it.
	Target string
	Host   string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	Body   []byte
	// Customer is the name of the customer that holds the caller's key; empty on public routes.
	Customer string
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration
	// ResumeAfter is the id of the last event of the stream that the caller has; empty at the stream's beginning.
	ResumeAfter string
}

// Answer is an endpoint's answer. Close must be called; it cancels the request if the body was not read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 if it is not declared.
	Length int64
	// Load is the endpoint's load at the time of the answer, if it tells.
	Load *Load
}

// Load is what an endpoint tells about its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Demand is what a model request declares about its work.
type Demand struct {
	PromptTokens int64
	// OutputTokens is the largest number of tokens that may be generated.
	OutputTokens int64
	// ExpectedOutput is the caller's estimate of the tokens that will be generated; zero if it gives none. It is right at
	// the median and often far off.
	ExpectedOutput int64
}

// Tokens is the sum of the prompt and the largest output, which is what a customer's limit counts.
func (d Demand) Tokens() int64 { return d.PromptTokens + d.OutputTokens }

// EstimatedOutput is the output that is likely: the caller's estimate, or half of the largest output.
func (d Demand) EstimatedOutput() int64 {
	if d.ExpectedOutput > 0 {
		return d.ExpectedOutput
	}
	return d.OutputTokens / 2
}

// KVHandle names the KV cache that a prefill left at an engine.
type KVHandle struct {
	// Source is the address of the engine that holds the cache.
	Source string
	ID     string
}

// Reservation names a slot and memory that an engine has reserved for one request.
type Reservation struct {
	Endpoint Endpoint
	ID       string
}
