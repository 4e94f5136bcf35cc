package slowreader_test

import (
	"slices"
	"testing"
	"time"

	"tanagerwood.dev/router/internal/domain/slowreader"
)

// Guards against callers that read nothing and together hold more than the limit, and against cutting those that read.
func TestCutsTheLongestBlockedFirst(t *testing.T) {
	tracker := slowreader.NewTracker(100)
	var cut []string
	writes := map[string]*slowreader.Write{}
	begin := func(name string, bytes int64, now time.Duration) {
		writes[name] = &slowreader.Write{Bytes: bytes, Cut: func() { cut = append(cut, name) }}
		tracker.Begin(writes[name], now)
	}
	begin("reads on", 60, 0)
	begin("first", 60, 100*time.Millisecond)
	begin("second", 60, 200*time.Millisecond)
	begin("third", 40, 300*time.Millisecond)
	tracker.End(writes["reads on"])
	begin("reads on", 60, 900*time.Millisecond)
	tracker.Check(time.Second)
	if len(cut) > 0 || tracker.Held() != 0 {
		t.Error("cut before anything was blocked for long:", cut, tracker.Held())
	}
	tracker.Check(1300 * time.Millisecond)
	if !slices.Equal(cut, []string{"first"}) || tracker.Held() != 100 {
		t.Error("cut", cut, "held", tracker.Held())
	}
	tracker.End(writes["first"])
	tracker.End(writes["second"])
	tracker.Check(5 * time.Second)
	if len(cut) > 1 || tracker.CutWrites() != 1 || tracker.Held() != 100 {
		t.Error("cut", cut, "held", tracker.Held())
	}
}
