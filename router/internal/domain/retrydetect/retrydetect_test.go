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
