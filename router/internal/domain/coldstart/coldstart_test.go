package coldstart_test

import (
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/coldstart"
)

const (
	now    = time.Hour
	wallMS = int64(1_800_000_000_000)
)

func newTracker() *coldstart.Tracker {
	services := map[string]*routing.Service{
		"limited": {Name: "limited", ColdStart: 8 * time.Second, ColdPerSecond: 10},
		"free":    {Name: "free", ColdStart: 8 * time.Second},
	}
	return coldstart.New(func(name string) *routing.Service { return services[name] })
}

func list(endpoints ...routing.Endpoint) map[string]routing.Endpoint {
	out := map[string]routing.Endpoint{}
	for _, ep := range endpoints {
		out[ep.ID] = ep
	}
	return out
}

// Guards against endpoints that are limited without a reason, and cold ones that are not: by entries that state the time, or by the start
// of those that do not.
func TestEntriesTellWhichEndpointsAreCold(t *testing.T) {
	for name, c := range map[string]struct {
		ep   routing.Endpoint
		want time.Duration
	}{
		"stated":                       {routing.Endpoint{Service: "limited", ColdMS: 3000, ColdRevision: 5, StartedMS: wallMS}, 3 * time.Second},
		"stated as over":               {routing.Endpoint{Service: "limited", ColdRevision: 5, StartedMS: wallMS}, 0},
		"service without a limit":      {routing.Endpoint{Service: "free", ColdMS: 3000, ColdRevision: 5}, 0},
		"unknown service":              {routing.Endpoint{Service: "other", ColdMS: 3000, ColdRevision: 5}, 0},
		"just started, states nothing": {routing.Endpoint{Service: "limited", StartedMS: wallMS - 2000}, 6 * time.Second},
		"old, states nothing":          {routing.Endpoint{Service: "limited", StartedMS: wallMS - 9000}, 0},
		"start unknown":                {routing.Endpoint{Service: "limited"}, 0},
	} {
		tr := newTracker()
		c.ep.ID = "e"
		tr.RecordList(list(c.ep), now, wallMS)
		for after := time.Duration(0); after < 12*time.Second; after += 100 * time.Millisecond {
			if _, cold := tr.Limit(c.ep, now+after); cold != (after < c.want) {
				t.Errorf("%s: cold after %s: %t", name, after, cold)
				break
			}
		}
	}
}

// Guards against a copy of an entry that extends the time, a later start that inherits it, and an endpoint that becomes cold unnoticed.
func TestColdAgain(t *testing.T) {
	tr := newTracker()
	ep := routing.Endpoint{ID: "e", Service: "limited", Domain: "klang", ColdMS: 3000, ColdRevision: 5, StartedMS: wallMS}
	expect := func(what string, at time.Duration, want bool) {
		t.Helper()
		if perSecond, cold := tr.Limit(ep, at); cold != want || cold && perSecond != 10 {
			t.Errorf("%s: cold %t, %v", what, cold, perSecond)
		}
	}
	tr.RecordList(list(ep), now, wallMS)
	tr.RecordList(list(ep), now+2*time.Second, wallMS)
	expect("the same entry again", now+4*time.Second, false)
	later := ep
	later.StartedMS++
	if _, cold := tr.Limit(later, now+time.Second); cold {
		t.Error("a later start counts as cold")
	}
	ep.ColdRevision = 7
	tr.RecordList(list(ep), now+10*time.Second, wallMS)
	expect("a new entry", now+12*time.Second, true)
	tr.RecordAnswer(ep, 0, now+12*time.Second)
	expect("an answer", now+12*time.Second, false)
	tr.RecordReturn("klang", list(ep), now+20*time.Second)
	expect("after an evacuation", now+21*time.Second, true)
	expect("long after an evacuation", now+23*time.Second, false)
	tr.RecordReturn("klang", list(ep), now+30*time.Second)
	ep.ColdRevision, ep.ColdMS = 9, 0
	tr.RecordList(list(ep), now+31*time.Second, wallMS)
	expect("an entry after an evacuation", now+31*time.Second, false)
	tr.Prune(func(string) bool { return false })
	if tr.Count(now) != 0 {
		t.Error("endpoints that are not listed are remembered")
	}
}
