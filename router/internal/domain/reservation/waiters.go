package reservation

import "time"

// waiterMemory is how long an instance that was refused counts as waiting. Instances ask again after some 20 ms.
const waiterMemory = 60 * time.Millisecond

// waiters remembers which instances were refused, and since when. An instance asks for one job at a time, so the oldest
// refusal goes first; otherwise chance, or the distance to the owner, would decide between instances.
type waiters map[string]waiter

type waiter struct{ since, seen time.Duration }

// ahead counts the instances that wait longer than the one that asks.
func (w waiters) ahead(now time.Duration, from string) int {
	own := now
	if self, ok := w[from]; ok && now <= self.seen+waiterMemory {
		own = self.since
	}
	n := 0
	for name, other := range w {
		if now > other.seen+waiterMemory {
			delete(w, name)
		} else if name != from && other.since < own {
			n++
		}
	}
	return n
}

func (w waiters) refused(now time.Duration, from string) {
	self, ok := w[from]
	if !ok || now > self.seen+waiterMemory {
		self.since = now
	}
	self.seen = now
	w[from] = self
}

func (w waiters) granted(from string) { delete(w, from) }
