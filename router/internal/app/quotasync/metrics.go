package quotasync

import "github.com/rcrowley/go-metrics"

type counters struct {
	admittedRequests, admittedTokens, settledTokens, refundedTokens, debtTokens metrics.Counter
	refused, overLimit, notConfirmed, tokenWaits, refusedByEstimate             metrics.Counter
	loansAsked, loansFailed, loansReturned, loanDoneFailed                      metrics.Counter
	loansGiven, lentTokens, borrowedTokens                                      metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quota."+name, r) }
	return counters{
		admittedRequests:  counter("admitted_requests"),
		admittedTokens:    counter("admitted_tokens"),
		settledTokens:     counter("settled_tokens"),
		refundedTokens:    counter("refunded_tokens"),
		debtTokens:        counter("debt_tokens"),
		refused:           counter("refused"),
		overLimit:         counter("over_limit"),
		notConfirmed:      counter("not_confirmed"),
		tokenWaits:        counter("waits"),
		refusedByEstimate: counter("refused_by_forecast"),
		loansAsked:        counter("loans_asked"),
		loansFailed:       counter("loans_failed"),
		loansReturned:     counter("loans_returned"),
		loanDoneFailed:    counter("loan_done_failed"),
		loansGiven:        counter("loans_given"),
		lentTokens:        counter("lent_tokens"),
		borrowedTokens:    counter("borrowed_tokens"),
	}
}

func (c *counters) recordAdmitted(tokens int64) {
	c.admittedRequests.Inc(1)
	c.admittedTokens.Inc(tokens)
}
