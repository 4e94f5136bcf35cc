// Package sse finds the events in a stream of server-sent events (text/event-stream). Lines end with LF or CR LF, and an empty
// line ends an event.
package sse

import "bytes"

var (
	endLF   = []byte("\n\n")
	endCRLF = []byte("\n\r\n")
	idField = []byte("id:")
	data    = []byte("data")
)

// CompleteLen returns the length of the whole events at the beginning of b; what follows is the beginning of another event.
func CompleteLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, endLF); i >= 0 {
		end = i + len(endLF)
	}
	if i := bytes.LastIndex(b, endCRLF); i >= 0 {
		end = max(end, i+len(endCRLF))
	}
	return end
}

// CountEvents returns the number of events that end in b.
func CountEvents(b []byte) int { return bytes.Count(b, endLF) + bytes.Count(b, endCRLF) }

// HasData reports whether one of the events carries data. Comments and empty events, which keep a connection alive, do not.
func HasData(events []byte) bool {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if name, value, found := bytes.Cut(line, []byte(":")); found && bytes.Equal(name, data) && len(bytes.TrimSpace(value)) > 0 {
			return true
		}
	}
	return false
}

// LastEventID returns the id of the last of the events that has one, or the id before them.
func LastEventID(events []byte, before string) string {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			before = string(bytes.TrimSpace(value))
		}
	}
	return before
}
