package engines_test

import (
	"testing"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
)

// Guards against prompts that queue at one prefill engine until they exceed its memory, which it does not survive.
func TestHoldsPrompt(t *testing.T) {
	for _, c := range []struct {
		load           inflight.Load
		prompt, memory int64
		want           bool
	}{
		{inflight.Load{}, 90_000, 0, true},
		{inflight.Load{}, 78_000, 78_878, true},
		{inflight.Load{}, 79_000, 78_878, false},
		{inflight.Load{Requests: 10, Tokens: 58_000}, 5000, 78_878, true},
		{inflight.Load{Requests: 11, Tokens: 63_000}, 5000, 78_878, false},
	} {
		if got := engines.HoldsPrompt(c.load, c.prompt, c.memory); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against a request that is sent to an engine although it needs more memory than the engine has.
func TestNoEngineHoldsRequestsBeyondItsMemory(t *testing.T) {
	idle := []engines.Candidate{{Endpoint: routing.Endpoint{ID: "d"}}}
	capacity := engines.Capacity{Slots: 12, Tokens: 70_000, Total: 78_878}
	if got := engines.SelectDecode(idle, capacity, 75_000, "", 0); got != 0 {
		t.Error("a request that an engine without others can hold was given", got)
	}
	if got := engines.SelectDecode(idle, capacity, 78_879, "", 0); got != -1 {
		t.Error("a request that no engine can hold was given", got)
	}
}
