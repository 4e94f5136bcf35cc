package routingcache_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/router/internal/app/routingcache"
)

// lapseInOutage has the platform reject all calls for the given time and remove an endpoint meanwhile, and returns how long after its
// return the endpoint was still listed.
func lapseInOutage(f *fakePlatform, m *routingcache.Cache, outage time.Duration, atReturn func()) (kept time.Duration) {
	f.setDown(errors.New("the store is down"))
	time.Sleep(outage)
	f.remove("a")
	f.setDown(nil)
	atReturn()
	returned := time.Now()
	for isListed(m, "a") {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(returned)
}

// bootAtTest is the time since boot at the beginning of a test of withCache.
const bootAtTest = time.Hour + time.Second

// maxRetryPause is the longest time from the platform's return to the next call of an instance.
const maxRetryPause = 1500 * time.Millisecond

// Guards against removed endpoints that are kept after an outage in which no entry can have expired, and against endpoints that are
// dropped after one in which entries can.
func TestOutagesAreJudgedByTheAnswersToAllInstances(t *testing.T) {
	for name, c := range map[string]struct {
		outage time.Duration
		// peerAnswers is when the platform answered other instances, after the beginning of the outage.
		peerAnswers []time.Duration
		keeps       bool
	}{
		"long":                                   {outage: 5 * time.Second, keeps: true},
		"short":                                  {outage: 300 * time.Millisecond},
		"long for this instance only":            {outage: 5 * time.Second, peerAnswers: []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second, 5 * time.Second}},
		"long, and other instances noticed more": {outage: 5 * time.Second, peerAnswers: []time.Duration{500 * time.Millisecond}, keeps: true},
	} {
		t.Run(name, func(t *testing.T) {
			withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
				kept := lapseInOutage(f, m, c.outage, func() {
					for _, at := range c.peerAnswers {
						m.RecordPeerAnswer(bootAtTest + at)
					}
				})
				if c.keeps && kept < 1800*time.Millisecond || !c.keeps && kept > maxRetryPause {
					t.Error("the endpoint was kept for", kept)
				}
			})
		})
	}
}

// Guards against removed endpoints that are kept on although a late report shows that the platform was never away.
func TestLateReportsEndAnOutage(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		const reportDelay = maxRetryPause + 100*time.Millisecond
		kept := lapseInOutage(f, m, 3*time.Second, func() {
			time.AfterFunc(reportDelay, func() {
				for _, at := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
					m.RecordPeerAnswer(bootAtTest + at)
				}
			})
		})
		if kept < reportDelay || kept > reportDelay+50*time.Millisecond {
			t.Error("the endpoint was kept for", kept)
		}
	})
}

// Guards against an empty list at an instance whose open watch outlived an outage in which all entries expired, and against removed
// endpoints that are kept because this instance has had no answer for long.
func TestWatchesThatOutliveAnOutage(t *testing.T) {
	for name, fleetAnswered := range map[string]bool{"no instance had answers": false, "others had answers": true} {
		t.Run(name, func(t *testing.T) {
			withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
				began := time.Now()
				for age := time.Duration(0); age < 3*time.Second; age, _ = m.OwnAnswerAge() {
					time.Sleep(time.Second)
					if fleetAnswered {
						m.RecordPeerAnswer(bootAtTest + time.Since(began))
					}
				}
				f.remove("a")
				synctest.Wait()
				if isListed(m, "a") == fleetAnswered {
					t.Error("listed:", isListed(m, "a"))
				}
				time.Sleep(2 * time.Second)
				if isListed(m, "a") {
					t.Error("the endpoint is kept for too long")
				}
			})
		})
	}
}

// Guards against a feed that waits for its next try although the other one shows that the platform answers again (soak seed 8330).
func TestFeedsRecoverTogether(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		for range 20 {
			f.setDown(errors.New("the store is down"))
			time.Sleep(1200 * time.Millisecond)
			f.setDown(nil)
			returned := time.Now()
			var recovered [2]time.Duration
			for recovered[0] == 0 || recovered[1] == 0 {
				time.Sleep(time.Millisecond)
				since := time.Since(returned)
				config, endpoints := m.AnswerAges()
				for n, age := range []time.Duration{config, endpoints} {
					if recovered[n] == 0 && age < since {
						recovered[n] = since
					}
				}
			}
			if apart := (recovered[0] - recovered[1]).Abs(); apart > 10*time.Millisecond {
				t.Error("the feeds recovered", apart, "apart")
			}
			time.Sleep(time.Second)
		}
	})
}
