package quotasync_test

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"tanagerwood.dev/router/internal/domain/quota"
)

// requestRecord is one request of the load with its outcome.
type requestRecord struct {
	customer                  string
	arrivedAt, decidedAt      time.Duration // decidedAt is the time of admission or refusal
	chargedTokens, usedTokens int64
	settledAt                 time.Duration
	admitted                  bool
	confirmed                 bool // false if it was refused because the instance is not confirmed
}

// recorder collects the requests of all instances.
type recorder struct {
	mu       sync.Mutex
	requests []requestRecord
}

func (r *recorder) add(q requestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *recorder) customerRequests(customer string) []requestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []requestRecord
	for _, q := range r.requests {
		if q.customer == customer {
			found = append(found, q)
		}
	}
	slices.SortFunc(found, func(a, b requestRecord) int { return cmp.Compare(a.decidedAt, b.decidedAt) })
	return found
}

// roundingTolerance is in tokens. It is far below one token and far above the rounding errors of accrual.
const roundingTolerance = 1e-3

// checkBound checks that the tokens used by admitted requests in any time window are at most burst + rate x window. It
// replays the admissions on a bucket that starts full: the bound holds if the level never falls below zero. Admissions
// before since are ignored.
func checkBound(requests []requestRecord, l quota.Limits, since time.Duration) error {
	level, at := float64(l.Burst), since
	for _, q := range requests {
		if !q.admitted || q.decidedAt < since {
			continue
		}
		level = min(float64(l.Burst), level+float64(l.Rate)*(q.decidedAt-at).Seconds())
		at = q.decidedAt
		level -= float64(q.usedTokens)
		if level < -roundingTolerance {
			return fmt.Errorf("a window that ends at %v admitted %.3f tokens more than burst + rate x window", q.decidedAt, -level)
		}
	}
	return nil
}

// countWrongful counts the requests that arrived in a period, the refused ones, and the wrongful refusals among these. A
// refusal is wrongful if an ideal bucket for the whole fleet, with the same admissions, charges and settlements, had the
// tokens of the request when it arrived or when it was refused.
func countWrongful(requests []requestRecord, l quota.Limits, from, to time.Duration) (total, refused, wrongful int) {
	type step struct {
		at time.Duration
		do func()
	}
	ideal := quota.NewBucket(-time.Hour)
	ideal.SetShare(-time.Hour, quota.Share{Rate: float64(l.Rate), Burst: float64(l.Burst)})
	var steps []step
	for _, q := range requests {
		if q.admitted {
			var c quota.Charge
			steps = append(steps, step{q.decidedAt, func() {
				c, _ = ideal.Commit(q.decidedAt, ideal.Hold(q.decidedAt, q.chargedTokens))
				ideal.ChargeExcess(q.decidedAt, q.chargedTokens-c.Tokens())
			}}, step{max(q.settledAt, q.decidedAt), func() { ideal.Refund(max(q.settledAt, q.decidedAt), c, q.chargedTokens-q.usedTokens) }})
		}
		if q.arrivedAt < from || q.arrivedAt >= to {
			continue
		}
		total++
		if q.admitted {
			continue
		}
		refused++
		counted := false
		checkLevel := func(at time.Duration) func() {
			return func() {
				if !counted && ideal.Level(at) >= q.chargedTokens {
					counted = true
					wrongful++
				}
			}
		}
		steps = append(steps, step{q.arrivedAt, checkLevel(q.arrivedAt)}, step{q.decidedAt, checkLevel(q.decidedAt)})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		s.do()
	}
	return total, refused, wrongful
}

func medianOf(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
