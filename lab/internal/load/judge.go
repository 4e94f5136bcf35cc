package load

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// metricsAccumulator aggregates the records of one customer, or of all customers.
type metricsAccumulator struct {
	metrics  TrafficMetrics
	first    *hdrhistogram.Histogram
	interval *hdrhistogram.Histogram
	refusals map[FailureCount]int64
	// goodTokens and demand count output tokens of requests after the warm-up.
	goodTokens int64
	demand     int64
	// admitted and ideal count the tokens that the fleet and the ideal bucket admitted.
	admitted int64
	ideal    int64
}

func newMetricsAccumulator(customer string) *metricsAccumulator {
	return &metricsAccumulator{
		metrics:  TrafficMetrics{Customer: customer},
		first:    NewHistogram(),
		interval: NewHistogram(),
		refusals: make(map[FailureCount]int64),
	}
}

func (t *metricsAccumulator) add(r Record, targets LatencyTargets, inside bool) {
	f := &t.metrics
	f.Offered++
	if inside {
		f.InsideRate++
		t.demand += r.OutputTokens
		t.ideal += r.Charge
	}
	if r.Code != codeRateLimit && r.Code != CodeNotSent {
		t.admitted += r.Charge
	}
	if r.First > 0 {
		record(t.first, r.FirstToken())
	}
	if r.Interval > 0 {
		record(t.interval, r.Interval)
	}
	switch {
	case r.Complete && r.Correct:
		f.Answered++
	case r.Complete:
		f.Wrong++
	case r.Tokens > 0:
		f.Cut++
	}
	if r.CountsAsGoodput(targets) {
		f.Good++
		t.goodTokens += r.OutputTokens
	}
	t.addRefusal(r, inside)
}

func (t *metricsAccumulator) addRefusal(r Record, inside bool) {
	if r.Complete && r.Correct {
		return
	}
	t.refusals[FailureCount{Status: r.Status, Code: r.Code, Outcome: string(r.Outcome)}]++
	if r.Code == CodeNotSent {
		t.metrics.NotSent++
	}
	if !inside || !r.Refused() || r.Code == CodeNotSent {
		return
	}
	t.metrics.RefusedInside++
	if r.Code == codeRateLimit {
		t.metrics.Wrongful++
	}
}

func (t *metricsAccumulator) finish(seconds float64) (TrafficMetrics, error) {
	var err error
	f := t.metrics
	f.Refusals = listRefusals(t.refusals)
	f.AdmittedOverIdeal = fraction(t.admitted, t.ideal)
	f.GoodPerSecond = float64(f.Good) / seconds
	f.GoodTokensPerSecond = float64(t.goodTokens) / seconds
	if f.FirstToken, err = Summarize(t.first); err != nil {
		return f, err
	}
	f.Interval, err = Summarize(t.interval)
	return f, err
}

func listRefusals(counts map[FailureCount]int64) []FailureCount {
	list := make([]FailureCount, 0, len(counts))
	for r, n := range counts {
		r.Count = n
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.Code+a.Outcome < b.Code+b.Outcome
	})
	return list
}

// Evaluate computes the result of a run from its records. override replaces the catalogue's latency targets unless
// it is zero.
func Evaluate(s Scenario, index *CatalogueIndex, records []Record, override LatencyTargets) (Result, error) {
	seconds := (s.Duration() - s.Warmup()).Seconds()
	result := Result{Scenario: s.Name, Policy: s.Policy, Seed: s.Seed, LoadFraction: s.LoadFraction, CountedSeconds: seconds}
	inside := AdmittedByIdealBucket(s, index, records)
	all := newMetricsAccumulator("")
	accumulators := make([]*metricsAccumulator, len(s.Mixes))
	for i, m := range s.Mixes {
		accumulators[i] = newMetricsAccumulator(m.Customer)
	}
	for i, r := range records {
		result.Requests++
		result.Tokens += r.Tokens
		if r.Service >= 0 || r.At < s.Warmup() {
			continue
		}
		targets := override
		if targets == (LatencyTargets{}) {
			targets = index.LatencyTargets(s.Mixes[r.Mix].Model)
		}
		accumulators[r.Mix].add(r, targets, inside[i])
		all.add(r, targets, inside[i])
	}
	entitled := entitlements(s, index, accumulators, seconds)
	var err error
	if result.Overall, err = all.finish(seconds); err != nil {
		return result, err
	}
	for i, t := range accumulators {
		f, err := t.finish(seconds)
		if err != nil {
			return result, err
		}
		f.setEntitlement(entitled[i])
		f.ExcessTokens = customerExcess(s, index, records, i)
		result.Overall.ExcessTokens = max(result.Overall.ExcessTokens, f.ExcessTokens)
		result.Overall.EntitledTokensPerSecond += f.EntitledTokensPerSecond
		result.Customers = append(result.Customers, f)
	}
	result.Overall.setEntitlement(result.Overall.EntitledTokensPerSecond)
	result.Worst = worstServed(result.Customers, func(int) bool { return true })
	result.WorstInside = worstServed(result.Customers, func(i int) bool { return s.Mixes[i].RateMultiple <= 1 })
	result.Services = countServiceCalls(s, records)
	return result, nil
}

func (f *TrafficMetrics) setEntitlement(tokensPerSecond float64) {
	f.EntitledTokensPerSecond = tokensPerSecond
	if tokensPerSecond > 0 {
		f.GoodOverEntitled = f.GoodTokensPerSecond / tokensPerSecond
	}
}

// AdmittedByIdealBucket replays the arrivals of model requests through one ideal token bucket per customer and reports, for
// each record, whether the bucket admits it. Requests that the load generator did not send are skipped.
func AdmittedByIdealBucket(s Scenario, index *CatalogueIndex, records []Record) []bool {
	inside := make([]bool, len(records))
	buckets := make([]*TokenBucket, len(s.Mixes))
	for i, m := range s.Mixes {
		customer := index.customers[m.Customer]
		buckets[i] = NewTokenBucket(customer.RateTokens, customer.BurstTokens, s.Filled())
	}
	for i, r := range records {
		if r.Service < 0 && r.Code != CodeNotSent {
			inside[i] = buckets[r.Mix].Take(r.At, r.Charge)
		}
	}
	return inside
}

// entitlements divides the capacity by weighted max-min fairness, with the requests that the ideal buckets admit as demand.
func entitlements(s Scenario, index *CatalogueIndex, accumulators []*metricsAccumulator, seconds float64) []float64 {
	demands := make([]Demand, len(accumulators))
	for i, t := range accumulators {
		weight := index.customers[s.Mixes[i].Customer].Weight
		demands[i] = Demand{Weight: float64(max(weight, 1)), Amount: float64(t.demand) / seconds}
	}
	return FairShares(s.CapacityTokens, demands)
}

func customerExcess(s Scenario, index *CatalogueIndex, records []Record, mix int) float64 {
	var spans []AdmissionInterval
	for _, r := range records {
		if r.Mix == mix && r.Service < 0 && r.Tokens > 0 {
			spans = append(spans, r.span())
		}
	}
	customer := index.customers[s.Mixes[mix].Customer]
	return MaxExcessTokens(spans, customer.RateTokens, customer.BurstTokens)
}

func worstServed(customers []TrafficMetrics, counts func(i int) bool) WorstServedCustomer {
	var w WorstServedCustomer
	for i, f := range customers {
		if counts(i) && f.EntitledTokensPerSecond > 0 && (w.Customer == "" || f.GoodOverEntitled < w.GoodOverEntitled) {
			w = WorstServedCustomer{Customer: f.Customer, GoodOverEntitled: f.GoodOverEntitled}
		}
	}
	return w
}

func countServiceCalls(s Scenario, records []Record) []ServiceCallCounts {
	type path struct{ method, path string }
	sums := make(map[path]*ServiceCallCounts)
	refusals := make(map[path]map[FailureCount]int64)
	var order []path
	for _, r := range records {
		if r.Service < 0 {
			continue
		}
		call := s.Mixes[r.Mix].Services[r.Service]
		key := path{call.Method, call.Path}
		if sums[key] == nil {
			sums[key] = &ServiceCallCounts{Method: call.Method, Path: call.Path}
			refusals[key] = make(map[FailureCount]int64)
			order = append(order, key)
		}
		sums[key].add(r, refusals[key])
	}
	list := make([]ServiceCallCounts, 0, len(order))
	for _, key := range order {
		sums[key].Refusals = listRefusals(refusals[key])
		list = append(list, *sums[key])
	}
	return list
}

func (c *ServiceCallCounts) add(r Record, refusals map[FailureCount]int64) {
	c.Offered++
	if r.Replayed {
		c.Replayed++
	}
	if r.Complete {
		c.Answered++
		return
	}
	refusals[FailureCount{Status: r.Status, Code: r.Code, Outcome: string(r.Outcome)}]++
}
