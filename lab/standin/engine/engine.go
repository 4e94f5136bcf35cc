package engine

import (
	"net/http"
	"sync"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/lab/standin/silent"
)

// logCapacity is the number of events that the event log keeps if the caller passes no log.
const logCapacity = 8192

// Stats holds the counters of the engine since its start, and its current usage.
type Stats struct {
	// PrefillTokens were computed; CachedTokens came from the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	// WastedTokens were computed for WastedPrompts, whose KV cache was never fetched or which were cancelled before that.
	WastedTokens   int64 `json:"wasted_tokens"`
	WastedPrompts  int64 `json:"wasted_prompts"`
	ExportsFetched int64 `json:"exports_fetched"`
	ExportsExpired int64 `json:"exports_expired"`
	ImportedBytes  int64 `json:"imported_bytes"`
	OutputTokens   int64 `json:"output_tokens"`
	// AnswersCompleted counts responses that were sent completely; AnswersCut counts those that ended early, after their
	// prompts, of CutPromptTokens tokens in total, were fetched or prefilled here.
	AnswersCompleted int64 `json:"answers_completed"`
	AnswersCut       int64 `json:"answers_cut"`
	CutPromptTokens  int64 `json:"cut_prompt_tokens"`
	// Refused counts requests that found no free slot or memory; Cancels counts cancels that found something allocated,
	// whether the reply was sent or dropped.
	Refused int64 `json:"refused"`
	Cancels int64 `json:"cancels"`
	// Transfers is the number of KV cache transfers in progress, to which the prefill engine has responded.
	Transfers int `json:"transfers"`
	// UsedBlocks, UsedSlots and Requests are the current usage.
	UsedBlocks int64 `json:"used_blocks"`
	UsedSlots  int   `json:"used_slots"`
	Requests   int   `json:"requests"`
}

// Engine is one running simulated engine.
type Engine struct {
	opts    Options
	log     *event.Log
	client  *http.Client
	cache   *prefixCache
	queue   *prefillQueue
	link    chan struct{}
	handler http.Handler
	closing chan struct{}
	wg      sync.WaitGroup

	mu                sync.Mutex
	closed            bool
	role              Role
	model             string
	entries           map[*entry]struct{}
	tombstones        map[string]time.Time
	slotsUsed         int
	blocksUsed        int64
	decoding          int
	stats             Stats
	faults            Faults
	stallEnded        chan struct{}
	connections       silent.Connections
	lastID            string
	anonymousRequests int64
	fencing           uint64
	orders            []engine.Order
	reports           [2]engine.Load
}

// New starts an engine. Close stops it.
func New(opts Options) *Engine {
	opts = opts.withDefaultSizes()
	e := &Engine{
		opts: opts, log: opts.Log, link: make(chan struct{}, 1), closing: make(chan struct{}),
		role: opts.Role, model: opts.Model, cache: newPrefixCache(opts),
		entries: make(map[*entry]struct{}), tombstones: make(map[string]time.Time),
	}
	if e.log == nil {
		e.log = event.NewLog(opts.Name, "", logCapacity, time.Now)
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{}
	}
	e.client = &http.Client{Transport: opts.Transport}
	e.queue = newPrefillQueue(e)
	e.handler = e.routes()
	e.reports[0], e.reports[1] = e.currentLoad(), e.currentLoad()
	e.wg.Go(func() { e.queue.loop(e.closing) })
	if opts.LoadReportInterval > 0 {
		e.wg.Go(e.reportLoads)
	}
	return e
}

// Handler serves the engine's HTTP API.
func (e *Engine) Handler() http.Handler { return e.handler }

// Close cancels all requests and stops the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	for en := range e.entries {
		en.cancel(errClosed)
	}
	e.mu.Unlock()
	close(e.closing)
	e.wg.Wait()
	e.client.CloseIdleConnections()
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.UsedBlocks, s.UsedSlots, s.Requests = e.blocksUsed, e.slotsUsed, len(e.entries)
	return s
}

// Requests returns the exact list of the requests that hold memory.
func (e *Engine) Requests() engine.RequestList { return e.list() }

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order{}, e.orders...)
}

func (e *Engine) record(kind event.Kind, en *entry, detail string) {
	e.mu.Lock()
	tokens := en.prompt
	if kind == event.DecodeEnded {
		tokens = en.output
	}
	e.mu.Unlock()
	e.log.Record(event.Event{Kind: kind, Request: en.id, Endpoint: e.opts.Name, Tokens: tokens, Detail: detail})
}

// interval returns the current time between tokens of one request.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	batch := e.decoding
	e.mu.Unlock()
	return e.applySlowFactor(time.Duration(float64(e.opts.TokenInterval) * (1 + e.opts.IntervalGrowth*float64(max(0, batch-1)))))
}

// currentLoad returns a load report of the current state.
func (e *Engine) currentLoad() engine.Load {
	backlog, waiting := e.queue.load()
	interval := e.interval()
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{
		Engine: e.opts.Name, Role: string(e.role), Model: e.model, ReportedAtMS: time.Now().UnixMilli(),
		Slots: e.opts.Slots, Running: e.slotsUsed, Waiting: waiting,
		TotalBlocks: e.opts.Blocks, UsedBlocks: e.blocksUsed, BlockTokens: e.opts.BlockTokens,
		PrefillTokens: backlog, PrefillRate: e.opts.PrefillRate, LinkRate: e.opts.LinkRate,
		TokenIntervalMS: float64(interval) / float64(time.Millisecond), KVBytesPerToken: e.opts.KVBytesPerToken,
		Leaving: e.faults.Leaving,
	}
}

func (e *Engine) reportLoads() {
	ticker := time.NewTicker(e.opts.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.closing:
			return
		}
		l := e.currentLoad()
		e.mu.Lock()
		e.reports[0], e.reports[1] = e.reports[1], l
		e.mu.Unlock()
	}
}

// reportedLoad returns the last report but one, or an exact one if reports do not lag.
func (e *Engine) reportedLoad() engine.Load {
	if e.opts.LoadReportInterval <= 0 {
		return e.currentLoad()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports[0]
}

// applyOrder executes an order. An engine that checks fencing numbers rejects an outdated one.
func (e *Engine) applyOrder(o engine.Order) engine.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fencing < e.fencing {
		return engine.OrderResult{HighestFencing: e.fencing}
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case engine.OrderSetRole:
		e.role = Role(o.Argument)
	case engine.OrderLoadModel:
		e.model = o.Argument
		e.cache.clear()
	}
	return engine.OrderResult{Accepted: true, HighestFencing: e.fencing}
}
