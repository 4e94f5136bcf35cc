package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/lab/standin/engine"
)

// answer holds what a caller received.
type answer struct {
	status  int
	outcome string
	code    string
	text    string
	// complete reports whether the end marker of the stream was received.
	complete bool
	header   http.Header
	err      error
}

// whole reports whether the answer is complete and byte-identical to the output of the engine stand-in's function.
func (a answer) whole(prompt string, tokens int64) bool {
	return a.err == nil && a.status == http.StatusOK && a.complete && a.text == strings.Join(engine.Output(prompt, tokens), "")
}

func (a answer) String() string {
	return fmt.Sprintf("status %d outcome %q code %q complete %v %d bytes err %v", a.status, a.outcome, a.code, a.complete, len(a.text), a.err)
}

// complete sends one streamed text completion. onChunk, if not nil, is called after each chunk with the number of chunks so
// far.
func complete(ctx context.Context, router, key, prompt string, tokens int64, onChunk func(int)) answer {
	raw, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, outcome: resp.Header.Get(openai.OutcomeHeader), header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		a.readError(json.NewDecoder(resp.Body))
		return a
	}
	a.readStream(bufio.NewScanner(resp.Body), onChunk)
	return a
}

func (a *answer) readError(d *json.Decoder) {
	var body openai.ErrorBody
	if a.err = d.Decode(&body); a.err == nil {
		a.code = body.Error.Code
	}
}

func (a *answer) readStream(lines *bufio.Scanner, onChunk func(int)) {
	chunks := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			return
		}
		var chunk struct {
			openai.Completion
			Error *openai.Error `json:"error"`
		}
		if a.err = json.Unmarshal([]byte(data), &chunk); a.err != nil {
			return
		}
		if chunk.Error != nil {
			a.outcome, a.code = string(chunk.Error.Outcome), chunk.Error.Code
			return
		}
		for _, c := range chunk.Choices {
			if c.Text != nil {
				a.text += *c.Text
			}
		}
		chunks++
		if onChunk != nil {
			onChunk(chunks)
		}
	}
	a.err = lines.Err()
}

// book sends one booking request.
func book(ctx context.Context, router, key, idempotencyKey, booking string) answer {
	raw, _ := json.Marshal(map[string]string{"booking": booking})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/bookings", bytes.NewReader(raw))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", `"`+idempotencyKey+`"`)
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, outcome: resp.Header.Get(openai.OutcomeHeader), header: resp.Header}
	if resp.StatusCode >= http.StatusBadRequest {
		a.readError(json.NewDecoder(resp.Body))
	}
	return a
}

// executions returns how often the running services executed the booking.
func (s *system) executions(booking string) int {
	sum := 0
	for _, p := range s.services {
		if p.cmd == nil {
			continue
		}
		report := get[struct {
			Runs map[string]struct {
				Count int `json:"count"`
			} `json:"runs"`
		}](p.url + "/runs")
		sum += report.Runs[booking].Count
	}
	return sum
}

func expectCompleteAnswer(a answer, prompt string, tokens int64) {
	Expect(a.whole(prompt, tokens)).To(BeTrue(), a.String())
}
