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

// staleRequests is the number of requests by which instances may exceed the assignable memory of an engine together, because each
// learns some milliseconds late what the others send. The memory that is not assignable, and engines that preempt requests, make up for
// them.
const staleRequests = 2

// Guards against instances that exceed the slots of an engine, which reservations prevent, or its memory by more than what is in
// flight between them.
func TestEnginesAreNotOverfilled(t *testing.T) {
	const requestTokens, fitting = 8000, 9
	for _, instances := range []int{1, 8, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			h := overfill(t, instances, 100)
			t.Logf("%d served, at most %d requests and %d tokens at an engine, %d reservations refused", h.served, h.mostRequests, h.mostTokens, h.refusedReserve)
			if h.mostRequests > sharedSlots || h.served < 200 {
				t.Errorf("%d requests at an engine with %d slots, %d served", h.mostRequests, sharedSlots, h.served)
			}
			limit := int64(fitting * requestTokens)
			if instances > 1 {
				limit += staleRequests * requestTokens
			}
			if h.mostTokens > limit {
				t.Errorf("%d tokens at an engine, expected at most %d", h.mostTokens, limit)
			}
		})
	}
}
