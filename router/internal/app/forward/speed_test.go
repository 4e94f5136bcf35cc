package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/latency"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/routetable"
	"tanagerwood.dev/router/internal/domain/speed"
)

// newRequestState returns the state of a request at a service with the given load, for tests of single decisions.
func newRequestState(speeds *speed.Tracker, load *inflight.Tracker, random *rand.Rand) *requestState {
	return &requestState{
		Forwarder: &Forwarder{Deps: Deps{
			EndpointLoad: load, Health: health.NewTracker(func() int { return 1 }), Timings: latency.New(), Speeds: speeds, Domain: "a",
			LoadAge: func() time.Duration { return 0 }, Random: random.Float64, SinceBoot: func() time.Duration { return time.Minute },
		}},
		table: &routetable.Table{}, service: &routing.Service{Name: "s"}, route: &routing.Route{Name: "r", Kind: routing.Safe, MaxAttempts: 2},
		deadline: time.Minute + time.Second,
	}
}

// Guards against another choice or other time limits for services whose endpoints' speed is not used.
func TestUnchangedWithoutSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	elsewhere := speed.New(func(service string) bool { return service == "other" })
	for round := range 2000 {
		seed := random.Uint64()
		load := inflight.NewTracker()
		r := newRequestState(elsewhere, load, rand.New(rand.NewPCG(seed, 0)))
		r.Pace = pace.New(pace.Deps{Self: "r", InstanceCount: func() int { return 2 }, Speeds: elsewhere})
		r.Pace.Observe("s", nil, time.Second)
		candidates := make([]routing.Endpoint, 1+random.IntN(8))
		for i := range candidates {
			ep := routing.Endpoint{ID: fmt.Sprint(i), Service: "s", Domain: string(rune('a' + random.IntN(3))), Slots: random.IntN(9)}
			load.Add(ep.ID, inflight.Load{Requests: random.IntN(10)})
			load.UpdatePeer("b", map[string]inflight.Load{ep.ID: {Requests: random.IntN(10)}})
			for range random.IntN(3) {
				r.Health.RecordFailure(ep.ID, false, time.Minute)
			}
			elsewhere.RecordLoad(ep, routing.Load{Running: random.IntN(20)}, 0, time.Minute)
			candidates[i] = ep
		}
		want, wantLoad, jitter := -1, 0.0, rand.New(rand.NewPCG(seed, 0))
		for i, ep := range candidates {
			load := float64(r.EndpointLoad.TotalAt(ep.ID).Requests+1)/float64(max(1, ep.Slots)) + 2*r.Health.FailureRate(ep.ID, time.Minute)
			if ep.Domain != "a" {
				load += 0.1
			}
			load += jitter.Float64() * 0.02
			if want < 0 || load < wantLoad {
				want, wantLoad = i, load
			}
		}
		if got := r.choosePlain(candidates); got != want {
			t.Fatalf("round %d: chose %d, and by load %d", round, got, want)
		}
	}
	r := newRequestState(elsewhere, inflight.NewTracker(), random)
	if got := r.attemptTimeout(routing.Endpoint{ID: "0", Service: "s"}); got != 500*time.Millisecond {
		t.Errorf("the timeout is %v, half of the time left is 500ms", got)
	}
}

// Guards against requests at a slow endpoint that are given up although it would answer in time, and against limits beyond the deadline.
func TestSlowEndpointsHaveLongerTimeouts(t *testing.T) {
	speeds := speed.New(func(string) bool { return true })
	r := newRequestState(speeds, inflight.NewTracker(), rand.New(rand.NewPCG(5, 6)))
	for percent, want := range map[float64][2]time.Duration{50: {500, 550}, 100: {500, 550}, 150: {700, 800}, 400: {1000, 1000}} {
		ep := routing.Endpoint{ID: fmt.Sprint(percent), Service: "s", Slots: 4}
		speeds.RecordLoad(ep, routing.Load{SpeedPercent: percent}, 0, time.Minute)
		if got := r.attemptTimeout(ep); got < want[0]*time.Millisecond || got > want[1]*time.Millisecond {
			t.Errorf("%.0f%%: the timeout is %v", percent, got)
		}
	}
}
