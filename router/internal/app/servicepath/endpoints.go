package servicepath

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"tanagerwood.dev/router/internal/port"
)

// avoidTime is how long an endpoint that could not be reached is tried last.
const avoidTime = 2 * time.Second

// endpoints knows how many calls this instance has at each endpoint and which ones failed lately.
type endpoints struct {
	mu     sync.Mutex
	busy   map[string]int
	failed map[string]time.Duration
}

func newEndpoints() *endpoints {
	return &endpoints{busy: make(map[string]int), failed: make(map[string]time.Duration)}
}

// order lists the pool's endpoints that are not leaving: those that failed lately last, the least busy first, and equal
// ones in random order.
func (e *endpoints) order(now time.Duration, all []port.Endpoint, pool string) []port.Endpoint {
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
		avoidI, avoidJ := e.avoided(now, list[i].Name), e.avoided(now, list[j].Name)
		if avoidI != avoidJ {
			return avoidJ
		}
		return e.busy[list[i].Name] < e.busy[list[j].Name]
	})
	return list
}

func (e *endpoints) avoided(now time.Duration, name string) bool {
	at, ok := e.failed[name]
	return ok && now-at < avoidTime
}

// begin counts a call; the function it returns ends it.
func (e *endpoints) begin(name string) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy[name]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.busy[name]--; e.busy[name] == 0 {
			delete(e.busy, name)
		}
	}
}

// unreachable notes that no connection to the endpoint could be made.
func (e *endpoints) unreachable(name string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[name] = now
}
