// Package configsync keeps the configuration in force: it polls the platform, takes newer revisions from peers, judges
// each revision, and swaps the valid ones in.
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
	// DefaultPollInterval is the time between polls. With the platform up, a revision is in force everywhere one interval
	// and one call later, well within the 5 s of G12.
	DefaultPollInterval = time.Second
	// peerTimeout bounds the fetch of a snapshot from a peer. Polls of the platform go on meanwhile.
	peerTimeout = 2 * time.Second
	// askedRouters bounds how many routers are asked at the start, because each answer may have 1 MB.
	askedRouters = 4
	// maxStatusProblems bounds the status object; a hostile catalogue may have more problems than fit into 1 MB.
	maxStatusProblems = 100
)

// source says where a revision came from.
type source string

const (
	fromPlatform source = "platform"
	fromPeer     source = "peer"
)

// Options configures a Sync.
type Options struct {
	// Instance is this instance's name, written into the catalogue status.
	Instance string
	// SeedAddresses are peer addresses that are asked at the start, besides the routers of the instance list.
	SeedAddresses []string
	// SelfAddress is this instance's own peer address, which is not asked.
	SelfAddress string
	Platform    port.Platform
	Peers       port.Peers
	Events      port.EventLog
	// PollInterval is the time between polls; DefaultInterval if zero.
	PollInterval time.Duration
	// OverridePolicy applies this instance's overrides to a revision's policy; nil keeps it. Peers get the revision unchanged.
	OverridePolicy func(catalogue.Policy) catalogue.Policy
	// Metrics receives the counters; the default registry if nil.
	Metrics metrics.Registry
}

// Syncer implements port.Config.
type Syncer struct {
	options  Options
	current  atomic.Pointer[config.Snapshot]
	list     atomic.Pointer[instanceList]
	seen     chan struct{}
	judged   chan struct{}
	counters counters
	started  atomic.Bool

	mu sync.Mutex
	// raw is the JSON of the revision in force, for peers.
	raw json.RawMessage
	// rejected holds the platform's revisions above the one in force that were not valid.
	rejected map[uint64]bool
	// peerRejected is the newest revision that a peer sent and that was not valid. Only the platform's copy decides
	// about a revision, so it is not in rejected.
	peerRejected uint64
	// newest is the newest revision seen at a peer and not yet fetched.
	newest peerRevision
	// status is the newest status that is not yet known to be at the platform.
	status *catalogue.Status

	// applying serializes changes and their subscribers.
	applying    sync.Mutex
	subscribers []func(*config.Snapshot)
}

type peerRevision struct {
	address  string
	revision uint64
}

var _ port.Config = (*Syncer)(nil)

// New returns a Sync with an empty configuration of revision 0.
func New(o Options) *Syncer {
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	s := &Syncer{
		options:  o,
		seen:     make(chan struct{}, 1),
		judged:   make(chan struct{}, 1),
		counters: newCounters(o.Metrics),
		rejected: make(map[uint64]bool),
	}
	s.current.Store(config.New(0, catalogue.Catalogue{}))
	s.list.Store(&instanceList{})
	return s
}

// Run follows the platform and the peers until the context ends. It begins with Start unless that was called before.
func (s *Syncer) Run(ctx context.Context) {
	if !s.started.Load() {
		s.LoadInitial(ctx)
	}
	var loops sync.WaitGroup
	loops.Go(func() { s.every(ctx, s.pollCatalogue) })
	loops.Go(func() { s.every(ctx, s.pollInstances) })
	loops.Go(func() { s.on(ctx, s.seen, s.fetchNewest) })
	loops.Go(func() { s.on(ctx, s.judged, s.writeStatus) })
	loops.Wait()
}

// LoadInitial asks the platform, the seeds and some routers of the instance list once. A peer's answer may be newer than a
// stale read of the platform.
func (s *Syncer) LoadInitial(ctx context.Context) {
	s.started.Store(true)
	var asked sync.WaitGroup
	asked.Go(func() { s.pollCatalogue(ctx) })
	asked.Go(func() { s.pollInstances(ctx) })
	asked.Go(func() { s.askPeers(ctx, s.options.SeedAddresses) })
	asked.Wait()
	s.askPeers(ctx, s.someRouters())
}

// Current implements port.Config.
func (s *Syncer) Current() *config.Snapshot { return s.current.Load() }

// Subscribe implements port.Config.
func (s *Syncer) Subscribe(f func(*config.Snapshot)) {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Snapshot is the answer to a peer that asks for the configuration.
func (s *Syncer) Snapshot() peer.Snapshot {
	list := s.list.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	return peer.Snapshot{Revision: s.Current().Revision, Catalogue: s.raw, Instances: list.all}
}

// ReceiveSnapshot answers the peer port.
func (s *Syncer) ReceiveSnapshot(context.Context) (peer.Snapshot, error) { return s.Snapshot(), nil }

// Status is this instance's judgement of the newest revision it has judged.
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

// NotifyPeerRevision tells that the peer at the address has the revision in force. It does not block.
func (s *Syncer) NotifyPeerRevision(address string, revision uint64) {
	if s.known(revision) {
		return
	}
	s.mu.Lock()
	if revision >= s.newest.revision {
		s.newest = peerRevision{address: address, revision: revision}
	}
	s.mu.Unlock()
	notify(s.seen)
}

// known reports whether the revision needs no fetch.
func (s *Syncer) known(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision <= s.Current().Revision || s.rejected[revision] || revision == s.peerRejected
}

func (s *Syncer) every(ctx context.Context, step func(context.Context)) {
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

func (s *Syncer) on(ctx context.Context, signal <-chan struct{}, step func(context.Context)) {
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

// pollCatalogue reads the catalogue if it changed since the newest judged revision.
func (s *Syncer) pollCatalogue(ctx context.Context) {
	version, _ := s.Status()
	o, changed, err := s.options.Platform.GetNewer(ctx, platform.KindCatalogue, platform.MainName, version)
	if err != nil {
		s.counters.pollFailed.Inc(1)
		if s.Current().Revision == 0 {
			s.askPeers(ctx, s.someRouters())
		}
		return
	}
	if changed {
		s.judge(o.Version, o.Value, fromPlatform)
	}
	s.retryStatus()
}

// askPeers fetches the snapshots of all addresses and judges them.
func (s *Syncer) askPeers(ctx context.Context, addresses []string) {
	var asked sync.WaitGroup
	for _, address := range addresses {
		if address != s.options.SelfAddress {
			asked.Go(func() { s.fetch(ctx, address) })
		}
	}
	asked.Wait()
}

// fetchNewest fetches the newest revision seen at a peer. A peer's heartbeats may arrive through others although it
// cannot be reached from here; then some other routers are asked. The next heartbeat asks again.
func (s *Syncer) fetchNewest(ctx context.Context) {
	s.mu.Lock()
	want := s.newest
	s.newest = peerRevision{}
	s.mu.Unlock()
	if want.address == "" || s.known(want.revision) {
		return
	}
	if !s.fetch(ctx, want.address) {
		s.askPeers(ctx, s.someRouters())
	}
}

func (s *Syncer) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	snapshot, err := s.options.Peers.Snapshot(ctx, address)
	if err != nil {
		s.counters.peerFailed.Inc(1)
		return false
	}
	s.useInstances(snapshot.Instances)
	if snapshot.Revision > 0 {
		s.judge(snapshot.Revision, snapshot.Catalogue, fromPeer)
	}
	return true
}

// judge validates a revision that is newer than the one in force, and swaps it in if it is valid. A valid revision comes
// into force although a newer one was rejected: an instance that starts meanwhile gets it only from peers.
func (s *Syncer) judge(revision uint64, raw json.RawMessage, from source) {
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

func (s *Syncer) isNewer(revision uint64, from source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == fromPeer && revision == s.peerRejected {
		return false
	}
	return revision > s.Current().Revision && !s.rejected[revision]
}

func (s *Syncer) reject(revision uint64, problems catalogue.Problems, from source) {
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
	s.report(catalogue.Status{Revision: revision, Problems: problems[:min(len(problems), maxStatusProblems)]})
}

func (s *Syncer) apply(next *config.Snapshot, raw json.RawMessage, from source) {
	previous := s.current.Load()
	s.mu.Lock()
	s.current.Store(next)
	s.raw = raw
	maps.DeleteFunc(s.rejected, func(r uint64, _ bool) bool { return r < next.Revision })
	s.report(catalogue.Status{Revision: next.Revision, Valid: true})
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
			if granted(next, c.Name, k.SHA256) {
				continue
			}
			s.counters.withdrawn.Inc(1)
			detail := fmt.Sprintf("key %s, revision %d", k.Name, next.Revision)
			s.options.Events.Record(event.Event{Kind: event.KeyWithdrawn, Customer: c.Name, Detail: detail})
		}
	}
}

func granted(s *config.Snapshot, customer, digest string) bool {
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
