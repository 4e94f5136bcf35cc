package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/domain/fairqueue"
)

// modelQueue queues the jobs of one model while its endpoints are full. A job that arrives while the queue is empty is first
// tried without it.
type modelQueue struct {
	placer  *Placer
	waiting atomic.Int64

	mu        sync.Mutex
	queue     *fairqueue.Queue[*queuedJob]
	running   bool
	drainRate drainRate
	// waitHint is the wait that the endpoints' owners reported for the last job that could not be placed.
	waitHint time.Duration
}

// queuedJob is a job in the queue.
type queuedJob struct {
	ctx          context.Context
	job          modelpath.PlacementRequest
	requirements jobRequirements
	queuedAt     time.Time
	result       chan placementResult
}

type placementResult struct {
	placement modelpath.Placement
	err       error
}

func newModelQueue(p *Placer) *modelQueue {
	return &modelQueue{placer: p, queue: fairqueue.New[*queuedJob]()}
}

// enqueue queues the job and waits until it is placed or refused, or its caller gives up.
func (q *modelQueue) enqueue(ctx context.Context, job modelpath.PlacementRequest, requirements jobRequirements) (modelpath.Placement, error) {
	queued := &queuedJob{ctx: ctx, job: job, requirements: requirements, queuedAt: q.placer.Clock.Now(), result: make(chan placementResult, 1)}
	item := &fairqueue.Item[*queuedJob]{
		Customer: job.Customer.Name, Weight: job.Customer.Weight, Tokens: requirements.tokens(), LatestStart: requirements.deadline.Add(-requirements.unloadedLatency), Value: queued,
	}
	q.mu.Lock()
	if err := q.rejectIfTooLate(item); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.queue.Push(item)
	q.waiting.Add(1)
	if !q.running {
		q.running = true
		q.drainRate.reset(q.placer.Clock.Now())
		go q.serveQueue()
	}
	q.mu.Unlock()
	select {
	case result := <-queued.result:
		return result.placement, result.err
	case <-ctx.Done():
	}
	q.mu.Lock()
	removed := q.queue.Remove(item)
	q.mu.Unlock()
	if removed {
		q.waiting.Add(-1)
		return nil, context.Cause(ctx)
	}
	// The job left the queue before it could be removed, so its result is available.
	result := <-queued.result
	if result.placement != nil {
		result.placement.Release()
	}
	return nil, context.Cause(ctx)
}

// rejectIfTooLate refuses a job if the jobs ahead of it are expected to delay it beyond its deadline. The caller must hold l.mu.
func (q *modelQueue) rejectIfTooLate(item *fairqueue.Item[*queuedJob]) error {
	ahead := q.queue.TokensAhead(item.Customer, item.Weight)
	wait, known := q.drainRate.timeToDrain(ahead, q.placer.Clock.Now())
	if !known {
		return nil
	}
	late := q.placer.Clock.Now().Add(wait).Sub(item.LatestStart)
	if late <= 0 {
		return nil
	}
	return overloadedError(late)
}

// serveQueue places the jobs at the head of the queue until it is empty. It tries one job at a time to keep the fair order.
func (q *modelQueue) serveQueue() {
	for {
		item := q.nextJob()
		if item == nil {
			return
		}
		queued := item.Value
		placement, pause, err := q.placer.tryPlace(queued.ctx, queued.job, queued.requirements)
		switch {
		case placement != nil:
			q.grant(item, placement)
		case err != nil:
			q.reject(item, err)
		default:
			q.setWaitHint(pause)
			q.pause(min(max(pause, minRetryPause), maxRetryPause))
		}
	}
}

// nextJob refuses the jobs whose deadline has passed and returns the head of the queue. It returns nil and marks the loop as
// stopped if the queue is empty.
func (q *modelQueue) nextJob() *fairqueue.Item[*queuedJob] {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.placer.Clock.Now()
	for item := q.queue.PopExpired(now); item != nil; item = q.queue.PopExpired(now) {
		wait, _ := q.drainRate.timeToDrain(q.queue.TokensAhead(item.Customer, item.Weight), now)
		q.sendResult(item, placementResult{err: overloadedError(max(wait, q.waitHint))})
	}
	head := q.queue.Head()
	if head == nil {
		q.running = false
	}
	return head
}

func (q *modelQueue) setWaitHint(d time.Duration) {
	q.mu.Lock()
	q.waitHint = min(d, maxWaitHint)
	q.mu.Unlock()
}

func (q *modelQueue) grant(item *fairqueue.Item[*queuedJob], placement *reservedPair) {
	q.mu.Lock()
	defer q.mu.Unlock()
	placement.queuedFor = q.placer.Clock.Now().Sub(item.Value.queuedAt)
	if !q.queue.Dequeue(item) {
		placement.Release()
		return
	}
	q.drainRate.recordServed(item.Tokens, q.placer.Clock.Now())
	q.sendResult(item, placementResult{placement: placement})
}

func (q *modelQueue) reject(item *fairqueue.Item[*queuedJob], err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Remove(item) {
		q.sendResult(item, placementResult{err: err})
	}
}

// sendResult sends the result to a job that has left the queue. The caller must hold l.mu.
func (q *modelQueue) sendResult(item *fairqueue.Item[*queuedJob], result placementResult) {
	q.waiting.Add(-1)
	item.Value.result <- result
}

// pause sleeps for about d. The duration is random so that instances that wait for the same endpoint have equal chances for the
// next slot. For the same reason, releases of this instance do not wake it up: it would always be first.
func (q *modelQueue) pause(d time.Duration) {
	time.Sleep(d/2 + time.Duration(q.placer.Rand.IntN(int(d))))
}

// maxWaitHint is the upper bound of a Retry-After that is based on the prediction of a single owner.
const maxWaitHint = 10 * time.Second

// drainRate measures the tokens per second that leave a queue while it is not empty.
type drainRate struct {
	windowStart time.Time
	tokens      float64
}

const (
	// drainRateWindow is the averaging window of the rate; minDrainRateWindow is the time after which the rate is known.
	drainRateWindow    = 4 * time.Second
	minDrainRateWindow = time.Second
)

func (r *drainRate) reset(now time.Time) { *r = drainRate{windowStart: now} }

func (r *drainRate) recordServed(tokens int64, now time.Time) {
	r.tokens += float64(tokens)
	if elapsed := now.Sub(r.windowStart); elapsed > drainRateWindow {
		r.tokens /= 2
		r.windowStart = now.Add(-elapsed / 2)
	}
}

// timeToDrain estimates how long it takes until the given number of tokens has left the queue.
func (r *drainRate) timeToDrain(tokens int64, now time.Time) (time.Duration, bool) {
	elapsed := now.Sub(r.windowStart)
	if r.windowStart.IsZero() || elapsed < minDrainRateWindow || r.tokens == 0 {
		return 0, false
	}
	tokensPerSecond := r.tokens / elapsed.Seconds()
	return time.Duration(float64(tokens) / tokensPerSecond * float64(time.Second)), true
}
