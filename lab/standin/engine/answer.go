package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"tanagerwood.dev/api/openai"
)

// unixEpoch is a write deadline in the past.
var unixEpoch = time.Unix(1, 0)

// answer sends the output tokens of one request, streamed or whole.
type answer struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	call   *call
	en     *entry
	usage  *openai.Usage
	whole  strings.Builder
	quiet  bool
	// unbound stops the early end of writes; it returns false if that has happened.
	unbound func() bool
}

// send returns false if the answer ended before its last token.
func (a *answer) send() bool {
	// Whatever ends the request early also ends a write to a client that takes no bytes.
	a.unbound = context.AfterFunc(a.en.ctx, func() { _ = http.NewResponseController(a.w).SetWriteDeadline(unixEpoch) })
	defer a.unbound()
	if a.call.Stream {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(a.w).Flush()
	}
	next := time.Now()
	for i := a.call.from; i < a.call.until; i++ {
		next = next.Add(a.engine.interval())
		if !wait(a.en.ctx, time.Until(next)) || !a.token(i) {
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

// abort cuts the connection, so that a cancelled answer never looks complete.
func (a *answer) abort() {
	a.engine.release(a.en)
	panic(http.ErrAbortHandler)
}

func (a *answer) token(i int64) bool {
	text := token(a.en.seed, i)
	a.engine.mu.Lock()
	a.en.output = i + 1
	a.engine.stats.OutputTokens++
	a.engine.mu.Unlock()
	if !a.call.Stream {
		a.whole.WriteString(text)
	} else if !a.chunk(i, text) {
		return false
	}
	return !a.engine.killsAt(i + 1 - a.call.from)
}

func (a *answer) chunk(i int64, text string) bool {
	if other := a.engine.crossed(a.en.id); other != a.en.id {
		foreign := a.completion(other, i, token(^a.en.seed, i), false)
		if !a.event(foreign) {
			return false
		}
	}
	return a.event(a.completion(a.en.id, i, text, i+1 == a.call.until))
}

func (a *answer) completion(id string, i int64, text string, last bool) openai.Completion {
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

func (a *answer) event(c openai.Completion) bool {
	body, err := json.Marshal(c)
	if err != nil {
		return false
	}
	return a.raw(body)
}

// raw writes one event, or nothing if the connection has gone silent.
func (a *answer) raw(body []byte) bool {
	if a.quiet || a.engine.connections.IsSilent(a.r.RemoteAddr) {
		a.quiet = true
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

// finish frees the memory before the answer ends, so that a client that has the whole answer finds nothing held. On a
// silent connection the end is never sent.
func (a *answer) finish() bool {
	if !a.unbound() {
		return false
	}
	a.engine.release(a.en)
	if a.quiet || a.engine.connections.IsSilent(a.r.RemoteAddr) {
		select {
		case <-a.r.Context().Done():
		case <-a.engine.closing:
		}
		return false
	}
	if a.call.Stream {
		return a.finishStream()
	}
	writeJSON(a.w, http.StatusOK, a.wholeAnswer())
	return true
}

func (a *answer) finishStream() bool {
	if a.call.from >= a.call.until {
		empty := a.completion(a.en.id, a.call.from, "", true)
		if !a.event(empty) {
			return false
		}
	}
	if o := a.call.StreamOptions; o != nil && o.IncludeUsage {
		c := a.completion(a.en.id, 0, "", false)
		c.Choices, c.Usage = []openai.Choice{}, a.usage
		if !a.event(c) {
			return false
		}
	}
	return a.raw([]byte("[DONE]"))
}

func (a *answer) wholeAnswer() openai.Completion {
	text := a.whole.String()
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
