package claim

import (
	"sync"
	"time"

	"tanagerwood.dev/api/peer"
)

// FleetMonitor tracks the live members, to detect whether a member that may have sent a call is unreachable. Times are
// on the boot-time clock. It is safe for concurrent use.
type FleetMonitor struct {
	mu            sync.Mutex
	observedSince time.Duration
	observed      bool
	alive         map[string]uint64
	lostAt        time.Duration
	lost          bool
}

// NewFleetMonitor returns a FleetMonitor without observations.
func NewFleetMonitor() *FleetMonitor { return &FleetMonitor{alive: make(map[string]uint64)} }

// Observe records the members that are alive now.
func (f *FleetMonitor) Observe(now time.Duration, members []peer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.observed {
		f.observed, f.observedSince = true, now
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

// AllSendersAlive reports whether the live members include all that may have sent a call within SentRetention: the
// fleet was observed for that long, no member was lost or replaced in that time, and every router that the platform
// last listed is alive. A listed router that is not alive may be unreachable from this instance only, and may still be
// sending.
func (f *FleetMonitor) AllSendersAlive(now time.Duration, listed []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.observed || now-f.observedSince <= SentRetention {
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
