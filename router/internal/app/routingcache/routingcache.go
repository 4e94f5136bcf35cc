// Package routingcache keeps a copy of the platform's routing configuration and endpoint list in the process. It reads both once
// and watches for changes from there. During a platform outage the last state stays in force, and newer snapshots from peers
// replace it.
package routingcache

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/routetable"
)

// receivingTimeout is how long after its last chunk a response still counts as arriving. A lost packet is retransmitted sooner.
const receivingTimeout = 500 * time.Millisecond

// PlatformClient reads the configuration and the endpoints from the platform.
type PlatformClient interface {
	ReadConfig(ctx context.Context) (*routing.Config, uint64, error)
	WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*routing.Config, uint64, error)
	ListEndpoints(ctx context.Context) ([]routing.Endpoint, uint64, error)
	WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) ([]routing.EndpointChange, uint64, error)
}

// EndpointList is the list of the endpoints that are used, as of a revision of the platform's list. It is immutable.
type EndpointList struct {
	Revision uint64                      `json:"revision"`
	ByID     map[string]routing.Endpoint `json:"byId"`
}

// Snapshot is the state that instances pass on to each other.
type Snapshot struct {
	Config *routing.Config `json:"config"`
	// Endpoints holds only endpoints that the platform lists.
	Endpoints *EndpointList `json:"endpoints"`
	// Kept holds the endpoints that the sender uses besides.
	Kept map[string]KeptEndpoint `json:"kept,omitempty"`
	// Evacuations is nil if the sender does not know them.
	Evacuations *EvacuationReport `json:"evacuations,omitempty"`
	// Changes replaces Endpoints in answers to instances that have named what they have.
	Changes *EndpointChanges `json:"changes,omitempty"`
}

// PropagationLimits are the times within which changes must take effect.
type PropagationLimits struct {
	Config    time.Duration
	Endpoints time.Duration
	// Heartbeat is the interval at which endpoints renew their entries in the platform's list; zero if unknown.
	Heartbeat time.Duration
}

// Fleet is what a cache needs to know of the other instances. Its methods are called with locks held and must not call the cache.
type Fleet interface {
	// IsCollector reports whether other instances hear of new versions from this one.
	IsCollector() bool
	// AnnounceVersions is called when the configuration or the endpoint list has a new version.
	AnnounceVersions()
	// AnnounceEvacuations is called when the evacuated domains have changed.
	AnnounceEvacuations()
	// KnowsMembers reports whether the list of instances is known, without which IsCollector is not reliable.
	KnowsMembers() bool
	// CollectorContact returns how long this instance may rely on a collector for new versions unless it hears of it again; zero or less if
	// it must watch the platform itself.
	CollectorContact() time.Duration
	// WatchingInstances returns the number of instances that watch the platform if this one does.
	WatchingInstances() int
}

// singleInstance is the Fleet of an instance without others.
type singleInstance struct{}

func (singleInstance) IsCollector() bool               { return false }
func (singleInstance) AnnounceVersions()               {}
func (singleInstance) AnnounceEvacuations()            {}
func (singleInstance) KnowsMembers() bool              { return true }
func (singleInstance) CollectorContact() time.Duration { return 0 }
func (singleInstance) WatchingInstances() int          { return math.MaxInt }

// configFeed and endpointsFeed are the names of the feeds.
const (
	configFeed    = "config"
	endpointsFeed = "endpoints"
)

// Feeds lists the feeds whose calls are counted.
var Feeds = []string{configFeed, endpointsFeed}

// Cache holds the configuration and the endpoint list. It is safe for concurrent use.
type Cache struct {
	platform PlatformClient
	limits   PropagationLimits
	// instanceCount returns the number of instances that watch the platform and hear of newer versions from each other.
	instanceCount func() int
	fleet         Fleet
	logger        *log.Logger
	sinceBoot     func() time.Duration

	table     atomic.Pointer[routetable.Table]
	endpoints atomic.Pointer[EndpointList]

	// lastReceivedAt is when the last chunk of a response arrived, in time since boot.
	lastReceivedAt atomic.Int64
	// configAnsweredAt and endpointsAnsweredAt are when the last call of each feed succeeded, in time since boot.
	configAnsweredAt, endpointsAnsweredAt atomic.Int64
	malformedConfigs                      atomic.Int64
	// away is set while the calls of the feed for the configuration, and of that for the endpoints, fail.
	away [2]atomic.Bool
	// ownAnswer is when the platform last answered this instance, fleetAnswer when it last answered any, in time since boot; noOutage if
	// it never did.
	ownAnswer, fleetAnswer atomic.Int64

	mu sync.Mutex
	// listed holds the endpoints in the platform's newest known list, kept those that have been missing in it since an outage and are used
	// for now.
	listed map[string]routing.Endpoint
	kept   map[string]keptEndpoint
	outage outageDetector
	// restoredAt is when the platform was last restored from a backup; noOutage if never.
	restoredAt time.Duration
	// failedCalls counts consecutive failed calls for the endpoint list since firstFailure. failedSince and recoveredAt are the
	// beginning and the end of the latest series of outageThreshold or more.
	failedCalls              int
	firstFailure             time.Duration
	failedSince, recoveredAt time.Duration
	// departures holds what must survive a restore of the store from a backup.
	departures   departureLog
	history      listHistory
	calls        callCounter
	restartWatch [2]chan struct{}
	// era is the highest era of the store in a response.
	era atomic.Uint64
	// onEndpoints is called with each new list of endpoints.
	onEndpoints func(byID map[string]routing.Endpoint)
	// evacuations is nil if evacuations are not read.
	evacuations *evacuationReader
}

// noOutage is the value of times of events that have not occurred.
const noOutage = time.Duration(math.MinInt64 / 2)

// New returns a cache without a configuration and with an empty endpoint list. The function instanceCount returns the number of
// instances in the fleet, and boot the time since boot.
func New(p PlatformClient, limits PropagationLimits, instanceCount func() int, logger *log.Logger, boot func() time.Duration) *Cache {
	m := &Cache{
		platform: p, limits: limits, instanceCount: instanceCount, fleet: singleInstance{},
		onEndpoints: func(map[string]routing.Endpoint) {}, logger: logger, sinceBoot: boot, kept: map[string]keptEndpoint{},
		recoveredAt: noOutage, departures: newDepartureLog(), outage: newOutageDetector(limits.Heartbeat, boot()),
		restoredAt: noOutage,
	}
	m.ownAnswer.Store(int64(noOutage))
	m.fleetAnswer.Store(int64(noOutage))
	m.lastReceivedAt.Store(int64(noOutage))
	m.configAnsweredAt.Store(int64(boot()))
	m.endpointsAnsweredAt.Store(int64(boot()))
	for i := range m.restartWatch {
		m.restartWatch[i] = make(chan struct{}, 1)
	}
	m.endpoints.Store(&EndpointList{ByID: map[string]routing.Endpoint{}})
	return m
}

// Connect connects the cache with the other instances. It must be called before Run.
func (m *Cache) Connect(f Fleet) { m.fleet = f }

// OnEndpoints sets a function that is called with each new list of endpoints, which it must not change. It must be set before Run, must not
// block and must not call methods of the cache but for Table.
func (m *Cache) OnEndpoints(f func(byID map[string]routing.Endpoint)) { m.onEndpoints = f }

// Table returns the routing table of the configuration in force, or nil if none is known yet.
func (m *Cache) Table() *routetable.Table { return m.table.Load() }

// Endpoints returns the current endpoint list.
func (m *Cache) Endpoints() *EndpointList { return m.endpoints.Load() }

// IsComplete reports whether the configuration, the endpoint list and, if they are followed, the evacuations are known. Without the list,
// requests would be refused although endpoints exist.
func (m *Cache) IsComplete() bool {
	return m.Table() != nil && m.Endpoints().Revision > 0 && m.EvacuationsKnown()
}

// AnswerAges returns how long ago the platform last answered a call for the configuration and one for the endpoint list. They
// grow while a watch waits for a change; a lost watch shows as an age beyond its wait.
func (m *Cache) AnswerAges() (config, endpoints time.Duration) {
	now := m.sinceBoot()
	return now - time.Duration(m.configAnsweredAt.Load()), now - time.Duration(m.endpointsAnsweredAt.Load())
}

// Versions returns the version of the configuration and the revision of the endpoint list.
func (m *Cache) Versions() (config, endpoints uint64) {
	if t := m.Table(); t != nil {
		config = t.Config.Version
	}
	return config, m.Endpoints().Revision
}

// IsReceiving reports whether a response from the platform is arriving. Large responses take seconds on slow links.
func (m *Cache) IsReceiving() bool {
	return m.sinceBoot()-time.Duration(m.lastReceivedAt.Load()) < receivingTimeout
}

// IsAway reports whether calls for the endpoint list fail: the platform is away, or rejects this instance.
func (m *Cache) IsAway() bool { return m.away[1].Load() }

// RestartWatches ends the open watch calls, and pauses after failed calls, because another instance has seen a newer version. List calls continue, since they
// return the newest state anyway.
func (m *Cache) RestartWatches() {
	for _, c := range m.restartWatch {
		requestRestart(c)
	}
}

// requestRestart requests the end of an open watch call, unless a request is pending.
func requestRestart(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run follows the platform's changes until ctx ends.
func (m *Cache) Run(ctx context.Context) {
	ctx = routing.WithProgress(ctx, func() { m.lastReceivedAt.Store(int64(m.sinceBoot())) })
	var wg sync.WaitGroup
	for _, f := range m.feeds() {
		wg.Go(func() { m.superviseFeed(ctx, f) })
	}
	wg.Wait()
}

// feeds returns the feeds that the cache follows.
func (m *Cache) feeds() []*feed {
	feeds := []*feed{
		{name: configFeed, limit: m.limits.Config, restart: m.restartWatch[0], away: &m.away[0], answeredAt: &m.configAnsweredAt,
			list: m.readConfig, watch: m.watchConfig,
			wait: func(afterChange bool) time.Duration { return m.watchWait(m.limits.Config, afterChange) }},
		{name: endpointsFeed, limit: m.limits.Endpoints, restart: m.restartWatch[1], away: &m.away[1], answeredAt: &m.endpointsAnsweredAt,
			list: m.listEndpoints, watch: m.watchEndpoints,
			wait: func(afterChange bool) time.Duration { return m.watchWait(m.limits.Endpoints, afterChange) }},
	}
	if m.evacuations != nil {
		feeds = append(feeds, m.evacuationFeed())
	}
	for i, f := range feeds {
		f.others = slices.Concat(feeds[:i], feeds[i+1:])
	}
	return feeds
}

func (m *Cache) readConfig(ctx context.Context) (uint64, error) {
	c, revision, err := m.platform.ReadConfig(ctx)
	return m.handleConfig(c, revision, err)
}

func (m *Cache) watchConfig(ctx context.Context, since uint64, wait time.Duration) (next uint64, changed bool, err error) {
	c, next, err := m.platform.WatchConfig(ctx, since, wait)
	changed = c != nil || errors.Is(err, routing.ErrMalformedConfig)
	next, err = m.handleConfig(c, next, err)
	return next, changed, err
}

// handleConfig applies the configuration in a response. A version that cannot be decoded is skipped: the one in force stays, and the
// feed continues after it, so that later versions are read.
func (m *Cache) handleConfig(c *routing.Config, revision uint64, err error) (uint64, error) {
	if c != nil {
		m.applyConfig(c, "platform")
	}
	if errors.Is(err, routing.ErrMalformedConfig) {
		m.malformedConfigs.Add(1)
		m.logger.Error().Str("event", "config.malformed").Uint64("era", routing.Era(revision)).Uint64("revision", routing.Number(revision)).Err(err).Msg("")
		err = nil
	}
	return revision, err
}

// MalformedConfigs returns the number of responses so far with a version of the configuration that could not be decoded.
func (m *Cache) MalformedConfigs() int64 { return m.malformedConfigs.Load() }

// applyConfig applies a configuration if it is newer than the current one.
func (m *Cache) applyConfig(c *routing.Config, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.Table(); t != nil && !isNewer(c, t.Config.Version, t.Config.Revision) {
		return
	}
	m.table.Store(routetable.New(c))
	m.fleet.AnnounceVersions()
	m.logger.Info().Str("event", "config.applied").Str("from", from).Uint64("version", c.Version).
		Uint64("era", routing.Era(c.Revision)).Uint64("revision", routing.Number(c.Revision)).Int("routes", len(c.Routes)).Int("customers", len(c.Customers)).Msg("")
}

func (m *Cache) listEndpoints(ctx context.Context) (uint64, error) {
	list, revision, err := m.platform.ListEndpoints(ctx)
	if err != nil {
		m.recordFailure(ctx, err)
		return 0, err
	}
	m.recordSuccess()
	byID := make(map[string]routing.Endpoint, len(list))
	for _, e := range list {
		byID[e.ID] = e
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.Endpoints().Revision {
		m.replaceList(byID, revision)
	}
	return revision, nil
}

func (m *Cache) watchEndpoints(ctx context.Context, since uint64, wait time.Duration) (next uint64, changed bool, err error) {
	changes, next, err := m.platform.WatchEndpoints(ctx, since, wait)
	if err != nil {
		m.recordFailure(ctx, err)
		return 0, false, err
	}
	m.recordSuccess()
	if len(changes) == 0 {
		return next, false, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if next < m.Endpoints().Revision {
		return next, true, nil // another instance's list is newer
	}
	listed := maps.Clone(m.listed)
	var written []string
	for _, c := range changes {
		if c.Endpoint == nil {
			delete(listed, c.ID)
			continue
		}
		delete(m.departures.byID, c.ID) // it was written again
		written = append(written, c.ID)
		listed[c.ID] = *c.Endpoint
	}
	m.replaceList(listed, next)
	m.history.addWritten(written)
	return next, true, nil
}

// recordFailure counts a failed call for the endpoint list.
func (m *Cache) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, routing.ErrHistoryGone) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedCalls == 0 {
		m.firstFailure = m.sinceBoot()
	}
	m.failedCalls++
	if errors.Is(err, context.DeadlineExceeded) {
		m.failedCalls = max(m.failedCalls, outageThreshold)
	}
}

func (m *Cache) recordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedCalls >= outageThreshold {
		m.failedSince, m.recoveredAt = m.firstFailure, m.sinceBoot()
	}
	m.failedCalls = 0
	m.recordOwnAnswer()
}

// Settled reports whether the endpoint list is reliable: the platform is reachable and has not just returned from an outage.
func (m *Cache) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sinceBoot()
	return m.failedCalls < outageThreshold && now-m.recoveredAt > expiredEndpointGrace && now > m.keepsExpiredUntil()
}
