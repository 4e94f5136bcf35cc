package quotasync_test

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"tanagerwood.dev/router/internal/domain/quota"
)

// request is one request of the load and what became of it.
type request struct {
	customer       string
	arrived, ended time.Duration // ended is the time of admission or refusal
	charged, used  int64
	settled        time.Duration
	admitted       bool
	confirmed      bool // false if the refusal says that the instance is not confirmed
}

// recorder collects the requests of all instances.
type recorder struct {
	mu       sync.Mutex
	requests []request
}

func (r *recorder) add(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *recorder) of(customer string) []request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own []request
	for _, q := range r.requests {
		if q.customer == customer {
			own = append(own, q)
		}
	}
	slices.SortFunc(own, func(a, b request) int { return cmp.Compare(a.ended, b.ended) })
	return own
}

// rounding is far below one token and far above what accrual in floating point can add up to.
const rounding = 1e-3

// checkBound replays the admissions by true tokens at their admission times. A bucket that starts full and never goes
// below zero is the same as: every window holds at most burst + rate x window. since drops earlier admissions.
func checkBound(requests []request, l quota.Limits, since time.Duration) error {
	level, at := float64(l.Burst), since
	for _, q := range requests {
		if !q.admitted || q.ended < since {
			continue
		}
		level = min(float64(l.Burst), level+float64(l.Rate)*(q.ended-at).Seconds())
		at = q.ended
		level -= float64(q.used)
		if level < -rounding {
			return fmt.Errorf("a window that ends at %v admitted %.3f tokens more than burst + rate x window", q.ended, -level)
		}
	}
	return nil
}

// wrongful counts the requests that arrived in a period, those of them that were refused, and those that were refused
// although one ideal bucket for the whole fleet, with the same admissions, charges and settlements, had their tokens when
// they arrived or when they were refused.
func wrongful(requests []request, l quota.Limits, from, to time.Duration) (total, refused, wrong int) {
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
			steps = append(steps, step{q.ended, func() {
				c, _ = ideal.Commit(q.ended, ideal.Hold(q.ended, q.charged))
				ideal.ChargeExcess(q.ended, q.charged-c.Tokens())
			}}, step{max(q.settled, q.ended), func() { ideal.Refund(max(q.settled, q.ended), c, q.charged-q.used) }})
		}
		if q.arrived < from || q.arrived >= to {
			continue
		}
		total++
		if q.admitted {
			continue
		}
		refused++
		counted := false
		look := func(at time.Duration) func() {
			return func() {
				if !counted && ideal.Level(at) >= q.charged {
					counted = true
					wrong++
				}
			}
		}
		steps = append(steps, step{q.arrived, look(q.arrived)}, step{q.ended, look(q.ended)})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		s.do()
	}
	return total, refused, wrong
}

func middle(all []float64) float64 {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}
