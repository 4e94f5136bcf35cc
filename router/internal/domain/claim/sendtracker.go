package claim

import (
	"sync"
	"time"
)

// SendTracker tracks the claims whose calls this instance is about to send or has sent within SentRetention. Times are
// on the boot-time clock. It is safe for concurrent use.
type SendTracker struct {
	mu             sync.Mutex
	pending        map[string]int
	sent           map[string]time.Duration
	pruneThreshold int
}

// minPruneThreshold is the number of recorded claims from which expired ones are removed.
const minPruneThreshold = 1024

// NewSendTracker returns an empty tracker.
func NewSendTracker() *SendTracker {
	return &SendTracker{pending: make(map[string]int), sent: make(map[string]time.Duration), pruneThreshold: minPruneThreshold}
}

// Begin records that the call may be sent from now on. It must be called before the claim is made.
func (t *SendTracker) Begin(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[name]++
}

// End records that the work on the claim has ended, and whether any byte of the call may have been sent.
func (t *SendTracker) End(name string, sent bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[name]--; t.pending[name] <= 0 {
		delete(t.pending, name)
	}
	if sent {
		t.sent[name] = now
		t.pruneSent(now)
	}
}

// MayHaveSent reports whether this instance has sent the call of the claim or may still send it. ownPending is the
// number of Begins for the claim that belong to the calling request itself.
func (t *SendTracker) MayHaveSent(name string, ownPending int, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[name] > ownPending {
		return true
	}
	sentAt, ok := t.sent[name]
	return ok && now-sentAt <= SentRetention
}

func (t *SendTracker) pruneSent(now time.Duration) {
	if len(t.sent) < t.pruneThreshold {
		return
	}
	for name, at := range t.sent {
		if now-at > SentRetention {
			delete(t.sent, name)
		}
	}
	t.pruneThreshold = max(minPruneThreshold, 2*len(t.sent))
}
