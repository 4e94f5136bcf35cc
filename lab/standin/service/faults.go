package service

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/lab/standin/silent"
)

// Faults are the failures that a service simulates. POST /faults replaces all of them; absent ones are off.
type Faults struct {
	// DieAfterRun makes the service crash after it has run its next booking and before it responds.
	DieAfterRun bool `json:"die_after_run,omitempty"`
	// Silent makes the connections that were used before the fault was set silent: they accept calls, but never run them or
	// respond.
	Silent bool `json:"silent_connections,omitempty"`
	// SlowMS is the delay before a call runs, LateReplyMS the delay between the run and the response, in milliseconds.
	SlowMS      int64 `json:"slow_ms,omitempty"`
	LateReplyMS int64 `json:"late_reply_ms,omitempty"`
	// FailStatus is the status with which calls are answered that have run, in place of success; zero means that it is off.
	FailStatus int `json:"fail_status,omitempty"`
	// DropBeforeReading is the number of following calls whose connection is closed before their body is read; these calls
	// do not run.
	DropBeforeReading int `json:"drop_before_reading,omitempty"`
}

// SetFaults replaces the faults and restores a crashed service.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
	s.connections.SetSilent(f.Silent)
	s.faults = f
	detail, _ := json.Marshal(f)
	s.log.Record(event.Event{Kind: event.FaultSwitched, Endpoint: s.opts.Name, Detail: string(detail)})
}

// CurrentFaults returns the active faults.
func (s *Service) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeJSON(w, http.StatusBadRequest, "the faults are not JSON: "+err.Error())
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, s.CurrentFaults())
}

// applyConnectionFaults aborts the call or lets it hang if an active fault requires that.
func (s *Service) applyConnectionFaults(r *http.Request) {
	s.connections.MarkUsed(r.RemoteAddr)
	if s.connections.IsSilent(r.RemoteAddr) {
		silent.HangUntilClosed(r, s.closing)
	}
	s.mu.Lock()
	cut := s.crashed
	if !cut && s.faults.DropBeforeReading > 0 {
		s.faults.DropBeforeReading--
		cut = true
	}
	if !cut {
		s.headers = append(s.headers, r.Header.Clone())
	}
	s.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) crashIfRequested() {
	s.mu.Lock()
	die := s.faults.DieAfterRun
	if die {
		s.faults.DieAfterRun, s.crashed = false, true
	}
	s.mu.Unlock()
	if !die {
		return
	}
	if s.opts.Exit != nil {
		s.opts.Exit()
	}
	panic(http.ErrAbortHandler)
}

// pause waits for the delay. It continues after the client disconnects, as a service that has started a call does.
func (s *Service) pause(r *http.Request, ms int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), time.Duration(ms)*time.Millisecond)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-s.closing:
	}
}
