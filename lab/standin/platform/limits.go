package platform

import (
	"sync"
	"time"

	"tanagerwood.dev/api/platform"
)

// CallCounts holds the number of calls for one kind of object.
type CallCounts struct {
	Reads       int64 `json:"reads"`
	NotModified int64 `json:"notModified"`
	Lists       int64 `json:"lists"`
	Writes      int64 `json:"writes"`
	Deletes     int64 `json:"deletes"`
	Conflicts   int64 `json:"conflicts"`
	// Watches counts each watch once, however long it stays open.
	Watches int64 `json:"watches"`
	// Limited counts the responses with status 429, Failed those with 503.
	Limited int64 `json:"limited"`
	Failed  int64 `json:"failed"`
}

// Calls is the response body of GET /calls. Total counts every call once, including rejected ones.
type Calls struct {
	Total int64                        `json:"total"`
	Kinds map[platform.Kind]CallCounts `json:"kinds"`
}

// kindInstances is the kind under which calls of the instance list are counted.
const kindInstances platform.Kind = "instances"

type counters struct {
	mu    sync.Mutex
	total int64
	kinds map[platform.Kind]*CallCounts
}

func newCounters() *counters { return &counters{kinds: make(map[platform.Kind]*CallCounts)} }

func (c *counters) countCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
}

func (c *counters) count(kind platform.Kind, add func(*CallCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		k = &CallCounts{}
		c.kinds[kind] = k
	}
	add(k)
}

func (c *counters) get() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := Calls{Total: c.total, Kinds: make(map[platform.Kind]CallCounts, len(c.kinds))}
	for kind, k := range c.kinds {
		calls.Kinds[kind] = *k
	}
	return calls
}

// limiter is a token bucket whose capacity is one second of calls. A rate of zero means no limit.
type limiter struct {
	rate float64
	now  func() time.Time

	mu    sync.Mutex
	level float64
	last  time.Time
}

func newLimiter(perSecond float64, now func() time.Time) *limiter {
	return &limiter{rate: perSecond, now: now, level: perSecond, last: now()}
}

func (l *limiter) allow() bool {
	if l.rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.level = min(l.rate, l.level+l.rate*now.Sub(l.last).Seconds())
	l.last = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}
