package routingcache

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failedCheckPause is the shortest time between the own checks of an instance that is in contact with a collector, while they fail.
	failedCheckPause = 4 * time.Second
	// unansweredLimits is the time without an answer of the platform to any instance, in propagation limits, from which such an instance
	// checks as often as after a failure: the collector may be the one that is cut off.
	unansweredLimits = 2
)

// CallReason says why the platform is called.
type CallReason string

// The reasons of calls.
const (
	CallList  CallReason = "list"
	CallWatch CallReason = "watch"
	// CallRetry follows a call that failed or was interrupted, CallRequested a request by other parts of the instance.
	CallRetry     CallReason = "retry"
	CallRequested CallReason = "requested"
	// CallContactLost and CallDue are checks of an instance that otherwise learns of changes from a collector.
	CallContactLost CallReason = "contact_lost"
	CallDue         CallReason = "due"
)

// CallReasons lists all reasons.
var CallReasons = []CallReason{CallList, CallWatch, CallRetry, CallRequested, CallContactLost, CallDue}

// Call is a kind of calls: those of a feed for a reason.
type Call struct {
	Feed   string
	Reason CallReason
}

// callCounter counts calls of the platform.
type callCounter struct {
	mu     sync.Mutex
	counts map[Call]int64
}

func (c *callCounter) add(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Call]int64{}
	}
	c.counts[call]++
}

// Calls returns the numbers of calls of the platform so far.
func (m *Cache) Calls() map[Call]int64 {
	m.calls.mu.Lock()
	defer m.calls.mu.Unlock()
	return maps.Clone(m.calls.counts)
}

// ShortestLimit returns the shorter one of the propagation limits.
func (m *Cache) ShortestLimit() time.Duration { return min(m.limits.Config, m.limits.Endpoints) }

// ChangePause returns the least time between two fetches of changes from another instance.
func (m *Cache) ChangePause() time.Duration { return m.ShortestLimit() / changePauseDivisor }

// adoptedRevision returns the revision of the state in force if changes of the feed may be fetched from a collector.
func (m *Cache) adoptedRevision(feed string) (revision uint64, delegable bool) {
	switch feed {
	case configFeed:
		if t := m.Table(); t != nil {
			revision = t.Config.Revision
		}
	case endpointsFeed:
		revision = m.Endpoints().Revision
	default:
		return 0, false
	}
	return revision, true
}

// awaitOwnCheck waits while this instance learns of the changes of a feed from a collector, until its next own check is due or requested.
// It returns the reason of that check, or "" if there is no contact with a collector.
func (m *Cache) awaitOwnCheck(ctx context.Context, f *feed) (reason CallReason) {
	if _, delegable := m.adoptedRevision(f.name); !delegable {
		return ""
	}
	began := m.sinceBoot()
	longest := min(time.Duration(max(1, m.instanceCount()))*f.limit/waitPerInstanceDivisor, maxWatchWait)
	due, soon := began+longest+rand.N(max(1, longest)), began+failedCheckPause+rand.N(failedCheckPause)
	for ctx.Err() == nil {
		now, contact := m.sinceBoot(), m.fleet.CollectorContact()
		if contact <= 0 {
			return reason
		}
		reason = CallContactLost
		if age, _ := m.FleetAnswerAge(); f.away.Load() || age > unansweredLimits*f.limit {
			due = min(due, soon)
		}
		if now >= due {
			return CallDue
		}
		if sleepUntilRestart(ctx, f.restart, min(contact, due-now)) {
			return CallRequested
		}
	}
	return reason
}
