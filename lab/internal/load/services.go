package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"tanagerwood.dev/api/openai"
)

// Headers of calls that must not be executed twice.
const (
	idempotencyHeader = "Idempotency-Key"
	replayedHeader    = "Idempotency-Replayed"
)

// maxServiceAnswer limits how many bytes of a service's response are read.
const maxServiceAnswer = 1 << 20

// serviceBody carries the call's key in the field by which the service stand-in counts executions.
type serviceBody struct {
	Booking string `json:"booking"`
	Note    string `json:"note"`
}

// CallKey returns the idempotency key of a service call. It also identifies the call in the services' execution counts.
func (s Scenario) CallKey(a Arrival) string {
	return fmt.Sprintf("%s-%d-%s-%d-%d", s.Name, s.Seed, s.Mixes[a.Mix].Customer, a.Service, a.Seq)
}

func (r *Runner) sendService(ctx context.Context, record *Record) {
	call := r.options.Scenario.Mixes[record.Mix].Services[record.Service]
	r.callOnce(ctx, record, call)
	if call.ExecuteOnce && record.Repeat && ctx.Err() == nil {
		repeat := Record{Arrival: record.Arrival}
		r.callOnce(ctx, &repeat, call)
		record.Replayed = repeat.Replayed
	}
}

func (r *Runner) callOnce(ctx context.Context, record *Record, call ServiceCall) {
	mix := r.options.Scenario.Mixes[record.Mix]
	key := r.options.Scenario.CallKey(record.Arrival)
	body, err := json.Marshal(serviceBody{Booking: key, Note: "load generator"})
	if err != nil {
		record.Code = CodeInvalidAnswer
		return
	}
	if call.Method == http.MethodGet {
		body = nil
	}
	response := r.do(ctx, record, func(base string) (*http.Request, error) {
		request, err := newRequest(ctx, call.Method, base+call.Path, mix.Key, body)
		if err == nil && call.ExecuteOnce {
			request.Header.Set(idempotencyHeader, key)
		}
		return request, err
	})
	if response == nil {
		return
	}
	defer response.Body.Close()
	record.Replayed = response.Header.Get(replayedHeader) == "true"
	if response.StatusCode >= http.StatusBadRequest {
		record.recordRefusal(response)
		return
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxServiceAnswer))
	record.Complete = err == nil
	record.Correct = record.Complete
	if err != nil {
		record.Code, record.Outcome = CodeConnection, openai.Unknown
	}
}
