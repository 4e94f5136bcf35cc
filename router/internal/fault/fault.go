// Package fault defines the typed errors of the router. Every error has a kind, which determines the HTTP status and
// the OpenAI error code, an outcome, which says whether the request ran, and a message that names the remedy.
package fault

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"tanagerwood.dev/api/openai"
)

// Kind classifies an error. Its value is the error code that callers receive.
type Kind string

// Kinds of errors.
const (
	BadRequest            Kind = "bad_request"
	Unauthorized          Kind = "invalid_api_key"
	Forbidden             Kind = "not_allowed"
	NotFound              Kind = "not_found"
	TooLarge              Kind = "body_too_large"
	ExceedsBurst          Kind = "exceeds_customer_burst"
	RateLimited           Kind = "rate_limited"
	Overloaded            Kind = "overloaded"
	InstanceNotConfirmed  Kind = "instance_not_confirmed"
	PlatformUnavailable   Kind = "platform_unavailable"
	KeyWithdrawn          Kind = "key_withdrawn"
	EndpointFailed        Kind = "endpoint_failed"
	EndpointRefused       Kind = "endpoint_refused"
	Timeout               Kind = "timeout"
	CallerDisconnected    Kind = "caller_gone"
	Conflict              Kind = "conflict"
	IdempotencyKeyReused  Kind = "idempotency_key_reused"
	IdempotencyKeyMissing Kind = "idempotency_key_missing"
	NoEndpoint            Kind = "no_endpoint"
	PromptQuarantined     Kind = "prompt_quarantined"
	Draining              Kind = "draining"
	Internal              Kind = "internal_error"
	InvalidSettings       Kind = "invalid_settings"
	InvalidCatalogue      Kind = "invalid_catalogue"
)

// ImpliesNotRun reports whether callers take an HTTP status to mean that the request has not run and never will. They then repeat even
// requests that are not idempotent.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Error is an error with a kind, an outcome and a message for callers.
type Error struct {
	Kind    Kind
	Outcome openai.Outcome
	// Message describes the failure and the remedy for the caller.
	Message string
	// RetryAfter is the delay before a retry; zero means that a retry does not help.
	RetryAfter time.Duration
	// Cause is the underlying error, wrapped with a stack trace. It is never sent to callers.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of the given kind whose outcome is that the request did not run.
func New(kind Kind, message string) *Error {
	return &Error{Kind: kind, Outcome: openai.NotRun, Message: message}
}

// Wrap returns an error of the given kind and outcome, with a cause.
func Wrap(cause error, kind Kind, outcome openai.Outcome, message string) *Error {
	return &Error{Kind: kind, Outcome: outcome, Message: message, Cause: eris.Wrap(cause, string(kind))}
}

// WithRetryAfter returns a copy of the error with the delay before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(o openai.Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// As returns the first Error in err's chain. If there is none, it wraps err in an Error of kind Internal with outcome
// unknown.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, openai.Unknown, "internal error; see the instance's timeline for the request id")
}

// Is reports whether the first Error in err's chain is of the given kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
