package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
)

// relayBuffer is the size of one read of a stream. Events have some hundred bytes.
const relayBuffer = 16 << 10

// maxEventBytes bounds an event that is kept until it is complete.
const maxEventBytes = 1 << 20

var eventEnd = []byte("\n\n")

// relay passes a stream on as its events arrive. Only complete events are passed on, so that a stream that breaks off can
// go on at another endpoint.
func (r *run) relay(answer *routing.Answer, place *dispatch.Place, began time.Duration) error {
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
			complete = bytes.LastIndex(rest, eventEnd) + len(eventEnd)
		}
		if complete >= len(eventEnd) {
			place.Progress(bytes.Count(rest[:complete], eventEnd))
			if err := r.pieces(answer, rest[:complete], began); err != nil {
				return err
			}
			rest = append(rest[:0], rest[complete:]...)
		}
		switch {
		case ended:
			return r.endStream(answer)
		case err != nil:
			return fmt.Errorf("reading the stream: %w", err)
		case len(rest) > maxEventBytes:
			return fmt.Errorf("%w: an event has more than %d bytes", routing.ErrMalformed, maxEventBytes)
		}
	}
}

// pieces passes complete events on.
func (r *run) pieces(answer *routing.Answer, events []byte, began time.Duration) error {
	if err := r.beginStream(answer); err != nil {
		return err
	}
	if r.route.Resumable {
		r.call.ResumeAfter = lastEventID(events, r.call.ResumeAfter)
	}
	if r.times.firstEvent == 0 {
		r.times.firstEvent = r.Boot() - began
		r.meters.firstEvent.Update((r.Boot() - r.req.Arrived).Milliseconds())
	}
	return r.sink.Piece(events)
}

func (r *run) beginStream(answer *routing.Answer) error {
	if r.begun {
		return nil
	}
	r.begun = true
	return r.sink.Begin(answer.Status, answer.Header)
}

// endStream ends a stream that is complete; it may have had no event at all.
func (r *run) endStream(answer *routing.Answer) error { return r.beginStream(answer) }

// lastEventID returns the id of the last of the events that has one, or the one before.
func lastEventID(events []byte, before string) string {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			before = string(bytes.TrimSpace(value))
		}
	}
	return before
}
