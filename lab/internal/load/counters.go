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

// statsTimeout limits one read of a stand-in's counters.
const statsTimeout = 2 * time.Second

// PrefillUsage reports how much of the engines' prefill work contributed to complete answers.
type PrefillUsage struct {
	// Tokens is the number of prompt tokens that the engines computed during the run.
	Tokens int64 `json:"tokens"`
	// UsefulTokens counts the tokens of requests with a complete and correct answer: prompt tokens minus cached ones, as the
	// usage reports them.
	UsefulTokens int64   `json:"usefulTokens"`
	Wasted       float64 `json:"wasted"`
	// EngineWasted is the waste as the engines count it: KV cache that was never fetched, and the prompts of truncated answers.
	EngineWasted int64 `json:"engineWastedTokens"`
	// EngineRefused counts requests that an engine rejected because it had no free slot or memory.
	EngineRefused int64 `json:"engineRefused"`
	// UnreadEngines lists engines whose counters could not be read before or after the run, or went backwards because the engine
	// restarted. Their work is missing from Tokens.
	UnreadEngines []string `json:"unread,omitempty"`
	// CachedTokens is the number of prompt tokens that the usage of answers reports as served from the prefix cache.
	CachedTokens int64 `json:"cachedTokens"`
}

// ExecutionCounts reports whether service calls that must execute at most once were executed more often.
type ExecutionCounts struct {
	Calls int64 `json:"calls"`
	// Executed calls ran at least once, Duplicated ones more than once.
	Executed   int64 `json:"executed"`
	Duplicated int64 `json:"doubled"`
	// RanNotRun calls got the outcome not_run although a service executed them.
	RanNotRun int64 `json:"ranNotRun"`
	// AnsweredNotExecuted calls got an answer although no service executed them.
	AnsweredNotExecuted int64 `json:"answeredNotExecuted"`
}

// EngineStats holds the counters of one engine, as its stand-in serves them at /stats.
type EngineStats struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	// CutPromptTokens counts the prompt tokens of answers that ended early after their prefill.
	CutPromptTokens int64 `json:"cut_prompt_tokens"`
	Refused         int64 `json:"refused"`
}

// ReadEngineStats reads the counters of all engines that respond, keyed by base URL.
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

// fetch decodes a JSON document from a stand-in.
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

// MeasurePrefill compares the engines' counters with the answers. Warm-up requests count too, because the counters do not
// distinguish them.
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

// CountExecutions compares the calls that must execute at most once with the services' execution counts by key.
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

// serviceRuns is the response of a service stand-in at /runs.
type serviceRuns struct {
	Runs map[string]struct {
		Count int64 `json:"count"`
	} `json:"runs"`
}

// ReadExecutions sums, over all services that respond, how often each booking was executed.
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
