package sharedlimit

import "time"

const (
	// toleranceWindow, toleranceFraction and toleranceTokens are the tolerance for customers that are limited in tokens: in any window,
	// what is admitted may exceed the rate and the burst by this fraction of both, and by this number of tokens.
	toleranceWindow   = 8 * time.Second
	toleranceFraction = 0.1
	toleranceTokens   = 73_000
	// initialToleranceFraction is the part of the tolerance that a new bucket holds. The burst may have been used just before all
	// instances restarted. The rest is for what instances admit before they hear from each other.
	initialToleranceFraction = 0.5
	// initialLevelFraction is the part of the burst that the new bucket of any other quota holds. What was admitted before it was created
	// is not known.
	initialLevelFraction = 0.5
	// sufficientFraction is the part of the burst at which a request of any size is admitted. A bucket never holds more
	// than its burst, so larger requests would never be admitted otherwise.
	sufficientFraction = 0.9
)

// bucket is the token bucket of a quota on this instance.
type bucket struct {
	level   float64
	updated time.Duration
	// rate and burst are those of the quota at the last update.
	rate, burst float64
}

// levelAt returns the level at the given time if nothing more is taken.
func (b *bucket) levelAt(now time.Duration) float64 {
	if b.burst == 0 {
		return b.level // this instance has had no request under the quota
	}
	return min(b.burst, b.level+max(0, now-b.updated).Seconds()*b.rate)
}

// discardExcess lowers the level by the amount by which it exceeded the burst at the given time. Otherwise, what others admit after that
// would be taken from tokens that the bucket could not have held.
func (b *bucket) discardExcess(at time.Duration) {
	if b.burst > 0 {
		b.level -= max(0, b.level+max(0, at-b.updated).Seconds()*b.rate-b.burst)
	}
}

// timeUntil returns the time until the bucket, which is up to date, admits a request of the given cost.
func (b *bucket) timeUntil(q *Quota, cost int64) time.Duration {
	required := min(float64(cost), sufficientFraction*q.Burst)
	return max(0, time.Duration((required-b.level)/q.RatePerSecond*float64(time.Second)))
}

// initialLevel returns the level of a new bucket of the quota.
func (q *Quota) initialLevel() float64 {
	if !q.Standing || !q.CountsTokens {
		return initialLevelFraction * q.Burst
	}
	tolerance := toleranceFraction*(q.RatePerSecond*toleranceWindow.Seconds()+q.Burst) + toleranceTokens
	return min(q.Burst, initialToleranceFraction*tolerance)
}
