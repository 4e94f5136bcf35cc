package callers

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"unicode/utf8"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
)

// maxPreallocate limits the number of bytes that are allocated for a body only because of its Content-Length.
const maxPreallocate = 1 << 20

func readAll(r io.Reader, length int64) ([]byte, error) {
	var b bytes.Buffer
	if length > 0 {
		b.Grow(int(min(length, maxPreallocate)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

// parsedRequest is a decoded request body: the fields that the router uses, and the text of the prompt.
type parsedRequest struct {
	openai.Request
	prompt string
}

// unsupportedFields are the fields that change the response in ways that the router does not support.
var unsupportedFields = []struct {
	name string
	// harmlessValues do not change the response, and are accepted.
	harmlessValues []string
}{
	{"n", []string{"1"}},
	{"best_of", []string{"1"}},
	{"echo", []string{"false"}},
	{"logprobs", []string{"false"}},
	{"tools", []string{"[]"}},
	{"functions", []string{"[]"}},
}

// parseBody decodes a request body. Field names are case-sensitive, because the engine must not read another model or
// limit than the router does.
func parseBody(body []byte, chat bool) (*parsedRequest, error) {
	fields, err := decodeObject(body)
	if err != nil {
		return nil, err
	}
	if err := rejectUnsupported(fields); err != nil {
		return nil, err
	}
	p := &parsedRequest{}
	targets := []struct {
		name   string
		target any
		want   string
	}{
		{"model", &p.Model, "a string"},
		{"max_tokens", &p.MaxTokens, "a whole number"},
		{"max_completion_tokens", &p.MaxCompletionTokens, "a whole number"},
		{"stream", &p.Stream, "a boolean"},
		{"stream_options", &p.StreamOptions, "an object"},
	}
	for _, t := range targets {
		if err := decodeField(fields, t.name, t.target, t.want); err != nil {
			return nil, err
		}
	}
	if p.Model == "" {
		return nil, fault.New(fault.BadRequest, `"model" is missing; name one of GET /v1/models`)
	}
	if p.StreamOptions != nil && !p.Stream {
		return nil, fault.New(fault.BadRequest, `"stream_options" needs "stream": true`)
	}
	if err := p.decodePrompt(fields, chat); err != nil {
		return nil, err
	}
	return p, nil
}

// decodeObject decodes a body that must be exactly one JSON object.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
	if !utf8.Valid(body) {
		return nil, fault.New(fault.BadRequest, "the body is not UTF-8; encode it so")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.New(fault.BadRequest, "the body is not one JSON object: "+err.Error())
	}
	if fields == nil {
		return nil, fault.New(fault.BadRequest, "the body is null; send a JSON object")
	}
	return fields, nil
}

func decodeField(fields map[string]json.RawMessage, name string, target any, want string) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fault.New(fault.BadRequest, strconv.Quote(name)+" is not "+want)
	}
	return nil
}

func rejectUnsupported(fields map[string]json.RawMessage) error {
	for _, u := range unsupportedFields {
		raw, ok := fields[u.name]
		if !ok || string(raw) == "null" {
			continue
		}
		harmless := false
		for _, value := range u.harmlessValues {
			harmless = harmless || string(raw) == value
		}
		if !harmless {
			return fault.New(fault.BadRequest, strconv.Quote(u.name)+" is not supported here; leave it out")
		}
	}
	return nil
}

func (p *parsedRequest) decodePrompt(fields map[string]json.RawMessage, chat bool) error {
	if chat {
		if err := decodeField(fields, "messages", &p.Messages, "a list of messages"); err != nil {
			return err
		}
		if len(p.Messages) == 0 {
			return fault.New(fault.BadRequest, `"messages" is missing or empty; send at least one message`)
		}
	} else {
		p.Prompt = fields["prompt"]
		if len(p.Prompt) == 0 {
			return fault.New(fault.BadRequest, `"prompt" is missing; send a string`)
		}
	}
	text, err := engine.PromptTextOf(p.Request)
	if err != nil {
		return fault.New(fault.BadRequest, "the prompt is not text: send strings, text parts, or a list with one string")
	}
	p.prompt = text
	return nil
}

// outputLimit returns the maximum number of tokens of the response.
func (p *parsedRequest) outputLimit(m *catalogue.Model) (int64, error) {
	limit := m.DefaultOutputTokens
	if limit == 0 {
		limit = m.MaxOutputTokens
	}
	if p.MaxTokens != nil {
		limit = *p.MaxTokens
	}
	if p.MaxCompletionTokens != nil {
		limit = *p.MaxCompletionTokens
	}
	if limit < 1 || limit > m.MaxOutputTokens {
		return 0, fault.New(fault.BadRequest, `"max_tokens" must be between 1 and `+strconv.FormatInt(m.MaxOutputTokens, 10)+" for this model")
	}
	return limit, nil
}

// promptTokens returns an upper bound of the number of tokens in the prompt. It is an upper bound because BytesPerToken
// is a lower bound of the bytes per token.
func (p *parsedRequest) promptTokens(m *catalogue.Model) (int64, error) {
	perToken := max(m.BytesPerToken, 1)
	tokens := max(1, (int64(len(p.prompt))+perToken-1)/perToken)
	if tokens > m.MaxPromptTokens {
		return 0, fault.New(fault.BadRequest, "the prompt has up to "+strconv.FormatInt(tokens, 10)+
			" tokens and the model takes "+strconv.FormatInt(m.MaxPromptTokens, 10)+"; shorten it")
	}
	return tokens, nil
}
