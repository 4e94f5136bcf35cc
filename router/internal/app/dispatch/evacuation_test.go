package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/fault"
)

func (f *fleet) AllEvacuated(string, routing.Stage) bool { return f.evacuated.Load() }

// Guards against requests that wait until they are late for engines that are all evacuated: those that wait already and those that arrive.
func TestRefusesAtOnceWhenAllEnginesAreEvacuated(t *testing.T) {
	runWithFakeClock(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		acquire := func(id string) (time.Duration, error) {
			start := time.Now()
			_, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: id, Service: service, SlotDeadline: in.SinceBoot() + time.Minute,
				Demand: routing.Demand{PromptTokens: 10, OutputTokens: 10}})
			return time.Since(start), err
		}
		for i := range f.engine.Slots {
			if _, err := acquire(fmt.Sprint(i)); err != nil {
				t.Fatal(err)
			}
		}
		time.AfterFunc(time.Second, func() { f.evacuated.Store(true) })
		for id, limit := range map[string]time.Duration{"waiting": 1100 * time.Millisecond, "new": 0} {
			if id == "new" {
				f.evacuated.Store(true)
			}
			took, err := acquire(id)
			if !fault.Is(err, fault.Overloaded) || fault.As(err).RetryAfter <= 0 || took > limit {
				t.Errorf("%s: refused after %s: %v", id, took, err)
			}
		}
	})
}
