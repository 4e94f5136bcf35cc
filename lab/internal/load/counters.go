package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"
)

// statsTimeout bounds one read of a stand-in's counters.
const statsTimeout = 2 * time.Second

// PrefillUsage tells how much of the engines' prefill work served answers.
type PrefillUsage struct {
	// Tokens are the prompt tokens that the engines computed during the run.
	Tokens int64 `json:"tokens"`
	// UsefulTokens are those of requests with a whole answer: prompt tokens without cached ones, from the usage.
	UsefulTokens int64   `json:"usefulTokens"`
	Wasted       float64 `json:"wasted"`
	// EngineWasted is the engines' own count: KV cache that nobody fetched, and prompts of answers that were cut.
	EngineWasted int64 `json:"engineWastedTokens"`
	// EngineRefused counts requests that found no slot or memory at an engine.
	EngineRefused int64 `json:"engineRefused"`
	// UnreadEngines lists engines whose counters could not be read before or after; their work is missing in Tokens.
	UnreadEngines []string `json:"unread,omitempty"`
	// CachedTokens are the prompt tokens that answers report as taken from the prefix cache.
	CachedTokens int64 `json:"cachedTokens"`
}

// ExecutionCounts tells whether calls that must not run twice did.
type ExecutionCounts struct {
	Calls int64 `json:"calls"`
	// Executed calls ran at least once, Duplicated ones more than once.
	Executed   int64 `json:"executed"`
	Duplicated int64 `json:"doubled"`
	// RanNotRun calls were answered not_run although they ran.
	RanNotRun int64 `json:"ranNotRun"`
	// AnsweredNotExecuted calls were answered although no service has them.
	AnsweredNotExecuted int64 `json:"answeredNotExecuted"`
}

// EngineStats are the counters of one engine, as its stand-in serves them at /stats.
type EngineStats struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	// CutPromptTokens are the prompts of answers that ended early after their prefill.
	CutPromptTokens int64 `json:"cut_prompt_tokens"`
	Refused         int64 `json:"refused"`
}

// ReadEngineStats reads the counters of all engines that answer.
func ReadEngineStats(ctx context.Context, client *http.Client, engines []string) map[string]EngineStats {
	all := make(map[string]EngineStats, len(engines))
	for _, engine := range engines {
		var stats EngineStats
		if fetch(ctx, client, engine+"/stats", &stats) == nil {
			all[engine] = stats
		}
	}
	return all
}

// fetch reads a JSON document from a stand-in.
func fetch(ctx context.Context, client *http.Client, target string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", target, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, 64<<20)).Decode(into)
}

// MeasurePrefill compares the engines' counters with the answers. Warm-up requests count too, because the counters cannot
// tell them apart.
func MeasurePrefill(before, after map[string]EngineStats, records []Record) PrefillUsage {
	var p PrefillUsage
	for name, end := range after {
		start, ok := before[name]
		if !ok || end.PrefillTokens < start.PrefillTokens {
			p.UnreadEngines = append(p.UnreadEngines, name)
			continue
		}
		p.Tokens += end.PrefillTokens - start.PrefillTokens
		p.EngineWasted += end.WastedTokens + end.CutPromptTokens - start.WastedTokens - start.CutPromptTokens
		p.EngineRefused += end.Refused - start.Refused
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			p.UnreadEngines = append(p.UnreadEngines, name)
		}
	}
	sort.Strings(p.UnreadEngines)
	for _, r := range records {
		if r.Service >= 0 || !r.Complete || !r.Correct {
			continue
		}
		cached := int64(0)
		if r.Usage.PromptTokensDetails != nil {
			cached = r.Usage.PromptTokensDetails.CachedTokens
		}
		p.CachedTokens += cached
		p.UsefulTokens += r.Usage.PromptTokens - cached
	}
	if p.Tokens > 0 {
		p.Wasted = 1 - float64(p.UsefulTokens)/float64(p.Tokens)
	}
	return p
}

// CountExecutions compares the calls that must not run twice with the services' counts of executions per key.
func CountExecutions(s Scenario, records []Record, executions map[string]int64) ExecutionCounts {
	var b ExecutionCounts
	for _, r := range records {
		if r.Service < 0 || !s.Mixes[r.Mix].Services[r.Service].ExecuteOnce || r.Code == CodeNotSent {
			continue
		}
		b.Calls++
		count := executions[s.CallKey(r.Arrival)]
		if count > 0 {
			b.Executed++
		}
		if count > 1 {
			b.Duplicated++
		}
		if count > 0 && r.Outcome == "not_run" && !r.Repeat {
			b.RanNotRun++
		}
		if count == 0 && r.Complete {
			b.AnsweredNotExecuted++
		}
	}
	return b
}

// serviceRuns is the answer of a service stand-in at /runs.
type serviceRuns struct {
	Runs map[string]struct {
		Count int64 `json:"count"`
	} `json:"runs"`
}

// ReadExecutions adds up, over all services that answer, how often each booking ran.
func ReadExecutions(ctx context.Context, client *http.Client, services []string) map[string]int64 {
	all := make(map[string]int64)
	for _, service := range services {
		var list serviceRuns
		if fetch(ctx, client, service+"/runs", &list) != nil {
			continue
		}
		for booking, run := range list.Runs {
			all[booking] += run.Count
		}
	}
	return all
}
