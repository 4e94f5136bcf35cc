package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
)

const (
	// defaultMaxTokens applies if the call sets no limit.
	defaultMaxTokens = 256
	maxBodyBytes     = 32 << 20
)

// call is a decoded completion call. Token limits count from output token 0, so they include the tokens of a continuation.
type call struct {
	openai.Request
	engine.Extension
	// LabOutputTokens makes the response stop after that many tokens, as an end-of-sequence token does.
	LabOutputTokens int64 `json:"lab_output_tokens"`

	chat  bool
	start int64
	// end is the index after the last output token; start is the index of the first one to send.
	end    int64
	finish string
}

func (e *Engine) parse(r *http.Request) (*call, *entry, *httpError) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, nil, reject(http.StatusBadRequest, "bad_request", "the body ended early")
	}
	c := &call{chat: r.URL.Path == "/v1/chat/completions", finish: "length"}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, nil, reject(http.StatusBadRequest, "bad_request", "the body is not JSON: "+err.Error())
	}
	text, err := engine.PromptTextOf(c.Request)
	if err != nil {
		return nil, nil, reject(http.StatusBadRequest, "bad_request", err.Error())
	}
	c.setTokenRange()
	return c, e.newEntry(c, text), nil
}

func (c *call) setTokenRange() {
	c.end = defaultMaxTokens
	if c.MaxTokens != nil {
		c.end = *c.MaxTokens
	}
	if c.MaxCompletionTokens != nil {
		c.end = *c.MaxCompletionTokens
	}
	if c.LabOutputTokens > 0 && c.LabOutputTokens < c.end {
		c.end, c.finish = c.LabOutputTokens, "stop"
	}
	if c.Continuation != nil {
		c.start = c.Continuation.Tokens
	}
}

func (c *call) prefillOnly() bool { return c.KVTransfer != nil && c.KVTransfer.DoRemoteDecode }
func (c *call) decodeOnly() bool  { return c.KVTransfer != nil && c.KVTransfer.DoRemotePrefill }

func (e *Engine) newEntry(c *call, text string) *entry {
	en := &entry{id: c.RequestID, phase: engine.PhaseWaiting, seed: xxhash.Sum64String(text), output: c.start, max: c.end}
	if en.id == "" {
		e.mu.Lock()
		e.anonymousRequests++
		en.id = "local-" + strconv.FormatInt(e.anonymousRequests, 10)
		e.mu.Unlock()
	}
	en.prompt = max(1, (int64(len(text))+e.opts.BytesPerToken-1)/e.opts.BytesPerToken) + c.start
	if c.Continuation != nil {
		text += c.Continuation.Text
	}
	en.kvKey = xxhash.Sum64String(text)
	if !c.decodeOnly() {
		en.prefix = engine.BlockHashes(text)
	}
	en.slot = !c.prefillOnly()
	en.blocks = e.blocksFor(en.prompt)
	if en.slot {
		en.blocks = e.blocksFor(en.prompt + c.end - c.start)
	}
	return en
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, en, rejected := e.parse(r)
	if rejected == nil {
		rejected = e.checkRequest(c, en)
	}
	if rejected == nil {
		rejected = e.allocate(en)
	}
	if rejected != nil {
		writeError(w, rejected)
		return
	}
	stopClient := context.AfterFunc(r.Context(), func() { en.cancel(errDisconnected) })
	defer stopClient()
	if c.prefillOnly() {
		e.servePrefill(w, r, c, en, stopClient)
		return
	}
	defer e.release(en)
	e.serveDecode(w, r, c, en)
}

// checkRequest checks the conditions that do not depend on free memory.
func (e *Engine) checkRequest(c *call, en *entry) *httpError {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse {
		return reject(http.StatusServiceUnavailable, "refusing", "the engine refuses new work; use another engine")
	}
	if (e.role == RolePrefill && !c.prefillOnly()) || (e.role == RoleDecode && !c.decodeOnly()) {
		return reject(http.StatusBadRequest, "wrong_role", "the engine's role is "+string(e.role)+"; set kv_transfer_params for it")
	}
	if c.Model != "" && c.Model != e.model {
		return reject(http.StatusNotFound, "model_not_loaded", "the engine serves "+e.model+"; use an engine of the model")
	}
	if en.blocks > e.opts.Blocks {
		return reject(http.StatusBadRequest, "too_long", "the request needs more KV cache than the engine has; shorten it")
	}
	return nil
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, c *call, en *entry, stopClient func() bool) {
	exported := false
	defer func() {
		if !exported {
			e.release(en)
		}
	}()
	cached, err := e.queue.prefill(en, c.Priority)
	if err == nil {
		e.delayResponse(en)
		err = context.Cause(en.ctx)
	}
	if err != nil {
		e.countWasted(en)
		writeError(w, reject(http.StatusConflict, "cancelled", err.Error()))
		return
	}
	result := engine.PrefillResult{PromptTokens: en.prompt, CachedTokens: cached, KVTransfer: engine.KVTransfer{
		DoRemotePrefill: true, RemoteEngine: e.opts.Name, RemoteURL: e.url(r), RemoteRequestID: e.crossedID(en.id),
		Bytes: e.kvBytes(en.prompt), ExpiresInMS: e.opts.KVExpiry.Milliseconds(),
	}}
	stopClient()
	e.export(en)
	exported = true
	if e.connections.IsSilent(r.RemoteAddr) {
		<-r.Context().Done()
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// countWasted counts a prompt that was cancelled before its export.
func (e *Engine) countWasted(en *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.WastedPrompts++
	e.stats.WastedTokens += en.computed
}

func (e *Engine) url(r *http.Request) string {
	if e.opts.URL != "" {
		return e.opts.URL
	}
	return "http://" + r.Host
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, c *call, en *entry) {
	cached := int64(0)
	if c.decodeOnly() {
		e.setPhase(en, engine.PhaseImport)
		if failed := e.importKV(en, c.KVTransfer); failed != nil {
			writeError(w, failed)
			return
		}
	} else {
		var err error
		if cached, err = e.queue.prefill(en, c.Priority); err != nil {
			e.countWasted(en)
			writeError(w, reject(http.StatusConflict, "cancelled", err.Error()))
			return
		}
	}
	e.startDecode(en)
	e.delayResponse(en)
	e.record(event.DecodeStarted, en, "")
	resp := &response{engine: e, w: w, r: r, call: c, en: en, usage: e.usage(c, en, cached)}
	completed := false
	defer func() { e.endDecode(en, completed) }()
	completed = resp.send()
}

func (e *Engine) usage(c *call, en *entry, cached int64) *openai.Usage {
	prompt := en.prompt - c.start
	return &openai.Usage{
		PromptTokens: prompt, CompletionTokens: c.end, TotalTokens: prompt + c.end,
		PromptTokensDetails: &openai.PromptDetails{CachedTokens: cached},
	}
}

func (e *Engine) startDecode(en *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	en.phase = engine.PhaseDecode
	e.decoding++
}

func (e *Engine) endDecode(en *entry, completed bool) {
	e.mu.Lock()
	e.decoding--
	if completed {
		e.stats.AnswersCompleted++
	}
	e.mu.Unlock()
	if !completed {
		e.countAborted(en)
	}
	e.record(event.DecodeEnded, en, "")
}
