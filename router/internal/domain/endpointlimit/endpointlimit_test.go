package endpointlimit_test

import (
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/endpointlimit"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

var (
	limited  = routing.Endpoint{ID: "limited", StartedMS: 7}
	replaced = routing.Endpoint{ID: "limited", StartedMS: 8} // a later start of the same endpoint
	free     = routing.Endpoint{ID: "free"}
)

// fixture is a limiter with a settable time. The endpoint named limited announces a limit.
type fixture struct {
	*endpointlimit.Limiter
	notices  *availability.Tracker
	now      time.Duration
	admitted int
}

func newFixture(perSecond float64) *fixture {
	f := &fixture{notices: availability.New(func() float64 { return 0 }), now: time.Hour}
	f.Limiter = endpointlimit.New(endpointlimit.Deps{
		Notices: f.notices, Quotas: sharedlimit.New(func(key string) *sharedlimit.Quota { return endpointlimit.FindQuota(f.notices, key) }),
		OnAdmit: func() { f.admitted++ }, SinceBoot: func() time.Duration { return f.now },
	})
	f.state(perSecond)
	return f
}

func (f *fixture) state(perSecond float64) {
	f.notices.RecordLimit(limited, routing.Notice{Limit: routing.LimitNotice{State: routing.LimitNamed, PerSecond: perSecond}}, f.now)
}

// admitFor counts the requests that are admitted when one is tried every 10 ms for the given time.
func (f *fixture) admitFor(length time.Duration) (count int) {
	for end := f.now + length; f.now < end; f.now += 10 * time.Millisecond {
		if f.Admit(limited) {
			count++
		}
	}
	return count
}

// Guards against more requests than an endpoint accepts, and against a limit that goes unused.
func TestAdmitsTheRateOfTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.1, 0.25, 2, 20} {
		f := newFixture(perSecond)
		f.admitFor(4 * time.Second)
		const length = 40 * time.Second
		expected := max(0.25, perSecond) * length.Seconds()
		if count := f.admitFor(length); float64(count) > 1.05*expected+1 || float64(count) < 0.9*expected-1 {
			t.Errorf("%d requests in %v at a limit of %v a second, want about %.0f", count, length, perSecond, expected)
		}
		if f.admitted == 0 {
			t.Error("the other instances are not told")
		}
	}
}

// Guards against orders and calls that free memory, which are sent in any case, on top of the requests that the limit admits.
func TestChargesWhatIsSentInAnyCase(t *testing.T) {
	f := newFixture(4)
	f.admitFor(4 * time.Second)
	for range 8 {
		f.Charge(limited)
	}
	if count := f.admitFor(2 * time.Second); count > 1 {
		t.Errorf("%d requests were admitted after calls that had used two seconds of the limit", count)
	}
	if delay := f.Delay(limited); delay > time.Second {
		t.Error("the limit stays used up for", delay)
	}
}

// Guards against a limit that binds another endpoint, or a later start of the endpoint that had announced it.
func TestLimitsOnlyWhatHasAnnounced(t *testing.T) {
	f := newFixture(0.5)
	for range 100 {
		if !f.Admit(free) || !f.Admit(replaced) {
			t.Fatal("an endpoint without a limit is limited")
		}
	}
	if f.Limited(free) || f.Limited(replaced) || !f.Limited(limited) || f.Delay(free) != 0 {
		t.Error("the wrong endpoint is limited")
	}
	f.notices.RecordLimit(limited, routing.Notice{Limit: routing.LimitNotice{State: routing.LimitNone}}, f.now)
	for range 100 {
		if !f.Admit(limited) {
			t.Fatal("a limit that has ended binds")
		}
	}
}

// Guards against a Retry-After of requests that wait behind others that is too early or too late.
func TestQueueDelayFollowsTheLimits(t *testing.T) {
	f := newFixture(2)
	f.admitFor(4 * time.Second)
	for f.Admit(limited) {
	}
	next := f.Delay(limited)
	if next <= 0 || next > 500*time.Millisecond {
		t.Error("the next request is due in", next)
	}
	if got := f.QueueDelay([]routing.Endpoint{limited}, 6); got != next+3*time.Second {
		t.Errorf("a request behind six others is due in %v, want %v", got, next+3*time.Second)
	}
	if got := f.QueueDelay([]routing.Endpoint{limited, free}, 6); got != 0 {
		t.Error("a free endpoint is due in", got)
	}
	if got := f.QueueDelay(nil, 6); got != 0 {
		t.Error("no endpoint is due in", got)
	}
}

// Guards against quotas of customers, or malformed keys, that are taken for those of endpoints.
func TestFindsQuotasOfEndpointsOnly(t *testing.T) {
	f := newFixture(2)
	for _, key := range []string{"", "limited", "7 limited", "\x007", "\x00x limited", "\x008 limited", "\x007 other"} {
		if q := endpointlimit.FindQuota(f.notices, key); q != nil {
			t.Errorf("%q has a quota: %+v", key, q)
		}
	}
	if q := endpointlimit.FindQuota(f.notices, "\x007 limited"); q == nil || q.RatePerSecond != 2 {
		t.Errorf("the endpoint's quota: %+v", q)
	}
}
