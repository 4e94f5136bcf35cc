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

// serveCompletion serves POST /v1/chat/completions and POST /v1/completions.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, s *config.Snapshot, id string) error {
	accepted := h.Clock.Now()
	if r.Method != http.MethodPost {
		return methodNotAllowed(w, http.MethodPost)
	}
	customer, digest, err := authenticate(r, s)
	if err != nil {
		return err
	}
	body, err := h.readBody(w, r, s)
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
	cw := &completionWriter{handler: h, out: h.withWriteDeadline(w), chat: chat, parsed: p, template: openai.Completion{
		ID: completionID(id, chat), Created: accepted.Unix(), Model: p.Model,
	}}
	result, err := h.Models.Serve(r.Context(), req, cw)
	if err != nil {
		return cw.fail(err)
	}
	return cw.finish(result)
}

func buildRequest(s *config.Snapshot, customer *config.Customer, p *parsedRequest) (*modelpath.Request, error) {
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

// errUnknownModel returns the same error for models that do not exist and for models that the customer may not use, so
// that it does not reveal which models exist for others.
func errUnknownModel() error {
	return fault.New(fault.NotFound, "the model does not exist or is not granted to you; name one of GET /v1/models")
}

func completionID(request string, chat bool) string {
	if chat {
		return "chatcmpl-" + request
	}
	return "cmpl-" + request
}

func methodNotAllowed(w http.ResponseWriter, allowed string) error {
	w.Header().Set("Allow", allowed)
	return fault.New(fault.BadRequest, "this path takes "+allowed+" only")
}

// completionWriter writes the response to one request, as a stream of events or as one JSON object. It implements
// modelpath.TokenWriter.
type completionWriter struct {
	handler  *Handler
	out      *deadlineWriter
	chat     bool
	parsed   *parsedRequest
	template openai.Completion
	text     strings.Builder
	started  bool
}

// WriteToken implements modelpath.TokenWriter.
func (a *completionWriter) WriteToken(text string) error {
	if !a.parsed.Stream {
		a.text.WriteString(text)
		return nil
	}
	if err := a.start(); err != nil {
		return err
	}
	return a.writeEvent(a.newChunk(text, nil))
}

// start sends the header of a stream if it was not sent yet, and for a chat request the chunk that contains the role.
func (a *completionWriter) start() error {
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
	c := a.newChunk("", nil)
	c.Choices[0].Delta.Role = roleAssistant
	return a.writeEvent(c)
}

func (a *completionWriter) newChunk(text string, finish *string) openai.Completion {
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

func (a *completionWriter) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.writeData(raw)
}

func (a *completionWriter) writeData(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := a.out.Write(line); err != nil {
		return err
	}
	return a.out.flush()
}

// fail ends a stream that has started with an error event. Otherwise it returns the error, which becomes the response.
func (a *completionWriter) fail(err error) error {
	if !a.started {
		return err
	}
	_ = a.writeEvent(errorBody(fault.As(err)))
	return nil
}

func (a *completionWriter) finish(result modelpath.Result) error {
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

// finishStream sends the last chunks. Write errors are ignored, because the caller can no longer receive a response.
func (a *completionWriter) finishStream(result modelpath.Result) {
	if a.start() != nil {
		return
	}
	if a.writeEvent(a.newChunk("", &result.FinishReason)) != nil {
		return
	}
	if o := a.parsed.StreamOptions; o != nil && o.IncludeUsage {
		c := a.newChunk("", nil)
		c.Choices, c.Usage = []openai.Choice{}, &result.Usage
		if a.writeEvent(c) != nil {
			return
		}
	}
	_ = a.writeData([]byte("[DONE]"))
}
