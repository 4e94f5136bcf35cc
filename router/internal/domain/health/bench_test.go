package health_test

import (
	"fmt"
	"testing"

	"tanagerwood.dev/router/internal/domain/health"
)

// BenchmarkFailureRate is the choice among 34 endpoints of which all 75 other instances have told: what a request pays.
func BenchmarkFailureRate(b *testing.B) {
	t := health.NewTracker(func() int { return 76 })
	told := map[string]health.Outcomes{}
	var endpoints []string
	for i := range 34 {
		endpoints = append(endpoints, fmt.Sprint("e", i))
		told[endpoints[i]] = health.Outcomes{Failed: 1, Total: 4}
	}
	for i := range 75 {
		t.ApplyReport(fmt.Sprint("i", i), told, 0)
	}
	for b.Loop() {
		for _, e := range endpoints {
			t.FailureRate(e, 0)
		}
	}
}
