package servicepath

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"tanagerwood.dev/router/internal/port"
)

// failurePeriod is how long an endpoint is tried last after a connection to it could not be made, or after it refused or failed a call with
// a status that implies that the call has not run.
const failurePeriod = 2 * time.Second

// endpointTracker tracks the open calls of this instance to each endpoint, and the endpoints that failed lately.
type endpointTracker struct {
	mu        sync.Mutex
	openCalls map[string]int
	failedAt  map[string]time.Duration
}

func newEndpointTracker() *endpointTracker {
	return &endpointTracker{openCalls: make(map[string]int), failedAt: make(map[string]time.Duration)}
}

// rank returns the endpoints of the pool that are not leaving: those that failed recently last, then by ascending number of open
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
		avoidI, avoidJ := e.failedRecently(now, list[i].Name), e.failedRecently(now, list[j].Name)
		if avoidI != avoidJ {
			return avoidJ
		}
		return e.openCalls[list[i].Name] < e.openCalls[list[j].Name]
	})
	return list
}

func (e *endpointTracker) failedRecently(now time.Duration, name string) bool {
	at, ok := e.failedAt[name]
	return ok && now-at < failurePeriod
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

// markFailed records a failure of the endpoint; see failurePeriod.
func (e *endpointTracker) markFailed(name string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedAt[name] = now
}
