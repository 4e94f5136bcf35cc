package engine

import (
	"context"
	"errors"
	"net/http"
	"sort"
	"time"

	"tanagerwood.dev/api/engine"
)

// Reasons for which a request ends early.
var (
	errDisconnected = errors.New("the client disconnected")
	errCancelled    = errors.New("the request was cancelled")
	errExpired      = errors.New("the exported KV cache expired")
	errFetched      = errors.New("the exported KV cache was fetched")
	errClosed       = errors.New("the engine is closed")
)

// tombstoneAge is how long the id of a cancelled request is refused, for requests that arrive after their cancel.
const tombstoneAge = 10 * time.Second

// entry is one request that holds memory. The fields that change are guarded by Engine.mu.
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
	// exportedUntil is when exported KV cache expires.
	exportedUntil time.Time
	// computed is how many prompt tokens were prefilled for this entry.
	computed int64
	// seed determines the output; kvKey names the text whose KV cache is held, which includes a continuation.
	seed   uint64
	kvKey  uint64
	prefix []uint64

	ctx      context.Context
	cancel   context.CancelCauseFunc
	released chan struct{}
}

// blocksFor is the number of memory blocks that hold the tokens.
func (e *Engine) blocksFor(tokens int64) int64 {
	return (tokens + e.opts.BlockTokens - 1) / e.opts.BlockTokens
}

// hold takes the entry's slot and blocks, or refuses with 429.
func (e *Engine) hold(en *entry) *httpError {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return refusal(http.StatusServiceUnavailable, "closed", "the engine is stopping; use another engine")
	}
	if t, cancelled := e.tombstones[en.id]; cancelled && time.Since(t) < tombstoneAge {
		return refusal(http.StatusConflict, "cancelled", "the request was cancelled before it arrived")
	}
	if en.slot && e.slotsUsed >= e.opts.Slots {
		e.stats.Refused++
		return refusal(http.StatusTooManyRequests, "no_slot", "all decode slots are taken; use another engine or come back later")
	}
	if e.blocksUsed+en.blocks > e.opts.Blocks {
		e.stats.Refused++
		return refusal(http.StatusTooManyRequests, "no_memory", "the KV cache memory is full; use another engine or come back later")
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

// release gives back all that the entry holds. It may be called more than once.
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

// cancelID cancels all entries of the id and waits until they are released.
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
	e.forgetTombstones()
	e.tombstones[id] = time.Now()
	var list []*entry
	for en := range e.entries {
		if en.id == id {
			list = append(list, en)
		}
	}
	return list
}

func (e *Engine) forgetTombstones() {
	if len(e.tombstones) < 1024 {
		return
	}
	for id, t := range e.tombstones {
		if time.Since(t) > tombstoneAge {
			delete(e.tombstones, id)
		}
	}
}

// list is the exact list of what holds memory.
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
