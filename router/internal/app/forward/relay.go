package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/sse"
)

// streamReadBytes is the size of the read buffer for streams. Events have a few hundred bytes.
const streamReadBytes = 16 << 10

// maxEventBytes is the maximum size of an event, which is buffered until it is complete.
const maxEventBytes = 256 << 10

// streamRecorder records the progress of a stream.
type streamRecorder interface {
	RecordEvents(n int)
	RecordEventGap(gap time.Duration)
	RecordFirstEvent(latency time.Duration)
	RecordCompletion()
}

// relayStream passes a stream on as its events arrive. Only complete events are passed on, so that an interrupted stream can be
// resumed at another endpoint. The function progress is called whenever events with data arrive.
func (r *requestState) relayStream(answer *routing.Answer, recorder streamRecorder, start time.Duration, progress func()) error {
	r.status = answer.Status
	if !r.responseStarted && answer.Status != http.StatusOK {
		return r.forwardResponse(answer)
	}
	defer answer.Body.Close()
	if r.responseStarted {
		if err := checkContinuation(answer); err != nil {
			return err
		}
	}
	r.streamEnd = streamEnd{closeDelimited: answer.CloseDelimited}
	s := &streamRelay{requestState: r, answer: answer, recorder: recorder, start: start, progress: progress, memory: r.AnswerMemory.Open()}
	defer s.memory.Close()
	buffer := make([]byte, streamReadBytes)
	for {
		n, readErr := answer.Body.Read(buffer)
		if err := s.appendPending(buffer[:n]); err != nil {
			return err
		}
		ended := errors.Is(readErr, io.EOF)
		if err := s.forwardPending(ended); err != nil {
			return err
		}
		switch {
		case ended:
			return s.finish()
		case readErr != nil:
			return fmt.Errorf("reading the stream: %w", readErr)
		case len(s.pending) > maxEventBytes:
			return fmt.Errorf("%w: event is larger than %d bytes", routing.ErrMalformed, maxEventBytes)
		}
	}
}

// checkContinuation returns an error if an answer cannot be the rest of a stream whose beginning was passed on.
func checkContinuation(answer *routing.Answer) error {
	switch contentType := answer.Header.Get("Content-Type"); {
	case answer.Status != http.StatusOK:
		return fmt.Errorf("%w: status %d", errEndpointFailure, answer.Status)
	case contentType != "" && !sse.IsEventStream(contentType):
		return fmt.Errorf("%w: content type %q in place of the rest of a stream", errEndpointFailure, contentType)
	}
	return nil
}

// streamRelay passes on one stream.
type streamRelay struct {
	*requestState
	answer   *routing.Answer
	recorder streamRecorder
	start    time.Duration
	progress func()
	// pending holds the bytes that were read and not yet passed on. hasData is set once an event with data was passed on.
	pending []byte
	hasData bool
	// searched is the number of pending bytes that hold no complete event.
	searched int
	// memory is what pending takes.
	memory membudget.Holding
}

// appendPending appends what was read to the bytes that wait for the end of their event.
func (s *streamRelay) appendPending(p []byte) error {
	s.pending = append(s.pending, p...)
	if err := s.memory.Resize(int64(cap(s.pending))); err != nil {
		return fmt.Errorf("reading an event of more than %d bytes: %w", len(s.pending), err)
	}
	return nil
}

// forwardPending passes the complete events on, and at the end of a body that is no stream of events all of it.
func (s *streamRelay) forwardPending(ended bool) error {
	complete := sse.CompleteLenAfter(s.pending, s.searched)
	s.searched = len(s.pending) - complete
	s.streamEnd.unfinishedBytes = len(s.pending) - complete
	if ended && !s.expectsEvents(s.answer) {
		complete = len(s.pending)
	}
	if complete == 0 {
		return nil
	}
	events := s.pending[:complete]
	count := sse.CountEvents(events)
	s.eventCount += count
	s.recorder.RecordEvents(count)
	if sse.HasData(events) {
		if !s.hasData && !sse.Follows(events, s.call.ResumeAfter) {
			return fmt.Errorf("%w: the stream does not go on after event %q", errEndpointFailure, s.call.ResumeAfter)
		}
		s.hasData, s.dataSent = true, true
		s.progress()
		s.recordAnswer(count, false)
	}
	if err := s.forwardEvents(events); err != nil {
		return err
	}
	s.pending = append(s.pending[:0], s.pending[complete:]...)
	return nil
}

// finish ends a complete stream. It starts the response if the stream had no events.
func (s *streamRelay) finish() error {
	switch {
	case sse.IsUnfinished(s.pending):
		return errUnfinishedEvent
	case s.answer.CloseDelimited && !s.hasData && s.expectsEvents(s.answer):
		return errNoEvents
	}
	s.recorder.RecordCompletion()
	s.recordAnswer(0, true)
	return s.startResponse(s.answer)
}

var (
	// errUnfinishedEvent indicates a stream that broke off inside an event.
	errUnfinishedEvent = fmt.Errorf("reading the stream: the stream ends inside an event: %w", io.ErrUnexpectedEOF)
	// errNoEvents indicates a stream whose connection was closed before the first event. Nothing else tells it from a complete one.
	errNoEvents = fmt.Errorf("reading the stream: the connection was closed before the first event: %w", io.ErrUnexpectedEOF)
)

// expectsEvents reports whether the body of an answer is a stream of events, which ends with a complete event.
func (r *requestState) expectsEvents(answer *routing.Answer) bool {
	return r.route.Kind == routing.Streaming || sse.IsEventStream(answer.Header.Get("Content-Type"))
}

// forwardEvents passes complete events on to the caller.
func (s *streamRelay) forwardEvents(events []byte) error {
	if err := s.startResponse(s.answer); err != nil {
		return err
	}
	if s.route.Resumable {
		s.call.ResumeAfter = sse.LastEventID(events, s.call.ResumeAfter)
	}
	s.recordEventTimes(s.SinceBoot())
	return s.writer.WriteChunk(events)
}

// recordEventTimes records the time to the first event, and the time since the latest one.
func (s *streamRelay) recordEventTimes(now time.Duration) {
	if lastAt := s.durations.lastEventAt; lastAt > 0 {
		s.durations.longestEventGap = max(s.durations.longestEventGap, now-lastAt)
		if lastAt > s.start {
			s.recorder.RecordEventGap(now - lastAt)
		}
	}
	s.durations.lastEventAt = now
	if s.durations.firstEvent != 0 {
		return
	}
	s.durations.firstEvent, s.durations.arrivalToFirstEvent = now-s.start, now-s.req.Arrived
	if s.durations.prefill > 0 {
		s.Timings.RecordDecodeStart(s.service.Name, s.durations.firstEvent)
		s.recorder.RecordFirstEvent(s.durations.firstEvent)
	}
	s.metrics.firstEvent.Update(s.durations.arrivalToFirstEvent.Milliseconds())
}

func (r *requestState) startResponse(answer *routing.Answer) error {
	if r.responseStarted {
		return nil
	}
	r.responseStarted = true
	return r.writer.WriteHeader(answer.Status, answer.Header)
}
