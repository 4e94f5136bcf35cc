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

// Response headers of GET /kv/{id}.
const (
	headerKVBytes  = "X-Kv-Bytes"
	headerKVPrompt = "X-Kv-Prompt"
)

// export keeps the entry's KV cache for another engine until it is fetched, cancelled or expires.
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

// serveKV lets another engine fetch exported KV cache. The reader closes the connection when its link has transferred the
// bytes, which releases the memory here; so does a reader that crashes.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	en := e.startFetch(r.PathValue("id"))
	if en == nil {
		writeError(w, reject(http.StatusNotFound, "kv_not_found", "no exported KV cache has this id; it expired or was fetched"))
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

// startFetch returns the entry of exported KV cache that has not expired. It compares the time, because the timer that
// releases the cache fires late on a busy machine.
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

// importKV fetches KV cache over this engine's link, which serves one transfer at a time.
func (e *Engine) importKV(en *entry, kv *engine.KVTransfer) *httpError {
	e.record(event.TransferStarted, en, kv.RemoteURL)
	r, err := http.NewRequestWithContext(en.ctx, http.MethodGet, kv.RemoteURL+"/kv/"+kv.RemoteRequestID, nil)
	if err != nil {
		return reject(http.StatusBadRequest, "bad_kv_url", "remote_url is not a URL: "+err.Error())
	}
	e.log.SetHeader(r.Header)
	resp, err := e.client.Do(r)
	if err != nil {
		return reject(http.StatusBadGateway, "kv_unreachable", "the prefill engine did not answer; repeat the prefill")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reject(http.StatusGone, "kv_expired", "the prefill engine no longer has the KV cache; repeat the prefill")
	}
	if resp.Header.Get(headerKVPrompt) != strconv.FormatUint(en.kvKey, 16) {
		e.countAborted(en)
		return reject(http.StatusConflict, "kv_mismatch", "the KV cache belongs to another prompt; repeat the prefill")
	}
	bytes, _ := strconv.ParseInt(resp.Header.Get(headerKVBytes), 10, 64)
	ctx, cancelTransfer := context.WithCancel(en.ctx)
	defer cancelTransfer()
	go func() {
		_, _ = io.Copy(io.Discard, resp.Body) // returns early only if the prefill engine crashes or cancels
		cancelTransfer()
	}()
	e.countTransfers(1)
	defer e.countTransfers(-1)
	if !e.transfer(ctx, bytes) {
		e.countAborted(en)
		return reject(http.StatusBadGateway, "kv_lost", "the transfer was cut; repeat the prefill")
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

// countAborted counts a prompt that was prefilled and fetched, but whose response will not be completed here.
func (e *Engine) countAborted(en *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.AnswersCut++
	e.stats.CutPromptTokens += en.prompt
}

// transfer occupies the link for the simulated transfer time of the bytes.
func (e *Engine) transfer(ctx context.Context, bytes int64) bool {
	select {
	case e.link <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.link }()
	if !wait(ctx, perSecond(bytes, e.opts.LinkRate)) {
		return false
	}
	over := e.stallEnd()
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
