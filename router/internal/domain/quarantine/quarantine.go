// Package quarantine finds the requests, and the parts of prompts, that crash endpoints, and tells which requests must not be sent to them.
//
// Each crash of an endpoint that coincides with the beginning of an answer is recorded with the traits of that request: its fingerprint,
// which the same request has whenever it is sent, and the parts of its prompt that others may share. An answer that is sustained shows
// that its traits are harmless, and clears them from the crashes before it. A trait that remains in several crashes, while answers to
// requests without it begin, is quarantined for a while: requests that hold everything these crashes have in common are blocked. A crash
// with another cause hits requests at random, and the next answers that share their traits clear them. While no answer shows that there
// are other requests, which happens if nearly all crash endpoints, the block is unproven, and single requests are let through as trials,
// at growing intervals.
//
// Instances exchange the records. Records only lose traits, so that they can be merged in any order and more than once.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashThreshold is the number of incidents that quarantine a trait.
	crashThreshold = 3
	// crashSpacing is the time within which crashes count as one incident. Engines that lose power together crash within it.
	crashSpacing = 100 * time.Millisecond
	// seriesThreshold is the number of endpoints that crash in quick succession, in incidents that are seriesSpacing apart, until a trait
	// is blocked without proof.
	seriesThreshold = 5
	seriesSpacing   = 25 * time.Millisecond
	// quarantineTime is how long after its last crash a trait is blocked. If it crashes an engine after that, it is blocked again at
	// once, as long as the crashes before are remembered.
	quarantineTime = 4 * time.Minute
	// retention is how long a crash is remembered.
	retention = 10 * time.Minute
	// minTrialDelay is the time from the last crash to the first trial of an unproven rule. It multiplies by trialDelayFactor with each
	// trial that fails. Within trialRetryInterval there is one trial at most; it takes a while until it has an engine and an answer. A rule
	// whose trial is overdue by trialPeriod ends: the instance that may try gets no such requests.
	minTrialDelay      = 2 * time.Second
	trialDelayFactor   = 5
	trialRetryInterval = 5 * time.Second
	trialPeriod        = 20 * time.Second
	// minRetryAfter is the least time after which callers are asked to come back.
	minRetryAfter = time.Second
	// maxCauses is the number of traits that are assumed to crash engines at the same time.
	maxCauses = 3
	// maxCrashes bounds the records, maxTraits the traits of each, and maxIDBytes the length of each id in it.
	maxCrashes = 64
	maxTraits  = 16
	maxIDBytes = 64
)

// Crash is a crash of an endpoint at the beginning of a request's answer. Instances exchange it.
type Crash struct {
	// Request is the id of the request.
	Request string `json:"request"`
	// Endpoint is the endpoint that crashed.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Traits holds those of the request's traits that no later answer has cleared: its fingerprint and the parts of its prompt.
	Traits []string `json:"parts,omitempty"`
	// Others holds those of the traits without which an answer of the service has begun after the crash. Nothing shows yet that there
	// are requests without the rest of the traits.
	Others []string `json:"others,omitempty"`
	// AgeMS is the time in milliseconds since the crash.
	AgeMS int64 `json:"age_ms"`
}

// crashID identifies a crash. A request crashes an endpoint at most once.
type crashID struct{ request, endpoint string }

// record is a crash as this instance has it. It is immutable.
type record struct {
	service, endpoint string
	traits, others    []string
	// request is the fingerprint of the request while rules for parts are derived, for which traits holds the parts only.
	request string
	// own is set if this instance has observed the crash.
	own bool
	// at is when the crash happened, learnedAt when this instance learned of it; since boot.
	at, learnedAt time.Duration
}

// state is immutable because the request path reads it without a lock.
type state struct {
	crashes map[crashID]record
	rules   []blockRule
	// services holds the services of the crashes.
	services map[string]bool
}

// Tracker holds the crashes of all instances. It is safe for concurrent use. Times are since boot.
type Tracker struct {
	mu    sync.Mutex
	state atomic.Pointer[state]
	// ownChanges counts what this instance has added to or cleared from the records, blocked the requests that were blocked.
	ownChanges, blocked atomic.Int64
	// nextTrialAt is the earliest time of the next trial; since boot.
	nextTrialAt time.Duration
}

// New returns an empty Tracker.
func New() *Tracker {
	t := &Tracker{}
	t.state.Store(&state{crashes: map[crashID]record{}})
	return t
}

// HasCrashes reports whether there are records of crashes of the service's endpoints. If not, no request of the service is blocked, and
// its answers clear nothing.
func (t *Tracker) HasCrashes(service string) bool { return t.state.Load().services[service] }

// RecordCrash records that an endpoint crashed at the beginning of the answer to a request.
func (t *Tracker) RecordCrash(service, endpoint, request string, traits []string, now time.Duration) {
	c := Crash{Request: request, Endpoint: endpoint, Service: service, Traits: traits}
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := maps.Clone(t.state.Load().crashes)
	r := c.mergeInto(crashes, now)
	r.own = true
	crashes[c.id()] = r
	t.store(crashes, now)
	t.ownChanges.Add(1)
}

// RecordAnswer records an answer that began at the given time, which says something about the crashes that were known at that time. A
// sustained answer clears the traits of its request from them. RecordAnswer reports whether anything has changed.
func (t *Tracker) RecordAnswer(service string, traits []string, sustained bool, began, now time.Duration) bool {
	affects := func(r record) bool {
		return r.service == service && r.learnedAt <= began && (sustained && containsAny(r.traits, traits) || !containsAll(r.others, without(r.traits, traits)))
	}
	if !containsValue(t.state.Load().crashes, affects) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := maps.Clone(t.state.Load().crashes)
	for id, r := range crashes {
		if affects(r) {
			crashes[id] = r.afterAnswer(traits, sustained)
		}
	}
	t.store(crashes, now)
	t.ownChanges.Add(1)
	return true
}

// afterAnswer returns the record after an answer to a request with the given traits.
func (r record) afterAnswer(traits []string, sustained bool) record {
	r.others = union(r.others, without(r.traits, traits))
	if sustained {
		r.traits, r.others = without(r.traits, traits), without(r.others, traits)
	}
	return r
}

func union(a, b []string) []string { return append(slices.Clone(a), without(b, a)...) }

func containsAny(traits, wanted []string) bool {
	return slices.ContainsFunc(wanted, func(p string) bool { return slices.Contains(traits, p) })
}

func containsValue[K comparable, V any](m map[K]V, f func(V) bool) bool {
	for _, v := range m {
		if f(v) {
			return true
		}
	}
	return false
}

// without returns a copy of traits without those in removed.
func without(traits, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(traits), func(p string) bool { return slices.Contains(removed, p) })
}

// Blocked reports whether a request must not be sent, and after which time its caller should come back.
func (t *Tracker) Blocked(service string, traits []string, now time.Duration) (remaining time.Duration, blocked bool) {
	for _, v := range t.state.Load().rules {
		if v.blocks(service, traits, now) {
			blocked, remaining = true, max(remaining, v.retryAt()-now)
		}
	}
	if blocked {
		t.blocked.Add(1)
		remaining = max(remaining, minRetryAfter)
	}
	return remaining, blocked
}

func (v *blockRule) blocks(service string, traits []string, now time.Duration) bool {
	return v.service == service && now < v.until && containsAll(traits, v.traits)
}

// ClaimTrial reports whether a blocked request may be sent as a trial, which shows whether it still crashes engines. Only one instance of
// the fleet may call it, or there are several trials at a time.
func (t *Tracker) ClaimTrial(service string, traits []string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.state.Load().rules {
		if v.blocks(service, traits, now) && (!v.unproven || now < v.trialAt) {
			return false
		}
	}
	if now < t.nextTrialAt {
		return false
	}
	t.nextTrialAt = now + trialRetryInterval
	return true
}

func containsAll(traits, wanted []string) bool {
	for _, p := range wanted {
		if !slices.Contains(traits, p) {
			return false
		}
	}
	return true
}

// All lists the records.
func (t *Tracker) All(now time.Duration) []Crash {
	return t.list(now, func(record) bool { return true })
}

// Own lists the records of crashes that this instance has observed.
func (t *Tracker) Own(now time.Duration) []Crash {
	return t.list(now, func(r record) bool { return r.own })
}

// Suspect lists the records that have a trait of another record, and so may come to quarantine it.
func (t *Tracker) Suspect(now time.Duration) []Crash {
	occurrences := countTraits(t.state.Load().crashes)
	return t.list(now, func(r record) bool { return mostOccurrences(r, occurrences) > 1 })
}

// Supporting lists the records that support a rule.
func (t *Tracker) Supporting(now time.Duration) []Crash {
	inForce := t.state.Load().rules
	return t.list(now, func(r record) bool { return r.supports(inForce) })
}

// supports reports whether the record is one of those from which a rule was derived.
func (r record) supports(inForce []blockRule) bool {
	return slices.ContainsFunc(inForce, func(v blockRule) bool { return v.service == r.service && containsAll(r.traits, v.traits) })
}

func (t *Tracker) list(now time.Duration, include func(record) bool) (out []Crash) {
	for id, r := range t.state.Load().crashes {
		if include(r) {
			out = append(out, Crash{Request: id.request, Endpoint: id.endpoint, Service: r.service, Traits: r.traits, Others: r.others, AgeMS: (now - r.at).Milliseconds()})
		}
	}
	return out
}

// countTraits returns the number of records in which each trait occurs.
func countTraits(crashes map[crashID]record) map[string]int {
	occurrences := map[string]int{}
	for _, r := range crashes {
		for _, p := range r.traits {
			occurrences[p]++
		}
	}
	return occurrences
}

// mostOccurrences returns the largest number of occurrences of a trait of the record.
func mostOccurrences(r record, occurrences map[string]int) (most int) {
	for _, p := range r.traits {
		most = max(most, occurrences[p])
	}
	return most
}

// MergePeer merges records of another instance and reports whether anything has changed.
func (t *Tracker) MergePeer(reported []Crash, now time.Duration) bool {
	known := t.state.Load().crashes
	if !slices.ContainsFunc(reported, func(c Crash) bool { return c.changes(known) }) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := maps.Clone(t.state.Load().crashes)
	for _, c := range reported {
		if c.changes(crashes) {
			crashes[c.id()] = c.mergeInto(crashes, now)
		}
	}
	t.store(crashes, now)
	return true
}

func (c Crash) id() crashID { return crashID{truncate(c.Request), truncate(c.Endpoint)} }

func truncate(id string) string { return id[:min(len(id), maxIDBytes)] }

func (c Crash) age() time.Duration { return time.Duration(c.AgeMS) * time.Millisecond }

// changes reports whether merging the record changes the known ones.
func (c Crash) changes(known map[crashID]record) bool {
	r, ok := known[c.id()]
	if !ok {
		return c.AgeMS >= 0 && c.AgeMS < retention.Milliseconds()
	}
	return !containsAll(c.Traits, r.traits) || !containsAll(r.others, intersection(c.Others, r.traits))
}

// mergeInto returns the record merged with the known one, if there is one.
func (c Crash) mergeInto(known map[crashID]record, now time.Duration) record {
	r, ok := known[c.id()]
	if !ok {
		valid := slices.DeleteFunc(slices.Clone(c.Traits), func(p string) bool { return p == "" || len(p) > maxIDBytes })
		return record{service: truncate(c.Service), endpoint: truncate(c.Endpoint), traits: valid[:min(len(valid), maxTraits)], others: intersection(c.Others, valid), at: now - c.age(), learnedAt: now}
	}
	r.traits = intersection(r.traits, c.Traits)
	r.others = intersection(union(r.others, c.Others), r.traits)
	return r
}

func intersection(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(p string) bool { return !slices.Contains(b, p) })
}

// Restore merges records that were stored, as if this instance had observed them, and reports whether anything has changed.
func (t *Tracker) Restore(stored []Crash, now time.Duration) bool {
	changed := t.MergePeer(stored, now)
	if changed {
		t.ownChanges.Add(1)
	}
	return changed
}

// Prune forgets old crashes.
func (t *Tracker) Prune(now time.Duration) {
	if !containsValue(t.state.Load().crashes, func(r record) bool { return now-r.at >= retention }) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store(maps.Clone(t.state.Load().crashes), now)
}

// store replaces the records; t.mu must be held.
func (t *Tracker) store(crashes map[crashID]record, now time.Duration) {
	maps.DeleteFunc(crashes, func(_ crashID, r record) bool { return now-r.at >= retention })
	for len(crashes) > maxCrashes {
		delete(crashes, leastUseful(crashes, t.state.Load().rules))
	}
	services := map[string]bool{}
	for _, r := range crashes {
		services[r.service] = true
	}
	t.state.Store(&state{crashes: crashes, rules: deriveRules(crashes), services: services})
}

// leastUseful returns the record to give up first: the oldest that shares no trait with others, otherwise the oldest that supports no
// rule, otherwise the oldest.
func leastUseful(crashes map[crashID]record, inForce []blockRule) crashID {
	occurrences := countTraits(crashes)
	rank := func(r record) int {
		switch {
		case r.supports(inForce):
			return 2
		case mostOccurrences(r, occurrences) > 1:
			return 1
		}
		return 0
	}
	return slices.MinFunc(slices.Collect(maps.Keys(crashes)), func(a, b crashID) int {
		return cmp.Or(cmp.Compare(rank(crashes[a]), rank(crashes[b])), cmp.Compare(crashes[a].at, crashes[b].at),
			cmp.Compare(a.request, b.request), cmp.Compare(a.endpoint, b.endpoint))
	})
}

// Quarantined lists the traits of each rule that is in force.
func (t *Tracker) Quarantined(now time.Duration) (out [][]string) {
	for _, v := range t.state.Load().rules {
		if now < v.until && !slices.ContainsFunc(out, func(traits []string) bool { return slices.Equal(traits, v.traits) }) {
			out = append(out, v.traits)
		}
	}
	slices.SortFunc(out, slices.Compare)
	return out
}

// OwnChanges returns how often this instance has added to or cleared from the records.
func (t *Tracker) OwnChanges() int64 { return t.ownChanges.Load() }

// BlockedRequests returns the number of requests that were blocked.
func (t *Tracker) BlockedRequests() int64 { return t.blocked.Load() }
