package losses_test

import (
	"reflect"
	"strings"
	"testing"

	"tanagerwood.dev/lab/internal/losses"
)

// Guards against requests that are counted under a wrong cause or in a wrong window, and against a reader that stops at lines
// of other programs.
func TestReadCountsRequestsByCauseAndWindow(t *testing.T) {
	log := `  1.0 front-1 {"time":"2026-01-01T00:00:01Z","event":"request.ended","prompt":100,"took_ms":1000,"status":200}
not a line {of ours
{"time":"2026-01-01T00:00:05Z","event":"request.ended","prompt":100,"took_ms":2500,"status":200,"late":"pause"}
{"time":"2026-01-01T00:00:02.9Z","event":"request.ended","prompt":100,"took_ms":3,"kind":"overloaded","outcome":"not_run"}
{"time":"2026-01-01T00:00:03Z","event":"request.ended","prompt":100,"took_ms":10,"kind":"overloaded","outcome":"not_run"}
{"time":"2026-01-01T00:00:03Z","event":"request.ended","took_ms":10,"status":200}`
	got, err := losses.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if want := []string{"overloaded (not_run)", "late (pause)", "on time"}; !reflect.DeepEqual(got.Causes, want) {
		t.Error(got.Causes)
	}
	if len(got.Windows) != 2 || got.Windows[0].ByCause["on time"] != 1 || got.Windows[1].ByCause["overloaded (not_run)"] != 2 ||
		got.Windows[1].ByCause["late (pause)"] != 1 {
		t.Errorf("%+v", got.Windows)
	}
	if _, err := losses.Read(strings.NewReader("nothing")); err == nil {
		t.Error("an empty log has no causes")
	}
}
