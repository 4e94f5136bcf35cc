// Package sse splits a stream of server-sent events (text/event-stream) into events. Lines end with LF or CR LF, and an empty
// line ends an event.
package sse

import (
	"bytes"
	"strconv"
	"strings"
)

var (
	eventEndLF   = []byte("\n\n")
	eventEndCRLF = []byte("\n\r\n")
	idField      = []byte("id:")
	dataField    = []byte("data")
)

// CompleteLen returns the length of the complete events at the beginning of b; the rest is an incomplete event.
func CompleteLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEndLF); i >= 0 {
		end = i + len(eventEndLF)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// CompleteLenAfter is CompleteLen for bytes of which the first known ones hold no complete event. It looks only at the others, so that the
// cost of a long event that arrives in small parts does not grow with the square of its size.
func CompleteLenAfter(b []byte, known int) int {
	from := max(0, known-len(eventEndCRLF)+1)
	if n := CompleteLen(b[from:]); n > 0 {
		return from + n
	}
	return 0
}

// CountEvents returns the number of events that end in b.
func CountEvents(b []byte) int { return bytes.Count(b, eventEndLF) + bytes.Count(b, eventEndCRLF) }

// IsUnfinished reports whether the rest of a stream after its complete events is a part of an event, and not only line ends.
func IsUnfinished(rest []byte) bool { return len(bytes.Trim(rest, "\r\n")) > 0 }

// IsEventStream reports whether a Content-Type is that of a stream of events.
func IsEventStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// HasData reports whether any of the events carries data. Comments and empty events, which serve as keep-alives, do not.
func HasData(events []byte) bool {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if name, value, found := bytes.Cut(line, []byte(":")); found && bytes.Equal(name, dataField) && len(bytes.TrimSpace(value)) > 0 {
			return true
		}
	}
	return false
}

// Follows reports whether the first ID in the events is greater than the given one. It is true if either is no number.
func Follows(events []byte, id string) bool {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		last, lastErr := strconv.ParseUint(id, 10, 64)
		return err != nil || lastErr != nil || first > last
	}
	return true
}

// LastEventID returns the ID of the last event that has one, or previous if none has.
func LastEventID(events []byte, previous string) string {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			previous = string(bytes.TrimSpace(value))
		}
	}
	return previous
}
