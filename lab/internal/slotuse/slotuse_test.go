package slotuse_test

import (
	"math"
	"strings"
	"testing"

	"tanagerwood.dev/lab/internal/slotuse"
)

// Two engines of four slots decode for 8 s. From second 2 to 4 six streams run and two requests wait; one is refused.
const logLines = `
 0.1 front-1 {"time":"2026-01-01T00:00:00Z","event":"endpoint.listed","endpoint":"d1","stage":"decode"}
 0.1 front-2 {"time":"2026-01-01T00:00:00Z","event":"endpoint.listed","endpoint":"d1","stage":"decode"}
 0.1 front-1 {"time":"2026-01-01T00:00:00Z","event":"endpoint.listed","endpoint":"d2","stage":"decode"}
 0.1 front-1 {"time":"2026-01-01T00:00:00Z","event":"endpoint.listed","endpoint":"p1","stage":"prefill"}
not a line of the router
 4.0 front-1 {"time":"2026-01-01T00:00:04Z","event":"request.ended","prompt":5,"took_ms":2000,"prefill_ms":100}
 4.0 front-1 {"time":"2026-01-01T00:00:04Z","event":"request.ended","prompt":5,"took_ms":2000,"prefill_ms":100}
 4.0 front-1 {"time":"2026-01-01T00:00:04Z","event":"request.ended","prompt":5,"took_ms":2000,"prefill_ms":100}
 4.0 front-1 {"time":"2026-01-01T00:00:04Z","event":"request.ended","prompt":5,"took_ms":2000,"prefill_ms":100}
 4.0 front-1 {"time":"2026-01-01T00:00:04Z","event":"request.ended","prompt":5,"took_ms":2000,"prefill_ms":100}
 4.0 front-1 {"time":"2026-01-01T00:00:04Z","event":"request.ended","prompt":5,"took_ms":2000,"prefill_ms":100}
 4.0 front-1 {"time":"2026-01-01T00:00:03.999Z","event":"request.ended","prompt":5,"took_ms":1999,"waited_ms":1999,"kind":"overloaded"}
 6.0 front-1 {"time":"2026-01-01T00:00:06Z","event":"request.ended","prompt":5,"took_ms":4000,"waited_ms":2000,"prefill_ms":100}
 6.0 front-1 {"time":"2026-01-01T00:00:06Z","event":"endpoint.gone","endpoint":"d2"}
 8.0 front-1 {"time":"2026-01-01T00:00:08Z","event":"request.ended","took_ms":30}
`

// Guards against counting waiting requests as served, or prefill engines as decode capacity.
func TestReadCountsOnlyServedStreamsAndDecodeEngines(t *testing.T) {
	r, err := slotuse.Read(strings.NewReader(logLines), 4)
	if err != nil {
		t.Fatal(err)
	}
	want := []slotuse.Utilization{{Slots: 8}, {Busy: 6, Slots: 8, Waiting: 2, Refused: 1}, {Busy: 1, Slots: 8}, {Slots: 4}}
	if len(r.Windows) != len(want) {
		t.Fatalf("%+v", r.Windows)
	}
	for n, w := range want {
		got := r.Windows[n]
		if math.Abs(got.Busy-w.Busy) > 0.01 || math.Abs(got.Slots-w.Slots) > 0.01 || math.Abs(got.Waiting-w.Waiting) > 0.01 || got.Refused != w.Refused {
			t.Errorf("window %d: %+v, not %+v", n, got, w)
		}
	}
	if ratio, windows := r.Ratio(); math.Abs(ratio-0.75) > 0.01 || windows != 1 {
		t.Error(ratio, windows)
	}
}

func TestReadRefusesLogsWithoutStreams(t *testing.T) {
	if _, err := slotuse.Read(strings.NewReader("nothing\n"), 4); err == nil {
		t.Error("no error")
	}
}
