package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/fault"
)

// limit has all engines announce a request limit to the instance.
func (in *instance) limit(perSecond float64) {
	for _, ep := range in.fleet.endpoints {
		in.notices.RecordLimit(ep, routing.Notice{Limit: routing.LimitNotice{State: routing.LimitNamed, PerSecond: perSecond}}, in.SinceBoot())
	}
}

// Guards against reservations, and requests whose slots were acquired before, beyond the limit that an engine has announced.
func TestSlotsOfLimitedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		in := f.instances[0]
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go in.Run(ctx)
		before, err := in.AcquireSlot(t.Context(), in.slotRequest("before", time.Minute))
		if err != nil || before.Admitted() || before.Reservation == nil {
			t.Error("a slot of an engine without a limit:", before, err)
		}
		in.limit(4)
		admitted, err := in.AcquireSlot(t.Context(), in.slotRequest("admitted", time.Minute))
		if err != nil || !admitted.Admitted() || admitted.Reservation != nil {
			t.Error("a slot of an engine with a limit:", admitted, err)
		}
		began := time.Now()
		if _, err := in.AcquireSlot(t.Context(), in.slotRequest("waits", time.Minute)); err != nil || time.Since(began) > time.Second {
			t.Error("a request that the limit allows soon:", err, time.Since(began))
		}
	})
}

// Guards against requests that wait although the limits of all engines allow them too late.
func TestRefusesAtOnceWhatLimitsDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2)
		in := f.instances[0]
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go in.Run(ctx)
		in.limit(0.5)
		for range 2 {
			if _, err := in.AcquireSlot(t.Context(), in.slotRequest("first", 4*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		_, err := in.AcquireSlot(t.Context(), in.slotRequest("late", 500*time.Millisecond))
		var typed *fault.Error
		if !errors.As(err, &typed) || typed.Kind != fault.Overloaded || typed.RetryAfter < time.Second || time.Since(began) > 0 {
			t.Error(err, "after", time.Since(began))
		}
	})
}
