package routing

import (
	"net/http"
	"time"
)

// Caller is what a caller's request declares outside its body.
type Caller struct {
	// RequestID is empty if the caller sent none.
	RequestID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits for the answer; zero if it does not say.
	Timeout time.Duration
	// Demand is nil if the request declares no tokens.
	Demand *Demand
	// Resumes is set if the request goes on with a stream after an event that the caller has.
	Resumes bool
	// Header holds the headers that go on to the endpoint.
	Header http.Header
}
