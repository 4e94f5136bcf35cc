package modelpath

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/router/internal/fault"
)

// Names of the metrics; refusals have the kind appended.
const (
	MetricRequests            = "model.requests"
	MetricAnswered            = "model.answered"
	MetricOpenRequests        = "model.open"
	MetricAttempts            = "model.attempts"
	MetricRetries             = "model.retries"
	MetricRefusedPrefix       = "model.refused."
	MetricDroppedChunks       = "model.chunks_dropped"
	MetricPrefillTokens       = "model.prefill_tokens"
	MetricWastedPrefillTokens = "model.prefill_tokens_wasted"
	MetricOutputTokens        = "model.output_tokens"
	MetricQueueTime           = "model.queue_ms"
	MetricAdmissionTime       = "model.admit_ms"
	MetricTimeToFirstToken    = "model.first_token_ms"
	// MetricAddedLatency is the part of the time to first token that is neither queueing nor the engines', in µs.
	MetricAddedLatency = "model.first_token_added_us"

	// sampleSize and sampleAlpha are those of go-metrics' own timers: 99.9% confidence, biased to the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

type meters struct {
	registry                                            metrics.Registry
	requests, answered, attempts, retries, dropped      metrics.Counter
	prefillTokens, wastedPrefill, outputTokens          metrics.Counter
	queueTime, admitTime, firstTokenTime, addedByRouter metrics.Histogram
}

func newMeters(r metrics.Registry, open *InflightRegistry) *meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	metrics.NewRegisteredFunctionalGauge(MetricOpenRequests, r, open.open.Load)
	return &meters{
		registry:       r,
		requests:       metrics.GetOrRegisterCounter(MetricRequests, r),
		answered:       metrics.GetOrRegisterCounter(MetricAnswered, r),
		attempts:       metrics.GetOrRegisterCounter(MetricAttempts, r),
		retries:        metrics.GetOrRegisterCounter(MetricRetries, r),
		dropped:        metrics.GetOrRegisterCounter(MetricDroppedChunks, r),
		prefillTokens:  metrics.GetOrRegisterCounter(MetricPrefillTokens, r),
		wastedPrefill:  metrics.GetOrRegisterCounter(MetricWastedPrefillTokens, r),
		outputTokens:   metrics.GetOrRegisterCounter(MetricOutputTokens, r),
		queueTime:      histogram(MetricQueueTime),
		admitTime:      histogram(MetricAdmissionTime),
		firstTokenTime: histogram(MetricTimeToFirstToken),
		addedByRouter:  histogram(MetricAddedLatency),
	}
}

func (m *meters) refused(kind fault.Kind) {
	metrics.GetOrRegisterCounter(MetricRefusedPrefix+string(kind), m.registry).Inc(1)
}

func (m *meters) firstToken(total, queued, engines time.Duration) {
	m.firstTokenTime.Update(total.Milliseconds())
	m.addedByRouter.Update((total - queued - engines).Microseconds())
}
