package load

import (
	"encoding/json"
	"fmt"
	"os"
)

// Result is the outcome of one run.
type Result struct {
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy,omitempty"`
	Seed         uint64  `json:"seed"`
	LoadFraction float64 `json:"loadFraction,omitempty"`
	// StartedMS is the start of the run in milliseconds since the epoch.
	StartedMS int64 `json:"startedMs"`
	// CountedSeconds is the length of the measured part of the run: the duration without the warm-up.
	CountedSeconds float64 `json:"countedSeconds"`
	// Requests counts all model requests and service calls including the warm-up; Tokens, the output tokens received.
	Requests  int64               `json:"requests"`
	Tokens    int64               `json:"tokens"`
	Overall   TrafficMetrics      `json:"overall"`
	Customers []TrafficMetrics    `json:"customers"`
	Services  []ServiceCallCounts `json:"services,omitempty"`
	Engines   PrefillUsage        `json:"engines"`
	Bookings  ExecutionCounts     `json:"bookings"`
	Worst     WorstServedCustomer `json:"worst"`
	// WorstInside excludes customers that offer more than their rate.
	WorstInside WorstServedCustomer `json:"worstInsideRate"`
	// Process holds measurements of the processes, which scripts add.
	Process map[string]float64 `json:"process,omitempty"`
}

// TrafficMetrics holds the request counts, rates and latencies of one customer, or of all customers.
type TrafficMetrics struct {
	Customer string `json:"customer,omitempty"`
	// Offered requests arrived after the warm-up; Answered ones got a complete and correct answer, Good ones also met the
	// latency targets.
	Offered  int64 `json:"offered"`
	Answered int64 `json:"answered"`
	Good     int64 `json:"good"`
	// Wrong answers ended properly with a text that differs from the one that OutputFunc returns.
	Wrong int64 `json:"wrong"`
	// Cut answers were truncated: they began and did not end properly.
	Cut int64 `json:"cut"`
	// NotSent requests exceeded the load generator's own limit of open requests.
	NotSent  int64          `json:"notSent"`
	Refusals []FailureCount `json:"refusals,omitempty"`
	// InsideRate requests would have been admitted by the ideal token bucket. Of these, Wrongful counts those refused with a
	// rate-limit code and RefusedInside those refused with any code.
	InsideRate    int64 `json:"insideRate"`
	Wrongful      int64 `json:"wrongful"`
	RefusedInside int64 `json:"refusedInside"`
	// AdmittedOverIdeal is the ratio of tokens that the fleet admitted to tokens that the ideal bucket admits. For a customer
	// beyond its rate it is more meaningful than Wrongful, because the fleet may rightly admit other requests than the ideal
	// bucket does.
	AdmittedOverIdeal float64 `json:"admittedOverIdeal"`
	// GoodPerSecond counts requests, GoodTokensPerSecond their output tokens.
	GoodPerSecond       float64 `json:"goodPerSecond"`
	GoodTokensPerSecond float64 `json:"goodTokensPerSecond"`
	// EntitledTokensPerSecond is the customer's fair share of output tokens.
	EntitledTokensPerSecond float64 `json:"entitledTokensPerSecond"`
	GoodOverEntitled        float64 `json:"goodOverEntitled"`
	// ExcessTokens is the largest certain excess over burst + rate × window.
	ExcessTokens float64 `json:"excessTokens"`
	FirstToken   Latency `json:"firstToken"`
	Interval     Latency `json:"interval"`
}

// FailureCount counts refusals and other failures with the same status, code and outcome.
type FailureCount struct {
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Count   int64  `json:"count"`
}

// ServiceCallCounts counts the calls with one method and service path.
type ServiceCallCounts struct {
	Method   string         `json:"method"`
	Path     string         `json:"path"`
	Offered  int64          `json:"offered"`
	Answered int64          `json:"answered"`
	Replayed int64          `json:"replayed"`
	Refusals []FailureCount `json:"refusals,omitempty"`
}

// WorstServedCustomer names the customer with the lowest ratio of goodput to entitlement.
type WorstServedCustomer struct {
	Customer         string  `json:"customer"`
	GoodOverEntitled float64 `json:"goodOverEntitled"`
}

// WrongfulFraction returns the fraction of the requests inside the rate that were refused with a rate-limit code.
func (f TrafficMetrics) WrongfulFraction() float64 { return fraction(f.Wrongful, f.InsideRate) }

func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Write writes the result to a JSON file.
func (r Result) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// ReadResult reads a JSON file written by Write.
func ReadResult(path string) (Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return Result{}, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}
