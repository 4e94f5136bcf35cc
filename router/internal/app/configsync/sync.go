// Package configsync keeps the configuration up to date. It polls the platform, fetches newer revisions from peers, validates
// each revision, and puts the valid ones into force.
package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/port"
)

const (
	// DefaultPollInterval is the default time between polls. While the platform is up, a revision is in force everywhere after
	// one interval and one call, well within the 5 s of G12.
	DefaultPollInterval = time.Second
	// peerTimeout bounds the fetch of a snapshot from a peer. Polls of the platform continue in the meantime.
	peerTimeout = 2 * time.Second
	// maxAskedRouters bounds how many routers are asked at once, because each reply may have 1 MB.
	maxAskedRouters = 4
	// maxStatusProblems bounds the size of the status object. A hostile catalogue may have more problems than fit into 1 MB.
	maxStatusProblems = 100
)

// revisionSource says where a revision came from.
type revisionSource string

const (
	fromPlatform revisionSource = "platform"
	fromPeer     revisionSource = "peer"
)

// Options configures a Syncer.
type Options struct {
	// Instance is this instance's name, written into the catalogue status.
	Instance string
	// SeedAddresses are peer addresses that are asked at the start, in addition to the routers of the instance list.
	SeedAddresses []string
	// SelfAddress is this instance's own peer address, which is skipped.
	SelfAddress string
	Platform    port.Platform
	Peers       port.Peers
	Events      port.EventLog
	// PollInterval is the time between polls; DefaultPollInterval if zero.
	PollInterval time.Duration
	// OverridePolicy applies this instance's overrides to a revision's policy; nil applies none. Peers get the revision
	// unchanged.
	OverridePolicy func(catalogue.Policy) catalogue.Policy
	// Metrics receives the counters; the default registry if nil.
	Metrics metrics.Registry
}

// Syncer implements port.Config.
type Syncer struct {
	options          Options
	current          atomic.Pointer[config.Snapshot]
	instances        atomic.Pointer[instanceList]
	peerRevisionSeen chan struct{}
	statusPending    chan struct{}
	counters         counters
	initialLoaded    atomic.Bool

	mu sync.Mutex
	// rawCatalogue is the JSON of the revision in force, for peers.
	rawCatalogue json.RawMessage
	// rejected holds the platform's invalid revisions above the one in force.
	rejected map[uint64]bool
	// peerRejected is the newest invalid revision that a peer sent. It is not in rejected, since only the platform's copy decides
	// whether a revision is valid.
	peerRejected uint64
	// newestAtPeers is the newest revision reported by a peer and not yet fetched.
	newestAtPeers peerRevision
	// status is the newest status that is not known to be written to the platform.
	status *catalogue.Status

	// applying serializes configuration changes and the calls of their subscribers.
	applying    sync.Mutex
	subscribers []func(*config.Snapshot)
}

type peerRevision struct {
	address  string
	revision uint64
}

var _ port.Config = (*Syncer)(nil)

// New returns a Syncer with an empty configuration of revision 0.
func New(o Options) *Syncer {
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	s := &Syncer{
		options:          o,
		peerRevisionSeen: make(chan struct{}, 1),
		statusPending:    make(chan struct{}, 1),
		counters:         newCounters(o.Metrics),
		rejected:         make(map[uint64]bool),
	}
	s.current.Store(config.New(0, catalogue.Catalogue{}))
	s.instances.Store(&instanceList{})
	return s
}

// Run follows the platform and the peers until ctx ends. It calls LoadInitial first unless that has been called before.
func (s *Syncer) Run(ctx context.Context) {
	if !s.initialLoaded.Load() {
		s.LoadInitial(ctx)
	}
	var loops sync.WaitGroup
	loops.Go(func() { s.runEvery(ctx, s.pollCatalogue) })
	loops.Go(func() { s.runEvery(ctx, s.pollInstances) })
	loops.Go(func() { s.runOnSignal(ctx, s.peerRevisionSeen, s.fetchNewestAtPeers) })
	loops.Go(func() { s.runOnSignal(ctx, s.statusPending, s.writeStatus) })
	loops.Wait()
}

// LoadInitial asks the platform, the seeds and some routers of the instance list once. A peer's reply may be newer than a stale
// read of the platform.
func (s *Syncer) LoadInitial(ctx context.Context) {
	s.initialLoaded.Store(true)
	var asked sync.WaitGroup
	asked.Go(func() { s.pollCatalogue(ctx) })
	asked.Go(func() { s.pollInstances(ctx) })
	asked.Go(func() { s.fetchFromPeers(ctx, s.options.SeedAddresses) })
	asked.Wait()
	s.fetchFromPeers(ctx, s.sampleRouters())
}

// Current implements port.Config.
func (s *Syncer) Current() *config.Snapshot { return s.current.Load() }

// Subscribe implements port.Config.
func (s *Syncer) Subscribe(f func(*config.Snapshot)) {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Snapshot returns the configuration for a peer that asks for it.
func (s *Syncer) Snapshot() peer.Snapshot {
	list := s.instances.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	return peer.Snapshot{Revision: s.Current().Revision, Catalogue: s.rawCatalogue, Instances: list.all}
}

// ReceiveSnapshot handles a peer's request for a snapshot.
func (s *Syncer) ReceiveSnapshot(context.Context) (peer.Snapshot, error) { return s.Snapshot(), nil }

// Status returns the newest revision that this instance has validated, and the result.
func (s *Syncer) Status() (revision uint64, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, valid = s.Current().Revision, true
	for r := range s.rejected {
		if r > revision {
			revision, valid = r, false
		}
	}
	return revision, valid
}

// NotifyPeerRevision notes that the peer at the address has the revision in force. It does not block.
func (s *Syncer) NotifyPeerRevision(address string, revision uint64) {
	if s.isKnown(revision) {
		return
	}
	s.mu.Lock()
	if revision >= s.newestAtPeers.revision {
		s.newestAtPeers = peerRevision{address: address, revision: revision}
	}
	s.mu.Unlock()
	notify(s.peerRevisionSeen)
}

// isKnown reports whether the revision need not be fetched.
func (s *Syncer) isKnown(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision <= s.Current().Revision || s.rejected[revision] || revision == s.peerRejected
}

func (s *Syncer) runEvery(ctx context.Context, step func(context.Context)) {
	ticker := time.NewTicker(s.options.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Syncer) runOnSignal(ctx context.Context, signal <-chan struct{}, step func(context.Context)) {
	for {
		select {
		case <-signal:
			step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default: // a notification is already pending
	}
}

// pollCatalogue reads the catalogue if it is newer than the newest validated revision.
func (s *Syncer) pollCatalogue(ctx context.Context) {
	version, _ := s.Status()
	o, changed, err := s.options.Platform.GetNewer(ctx, platform.KindCatalogue, platform.SingletonName, version)
	if err != nil {
		s.counters.pollFailed.Inc(1)
		if s.Current().Revision == 0 {
			s.fetchFromPeers(ctx, s.sampleRouters())
		}
		return
	}
	if changed {
		s.validateAndApply(o.Version, o.Value, fromPlatform)
	}
	s.retryPendingStatus()
}

// fetchFromPeers fetches and validates the snapshots of all addresses.
func (s *Syncer) fetchFromPeers(ctx context.Context, addresses []string) {
	var asked sync.WaitGroup
	for _, address := range addresses {
		if address != s.options.SelfAddress {
			asked.Go(func() { s.fetchFromPeer(ctx, address) })
		}
	}
	asked.Wait()
}

// fetchNewestAtPeers fetches the newest revision reported by a peer. Heartbeats are relayed, so the peer may be unreachable from
// here; then some other routers are asked. The next heartbeat triggers another attempt.
func (s *Syncer) fetchNewestAtPeers(ctx context.Context) {
	s.mu.Lock()
	want := s.newestAtPeers
	s.newestAtPeers = peerRevision{}
	s.mu.Unlock()
	if want.address == "" || s.isKnown(want.revision) {
		return
	}
	if !s.fetchFromPeer(ctx, want.address) {
		s.fetchFromPeers(ctx, s.sampleRouters())
	}
}

func (s *Syncer) fetchFromPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	snapshot, err := s.options.Peers.Snapshot(ctx, address)
	if err != nil {
		s.counters.peerFailed.Inc(1)
		return false
	}
	s.adoptPeerInstances(snapshot.Instances)
	if snapshot.Revision > 0 {
		s.validateAndApply(snapshot.Revision, snapshot.Catalogue, fromPeer)
	}
	return true
}

// validateAndApply validates a revision that is newer than the one in force, and applies it if it is valid. A valid revision is
// applied even if a newer one was rejected, because an instance that starts after the rejection can get the valid one only from
// peers.
func (s *Syncer) validateAndApply(revision uint64, raw json.RawMessage, from revisionSource) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.isNewer(revision, from) {
		s.counters.stale.Inc(1)
		return
	}
	c, problems := catalogue.Check(raw)
	if len(problems) > 0 {
		s.reject(revision, problems, from)
		return
	}
	if s.options.OverridePolicy != nil {
		c.Policy = s.options.OverridePolicy(c.Policy)
	}
	s.apply(config.New(revision, c), raw, from)
}

func (s *Syncer) isNewer(revision uint64, from revisionSource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == fromPeer && revision == s.peerRejected {
		return false
	}
	return revision > s.Current().Revision && !s.rejected[revision]
}

func (s *Syncer) reject(revision uint64, problems catalogue.Problems, from revisionSource) {
	s.counters.rejected.Inc(1)
	detail := fmt.Sprintf("revision %d from %s has %d problems; first: %s", revision, from, len(problems), problems[0])
	s.options.Events.Record(event.Event{Kind: event.ConfigRejected, Detail: detail})
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == fromPeer {
		s.peerRejected = revision
		return
	}
	s.rejected[revision] = true
	s.setPendingStatus(catalogue.Status{Revision: revision, Problems: problems[:min(len(problems), maxStatusProblems)]})
}

func (s *Syncer) apply(next *config.Snapshot, raw json.RawMessage, from revisionSource) {
	previous := s.current.Load()
	s.mu.Lock()
	s.current.Store(next)
	s.rawCatalogue = raw
	maps.DeleteFunc(s.rejected, func(r uint64, _ bool) bool { return r < next.Revision })
	s.setPendingStatus(catalogue.Status{Revision: next.Revision, Valid: true})
	s.mu.Unlock()
	s.counters.applied.Inc(1)
	s.counters.revision.Update(int64(next.Revision))
	detail := fmt.Sprintf("revision %d from %s replaces %d", next.Revision, from, previous.Revision)
	s.options.Events.Record(event.Event{Kind: event.ConfigApplied, Detail: detail})
	s.recordWithdrawn(previous, next)
	for _, f := range s.subscribers {
		f(next)
	}
}

// recordWithdrawn records each key that the new revision no longer grants.
func (s *Syncer) recordWithdrawn(previous, next *config.Snapshot) {
	for _, c := range previous.Catalogue.Customers {
		for _, k := range c.Keys {
			if isGranted(next, c.Name, k.SHA256) {
				continue
			}
			s.counters.withdrawn.Inc(1)
			detail := fmt.Sprintf("key %s, revision %d", k.Name, next.Revision)
			s.options.Events.Record(event.Event{Kind: event.KeyWithdrawn, Customer: c.Name, Detail: detail})
		}
	}
}

func isGranted(s *config.Snapshot, customer, digest string) bool {
	c, ok := s.Customer(customer)
	if !ok {
		return false
	}
	for _, k := range c.Keys {
		if k.SHA256 == digest {
			return true
		}
	}
	return false
}
