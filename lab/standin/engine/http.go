package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
)

// httpError is a rejection or failure that is returned as an OpenAI error body.
type httpError struct {
	status int
	body   openai.Error
}

func reject(status int, code, message string) *httpError {
	return &httpError{status: status, body: openai.Error{Message: message, Type: "engine_error", Code: code, Outcome: openai.NotRun}}
}

func writeError(w http.ResponseWriter, err *httpError) {
	w.Header().Set(openai.OutcomeHeader, string(err.body.Outcome))
	writeJSON(w, err.status, openai.ErrorBody{Error: err.body})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/requests", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.list()) })
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.serveCancel)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.reportedLoad()) })
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Orders()) })
	mux.HandleFunc("GET /kv/{id}", e.serveKV)
	mux.HandleFunc("/faults", e.serveFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	mux.Handle("GET /events", e.log)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	return e.log.Handler(e.withSilentConnections(mux))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	held, err := e.cancelID(r.Context(), r.PathValue("id"))
	if err != nil {
		return
	}
	if held {
		e.mu.Lock()
		e.stats.Cancels++
		e.mu.Unlock()
	}
	if e.dropsCancelReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, engine.CancelResult{Held: held})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.page(e.opts.Name, since))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, reject(http.StatusBadRequest, "bad_request", "the order is not JSON: "+err.Error()))
		return
	}
	result := e.applyOrder(o)
	detail := string(o.Kind) + " " + o.Argument + " fencing " + strconv.FormatUint(o.Fencing, 10)
	if !result.Accepted {
		e.log.Record(event.Event{Kind: event.OrderRefused, Endpoint: e.opts.Name, Detail: detail})
		writeJSON(w, http.StatusConflict, result)
		return
	}
	e.log.Record(event.Event{Kind: event.OrderSent, Endpoint: e.opts.Name, Detail: detail})
	if !wait(r.Context(), e.opts.OrderDuration) {
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// unixNow returns the creation time of a response, in Unix seconds.
func unixNow() int64 { return time.Now().Unix() }
