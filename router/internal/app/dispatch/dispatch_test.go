package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/endpointlimit"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/memestimate"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/fault"
)

const service = "m"

// fleet is a set of instances in front of the same engines. Load and waiting requests of one instance reach the others after
// peerDelay.
type fleet struct {
	engine    routing.Engine
	endpoints []routing.Endpoint
	instances []*instance
	peerDelay time.Duration

	mu            sync.Mutex
	reserveErrors map[string]error
	// onReserve decides about a reservation if it is set.
	onReserve func(ep routing.Endpoint) error
	reserved  map[string]int
	pause     time.Duration
	// reserveCalls counts the reservation calls by endpoint.
	reserveCalls map[string]int
	released     int
	evacuated    atomic.Bool // all engines are in evacuated domains
}

type instance struct {
	*dispatch.Dispatcher
	name    string
	fleet   *fleet
	load    *inflight.Tracker
	timings *latency.Estimator
	memory  *memestimate.Estimator
	// notices holds what the engines have announced to the instance, quotas what they still accept.
	notices *availability.Tracker
	quotas  *sharedlimit.Limiter
}

func newFleet(instances, engines int) *fleet {
	f := &fleet{
		engine:    routing.Engine{Slots: 4, MemoryTokens: 40_000, MaxReservation: 2 * time.Second, EventTokens: 70},
		peerDelay: 3 * time.Millisecond, reserveErrors: map[string]error{}, reserved: map[string]int{}, reserveCalls: map[string]int{},
	}
	for i := range engines {
		f.endpoints = append(f.endpoints, routing.Endpoint{ID: fmt.Sprint("d", i), Service: service, Stage: routing.Decode})
	}
	start := time.Now()
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(1, 2))
	random := func() float64 { // shared by several goroutines, as the process's own source is
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
	for i := range instances {
		in := &instance{name: fmt.Sprint("i", i), fleet: f, load: inflight.NewTracker(), timings: latency.New(), memory: memestimate.New()}
		boot := func() time.Duration { return time.Since(start) + time.Hour }
		in.notices = availability.New(random)
		in.quotas = sharedlimit.New(func(key string) *sharedlimit.Quota { return endpointlimit.FindQuota(in.notices, key) })
		limits := endpointlimit.New(endpointlimit.Deps{Notices: in.notices, Quotas: in.quotas, OnAdmit: func() {}, SinceBoot: boot})
		in.Dispatcher = dispatch.New(dispatch.Deps{
			Limits: limits, Engines: f, State: f, EndpointLoad: in.load, Timings: in.timings, MemoryEstimator: in.memory, Health: health.NewTracker(func() int { return 1 }), InstanceCount: func() int { return instances },
			Random: random, OnChange: in.broadcastState, SinceBoot: boot,
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		f.instances = append(f.instances, in)
	}
	return f
}

// broadcastState sends the instance's load and waiting requests to the other instances.
func (in *instance) broadcastState() {
	own, waiting := in.load.Local(), in.Waiting()
	load := map[string]inflight.Load{} // reports the endpoints without load, too
	for _, ep := range in.fleet.endpoints {
		load[ep.ID] = own[ep.ID]
	}
	time.AfterFunc(in.fleet.peerDelay, func() {
		for _, other := range in.fleet.instances {
			if other != in {
				other.load.UpdatePeer(in.name, load)
				other.ReplacePeerRequests(in.name, waiting)
				other.Dispatch()
			}
		}
	})
}

func (f *fleet) Service(string) *routing.Service {
	return &routing.Service{Name: service, Engine: &f.engine}
}

func (f *fleet) Stage(string, routing.Stage) []routing.Endpoint { return f.endpoints }

func (f *fleet) Paused(routing.Endpoint) bool { return false }

func (f *fleet) PauseRemaining(string, routing.Stage) time.Duration { return f.pause }

func (f *fleet) Reserve(_ context.Context, ep routing.Endpoint, _ int64, _ time.Duration) (routing.Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserveCalls[ep.ID]++
	if err := f.reserveErrors[ep.ID]; err != nil {
		return routing.Reservation{}, err
	}
	if f.onReserve != nil {
		if err := f.onReserve(ep); err != nil {
			return routing.Reservation{}, err
		}
	}
	f.reserved[ep.ID]++
	return routing.Reservation{Endpoint: ep, ID: fmt.Sprint(ep.ID, f.reserved[ep.ID])}, nil
}

func (f *fleet) Release(context.Context, routing.Reservation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released++
	return nil
}

func (in *instance) slotRequest(id string, onTime time.Duration) *dispatch.SlotRequest {
	now := in.SinceBoot()
	return &dispatch.SlotRequest{
		RequestID: id, Service: service, Demand: routing.Demand{PromptTokens: 5000, OutputTokens: 9000, ExpectedOutput: 4000},
		SlotDeadline: now + onTime,
	}
}

func runWithFakeClock(t *testing.T, instances, engines int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(instances, engines)
		ctx, cancel := context.WithCancel(t.Context())
		for _, in := range f.instances {
			go in.Run(ctx)
		}
		test(t, f)
		cancel()
		synctest.Wait()
	})
}

// Guards against refusals while slots are free, and against requests that share an engine while other engines are idle.
func TestSpreadsRequests(t *testing.T) {
	runWithFakeClock(t, 1, 4, func(t *testing.T, f *fleet) {
		used := map[string]int{}
		for i := range 8 {
			slot, err := f.instances[0].AcquireSlot(t.Context(), f.instances[0].slotRequest(fmt.Sprint(i), time.Second))
			if err != nil {
				t.Fatal(err)
			}
			used[slot.Endpoint.ID]++
			defer slot.Release()
		}
		for id, n := range used {
			if n != 2 {
				t.Error(id, n)
			}
		}
	})
}

// Guards against several instances that choose the same engine at the moment a slot becomes free. The engine would preempt
// running requests (seen on grown bfq scale-1).
func TestGrantsFreedPlacesOnce(t *testing.T) {
	runWithFakeClock(t, 30, 1, func(t *testing.T, f *fleet) {
		// Four requests fill the engine's slots.
		var slots []*dispatch.Slot
		for i := range 4 {
			slot, err := f.instances[i].AcquireSlot(t.Context(), f.instances[i].slotRequest(fmt.Sprint("held", i), time.Second))
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, slot)
			time.Sleep(10 * time.Millisecond)
		}
		var mu sync.Mutex
		open, most, served := 4, 4, 0
		var wg sync.WaitGroup
		random := rand.New(rand.NewPCG(3, 4))
		for i, in := range f.instances {
			arrives := time.Duration(random.IntN(100)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(arrives)
				slot, err := in.AcquireSlot(t.Context(), in.slotRequest(fmt.Sprint("w", i), 5*time.Second))
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				open++
				served++
				most = max(most, open)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				mu.Lock()
				open--
				mu.Unlock()
				slot.Release()
			})
		}
		time.Sleep(120 * time.Millisecond)
		for _, slot := range slots {
			mu.Lock()
			open--
			mu.Unlock()
			slot.Release()
		}
		wg.Wait()
		if served != 30 {
			t.Error(served, "of 30 requests were served")
		}
		if most > 5 {
			t.Errorf("%d concurrent requests at an engine with 4 slots", most)
		}
	})
}

// Guards against late requests that take slots from requests that can still be on time, including those of other instances.
func TestServesOnTimeRequestsFirst(t *testing.T) {
	runWithFakeClock(t, 2, 1, func(t *testing.T, f *fleet) {
		a, b := f.instances[0], f.instances[1]
		slots := acquireSlots(t, a, 4)
		served := make(chan *dispatch.Slot, 1)
		go func() {
			slot, err := b.AcquireSlot(t.Context(), b.slotRequest("on time", time.Second))
			if err != nil {
				t.Error(err)
			}
			served <- slot
		}()
		time.Sleep(20 * time.Millisecond)
		if _, err := a.AcquireSlot(t.Context(), a.slotRequest("late", -time.Second)); !fault.Is(err, fault.Overloaded) {
			t.Error("a late request was not refused while an on-time request waited:", err)
		}
		slots[0].Release()
		time.Sleep(5 * time.Millisecond)
		if _, err := a.AcquireSlot(t.Context(), a.slotRequest("late", -time.Second)); !fault.Is(err, fault.Overloaded) {
			t.Error("a late request got the slot of an on-time request:", err)
		}
		(<-served).Release()
		for _, slot := range slots[1:] {
			slot.Release()
		}
		time.Sleep(1100 * time.Millisecond)
		slot, err := a.AcquireSlot(t.Context(), a.slotRequest("late", -time.Second))
		if err != nil {
			t.Fatal("late request refused although no other request waited:", err)
		}
		slot.Release()
	})
}

// acquireSlots acquires n slots.
func acquireSlots(t *testing.T, in *instance, n int) []*dispatch.Slot {
	t.Helper()
	var slots []*dispatch.Slot
	for i := range n {
		slot, err := in.AcquireSlot(t.Context(), in.slotRequest(fmt.Sprint("held", i), time.Second))
		if err != nil {
			t.Fatal(err)
		}
		slot.MarkUsed()
		slots = append(slots, slot)
	}
	return slots
}

// Guards against requests that wait although no engine can serve them. They must be refused when they become late, with the
// outcome not run and a Retry-After.
func TestRefusesWhatCannotBeServed(t *testing.T) {
	runWithFakeClock(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		slots := acquireSlots(t, in, 4)
		began := time.Now()
		_, err := in.AcquireSlot(t.Context(), in.slotRequest("x", 500*time.Millisecond))
		typed := fault.As(err)
		if !fault.Is(err, fault.Overloaded) || typed.RetryAfter < time.Second || typed.RetryAfter > 5*time.Second {
			t.Error(err)
		}
		if took := time.Since(began); took < 500*time.Millisecond || took > 550*time.Millisecond {
			t.Error("refused after", took)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		if _, err := in.AcquireSlot(ctx, in.slotRequest("gone", time.Second)); !fault.Is(err, fault.CallerDisconnected) {
			t.Error(err)
		}
		for _, slot := range slots {
			slot.Release()
		}
		time.Sleep(10 * time.Millisecond)
		if own := in.load.Local(); len(own) != 0 {
			t.Error("load of requests that have ended:", own)
		}
	})
}

// Guards against requests that wait although it is clear on arrival that no slot will be free in time.
func TestRefusesOnArrivalWhatCannotBeOnTime(t *testing.T) {
	runWithFakeClock(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		for range 3 {
			in.timings.RecordHold(service, 4*time.Second)
		}
		slots := acquireSlots(t, in, 4)
		began := time.Now()
		if _, err := in.AcquireSlot(t.Context(), in.slotRequest("x", 900*time.Millisecond)); !fault.Is(err, fault.Overloaded) || time.Since(began) > 0 {
			t.Error(err, "after", time.Since(began))
		}
		time.AfterFunc(time.Second, slots[0].Release)
		slot, err := in.AcquireSlot(t.Context(), in.slotRequest("y", 1100*time.Millisecond))
		if err != nil || time.Since(began) != time.Second {
			t.Fatal(err, "after", time.Since(began))
		}
		slot.Release()
		for _, slot := range slots {
			slot.Release()
		}
	})
}

// Guards against repeated calls to an unreachable engine, and against load that stays recorded after a refusal.
func TestAvoidsEnginesThatRefuse(t *testing.T) {
	runWithFakeClock(t, 1, 3, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.mu.Lock()
		f.reserveErrors["d0"] = fmt.Errorf("%w: full", routing.ErrNotRun)
		f.reserveErrors["d1"] = errors.New("reset")
		f.mu.Unlock()
		for i := range 4 {
			slot, err := in.AcquireSlot(t.Context(), in.slotRequest(fmt.Sprint(i), time.Second))
			if err != nil || slot.Endpoint.ID != "d2" {
				t.Fatal(slot, err)
			}
			defer slot.Release()
		}
		if got := in.load.TotalAt("d0").Requests + in.load.TotalAt("d1").Requests; got != 0 {
			t.Error("requests counted at engines that refused them:", got)
		}
		slot, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: "avoid", Service: service, SlotDeadline: in.SinceBoot() + 50*time.Millisecond,
			Exclude: map[string]bool{"d2": true}})
		if err == nil {
			t.Error("the request got an engine that it excludes:", slot.Endpoint.ID)
		}
	})
}

// Guards against requests that wait although all engines have asked for a pause, and against a Retry-After that ends before the
// pause.
func TestRefusesWhileAllEnginesPause(t *testing.T) {
	runWithFakeClock(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.pause = 3 * time.Second
		_, err := in.AcquireSlot(t.Context(), in.slotRequest("a", time.Second))
		if typed := fault.As(err); !fault.Is(err, fault.Overloaded) || typed.RetryAfter < f.pause || typed.RetryAfter > f.pause+time.Second {
			t.Error(err)
		}
		f.pause = 500 * time.Millisecond
		slot, err := in.AcquireSlot(t.Context(), in.slotRequest("b", time.Second))
		if err != nil {
			t.Fatal("refused although the pause ends before the slot deadline:", err)
		}
		slot.Release()
	})
}

// Guards against an engine that refuses for seconds and is asked again for each request because it has the least load.
func TestBacksOffFromRefusingEngines(t *testing.T) {
	runWithFakeClock(t, 1, 2, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.reserveErrors["d0"] = fmt.Errorf("%w: full", routing.ErrNotRun)
		for i := range 100 {
			slot, err := in.AcquireSlot(t.Context(), in.slotRequest(fmt.Sprint(i), time.Second))
			if err != nil {
				t.Fatal(err)
			}
			slot.Release()
			time.Sleep(40 * time.Millisecond)
		}
		if f.reserveCalls["d0"] > 10 {
			t.Error("an engine that refuses was called", f.reserveCalls["d0"], "times in 4 s")
		}
	})
}

// Guards against reservations that are not released when a request ends before it is sent.
func TestReleasesUnusedReservations(t *testing.T) {
	runWithFakeClock(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		unused, err := in.AcquireSlot(t.Context(), in.slotRequest("unused", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		used, err := in.AcquireSlot(t.Context(), in.slotRequest("used", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		used.MarkUsed()
		used.Release()
		unused.Release()
		unused.Release()
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.released != 1 || len(in.load.Local()) != 0 {
			t.Error(f.released, in.load.Local())
		}
	})
}

// Guards against engines that count as free while the memory of their requests grows.
func TestCountsProgress(t *testing.T) {
	runWithFakeClock(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		slot, err := in.AcquireSlot(t.Context(), in.slotRequest("a", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		before := in.load.TotalAt("d0").Tokens
		for range 60 {
			slot.RecordEvents(1)
		}
		if grown := in.load.TotalAt("d0").Tokens - before; grown < 2000 {
			t.Error("4200 tokens were generated, but the recorded load grew by", grown)
		}
		slot.Release()
		if got := in.load.TotalAt("d0"); got != (inflight.Load{}) {
			t.Error(got)
		}
	})
}
