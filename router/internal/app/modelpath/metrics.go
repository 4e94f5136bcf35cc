package modelpath

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/router/internal/fault"
)

// Names of the metrics. The kind of refusal is appended to MetricRefusedPrefix.
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
	// MetricAddedLatency is the part of the time to first token that is neither queueing nor spent in engines, in µs.
	MetricAddedLatency = "model.first_token_added_us"

	// sampleSize and sampleAlpha are the values of the timers in go-metrics: 99.9% confidence, biased to the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

type handlerMetrics struct {
	registry                                                 metrics.Registry
	requests, answered, attempts, retries, droppedChunks     metrics.Counter
	prefillTokens, wastedPrefillTokens, outputTokens         metrics.Counter
	queueTime, admissionTime, timeToFirstToken, addedLatency metrics.Histogram
}

func newHandlerMetrics(r metrics.Registry, open *InflightRegistry) *handlerMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	metrics.NewRegisteredFunctionalGauge(MetricOpenRequests, r, open.open.Load)
	return &handlerMetrics{
		registry:            r,
		requests:            metrics.GetOrRegisterCounter(MetricRequests, r),
		answered:            metrics.GetOrRegisterCounter(MetricAnswered, r),
		attempts:            metrics.GetOrRegisterCounter(MetricAttempts, r),
		retries:             metrics.GetOrRegisterCounter(MetricRetries, r),
		droppedChunks:       metrics.GetOrRegisterCounter(MetricDroppedChunks, r),
		prefillTokens:       metrics.GetOrRegisterCounter(MetricPrefillTokens, r),
		wastedPrefillTokens: metrics.GetOrRegisterCounter(MetricWastedPrefillTokens, r),
		outputTokens:        metrics.GetOrRegisterCounter(MetricOutputTokens, r),
		queueTime:           histogram(MetricQueueTime),
		admissionTime:       histogram(MetricAdmissionTime),
		timeToFirstToken:    histogram(MetricTimeToFirstToken),
		addedLatency:        histogram(MetricAddedLatency),
	}
}

func (m *handlerMetrics) countRefusal(kind fault.Kind) {
	metrics.GetOrRegisterCounter(MetricRefusedPrefix+string(kind), m.registry).Inc(1)
}

func (m *handlerMetrics) observeFirstToken(total, queued, engines time.Duration) {
	m.timeToFirstToken.Update(total.Milliseconds())
	m.addedLatency.Update((total - queued - engines).Microseconds())
}
