package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/regions"
	"tanagerwood.dev/router/internal/fault"
)

// Guards against requests that leave their region while its engines are full, that lose their places there to later requests of other
// regions, or that wait for engines of a region that has none.
func TestRequestsGetSlotsInTheirRegions(t *testing.T) {
	runWithFakeClock(t, 1, 2, func(t *testing.T, f *fleet) {
		f.endpoints[0].Domain, f.endpoints[1].Domain = "a", "b"
		table := regions.Table{"a": "north", "b": "south", "c": "none"}
		in := f.instances[0]
		acquire := func(id string, allowed ...string) (*dispatch.Slot, error) {
			return in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: id, Service: service, SlotDeadline: in.SinceBoot() + time.Minute,
				Demand: routing.Demand{PromptTokens: 10, OutputTokens: 10}, Allowed: table.Filter(allowed)})
		}
		if _, err := acquire("nowhere", "none"); !fault.Is(err, fault.Overloaded) {
			t.Error("a request without an engine in its region:", err)
		}
		var held []*dispatch.Slot
		for i := range f.engine.Slots {
			slot, err := acquire(fmt.Sprint(i), "north")
			if err != nil || slot.Endpoint.Domain != "a" {
				t.Fatal(slot, err)
			}
			held = append(held, slot)
		}
		restricted := make(chan *dispatch.Slot)
		go func() {
			slot, err := acquire("waiting", "north")
			if err != nil {
				t.Error(err)
			}
			restricted <- slot
		}()
		time.Sleep(100 * time.Millisecond)
		for i := range f.engine.Slots {
			slot, err := acquire(fmt.Sprint("any", i))
			if err != nil || slot.Endpoint.Domain != "b" {
				t.Fatal(slot, err)
			}
		}
		time.AfterFunc(time.Second, held[0].Release)
		later := make(chan *dispatch.Slot)
		go func() {
			slot, _ := acquire("any, last")
			later <- slot
		}()
		if slot := <-restricted; slot == nil || slot.Endpoint.Domain != "a" {
			t.Error("the waiting request did not get the slot of its region", slot)
		}
		held[1].Release()
		<-later
	})
}
