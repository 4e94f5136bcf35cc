package claim

import (
	"sync"
	"time"
)

// SendTracker holds the claims that this instance is working on or has sent within MemoryTime. Times are on the boot-time
// clock. It is safe for concurrent use.
type SendTracker struct {
	mu      sync.Mutex
	pending map[string]int
	sent    map[string]time.Duration
	sweepAt int
}

// sweepSize is the number of remembered claims from which expired ones are removed.
const sweepSize = 1024

// NewSendTracker returns an empty memory.
func NewSendTracker() *SendTracker {
	return &SendTracker{pending: make(map[string]int), sent: make(map[string]time.Duration), sweepAt: sweepSize}
}

// Begin notes that the claim may be sent from now on. It must come before the claim is made.
func (m *SendTracker) Begin(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[name]++
}

// End notes that the work on the claim ended at now, and whether a byte may have left.
func (m *SendTracker) End(name string, sent bool, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending[name]--; m.pending[name] <= 0 {
		delete(m.pending, name)
	}
	if sent {
		m.sent[name] = now
		m.sweep(now)
	}
}

// MayHaveSent reports whether the instance has sent the call of the claim or may still send it. Own is how much work on
// the same claim the asker does itself.
func (m *SendTracker) MayHaveSent(name string, own int, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending[name] > own {
		return true
	}
	at, ok := m.sent[name]
	return ok && now-at <= SentRetention
}

func (m *SendTracker) sweep(now time.Duration) {
	if len(m.sent) < m.sweepAt {
		return
	}
	for name, at := range m.sent {
		if now-at > SentRetention {
			delete(m.sent, name)
		}
	}
	m.sweepAt = max(sweepSize, 2*len(m.sent))
}
