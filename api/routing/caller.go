package routing

import (
	"net/http"
	"time"
)

// Caller holds what a caller's request declares outside its body.
type Caller struct {
	// RequestID is empty if the caller sent none.
	RequestID string
	// Key is the API key; empty if the request has none.
	Key string
	// Timeout is how long the caller waits for the response; zero if the request does not declare it.
	Timeout time.Duration
	// Demand is nil if the request declares no tokens.
	Demand *Demand
	// SharedParts holds the ids of the parts of a model request's prompt that other requests may share: all but the last.
	SharedParts []string
	// Resumes is set if the request continues a stream after an event that the caller has already received.
	Resumes bool
	// Header holds the headers that are forwarded to the endpoint.
	Header http.Header
}
