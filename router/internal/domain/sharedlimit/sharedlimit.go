// Package sharedlimit enforces quotas, such as the rate and burst of a customer, across all instances. Each instance has a token
// bucket for a quota. It takes what it admits itself from the bucket at once, and what the other instances admit as
// soon as they report it. An instance whose totals have not been confirmed for the silence timeout counts as silent and is
// assumed to admit its share of the rate, so that instances that are cut off from each other admit no more than the rate
// in total.
package sharedlimit

import (
	"maps"
	"math"
	"sync"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// minSilenceTimeout is the lower bound of the time without a message after which an instance is assumed to admit
	// its share of the rate.
	minSilenceTimeout = time.Second
)

// Quota is what all instances together may admit: a rate in units per second, and a burst. A rate of zero means no limit.
type Quota struct {
	// Key identifies the quota at all instances.
	Key           string
	RatePerSecond float64
	Burst         float64
	// Standing is set if everything that is admitted under the quota has been counted since the start of the instance. The bucket of
	// such a quota accrues before its first use.
	Standing bool
	// CountsTokens is set if the units are tokens. Otherwise they are requests.
	CountsTokens bool
}

// CustomerQuota returns the quota of a customer, in tokens or requests.
func CustomerQuota(c *routing.Customer) *Quota {
	return &Quota{Key: c.Name, RatePerSecond: c.RatePerSecond, Burst: c.Burst, Standing: true, CountsTokens: c.CountsTokens}
}

// Limiter holds the buckets of the quotas. It is safe for concurrent use.
type Limiter struct {
	// findQuota returns the quota of the given key, or nil if there is none.
	findQuota func(key string) *Quota

	mu      sync.Mutex
	buckets map[string]*bucket
	spent   map[string]int64
	peers   map[string]*peer
	// totalWeight is the sum of the weights of the peers.
	totalWeight int
	// charged is the total taken from the buckets for other instances, including removed ones.
	charged        map[string]float64
	silenceTimeout time.Duration
	// countedSince is the time since boot since which everything that is admitted is counted; neverCounted until Begin.
	countedSince time.Duration
	// tolerance determines the levels of new buckets.
	tolerance Tolerance
}

type peer struct {
	incarnation uint64
	// source is the instance that sends the aggregate of the others.
	source string
	// confirmedAt is the last time at which the totals of the peer were known to be complete. missed is set if a later message
	// of the peer is known to be missing.
	confirmedAt time.Duration
	missed      bool
	// initialized is false until the first report of the peer. What it admitted before that is not charged here.
	initialized bool
	// spent holds the last reported totals of the peer, by key. assumed holds what was charged beyond them while
	// the peer was silent.
	spent   map[string]int64
	assumed map[string]float64
	// charged is the total taken from the buckets for the peer, including its earlier incarnations.
	charged map[string]float64
	// weight is the number of instances that the peer represents.
	weight int
}

func newPeer(weight int) *peer {
	return &peer{confirmedAt: neverConfirmed, spent: map[string]int64{}, assumed: map[string]float64{}, charged: map[string]float64{}, weight: weight}
}

// New returns an empty limiter. The function returns the quota of the given key, or nil if there is none.
func New(findQuota func(key string) *Quota) *Limiter {
	return &Limiter{
		findQuota: findQuota, buckets: map[string]*bucket{}, spent: map[string]int64{}, peers: map[string]*peer{}, charged: map[string]float64{}, silenceTimeout: minSilenceTimeout,
		countedSince: neverCounted,
	}
}

// SetTolerance sets what may be admitted beyond the quotas. It applies to buckets that are created later.
func (l *Limiter) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// neverCounted is the countedSince of a limiter before Begin.
const neverCounted = time.Duration(math.MaxInt64)

// Begin records that from now on this instance learns what the others admit. It is called once, at the start.
func (l *Limiter) Begin(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countedSince = now
}

// neverConfirmed is the confirmedAt of an instance that has not sent a report yet.
const neverConfirmed = time.Duration(math.MinInt64 / 2)

// SetSilenceTimeout sets the time without a message after which an instance counts as silent. It must exceed the
// interval of messages.
func (l *Limiter) SetSilenceTimeout(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceTimeout = max(minSilenceTimeout, d)
}

// Take admits a request of the given cost, or returns the time until enough tokens will have accrued. now is the time
// since boot.
func (l *Limiter) Take(q *Quota, cost int64, now time.Duration) (ok bool, wait time.Duration) {
	if q.RatePerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refill(q, now)
	if wait = b.timeUntil(q, cost); wait > 0 {
		return false, wait
	}
	b.level -= float64(cost)
	l.spent[q.Key] += cost
	return true, 0
}

// Balance is what a bucket holds.
type Balance struct {
	// Left is the level, and Assumed what was taken from it for silent instances and may be returned.
	Left, Assumed float64
}

// Balance returns what the bucket of the key held when it was last used.
func (l *Limiter) Balance(key string) (b Balance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.buckets[key]; bucket != nil {
		b.Left = bucket.level
	}
	for _, p := range l.peers {
		b.Assumed += p.assumed[key]
	}
	return b
}

// Delay returns the time until a request of the given cost would be admitted; zero if it would be now.
func (l *Limiter) Delay(q *Quota, cost int64, now time.Duration) time.Duration {
	if q.RatePerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill(q, now).timeUntil(q, cost)
}

// Charge takes the cost of a request that is made in any case, which may leave the bucket in debt.
func (l *Limiter) Charge(q *Quota, cost int64, now time.Duration) {
	if q.RatePerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(q, now).level -= float64(cost)
	l.spent[q.Key] += cost
}

// Refund returns what a request did not use.
func (l *Limiter) Refund(q *Quota, cost int64) {
	if q.RatePerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent[q.Key] -= cost
	if b := l.buckets[q.Key]; b != nil {
		b.level += float64(cost)
	}
}

// LocalSpent returns what this instance has admitted since its start, by key.
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

// ApplyReport applies the totals that another instance has admitted since its start. A partial report leaves out some
// keys. Of an instance that reports for the first time, only what it admits beyond the baseline is charged; with a
// nil baseline, all that it has reported so far is the baseline.
func (l *Limiter) ApplyReport(name string, incarnation uint64, spent, baseline map[string]int64, partial bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || !p.initialized || p.incarnation < incarnation {
		if partial {
			return // only a full report shows what the peer admitted before
		}
		if baseline == nil {
			baseline = spent
		}
		p = l.replacePeer(name, p, incarnation, baseline)
	}
	if p.incarnation > incarnation {
		return
	}
	l.applySpent(p, spent, now)
	if !partial {
		l.confirmUpToDate(p, now)
	}
}

// applySpent charges what a peer has spent since its last report, thus after it was last confirmed. It also creates buckets of quotas
// without requests at this instance, because other instances ask it for their levels. l.mu is held.
func (l *Limiter) applySpent(p *peer, spent map[string]int64, now time.Duration) {
	for key, n := range spent {
		q := l.findQuota(key)
		if q != nil && q.RatePerSecond > 0 && l.buckets[key] == nil && n != p.spent[key] {
			l.refill(q, now)
		}
		if b := l.buckets[key]; b != nil && q != nil && q.Standing {
			b.discardExcess(p.confirmedAt, q.lateReportExcess(l.tolerance))
		}
		l.charge(p, key, float64(n)-float64(p.spent[key])-p.assumed[key])
		p.spent[key] = n
		delete(p.assumed, key)
	}
}

// charge takes an amount from a bucket for a peer. A negative amount returns no more than was taken for the
// peer, so that no report can raise a limit. l.mu is held.
func (l *Limiter) charge(p *peer, key string, amount float64) {
	amount = max(amount, -p.charged[key])
	if b := l.buckets[key]; b != nil {
		b.level -= amount
	}
	p.charged[key] += amount
	l.charged[key] += amount
}

// SpentExcluding returns what all instances except one have spent, by key, as reported to this instance or assumed.
// Only the difference between two results is meaningful.
func (l *Limiter) SpentExcluding(name string) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.buckets))
	for key, n := range l.spent {
		out[key] = n
	}
	var charged map[string]float64
	if p := l.peers[name]; p != nil {
		charged = p.charged
	}
	for key, n := range l.charged {
		out[key] += int64(n - charged[key])
	}
	return out
}

// BucketLevels returns the level of each bucket, by key.
func (l *Limiter) BucketLevels(now time.Duration) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.buckets))
	for key, b := range l.buckets {
		out[key] = int64(b.levelAt(now))
	}
	return out
}

// AggregateReport is the report of one instance on all others.
type AggregateReport struct {
	// Source and Incarnation identify the instance that sends the report.
	Source      string
	Incarnation uint64
	// Instances is the number of the other instances.
	Instances int
	// Spent is what they have spent, and Levels what is left in the buckets, by key.
	Spent, Levels map[string]int64
}

// ApplyAggregate applies a report on all other instances. Totals from different sources, or from different incarnations
// of a source, are not comparable: the first report is the baseline for the following ones, and its levels are an upper
// bound for the buckets.
func (l *Limiter) ApplyAggregate(r AggregateReport, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[aggregatePeer]
	if p == nil {
		p = newPeer(r.Instances)
		l.peers[aggregatePeer] = p
		l.totalWeight += r.Instances
	}
	l.totalWeight += r.Instances - p.weight
	p.weight = r.Instances
	if p.source != r.Source || p.incarnation != r.Incarnation {
		p.source, p.incarnation, p.initialized = r.Source, r.Incarnation, true
		p.spent = map[string]int64{}
		maps.Copy(p.spent, r.Spent)
		l.confirmUpToDate(p, now)
		l.capLevels(r.Levels, now)
	}
	for key, level := range r.Levels {
		if l.buckets[key] == nil {
			l.buckets[key] = l.newBucketAt(key, float64(level), now)
		}
	}
	l.applySpent(p, r.Spent, now)
	l.confirmUpToDate(p, now)
}

// newBucketAt returns a bucket with a level that another instance has reported. l.mu is held.
func (l *Limiter) newBucketAt(key string, level float64, now time.Duration) *bucket {
	b := &bucket{level: level, updated: now}
	if q := l.findQuota(key); q != nil {
		b.rate, b.burst = q.RatePerSecond, q.Burst
	}
	return b
}

// capLevels lowers the buckets to the given levels where these are lower. l.mu is held.
func (l *Limiter) capLevels(levels map[string]int64, now time.Duration) {
	for key, level := range levels {
		if b := l.buckets[key]; b != nil {
			b.level -= max(0, b.levelAt(now)-float64(level))
		}
	}
}

// MarkAggregateSilent marks the aggregate of the other instances as silent until the next report on them.
func (l *Limiter) MarkAggregateSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[aggregatePeer]; p != nil {
		p.missed = true
	}
}

// aggregatePeer is the name of the peer that represents all other instances.
const aggregatePeer = ""

// ConfirmUpToDate records that the totals of an instance are complete up to now, because none of its messages is
// missing.
func (l *Limiter) ConfirmUpToDate(name string, incarnation uint64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[name]; p != nil && p.initialized && p.incarnation == incarnation {
		l.confirmUpToDate(p, now)
	}
}

// confirmUpToDate returns what was assumed for quotas that the peer did not use, and updates confirmedAt. l.mu is
// held.
func (l *Limiter) confirmUpToDate(p *peer, now time.Duration) {
	for key, n := range p.assumed {
		l.charge(p, key, -n)
		delete(p.assumed, key)
	}
	p.confirmedAt, p.missed = now, false
}

// replacePeer replaces the record of a peer that has restarted or reports for the first time. The totals of a restarted
// peer begin at zero; of any other, only what it admits beyond the baseline is charged. l.mu is held.
func (l *Limiter) replacePeer(name string, old *peer, incarnation uint64, baseline map[string]int64) *peer {
	p := newPeer(1)
	p.incarnation, p.initialized = incarnation, true
	if old != nil {
		p.assumed, p.charged = old.assumed, old.charged
	} else {
		l.totalWeight++
	}
	if old == nil || !old.initialized {
		maps.Copy(p.spent, baseline)
	}
	l.peers[name] = p
	return p
}

// AddPeer adds an instance that has not sent a report yet. It counts as silent.
func (l *Limiter) AddPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[name] == nil {
		l.peers[name] = newPeer(1)
		l.totalWeight++
	}
}

// RemovePeer removes an instance that has stopped for good.
func (l *Limiter) RemovePeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[name]; p != nil {
		l.totalWeight -= p.weight
		delete(l.peers, name)
	}
}

// RemoveAggregate removes the record that ApplyAggregate has created.
func (l *Limiter) RemoveAggregate() { l.RemovePeer(aggregatePeer) }

// RetainKeys drops the state of the quotas whose keys are not to be kept.
func (l *Limiter) RetainKeys(keep func(key string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.buckets, func(key string, _ *bucket) bool { return !keep(key) })
	maps.DeleteFunc(l.spent, func(key string, _ int64) bool { return !keep(key) })
	maps.DeleteFunc(l.charged, func(key string, _ float64) bool { return !keep(key) })
	for _, p := range l.peers {
		maps.DeleteFunc(p.spent, func(key string, _ int64) bool { return !keep(key) })
		maps.DeleteFunc(p.assumed, func(key string, _ float64) bool { return !keep(key) })
		maps.DeleteFunc(p.charged, func(key string, _ float64) bool { return !keep(key) })
	}
}

// refill adds what has accrued since the last call, less the shares of the silent instances. l.mu is held.
func (l *Limiter) refill(q *Quota, now time.Duration) *bucket {
	b := l.buckets[q.Key]
	if b == nil {
		b = l.newBucket(q, now)
		l.buckets[q.Key] = b
	}
	b.rate, b.burst = q.RatePerSecond, q.Burst
	b.level += max(0, now-b.updated).Seconds() * q.RatePerSecond
	for _, p := range l.peers {
		if p.missed || now-p.confirmedAt > l.silenceTimeout {
			l.assumeShare(p, q, now-max(b.updated, p.confirmedAt))
		}
	}
	b.updated = now
	b.level = min(b.level, q.Burst)
	return b
}

// newBucket returns the bucket of a quota under which nothing has been admitted since countedSince. l.mu is held.
func (l *Limiter) newBucket(q *Quota, now time.Duration) *bucket {
	b := &bucket{level: q.initialLevel(l.tolerance), updated: now}
	if q.Standing {
		b.updated = min(now, l.countedSince)
	}
	return b
}

// assumeShare charges a silent peer's share of the rate for the time since it was last confirmed. What it admitted before that has been
// charged already. l.mu is held.
func (l *Limiter) assumeShare(p *peer, q *Quota, unconfirmed time.Duration) {
	share := max(0, unconfirmed).Seconds() * q.RatePerSecond / float64(l.totalWeight+1) * float64(p.weight)
	p.assumed[q.Key] += share
	l.charge(p, q.Key, share)
}
