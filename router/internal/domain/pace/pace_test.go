package pace_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/speed"
)

// aFew bounds the first requests to an endpoint. Two instances may send one on average; more than six may in 1 of 200 cases.
const aFew = 6

// Guards against a first request of each instance at the same moment, and against instances that are left out.
func TestInstancesComeOneAfterAnother(t *testing.T) {
	for _, instances := range []int{8, 300} {
		var limiters []*pace.Limiter
		for i := range instances {
			speeds := speed.New(func(string) bool { return true })
			limiters = append(limiters, pace.New(pace.Deps{Self: fmt.Sprint("r", i), InstanceCount: func() int { return instances }, Speeds: speeds}))
			limiters[i].Observe("s", nil, time.Second)
		}
		for e := range 10 {
			ep := routing.Endpoint{ID: fmt.Sprint("e", e), Service: "s", StartedMS: 1, Slots: 12}
			previous := 0
			for after := time.Duration(0); after <= pace.MaxUnderuse; after += 50 * time.Millisecond {
				allowed := 0
				for _, l := range limiters {
					if !l.Withheld(ep, pace.Load{}, 20*time.Millisecond, 2*time.Second+after) {
						allowed++
					}
				}
				if after == 0 && allowed > aFew || allowed < previous {
					t.Errorf("%d of %d instances after %v, and %d before", allowed, instances, after, previous)
				}
				previous = allowed
			}
			if previous != instances {
				t.Errorf("%d of %d instances may send requests in the end", previous, instances)
			}
		}
	}
}

// Guards against limits for services that have not asked for them, against ones for endpoints that were there before the instance, and
// against requests without an endpoint because of limits.
func TestLimitsArePreferences(t *testing.T) {
	inForce := false
	speeds := speed.New(func(string) bool { return inForce })
	l := pace.New(pace.Deps{Self: "r", InstanceCount: func() int { return 1 }, Speeds: speeds})
	old, fresh := routing.Endpoint{ID: "old", Service: "s", Slots: 2}, routing.Endpoint{ID: "new", Service: "s", Slots: 4}
	check := func(what string, oldLoad, newLoad int, now time.Duration, want bool) {
		t.Helper()
		options := []pace.Option{{Endpoint: old, Load: pace.Load{Local: oldLoad, Total: oldLoad}}, {Endpoint: fresh, Load: pace.Load{Local: newLoad, Total: newLoad}}}
		if got := l.Allowed(options, 20*time.Millisecond, now); !got[0] || got[1] != want {
			t.Errorf("%s: %v", what, got)
		}
	}
	l.Observe("s", nil, time.Second)
	check("not in force", 0, 9, time.Second, true)
	inForce = true
	check("before the first observation", 0, 9, time.Second, true)
	l.Observe("s", []routing.Endpoint{old}, time.Second)
	came := 2 * time.Second
	check("at the start", 0, 0, came, true)
	check("at the limit", 1, 2, came, false)
	check("at the limit, others full", 2, 2, came, true)
	l.RecordRefusal(fresh, came)
	check("after a refusal", 1, 1, came, false)
	check("in full use", 1, 99, came+pace.MaxUnderuse, true)
	for range 100 {
		speeds.Record(old, kind, 1, 20*time.Millisecond, 6*time.Second)
		speeds.Record(fresh, kind, 1, 80*time.Millisecond, 6*time.Second)
	}
	check("slow", 1, 3, 6*time.Second, false)
	check("slow, others full", 2, 3, 6*time.Second, true)
	if l.Withheld(routing.Endpoint{ID: "unknown slots", Service: "s"}, pace.Load{Local: 1, Total: 1}, 20*time.Millisecond, 6*time.Second) {
		t.Error("an endpoint whose number of slots is unknown has a limit of one")
	}
	var none *pace.Limiter
	none.Observe("s", nil, time.Second)
	none.RecordRefusal(fresh, time.Second)
	if none.Withheld(fresh, pace.Load{Total: 99}, 0, time.Second) {
		t.Error("a nil Limiter has a limit")
	}
}
