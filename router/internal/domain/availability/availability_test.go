package availability_test

import (
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/availability"
)

const grace = time.Second

var (
	a = routing.Endpoint{ID: "a", StartedMS: 1}
	b = routing.Endpoint{ID: "b", StartedMS: 1}
)

func newTracker() *availability.Tracker {
	return availability.New(func() float64 { return 0.5 })
}

func ids(list []routing.Endpoint) (out string) {
	for _, ep := range list {
		out += ep.ID
	}
	return out
}

// Guards against new requests to an endpoint that has announced that it leaves, until it is listed with a later start.
func TestLeaving(t *testing.T) {
	v := newTracker()
	if !v.RecordNotice(a, routing.Notice{Leaving: true}, 10*time.Second) || v.RecordNotice(a, routing.Notice{Leaving: true}, 11*time.Second) {
		t.Error("the first notice must be new, the second one must not")
	}
	v.Prune(func(string) (routing.Endpoint, bool) { return a, true }, 5*time.Minute)
	if got := ids(v.Usable([]routing.Endpoint{a, b}, grace, 6*time.Minute)); got != "b" {
		t.Error(got)
	}
	again := a
	again.StartedMS = 2
	if got := ids(v.Usable([]routing.Endpoint{again, b}, grace, 6*time.Minute)); got != "ab" {
		t.Error("restarted endpoint:", got)
	}
	other := newTracker()
	if !other.MergePeer(v.LeavingEndpoints(12*time.Second), 12*time.Second) || other.MergePeer(v.LeavingEndpoints(12*time.Second), 13*time.Second) {
		t.Error("the report must be new to another instance exactly once")
	}
	if got := ids(other.Usable([]routing.Endpoint{a, b}, grace, 13*time.Second)); got != "b" {
		t.Error("another instance:", got)
	}
}

// Guards against notices of a new start that are dropped because they came before the platform listed that start.
func TestNoticesBeforeTheStartIsListed(t *testing.T) {
	// The endpoint's clock may be 50 ms ahead.
	const sentMS = 10_000
	const listedMS, laterMS = sentMS + 50, sentMS + 500
	listedBefore, listed, later := routing.Endpoint{ID: "a", StartedMS: 1}, routing.Endpoint{ID: "a", StartedMS: listedMS}, routing.Endpoint{ID: "a", StartedMS: laterMS}
	notice := routing.Notice{Leaving: true, Pause: time.Second, Limit: routing.LimitNotice{State: routing.LimitNamed, PerSecond: 5}, SentMS: sentMS}
	v, other := newTracker(), newTracker()
	v.RecordNotice(listedBefore, notice, 10*time.Second)
	v.RecordLimit(listedBefore, notice, 10*time.Second)
	other.MergePeer(v.LeavingEndpoints(10*time.Second), 10*time.Second)
	other.MergePeerLimits(v.OwnLimits(10*time.Second), 10*time.Second)
	now := 10500 * time.Millisecond
	for _, start := range []routing.Endpoint{listedBefore, listed} {
		if !v.Leaving(start) || !other.Leaving(start) || !v.Paused(start, now) || v.PauseRemaining([]routing.Endpoint{start}, now) == 0 {
			t.Errorf("start at %d ms: a notice is dropped", start.StartedMS)
		}
		if got := ids(v.Usable([]routing.Endpoint{start, b}, grace, now)); got != "b" {
			t.Errorf("start at %d ms: usable are %q", start.StartedMS, got)
		}
		for _, tracker := range []*availability.Tracker{v, other} {
			if _, limited := tracker.LimitOf(start); !limited {
				t.Errorf("start at %d ms: the limit is dropped", start.StartedMS)
			}
		}
	}
	if _, limited := v.LimitOf(later); limited || v.Leaving(later) || v.Paused(later, now) || other.Leaving(later) {
		t.Error("a start after the notice is bound by it")
	}
	v.Prune(func(string) (routing.Endpoint, bool) { return listed, true }, 30*time.Second)
	if !v.Leaving(listed) {
		t.Error("the notice was pruned although the listed start may be leaving")
	}
}

// Guards against a service that gets no requests at all because all its endpoints announce that they leave, and against endpoints
// that still get requests after the grace period.
func TestAllLeave(t *testing.T) {
	v := newTracker()
	v.RecordNotice(a, routing.Notice{Leaving: true}, 10*time.Second)
	v.RecordNotice(b, routing.Notice{Leaving: true}, 10500*time.Millisecond)
	other := newTracker()
	other.MergePeer(v.LeavingEndpoints(11*time.Second), 11*time.Second)
	if got := ids(other.Usable([]routing.Endpoint{a, b}, grace, time.Minute)); got != "ab" {
		t.Error("instance without a direct notice:", got)
	}
	for at, want := range map[time.Duration]string{10600 * time.Millisecond: "ab", 11200 * time.Millisecond: "b", 12 * time.Second: ""} {
		if got := ids(v.Usable([]routing.Endpoint{a, b}, grace, at)); got != want {
			t.Errorf("at %v: %q, not %q", at, got, want)
		}
	}
}

// Guards against requests to an endpoint during the pause that it asked for, and against all instances returning at its end.
func TestPauses(t *testing.T) {
	v := newTracker()
	v.RecordNotice(a, routing.Notice{Pause: 2 * time.Second}, 10*time.Second)
	both := []routing.Endpoint{a, b}
	if !v.Paused(a, 12*time.Second) || ids(v.Usable(both, grace, 12*time.Second)) != "b" || v.PauseRemaining(both, 11*time.Second) != 0 {
		t.Error("the pause was not respected")
	}
	if v.Paused(a, 12260*time.Millisecond) {
		t.Error("the pause lasts for too long")
	}
	v.RecordNotice(a, routing.Notice{Pause: time.Second}, 10*time.Second)
	if !v.Paused(a, 12*time.Second) {
		t.Error("a shorter pause ended a longer one")
	}
	v.RecordNotice(b, routing.Notice{Pause: time.Second}, 11*time.Second)
	if got := v.PauseRemaining(both, 11*time.Second); got != 1125*time.Millisecond {
		t.Error("all endpoints are paused; remaining pause:", got)
	}
	if leaving, paused := v.Counts(11 * time.Second); leaving != 0 || paused != 2 {
		t.Error(leaving, paused)
	}
	if len(v.LeavingEndpoints(11*time.Second)) != 0 {
		t.Error("a pause was reported to other instances")
	}
}

// Guards against negative and excessively long pauses.
func TestInvalidPauses(t *testing.T) {
	v := newTracker()
	v.RecordNotice(a, routing.Notice{Pause: -1}, 0)
	v.RecordNotice(b, routing.Notice{Pause: 1000 * time.Hour}, 0)
	if v.Paused(a, 0) || !v.Paused(b, time.Minute) || v.Paused(b, time.Hour) || v.InvalidNotices() != 2 {
		t.Error(v.InvalidNotices())
	}
}

// Guards against limits that are kept after they have ended, or lost, because of statements to other instances that are older or
// arrive late.
func TestLimits(t *testing.T) {
	named := func(perSecond float64) routing.Notice {
		return routing.Notice{Limit: routing.LimitNotice{State: routing.LimitNamed, PerSecond: perSecond}}
	}
	none := routing.Notice{Limit: routing.LimitNotice{State: routing.LimitNone}}
	v, other := newTracker(), newTracker()
	check := func(v *availability.Tracker, what string, want float64) {
		t.Helper()
		if perSecond, limited := v.LimitOf(a); perSecond*map[bool]float64{true: 1}[limited] != want {
			t.Errorf("%s: the limit is %v (%t), want %v", what, perSecond, limited, want)
		}
	}
	if v.RecordLimit(a, none, time.Second) || !v.RecordLimit(a, named(5), 2*time.Second) || v.RecordLimit(a, named(5), 3*time.Second) {
		t.Error("only the first statement of a limit is a change")
	}
	v.RecordLimit(a, routing.Notice{Limit: routing.LimitNotice{State: routing.LimitInvalid}}, 3*time.Second)
	check(v, "after an invalid statement", 5)
	if changed := other.MergePeerLimits(v.OwnLimits(4*time.Second), 4*time.Second); len(changed) != 1 {
		t.Error("changes at another instance:", changed)
	}
	check(other, "another instance", 5)
	late := v.OwnLimits(4 * time.Second)
	if !v.RecordLimit(a, none, 5*time.Second) {
		t.Error("the end of a limit is a change")
	}
	check(v, "ended", 0)
	v.MergePeerLimits(late, 4050*time.Millisecond)
	check(v, "after an earlier statement", 0)
	v.MergePeerLimits([]availability.StatedLimit{{Endpoint: a.ID, StartMS: 1, PerSecond: 7, AgeMS: 0}}, 5050*time.Millisecond)
	check(v, "after a statement of the same time", 0)
	other.MergePeerLimits(v.OwnLimits(6*time.Second), 6*time.Second)
	check(other, "another instance after the end", 0)
	v.MergePeerLimits([]availability.StatedLimit{{Endpoint: a.ID, StartMS: 1, PerSecond: 7, AgeMS: 0}}, 7*time.Second)
	check(v, "after a later statement", 7)
	if limits := v.OwnLimits(8 * time.Second); len(limits) != 0 {
		t.Error("what another instance was told is reported as its own:", limits)
	}
	v.MergePeerLimits([]availability.StatedLimit{{Endpoint: a.ID, StartMS: 1, PerSecond: 9, AgeMS: 1 << 62}, {Endpoint: b.ID, PerSecond: -1}}, 9*time.Second)
	check(v, "after an invalid report", 7)
}
