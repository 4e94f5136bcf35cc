package sharedlimit

import "time"

const (
	// initialLevelFraction is the part of the burst that a new bucket holds of a quota that has not been in force since the start of the
	// instance. What was admitted before is not known.
	initialLevelFraction = 0.5
	// initialExcessFraction is the part of what a tolerance allows beyond the rate and the burst that a new bucket holds. The burst may
	// have been used just before all instances restarted; the rest is for what instances admit before they hear from each other.
	initialExcessFraction = 0.5
	// lateReportFraction is the part of what a tolerance allows that late reports may leave in a bucket beyond its burst. It is added to what
	// a new bucket holds, and both together leave room for what instances admit at the same time.
	lateReportFraction = 0.25
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

// discardExcess lowers the level by what it exceeded the burst by more than the allowed excess at the given time. Without it, what others
// admit after that would be taken from an allowance that nobody had. Without an allowed excess, requests within the limit would be refused
// because reports of what others have admitted arrive late and all at once.
func (b *bucket) discardExcess(at time.Duration, allowed float64) {
	if b.burst > 0 {
		b.level -= max(0, b.level+max(0, at-b.updated).Seconds()*b.rate-b.burst-allowed)
	}
}

// timeUntil returns the time until the bucket, which is up to date, admits a request of the given cost.
func (b *bucket) timeUntil(q *Quota, cost int64) time.Duration {
	required := min(float64(cost), sufficientFraction*q.Burst)
	return max(0, time.Duration((required-b.level)/q.RatePerSecond*float64(time.Second)))
}

// Tolerance is what may be admitted under a quota in tokens beyond its rate and burst: in any Window, the fraction Overage of both, and
// Slack tokens.
type Tolerance struct {
	// Window is zero if the tolerance is unknown.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// excess returns the tokens beyond the rate and the burst that a window may hold.
func (t Tolerance) excess(q *Quota) float64 {
	return t.Overage*(q.RatePerSecond*t.Window.Seconds()+q.Burst) + t.Slack
}

// lateReportExcess returns what late reports may leave in a bucket beyond its burst.
func (q *Quota) lateReportExcess(t Tolerance) float64 {
	if t.Window <= 0 || !q.CountsTokens {
		return 0
	}
	return lateReportFraction * t.excess(q)
}

// initialLevel returns the level of a new bucket.
func (q *Quota) initialLevel(t Tolerance) float64 {
	if !q.Standing || !q.CountsTokens || t.Window <= 0 {
		return initialLevelFraction * q.Burst
	}
	return min(q.Burst, initialExcessFraction*t.excess(q))
}
