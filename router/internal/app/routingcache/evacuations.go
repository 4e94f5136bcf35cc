package routingcache

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/evacuation"
)

const (
	// turnChecksPerLimit is how often, within the limit for evacuations, an instance checks whether it is to ask the platform for them.
	turnChecksPerLimit = 20
	// startCheckInterval is the interval of these checks until an instance knows the evacuations, startTimeout how long it waits for the list
	// of instances, which tells whether it is a collector, and for a message from one.
	startCheckInterval = 20 * time.Millisecond
	startTimeout       = 1800 * time.Millisecond
	// staleFraction is the fraction of the limit after which the evacuations that are known count as stale. The platform then does not
	// answer the collectors, or they do not reach this instance.
	staleFraction = 0.6
	// staleReaders is the mean number of instances that ask the platform at each check if the evacuations are stale for all of them.
	staleReaders = 2
	// maxReportAge is the age from which an answer of the platform to another instance tells nothing.
	maxReportAge = time.Hour
)

// EvacuationClient reads the evacuated domains from the platform.
type EvacuationClient interface {
	ListEvacuations(ctx context.Context) ([]routing.Evacuation, uint64, error)
	WatchEvacuations(ctx context.Context, since uint64, wait time.Duration) ([]routing.EvacuationChange, uint64, error)
}

// EvacuationReport is what instances report to each other about evacuations.
type EvacuationReport struct {
	evacuation.Snapshot
	// AgeMS is how many milliseconds ago the platform last answered any instance's call for them.
	AgeMS int64 `json:"age_ms"`
}

// evacuationReader holds the evacuated domains and decides when this instance asks the platform for them.
type evacuationReader struct {
	*evacuation.Tracker
	client EvacuationClient
	limit  time.Duration
	// startedAt is when the feed started, in time since boot.
	startedAt time.Duration
	restart   chan struct{}
	away      atomic.Bool
	// answeredAt is when the platform last answered this instance, confirmedAt when it last answered any, in time since boot.
	answeredAt, confirmedAt atomic.Int64
	// heardAt is when another instance last reported the evacuations, in time since boot. Instances of earlier versions never do.
	heardAt atomic.Int64
	// onEnd is called for each domain whose evacuation has ended.
	onEnd func(domain string)
	// mu guards announced, the evacuated domains that were announced last.
	mu        sync.Mutex
	announced []string
}

// ReadEvacuations has the cache read the evacuated domains, which must take effect within the limit. It must be called before Run. Without
// it, the cache makes no calls for them, and no domain is evacuated. The function is called for each domain whose evacuation has ended.
func (m *Cache) ReadEvacuations(c EvacuationClient, limit time.Duration, onEnd func(domain string)) {
	m.evacuations = &evacuationReader{Tracker: evacuation.New(), onEnd: onEnd, client: c, limit: limit, startedAt: m.sinceBoot(), restart: make(chan struct{}, 1)}
	m.evacuations.answeredAt.Store(int64(m.sinceBoot()))
	m.evacuations.confirmedAt.Store(int64(noOutage))
	m.evacuations.heardAt.Store(int64(noOutage))
}

// EvacuationsKnown reports whether this instance knows which domains are evacuated, or need not know it.
func (m *Cache) EvacuationsKnown() bool { return m.evacuations == nil || m.evacuations.Known() }

// AnyEvacuated reports whether any domain is evacuated.
func (m *Cache) AnyEvacuated() bool { return m.evacuations != nil && m.evacuations.Any() }

// IsEvacuated reports whether a domain is evacuated.
func (m *Cache) IsEvacuated(domain string) bool {
	return m.evacuations != nil && m.evacuations.InForce(domain)
}

// EvacuatedDomains returns the number of evacuated domains.
func (m *Cache) EvacuatedDomains() int {
	if m.evacuations == nil {
		return 0
	}
	return len(m.evacuations.Domains())
}

// EvacuationReport returns what other instances are told about evacuations; nil if it is not known or they are not read.
func (m *Cache) EvacuationReport() *EvacuationReport {
	if m.evacuations == nil || !m.evacuations.Known() {
		return nil
	}
	age := m.sinceBoot() - time.Duration(m.evacuations.confirmedAt.Load())
	return &EvacuationReport{Snapshot: m.evacuations.Snapshot(), AgeMS: max(0, age.Milliseconds())}
}

// ApplyEvacuationReport applies what another instance reports about evacuations.
func (m *Cache) ApplyEvacuationReport(r *EvacuationReport, from string) {
	e := m.evacuations
	if e == nil || r == nil {
		return
	}
	changed := e.Merge(r.Snapshot)
	if now := m.sinceBoot(); r.Revision > 0 && r.AgeMS >= 0 && r.AgeMS < maxReportAge.Milliseconds() {
		e.heardAt.Store(int64(now))
		e.confirm(now - time.Duration(r.AgeMS)*time.Millisecond)
	}
	m.announceEvacuations(changed, from)
}

// confirm records when the platform answered an instance's call for the evacuations.
func (e *evacuationReader) confirm(at time.Duration) {
	for {
		known := e.confirmedAt.Load()
		if int64(at) <= known || e.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// announceEvacuations logs a change of the evacuated domains and has the other instances told.
func (m *Cache) announceEvacuations(changed bool, from string) {
	if !changed {
		return
	}
	e := m.evacuations
	e.mu.Lock()
	before, domains := e.announced, e.Domains()
	e.announced = domains
	e.mu.Unlock()
	for _, domain := range before {
		if !slices.Contains(domains, domain) {
			e.onEnd(domain)
		}
	}
	m.logger.Warn().Str("event", "evacuations.changed").Str("from", from).Strs("domains", domains).Msg("endpoints of these domains get no requests")
	m.fleet.AnnounceEvacuations()
}

func (m *Cache) listEvacuations(ctx context.Context) (uint64, error) {
	list, revision, err := m.evacuations.client.ListEvacuations(ctx)
	if err != nil {
		return 0, err
	}
	first := !m.evacuations.Known()
	m.evacuations.confirm(m.sinceBoot())
	m.announceEvacuations(m.evacuations.ApplyList(list, revision), "platform")
	if first {
		m.fleet.AnnounceEvacuations() // starting instances wait to hear that there are none
	}
	return revision, nil
}

func (m *Cache) watchEvacuations(ctx context.Context, since uint64, wait time.Duration) (next uint64, changed bool, err error) {
	changes, next, err := m.evacuations.client.WatchEvacuations(ctx, since, wait)
	if err != nil {
		return 0, false, err
	}
	m.evacuations.confirm(m.sinceBoot())
	m.announceEvacuations(m.evacuations.ApplyChanges(changes, next), "platform")
	return next, len(changes) > 0, nil
}

// awaitEvacuationTurn waits until this instance is to ask the platform for the evacuations: if it is a collector, if it does not hear of
// them from others, or at random if what all have is stale. checkOnly is set if it is not to wait for a change.
func (m *Cache) awaitEvacuationTurn(ctx context.Context) (checkOnly bool) {
	e := m.evacuations
	for ctx.Err() == nil {
		now, interval := m.sinceBoot(), e.limit/turnChecksPerLimit
		age := now - e.startedAt
		switch {
		case m.fleet.IsCollector() && m.fleet.KnowsMembers():
			return false
		case !e.Known() && age >= startTimeout:
			return true
		case !e.Known():
			interval = startCheckInterval
		case e.isStale(&e.heardAt, now):
			return false
		case e.isStale(&e.confirmedAt, now) && rand.IntN(max(1, m.instanceCount())) < staleReaders:
			return true
		}
		background.SleepContext(ctx, interval)
	}
	return true
}

// isStale reports whether a time is staleFraction of the limit ago.
func (e *evacuationReader) isStale(at *atomic.Int64, now time.Duration) bool {
	return now-time.Duration(at.Load()) > time.Duration(staleFraction*float64(e.limit))
}

// evacuationWatchWait returns how long the next watch for evacuations waits; see watchWait. Only the collectors watch. Their waits are
// shorter, because the others depend on them.
func (m *Cache) evacuationWatchWait(afterChange bool) time.Duration {
	limit := m.evacuations.limit
	shortest := limit / minWaitDivisor
	if afterChange {
		return shortest + rand.N(max(1, shortest))
	}
	longest := limit / waitPerInstanceDivisor * time.Duration(min(max(1, m.instanceCount()), waitPerInstanceDivisor))
	return shortest + rand.N(max(1, longest-shortest))
}

// evacuationFeed returns the feed of the evacuations.
func (m *Cache) evacuationFeed() *feed {
	e := m.evacuations
	return &feed{name: "evacuations", limit: e.limit, restart: e.restart, away: &e.away, answeredAt: &e.answeredAt, list: m.listEvacuations,
		watch: m.watchEvacuations, wait: m.evacuationWatchWait, awaitTurn: m.awaitEvacuationTurn}
}
