package retrydetect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerwood.dev/router/internal/domain/retrydetect"
)

// Guards against first attempts that are mistaken for retries because their timeouts are shorter than those of others: they
// would be refused as late although they can be on time.
func TestDistinguishesRetriesFromFirstAttempts(t *testing.T) {
	for _, spread := range []float64{0, 0.15, 0.4} {
		t.Run(fmt.Sprint(spread), func(t *testing.T) {
			const longest = 14 * time.Second
			detector := retrydetect.New()
			random := rand.New(rand.NewPCG(1, 2))
			firstAttempt := func() time.Duration { return time.Duration((1 - spread*random.Float64()) * float64(longest)) }
			now, falseRetries, missedRetries := time.Duration(0), 0, 0
			for range 200 {
				now += 500 * time.Millisecond
				if waited := detector.PriorWait("m", fmt.Sprint("r", random.IntN(3)), firstAttempt(), now); waited > 900*time.Millisecond {
					falseRetries++
				}
			}
			// From here on, one caller in three retries after a refusal.
			const refusals = 100
			for range refusals {
				now += 100 * time.Millisecond
				detector.RecordRefusal("m", now)
				if waited := detector.PriorWait("m", "r0", firstAttempt(), now); waited > 900*time.Millisecond {
					falseRetries++
				}
				detector.PriorWait("m", "r1", firstAttempt(), now)
				retry := time.Duration((1-spread)*float64(longest)) - 3*time.Second
				if detector.PriorWait("m", "r2", retry, now) < 900*time.Millisecond {
					missedRetries++
				}
			}
			if falseRetries > 3 || missedRetries > 0 {
				t.Errorf("%d first attempts were taken for retries, %d of %d retries for first attempts", falseRetries, missedRetries, refusals)
			}
		})
	}
}

// Guards against wrong estimates for callers that declare no timeout and for the first callers of a service.
func TestNoEstimateWithoutSamples(t *testing.T) {
	p := retrydetect.New()
	if p.PriorWait("m", "r", 0, 0) != 0 || p.PriorWait("m", "r", 14*time.Second, 0) != 0 || p.PriorWait("m", "r", 9*time.Second, 0) != 0 {
		t.Error("a caller without samples to compare with counts as retrying")
	}
}

// Guards against one caller with an extreme timeout, by whose measure all others of its route would have waited for hours.
func TestOneExtremeTimeoutSaysNothingOfOthers(t *testing.T) {
	const usual, extreme = 14 * time.Second, 24 * time.Hour
	d := retrydetect.New()
	now := time.Duration(0)
	for range 100 {
		now += 100 * time.Millisecond
		d.PriorWait("m", "r", usual, now)
	}
	d.RecordRefusal("m", now)
	d.PriorWait("m", "r", extreme, now)
	for range 100 {
		now += 100 * time.Millisecond
		if waited := d.PriorWait("m", "r", usual, now); waited > time.Second {
			t.Fatalf("a first attempt counts as having waited for %v", waited)
		}
		if waited := d.PriorWait("m", "r", usual-5*time.Second, now); waited < 3*time.Second || waited > 6*time.Second {
			t.Fatalf("a caller that has waited for 5 s counts as having waited for %v", waited)
		}
	}
}

// Guards against a route whose callers have come to declare shorter timeouts, and all count as retrying from then on.
func TestFollowsShorterTimeouts(t *testing.T) {
	d := retrydetect.New()
	now := time.Duration(0)
	for range 1000 {
		now += 100 * time.Millisecond
		d.PriorWait("m", "r", 60*time.Second, now)
	}
	var last time.Duration
	for n := range 6000 { // ten minutes, with a refusal every 10 s
		now += 100 * time.Millisecond
		if n%100 == 0 {
			d.RecordRefusal("m", now)
		}
		last = d.PriorWait("m", "r", 6*time.Second, now)
	}
	if last > time.Second {
		t.Errorf("a first attempt counts as having waited for %v", last)
	}
}
