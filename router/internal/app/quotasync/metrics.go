package quotasync

import "github.com/rcrowley/go-metrics"

type counters struct {
	admittedRequests, admittedTokens, settled, refunded, debt metrics.Counter
	refused, overLimit, notConfirmed, waits, forecasts        metrics.Counter
	loansAsked, loansFailed, loansReturned, loanDoneFailed    metrics.Counter
	loansGiven, lentTokens, borrowed                          metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quota."+name, r) }
	return counters{
		admittedRequests: counter("admitted_requests"),
		admittedTokens:   counter("admitted_tokens"),
		settled:          counter("settled_tokens"),
		refunded:         counter("refunded_tokens"),
		debt:             counter("debt_tokens"),
		refused:          counter("refused"),
		overLimit:        counter("over_limit"),
		notConfirmed:     counter("not_confirmed"),
		waits:            counter("waits"),
		forecasts:        counter("refused_by_forecast"),
		loansAsked:       counter("loans_asked"),
		loansFailed:      counter("loans_failed"),
		loansReturned:    counter("loans_returned"),
		loanDoneFailed:   counter("loan_done_failed"),
		loansGiven:       counter("loans_given"),
		lentTokens:       counter("lent_tokens"),
		borrowed:         counter("borrowed_tokens"),
	}
}

func (c *counters) admitted(tokens int64) {
	c.admittedRequests.Inc(1)
	c.admittedTokens.Inc(tokens)
}
