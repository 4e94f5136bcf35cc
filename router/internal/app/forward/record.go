package forward

import (
	"errors"
	"sync"
	"time"

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
	took := r.Boot() - r.req.Arrived
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
			Int64("prefill_ms", r.times.prefill.Milliseconds()).Int64("first_event_ms", r.times.firstEvent.Milliseconds())
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

// recordFailure writes a line for a failed attempt.
func (r *run) recordFailure(ep routing.Endpoint, err error) {
	r.meters.failures.Inc(1)
	r.Logger.Info().Str("event", "attempt.failed").Str("request", r.req.Caller.RequestID).Str("endpoint", ep.ID).
		Str("stage", string(ep.Stage)).Bool("not_run", errors.Is(err, routing.ErrNotRun)).
		Int64("left_ms", r.timeLeft().Milliseconds()).Err(err).Msg("")
}

// patienceByRoute remembers the longest patience of the callers of each route.
type patienceByRoute struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// waitedBefore estimates how long a caller has waited before this request: callers that come back after a refusal have
// less time left than they began with.
func (p *patienceByRoute) waitedBefore(route string, patience time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = map[string]time.Duration{}
	}
	p.longest[route] = max(p.longest[route], patience)
	if patience == 0 {
		return 0
	}
	return p.longest[route] - patience
}
