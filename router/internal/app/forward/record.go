package forward

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/fault"
)

// histogramSample is the number of values from which quantiles are estimated.
const histogramSample = 1028

// histogramAlpha weighs new values in the sample, as in the library's default.
const histogramAlpha = 0.015

type meters struct {
	registry   metrics.Registry
	answered   metrics.Counter
	failures   metrics.Counter
	total      metrics.Histogram
	firstEvent metrics.Histogram
	waited     metrics.Histogram
	prefill    metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(histogramSample, histogramAlpha))
	}
	return &meters{
		registry:   r,
		answered:   metrics.NewRegisteredCounter("requests.answered", r),
		failures:   metrics.NewRegisteredCounter("attempts.failed", r),
		total:      histogram("request.milliseconds"),
		firstEvent: histogram("first_event.milliseconds"),
		waited:     histogram("place_wait.milliseconds"),
		prefill:    histogram("prefill.milliseconds"),
	}
}

// record writes the request's line and its counters.
func (r *run) record(err error) {
	took := r.SinceBoot() - r.req.Arrived
	entry := r.Logger.Info().Str("event", "request.ended").Str("request", r.req.Caller.RequestID)
	if r.route != nil {
		entry = entry.Str("route", r.route.Name).Uint64("config", r.table.Config.Version)
	}
	if r.customer != nil {
		entry = entry.Str("customer", r.customer.Name)
	}
	if r.endpoint != "" {
		entry = entry.Str("endpoint", r.endpoint).Int("sends", r.sends).Int("attempts", r.attempts)
	}
	entry = entry.Int64("took_ms", took.Milliseconds())
	if r.service != nil && r.service.Engine != nil {
		entry = entry.Int64("prompt", r.demand().PromptTokens).Int64("output", r.demand().OutputTokens).Int64("expected", r.demand().ExpectedOutput).Int64("waited_ms", r.times.waited.Milliseconds()).
			Int64("prefill_ms", r.times.prefill.Milliseconds()).Int64("first_event_ms", r.times.firstEvent.Milliseconds()).
			Int("events", r.events).Int64("longest_pause_ms", r.times.longestPause.Milliseconds())
		if late := r.late(); late != "" {
			entry = entry.Str("late", string(late))
		}
		r.meters.waited.Update(r.times.waited.Milliseconds())
		r.meters.prefill.Update(r.times.prefill.Milliseconds())
	}
	if err == nil {
		r.meters.answered.Inc(1)
		r.meters.total.Update(took.Milliseconds())
		entry.Int("status", r.status).Msg("")
		return
	}
	kind := fault.As(err).Kind
	metrics.GetOrRegisterCounter("requests.refused;kind="+string(kind), r.meters.registry).Inc(1)
	entry.Str("kind", string(kind)).Str("outcome", string(r.outcome())).Err(err).Msg("")
}

// lateness is why a stream was not on time.
type lateness string

const (
	// returned streams are those of callers that were refused before, and whose objective had passed when the first event came.
	returned   lateness = "returned"
	firstEvent lateness = "first_event"
	pause      lateness = "pause"
)

// late tells why a stream was not on time; it is empty for those that were, or that had no event.
func (r *run) late() lateness {
	switch until := r.times.untilFirst; {
	case r.events == 0:
		return ""
	case r.route.Objective > 0 && until > r.route.Objective:
		return firstEvent
	case r.route.Objective > 0 && until+r.waitedBefore > r.route.Objective:
		return returned
	case r.route.EventGap > 0 && r.times.longestPause > r.route.EventGap:
		return pause
	default:
		return ""
	}
}

// recordFailure writes a line for a failed attempt.
func (r *run) recordFailure(ep routing.Endpoint, err error) {
	r.meters.failures.Inc(1)
	r.Logger.Info().Str("event", "attempt.failed").Str("request", r.req.Caller.RequestID).Str("endpoint", ep.ID).
		Str("stage", string(ep.Stage)).Bool("not_run", errors.Is(err, routing.ErrNotRun)).
		Int64("left_ms", r.timeLeft().Milliseconds()).Err(err).Msg("")
}
