package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/sse"
)

// relayBuffer is the size of one read of a stream. Events have some hundred bytes.
const relayBuffer = 16 << 10

// maxEventBytes bounds an event that is kept until it is complete.
const maxEventBytes = 256 << 10

// relay passes a stream on as its events arrive. Only complete events are passed on, so that a stream that breaks off can
// go on at another endpoint. The function progress is called with each event that carries data.
func (r *run) relay(answer *routing.Answer, place *dispatch.Slot, began time.Duration, progress func()) error {
	defer answer.Body.Close()
	r.status = answer.Status
	switch {
	case answer.Status != http.StatusOK && r.begun:
		return fmt.Errorf("%w: status %d", errFailure, answer.Status)
	case answer.Status != http.StatusOK:
		return r.passOn(answer)
	}
	var rest []byte
	buffer := make([]byte, relayBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		rest = append(rest, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		complete := len(rest)
		if !ended {
			complete = sse.CompleteLen(rest)
		}
		if complete > 0 {
			events := sse.CountEvents(rest[:complete])
			r.events += events
			place.RecordEvents(events)
			if sse.HasData(rest[:complete]) {
				progress()
			}
			if err := r.pieces(answer, place, rest[:complete], began); err != nil {
				return err
			}
			rest = append(rest[:0], rest[complete:]...)
		}
		switch {
		case ended:
			place.RecordCompletion()
			return r.endStream(answer)
		case err != nil:
			return fmt.Errorf("reading the stream: %w", err)
		case len(rest) > maxEventBytes:
			return fmt.Errorf("%w: an event has more than %d bytes", routing.ErrMalformed, maxEventBytes)
		}
	}
}

// pieces passes complete events on.
func (r *run) pieces(answer *routing.Answer, place *dispatch.Slot, events []byte, began time.Duration) error {
	if err := r.beginStream(answer); err != nil {
		return err
	}
	if r.route.Resumable {
		r.call.ResumeAfter = sse.LastEventID(events, r.call.ResumeAfter)
	}
	now := r.SinceBoot()
	if last := r.times.lastEvent; last > 0 {
		r.times.longestPause = max(r.times.longestPause, now-last)
		if last > began {
			place.RecordEventGap(now - last)
		}
	}
	r.times.lastEvent = now
	if r.times.firstEvent == 0 {
		r.times.firstEvent, r.times.untilFirst = now-began, now-r.req.Arrived
		if r.times.prefill > 0 {
			r.Timings.RecordDecodeStart(r.service.Name, r.times.firstEvent)
			place.RecordFirstEvent(r.times.firstEvent)
		}
		r.meters.firstEvent.Update(r.times.untilFirst.Milliseconds())
	}
	return r.sink.WriteChunk(events)
}

func (r *run) beginStream(answer *routing.Answer) error {
	if r.begun {
		return nil
	}
	r.begun = true
	return r.sink.WriteHeader(answer.Status, answer.Header)
}

// endStream ends a stream that is complete; it may have had no event at all.
func (r *run) endStream(answer *routing.Answer) error { return r.beginStream(answer) }
