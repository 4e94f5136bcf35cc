package load

import (
	"sort"
	"time"
)

// TokenBucket is an ideal token bucket for the whole fleet.
type TokenBucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Duration
}

// NewTokenBucket returns a bucket with a rate in tokens a second that has filled for the given time. The shares of routers
// start empty, so right after their start a full bucket would admit what no router can; with 0 the bucket is full.
func NewTokenBucket(rateTokens, burstTokens int64, filled time.Duration) *TokenBucket {
	b := &TokenBucket{rate: float64(rateTokens), burst: float64(burstTokens), level: float64(burstTokens)}
	if filled > 0 {
		b.level = min(b.burst, b.rate*filled.Seconds())
	}
	return b
}

// Take charges the bucket at a time that must not go back, and reports whether it held enough.
func (b *TokenBucket) Take(at time.Duration, charge int64) bool {
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.level < float64(charge) {
		return false
	}
	b.level -= float64(charge)
	return true
}

// AdmissionInterval is the time within which a request was admitted, with the tokens it used.
type AdmissionInterval struct {
	From   time.Duration
	To     time.Duration
	Tokens int64
}

// MaxExcessTokens returns the largest number of tokens beyond burst + rate × window over all windows. The caller of a router
// sees only that admission happened between sending and the first byte, so a window counts the requests whose whole
// span lies inside: an excess found is certain, and a small one may stay unseen.
func MaxExcessTokens(spans []AdmissionInterval, rateTokens, burstTokens int64) float64 {
	byEnd := append([]AdmissionInterval(nil), spans...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].To < byEnd[j].To })
	worst := 0.0
	for _, first := range spans {
		sum := 0.0
		for _, s := range byEnd {
			if s.From < first.From {
				continue
			}
			sum += float64(s.Tokens)
			window := (s.To - first.From).Seconds()
			worst = max(worst, sum-float64(burstTokens)-float64(rateTokens)*window)
		}
	}
	return worst
}
