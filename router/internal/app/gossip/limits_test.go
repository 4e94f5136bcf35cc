package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// limitSettleTime is how long after its first statement a limit is binding. limitWindow is the window in which it is judged, and
	// limitTolerance and limitSlack are the factor and the number of requests by which the window may exceed the limit.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitSlack      = 5
)

// The endpoint states each limit for minPhase at least, and until it has allowed judgedRequests after the limitSettleTime: over fewer
// requests, a fleet that uses its whole limit may send a third less.
const (
	minPhase       = 12 * time.Second
	judgedRequests = 20
)

func phase(limit float64) time.Duration {
	return max(minPhase, limitSettleTime+time.Duration(judgedRequests/limit*float64(time.Second)))
}

var limitedEndpoint = routing.Endpoint{ID: "e", StartedMS: 1}

// limitedFleet sends requests of all instances to an endpoint that states a limit in each of its responses.
type limitedFleet struct {
	*fleet

	mu       sync.Mutex
	stated   routing.LimitNotice
	arrivals []time.Time
}

// datagramLoss is the share of the datagrams that are lost.
const datagramLoss = 0.02

// loseDatagrams loses datagrams at random.
func (f *limitedFleet) loseDatagrams(random *rand.Rand) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.separated = func(string, string) bool { return random.Float64() < datagramLoss } // called with f.network.mu held
}

// state changes the limit that the endpoint states; zero ends it.
func (f *limitedFleet) state(perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stated = routing.LimitNotice{State: routing.LimitNamed, PerSecond: perSecond}
	if perSecond == 0 {
		f.stated = routing.LimitNotice{State: routing.LimitNone}
	}
}

// send sends a request from an instance if the limit admits it. The response arrives 20 ms later.
func (f *limitedFleet) send(nd *node) {
	if nd.limits.Limited(limitedEndpoint) {
		nd.RefreshView(nil)
	}
	if !nd.limits.Admit(limitedEndpoint) {
		return
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	stated := f.stated
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if nd.notices.RecordLimit(limitedEndpoint, routing.Notice{Limit: stated}, nd.Boot()) {
		nd.TriggerStatusReport()
	}
}

// load has every instance send requests at random times for the given time, perSecond of the fleet in all.
func (f *limitedFleet) load(random *rand.Rand, perSecond float64, length time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	for end := time.Now().Add(length); time.Now().Before(end); {
		nd := f.all[random.IntN(len(f.all))]
		group.Go(func() { f.send(nd) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// inWindow returns the most arrivals in a window from a time on, and all arrivals since.
func (f *limitedFleet) inWindow(from time.Time) (most, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, first := range f.arrivals {
		if first.Before(from) {
			continue
		}
		total++
		count := 0
		for _, at := range f.arrivals[i:] {
			if at.Sub(first) <= limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most, total
}

// Guards against fleets that send an endpoint more than the limit that it has stated for all instances, also while the limit
// rises and falls, collectors are lost and datagrams, too, and against limits that go unused or outlast their end.
func TestFleetKeepsTheLimitOfAnEndpoint(t *testing.T) {
	for _, size := range []int{7, 40, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &limitedFleet{fleet: startFleet(t, size)}
				time.Sleep(5 * time.Second)
				random := rand.New(rand.NewPCG(27, uint64(size)))
				f.loseDatagrams(rand.New(rand.NewPCG(28, uint64(size))))
				for _, limit := range []float64{5, 0.5, 40, 12.5} {
					f.state(limit)
					began := time.Now()
					if limit == 40 && size > 10 {
						collectors, _ := f.collectors()
						for _, nd := range collectors[:2] {
							nd.stop()
							f.setCut(nd.address, true)
						}
					}
					f.load(random, 100, phase(limit))
					most, total := f.inWindow(began.Add(limitSettleTime))
					if allowed := limitTolerance*limit*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
						t.Errorf("%d requests in %v at a limit of %v, want at most %.0f", most, limitWindow, limit, allowed)
					}
					if want := 0.7 * limit * (phase(limit) - limitSettleTime).Seconds(); float64(total) < want {
						t.Errorf("%d requests at a limit of %v, want at least %.0f", total, limit, want)
					}
				}
				f.state(0)
				f.load(random, 100, 3*time.Second)
				began := time.Now()
				f.load(random, 100, limitWindow)
				if _, total := f.inWindow(began); total < 300 {
					t.Errorf("%d requests of about 400 after the limit has ended", total)
				}
				f.stop()
			})
		})
	}
}
