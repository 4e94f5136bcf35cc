package retrydetect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerwood.dev/router/internal/domain/retrydetect"
)

// Guards against fresh callers with less patience than others that are taken for ones that come back, and refused as late
// although they can be on time.
func TestTellsReturnsFromFreshCallers(t *testing.T) {
	for _, spread := range []float64{0, 0.15, 0.4} {
		t.Run(fmt.Sprint(spread), func(t *testing.T) {
			const longest = 14 * time.Second
			p := retrydetect.New()
			random := rand.New(rand.NewPCG(1, 2))
			fresh := func() time.Duration { return time.Duration((1 - spread*random.Float64()) * float64(longest)) }
			now, wrong, missed := time.Duration(0), 0, 0
			for range 200 {
				now += 500 * time.Millisecond
				if waited := p.PriorWait("m", fmt.Sprint("r", random.IntN(3)), fresh(), now); waited > 900*time.Millisecond {
					wrong++
				}
			}
			// From here on a third comes back after a refusal.
			const refusals = 100
			for range refusals {
				now += 100 * time.Millisecond
				p.RecordRefusal("m", now)
				if waited := p.PriorWait("m", "r0", fresh(), now); waited > 900*time.Millisecond {
					wrong++
				}
				p.PriorWait("m", "r1", fresh(), now)
				back := time.Duration((1-spread)*float64(longest)) - 3*time.Second
				if p.PriorWait("m", "r2", back, now) < 900*time.Millisecond {
					missed++
				}
			}
			if wrong > 3 || missed > 0 {
				t.Errorf("%d fresh callers were taken for returns, %d of %d returns for fresh callers", wrong, missed, refusals)
			}
		})
	}
}

// Guards against callers that name no patience, and the first callers of a service.
func TestKnowsNothingAtFirst(t *testing.T) {
	p := retrydetect.New()
	if p.PriorWait("m", "r", 0, 0) != 0 || p.PriorWait("m", "r", 14*time.Second, 0) != 0 || p.PriorWait("m", "r", 9*time.Second, 0) != 0 {
		t.Error("a caller counts as waiting before anything is known")
	}
}
