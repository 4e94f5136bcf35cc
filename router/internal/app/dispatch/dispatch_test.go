package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/dispatch"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/memestimate"
	"tanagerwood.dev/router/internal/fault"
)

const service = "m"

// fleet is a number of instances in front of the same engines. What one enters in its book, and what waits there, reaches
// the others after delay.
type fleet struct {
	engine    routing.Engine
	endpoints []routing.Endpoint
	instances []*instance
	delay     time.Duration

	mu       sync.Mutex
	refuse   map[string]error
	reserved map[string]int
	pause    time.Duration
	// asked counts the reservations that were asked for.
	asked    map[string]int
	released int
}

type instance struct {
	*dispatch.Dispatcher
	name   string
	fleet  *fleet
	book   *inflight.Tracker
	pace   *latency.Estimator
	growth *memestimate.Estimator
}

func newFleet(instances, engines int) *fleet {
	f := &fleet{
		engine: routing.Engine{Slots: 4, MemoryTokens: 40_000, MaxReservation: 2 * time.Second, EventTokens: 70},
		delay:  3 * time.Millisecond, refuse: map[string]error{}, reserved: map[string]int{}, asked: map[string]int{},
	}
	for i := range engines {
		f.endpoints = append(f.endpoints, routing.Endpoint{ID: fmt.Sprint("d", i), Service: service, Stage: routing.Decode})
	}
	start := time.Now()
	var drawing sync.Mutex
	source := rand.New(rand.NewPCG(1, 2))
	random := func() float64 { // as the process's own, for several goroutines
		drawing.Lock()
		defer drawing.Unlock()
		return source.Float64()
	}
	for i := range instances {
		in := &instance{name: fmt.Sprint("i", i), fleet: f, book: inflight.NewTracker(), pace: latency.New(), growth: memestimate.New()}
		in.Dispatcher = dispatch.New(dispatch.Deps{
			Engines: f, State: f, EndpointLoad: in.book, Timings: in.pace, MemoryEstimator: in.growth, Health: health.NewTracker(func() int { return 1 }), InstanceCount: func() int { return instances },
			Random: random, OnChange: in.tell, SinceBoot: func() time.Duration { return time.Since(start) + time.Hour },
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		f.instances = append(f.instances, in)
	}
	return f
}

// tell passes the instance's state on to the others.
func (in *instance) tell() {
	own, waiting := in.book.Local(), in.Waiting()
	time.AfterFunc(in.fleet.delay, func() {
		for _, other := range in.fleet.instances {
			if other != in {
				other.book.ReplacePeer(in.name, own)
				other.Hear(in.name, waiting)
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

func (f *fleet) Returns(string, routing.Stage) time.Duration { return f.pause }

func (f *fleet) Reserve(_ context.Context, ep routing.Endpoint, _ int64, _ time.Duration) (routing.Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[ep.ID]++
	if err := f.refuse[ep.ID]; err != nil {
		return routing.Reservation{}, err
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

func (in *instance) job(id string, onTime time.Duration) *dispatch.SlotRequest {
	now := in.SinceBoot()
	return &dispatch.SlotRequest{
		RequestID: id, Service: service, Demand: routing.Demand{PromptTokens: 5000, OutputTokens: 9000, ExpectedOutput: 4000},
		SlotDeadline: now + onTime,
	}
}

func virtual(t *testing.T, instances, engines int, test func(t *testing.T, f *fleet)) {
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

// Guards against refusals while places are free, and against places on the same engine while others are empty.
func TestSpreadsRequests(t *testing.T) {
	virtual(t, 1, 4, func(t *testing.T, f *fleet) {
		used := map[string]int{}
		for i := range 8 {
			p, err := f.instances[0].AcquireSlot(t.Context(), f.instances[0].job(fmt.Sprint(i), time.Second))
			if err != nil {
				t.Fatal(err)
			}
			used[p.Endpoint.ID]++
			defer p.Release()
		}
		for id, n := range used {
			if n != 2 {
				t.Error(id, n)
			}
		}
	})
}

// Guards against an engine that several instances choose at the same moment when a place becomes free: it would put running
// requests back (grown bfq scale-1).
func TestGrantsFreedPlacesOnce(t *testing.T) {
	virtual(t, 30, 1, func(t *testing.T, f *fleet) {
		// Four requests fill the engine's slots.
		var held []*dispatch.Slot
		for i := range 4 {
			p, err := f.instances[i].AcquireSlot(t.Context(), f.instances[i].job(fmt.Sprint("held", i), time.Second))
			if err != nil {
				t.Fatal(err)
			}
			held = append(held, p)
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
				p, err := in.AcquireSlot(t.Context(), in.job(fmt.Sprint("w", i), 5*time.Second))
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
				p.Release()
			})
		}
		time.Sleep(120 * time.Millisecond)
		for _, p := range held {
			mu.Lock()
			open--
			mu.Unlock()
			p.Release()
		}
		wg.Wait()
		if served != 30 {
			t.Error(served, "of 30 were served")
		}
		if most > 5 {
			t.Errorf("%d requests at once at an engine of 4 slots", most)
		}
	})
}

// Guards against late requests that take the places of those that can still be on time, also of other instances.
func TestServesOnTimeRequestsFirst(t *testing.T) {
	virtual(t, 2, 1, func(t *testing.T, f *fleet) {
		a, b := f.instances[0], f.instances[1]
		held := fill(t, a, 4)
		served := make(chan *dispatch.Slot, 1)
		go func() {
			p, err := b.AcquireSlot(t.Context(), b.job("on time", time.Second))
			if err != nil {
				t.Error(err)
			}
			served <- p
		}()
		time.Sleep(20 * time.Millisecond)
		if _, err := a.AcquireSlot(t.Context(), a.job("late", -time.Second)); !fault.Is(err, fault.Overloaded) {
			t.Error("a late request waits:", err)
		}
		held[0].Release()
		time.Sleep(5 * time.Millisecond)
		if _, err := a.AcquireSlot(t.Context(), a.job("late", -time.Second)); !fault.Is(err, fault.Overloaded) {
			t.Error("a late request got the place:", err)
		}
		(<-served).Release()
		for _, p := range held[1:] {
			p.Release()
		}
		time.Sleep(1100 * time.Millisecond)
		p, err := a.AcquireSlot(t.Context(), a.job("late", -time.Second))
		if err != nil {
			t.Fatal("refused while nobody waits:", err)
		}
		p.Release()
	})
}

// fill takes n places.
func fill(t *testing.T, in *instance, n int) []*dispatch.Slot {
	t.Helper()
	var held []*dispatch.Slot
	for i := range n {
		p, err := in.AcquireSlot(t.Context(), in.job(fmt.Sprint("held", i), time.Second))
		if err != nil {
			t.Fatal(err)
		}
		p.MarkUsed()
		held = append(held, p)
	}
	return held
}

// Guards against requests that are held although nobody can serve them: they are refused when they become late, as not run
// and with a time to come back.
func TestRefusesWhatCannotBeServed(t *testing.T) {
	virtual(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		held := fill(t, in, 4)
		began := time.Now()
		_, err := in.AcquireSlot(t.Context(), in.job("x", 500*time.Millisecond))
		typed := fault.As(err)
		if !fault.Is(err, fault.Overloaded) || typed.RetryAfter < time.Second || typed.RetryAfter > 5*time.Second {
			t.Error(err)
		}
		if took := time.Since(began); took < 500*time.Millisecond || took > 550*time.Millisecond {
			t.Error("refused after", took)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		if _, err := in.AcquireSlot(ctx, in.job("gone", time.Second)); !fault.Is(err, fault.CallerGone) {
			t.Error(err)
		}
		for _, p := range held {
			p.Release()
		}
		time.Sleep(10 * time.Millisecond)
		if own := in.book.Local(); len(own) != 0 {
			t.Error("work of requests that are gone:", own)
		}
	})
}

// Guards against callers that are held, although it is clear when they arrive that no place will be free in time.
func TestRefusesOnArrivalWhatCannotBeOnTime(t *testing.T) {
	virtual(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		for range 3 {
			in.pace.RecordHold(service, 4*time.Second)
		}
		held := fill(t, in, 4)
		began := time.Now()
		if _, err := in.AcquireSlot(t.Context(), in.job("x", 900*time.Millisecond)); !fault.Is(err, fault.Overloaded) || time.Since(began) > 0 {
			t.Error(err, "after", time.Since(began))
		}
		time.AfterFunc(time.Second, held[0].Release)
		p, err := in.AcquireSlot(t.Context(), in.job("y", 1100*time.Millisecond))
		if err != nil || time.Since(began) != time.Second {
			t.Fatal(err, "after", time.Since(began))
		}
		p.Release()
		for _, p := range held {
			p.Release()
		}
	})
}

// Guards against requests that go on to ask an engine that cannot be reached, and reservations that are left behind.
func TestAvoidsEnginesThatRefuse(t *testing.T) {
	virtual(t, 1, 3, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.mu.Lock()
		f.refuse["d0"] = fmt.Errorf("%w: full", routing.ErrNotRun)
		f.refuse["d1"] = errors.New("reset")
		f.mu.Unlock()
		for i := range 4 {
			p, err := in.AcquireSlot(t.Context(), in.job(fmt.Sprint(i), time.Second))
			if err != nil || p.Endpoint.ID != "d2" {
				t.Fatal(p, err)
			}
			defer p.Release()
		}
		if got := in.book.TotalAt("d0").Requests + in.book.TotalAt("d1").Requests; got != 0 {
			t.Error("work at engines that refused:", got)
		}
		p, err := in.AcquireSlot(t.Context(), &dispatch.SlotRequest{RequestID: "avoid", Service: service, SlotDeadline: in.SinceBoot() + 50*time.Millisecond,
			Exclude: map[string]bool{"d2": true}})
		if err == nil {
			t.Error("the request is to avoid the only engine that works", p.Endpoint.ID)
		}
	})
}

// Guards against callers that are held although all engines have asked for a pause, and against callers that are told to come back
// before it is over.
func TestRefusesWhileAllEnginesPause(t *testing.T) {
	virtual(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.pause = 3 * time.Second
		_, err := in.AcquireSlot(t.Context(), in.job("a", time.Second))
		if typed := fault.As(err); !fault.Is(err, fault.Overloaded) || typed.RetryAfter < f.pause || typed.RetryAfter > f.pause+time.Second {
			t.Error(err)
		}
		f.pause = 500 * time.Millisecond
		p, err := in.AcquireSlot(t.Context(), in.job("b", time.Second))
		if err != nil {
			t.Fatal("the pause ends in time:", err)
		}
		p.Release()
	})
}

// Guards against an engine that refuses for seconds and is asked again for each request, because it counts as the least used one.
func TestAsksEnginesThatRefuseLessAndLess(t *testing.T) {
	virtual(t, 1, 2, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.refuse["d0"] = fmt.Errorf("%w: full", routing.ErrNotRun)
		for i := range 100 {
			p, err := in.AcquireSlot(t.Context(), in.job(fmt.Sprint(i), time.Second))
			if err != nil {
				t.Fatal(err)
			}
			p.Release()
			time.Sleep(40 * time.Millisecond)
		}
		if f.asked["d0"] > 10 {
			t.Error("an engine was asked", f.asked["d0"], "times in 4 s, which it refused")
		}
	})
}

// Guards against reservations that are not given back when a request ends before it is sent.
func TestGivesUnusedReservationsBack(t *testing.T) {
	virtual(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		unused, err := in.AcquireSlot(t.Context(), in.job("unused", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		used, err := in.AcquireSlot(t.Context(), in.job("used", time.Second))
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
		if f.released != 1 || len(in.book.Local()) != 0 {
			t.Error(f.released, in.book.Local())
		}
	})
}

// Guards against engines that count as free while their requests grow.
func TestCountsProgress(t *testing.T) {
	virtual(t, 1, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		p, err := in.AcquireSlot(t.Context(), in.job("a", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		before := in.book.TotalAt("d0").Tokens
		for range 60 {
			p.RecordEvents(1)
		}
		if grown := in.book.TotalAt("d0").Tokens - before; grown < 2000 {
			t.Error("4200 tokens were made, the book grew by", grown)
		}
		p.Release()
		if got := in.book.TotalAt("d0"); got != (inflight.Load{}) {
			t.Error(got)
		}
	})
}
