package health_test

import (
	"fmt"
	"testing"

	"tanagerwood.dev/router/internal/domain/health"
)

// BenchmarkFailureRate measures the cost for one request of reading the failure rates of 34 endpoints, with reports of
// 75 other instances on all of them.
func BenchmarkFailureRate(b *testing.B) {
	t := health.NewTracker(func() int { return 76 })
	report := map[string]health.Outcomes{}
	var endpoints []string
	for i := range 34 {
		endpoints = append(endpoints, fmt.Sprint("e", i))
		report[endpoints[i]] = health.Outcomes{Failed: 1, Total: 4}
	}
	for i := range 75 {
		t.ApplyReport(fmt.Sprint("i", i), report, 0)
	}
	for b.Loop() {
		for _, e := range endpoints {
			t.FailureRate(e, 0)
		}
	}
}
