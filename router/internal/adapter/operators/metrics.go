package operators

import (
	"io"
	"regexp"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "tanagerwood_"

var (
	invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)
	quantiles        = []float64{0.5, 0.9, 0.95, 0.99}
)

// WriteMetrics writes the metrics of a registry in the Prometheus text format and returns the content type. A metric's
// name may contain labels, as in "quota.admitted;customer=kedai"; metrics that differ only in labels form one family.
func WriteMetrics(w io.Writer, r metrics.Registry) (string, error) {
	families := make(map[string]*dto.MetricFamily)
	r.Each(func(name string, metric any) {
		base, labels := splitName(name)
		kind, m := convert(metric)
		if m == nil {
			return
		}
		m.Label = labels
		key := metricPrefix + invalidNameChars.ReplaceAllString(base, "_")
		if kind == dto.MetricType_COUNTER && !strings.HasSuffix(key, "_total") {
			key += "_total"
		}
		family := families[key]
		if family == nil {
			family = &dto.MetricFamily{Name: &key, Type: &kind}
			families[key] = family
		}
		if family.GetType() == kind { // the format allows only one type per family
			family.Metric = append(family.Metric, m)
		}
	})
	return encodeFamilies(w, families)
}

func encodeFamilies(w io.Writer, families map[string]*dto.MetricFamily) (string, error) {
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	sort.Strings(names)
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	out := expfmt.NewEncoder(w, format)
	for _, name := range names {
		if err := out.Encode(families[name]); err != nil {
			return "", err
		}
	}
	return string(format), nil
}

func splitName(name string) (string, []*dto.LabelPair) {
	base, rest, _ := strings.Cut(name, ";")
	var labels []*dto.LabelPair
	for _, part := range strings.Split(rest, ";") {
		if label, value, ok := strings.Cut(part, "="); ok {
			label = invalidNameChars.ReplaceAllString(label, "_")
			labels = append(labels, &dto.LabelPair{Name: &label, Value: &value})
		}
	}
	return base, labels
}

// convert converts a go-metrics metric. It returns nil for types of metrics that the router does not use.
func convert(metric any) (dto.MetricType, *dto.Metric) {
	switch m := metric.(type) {
	case metrics.Counter:
		return counter(float64(m.Count()))
	case metrics.Meter:
		return counter(float64(m.Count()))
	case metrics.Gauge:
		return gauge(float64(m.Value()))
	case metrics.GaugeFloat64:
		return gauge(m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(s.Count(), s.Mean(), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		return summary(s.Count(), s.Mean(), s.Percentiles(quantiles))
	}
	return dto.MetricType_UNTYPED, nil
}

func counter(v float64) (dto.MetricType, *dto.Metric) {
	return dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: &v}}
}

func gauge(v float64) (dto.MetricType, *dto.Metric) {
	return dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &v}}
}

// summary estimates the sum from the mean of the sample, because go-metrics keeps no exact sum of all values.
func summary(count int64, mean float64, values []float64) (dto.MetricType, *dto.Metric) {
	samples := uint64(count)
	sum := mean * float64(count)
	s := &dto.Summary{SampleCount: &samples, SampleSum: &sum}
	for i := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &values[i]})
	}
	return dto.MetricType_SUMMARY, &dto.Metric{Summary: s}
}
