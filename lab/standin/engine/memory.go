package engine

import (
	"context"
	"errors"
	"net/http"
	"sort"
	"time"

	"tanagerwood.dev/api/engine"
)

// Causes of the early end of a request.
var (
	errDisconnected = errors.New("the client disconnected")
	errCancelled    = errors.New("the request was cancelled")
	errExpired      = errors.New("the exported KV cache expired")
	errFetched      = errors.New("the exported KV cache was fetched")
	errClosed       = errors.New("the engine is closed")
)

// tombstoneAge is the time for which the id of a cancelled request is rejected, since a request may arrive after its cancel.
const tombstoneAge = 10 * time.Second

// entry is one request that holds memory. Engine.mu guards the fields that change.
type entry struct {
	id       string
	phase    engine.Phase
	blocks   int64
	slot     bool
	started  time.Time
	prompt   int64
	output   int64
	max      int64
	fetching bool
	// exportedUntil is the time at which exported KV cache expires.
	exportedUntil time.Time
	// computed is the number of prompt tokens that were prefilled for this entry.
	computed int64
	// seed determines the output; kvKey identifies the text, including a continuation, whose KV cache is held.
	seed   uint64
	kvKey  uint64
	prefix []uint64

	ctx      context.Context
	cancel   context.CancelCauseFunc
	released chan struct{}
}

// blocksFor returns the number of memory blocks required for the tokens.
func (e *Engine) blocksFor(tokens int64) int64 {
	return (tokens + e.opts.BlockTokens - 1) / e.opts.BlockTokens
}

// allocate reserves the entry's slot and blocks, or rejects the request: with 429 if they are not free.
func (e *Engine) allocate(en *entry) *httpError {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return reject(http.StatusServiceUnavailable, "closed", "the engine is stopping; use another engine")
	}
	if t, cancelled := e.tombstones[en.id]; cancelled && time.Since(t) < tombstoneAge {
		return reject(http.StatusConflict, "cancelled", "the request was cancelled before it arrived")
	}
	if en.slot && e.slotsUsed >= e.opts.Slots {
		e.stats.Refused++
		return reject(http.StatusTooManyRequests, "no_slot", "all decode slots are taken; use another engine or come back later")
	}
	if e.blocksUsed+en.blocks > e.opts.Blocks {
		e.stats.Refused++
		return reject(http.StatusTooManyRequests, "no_memory", "the KV cache memory is full; use another engine or come back later")
	}
	e.blocksUsed += en.blocks
	if en.slot {
		e.slotsUsed++
	}
	en.started = time.Now()
	en.released = make(chan struct{})
	en.ctx, en.cancel = context.WithCancelCause(context.Background())
	e.entries[en] = struct{}{}
	return nil
}

// release frees everything that the entry holds. It may be called more than once.
func (e *Engine) release(en *entry) {
	en.cancel(nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.entries[en]; !held {
		return
	}
	delete(e.entries, en)
	e.blocksUsed -= en.blocks
	if en.slot {
		e.slotsUsed--
	}
	close(en.released)
}

func (e *Engine) setPhase(en *entry, p engine.Phase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	en.phase = p
}

// cancelID cancels all entries with the id and waits until they are released.
func (e *Engine) cancelID(ctx context.Context, id string) (held bool, err error) {
	for _, en := range e.entriesOf(id) {
		held = true
		en.cancel(errCancelled)
		select {
		case <-en.released:
		case <-ctx.Done():
			return held, ctx.Err()
		}
	}
	return held, nil
}

func (e *Engine) entriesOf(id string) []*entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pruneTombstones()
	e.tombstones[id] = time.Now()
	var list []*entry
	for en := range e.entries {
		if en.id == id {
			list = append(list, en)
		}
	}
	return list
}

func (e *Engine) pruneTombstones() {
	if len(e.tombstones) < 1024 {
		return
	}
	for id, t := range e.tombstones {
		if time.Since(t) > tombstoneAge {
			delete(e.tombstones, id)
		}
	}
}

// list returns the exact list of the requests that hold memory.
func (e *Engine) list() engine.RequestList {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := engine.RequestList{Engine: e.opts.Name, UsedBlocks: e.blocksUsed, Requests: []engine.Request{}}
	for en := range e.entries {
		l.Requests = append(l.Requests, engine.Request{
			ID: en.id, Phase: en.phase, Blocks: en.blocks, AgeMS: time.Since(en.started).Milliseconds(),
			PromptTokens: en.prompt, OutputTokens: en.output, MaxTokens: en.max,
		})
	}
	sort.Slice(l.Requests, func(i, j int) bool { return l.Requests[i].ID < l.Requests[j].ID })
	return l
}
