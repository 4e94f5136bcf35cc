package sse_test

import (
	"bytes"
	"strings"
	"testing"

	"tanagerwood.dev/router/internal/domain/sse"
)

// Guards against events that are passed on in part, or held back until the stream ends because their lines end with CR LF.
func TestComplete(t *testing.T) {
	for _, c := range []struct {
		stream      string
		whole, ends int
	}{
		{"", 0, 0},
		{"id: 1\ndata: a\n\nid: 2\nda", 15, 1},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30, 2},
		{"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", 18, 1},
		{"data: a\n\r\ndata: b\r\n\r\n", 21, 2},
		{"data: a\n", 0, 0},
		{"data: a\r\n\r", 0, 0},
	} {
		if got := sse.CompleteLen([]byte(c.stream)); got != c.whole {
			t.Errorf("%q: complete events end at %d, want %d", c.stream, got, c.whole)
		}
		if got := sse.CountEvents([]byte(c.stream)); got != c.ends {
			t.Errorf("%q: %d events, want %d", c.stream, got, c.ends)
		}
	}
}

// Guards against a part of an event at the end of a stream that is taken for the end of a complete stream, and the reverse.
func TestUnfinished(t *testing.T) {
	for rest, want := range map[string]bool{"": false, "\n": false, "\r\n": false, "i": true, "data: a\n": true, "\ndata": true, ": c\r\n": true} {
		if got := sse.IsUnfinished([]byte(rest)); got != want {
			t.Errorf("%q: unfinished %t, want %t", rest, got, want)
		}
	}
}

// Guards against a stream that is resumed after the wrong event.
func TestLastID(t *testing.T) {
	for stream, want := range map[string]string{
		"": "7", "data: id: 9\n\n": "7", "id: 8\ndata: a\n\nid:9\r\ndata: b\r\n\r\ndata: c\n\n": "9",
	} {
		if got := sse.LastEventID([]byte(stream), "7"); got != want {
			t.Errorf("%q: ID %q, want %q", stream, got, want)
		}
	}
}

// Guards against a resumed stream that begins again, and against the end of one whose IDs are no numbers.
func TestFollows(t *testing.T) {
	for events, want := range map[string]bool{
		"id: 8\ndata: a\n\nid: 1\n\n": true, "id: 7\n\n": false, "id:1\r\ndata: a\r\n\r\n": false, "data: a\n\n": true, "id: x\n\n": true, "": true,
	} {
		if got := sse.Follows([]byte(events), "7"); got != want {
			t.Errorf("%q: follows %t, want %t", events, got, want)
		}
	}
	if !sse.Follows([]byte("id: 1\n\n"), "") {
		t.Error("the first event of a stream does not follow")
	}
}

// Guards against bytes that are lost, or events that are split, depending on how the stream is divided into chunks.
func FuzzComplete(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3"), uint8(3))
	f.Add([]byte("\n\n\n\r\n\r\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var rest, passed []byte
		for chunk := range bytes.SplitSeq(stream, nil) { // a byte or a character at a time
			rest = append(rest, chunk...)
			if len(rest)%(int(size)+1) != 0 {
				continue
			}
			n := sse.CompleteLen(rest)
			if piece := string(rest[:n]); n > 0 && !strings.HasSuffix(piece, "\n\n") && !strings.HasSuffix(piece, "\n\r\n") {
				t.Errorf("%q does not end with an event", piece)
			}
			passed = append(passed, rest[:n]...)
			rest = append(rest[:0], rest[n:]...)
		}
		if whole := string(passed) + string(rest); whole != string(stream) {
			t.Errorf("%q became %q", stream, whole)
		}
		if n := sse.CompleteLen(rest); len(rest)%(int(size)+1) == 0 && n != 0 {
			t.Errorf("%d bytes of complete events were held back", n)
		}
	})
}

// Guards against event ends that are overlooked because they arrive in two parts, and against a search that begins anew with each part.
func TestCompleteAfterKnownBytes(t *testing.T) {
	for _, stream := range []string{"data: a\n\nda", "data: a\r\n\r\nda", "data: a\n\r\n", "data: a\ndata: b\n\n", "data: a", "\n\n", "x\n\ny\n\nz"} {
		b := []byte(stream)
		for known := range len(b) {
			if sse.CompleteLen(b[:known]) > 0 {
				continue
			}
			if got, want := sse.CompleteLenAfter(b, known), sse.CompleteLen(b); got != want {
				t.Errorf("%q after %d bytes: complete events end at %d, want %d", stream, known, got, want)
			}
		}
	}
	long := bytes.Repeat([]byte("x"), 256<<10)
	once := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			sse.CompleteLen(long)
		}
	})
	after := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			sse.CompleteLenAfter(long, len(long)-1)
		}
	})
	if after.NsPerOp() > once.NsPerOp()/10 {
		t.Errorf("a byte more takes %d ns, the whole event %d ns", after.NsPerOp(), once.NsPerOp())
	}
}
