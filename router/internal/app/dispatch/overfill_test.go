package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
)

// heldAtEngines counts what engines hold, and the most of it. They refuse reservations beyond their slots.
type heldAtEngines struct {
	mu                     sync.Mutex
	slots                  int
	requests               map[string]int
	tokens                 map[string]int64
	mostRequests           int
	mostTokens             int64
	served, refusedReserve int
}

func (h *heldAtEngines) reserve(ep routing.Endpoint) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests[ep.ID] >= h.slots {
		h.refusedReserve++
		return fmt.Errorf("%w: all slots are taken", routing.ErrNotRun)
	}
	h.requests[ep.ID]++
	h.mostRequests = max(h.mostRequests, h.requests[ep.ID])
	return nil
}

func (h *heldAtEngines) start(engine string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served++
	h.tokens[engine] += tokens
	h.mostTokens = max(h.mostTokens, h.tokens[engine])
}

func (h *heldAtEngines) end(engine string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[engine]--
	h.tokens[engine] -= tokens
}

// overfill offers requests of 8,000 tokens, nine of which fill an engine's assignable memory, at a rate far above what the engines
// serve.
func overfill(t *testing.T, instances int, rate float64) *heldAtEngines {
	held := &heldAtEngines{slots: sharedSlots, requests: map[string]int{}, tokens: map[string]int64{}}
	runWithFakeClock(t, instances, sharedEngines, func(t *testing.T, f *fleet) {
		f.engine.Slots, f.engine.MemoryTokens, f.onReserve = sharedSlots, sharedMemory, held.reserve
		random := rand.New(rand.NewPCG(5, uint64(instances)))
		var group sync.WaitGroup
		for n := range 400 {
			in := f.instances[random.IntN(instances)]
			hold := time.Duration(1000+random.IntN(3000)) * time.Millisecond
			group.Go(func() {
				demand := routing.Demand{PromptTokens: 7900, OutputTokens: 100, ExpectedOutput: 100}
				slot, err := in.AcquireSlot(context.Background(), &dispatch.SlotRequest{RequestID: fmt.Sprint(n), Service: service, Demand: demand, SlotDeadline: in.SinceBoot() + time.Second})
				if err != nil {
					return
				}
				slot.MarkUsed()
				held.start(slot.Endpoint.ID, demand.Tokens())
				time.Sleep(hold)
				held.end(slot.Endpoint.ID, demand.Tokens())
				slot.Release()
			})
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		group.Wait()
	})
	return held
}

// Guards against instances that together exceed the slots or the memory of an engine, which may crash then.
func TestEnginesAreNotOverfilled(t *testing.T) {
	for _, instances := range []int{1, 8, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			h := overfill(t, instances, 100)
			t.Logf("%d served, at most %d requests and %d tokens at an engine, %d reservations refused", h.served, h.mostRequests, h.mostTokens, h.refusedReserve)
			if h.mostRequests > sharedSlots || h.served < 200 {
				t.Errorf("%d requests at an engine with %d slots, %d served", h.mostRequests, sharedSlots, h.served)
			}
			if h.mostTokens > sharedMemory {
				t.Errorf("%d tokens at an engine, which holds %d", h.mostTokens, sharedMemory)
			}
		})
	}
}
