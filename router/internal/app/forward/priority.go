package forward

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/priority"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// yieldInterval is the mean interval at which a request that yields to more urgent ones looks for room.
	yieldInterval = 20 * time.Millisecond
	// refusalPeriod is how long the endpoints of a service count as refusing after one of them has refused a request.
	refusalPeriod = time.Second
	// minCountedWait is the wait for a slot from which a request counts as having waited.
	minCountedWait = 5 * time.Millisecond
)

// prioritize determines the class in which the request is admitted.
func (r *requestState) prioritize() {
	r.priorities = r.table.Priorities(r.service.Name)
	if !r.priorities.Differ {
		return
	}
	effective := priority.Effective(r.route, r.customer)
	r.call.Priority = &effective
	r.class = r.priorities.Class(effective, r.beyondRate())
}

// beyondRate reports whether the customer is using up its burst.
func (r *requestState) beyondRate() bool {
	if r.customer == nil {
		return false
	}
	return r.RateLimiter.Delay(sharedlimit.CustomerQuota(r.customer), priority.Allowance(r.customer), r.SinceBoot()) > 0
}

// reservedPosition returns the position in which the request is queued first if it belongs to the reserved share of the less urgent
// ones, and nil otherwise. It is the position of a most urgent request that arrives now, so that it is served as often as those.
func (r *requestState) reservedPosition(latestStart time.Duration) *waitlist.Position {
	if !r.priorities.Reserves(r.class, r.call.RequestID) {
		return nil
	}
	if own, urgent := r.route.Objective, r.priorities.Objective; own > urgent && urgent > 0 {
		latestStart -= own - urgent
	}
	return &waitlist.Position{Class: r.priorities.Class(r.priorities.MostUrgent, false), LatestStart: latestStart}
}

// priorityResult is what became of a request of a service whose requests differ in priority.
type priorityResult string

const (
	resultAdmitted priorityResult = "admitted"
	resultWaited   priorityResult = "waited"
	resultRefused  priorityResult = "refused"
)

func (r *requestState) countPriority(result priorityResult) {
	if r.priorities.Differ {
		name := fmt.Sprintf("priority.requests;priority=%d;result=%s", r.class.Priority(), result)
		metrics.GetOrRegisterCounter(name, r.metrics.registry).Inc(1)
	}
}

// countSlot counts the result of the wait for a slot.
func (r *requestState) countSlot(waited time.Duration, err error) {
	switch {
	case fault.Is(err, fault.Overloaded):
		r.countPriority(resultRefused)
	case err == nil && waited >= minCountedWait:
		r.countPriority(resultWaited)
	case err == nil:
		r.countPriority(resultAdmitted)
	}
}

// yield holds a less urgent request back while all plain endpoints are full. It returns an error if the request is refused.
func (r *requestState) yield() error {
	for result := resultAdmitted; ; result = resultWaited {
		switch r.plainRequest().Decide() {
		case priority.Send:
			r.countPriority(result)
			return nil
		case priority.Refuse:
			r.countPriority(resultRefused)
			return fault.New(fault.Overloaded, "all endpoints are busy with more urgent requests; come back after Retry-After").
				WithRetryAfter(noEndpointRetryAfter + time.Duration(r.Random()*float64(noEndpointRetryAfter)))
		}
		background.SleepContext(r.ctx, time.Duration((0.5+r.Random())*float64(yieldInterval)))
		if err := r.ctx.Err(); err != nil {
			return err
		}
	}
}

func (r *requestState) plainRequest() priority.PlainRequest {
	p := priority.PlainRequest{Service: r.priorities, Class: r.class, ID: r.call.RequestID, HasRoom: true}
	if !r.priorities.Differ {
		return p
	}
	now := r.SinceBoot()
	p.HasRoom = r.hasPlainRoom(now)
	p.Refusing = r.refusals.refusing(r.service.Name, now)
	p.Waited, p.Objective = now-r.req.Arrived, min(r.route.Objective, r.deadline-r.req.Arrived)
	return p
}

// hasPlainRoom reports whether an endpoint has fewer requests of all instances than slots. Endpoints whose slots are unknown have
// room, and so does a service without usable endpoints, which is decided about elsewhere.
func (r *requestState) hasPlainRoom(now time.Duration) bool {
	usable := health.UsableEndpoints(r.Health, r.stage(""), endpointID, now)
	for _, ep := range usable {
		if ep.Slots == 0 || r.EndpointLoad.TotalAt(ep.ID).Requests < ep.Slots {
			return true
		}
	}
	return len(usable) == 0
}

// refusalTimes holds when an endpoint of each plain service last refused a request. It is safe for concurrent use.
type refusalTimes struct {
	mu     sync.Mutex
	latest map[string]time.Duration
}

func (t *refusalTimes) refusing(service string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.latest[service]
	return known && now-at < refusalPeriod
}

// record records the failure of a request if it is the refusal of an endpoint that was reached.
func (t *refusalTimes) record(service string, err error, now time.Duration) {
	if !errors.Is(err, routing.ErrNotRun) || errors.Is(err, routing.ErrMisdirected) || health.IsUnreachable(err) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest == nil {
		t.latest = map[string]time.Duration{}
	}
	t.latest[service] = now
}
