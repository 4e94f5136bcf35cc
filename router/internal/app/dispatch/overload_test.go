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

// Engines whose memory is full long before their slots.
const (
	manySlots    = 64
	littleMemory = 37_745
)

var letter = routing.Demand{PromptTokens: 3200, OutputTokens: 1920, ExpectedOutput: 800}

// capacity is the number of letters that begin at once in an engine's memory.
func (in *instance) capacity(tokens int64) int {
	return int(in.growth.Usable(service, tokens) / in.growth.Memory(service, letter, 0))
}

// Guards against engines with more slots than memory that are filled until they put requests back.
func TestFillsMemoryNotSlots(t *testing.T) {
	virtual(t, 1, 2, func(t *testing.T, f *fleet) {
		f.engine.Slots, f.engine.MemoryTokens = manySlots, littleMemory
		in := f.instances[0]
		var held []*dispatch.Slot
		for i := range 2 * manySlots {
			p, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: fmt.Sprint(i), Service: service, Demand: letter, SlotDeadline: in.SinceBoot()})
			if err != nil {
				break
			}
			held = append(held, p)
		}
		if most := 2 * in.capacity(littleMemory); len(held) != most {
			t.Errorf("%d requests were placed, memory holds %d", len(held), most)
		}
		for _, p := range held {
			p.Release()
		}
	})
}

// tally counts what became of the requests of a load.
type tally struct {
	mu              sync.Mutex
	onTime, granted int
	refused         int
	longest         time.Duration
	afterwards      int
}

// Guards against a burst that leaves a queue of late requests: they hold memory for seconds, in which fresh ones become late in turn.
func TestBurstLeavesNoQueue(t *testing.T) {
	for _, instances := range []int{8, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			const (
				hold    = 2900 * time.Millisecond
				patient = 600 * time.Millisecond
				burst   = 5 * time.Second
				calm    = 6 * time.Second
			)
			virtual(t, instances, 8, func(t *testing.T, f *fleet) {
				f.engine.Slots, f.engine.MemoryTokens = manySlots, littleMemory
				capacity := 8 * float64(f.instances[0].capacity(littleMemory)) / hold.Seconds()
				random := rand.New(rand.NewPCG(7, uint64(instances)))
				var group sync.WaitGroup
				sum := &tally{}
				began := time.Now()
				for n := 0; time.Since(began) < burst+calm; n++ {
					load := 2.2
					if time.Since(began) > burst {
						load = 0.6
					}
					in := f.instances[random.IntN(instances)]
					group.Go(func() { sum.play(t, in, n, began, patient, hold, burst) })
					time.Sleep(time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second)))
				}
				group.Wait()
				if float64(sum.onTime) < 0.9*float64(sum.granted) {
					t.Errorf("%d of %d granted requests were on time", sum.onTime, sum.granted)
				}
				if sum.longest > patient+500*time.Millisecond {
					t.Error("a request was held for", sum.longest)
				}
				if due := 0.8 * capacity * burst.Seconds(); float64(sum.onTime) < due {
					t.Errorf("%d requests on time, %.0f are to be served during the burst alone", sum.onTime, due)
				}
				if sum.afterwards > 0 {
					t.Error(sum.afterwards, "requests waited or were refused when the burst was long over")
				}
			})
		})
	}
}

// play sends one request, and holds its place for a while.
func (s *tally) play(t *testing.T, in *instance, n int, began time.Time, patient, hold, burst time.Duration) {
	arrived := time.Now()
	p, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: fmt.Sprint(n), Service: service, Demand: letter, SlotDeadline: in.SinceBoot() + patient})
	waited := time.Since(arrived)
	s.mu.Lock()
	s.longest = max(s.longest, waited)
	if arrived.Sub(began) > burst+2*time.Second && (err != nil || waited > 50*time.Millisecond) {
		s.afterwards++
	}
	switch {
	case err != nil:
		s.refused++
	case waited <= patient:
		s.onTime++
		fallthrough
	default:
		s.granted++
	}
	s.mu.Unlock()
	if err == nil {
		p.MarkUsed()
		time.Sleep(hold)
		p.Release()
	}
}
