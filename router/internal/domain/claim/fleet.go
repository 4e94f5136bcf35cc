package claim

import (
	"sync"
	"time"

	"tanagerwood.dev/api/peer"
)

// FleetMonitor watches the live members, to tell whether one that may have sent a call is out of reach. Times are on the
// boot-time clock. It is safe for concurrent use.
type FleetMonitor struct {
	mu      sync.Mutex
	started time.Duration
	seen    bool
	alive   map[string]uint64
	lostAt  time.Duration
	lost    bool
}

// NewFleetMonitor returns a Fleet that has seen nobody.
func NewFleetMonitor() *FleetMonitor { return &FleetMonitor{alive: make(map[string]uint64)} }

// Observe notes the live members at now.
func (f *FleetMonitor) Observe(now time.Duration, members []peer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.seen {
		f.seen, f.started = true, now
	}
	next := make(map[string]uint64, len(members))
	for _, m := range members {
		next[m.Name] = m.Incarnation
	}
	for name, incarnation := range f.alive {
		if next[name] != incarnation {
			f.lost, f.lostAt = true, now
		}
	}
	f.alive = next
}

// AllSendersAlive reports whether the live members are all that may have sent a call within MemoryTime: the fleet was watched
// for that long, nobody was lost or replaced meanwhile, and every router that the platform listed last is alive. A
// listed router that is not alive may be cut off from here only, and go on sending.
func (f *FleetMonitor) AllSendersAlive(now time.Duration, listed []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.seen || now-f.started <= SentRetention {
		return false
	}
	if f.lost && now-f.lostAt <= SentRetention {
		return false
	}
	for _, name := range listed {
		if _, alive := f.alive[name]; !alive {
			return false
		}
	}
	return true
}
