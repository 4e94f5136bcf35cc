package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms record microseconds from 1 µs to 10 min with three significant figures.
const (
	histogramMin     = 1
	histogramMax     = int64(10 * time.Minute / time.Microsecond)
	histogramFigures = 3
)

// Latency summarizes a histogram and carries the encoded histogram, so that results can be merged.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"meanMs"`
	P50MS  float64 `json:"p50Ms"`
	P95MS  float64 `json:"p95Ms"`
	P99MS  float64 `json:"p99Ms"`
	MaxMS  float64 `json:"maxMs"`
	// Histogram is the HdrHistogram V2 encoding, compressed, in base64.
	Histogram []byte `json:"histogram,omitempty"`
}

// NewHistogram returns an empty histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramFigures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// Summarize returns the summary of a histogram.
func Summarize(h *hdrhistogram.Histogram) (Latency, error) {
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return Latency{}, fmt.Errorf("encode histogram: %w", err)
	}
	if h.TotalCount() == 0 {
		return Latency{Histogram: encoded}, nil
	}
	return Latency{
		Count:     h.TotalCount(),
		MeanMS:    h.Mean() / 1000,
		P50MS:     float64(h.ValueAtPercentile(50)) / 1000,
		P95MS:     float64(h.ValueAtPercentile(95)) / 1000,
		P99MS:     float64(h.ValueAtPercentile(99)) / 1000,
		MaxMS:     float64(h.Max()) / 1000,
		Histogram: encoded,
	}, nil
}

// MergeLatencies merges the histograms of all parts and returns the summary of the result.
func MergeLatencies(parts []Latency) (Latency, error) {
	all := NewHistogram()
	for _, p := range parts {
		if len(p.Histogram) == 0 {
			continue
		}
		h, err := hdrhistogram.Decode(p.Histogram)
		if err != nil {
			return Latency{}, fmt.Errorf("decode histogram: %w", err)
		}
		if dropped := all.Merge(h); dropped > 0 {
			return Latency{}, fmt.Errorf("merge histogram: %d values out of range", dropped)
		}
	}
	return Summarize(all)
}
