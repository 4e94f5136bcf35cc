// Package coldstart tracks which endpoints are cold. An endpoint is cold for some time after its start, and may become cold again. While
// it is, all instances together may send it only as many requests a second as its service's configuration says.
package coldstart

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// maxRemaining bounds the time for which an endpoint says that it is cold. Longer times are treated as errors and shortened.
	maxRemaining = 10 * time.Minute
	// returnColdTime is for how long the endpoints of a domain count as cold after its evacuation, unless they say otherwise. Their entries
	// say with the next heartbeat, every 1.2 s by default, whether they have become cold meanwhile, and reach the instances some time later.
	returnColdTime = 2500 * time.Millisecond
)

// period is the time during which an endpoint is cold after one start.
type period struct {
	service string
	startMS int64
	// stated is the revision of the entry that states it; zero if the entry states nothing.
	stated uint64
	// until is its end in time since boot.
	until time.Duration
}

// Tracker holds the cold endpoints. It is safe for concurrent use. Times are since boot.
type Tracker struct {
	// service returns the configuration of a service, or nil.
	service func(name string) *routing.Service

	mu      sync.Mutex
	periods atomic.Pointer[map[string]period]
}

// New returns an empty Tracker. The function returns the configuration of a service, or nil if there is none. It must not block.
func New(service func(name string) *routing.Service) *Tracker {
	t := &Tracker{service: service}
	t.periods.Store(&map[string]period{})
	return t
}

// limitOf returns the configured limit of the cold endpoints of a service, and for how long they are cold after their start.
func (t *Tracker) limitOf(service string) (perSecond float64, startup time.Duration) {
	s := t.service(service)
	if s == nil || s.ColdPerSecond <= 0 {
		return 0, 0
	}
	return s.ColdPerSecond, s.ColdStart
}

// RecordList records what the entries of endpoints say. wallMS is the current Unix time in milliseconds, with which an entry that states
// nothing is judged by its start.
func (t *Tracker) RecordList(endpoints map[string]routing.Endpoint, now time.Duration, wallMS int64) {
	t.update(func(next map[string]period) (changed bool) {
		for id, ep := range endpoints {
			perSecond, startup := t.limitOf(ep.Service)
			old, known := next[id]
			known = known && old.startMS == ep.StartedMS
			if perSecond == 0 || known && ep.ColdRevision <= old.stated {
				continue
			}
			remaining := time.Duration(ep.ColdMS) * time.Millisecond
			if ep.ColdRevision == 0 {
				remaining = startup - time.Duration(wallMS-ep.StartedMS)*time.Millisecond
			}
			if remaining <= 0 && !known {
				continue
			}
			next[id] = period{service: ep.Service, startMS: ep.StartedMS, stated: ep.ColdRevision, until: now + clamp(remaining)}
			changed = true
		}
		return changed
	})
}

// RecordAnswer records for how long an endpoint is cold according to one of its answers.
func (t *Tracker) RecordAnswer(ep routing.Endpoint, remaining, now time.Duration) {
	if perSecond, _ := t.limitOf(ep.Service); perSecond == 0 {
		return
	}
	if _, cold := t.Limit(ep, now); !cold && remaining <= 0 {
		return
	}
	t.update(func(next map[string]period) bool {
		next[ep.ID] = period{service: ep.Service, startMS: ep.StartedMS, stated: max(next[ep.ID].stated, ep.ColdRevision), until: now + clamp(remaining)}
		return true
	})
}

// RecordReturn records that the evacuation of a domain has ended, in which endpoints may have become cold.
func (t *Tracker) RecordReturn(domain string, endpoints map[string]routing.Endpoint, now time.Duration) {
	t.update(func(next map[string]period) (changed bool) {
		for id, ep := range endpoints {
			perSecond, startup := t.limitOf(ep.Service)
			if perSecond == 0 || ep.Domain != domain {
				continue
			}
			p := next[id]
			if p.startMS != ep.StartedMS {
				p = period{}
			}
			until := max(p.until, now+min(returnColdTime, startup))
			next[id] = period{service: ep.Service, startMS: ep.StartedMS, stated: max(p.stated, ep.ColdRevision), until: until}
			changed = true
		}
		return changed
	})
}

// clamp limits a stated remaining time to the valid range.
func clamp(d time.Duration) time.Duration { return max(0, min(d, maxRemaining)) }

// update replaces the periods by a changed copy, if the function changes it.
func (t *Tracker) update(change func(next map[string]period) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.periods.Load())
	if change(next) {
		t.periods.Store(&next)
	}
}

// Limit returns how many requests a second an endpoint may get from all instances, if it is cold and its service has such a limit.
func (t *Tracker) Limit(ep routing.Endpoint, now time.Duration) (perSecond float64, cold bool) {
	p, known := (*t.periods.Load())[ep.ID]
	if !known || p.startMS != ep.StartedMS || now >= p.until {
		return 0, false
	}
	perSecond, _ = t.limitOf(p.service)
	return perSecond, perSecond > 0
}

// Count returns the number of cold endpoints.
func (t *Tracker) Count(now time.Duration) (count int) {
	for _, p := range *t.periods.Load() {
		if now < p.until {
			count++
		}
	}
	return count
}

// Prune forgets endpoints that are not listed.
func (t *Tracker) Prune(listed func(endpoint string) bool) {
	t.update(func(next map[string]period) bool {
		before := len(next)
		maps.DeleteFunc(next, func(id string, _ period) bool { return !listed(id) })
		return len(next) != before
	})
}
