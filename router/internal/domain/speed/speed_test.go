package speed_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/speed"
)

const second = time.Second

var (
	fast = routing.Endpoint{ID: "fast", Service: "s", StartedMS: 1, Slots: 4}
	slow = routing.Endpoint{ID: "slow", Service: "s", StartedMS: 1, Slots: 4}
	kind = speed.Work{Service: "s", Route: "r", Step: speed.Plain}
)

func always(string) bool { return true }

// learn records n requests of 20 ms at the fast endpoint and of 40 ms at the slow one.
func learn(t *speed.Tracker, n int, now time.Duration) {
	for range n {
		t.Record(fast, kind, 1, 20*time.Millisecond, now)
		t.Record(slow, kind, 1, 40*time.Millisecond, now)
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.15*want {
		t.Errorf("%s: got %.2f, want about %.2f", what, got, want)
	}
}

// Guards against an estimate that a single request decides, that outlives its measurements, or that a restarted endpoint inherits.
func TestFactorIsLearntAndForgotten(t *testing.T) {
	tracker := speed.New(always)
	now := 100 * second
	learn(tracker, 1, now)
	if f := tracker.Factor(slow, now); f > 1.2 {
		t.Errorf("after one request the factor is %.2f", f)
	}
	learn(tracker, 60, now)
	near(t, "the ratio of slow to fast", tracker.Factor(slow, now)/tracker.Factor(fast, now), 2)
	restarted := slow
	restarted.StartedMS++
	near(t, "a new start", tracker.Factor(restarted, now), 1)
	near(t, "a minute later", tracker.Factor(slow, now+60*second), 1)
	tracker.Prune(func(s speed.Start) bool { return s.ID == "fast" }, now)
	near(t, "after removal", tracker.Factor(slow, now), 1)
}

// Guards against a stated speed that counts for longer than it lasts, and against one that is counted twice: once as stated, and once as
// learnt from the durations that it explains.
func TestStatedSpeedCountsByAge(t *testing.T) {
	tracker := speed.New(func(string) bool { return false })
	now := 100 * second
	state := func(percent float64) { tracker.RecordLoad(slow, routing.Load{SpeedPercent: percent}, 0, now) }
	for range 30 {
		state(100)
		tracker.Record(slow, kind, 1, 20*time.Millisecond, now)
	}
	state(250)
	tracker.Record(slow, kind, 1, 50*time.Millisecond, now)
	near(t, "at once", tracker.Factor(slow, now), 2.5)
	near(t, "a half-life later", tracker.Factor(slow, now+300*time.Millisecond), math.Sqrt(2.5))
	near(t, "two seconds later", tracker.Factor(slow, now+2*second), 1)
}

// Guards against estimates in force for a service that has not asked for them: they would change its choices and messages.
func TestNotInForce(t *testing.T) {
	tracker := speed.New(func(string) bool { return false })
	now := 100 * second
	learn(tracker, 50, now)
	if tracker.RecordLoad(slow, routing.Load{Running: 9}, 0, now) {
		t.Error("a load without a speed puts the estimates into force")
	}
	if tracker.InForce("s") || tracker.Factor(slow, now) != 1 || tracker.LocalReport(now) != nil || tracker.ReportExcluding("x", now) != nil {
		t.Error("estimates are in force")
	}
	if !tracker.RecordLoad(slow, routing.Load{SpeedPercent: 100}, 0, now) || !tracker.InForce("s") || tracker.InForce("other") {
		t.Error("a stated speed must put the estimates into force for its service alone")
	}
	var none *speed.Tracker
	none.ApplyReport("x", map[string]speed.Report{"e": {Count: 1}}, now)
	none.RemovePeer("x", now)
	if none.InForce("s") || none.Factor(slow, now) != 1 || none.LocalReport(now) != nil || none.ReportExcluding("x", now) != nil {
		t.Error("a nil Tracker has estimates")
	}
}

// Guards against measurements that are lost or counted twice between instances, and against those of an instance that is gone.
func TestReportsAreShared(t *testing.T) {
	now := 100 * second
	a, collector, reader := speed.New(always), speed.New(always), speed.New(always)
	learn(a, 60, now)
	for range 3 { // reports are absolute
		collector.ApplyReport("a", a.LocalReport(now), now)
		now += second
		learn(a, 1, now)
	}
	reader.ApplyReport("", collector.ReportExcluding("reader", now), now)
	for name, tracker := range map[string]*speed.Tracker{"collector": collector, "reader": reader} {
		near(t, name, tracker.Factor(slow, now)/tracker.Factor(fast, now), a.Factor(slow, now)/a.Factor(fast, now))
	}
	if view := collector.ReportExcluding("a", now); len(view) > 0 {
		t.Errorf("the view of an instance holds its own measurements: %v", view)
	}
	collector.RemovePeer("a", now)
	near(t, "after the removal of the instance", collector.Factor(slow, now), 1)
}

// Guards against a stated speed that other instances learn too late or keep for too long.
func TestStatedSpeedIsShared(t *testing.T) {
	now := 100 * second
	a, b := speed.New(always), speed.New(always)
	a.RecordLoad(slow, routing.Load{SpeedPercent: 300}, 0, now)
	now += 50 * time.Millisecond
	b.ApplyReport("a", a.LocalReport(now), now)
	if f := b.Factor(slow, now); f < 2 {
		t.Errorf("the factor is %.2f", f)
	}
	b.RecordLoad(slow, routing.Load{SpeedPercent: 100}, 0, now+time.Millisecond)
	b.ApplyReport("c", map[string]speed.Report{"slow": {StartedMS: 1, SpeedPercent: 300, AgeMS: 100}}, now+2*time.Millisecond)
	near(t, "after a later figure", b.Factor(slow, now+2*time.Millisecond), 1)
}

// Guards against reports that grow with the number of endpoints, and against values that poison the estimates.
func TestReportsAreBounded(t *testing.T) {
	now := 100 * second
	tracker := speed.New(always)
	for i := range 300 {
		ep := routing.Endpoint{ID: "i-0123456789" + string(rune('a'+i%26)) + string(rune('a'+i/26)), Service: "s", StartedMS: 1_700_000_000_000 + int64(i)}
		for range 20 {
			tracker.Record(ep, kind, 1, time.Duration(10+20*(i%2))*time.Millisecond, now)
		}
		tracker.RecordLoad(ep, routing.Load{SpeedPercent: float64(50 + i)}, 0, now)
	}
	for limit, report := range map[int]map[string]speed.Report{8: tracker.LocalReport(now), 16: tracker.ReportExcluding("x", now)} {
		encoded, err := json.Marshal(report)
		if err != nil || len(report) == 0 || len(report) > limit || len(encoded) > 100*limit {
			t.Errorf("%d endpoints of at most %d, %d bytes, %v", len(report), limit, len(encoded), err)
		}
	}
	if report := tracker.LocalReport(now + 100*time.Millisecond); report != nil {
		t.Errorf("a second report after 100 ms: %v", report)
	}
	tracker.ApplyReport("x", map[string]speed.Report{"slow": {StartedMS: 1, Count: 1e300, Log: 1e300, SpeedPercent: -1, AgeMS: math.MinInt64}}, now)
	tracker.ApplyReport("x", map[string]speed.Report{"slow": {StartedMS: 1, Count: -1e300, Log: -1e300, SpeedPercent: 1e300, AgeMS: math.MaxInt64}}, now)
	if f := tracker.Factor(slow, now); math.IsNaN(f) || f > 8 || f < 0.125 {
		t.Errorf("the factor is %v", f)
	}
}
