package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/lab/standin/silent"
)

// Faults are the failures that an engine shows. POST /faults replaces all of them; absent ones are off.
type Faults struct {
	// KillStreamAfter cuts the connection of an answer after that many tokens; KillStreams bounds how many (0: all).
	KillStreamAfter int64 `json:"kill_stream_after_tokens,omitempty"`
	KillStreams     int64 `json:"kill_streams,omitempty"`
	// StallTransfers stops all KV imports, running ones included, until it is switched off.
	StallTransfers bool `json:"stall_transfers,omitempty"`
	// Silent makes the connections that were used before the switch silent: they accept and never answer.
	Silent bool `json:"silent_connections,omitempty"`
	// SlowFactor multiplies prefill and decode times.
	SlowFactor float64 `json:"slow,omitempty"`
	// Refuse answers new work with 503.
	Refuse bool `json:"refuse,omitempty"`
	// CrossReplies mixes a chunk of another request before each token, and swaps the ids in prefill answers.
	CrossReplies bool `json:"cross_replies,omitempty"`
	// LateReplyMS delays the start of each answer, in milliseconds.
	LateReplyMS int64 `json:"late_reply_ms,omitempty"`
	// Leaving is shown in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// DropCancelReplies is how many next cancels take effect without a reply.
	DropCancelReplies int `json:"drop_cancel_replies,omitempty"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.StallTransfers && !f.StallTransfers {
		close(e.stallOver)
	}
	if !e.faults.StallTransfers && f.StallTransfers {
		e.stallOver = make(chan struct{})
	}
	e.connections.SetSilent(f.Silent)
	e.faults = f
	detail, _ := json.Marshal(f)
	e.log.Record(event.Event{Kind: event.FaultSwitched, Endpoint: e.opts.Name, Detail: string(detail)})
}

// CurrentFaults returns the faults that are on.
func (e *Engine) CurrentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeError(w, refusal(http.StatusBadRequest, "bad_request", "the faults are not JSON: "+err.Error()))
			return
		}
		e.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, e.CurrentFaults())
}

func (e *Engine) slowed(d time.Duration) time.Duration {
	if f := e.CurrentFaults().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// stalled returns a channel that is closed when transfers may go on, or nil.
func (e *Engine) stalled() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.StallTransfers {
		return nil
	}
	return e.stallOver
}

// killsAt reports whether an answer that has sent n tokens is cut now.
func (e *Engine) killsAt(n int64) bool {
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

// onConnection notes the connection and holds requests on silent ones for as long as they are open.
func (e *Engine) onConnection(next http.Handler) http.Handler {
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

// isManagement tells the paths that experiments use, which no fault touches.
func isManagement(path string) bool {
	return path == "/faults" || path == "/stats" || path == "/events"
}

// late delays an answer by the fault's time.
func (e *Engine) late(en *entry) {
	wait(en.ctx, time.Duration(e.CurrentFaults().LateReplyMS)*time.Millisecond)
}

// crossed remembers the id as the newest and returns another request's id, or the id itself if the fault is off.
func (e *Engine) crossed(id string) string {
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
