package callers

import (
	"encoding/json"
	"net/http"
	"strings"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
)

const roleAssistant = "assistant"

// completion serves both completion paths.
func (h *Handler) completion(w http.ResponseWriter, r *http.Request, s *config.Snapshot, id string) error {
	accepted := h.Clock.Now()
	if r.Method != http.MethodPost {
		return methodNotAllowed(w, http.MethodPost)
	}
	customer, digest, err := authenticate(r, s)
	if err != nil {
		return err
	}
	body, err := readBody(w, r, s)
	if err != nil {
		return err
	}
	chat := r.URL.Path == pathChat
	p, err := parseBody(body, chat)
	if err != nil {
		return err
	}
	req, err := buildRequest(s, customer, p)
	if err != nil {
		return err
	}
	req.ID, req.KeyDigest, req.Path, req.Body, req.AcceptedAt = id, digest, r.URL.Path, body, accepted
	a := &answer{handler: h, out: h.deadline(w), chat: chat, parsed: p, template: openai.Completion{
		ID: answerID(id, chat), Created: accepted.Unix(), Model: p.Model,
	}}
	result, err := h.Models.Serve(r.Context(), req, a)
	if err != nil {
		return a.fail(err)
	}
	return a.finish(result)
}

func buildRequest(s *config.Snapshot, customer *config.Customer, p *parsed) (*modelpath.Request, error) {
	model, ok := s.Model(p.Model)
	if !ok || !customer.MayUse(p.Model) {
		return nil, errUnknownModel()
	}
	class, ok := s.Class(model.Class)
	if !ok {
		class = &catalogue.Class{Name: model.Class}
	}
	output, err := p.outputLimit(model)
	if err != nil {
		return nil, err
	}
	prompt, err := p.promptTokens(model)
	if err != nil {
		return nil, err
	}
	return &modelpath.Request{
		Customer: customer, Model: model, Class: class,
		PromptTokens: prompt, MaxTokens: output, BlockHashes: engine.BlockHashes(p.prompt),
	}, nil
}

// errUnknownModel is the same for models that do not exist and models of others, which a customer need not know of.
func errUnknownModel() error {
	return fault.New(fault.NotFound, "the model does not exist or is not granted to you; name one of GET /v1/models")
}

func answerID(request string, chat bool) string {
	if chat {
		return "chatcmpl-" + request
	}
	return "cmpl-" + request
}

func methodNotAllowed(w http.ResponseWriter, allowed string) error {
	w.Header().Set("Allow", allowed)
	return fault.New(fault.BadRequest, "this path takes "+allowed+" only")
}

// answer writes the tokens of one request, streamed or whole. It implements modelpath.TokenWriter.
type answer struct {
	handler  *Handler
	out      *deadlineWriter
	chat     bool
	parsed   *parsed
	template openai.Completion
	text     strings.Builder
	started  bool
}

// WriteToken implements modelpath.TokenWriter.
func (a *answer) WriteToken(text string) error {
	if !a.parsed.Stream {
		a.text.WriteString(text)
		return nil
	}
	if err := a.start(); err != nil {
		return err
	}
	return a.event(a.chunk(text, nil))
}

// start sends the header, and in a chat the chunk that names the role.
func (a *answer) start() error {
	if a.started {
		return nil
	}
	a.started = true
	header := a.out.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	a.out.WriteHeader(http.StatusOK)
	if !a.chat {
		return nil
	}
	c := a.chunk("", nil)
	c.Choices[0].Delta.Role = roleAssistant
	return a.event(c)
}

func (a *answer) chunk(text string, finish *string) openai.Completion {
	c := a.template
	choice := openai.Choice{FinishReason: finish}
	if a.chat {
		c.Object = "chat.completion.chunk"
		choice.Delta = &openai.Text{Content: text}
	} else {
		c.Object = "text_completion"
		choice.Text = &text
	}
	c.Choices = []openai.Choice{choice}
	return c
}

func (a *answer) event(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.raw(raw)
}

func (a *answer) raw(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := a.out.Write(line); err != nil {
		return err
	}
	return a.out.flush()
}

// fail ends a started stream with an error event; otherwise the error becomes the answer.
func (a *answer) fail(err error) error {
	if !a.started {
		return err
	}
	_ = a.event(errorBody(fault.As(err)))
	return nil
}

func (a *answer) finish(result modelpath.Result) error {
	if a.parsed.Stream {
		a.finishStream(result)
		return nil
	}
	c := a.template
	text := a.text.String()
	choice := openai.Choice{FinishReason: &result.FinishReason}
	if a.chat {
		c.Object = "chat.completion"
		choice.Message = &openai.Text{Role: roleAssistant, Content: text}
	} else {
		c.Object = "text_completion"
		choice.Text = &text
	}
	c.Choices, c.Usage = []openai.Choice{choice}, &result.Usage
	a.handler.writeJSON(a.out.ResponseWriter, http.StatusOK, c)
	return nil
}

// finishStream sends the last chunks. A write error has no one left to tell.
func (a *answer) finishStream(result modelpath.Result) {
	if a.start() != nil {
		return
	}
	if a.event(a.chunk("", &result.FinishReason)) != nil {
		return
	}
	if o := a.parsed.StreamOptions; o != nil && o.IncludeUsage {
		c := a.chunk("", nil)
		c.Choices, c.Usage = []openai.Choice{}, &result.Usage
		if a.event(c) != nil {
			return
		}
	}
	_ = a.raw([]byte("[DONE]"))
}
