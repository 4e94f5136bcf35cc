package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
)

// Headers of GET /kv/{id}.
const (
	headerKVBytes  = "X-Kv-Bytes"
	headerKVPrompt = "X-Kv-Prompt"
)

// export keeps the entry's KV cache for another engine until it is fetched, cancelled or expired.
func (e *Engine) export(en *entry) {
	e.mu.Lock()
	en.phase = engine.PhaseExport
	en.exportedUntil = time.Now().Add(e.opts.KVExpiry)
	e.mu.Unlock()
	expiry := time.AfterFunc(e.opts.KVExpiry, func() {
		e.mu.Lock()
		fetching := en.fetching
		e.mu.Unlock()
		if !fetching {
			en.cancel(errExpired)
		}
	})
	context.AfterFunc(en.ctx, func() {
		expiry.Stop()
		e.countExport(en)
		e.release(en)
	})
}

func (e *Engine) countExport(en *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en.fetching {
		e.stats.ExportsFetched++
		return
	}
	e.stats.WastedPrompts++
	e.stats.WastedTokens += en.computed
	if context.Cause(en.ctx) == errExpired {
		e.stats.ExportsExpired++
	}
}

// serveKV lets another engine fetch exported KV cache. The reader closes the connection when its link has carried the
// bytes, which frees the memory here; a reader that dies frees it too.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	en := e.startFetch(r.PathValue("id"))
	if en == nil {
		writeError(w, refusal(http.StatusNotFound, "kv_not_found", "no exported KV cache has this id; it expired or was fetched"))
		return
	}
	w.Header().Set(headerKVBytes, strconv.FormatInt(e.kvBytes(en.prompt), 10))
	w.Header().Set(headerKVPrompt, strconv.FormatUint(en.kvKey, 16))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-en.ctx.Done():
	}
	en.cancel(errFetched)
	<-en.released
}

// startFetch returns the entry of exported KV cache that has not expired. The time decides, as the timer that releases the
// cache fires late on a busy machine.
func (e *Engine) startFetch(id string) *entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	for en := range e.entries {
		if en.id == id && en.phase == engine.PhaseExport && !en.fetching && en.ctx.Err() == nil && time.Now().Before(en.exportedUntil) {
			en.fetching = true
			return en
		}
	}
	return nil
}

func (e *Engine) kvBytes(tokens int64) int64 { return tokens * e.opts.KVBytesPerToken }

// importKV fetches KV cache over this engine's link, which carries one transfer at a time.
func (e *Engine) importKV(en *entry, kv *engine.KVTransfer) *httpError {
	e.record(event.TransferStarted, en, kv.RemoteURL)
	r, err := http.NewRequestWithContext(en.ctx, http.MethodGet, kv.RemoteURL+"/kv/"+kv.RemoteRequestID, nil)
	if err != nil {
		return refusal(http.StatusBadRequest, "bad_kv_url", "remote_url is not a URL: "+err.Error())
	}
	e.log.SetHeader(r.Header)
	resp, err := e.client.Do(r)
	if err != nil {
		return refusal(http.StatusBadGateway, "kv_unreachable", "the prefill engine did not answer; repeat the prefill")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(http.StatusGone, "kv_expired", "the prefill engine no longer has the KV cache; repeat the prefill")
	}
	if resp.Header.Get(headerKVPrompt) != strconv.FormatUint(en.kvKey, 16) {
		e.countCut(en)
		return refusal(http.StatusConflict, "kv_mismatch", "the KV cache belongs to another prompt; repeat the prefill")
	}
	bytes, _ := strconv.ParseInt(resp.Header.Get(headerKVBytes), 10, 64)
	ctx, lost := context.WithCancel(en.ctx)
	defer lost()
	go func() {
		_, _ = io.Copy(io.Discard, resp.Body) // returns early only if the prefill engine dies or cancels
		lost()
	}()
	e.countTransfers(1)
	defer e.countTransfers(-1)
	if !e.carry(ctx, bytes) {
		e.countCut(en)
		return refusal(http.StatusBadGateway, "kv_lost", "the transfer was cut; repeat the prefill")
	}
	e.mu.Lock()
	e.stats.ImportedBytes += bytes
	e.mu.Unlock()
	e.record(event.TransferEnded, en, "")
	return nil
}

func (e *Engine) countTransfers(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Transfers += change
}

// countCut counts a prompt that was prefilled and fetched and whose answer will not be completed here.
func (e *Engine) countCut(en *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.AnswersCut++
	e.stats.CutPromptTokens += en.prompt
}

// carry occupies the link for the time that the bytes take, in simulated time.
func (e *Engine) carry(ctx context.Context, bytes int64) bool {
	select {
	case e.link <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.link }()
	if !wait(ctx, perSecond(bytes, e.opts.LinkRate)) {
		return false
	}
	over := e.stalled()
	if over == nil {
		return true
	}
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}
