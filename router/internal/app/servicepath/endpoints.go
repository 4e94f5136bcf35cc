package servicepath

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"tanagerwood.dev/router/internal/port"
)

// unreachablePeriod is how long an endpoint is tried last after a connection to it could not be made.
const unreachablePeriod = 2 * time.Second

// endpointTracker tracks the open calls of this instance to each endpoint, and the endpoints that were unreachable lately.
type endpointTracker struct {
	mu            sync.Mutex
	openCalls     map[string]int
	unreachableAt map[string]time.Duration
}

func newEndpointTracker() *endpointTracker {
	return &endpointTracker{openCalls: make(map[string]int), unreachableAt: make(map[string]time.Duration)}
}

// rank returns the endpoints of the pool that are not leaving: recently unreachable ones last, then by ascending number of open
// calls, ties in random order.
func (e *endpointTracker) rank(now time.Duration, all []port.Endpoint, pool string) []port.Endpoint {
	var list []port.Endpoint
	for _, ep := range all {
		if ep.Pool == pool && !ep.Leaving {
			list = append(list, ep)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool {
		avoidI, avoidJ := e.recentlyUnreachable(now, list[i].Name), e.recentlyUnreachable(now, list[j].Name)
		if avoidI != avoidJ {
			return avoidJ
		}
		return e.openCalls[list[i].Name] < e.openCalls[list[j].Name]
	})
	return list
}

func (e *endpointTracker) recentlyUnreachable(now time.Duration, name string) bool {
	at, ok := e.unreachableAt[name]
	return ok && now-at < unreachablePeriod
}

// beginCall counts an open call to the endpoint until end is called.
func (e *endpointTracker) beginCall(name string) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openCalls[name]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.openCalls[name]--; e.openCalls[name] == 0 {
			delete(e.openCalls, name)
		}
	}
}

// markUnreachable records that no connection to the endpoint could be made.
func (e *endpointTracker) markUnreachable(name string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachableAt[name] = now
}
