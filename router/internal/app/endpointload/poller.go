package endpointload

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/prefix"
	"tanagerwood.dev/router/internal/port"
)

const (
	// EndpointsPerPool is how many endpoints of a pool an instance uses. With 340 instances and pools of about 100 endpoints,
	// about 27 instances use each endpoint, so that no part of a pool is left unused when instances or endpoints fail.
	EndpointsPerPool = 8
	// maxPollsPerSecond bounds the load reports read per second. A report has about 650 bytes with its headers, so that 12 of
	// them fit into the 8 KB/s that an instance may use.
	maxPollsPerSecond = 12
	// minPollInterval is the least time between two reports of an endpoint. The lag of the engines' reports is greater.
	minPollInterval = 500 * time.Millisecond
	// maxCacheEventEndpoints is the number of prefill endpoints up to which cache events are read. The events of a busy endpoint
	// take tens of KB/s, so in a larger fleet an instance learns prefixes from its own requests only.
	maxCacheEventEndpoints = 9
	tickInterval           = 50 * time.Millisecond
	// ticksPerRefresh is the number of ticks between two reads of the instance list, which changes once per second.
	ticksPerRefresh    = 10
	pollTimeout        = time.Second
	maxConcurrentPolls = 8
)

// Deps are the dependencies of a Poller.
type Deps struct {
	Config      port.Config
	Engine      port.Engine
	Clock       port.Clock
	Events      port.EventLog
	PrefixIndex *prefix.Index
	// InstanceName is the name of this instance. It determines which endpoints this instance uses.
	InstanceName string
	Domain       string
}

// Poller polls the endpoints and keeps the view up to date.
type Poller struct {
	Deps
	view atomic.Pointer[View]

	mu        sync.Mutex
	states    map[string]*pollState
	pollSlots chan struct{}
}

// pollState is the polling state of one endpoint.
type pollState struct {
	State
	nextPollAt  time.Duration
	polling     bool
	eventCursor uint64
	scheduled   bool
}

// New returns a poller for the endpoints of the current configuration.
func New(d Deps) *Poller {
	p := &Poller{Deps: d, states: map[string]*pollState{}, pollSlots: make(chan struct{}, maxConcurrentPolls)}
	p.view.Store(newView(nil))
	p.refreshEndpoints()
	return p
}

// View returns the latest view.
func (p *Poller) View() *View { return p.view.Load() }

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%ticksPerRefresh == 0 {
			p.refreshEndpoints()
		}
		p.pollDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshEndpoints applies the instance list.
func (p *Poller) refreshEndpoints() {
	selected := p.selectEndpoints()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for name, s := range p.states {
		if _, ok := selected[name]; !ok {
			delete(p.states, name)
			p.PrefixIndex.RemoveEndpoint(name)
			changed = true
			p.Events.Record(event.Event{Kind: event.EndpointLost, Endpoint: s.Endpoint.Name, Detail: "not in the instance list"})
		}
	}
	for name, fresh := range selected {
		s := p.states[name]
		if s == nil {
			s = &pollState{}
			p.states[name] = s
			changed = true
		}
		if s.Endpoint != fresh.Endpoint || s.Pool != fresh.Pool {
			s.Endpoint, s.Pool = fresh.Endpoint, fresh.Pool
			p.updateLeaving(s)
			changed = true
		}
	}
	if changed {
		p.publish()
	}
}

func (p *Poller) updateLeaving(s *pollState) {
	leaving := s.Endpoint.Leaving || s.Load.Leaving
	if leaving && !s.Leaving {
		p.Events.Record(event.Event{Kind: event.EndpointLeaving, Endpoint: s.Endpoint.Name})
	}
	s.Leaving = leaving
}

// selectEndpoints chooses the model endpoints that this instance uses. It uses all endpoints of a small pool. Of a large one it
// uses half in its own failure domain and half anywhere, chosen by rendezvous hash so that instances spread evenly.
func (p *Poller) selectEndpoints() map[string]State {
	snapshot := p.Config.Current()
	pools := map[string][]State{}
	for _, ep := range p.Config.Endpoints() {
		pool, ok := snapshot.Pool(ep.Pool)
		if ok && (ep.Role == platform.RolePrefill || ep.Role == platform.RoleDecode) {
			pools[ep.Pool] = append(pools[ep.Pool], State{Endpoint: ep, Pool: pool})
		}
	}
	selected := map[string]State{}
	for _, all := range pools {
		if len(all) > EndpointsPerPool+1 {
			all = p.selectFromPool(all)
		}
		for _, s := range all {
			selected[s.Endpoint.Name] = s
		}
	}
	return selected
}

func (p *Poller) selectFromPool(all []State) []State {
	all = slices.DeleteFunc(all, func(s State) bool { return s.Endpoint.Leaving })
	slices.SortFunc(all, func(a, b State) int {
		return cmp.Compare(p.rank(b.Endpoint.Name), p.rank(a.Endpoint.Name))
	})
	var chosen, rest []State
	for _, s := range all {
		if s.Endpoint.Domain == p.Domain && len(chosen) < EndpointsPerPool/2 {
			chosen = append(chosen, s)
		} else {
			rest = append(rest, s)
		}
	}
	return append(chosen, rest[:min(EndpointsPerPool-len(chosen), len(rest))]...)
}

func (p *Poller) rank(endpoint string) uint64 {
	return xxhash.Sum64String(p.InstanceName + "\x00" + endpoint)
}

// pollInterval is the time between two polls of an endpoint. It keeps all polls within maxPollsPerSecond.
func pollInterval(endpoints int) time.Duration {
	return max(minPollInterval, time.Duration(endpoints)*time.Second/maxPollsPerSecond)
}

func (p *Poller) pollDue(ctx context.Context) {
	now := p.Clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	every := pollInterval(len(p.states))
	prefills := 0
	for _, s := range p.states {
		if s.Endpoint.Role == platform.RolePrefill {
			prefills++
		}
	}
	for name, s := range p.states {
		if s.polling || now < s.nextPollAt {
			continue
		}
		if !s.scheduled {
			// The first polls are spread over minPollInterval.
			s.scheduled = true
			s.nextPollAt = now + time.Duration(p.rank(name)%uint64(minPollInterval))
			continue
		}
		s.polling, s.nextPollAt = true, now+every
		withEvents := s.Endpoint.Role == platform.RolePrefill && prefills <= maxCacheEventEndpoints
		go p.poll(ctx, name, s.Endpoint, s.eventCursor, withEvents)
	}
}

// poll reads one endpoint. The semaphore pollSlots bounds concurrent polls.
func (p *Poller) poll(ctx context.Context, name string, ep port.Endpoint, cursor uint64, withEvents bool) {
	select {
	case p.pollSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.pollSlots }()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.Engine.Load(ctx, ep)
	if err == nil && withEvents {
		if page, pageErr := p.Engine.CacheEvents(ctx, ep, cursor); pageErr == nil {
			cursor = p.applyCacheEvents(ep.Name, cursor, page)
		}
	}
	p.storeReport(name, load, err, cursor)
}

// applyCacheEvents applies a page of cache events and returns the next cursor. A page that ends before the cursor comes from a
// restarted engine, whose sequence numbers start again. Gaps are ignored: after a lost "removed" event an entry is wrong until it
// is evicted as the oldest, whereas dropping all entries at each gap would cost more.
func (p *Poller) applyCacheEvents(endpoint string, cursor uint64, page engine.CacheEventPage) uint64 {
	if page.Next < cursor {
		p.PrefixIndex.ClearEndpoint(endpoint)
		return 0
	}
	for _, e := range page.Events {
		switch e.Op {
		case engine.CacheStored:
			p.PrefixIndex.Store(endpoint, e.Block)
		case engine.CacheRemoved:
			p.PrefixIndex.Remove(endpoint, e.Block)
		case engine.CacheCleared:
			p.PrefixIndex.ClearEndpoint(endpoint)
		}
	}
	return page.Next
}

func (p *Poller) storeReport(name string, load engine.Load, err error, cursor uint64) {
	now := p.Clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	if s == nil {
		return
	}
	s.polling, s.eventCursor = false, cursor
	healthy := s.Healthy()
	if err != nil {
		s.FailedPolls++
	} else {
		s.FailedPolls, s.Load, s.ReportedAt = 0, load, now
		p.updateLeaving(s)
	}
	if healthy && !s.Healthy() {
		p.Events.Record(event.Event{Kind: event.EndpointLost, Endpoint: s.Endpoint.Name, Detail: "load reports fail"})
	}
	if !healthy && s.Healthy() {
		p.Events.Record(event.Event{Kind: event.EndpointBack, Endpoint: s.Endpoint.Name})
	}
	p.publish()
}

// publish replaces the view; p.mu is held.
func (p *Poller) publish() {
	states := make([]*State, 0, len(p.states))
	for _, s := range p.states {
		published := s.State
		states = append(states, &published)
	}
	slices.SortFunc(states, func(a, b *State) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	p.view.Store(newView(states))
}
