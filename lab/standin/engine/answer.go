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
func (resp *response) send() bool {
	// The end of the request's context also interrupts a write that blocks because the client reads no bytes.
	resp.stopDeadline = context.AfterFunc(resp.en.ctx,
		func() { _ = http.NewResponseController(resp.w).SetWriteDeadline(pastDeadline) })
	defer resp.stopDeadline()
	if resp.call.Stream {
		resp.w.Header().Set("Content-Type", "text/event-stream")
		resp.w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(resp.w).Flush()
	}
	next := time.Now()
	for i := resp.call.start; i < resp.call.end; i++ {
		next = next.Add(resp.engine.interval())
		if !wait(resp.en.ctx, time.Until(next)) || !resp.sendToken(i) {
			resp.abort()
			return false
		}
	}
	if !resp.finish() {
		resp.abort()
		return false
	}
	return true
}

// abort closes the connection, so that a cancelled response never looks complete.
func (resp *response) abort() {
	resp.engine.release(resp.en)
	panic(http.ErrAbortHandler)
}

func (resp *response) sendToken(i int64) bool {
	text := token(resp.en.seed, i)
	resp.engine.mu.Lock()
	resp.en.output = i + 1
	resp.engine.stats.OutputTokens++
	resp.engine.mu.Unlock()
	if !resp.call.Stream {
		resp.text.WriteString(text)
	} else if !resp.sendChunk(i, text) {
		return false
	}
	return !resp.engine.killsStreamAt(i + 1 - resp.call.start)
}

func (resp *response) sendChunk(i int64, text string) bool {
	if other := resp.engine.crossedID(resp.en.id); other != resp.en.id {
		foreign := resp.completion(other, i, token(^resp.en.seed, i), false)
		if !resp.sendCompletion(foreign) {
			return false
		}
	}
	return resp.sendCompletion(resp.completion(resp.en.id, i, text, i+1 == resp.call.end))
}

func (resp *response) completion(id string, i int64, text string, last bool) openai.Completion {
	choice := openai.Choice{TokenIndex: &i}
	object := "text_completion"
	if resp.call.chat {
		object = "chat.completion.chunk"
		choice.Delta = &openai.Text{Content: text}
		if i == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	if last {
		choice.FinishReason = &resp.call.finish
	}
	return openai.Completion{ID: id, Object: object, Created: unixNow(), Model: resp.call.Model, Choices: []openai.Choice{choice}}
}

func (resp *response) sendCompletion(c openai.Completion) bool {
	body, err := json.Marshal(c)
	if err != nil {
		return false
	}
	return resp.writeEvent(body)
}

// writeEvent writes one server-sent event, or nothing if the connection is silent.
func (resp *response) writeEvent(body []byte) bool {
	if resp.silenced || resp.engine.connections.IsSilent(resp.r.RemoteAddr) {
		resp.silenced = true
		return true
	}
	buf := make([]byte, 0, len(body)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, body...)
	buf = append(buf, "\n\n"...)
	if _, err := resp.w.Write(buf); err != nil {
		return false
	}
	return http.NewResponseController(resp.w).Flush() == nil
}

// finish releases the memory before the end of the response is sent, so that a client that has read the whole response finds
// nothing allocated. On a silent connection the end is never sent.
func (resp *response) finish() bool {
	if !resp.stopDeadline() {
		return false
	}
	resp.engine.release(resp.en)
	if resp.silenced || resp.engine.connections.IsSilent(resp.r.RemoteAddr) {
		select {
		case <-resp.r.Context().Done():
		case <-resp.engine.closing:
		}
		return false
	}
	if resp.call.Stream {
		return resp.finishStream()
	}
	writeJSON(resp.w, http.StatusOK, resp.fullResponse())
	return true
}

func (resp *response) finishStream() bool {
	if resp.call.start >= resp.call.end {
		empty := resp.completion(resp.en.id, resp.call.start, "", true)
		if !resp.sendCompletion(empty) {
			return false
		}
	}
	if o := resp.call.StreamOptions; o != nil && o.IncludeUsage {
		c := resp.completion(resp.en.id, 0, "", false)
		c.Choices, c.Usage = []openai.Choice{}, resp.usage
		if !resp.sendCompletion(c) {
			return false
		}
	}
	return resp.writeEvent([]byte("[DONE]"))
}

func (resp *response) fullResponse() openai.Completion {
	text := resp.text.String()
	choice := openai.Choice{FinishReason: &resp.call.finish}
	object := "text_completion"
	if resp.call.chat {
		object = "chat.completion"
		choice.Message = &openai.Text{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return openai.Completion{
		ID: resp.en.id, Object: object, Created: unixNow(), Model: resp.call.Model,
		Choices: []openai.Choice{choice}, Usage: resp.usage,
	}
}
