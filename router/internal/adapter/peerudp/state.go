package peerudp

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/router/internal/app/gossip"
)

// stateHandler answers questions for the state with bounded memory: a few answers at a time, which share an encoding.
type stateHandler struct {
	state  func() gossip.State
	signer *signer
	logger *log.Logger
	places chan struct{}

	mu      sync.Mutex
	encoded []byte
	made    time.Time
}

// ServeHTTP implements http.Handler.
func (h *stateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.signer.checkText(r.Header.Get(headerSignature), []byte(pathState)) {
		h.logger.Warn().Str("event", "state.refused").Str("from", r.RemoteAddr).Err(errSignature).Msg("")
		w.WriteHeader(http.StatusForbidden)
		return
	}
	select {
	case h.places <- struct{}{}:
		defer func() { <-h.places }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raw, err := h.encode()
	if err != nil {
		h.logger.Error().Str("event", "state.not_encoded").Err(err).Msg("")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerSignature, h.signer.signText(raw))
	if _, err := w.Write(raw); err != nil {
		h.logger.Info().Str("event", "state.not_sent").Err(err).Msg("")
	}
}

func (h *stateHandler) encode() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.made) < stateValidity {
		return h.encoded, nil
	}
	raw, err := json.Marshal(h.state())
	if err != nil {
		return nil, err
	}
	h.encoded, h.made = raw, time.Now()
	return raw, nil
}
