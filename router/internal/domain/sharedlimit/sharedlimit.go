// Package sharedlimit keeps customers' rates and bursts across all instances. Each instance has a bucket for a customer,
// from which it takes what it admits itself at once, and what the others have admitted as soon as they tell. While another
// instance is silent, it is assumed to admit its share of the rate, so that instances that are cut off from each other
// together admit no more than the rate.
package sharedlimit

import (
	"maps"
	"math"
	"sync"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// minSilence is the least time for which an instance may say nothing until it is assumed to admit its share of the rate.
	minSilence = time.Second
	// initialFill is the part of the burst that a new bucket holds: what was admitted before the start is not known.
	initialFill = 0.5
	// fullEnough is the part of the burst that admits a request of any size, since no bucket ever holds more than its burst.
	fullEnough = 0.9
)

// Limiter keeps the buckets. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	spent   map[string]int64
	peers   map[string]*peer
	silence time.Duration
}

type bucket struct {
	level   float64
	updated time.Duration
}

type peer struct {
	incarnation uint64
	heard       time.Duration
	// known is false until the peer has told once; what it admitted before is not this instance's concern.
	known bool
	// spent is what the peer has told, by customer; assumed is what was taken for it beyond that while it was silent.
	spent   map[string]int64
	assumed map[string]float64
}

// New returns an empty limiter.
func New() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, spent: map[string]int64{}, peers: map[string]*peer{}, silence: minSilence}
}

// never is when an instance was heard that has not told anything yet.
const never = time.Duration(math.MinInt64 / 2)

// SetSilence sets after what time without a message an instance counts as silent. It must exceed the period of messages.
func (l *Limiter) SetSilence(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silence = max(minSilence, d)
}

// Take admits a request of the cost, or returns after what time enough will have accrued. Now is the time since boot.
func (l *Limiter) Take(c *routing.Customer, cost int64, now time.Duration) (ok bool, wait time.Duration) {
	if c.RatePerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refill(c, now)
	need := min(float64(cost), fullEnough*c.Burst)
	if b.level < need {
		return false, time.Duration((need - b.level) / c.RatePerSecond * float64(time.Second))
	}
	b.level -= float64(cost)
	l.spent[c.Name] += cost
	return true, 0
}

// Refund gives back what a request did not use.
func (l *Limiter) Refund(c *routing.Customer, cost int64) {
	if c.RatePerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent[c.Name] -= cost
	if b := l.buckets[c.Name]; b != nil {
		b.level += float64(cost)
	}
}

// Spent returns what this instance has admitted since its start, by customer.
func (l *Limiter) Spent() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.spent))
	for name, n := range l.spent {
		if n != 0 {
			out[name] = n
		}
	}
	return out
}

// Hear takes over what another instance has admitted since its start. A partial message leaves customers out.
func (l *Limiter) Hear(name string, incarnation uint64, spent map[string]int64, partial bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || !p.known || p.incarnation < incarnation {
		if partial {
			return // a whole message shows what the peer had admitted before
		}
		p = l.restarted(name, p, incarnation, spent)
	}
	if p.incarnation > incarnation {
		return
	}
	for customer, n := range spent {
		delta := float64(n-p.spent[customer]) - p.assumed[customer]
		p.spent[customer] = n
		delete(p.assumed, customer)
		if b := l.buckets[customer]; b != nil {
			b.level -= delta
		}
	}
	if !partial {
		l.confirm(p, now)
	}
}

// Confirm says that all that an instance has admitted is known as of now, from messages of which none is missing.
func (l *Limiter) Confirm(name string, incarnation uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[name]; p != nil && p.known && p.incarnation == incarnation {
		l.confirm(p, now)
	}
}

// confirm gives back what was assumed for customers that the peer did not serve; l.mu is held.
func (l *Limiter) confirm(p *peer, now time.Duration) {
	for customer, n := range p.assumed {
		if b := l.buckets[customer]; b != nil {
			b.level += n
		}
		delete(p.assumed, customer)
	}
	p.heard = now
}

// restarted replaces the record of a peer. A peer that was known begins at zero; of any other, only what it admits from
// now on counts.
func (l *Limiter) restarted(name string, old *peer, incarnation uint64, spent map[string]int64) *peer {
	p := &peer{incarnation: incarnation, known: true, spent: map[string]int64{}, assumed: map[string]float64{}}
	if old != nil {
		p.assumed = old.assumed
	}
	if old == nil || !old.known {
		maps.Copy(p.spent, spent)
	}
	l.peers[name] = p
	return p
}

// Expect makes an instance known that has not told anything yet; it counts as silent.
func (l *Limiter) Expect(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[name] == nil {
		l.peers[name] = &peer{heard: never, spent: map[string]int64{}, assumed: map[string]float64{}}
	}
}

// Forget removes an instance that has stopped for good.
func (l *Limiter) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// refill adds what has accrued since the last call, less the shares of the silent instances.
func (l *Limiter) refill(c *routing.Customer, now time.Duration) *bucket {
	b := l.buckets[c.Name]
	if b == nil {
		b = &bucket{level: initialFill * c.Burst, updated: now}
		l.buckets[c.Name] = b
	}
	elapsed := max(0, now-b.updated).Seconds()
	b.updated = now
	accrued := elapsed * c.RatePerSecond
	b.level += accrued
	share := accrued / float64(len(l.peers)+1)
	for _, p := range l.peers {
		if now-p.heard > l.silence {
			p.assumed[c.Name] += share
			b.level -= share
		}
	}
	b.level = min(b.level, c.Burst)
	return b
}
