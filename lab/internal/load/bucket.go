package load

import (
	"sort"
	"time"
)

// TokenBucket is the ideal token bucket of a customer, as if one admission controller served the whole fleet.
type TokenBucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Duration
}

// NewTokenBucket returns a bucket with a rate in tokens per second that has been filling for the given time; with 0 the
// bucket is full. Routers start with empty shares, so right after their start a full bucket would admit requests that no router
// can admit.
func NewTokenBucket(rateTokens, burstTokens int64, filled time.Duration) *TokenBucket {
	b := &TokenBucket{rate: float64(rateTokens), burst: float64(burstTokens), level: float64(burstTokens)}
	if filled > 0 {
		b.level = min(b.burst, b.rate*filled.Seconds())
	}
	return b
}

// Take charges the bucket and reports whether it held enough tokens; if not, nothing is charged. The time must not decrease
// between calls.
func (b *TokenBucket) Take(at time.Duration, charge int64) bool {
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.level < float64(charge) {
		return false
	}
	b.level -= float64(charge)
	return true
}

// AdmissionInterval is the time interval within which a request was admitted, with the tokens that the request used.
type AdmissionInterval struct {
	From   time.Duration
	To     time.Duration
	Tokens int64
}

// MaxExcessTokens returns the largest number of tokens beyond burst + rate × window over all time windows. A client only knows
// that admission happened between sending the request and receiving the first byte, so a window counts only requests whose
// whole interval lies inside it. A reported excess is therefore certain, but a small one may go undetected.
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
