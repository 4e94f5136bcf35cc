package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

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
	defer answer.Body.Close()
	r.status = answer.Status
	switch contentType := answer.Header.Get("Content-Type"); {
	case r.responseStarted && answer.Status != http.StatusOK:
		return fmt.Errorf("%w: status %d", errEndpointFailure, answer.Status)
	case r.responseStarted && contentType != "" && !sse.IsEventStream(contentType):
		return fmt.Errorf("%w: content type %q in place of the rest of a stream", errEndpointFailure, contentType)
	case answer.Status != http.StatusOK:
		return r.forwardResponse(answer)
	}
	r.streamEnd = streamEnd{closeDelimited: answer.CloseDelimited}
	var pending []byte
	hasData := false
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		complete := sse.CompleteLen(pending)
		r.streamEnd.unfinishedBytes = len(pending) - complete
		if ended && !r.expectsEvents(answer) {
			complete = len(pending)
		}
		if complete > 0 {
			events := sse.CountEvents(pending[:complete])
			r.eventCount += events
			recorder.RecordEvents(events)
			if sse.HasData(pending[:complete]) {
				if !hasData && !sse.Follows(pending[:complete], r.call.ResumeAfter) {
					return fmt.Errorf("%w: the stream does not go on after event %q", errEndpointFailure, r.call.ResumeAfter)
				}
				hasData, r.dataSent = true, true
				progress()
				r.recordAnswer(events, false)
			}
			if err := r.forwardEvents(answer, recorder, pending[:complete], start); err != nil {
				return err
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case ended && sse.IsUnfinished(pending):
			return errUnfinishedEvent
		case ended && answer.CloseDelimited && !hasData && r.expectsEvents(answer):
			return errNoEvents
		case ended:
			recorder.RecordCompletion()
			r.recordAnswer(0, true)
			return r.finishStream(answer)
		case err != nil:
			return fmt.Errorf("reading the stream: %w", err)
		case len(pending) > maxEventBytes:
			return fmt.Errorf("%w: event is larger than %d bytes", routing.ErrMalformed, maxEventBytes)
		}
	}
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
func (r *requestState) forwardEvents(answer *routing.Answer, recorder streamRecorder, events []byte, start time.Duration) error {
	if err := r.startResponse(answer); err != nil {
		return err
	}
	if r.route.Resumable {
		r.call.ResumeAfter = sse.LastEventID(events, r.call.ResumeAfter)
	}
	now := r.SinceBoot()
	if lastAt := r.durations.lastEventAt; lastAt > 0 {
		r.durations.longestEventGap = max(r.durations.longestEventGap, now-lastAt)
		if lastAt > start {
			recorder.RecordEventGap(now - lastAt)
		}
	}
	r.durations.lastEventAt = now
	if r.durations.firstEvent == 0 {
		r.durations.firstEvent, r.durations.arrivalToFirstEvent = now-start, now-r.req.Arrived
		if r.durations.prefill > 0 {
			r.Timings.RecordDecodeStart(r.service.Name, r.durations.firstEvent)
			recorder.RecordFirstEvent(r.durations.firstEvent)
		}
		r.metrics.firstEvent.Update(r.durations.arrivalToFirstEvent.Milliseconds())
	}
	return r.writer.WriteChunk(events)
}

func (r *requestState) startResponse(answer *routing.Answer) error {
	if r.responseStarted {
		return nil
	}
	r.responseStarted = true
	return r.writer.WriteHeader(answer.Status, answer.Header)
}

// finishStream ends a complete stream. It starts the response if the stream had no events.
func (r *requestState) finishStream(answer *routing.Answer) error { return r.startResponse(answer) }
