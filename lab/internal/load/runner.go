package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/openai"
)

const userRole = "user"

// OutputFunc is the engines' deterministic function from the prompt text to the output tokens.
type OutputFunc func(prompt string, n int64) []string

// Options configures a run.
type Options struct {
	Scenario  Scenario
	Catalogue *CatalogueIndex
	Routers   []string
	Output    OutputFunc
	// Targets overrides the latency targets of the catalogue unless it is zero.
	Targets LatencyTargets
	// MaxOpenRequests limits the open requests; arrivals beyond it are not sent and are recorded with CodeNotSent.
	MaxOpenRequests int
	// RequestTimeout limits the duration of one request.
	RequestTimeout time.Duration
	// Progress receives a line every ProgressEvery.
	Progress      io.Writer
	ProgressEvery time.Duration
}

// Runner sends the requests of one scenario as an open-loop load.
type Runner struct {
	options  Options
	balancer *Balancer
	client   *http.Client
	start    time.Time
	records  []Record
	slots    chan struct{}

	open, sent, answered, refusals atomic.Int64
}

// NewRunner validates the options and plans the arrivals of a run.
func NewRunner(o Options) (*Runner, error) {
	if len(o.Routers) == 0 {
		return nil, errors.New("no routers given")
	}
	if o.Output == nil {
		return nil, errors.New("no output function given; without it no answer can be checked")
	}
	for _, router := range o.Routers {
		if err := CheckLoopback(router); err != nil {
			return nil, err
		}
	}
	plan, err := Plan(o.Scenario, o.Catalogue)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		options:  o,
		balancer: NewBalancer(o.Routers, time.Now),
		client:   NewClient(o.MaxOpenRequests),
		records:  make([]Record, len(plan)),
		slots:    make(chan struct{}, o.MaxOpenRequests),
	}
	for i, a := range plan {
		r.records[i].Arrival = a
	}
	return r, nil
}

// Run sends all requests at their planned times, waits for the answers and returns the records in order of arrival.
func (r *Runner) Run(ctx context.Context) []Record {
	r.start = time.Now()
	defer r.client.CloseIdleConnections()
	progress, stop := context.WithCancel(ctx)
	var reporter sync.WaitGroup
	reporter.Go(func() { r.report(progress) })
	var requests sync.WaitGroup
	for i := range r.records {
		record := &r.records[i]
		if !r.waitUntil(ctx, record.At) {
			record.Code = CodeNotSent
			continue
		}
		select {
		case r.slots <- struct{}{}:
			requests.Go(func() { r.send(ctx, record) })
		default:
			record.Code = CodeNotSent
		}
	}
	requests.Wait()
	stop()
	reporter.Wait()
	return r.records
}

func (r *Runner) elapsed() time.Duration { return time.Since(r.start) }

func (r *Runner) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - r.elapsed())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) send(ctx context.Context, record *Record) {
	r.open.Add(1)
	r.sent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	record.Sent = r.elapsed()
	if record.Service >= 0 {
		r.sendService(ctx, record)
	} else {
		r.sendModel(ctx, record)
	}
	record.End = r.elapsed()
	if record.Complete {
		r.answered.Add(1)
	} else {
		r.refusals.Add(1)
	}
	r.open.Add(-1)
	<-r.slots
}

func (r *Runner) sendModel(ctx context.Context, record *Record) {
	mix := r.options.Scenario.Mixes[record.Mix]
	perToken := r.options.Catalogue.models[mix.Model].BytesPerToken
	content := r.options.Scenario.Prompt(record.Arrival, perToken)
	prompt, errPrompt := ChatPromptText(content)
	body, errBody := chatBody(mix.Model, content, record.OutputTokens)
	if errPrompt != nil || errBody != nil {
		record.Code = CodeInvalidAnswer
		return
	}
	record.Charge = Charge(prompt, perToken, record.OutputTokens)
	response := r.do(ctx, record, func(base string) (*http.Request, error) {
		return newRequest(ctx, http.MethodPost, base+"/v1/chat/completions", mix.Key, body)
	})
	if response == nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		record.recordRefusal(response)
		return
	}
	answer, err := ReadStream(response.Body, r.elapsed)
	record.recordAnswer(answer, strings.Join(r.options.Output(prompt, record.OutputTokens), ""))
	switch {
	case record.Complete && !record.Correct:
		record.Code = CodeInvalidAnswer
	case !record.Complete && record.Code == "":
		record.Code = CodeConnection
	}
	if err != nil {
		record.Complete, record.Correct = false, false
	}
}

// do sends a request through the balancer. On failure it sets the code in the record and returns nil.
func (r *Runner) do(ctx context.Context, record *Record, build func(string) (*http.Request, error)) *http.Response {
	response, _, err := r.balancer.Do(r.client, build)
	switch {
	case err == nil:
		record.Status = response.StatusCode
		return response
	case errors.Is(err, ErrNoRouter):
		record.Code = CodeNoRouter
	case ctx.Err() != nil:
		record.Code = "caller_timeout"
	default:
		record.Code = CodeConnection
	}
	return nil
}

func (r *Record) recordRefusal(response *http.Response) {
	e := decodeError(response.Body)
	r.Code, r.Outcome = e.Code, e.Outcome
	if r.Outcome == "" {
		r.Outcome = openai.Outcome(response.Header.Get(openai.OutcomeHeader))
	}
}

// Charge returns the tokens that admission charges for a request: the estimated prompt tokens plus the maximum number of
// output tokens.
func Charge(prompt string, bytesPerToken, outputTokens int64) int64 {
	perToken := max(bytesPerToken, 1)
	return (int64(len(prompt))+perToken-1)/perToken + outputTokens
}

func chatBody(model, content string, maxTokens int64) ([]byte, error) {
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	return json.Marshal(openai.Request{
		Model:         model,
		Messages:      []openai.Message{{Role: userRole, Content: raw}},
		MaxTokens:     &maxTokens,
		Stream:        true,
		StreamOptions: &openai.StreamOptions{IncludeUsage: true},
	})
}

func newRequest(ctx context.Context, method, target, key string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never retries a request by itself, so every retry is sent by the load generator.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	return request, nil
}

func (r *Runner) report(ctx context.Context) {
	if r.options.Progress == nil || r.options.ProgressEvery <= 0 {
		return
	}
	ticker := time.NewTicker(r.options.ProgressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(r.options.Progress, "load: %3.0f s: sent %d of %d, open %d, answered %d, refused or failed %d\n",
				r.elapsed().Seconds(), r.sent.Load(), len(r.records), r.open.Load(), r.answered.Load(), r.refusals.Load())
		}
	}
}

// ChatPromptText returns the prompt text that engines receive for a chat with one user message.
func ChatPromptText(content string) (string, error) {
	raw, err := json.Marshal(content)
	if err != nil {
		return "", err
	}
	return engine.PromptTextOf(openai.Request{Messages: []openai.Message{{Role: userRole, Content: raw}}})
}
