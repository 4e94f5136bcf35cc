package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"tanagerwood.dev/api/openai"
)

// pastDeadline is a write deadline in the past.
var pastDeadline = time.Unix(1, 0)

// response sends the output tokens of one request, as a stream or in one body.
type response struct {
	engine   *Engine
	w        http.ResponseWriter
	r        *http.Request
	call     *call
	en       *entry
	usage    *openai.Usage
	text     strings.Builder
	silenced bool
	// stopDeadline cancels the interruption of blocked writes; it returns false if that interruption has already started.
	stopDeadline func() bool
}

// send returns false if the response ended before its last token.
func (a *response) send() bool {
	// The end of the request's context also interrupts a write that blocks because the client reads no bytes.
	a.stopDeadline = context.AfterFunc(a.en.ctx, func() { _ = http.NewResponseController(a.w).SetWriteDeadline(pastDeadline) })
	defer a.stopDeadline()
	if a.call.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(a.w).Flush()
	}
	next := time.Now()
	for i := a.call.start; i < a.call.end; i++ {
		next = next.Add(a.engine.interval())
		if !wait(a.en.ctx, time.Until(next)) || !a.sendToken(i) {
			a.abort()
			return false
		}
	}
	if !a.finish() {
		a.abort()
		return false
	}
	return true
}

// abort closes the connection, so that a cancelled response never looks complete.
func (a *response) abort() {
	a.engine.release(a.en)
	panic(http.ErrAbortHandler)
}

func (a *response) sendToken(i int64) bool {
	text := token(a.en.seed, i)
	a.engine.mu.Lock()
	a.en.output = i + 1
	a.engine.stats.OutputTokens++
	a.engine.mu.Unlock()
	if !a.call.Stream {
		a.text.WriteString(text)
	} else if !a.sendChunk(i, text) {
		return false
	}
	return !a.engine.killsStreamAt(i + 1 - a.call.start)
}

func (a *response) sendChunk(i int64, text string) bool {
	if other := a.engine.crossedID(a.en.id); other != a.en.id {
		foreign := a.completion(other, i, token(^a.en.seed, i), false)
		if !a.sendCompletion(foreign) {
			return false
		}
	}
	return a.sendCompletion(a.completion(a.en.id, i, text, i+1 == a.call.end))
}

func (a *response) completion(id string, i int64, text string, last bool) openai.Completion {
	choice := openai.Choice{TokenIndex: &i}
	object := "text_completion"
	if a.call.chat {
		object = "chat.completion.chunk"
		choice.Delta = &openai.Text{Content: text}
		if i == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	if last {
		choice.FinishReason = &a.call.finish
	}
	return openai.Completion{ID: id, Object: object, Created: unixNow(), Model: a.call.Model, Choices: []openai.Choice{choice}}
}

func (a *response) sendCompletion(c openai.Completion) bool {
	body, err := json.Marshal(c)
	if err != nil {
		return false
	}
	return a.writeEvent(body)
}

// writeEvent writes one server-sent event, or nothing if the connection is silent.
func (a *response) writeEvent(body []byte) bool {
	if a.silenced || a.engine.connections.IsSilent(a.r.RemoteAddr) {
		a.silenced = true
		return true
	}
	buf := make([]byte, 0, len(body)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, body...)
	buf = append(buf, "\n\n"...)
	if _, err := a.w.Write(buf); err != nil {
		return false
	}
	return http.NewResponseController(a.w).Flush() == nil
}

// finish releases the memory before the end of the response is sent, so that a client that has read the whole response finds
// nothing allocated. On a silent connection the end is never sent.
func (a *response) finish() bool {
	if !a.stopDeadline() {
		return false
	}
	a.engine.release(a.en)
	if a.silenced || a.engine.connections.IsSilent(a.r.RemoteAddr) {
		select {
		case <-a.r.Context().Done():
		case <-a.engine.closing:
		}
		return false
	}
	if a.call.Stream {
		return a.finishStream()
	}
	writeJSON(a.w, http.StatusOK, a.fullResponse())
	return true
}

func (a *response) finishStream() bool {
	if a.call.start >= a.call.end {
		empty := a.completion(a.en.id, a.call.start, "", true)
		if !a.sendCompletion(empty) {
			return false
		}
	}
	if o := a.call.StreamOptions; o != nil && o.IncludeUsage {
		c := a.completion(a.en.id, 0, "", false)
		c.Choices, c.Usage = []openai.Choice{}, a.usage
		if !a.sendCompletion(c) {
			return false
		}
	}
	return a.writeEvent([]byte("[DONE]"))
}

func (a *response) fullResponse() openai.Completion {
	text := a.text.String()
	choice := openai.Choice{FinishReason: &a.call.finish}
	object := "text_completion"
	if a.call.chat {
		object = "chat.completion"
		choice.Message = &openai.Text{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return openai.Completion{
		ID: a.en.id, Object: object, Created: unixNow(), Model: a.call.Model, Choices: []openai.Choice{choice}, Usage: a.usage,
	}
}
