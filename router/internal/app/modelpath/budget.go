package modelpath

import "sync/atomic"

const (
	// defaultRetryPercent bounds repeated attempts to this part of the requests.
	defaultRetryPercent = 10
	// retryCost is one attempt in the budget's unit, hundredths.
	retryCost = 100
	// retryReserve lets an instance with little traffic repeat a few attempts; retryCap keeps a long quiet time from
	// paying for a storm of repeats.
	retryReserve = 10 * retryCost
	retryCap     = 50 * retryCost
)

// retryBudget bounds repeated attempts to a part of the requests, so that repeats cannot multiply an overload.
type retryBudget struct{ level atomic.Int64 }

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.level.Store(retryReserve)
	return b
}

// deposit counts a request.
func (b *retryBudget) deposit(percent int) {
	if percent == 0 {
		percent = defaultRetryPercent
	}
	for {
		level := b.level.Load()
		next := min(level+int64(percent), retryCap)
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// withdraw takes one repeated attempt out of the budget, if there is one.
func (b *retryBudget) withdraw() bool {
	for {
		level := b.level.Load()
		if level < retryCost {
			return false
		}
		if b.level.CompareAndSwap(level, level-retryCost) {
			return true
		}
	}
}
