package sharedlimit

import "time"

const (
	// initialLevelFraction is the part of the burst that a new bucket holds of a quota that has not been in force since the start of the
	// instance. What was admitted before is not known.
	initialLevelFraction = 0.5
	// In any ruleWindow, (1 + ruleExcess) times the rate and the burst and ruleSlackTokens may be admitted. The burst may have been used
	// just before all instances restarted, so that a new bucket holds initialExcessFraction of what exceeds the rate and the burst; the
	// rest is for what instances admit before they hear from each other.
	ruleWindow            = 8 * time.Second
	ruleExcess            = 0.1
	ruleSlackTokens       = 73_000
	initialExcessFraction = 0.5
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

// discardExcess lowers the level by what it exceeded the burst by at the given time. Without it, what others admit after that would be
// taken from an allowance that nobody had.
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

// initialLevel returns the level of a new bucket.
func (q *Quota) initialLevel() float64 {
	if !q.Standing || !q.CountsTokens {
		return initialLevelFraction * q.Burst
	}
	return min(q.Burst, initialExcessFraction*(ruleExcess*(q.RatePerSecond*ruleWindow.Seconds()+q.Burst)+ruleSlackTokens))
}
