package peerudp

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/router/internal/app/gossip"
)

// stateHandler serves the state over HTTP with bounded memory: it limits the concurrent responses, which share a cached encoding.
type stateHandler struct {
	state     func() gossip.State
	signer    *signer
	logger    *log.Logger
	semaphore chan struct{}
	refusals  sparseLog

	mu        sync.Mutex
	encoded   []byte
	encodedAt time.Time
}

// ServeHTTP implements http.Handler.
func (h *stateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.signer.verifyHex(r.Header.Get(signatureHeader), []byte(statePath)) {
		if skipped, ok := h.refusals.due(); ok {
			h.logger.Warn().Str("event", "state.refused").Str("from", r.RemoteAddr).Int64("skipped", skipped).Err(errSignature).Msg("")
		}
		w.WriteHeader(http.StatusForbidden)
		return
	}
	select {
	case h.semaphore <- struct{}{}:
		defer func() { <-h.semaphore }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raw, err := h.encodedState()
	if err != nil {
		h.logger.Error().Str("event", "state.not_encoded").Err(err).Msg("")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(signatureHeader, h.signer.signHex(raw))
	if _, err := w.Write(raw); err != nil {
		h.logger.Info().Str("event", "state.not_sent").Err(err).Msg("")
	}
}

// encodedState returns the JSON encoding of the state, from the cache if it is recent enough.
func (h *stateHandler) encodedState() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.encodedAt) < stateCacheTTL {
		return h.encoded, nil
	}
	raw, err := json.Marshal(h.state())
	if err != nil {
		return nil, err
	}
	h.encoded, h.encodedAt = raw, time.Now()
	return raw, nil
}
