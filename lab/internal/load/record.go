package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"tanagerwood.dev/api/openai"
)

// Codes that the load generator assigns to requests without a valid answer, and the routers' code for a rate limit.
const (
	CodeNotSent       = "generator_limit"
	CodeNoRouter      = "no_router"
	CodeConnection    = "connection_lost"
	CodeInvalidAnswer = "broken_answer"
	codeRateLimit     = "rate_limited"
)

// Record holds the outcome of one request. Its times are relative to the start of the run.
type Record struct {
	Arrival
	// Charge is the number of tokens that admission charges to the customer's rate.
	Charge int64
	Sent   time.Duration
	First  time.Duration
	End    time.Duration
	// Interval is the mean time between output tokens.
	Interval time.Duration
	Status   int
	Code     string
	Outcome  openai.Outcome
	Usage    openai.Usage
	// Tokens is the number of output tokens that arrived.
	Tokens int64
	// Complete reports whether the answer ended properly; Correct, whether it equals the text that OutputFunc returns.
	Complete bool
	Correct  bool
	Replayed bool
}

// FirstToken returns the time from the planned arrival to the first output token. It is measured from the planned time rather
// than the send time, so that a slow load generator does not hide queueing delay (coordinated omission).
func (r Record) FirstToken() time.Duration { return r.First - r.At }

// CountsAsGoodput reports whether a model request counts as goodput: a complete and correct answer within both targets.
func (r Record) CountsAsGoodput(t LatencyTargets) bool {
	return r.Complete && r.Correct && r.FirstToken() <= t.FirstToken && r.Interval <= t.Interval
}

// Refused reports whether the request ended without any part of an answer.
func (r Record) Refused() bool { return !r.Complete && r.Tokens == 0 }

// recordAnswer sets the fields that follow from an answer and the expected text.
func (r *Record) recordAnswer(a Answer, expected string) {
	r.First, r.Usage, r.Tokens = a.First, a.Usage, a.Chunks
	r.Complete = a.Done && a.Failure == nil
	r.Correct = r.Complete && a.Text == expected
	if a.Failure != nil {
		r.Code, r.Outcome = a.Failure.Code, a.Failure.Outcome
	}
	if steps := max(a.Chunks, a.Usage.CompletionTokens) - 1; steps > 0 {
		r.Interval = (a.Last - a.First) / time.Duration(steps)
	}
}

// span returns the interval within which the request was admitted and the tokens that it is known to have used.
func (r Record) span() AdmissionInterval {
	tokens := r.Usage.TotalTokens
	if tokens == 0 {
		tokens = r.Tokens
	}
	to := r.End
	if r.First > 0 {
		to = r.First
	}
	return AdmissionInterval{From: r.Sent, To: to, Tokens: tokens}
}

// WriteRecords writes one JSON line per request, for analysis of a run.
func WriteRecords(path string, records []Record) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(file)
	for _, r := range records {
		if err := encoder.Encode(r); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return file.Close()
}

// ReadRecords reads a file written by WriteRecords.
func ReadRecords(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var records []Record
	decoder := json.NewDecoder(file)
	for len(records) <= MaxArrivals {
		var r Record
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		records = append(records, r)
	}
	return nil, fmt.Errorf("%s: more than %d records", path, MaxArrivals)
}
