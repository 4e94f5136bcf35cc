package forward

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/fault"
)

// histogramSampleSize is the number of values from which quantiles are estimated.
const histogramSampleSize = 1028

// histogramAlpha is the weight of new values in the sample, which is the default of the metrics library.
const histogramAlpha = 0.015

type requestMetrics struct {
	registry       metrics.Registry
	answered       metrics.Counter
	failedAttempts metrics.Counter
	// unconfirmedRefusals counts the answers with errUnconfirmedRefusal.
	unconfirmedRefusals metrics.Counter
	// rateAssumed counts the refusals by rate limits because of what silent instances were assumed to have admitted.
	rateAssumed metrics.Counter
	duration    metrics.Histogram
	firstEvent  metrics.Histogram
	slotWait    metrics.Histogram
	prefill     metrics.Histogram
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(histogramSampleSize, histogramAlpha))
	}
	return &requestMetrics{
		registry:            r,
		rateAssumed:         metrics.NewRegisteredCounter("requests.rate_limited_by_assumption", r),
		answered:            metrics.NewRegisteredCounter("requests.answered", r),
		failedAttempts:      metrics.NewRegisteredCounter("attempts.failed", r),
		unconfirmedRefusals: metrics.NewRegisteredCounter("attempts.unconfirmed_refusals", r),
		duration:            histogram("request.milliseconds"),
		firstEvent:          histogram("first_event.milliseconds"),
		slotWait:            histogram("place_wait.milliseconds"),
		prefill:             histogram("prefill.milliseconds"),
	}
}

// rateRefusal is a refusal by a customer's rate limit: the limit, what was left of it here, and what the request costs.
type rateRefusal struct {
	quota   *sharedlimit.Quota
	balance sharedlimit.Balance
	cost    int64
}

// recordRateRefusal records a refusal by the customer's rate limit for the log line of the request. It counts the refusals of requests that
// would have been admitted without the assumed shares of silent instances.
func (r *requestState) recordRateRefusal(q *sharedlimit.Quota) {
	r.rateRefusal = &rateRefusal{quota: q, balance: r.RateLimiter.Balance(q.Key), cost: r.cost}
	if balance := r.rateRefusal.balance; balance.Left+balance.Assumed >= float64(r.cost) {
		r.metrics.rateAssumed.Inc(1)
	}
}

// recordResult logs the end of the request and updates its metrics.
func (r *requestState) recordResult(err error) {
	took := r.SinceBoot() - r.req.Arrived
	entry := r.Logger.Info().Str("event", "request.ended").Str("request", r.req.Caller.RequestID)
	if r.route != nil {
		entry = entry.Str("route", r.route.Name).Uint64("config", r.table.Config.Version)
	}
	if r.customer != nil {
		entry = entry.Str("customer", r.customer.Name)
	}
	if refusal := r.rateRefusal; refusal != nil {
		entry = entry.Int64("cost", refusal.cost).Float64("rate", refusal.quota.RatePerSecond).Float64("burst", refusal.quota.Burst).
			Int64("left", int64(refusal.balance.Left)).Int64("assumed", int64(refusal.balance.Assumed))
	}
	if r.lastEndpoint != "" {
		entry = entry.Str("endpoint", r.lastEndpoint).Int("sends", r.sends).Int("attempts", r.attempts)
	}
	entry = entry.Int64("took_ms", took.Milliseconds())
	if r.service != nil && r.service.Engine != nil {
		entry = entry.Int64("prompt", r.demand().PromptTokens).Int64("output", r.demand().OutputTokens).Int64("expected", r.demand().ExpectedOutput).Int64("waited_ms", r.durations.slotWait.Milliseconds()).
			Int64("prefill_ms", r.durations.prefill.Milliseconds()).Int64("first_event_ms", r.durations.firstEvent.Milliseconds()).
			Int("events", r.eventCount).Int64("longest_pause_ms", r.durations.longestEventGap.Milliseconds())
		entry = entry.Bool("close_delimited", r.streamEnd.closeDelimited).Int("unfinished_bytes", r.streamEnd.unfinishedBytes)
		if late := r.lateness(); late != "" {
			entry = entry.Str("late", string(late))
		}
		r.metrics.slotWait.Update(r.durations.slotWait.Milliseconds())
		r.metrics.prefill.Update(r.durations.prefill.Milliseconds())
	}
	if err == nil {
		r.metrics.answered.Inc(1)
		r.metrics.duration.Update(took.Milliseconds())
		entry.Int("status", r.status).Msg("")
		return
	}
	kind := fault.As(err).Kind
	metrics.GetOrRegisterCounter("requests.refused;kind="+string(kind), r.metrics.registry).Inc(1)
	entry.Str("kind", string(kind)).Str("outcome", string(r.outcome())).Err(err).Msg("")
}

// lateCause is the reason why a stream was late.
type lateCause string

const (
	// lateRetry is the cause if the caller was refused before and the objective, counted from its first attempt, passed before
	// the first event.
	lateRetry      lateCause = "returned"
	lateFirstEvent lateCause = "first_event"
	lateEventGap   lateCause = "pause"
)

// lateness returns the reason why a stream was late. It is empty for streams that were on time or had no event.
func (r *requestState) lateness() lateCause {
	switch sinceArrival := r.durations.arrivalToFirstEvent; {
	case r.eventCount == 0:
		return ""
	case r.route.Objective > 0 && sinceArrival > r.route.Objective:
		return lateFirstEvent
	case r.route.Objective > 0 && sinceArrival+r.priorWait > r.route.Objective:
		return lateRetry
	case r.route.EventGap > 0 && r.durations.longestEventGap > r.route.EventGap:
		return lateEventGap
	default:
		return ""
	}
}

// recordFailure logs a failed attempt and counts it.
func (r *requestState) recordFailure(ep routing.Endpoint, err error) {
	r.metrics.failedAttempts.Inc(1)
	r.Logger.Info().Str("event", "attempt.failed").Str("request", r.req.Caller.RequestID).Str("endpoint", ep.ID).
		Str("stage", string(ep.Stage)).Bool("not_run", errors.Is(err, routing.ErrNotRun)).
		Int64("left_ms", r.timeLeft().Milliseconds()).Err(err).Msg("")
}
