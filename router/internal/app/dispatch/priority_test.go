package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/priority"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

// kind is a kind of streams that share the engines.
type kind struct {
	priority   int
	rate       float64
	objective  time.Duration
	firstEvent time.Duration
}

// Two kinds of streams as in the load that the priorities are for.
var kinds = []kind{
	{priority: 0, rate: 11.5, objective: 800 * time.Millisecond, firstEvent: 150 * time.Millisecond},
	{priority: 2, rate: 0.325, objective: 2 * time.Second, firstEvent: 150 * time.Millisecond},
}

const (
	sharedEngines     = 17
	sharedSlots       = 12
	sharedMemory      = 78_878
	sharedHold        = 12500 * time.Millisecond
	loadTime          = 100 * time.Second
	surgeFactor       = 6
	surgingShare      = 0.2
	burstFactor       = 2.5
	surgeBegin        = 20 * time.Second
	surgeEnd          = 65 * time.Second
	beyondRateFromAge = 5 * time.Second
)

var sharedDemand = routing.Demand{PromptTokens: 2500, OutputTokens: 2000, ExpectedOutput: 900}

// rateAt returns the factor of the usual rate at a time: two bursts of all customers, and one customer at six times its usual rate.
func rateAt(at time.Duration) (others, surging float64) {
	others, surging = 1-surgingShare, surgingShare
	if at > surgeBegin && at < surgeEnd {
		surging *= surgeFactor
	}
	if at > 30*time.Second && at < 36*time.Second || at > 75*time.Second && at < 85*time.Second {
		others *= burstFactor
	}
	return others, surging
}

// kindResult counts the requests of one kind, from the surging customer beyond its rate and from the others.
type kindResult struct{ offered, served, beyondOffered, beyondServed int }

func (k kindResult) share() float64 { return float64(k.served) / float64(max(1, k.offered)) }

// playKinds plays the load at a number of instances and returns the results by kind.
func playKinds(t *testing.T, instances int, usePriorities bool) []kindResult {
	results := make([]kindResult, len(kinds))
	runWithFakeClock(t, instances, sharedEngines, func(t *testing.T, f *fleet) {
		f.engine.Slots, f.engine.MemoryTokens = sharedSlots, sharedMemory
		var mu sync.Mutex
		var group sync.WaitGroup
		for number, k := range kinds {
			random := rand.New(rand.NewPCG(uint64(instances), uint64(number)))
			group.Go(func() {
				began := time.Now()
				for n := 0; time.Since(began) < loadTime; n++ {
					others, surging := rateAt(time.Since(began))
					at := time.Since(began)
					beyond := random.Float64() < surging/(others+surging) && at > surgeBegin+beyondRateFromAge && at < surgeEnd
					in := f.instances[random.IntN(instances)]
					request := kindRequest(in, k, fmt.Sprint(number, "-", n), beyond, usePriorities)
					hold := time.Duration((0.5 + random.Float64()) * float64(sharedHold))
					group.Go(func() {
						slot, err := in.AcquireSlot(t.Context(), request)
						mu.Lock()
						results[number].count(beyond, err == nil)
						mu.Unlock()
						if err == nil {
							slot.MarkUsed()
							time.Sleep(hold)
							slot.Release()
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() / (k.rate * (others + surging)) * float64(time.Second)))
				}
			})
		}
		group.Wait()
	})
	return results
}

func (k *kindResult) count(beyond, served bool) {
	offered, servedCount := &k.offered, &k.served
	if beyond {
		offered, servedCount = &k.beyondOffered, &k.beyondServed
	}
	*offered++
	if served {
		*servedCount++
	}
}

func kindRequest(in *instance, k kind, id string, beyond, usePriorities bool) *dispatch.SlotRequest {
	latestStart := in.SinceBoot() + k.objective - k.firstEvent
	r := &dispatch.SlotRequest{RequestID: id, Service: service, Demand: sharedDemand, SlotDeadline: latestStart}
	if !usePriorities {
		return r
	}
	priorities := priority.Service{Differ: true, MostUrgent: 0, Objective: kinds[0].objective}
	r.Class = priorities.Class(k.priority, beyond)
	if priorities.Reserves(r.Class, id) {
		r.Reserved = &waitlist.Position{Class: priorities.Class(0, false), LatestStart: latestStart - (k.objective - kinds[0].objective)}
	}
	return r
}

// Guards against urgent streams that are served less often than less urgent ones, against less urgent ones that are hardly ever
// served, and against a customer beyond its rate at whose cost others are refused.
func TestPrioritiesUnderSharedLoad(t *testing.T) {
	for _, instances := range []int{8, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			results := playKinds(t, instances, true)
			urgent, less := results[0], results[1]
			t.Logf("urgent %+v, less urgent %+v", urgent, less)
			if urgent.served+urgent.beyondServed == urgent.offered+urgent.beyondOffered {
				t.Error("the load does not exceed the engines")
			}
			if urgent.share() < less.share()-0.05 {
				t.Errorf("%.2f of the urgent and %.2f of the less urgent requests were served", urgent.share(), less.share())
			}
			all := float64(urgent.served+less.served) / float64(urgent.offered+less.offered)
			if less.share() < all/4 {
				t.Errorf("%.2f of the less urgent and %.2f of all requests were served", less.share(), all)
			}
			if beyond := float64(urgent.beyondServed) / float64(urgent.beyondOffered); beyond >= urgent.share() {
				t.Errorf("%.2f of the requests beyond the rate and %.2f of the others were served", beyond, urgent.share())
			}
		})
	}
}
