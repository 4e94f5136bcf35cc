package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/domain/fairqueue"
)

// lane queues the jobs of one model while its endpoints are full. A job that finds the lane empty does not enter it.
type lane struct {
	placer  *Placer
	waiting atomic.Int64

	mu      sync.Mutex
	queue   *fairqueue.Queue[*waiter]
	running bool
	rate    drainRate
	// hint is the wait that the endpoints' owners named for the last job that found no place.
	hint time.Duration
}

// waiter is a job in a lane.
type waiter struct {
	ctx    context.Context
	job    modelpath.PlacementRequest
	need   need
	since  time.Time
	answer chan answer
}

type answer struct {
	placement modelpath.Placement
	err       error
}

func newLane(p *Placer) *lane {
	return &lane{placer: p, queue: fairqueue.New[*waiter]()}
}

// wait queues the job until it is placed, refused or given up by its caller.
func (l *lane) wait(ctx context.Context, job modelpath.PlacementRequest, n need) (modelpath.Placement, error) {
	w := &waiter{ctx: ctx, job: job, need: n, since: l.placer.Clock.Now(), answer: make(chan answer, 1)}
	item := &fairqueue.Item[*waiter]{
		Customer: job.Customer.Name, Weight: job.Customer.Weight, Tokens: n.tokens(), LatestStart: n.deadline.Add(-n.unloaded), Value: w,
	}
	l.mu.Lock()
	if err := l.refuseEarly(item); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	l.queue.Push(item)
	l.waiting.Add(1)
	if !l.running {
		l.running = true
		l.rate.start(l.placer.Clock.Now())
		go l.pump()
	}
	l.mu.Unlock()
	select {
	case a := <-w.answer:
		return a.placement, a.err
	case <-ctx.Done():
	}
	l.mu.Lock()
	removed := l.queue.Remove(item)
	l.mu.Unlock()
	if removed {
		l.waiting.Add(-1)
		return nil, context.Cause(ctx)
	}
	// The answer was decided at the same moment.
	a := <-w.answer
	if a.placement != nil {
		a.placement.Release()
	}
	return nil, context.Cause(ctx)
}

// refuseEarly refuses a job that the requests before it would keep beyond its deadline. The caller holds the lock.
func (l *lane) refuseEarly(item *fairqueue.Item[*waiter]) error {
	ahead := l.queue.TokensAhead(item.Customer, item.Weight)
	wait, known := l.rate.timeFor(ahead, l.placer.Clock.Now())
	if !known {
		return nil
	}
	late := l.placer.Clock.Now().Add(wait).Sub(item.LatestStart)
	if late <= 0 {
		return nil
	}
	return overloaded(late)
}

// pump serves the head of the queue until the lane is empty. One job at a time is tried, which keeps the fair order.
func (l *lane) pump() {
	for {
		item := l.next()
		if item == nil {
			return
		}
		w := item.Value
		placement, pause, err := l.placer.try(w.ctx, w.job, w.need)
		switch {
		case placement != nil:
			l.grant(item, placement)
		case err != nil:
			l.refuse(item, err)
		default:
			l.setHint(pause)
			l.sleep(min(max(pause, minPause), maxPause))
		}
	}
}

// next refuses the jobs whose time is over and returns the head, or nil after it marked the lane as not running.
func (l *lane) next() *fairqueue.Item[*waiter] {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.placer.Clock.Now()
	for item := l.queue.PopExpired(now); item != nil; item = l.queue.PopExpired(now) {
		wait, _ := l.rate.timeFor(l.queue.TokensAhead(item.Customer, item.Weight), now)
		l.deliver(item, answer{err: overloaded(max(wait, l.hint))})
	}
	head := l.queue.Head()
	if head == nil {
		l.running = false
	}
	return head
}

func (l *lane) setHint(d time.Duration) {
	l.mu.Lock()
	l.hint = min(d, maxHint)
	l.mu.Unlock()
}

func (l *lane) grant(item *fairqueue.Item[*waiter], placement *reserved) {
	l.mu.Lock()
	defer l.mu.Unlock()
	placement.queued = l.placer.Clock.Now().Sub(item.Value.since)
	if !l.queue.Dequeue(item) {
		placement.Release()
		return
	}
	l.rate.served(item.Tokens, l.placer.Clock.Now())
	l.deliver(item, answer{placement: placement})
}

func (l *lane) refuse(item *fairqueue.Item[*waiter], err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Remove(item) {
		l.deliver(item, answer{err: err})
	}
}

// deliver hands the answer to a waiter that is out of the queue. The caller holds the lock.
func (l *lane) deliver(item *fairqueue.Item[*waiter], a answer) {
	l.waiting.Add(-1)
	item.Value.answer <- a
}

// sleep pauses for about d. The pause is random so that instances that wait for the same endpoint have equal chances
// for the next slot. For the same reason an instance is not woken by its own releases: it would always be the first.
func (l *lane) sleep(d time.Duration) {
	time.Sleep(d/2 + time.Duration(l.placer.Rand.IntN(int(d))))
}

// maxHint bounds a Retry-After that rests on one owner's prediction.
const maxHint = 10 * time.Second

// drainRate measures the tokens a second that leave a lane while it is never empty.
type drainRate struct {
	since  time.Time
	tokens float64
}

const (
	// rateWindow is the time over which the rate is averaged; a rate is known after rateMinimum.
	rateWindow  = 4 * time.Second
	rateMinimum = time.Second
)

func (r *drainRate) start(now time.Time) { *r = drainRate{since: now} }

func (r *drainRate) served(tokens int64, now time.Time) {
	r.tokens += float64(tokens)
	if passed := now.Sub(r.since); passed > rateWindow {
		r.tokens /= 2
		r.since = now.Add(-passed / 2)
	}
}

// timeFor estimates how long the tokens take to leave.
func (r *drainRate) timeFor(tokens int64, now time.Time) (time.Duration, bool) {
	passed := now.Sub(r.since)
	if r.since.IsZero() || passed < rateMinimum || r.tokens == 0 {
		return 0, false
	}
	perSecond := r.tokens / passed.Seconds()
	return time.Duration(float64(tokens) / perSecond * float64(time.Second)), true
}
