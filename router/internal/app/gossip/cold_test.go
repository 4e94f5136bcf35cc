package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// coldWindow is the window in which requests to a cold endpoint are judged, coldOverage and coldSlack are the factor and the number of
	// requests by which it may exceed the limit.
	coldWindow  = time.Second
	coldOverage = 1.5
	coldSlack   = 5
	coldLoad    = 300.0
)

var coldService = routing.Service{Name: "s", ColdStart: 8 * time.Second, ColdPerSecond: 10}

// mostWithin returns the most arrivals within a window in a span.
func (f *limitedFleet) mostWithin(from, to time.Time, window time.Duration) (most, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, first := range f.arrivals {
		if first.Before(from) || first.After(to) {
			continue
		}
		total++
		count := 0
		for _, at := range f.arrivals[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most, total
}

// Guards against fleets that crash a cold endpoint by more requests than it takes, from its first second on, that leave it idle, or that
// limit it when it is no longer cold.
func TestFleetKeepsTheLimitOfAColdEndpoint(t *testing.T) {
	for _, size := range []int{7, 40, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &limitedFleet{fleet: startFleet(t, size)}
				time.Sleep(5 * time.Second)
				random := rand.New(rand.NewPCG(31, uint64(size)))
				ep := limitedEndpoint
				ep.Service, ep.ColdMS = coldService.Name, coldService.ColdStart.Milliseconds()
				for round := range uint64(2) { // at its start, and when it becomes cold again
					ep.ColdRevision = 5 + round
					began := time.Now()
					for _, nd := range f.all {
						nd.cold.RecordList(map[string]routing.Endpoint{ep.ID: ep}, nd.Boot(), began.UnixMilli())
					}
					f.load(random, coldLoad, coldService.ColdStart)
					most, total := f.mostWithin(began, began.Add(coldService.ColdStart-coldWindow), coldWindow)
					t.Logf("%d instances: %d requests in all, at most %d in %v", size, total, most, coldWindow)
					if allowed := coldOverage*coldService.ColdPerSecond + coldSlack; float64(most) > allowed {
						t.Errorf("%d requests in %v to a cold endpoint, want at most %.0f", most, coldWindow, allowed)
					}
					if want := 0.7 * coldService.ColdPerSecond * (coldService.ColdStart - coldWindow).Seconds(); float64(total) < want {
						t.Errorf("%d requests to a cold endpoint, want at least %.0f", total, want)
					}
					began = time.Now()
					f.load(random, coldLoad, coldWindow)
					if _, total := f.mostWithin(began, time.Now(), coldWindow); total < int(coldLoad*coldWindow.Seconds()/2) {
						t.Errorf("%d requests of about %.0f when the endpoint is no longer cold", total, coldLoad)
					}
					for _, nd := range f.all {
						nd.limits.Prune() // as instances do every second
					}
				}
				f.stop()
			})
		})
	}
}
