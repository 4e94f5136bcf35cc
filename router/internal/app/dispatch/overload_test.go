package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
)

// Engines whose memory is exhausted long before their slots.
const (
	slotsPerEngine     = 64
	engineMemoryTokens = 37_745
)

var typicalDemand = routing.Demand{PromptTokens: 3200, OutputTokens: 1920, ExpectedOutput: 800}

// concurrentRequests is the number of typical requests that an engine's memory admits at once.
func (in *instance) concurrentRequests(tokens int64) int {
	return int(in.memory.UsableMemory(service, tokens) / in.memory.RequestMemory(service, typicalDemand, 0))
}

// Guards against engines with more slots than memory that are filled until they preempt requests.
func TestFillsMemoryNotSlots(t *testing.T) {
	runWithFakeClock(t, 1, 2, func(t *testing.T, f *fleet) {
		f.engine.Slots, f.engine.MemoryTokens = slotsPerEngine, engineMemoryTokens
		in := f.instances[0]
		var slots []*dispatch.Slot
		for i := range 2 * slotsPerEngine {
			slot, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: fmt.Sprint(i), Service: service, Demand: typicalDemand, SlotDeadline: in.SinceBoot()})
			if err != nil {
				break
			}
			slots = append(slots, slot)
		}
		if capacity := 2 * in.concurrentRequests(engineMemoryTokens); len(slots) != capacity {
			t.Errorf("%d requests got a slot, but the memory holds %d", len(slots), capacity)
		}
		for _, slot := range slots {
			slot.Release()
		}
	})
}

// outcomeCounts counts the results of the requests of a load.
type outcomeCounts struct {
	mu                  sync.Mutex
	onTime, granted     int
	refused             int
	longestWait         time.Duration
	disturbedAfterBurst int
}

// Guards against a burst that leaves a queue of late requests. They hold memory for seconds, so that new requests become late in
// turn.
func TestBurstLeavesNoQueue(t *testing.T) {
	for _, instances := range []int{8, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			const (
				hold    = 2900 * time.Millisecond
				patient = 600 * time.Millisecond
				burst   = 5 * time.Second
				calm    = 6 * time.Second
			)
			runWithFakeClock(t, instances, 8, func(t *testing.T, f *fleet) {
				f.engine.Slots, f.engine.MemoryTokens = slotsPerEngine, engineMemoryTokens
				capacity := 8 * float64(f.instances[0].concurrentRequests(engineMemoryTokens)) / hold.Seconds()
				random := rand.New(rand.NewPCG(7, uint64(instances)))
				var group sync.WaitGroup
				result := &outcomeCounts{}
				began := time.Now()
				for n := 0; time.Since(began) < burst+calm; n++ {
					load := 2.2
					if time.Since(began) > burst {
						load = 0.6
					}
					in := f.instances[random.IntN(instances)]
					group.Go(func() { result.sendRequest(t, in, n, began, patient, hold, burst) })
					time.Sleep(time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second)))
				}
				group.Wait()
				if float64(result.onTime) < 0.9*float64(result.granted) {
					t.Errorf("%d of %d granted requests were on time", result.onTime, result.granted)
				}
				if result.longestWait > patient+500*time.Millisecond {
					t.Error("the longest wait of a request was", result.longestWait)
				}
				if minOnTime := 0.8 * capacity * burst.Seconds(); float64(result.onTime) < minOnTime {
					t.Errorf("%d requests were on time, expected at least %.0f during the burst alone", result.onTime, minOnTime)
				}
				if result.disturbedAfterBurst > 0 {
					t.Error(result.disturbedAfterBurst, "requests waited or were refused more than 2 s after the burst")
				}
			})
		})
	}
}

// sendRequest sends one request and holds its slot for a while.
func (s *outcomeCounts) sendRequest(t *testing.T, in *instance, n int, began time.Time, maxWait, hold, burst time.Duration) {
	arrived := time.Now()
	slot, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: fmt.Sprint(n), Service: service, Demand: typicalDemand, SlotDeadline: in.SinceBoot() + maxWait})
	waited := time.Since(arrived)
	s.mu.Lock()
	s.longestWait = max(s.longestWait, waited)
	if arrived.Sub(began) > burst+2*time.Second && (err != nil || waited > 50*time.Millisecond) {
		s.disturbedAfterBurst++
	}
	switch {
	case err != nil:
		s.refused++
	case waited <= maxWait:
		s.onTime++
		fallthrough
	default:
		s.granted++
	}
	s.mu.Unlock()
	if err == nil {
		slot.MarkUsed()
		time.Sleep(hold)
		slot.Release()
	}
}
