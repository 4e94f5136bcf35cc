// Package openai holds the parts of the OpenAI-compatible HTTP API that the router reads or writes.
// Request bodies pass through to engines; the router decodes only the fields it decides on.
package openai

import "encoding/json"

// Outcome is the machine-readable meaning of a refusal.
type Outcome string

const (
	// NotRun promises that no byte of the work can have reached an endpoint.
	NotRun Outcome = "not_run"
	// Unknown says that the work may have run.
	Unknown Outcome = "unknown"
	// Partial says that a part of the answer was sent and the rest will not come.
	Partial Outcome = "partial"
)

// OutcomeHeader carries the outcome beside the error body.
const OutcomeHeader = "X-Outcome"

// RequestIDHeader carries the router's id of the request on every answer to a caller.
const RequestIDHeader = "X-Request-Id"

// ErrorBody is the body of every error answer.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is the OpenAI error object, extended with the outcome.
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

// StreamOptions asks for a final usage chunk.
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

// PromptDetails tells how many prompt tokens came from the engine's prefix cache.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Completion is a whole answer or, with object "…chunk" or a streamed text completion, one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one answer. Chat uses Message or Delta, text completions use Text.
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

// ModelList is the answer of GET /v1/models.
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
