package engine

import (
	"net/http"
	"sync"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/lab/standin/silent"
)

// logEvents is how many events the timeline keeps if the caller gives none.
const logEvents = 8192

// Stats counts what the engine did since its start.
type Stats struct {
	// PrefillTokens were computed; CachedTokens came from the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	// WastedTokens were computed for WastedPrompts whose KV cache nobody fetched or that were cancelled before.
	WastedTokens   int64 `json:"wasted_tokens"`
	WastedPrompts  int64 `json:"wasted_prompts"`
	ExportsFetched int64 `json:"exports_fetched"`
	ExportsExpired int64 `json:"exports_expired"`
	ImportedBytes  int64 `json:"imported_bytes"`
	OutputTokens   int64 `json:"output_tokens"`
	// AnswersCompleted were sent whole; AnswersCut ended early after their prompts of CutPromptTokens were fetched or
	// prefilled here.
	AnswersCompleted int64 `json:"answers_completed"`
	AnswersCut       int64 `json:"answers_cut"`
	CutPromptTokens  int64 `json:"cut_prompt_tokens"`
	// Refused requests found no slot or memory; Cancels are acknowledged or dropped cancels that found something held.
	Refused int64 `json:"refused"`
	Cancels int64 `json:"cancels"`
	// Transfers is the number of transfers of KV cache that are under way: the prefill engine has answered.
	Transfers int `json:"transfers"`
	// UsedBlocks, UsedSlots and Requests are held now.
	UsedBlocks int64 `json:"used_blocks"`
	UsedSlots  int   `json:"used_slots"`
	Requests   int   `json:"requests"`
}

// Engine is one running stand-in.
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

	mu          sync.Mutex
	closed      bool
	role        Role
	model       string
	entries     map[*entry]struct{}
	tombstones  map[string]time.Time
	slotsUsed   int
	blocksUsed  int64
	decoding    int
	stats       Stats
	faults      Faults
	stallOver   chan struct{}
	connections silent.Connections
	lastID      string
	anonymous   int64
	fencing     uint64
	orders      []engine.Order
	reports     [2]engine.Load
}

// New starts an engine. Close ends it.
func New(opts Options) *Engine {
	opts = opts.withSizes()
	e := &Engine{
		opts: opts, log: opts.Log, link: make(chan struct{}, 1), closing: make(chan struct{}),
		role: opts.Role, model: opts.Model, cache: newPrefixCache(opts),
		entries: make(map[*entry]struct{}), tombstones: make(map[string]time.Time),
	}
	if e.log == nil {
		e.log = event.NewLog(opts.Name, "", logEvents, time.Now)
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{}
	}
	e.client = &http.Client{Transport: opts.Transport}
	e.queue = newPrefillQueue(e)
	e.handler = e.routes()
	e.reports[0], e.reports[1] = e.measure(), e.measure()
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

// Requests is the exact list of what holds memory.
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

// interval is the present time between tokens of one request.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	batch := e.decoding
	e.mu.Unlock()
	return e.slowed(time.Duration(float64(e.opts.TokenInterval) * (1 + e.opts.IntervalGrowth*float64(max(0, batch-1)))))
}

// measure takes the figures of a load report.
func (e *Engine) measure() engine.Load {
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
		l := e.measure()
		e.mu.Lock()
		e.reports[0], e.reports[1] = e.reports[1], l
		e.mu.Unlock()
	}
}

// load is the last report but one, or an exact one if reports do not lag.
func (e *Engine) load() engine.Load {
	if e.opts.LoadReportInterval <= 0 {
		return e.measure()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports[0]
}

// order takes an order; a checking engine refuses an old fencing number.
func (e *Engine) order(o engine.Order) engine.OrderResult {
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
