package frontend

import (
	"time"

	"tanagerwood.dev/router/internal/domain/slowreader"
)

const (
	// slowCheckInterval is the interval at which blocked writes are checked while a write is in progress.
	slowCheckInterval = 500 * time.Millisecond
	// answerOverheadBytes is what a request that is being answered holds beside its body and the part that is being written: the
	// buffers of both connections and the goroutine.
	answerOverheadBytes = 48 << 10
	// writePieceBytes is the size of the parts in which an answer is written. A caller that reads a part is not blocked.
	writePieceBytes = 16 << 10
)

// writeTracked writes p in parts, so that a caller that reads nothing of one for long can be cut, and one that reads slowly is not.
func (s *responseWriter) writeTracked(p []byte) error {
	for {
		s.extendWriteDeadline()
		piece := p[:min(len(p), writePieceBytes)]
		if err := s.track(int64(len(p)), func() error {
			_, err := s.w.Write(piece)
			return err
		}); err != nil || len(piece) == len(p) {
			return err
		}
		p = p[len(piece):]
	}
}

// track calls write, and has it cut if it is blocked while too much memory is held for such callers.
func (s *responseWriter) track(held int64, write func() error) error {
	if s.handler.SlowCallers == nil {
		return write()
	}
	w := &slowreader.Write{Bytes: held + s.body.reservedBytes + answerOverheadBytes, Cut: s.cutWrite}
	s.handler.SlowCallers.Begin(w, s.handler.SinceBoot())
	s.handler.scheduleSlowCheck()
	defer s.handler.SlowCallers.End(w)
	return write()
}

// cutWrite has the write in progress fail, and those after it.
func (s *responseWriter) cutWrite() {
	s.cut.Store(true)
	_ = s.controller.SetWriteDeadline(time.Now())
}

// extendWriteDeadline resets the write deadline before each write, so that only a caller that stops reading is disconnected.
func (s *responseWriter) extendWriteDeadline() {
	// A response recorder in a test does not support deadlines; a network connection always does.
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.handler.WriteTimeout))
	if s.cut.Load() { // it may have been cut just before
		_ = s.controller.SetWriteDeadline(time.Now())
	}
}

// scheduleSlowCheck has blocked writes checked in a while, unless that is scheduled already.
func (h *Handler) scheduleSlowCheck() {
	if h.slowCheckScheduled.Swap(true) {
		return
	}
	time.AfterFunc(slowCheckInterval, func() {
		h.slowCheckScheduled.Store(false)
		if h.SlowCallers.Check(h.SinceBoot()) {
			h.scheduleSlowCheck()
		}
	})
}
