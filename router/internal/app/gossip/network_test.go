package gossip_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/coldstart"
	"tanagerwood.dev/router/internal/domain/endpointlimit"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/domain/stages"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

// network connects the instances of a test and holds the platform's list of them.
type network struct {
	// era is the era of the list of instances.
	era      uint64
	mu       sync.Mutex
	nodes    map[string]*node
	cut      map[string]bool
	listed   map[string]routing.Instance
	storeErr error
	removals int
	// fetchErr is returned by all fetches; fetches counts them.
	fetchErr error
	fetches  int
	// full and partial count the messages that were sent.
	full, partial int
	// separated reports whether the link between two instances is down.
	separated func(a, b string) bool
	// datagrams counts the datagrams that each instance has sent and received.
	datagrams map[string]int
	// customers holds the customers of the configuration by name.
	customers map[string]*sharedlimit.Quota
	// evacuations is the store of the evacuations that instances read; nil if they read none.
	evacuations *evacuationStore
	// propagationLimit is the time within which changes at the platform must take effect.
	propagationLimit time.Duration
	// loses reports whether the next datagram is lost. It is called with mu held.
	loses func() bool
}

func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// countSent returns the numbers of messages sent since the last call.
func (n *network) countSent() (full, partial int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	full, partial = n.full, n.partial
	n.full, n.partial = 0, 0
	return full, partial
}

type node struct {
	*gossip.Service
	network *network
	address string
	book    *inflight.Tracker
	limiter *sharedlimit.Limiter
	mirror  *routingcache.Cache
	stop    context.CancelFunc

	mu          sync.Mutex
	waiting     []waitlist.Request
	heard       map[string]int
	transitions *stages.Transitions
	health      *health.Tracker
	speeds      *speed.Tracker
	notices     *availability.Tracker
	cold        *coldstart.Tracker
	crashes     *quarantine.Tracker
	limits      *endpointlimit.Limiter
}

func (n *network) customer(name string) *sharedlimit.Quota {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.customers[name]
}

// addCustomer adds a customer to the configuration of all instances.
func (n *network) addCustomer(c *sharedlimit.Quota) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.customers[c.Key] = c
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, cut: map[string]bool{}, listed: map[string]routing.Instance{}, datagrams: map[string]int{}, customers: map[string]*sharedlimit.Quota{},
		separated: func(string, string) bool { return false }, loses: func() bool { return false }, propagationLimit: 2 * time.Second}
}

func (n *network) Register(_ context.Context, in routing.Instance) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, again := n.listed[in.Name]
	n.listed[in.Name] = in
	return again, n.storeErr
}

func (n *network) Instances(context.Context) ([]routing.Instance, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []routing.Instance
	for _, in := range n.listed {
		out = append(out, in)
	}
	return out, n.storeErr
}

func (n *network) Era() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.era
}

func (n *network) RemoveInstance(_ context.Context, name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removals++
	delete(n.listed, name)
	return nil
}

func (n *network) reach(from, to string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] || n.separated(from, to) {
		return nil
	}
	return n.nodes[to]
}

// losesNext reports whether the next datagram is lost.
func (n *network) losesNext() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loses()
}

// countFetches returns the number of fetches.
func (n *network) countFetches() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fetches
}

func (n *network) count(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.datagrams[from]++
	n.datagrams[to]++
}

// Send implements gossip.Transport. Datagrams take 1 ms.
func (n *node) Send(addresses []string, m gossip.Message) error {
	n.network.mu.Lock()
	if m.Partial {
		n.network.partial++
	} else {
		n.network.full++
	}
	n.network.mu.Unlock()
	for _, address := range addresses {
		if to := n.network.reach(n.address, address); to != nil && !n.network.losesNext() {
			n.network.count(n.address, address)
			time.AfterFunc(time.Millisecond, func() { to.Service.HandleMessage(m) })
		}
	}
	return nil
}

// Fetch implements gossip.Transport.
func (n *node) Fetch(_ context.Context, address string) (gossip.State, error) {
	n.network.mu.Lock()
	n.network.fetches++
	err := n.network.fetchErr
	n.network.mu.Unlock()
	if err != nil {
		return gossip.State{}, err
	}
	if to := n.network.reach(n.address, address); to != nil {
		return to.State(), nil
	}
	return gossip.State{}, errors.New("not reached")
}

// FetchNewer implements gossip.Transport.
func (n *node) FetchNewer(_ context.Context, address string, known routingcache.Known) (gossip.State, error) {
	n.network.mu.Lock()
	n.network.fetches++
	err := n.network.fetchErr
	n.network.mu.Unlock()
	if err != nil {
		return gossip.State{}, err
	}
	to := n.network.reach(n.address, address)
	if to == nil {
		return gossip.State{}, errors.New("not reached")
	}
	raw, err := json.Marshal(to.StateSince(known))
	if err != nil {
		return gossip.State{}, err
	}
	var state gossip.State
	return state, json.Unmarshal(raw, &state)
}

// Waiting implements gossip.Queue.
func (n *node) Waiting() []waitlist.Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.waiting
}

// WaitingExcept implements gossip.Queue.
func (n *node) WaitingExcept(string) []waitlist.Request { return n.Waiting() }

// queue implements gossip.Queue for a node.
type queue struct{ *node }

func (q queue) ReplacePeerRequests(instance string, requests []waitlist.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heard[instance] = len(requests)
}

func (queue) Dispatch() {}

func (n *node) heardFrom(instance string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard[instance]
}

// idle is a platform without changes.
type idle struct{}

func (idle) ReadConfig(ctx context.Context) (*routing.Config, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
func (idle) WatchConfig(ctx context.Context, _ uint64, _ time.Duration) (*routing.Config, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
func (idle) ListEndpoints(ctx context.Context) ([]routing.Endpoint, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
func (idle) WatchEndpoints(ctx context.Context, _ uint64, _ time.Duration) ([]routing.EndpointChange, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

var start = time.Now()

func (n *network) start(t *testing.T, name string, incarnation uint64, seeds ...string) *node {
	t.Helper()
	return n.startOn(t, idle{}, name, incarnation, seeds...)
}

func (n *network) startOn(t *testing.T, platform routingcache.PlatformClient, name string, incarnation uint64, seeds ...string) *node {
	t.Helper()
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	boot := func() time.Duration { return time.Since(start) + 30*365*24*time.Hour }
	notices := availability.New(func() float64 { return 0 })
	cold := coldstart.New(func(string) *routing.Service { return &coldService })
	limiter := sharedlimit.New(func(key string) *sharedlimit.Quota {
		if q := endpointlimit.FindQuotaAt(notices, cold, key, boot()); q != nil {
			return q
		}
		return n.customer(key)
	})
	nd := &node{
		network: n, address: name, book: inflight.NewTracker(), limiter: limiter, notices: notices, cold: cold, crashes: quarantine.New(),
		transitions: stages.NewTransitions(), health: health.NewTracker(func() int { return 2 }),
		speeds: speed.New(func(service string) bool { return service == paced }), heard: map[string]int{},
	}
	nd.mirror = routingcache.New(platform, routingcache.PropagationLimits{Config: n.propagationLimit, Endpoints: n.propagationLimit},
		func() int { return nd.FleetSize() }, quiet, boot)
	if n.evacuations != nil {
		nd.mirror.ReadEvacuations(evacuationClient{n.evacuations, name}, evacuationLimit, func(string) {})
	}
	nd.Service = gossip.New(gossip.Deps{
		Self: routing.Instance{Name: name, Address: name, Incarnation: incarnation}, Seeds: seeds, Transport: nd, Registry: n,
		Mirror: nd.mirror, Limiter: nd.limiter, EndpointLoad: nd.book, Queue: queue{nd}, Transitions: nd.transitions, Health: nd.health, Speeds: nd.speeds, Availability: notices, Quarantine: nd.crashes, Boot: boot, Logger: quiet,
	})
	nd.limits = endpointlimit.New(endpointlimit.Deps{Notices: notices, Cold: cold, Quotas: limiter, OnAdmit: nd.TriggerReport, SinceBoot: boot})
	n.mu.Lock()
	n.nodes[name] = nd
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	nd.stop = cancel
	go nd.Run(ctx)
	return nd
}
