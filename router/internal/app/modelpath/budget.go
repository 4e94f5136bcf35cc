package modelpath

import "sync/atomic"

const (
	// defaultRetryPercent is the maximum ratio of retries to requests, in percent.
	defaultRetryPercent = 10
	// retryCost is the cost of one retry. Balances are in hundredths of a retry.
	retryCost = 100
	// initialRetryBalance lets an instance with little traffic make a few retries. maxRetryBalance limits how many retries can
	// accumulate during low traffic, which would otherwise allow a retry storm.
	initialRetryBalance = 10 * retryCost
	maxRetryBalance     = 50 * retryCost
)

// retryBudget limits retries to a share of the requests, so that retries cannot multiply an overload.
type retryBudget struct{ balance atomic.Int64 }

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.balance.Store(initialRetryBalance)
	return b
}

// deposit adds the share of one request to the balance.
func (b *retryBudget) deposit(percent int) {
	if percent == 0 {
		percent = defaultRetryPercent
	}
	for {
		level := b.balance.Load()
		next := min(level+int64(percent), maxRetryBalance)
		if next == level || b.balance.CompareAndSwap(level, next) {
			return
		}
	}
}

// withdraw takes one retry out of the budget and reports whether the balance was sufficient.
func (b *retryBudget) withdraw() bool {
	for {
		level := b.balance.Load()
		if level < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(level, level-retryCost) {
			return true
		}
	}
}
