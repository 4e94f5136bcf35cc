package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
)

// prefillJob is one prompt that is queued for prefill.
type prefillJob struct {
	en       *entry
	tokens   int64
	priority int
	seq      uint64
	// cached is set when the prefill starts.
	cached int64
	done   chan struct{}
}

type jobHeap []*prefillJob

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*prefillJob)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// prefillQueue runs one prefill at a time, ordered by priority and then by arrival.
type prefillQueue struct {
	engine *Engine
	wake   chan struct{}

	mu      sync.Mutex
	seq     uint64
	jobs    jobHeap
	backlog int64
	waiting int
}

func newPrefillQueue(e *Engine) *prefillQueue {
	return &prefillQueue{engine: e, wake: make(chan struct{}, 1)}
}

// prefill queues the entry's prompt and waits until it is prefilled. It returns the number of tokens that came from the prefix
// cache.
func (q *prefillQueue) prefill(en *entry, priority int) (cached int64, err error) {
	j := &prefillJob{en: en, tokens: en.prompt, priority: priority, done: make(chan struct{})}
	q.mu.Lock()
	q.seq++
	j.seq = q.seq
	heap.Push(&q.jobs, j)
	q.backlog += j.tokens
	q.waiting++
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.done:
		return j.cached, context.Cause(en.ctx)
	case <-en.ctx.Done():
		return 0, context.Cause(en.ctx)
	}
}

func (q *prefillQueue) next() *prefillJob {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.jobs) == 0 {
		return nil
	}
	q.waiting--
	return heap.Pop(&q.jobs).(*prefillJob)
}

func (q *prefillQueue) loop(closed <-chan struct{}) {
	for {
		j := q.next()
		if j == nil {
			select {
			case <-q.wake:
				continue
			case <-closed:
				return
			}
		}
		q.run(j)
		q.mu.Lock()
		q.backlog -= j.tokens
		q.mu.Unlock()
		close(j.done)
	}
}

func (q *prefillQueue) run(j *prefillJob) {
	e := q.engine
	if j.en.ctx.Err() != nil {
		return
	}
	j.cached = e.cachedTokens(j.en)
	e.setPhase(j.en, engine.PhasePrefill)
	e.record(event.PrefillStarted, j.en, "")
	todo := j.tokens - j.cached
	full := e.applySlowFactor(perSecond(todo, e.opts.PrefillRate))
	begun := time.Now()
	done := todo
	if !wait(j.en.ctx, full) {
		done = int64(float64(todo) * min(1, float64(time.Since(begun))/float64(full)))
	}
	e.mu.Lock()
	j.en.computed = done
	e.stats.PrefillTokens += done
	e.stats.CachedTokens += j.cached
	e.mu.Unlock()
	if done == todo {
		e.cache.store(j.en.prefix)
	}
	e.record(event.PrefillEnded, j.en, "")
}

// cachedTokens returns the number of prompt tokens that the prefix cache covers. The last token is always computed.
func (e *Engine) cachedTokens(en *entry) int64 {
	blocks := e.cache.match(en.prefix)
	tokens := int64(blocks) * engine.CacheBlockBytes / e.opts.BytesPerToken
	return min(tokens, en.prompt-1)
}

// load returns the number of tokens that are not prefilled yet and the number of requests that wait.
func (q *prefillQueue) load() (backlog int64, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog, q.waiting
}

// perSecond returns the time that n units take at the rate per second; it is zero if the rate is zero.
func perSecond(n int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// wait returns false if ctx ends before d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
