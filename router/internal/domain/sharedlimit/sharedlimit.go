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
	// customers finds a customer by name; nil if it is not known.
	customers func(name string) *routing.Customer

	mu      sync.Mutex
	buckets map[string]*bucket
	spent   map[string]int64
	peers   map[string]*peer
	// weights is the number of instances that the peers stand for.
	weights int
	// charged is all that was taken from the buckets for other instances, which removed ones leave behind.
	charged map[string]float64
	silence time.Duration
}

type bucket struct {
	level   float64
	updated time.Duration
	// rate and burst are those of the customer as of the last update.
	rate, burst float64
}

// at returns the level at a time, if nobody takes anything.
func (b *bucket) at(now time.Duration) float64 {
	if b.burst == 0 {
		return b.level // no request of the customer has come here
	}
	return min(b.burst, b.level+max(0, now-b.updated).Seconds()*b.rate)
}

type peer struct {
	incarnation uint64
	// source is the instance that tells of the others.
	source string
	heard  time.Duration
	// known is false until the peer has told once; what it admitted before is not this instance's concern.
	known bool
	// spent is what the peer has told, by customer; assumed is what was taken for it beyond that while it was silent.
	spent   map[string]int64
	assumed map[string]float64
	// charged is all that was taken from the buckets for the peer, over its restarts.
	charged map[string]float64
	// weight is the number of instances that the peer stands for.
	weight int
}

func newPeer(weight int) *peer {
	return &peer{heard: never, spent: map[string]int64{}, assumed: map[string]float64{}, charged: map[string]float64{}, weight: weight}
}

// New returns an empty limiter. The function finds a customer by name, and returns nil if there is none.
func New(customers func(name string) *routing.Customer) *Limiter {
	return &Limiter{
		customers: customers, buckets: map[string]*bucket{}, spent: map[string]int64{}, peers: map[string]*peer{}, charged: map[string]float64{}, silence: minSilence,
	}
}

// never is when an instance was heard that has not told anything yet.
const never = time.Duration(math.MinInt64 / 2)

// SetSilenceTimeout sets after what time without a message an instance counts as silent. It must exceed the period of messages.
func (l *Limiter) SetSilenceTimeout(d time.Duration) {
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

// LocalSpent returns what this instance has admitted since its start, by customer.
func (l *Limiter) LocalSpent() map[string]int64 {
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

// ApplyReport takes over what another instance has admitted since its start. A partial message leaves customers out. Of an instance that
// is heard for the first time, only what it admits beyond the base counts; a nil base means all that it tells.
func (l *Limiter) ApplyReport(name string, incarnation uint64, spent, base map[string]int64, partial bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || !p.known || p.incarnation < incarnation {
		if partial {
			return // a whole message shows what the peer had admitted before
		}
		if base == nil {
			base = spent
		}
		p = l.restarted(name, p, incarnation, base)
	}
	if p.incarnation > incarnation {
		return
	}
	l.settle(p, spent, now)
	if !partial {
		l.confirm(p, now)
	}
}

// settle charges what a peer has spent beyond what is known of it; l.mu is held. Buckets of customers that have not come here are
// kept, too, since others ask this instance for their levels.
func (l *Limiter) settle(p *peer, spent map[string]int64, now time.Duration) {
	for customer, n := range spent {
		if c := l.customers(customer); c != nil && c.RatePerSecond > 0 && l.buckets[customer] == nil && n != p.spent[customer] {
			l.refill(c, now)
		}
		l.charge(p, customer, float64(n)-float64(p.spent[customer])-p.assumed[customer])
		p.spent[customer] = n
		delete(p.assumed, customer)
	}
}

// charge takes an amount from a customer's bucket for a peer; l.mu is held. A peer gives back no more than was taken for it, so
// that nothing that an instance tells raises a customer's limit.
func (l *Limiter) charge(p *peer, customer string, amount float64) {
	amount = max(amount, -p.charged[customer])
	if b := l.buckets[customer]; b != nil {
		b.level -= amount
	}
	p.charged[customer] += amount
	l.charged[customer] += amount
}

// SpentExcluding returns what all instances but one have spent, by customer, as far as it is known here or assumed. Only differences
// between two results are meaningful.
func (l *Limiter) SpentExcluding(name string) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.buckets))
	for customer, n := range l.spent {
		out[customer] = n
	}
	var charged map[string]float64
	if p := l.peers[name]; p != nil {
		charged = p.charged
	}
	for customer, n := range l.charged {
		out[customer] += int64(n - charged[customer])
	}
	return out
}

// BucketLevels returns the levels of the buckets.
func (l *Limiter) BucketLevels(now time.Duration) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.buckets))
	for customer, b := range l.buckets {
		out[customer] = int64(b.at(now))
	}
	return out
}

// AggregateReport is what an instance tells of all the others.
type AggregateReport struct {
	// Source and Incarnation are those of the instance that tells.
	Source      string
	Incarnation uint64
	// Instances is the number of the others.
	Instances int
	// Spent is what they have spent, Levels what is left in the buckets, by customer.
	Spent, Levels map[string]int64
}

// ApplyAggregate takes over what all other instances have spent, as one of them tells. Totals of different sources, or starts of a
// source, cannot be compared: the first one only shows where the next ones begin, and what is left at most.
func (l *Limiter) ApplyAggregate(o AggregateReport, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[others]
	if p == nil {
		p = newPeer(o.Instances)
		l.peers[others] = p
		l.weights += o.Instances
	}
	l.weights += o.Instances - p.weight
	p.weight = o.Instances
	if p.source != o.Source || p.incarnation != o.Incarnation {
		p.source, p.incarnation, p.known = o.Source, o.Incarnation, true
		p.spent = map[string]int64{}
		maps.Copy(p.spent, o.Spent)
		l.confirm(p, now)
		l.lower(o.Levels, now)
	}
	for customer, level := range o.Levels {
		if l.buckets[customer] == nil {
			l.buckets[customer] = &bucket{level: float64(level), updated: now}
		}
	}
	l.settle(p, o.Spent, now)
	l.confirm(p, now)
}

// lower takes over the levels that are lower than the own ones; l.mu is held.
func (l *Limiter) lower(levels map[string]int64, now time.Duration) {
	for customer, level := range levels {
		if b := l.buckets[customer]; b != nil {
			b.level -= max(0, b.at(now)-float64(level))
		}
	}
}

// MarkAggregateSilent has the others count as silent until they are heard again.
func (l *Limiter) MarkAggregateSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[others]; p != nil {
		p.heard = never
	}
}

// others is the peer that stands for all other instances.
const others = ""

// ConfirmUpToDate says that all that an instance has admitted is known as of now, from messages of which none is missing.
func (l *Limiter) ConfirmUpToDate(name string, incarnation uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[name]; p != nil && p.known && p.incarnation == incarnation {
		l.confirm(p, now)
	}
}

// confirm gives back what was assumed for customers that the peer did not serve; l.mu is held.
func (l *Limiter) confirm(p *peer, now time.Duration) {
	for customer, n := range p.assumed {
		l.charge(p, customer, -n)
		delete(p.assumed, customer)
	}
	p.heard = now
}

// restarted replaces the record of a peer. A peer that was known begins at zero; of any other, only what it admits beyond the
// base counts.
func (l *Limiter) restarted(name string, old *peer, incarnation uint64, base map[string]int64) *peer {
	p := newPeer(1)
	p.incarnation, p.known = incarnation, true
	if old != nil {
		p.assumed, p.charged = old.assumed, old.charged
	} else {
		l.weights++
	}
	if old == nil || !old.known {
		maps.Copy(p.spent, base)
	}
	l.peers[name] = p
	return p
}

// AddPeer makes an instance known that has not told anything yet; it counts as silent.
func (l *Limiter) AddPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[name] == nil {
		l.peers[name] = newPeer(1)
		l.weights++
	}
}

// RemovePeer removes an instance that has stopped for good.
func (l *Limiter) RemovePeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[name]; p != nil {
		l.weights -= p.weight
		delete(l.peers, name)
	}
}

// RemoveAggregate removes what HearOthers has made known.
func (l *Limiter) RemoveAggregate() { l.RemovePeer(others) }

// refill adds what has accrued since the last call, less the shares of the silent instances.
func (l *Limiter) refill(c *routing.Customer, now time.Duration) *bucket {
	b := l.buckets[c.Name]
	if b == nil {
		b = &bucket{level: initialFill * c.Burst, updated: now}
		l.buckets[c.Name] = b
	}
	b.rate, b.burst = c.RatePerSecond, c.Burst
	elapsed := max(0, now-b.updated).Seconds()
	b.updated = now
	accrued := elapsed * c.RatePerSecond
	b.level += accrued
	share := accrued / float64(l.weights+1)
	for _, p := range l.peers {
		if now-p.heard > l.silence {
			p.assumed[c.Name] += share * float64(p.weight)
			l.charge(p, c.Name, share*float64(p.weight))
		}
	}
	b.level = min(b.level, c.Burst)
	return b
}
