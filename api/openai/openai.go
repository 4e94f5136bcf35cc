// Package openai holds the parts of the OpenAI-compatible HTTP API that the router reads or writes.
// Request bodies are forwarded to engines; the router decodes only the fields that its decisions depend on.
package openai

import "encoding/json"

// Outcome tells a client whether the work of a failed request may have been executed.
type Outcome string

const (
	// NotRun guarantees that no byte of the request can have reached an endpoint.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
	// Partial means that a part of the response was sent and the rest will not follow.
	Partial Outcome = "partial"
)

// OutcomeHeader is the header that repeats the outcome of the error body.
const OutcomeHeader = "X-Outcome"

// RequestIDHeader is the header with the router's request id, which is set on every response to a caller.
const RequestIDHeader = "X-Request-Id"

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is the OpenAI error object, extended by the outcome.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Outcome Outcome `json:"outcome"`
}

// Message is one message of a chat. Content stays raw because it may be a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Request is the decoded part of a body of /v1/chat/completions or /v1/completions.
type Request struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages,omitempty"`
	Prompt              json.RawMessage `json:"prompt,omitempty"`
	MaxTokens           *int64          `json:"max_tokens,omitempty"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *StreamOptions  `json:"stream_options,omitempty"`
	N                   *int            `json:"n,omitempty"`
}

// StreamOptions can request a final chunk with the usage.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens        int64          `json:"prompt_tokens"`
	CompletionTokens    int64          `json:"completion_tokens"`
	TotalTokens         int64          `json:"total_tokens"`
	PromptTokensDetails *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails holds the number of prompt tokens that the engine's prefix cache contained.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Completion is a complete response or one chunk of a stream. It is a chunk if Object ends in "chunk" or if a text completion
// is streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one generated completion. Chat completions use Message or Delta, text completions use Text.
type Choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Message      *Text   `json:"message,omitempty"`
	Delta        *Text   `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
	// TokenIndex is the engine's number of the output token, from 0. Engines send it to the router; the router
	// does not pass it on.
	TokenIndex *int64 `json:"token_index,omitempty"`
}

// Text is a message, or the part of one in a chunk.
type Text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model describes one model.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
