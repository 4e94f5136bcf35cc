package callers

import (
	"testing"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/fault"
)

// FuzzParseBody guards against panics, and against the acceptance of bodies that lack a model, a prompt or a valid limit.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":["x"],"max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}`), false)
	f.Add([]byte(`{"model":"m","prompt":"x","n":1,"tools":[]}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":-1}`), true)
	f.Add([]byte(`{"model":"m","Model":"o","messages":null}`), true)
	f.Add([]byte("null"), true)
	model := &catalogue.Model{Name: "m", BytesPerToken: 4, MaxPromptTokens: 100, MaxOutputTokens: 10}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		p, err := parseBody(body, chat)
		if err != nil {
			if !fault.Is(err, fault.BadRequest) {
				t.Fatalf("error of another kind: %v", err)
			}
			return
		}
		if p.Model == "" || p.prompt == "" {
			t.Fatalf("accepted without model or prompt: %q", body)
		}
		if limit, err := p.outputLimit(model); err == nil && (limit < 1 || limit > 10) {
			t.Fatalf("limit %d accepted", limit)
		}
		if tokens, err := p.promptTokens(model); err == nil && (tokens < 1 || tokens > 100) {
			t.Fatalf("prompt of %d tokens accepted", tokens)
		}
	})
}
