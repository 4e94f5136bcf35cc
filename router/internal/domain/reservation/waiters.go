package reservation

import "time"

// waiterTimeout is how long after its last refusal an instance counts as waiting. A refused instance repeats its
// request after some 20 ms.
const waiterTimeout = 60 * time.Millisecond

// waiters records which instances were refused, and since when. An instance reserves for one request at a time, so
// the instance with the oldest refusal is served first; otherwise the order of instances would depend on chance or on
// their distance to the owner.
type waiters map[string]waiter

type waiter struct{ since, refusedAt time.Duration }

// countAhead returns the number of instances that have waited longer than the requester.
func (w waiters) countAhead(now time.Duration, requester string) int {
	since := now
	if self, ok := w[requester]; ok && now <= self.refusedAt+waiterTimeout {
		since = self.since
	}
	n := 0
	for name, other := range w {
		if now > other.refusedAt+waiterTimeout {
			delete(w, name)
		} else if name != requester && other.since < since {
			n++
		}
	}
	return n
}

func (w waiters) recordRefusal(now time.Duration, requester string) {
	self, ok := w[requester]
	if !ok || now > self.refusedAt+waiterTimeout {
		self.since = now
	}
	self.refusedAt = now
	w[requester] = self
}

func (w waiters) remove(requester string) { delete(w, requester) }
