package peerudp

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
)

// stateHandler serves the state over HTTP with bounded memory: it limits the concurrent responses, which share a cached encoding.
type stateHandler struct {
	state  func() gossip.State
	newer  func(routingcache.Known) gossip.State
	signer *signer
	logger *log.Logger
	// semaphore limits the responses with the whole state, newerSemaphore the others.
	semaphore, newerSemaphore chan struct{}
	refusals                  sparseLog

	mu        sync.Mutex
	recent    map[recentKey]recentState
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
	semaphore, encode := h.semaphore, h.encodedState
	if known, named := decodeKnown(r.URL.Query()); named {
		semaphore, encode = h.newerSemaphore, func() ([]byte, error) { return h.encodedNewer(known) }
	}
	select {
	case semaphore <- struct{}{}:
		defer func() { <-semaphore }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raw, err := encode()
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
