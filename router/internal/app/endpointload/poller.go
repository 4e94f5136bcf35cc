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
	// EndpointsPerPool is how many endpoints of a pool an instance uses. With 340 instances and pools of about 100 endpoints, each
	// endpoint is used by some 27 instances, so that the death of instances or endpoints leaves no part of a pool unused.
	EndpointsPerPool = 8
	// pollBudget bounds the load reports read a second. A report with its headers is about 650 bytes; with the 8 KB a
	// second that an instance may spend, 12 of them fit.
	pollBudget = 12
	// minInterval is the least time between two reports of an endpoint; engines report with a greater lag.
	minInterval = 500 * time.Millisecond
	// eventEndpoints is the number of prefill endpoints up to which cache events are read. Events of a busy endpoint take
	// tens of KB a second, so a large fleet learns prefixes from its own requests alone.
	eventEndpoints = 9
	tick           = 50 * time.Millisecond
	// refreshTicks is how many ticks pass between two looks at the instance list, which changes once a second.
	refreshTicks = 10
	pollTimeout  = time.Second
	pollsAtOnce  = 8
)

// Deps are the parts that a poller works with.
type Deps struct {
	Config      port.Config
	Engine      port.Engine
	Clock       port.Clock
	Events      port.EventLog
	PrefixIndex *prefix.Index
	// InstanceName is the instance's name. It selects the endpoints that this instance uses.
	InstanceName string
	// Domain is the instance's failure domain.
	Domain string
}

// Poller keeps the view up to date.
type Poller struct {
	Deps
	view atomic.Pointer[View]

	mu     sync.Mutex
	states map[string]*state
	fetch  chan struct{}
}

// state is the poller's own record of an endpoint.
type state struct {
	State
	due     time.Duration
	busy    bool
	cursor  uint64
	started bool
}

// New returns a poller with the endpoints that the configuration knows now.
func New(d Deps) *Poller {
	p := &Poller{Deps: d, states: map[string]*state{}, fetch: make(chan struct{}, pollsAtOnce)}
	p.view.Store(newView(nil))
	p.refresh()
	return p
}

// View returns the newest view.
func (p *Poller) View() *View { return p.view.Load() }

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%refreshTicks == 0 {
			p.refresh()
		}
		p.pollDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh takes the instance list over.
func (p *Poller) refresh() {
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
			s = &state{}
			p.states[name] = s
			changed = true
		}
		if s.Endpoint != fresh.Endpoint || s.Pool != fresh.Pool {
			s.Endpoint, s.Pool = fresh.Endpoint, fresh.Pool
			p.setLeaving(s)
			changed = true
		}
	}
	if changed {
		p.publish()
	}
}

func (p *Poller) setLeaving(s *state) {
	leaving := s.Endpoint.Leaving || s.Load.Leaving
	if leaving && !s.Leaving {
		p.Events.Record(event.Event{Kind: event.EndpointLeaving, Endpoint: s.Endpoint.Name})
	}
	s.Leaving = leaving
}

// selectEndpoints chooses the model endpoints that this instance uses: all of a small pool, and of a large one half in
// its own domain and half anywhere, by rendezvous hash so that instances spread evenly.
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
			all = p.nearest(all)
		}
		for _, s := range all {
			selected[s.Endpoint.Name] = s
		}
	}
	return selected
}

func (p *Poller) nearest(all []State) []State {
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

// interval spreads the budget over the endpoints.
func interval(endpoints int) time.Duration {
	return max(minInterval, time.Duration(endpoints)*time.Second/pollBudget)
}

func (p *Poller) pollDue(ctx context.Context) {
	now := p.Clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	every := interval(len(p.states))
	prefills := 0
	for _, s := range p.states {
		if s.Endpoint.Role == platform.RolePrefill {
			prefills++
		}
	}
	for name, s := range p.states {
		if s.busy || now < s.due {
			continue
		}
		if !s.started {
			// The first polls are spread over one interval.
			s.started = true
			s.due = now + time.Duration(p.rank(name)%uint64(minInterval))
			continue
		}
		s.busy, s.due = true, now+every
		withEvents := s.Endpoint.Role == platform.RolePrefill && prefills <= eventEndpoints
		go p.poll(ctx, name, s.Endpoint, s.cursor, withEvents)
	}
}

// poll reads one endpoint. The semaphore bounds the calls at once.
func (p *Poller) poll(ctx context.Context, name string, ep port.Endpoint, cursor uint64, withEvents bool) {
	select {
	case p.fetch <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.fetch }()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.Engine.Load(ctx, ep)
	if err == nil && withEvents {
		if page, pageErr := p.Engine.CacheEvents(ctx, ep, cursor); pageErr == nil {
			cursor = p.apply(ep.Name, cursor, page)
		}
	}
	p.store(name, load, err, cursor)
}

// apply takes cache events over. A page that starts before the cursor is of a new engine process, whose numbers start
// again. Gaps are left alone: a lost "removed" makes an entry wrong until it is the oldest, and dropping all entries at
// each gap would cost more.
func (p *Poller) apply(endpoint string, cursor uint64, page engine.CacheEventPage) uint64 {
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

func (p *Poller) store(name string, load engine.Load, err error, cursor uint64) {
	now := p.Clock.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	if s == nil {
		return
	}
	s.busy, s.cursor = false, cursor
	healthy := s.Healthy()
	if err != nil {
		s.FailedPolls++
	} else {
		s.FailedPolls, s.Load, s.ReportedAt = 0, load, now
		p.setLeaving(s)
	}
	if healthy && !s.Healthy() {
		p.Events.Record(event.Event{Kind: event.EndpointLost, Endpoint: s.Endpoint.Name, Detail: "load reports fail"})
	}
	if !healthy && s.Healthy() {
		p.Events.Record(event.Event{Kind: event.EndpointBack, Endpoint: s.Endpoint.Name})
	}
	p.publish()
}

// publish replaces the view. The caller holds the lock.
func (p *Poller) publish() {
	states := make([]*State, 0, len(p.states))
	for _, s := range p.states {
		published := s.State
		states = append(states, &published)
	}
	slices.SortFunc(states, func(a, b *State) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	p.view.Store(newView(states))
}
