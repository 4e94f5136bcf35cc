package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/lab/standin/silent"
)

// Faults are the failures that an engine simulates. POST /faults replaces all of them; absent ones are off.
type Faults struct {
	// KillStreamAfter closes the connection of a response after that many tokens; KillStreams limits the number of such
	// responses (0: all).
	KillStreamAfter int64 `json:"kill_stream_after_tokens,omitempty"`
	KillStreams     int64 `json:"kill_streams,omitempty"`
	// StallTransfers stops all KV imports, including those in progress, until it is turned off.
	StallTransfers bool `json:"stall_transfers,omitempty"`
	// Silent makes the connections that were used before the fault was set silent: they accept requests and never respond.
	Silent bool `json:"silent_connections,omitempty"`
	// SlowFactor multiplies prefill and decode times.
	SlowFactor float64 `json:"slow,omitempty"`
	// Refuse rejects new requests with 503.
	Refuse bool `json:"refuse,omitempty"`
	// CrossReplies sends a chunk of another request before each token, and returns the id of another request in prefill
	// responses.
	CrossReplies bool `json:"cross_replies,omitempty"`
	// LateReplyMS delays the start of each response, in milliseconds.
	LateReplyMS int64 `json:"late_reply_ms,omitempty"`
	// Leaving is shown in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// DropCancelReplies is the number of following cancels that take effect without a reply.
	DropCancelReplies int `json:"drop_cancel_replies,omitempty"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.StallTransfers && !f.StallTransfers {
		close(e.stallEnded)
	}
	if !e.faults.StallTransfers && f.StallTransfers {
		e.stallEnded = make(chan struct{})
	}
	e.connections.SetSilent(f.Silent)
	e.faults = f
	detail, _ := json.Marshal(f)
	e.log.Record(event.Event{Kind: event.FaultSwitched, Endpoint: e.opts.Name, Detail: string(detail)})
}

// CurrentFaults returns the active faults.
func (e *Engine) CurrentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeError(w, reject(http.StatusBadRequest, "bad_request", "the faults are not JSON: "+err.Error()))
			return
		}
		e.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, e.CurrentFaults())
}

func (e *Engine) applySlowFactor(d time.Duration) time.Duration {
	if f := e.CurrentFaults().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// stallEnd returns a channel that is closed when stalled transfers may continue, or nil if transfers are not stalled.
func (e *Engine) stallEnd() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.StallTransfers {
		return nil
	}
	return e.stallEnded
}

// killsStreamAt reports whether a response that has sent n tokens must be aborted now.
func (e *Engine) killsStreamAt(n int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.KillStreamAfter == 0 || n != e.faults.KillStreamAfter {
		return false
	}
	switch e.faults.KillStreams {
	case 0:
	case 1:
		e.faults.KillStreamAfter, e.faults.KillStreams = 0, 0
	default:
		e.faults.KillStreams--
	}
	return true
}

func (e *Engine) dropsCancelReply() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DropCancelReplies == 0 {
		return false
	}
	e.faults.DropCancelReplies--
	return true
}

// withSilentConnections records the connection as used, and blocks requests on silent connections until they are closed.
func (e *Engine) withSilentConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isManagement(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		e.connections.MarkUsed(r.RemoteAddr)
		if e.connections.IsSilent(r.RemoteAddr) {
			silent.HangUntilClosed(r, e.closing)
		}
		next.ServeHTTP(w, r)
	})
}

// isManagement reports whether experiments use the path to control the engine. No fault affects these paths.
func isManagement(path string) bool {
	return path == "/faults" || path == "/stats" || path == "/events"
}

// delayResponse waits for the delay of the fault LateReplyMS.
func (e *Engine) delayResponse(en *entry) {
	wait(en.ctx, time.Duration(e.CurrentFaults().LateReplyMS)*time.Millisecond)
}

// crossedID records the id as the most recent one and returns the id of another request, or the id itself if the fault
// CrossReplies is off.
func (e *Engine) crossedID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.lastID
	if other == "" || other == id {
		other = id + "-" + strconv.Itoa(len(id))
	}
	e.lastID = id
	if !e.faults.CrossReplies {
		return id
	}
	return other
}
