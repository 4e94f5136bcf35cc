package quotasync_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/quota"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

var suiteT *testing.T

func TestQuotaSync(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "quotasync")
}

// testFleet is a fleet of instances in this process, on the fake clock of a synctest bubble.
type testFleet struct {
	start    time.Time
	fanout   int
	rng      *lockedRand
	network  *network
	platform *fakePlatform
	recorder recorder

	mu          sync.Mutex
	limits      map[string]quota.Limits
	nodes       map[string]*node // by name; the newest incarnation of each
	allNodes    []*node
	launchCount uint64
	revision    uint64
	loads       sync.WaitGroup
	stopLoads   context.CancelFunc
	loadCtx     context.Context
}

// node is one incarnation of an instance.
type node struct {
	fleet     *testFleet
	name      string
	self      peer.Member
	conf      *fakeConfig
	members   *membership.Service
	admission *quotasync.Admission
	log       *event.Log
	metrics   metrics.Registry
	killed    atomic.Bool

	mu     sync.Mutex
	frozen chan struct{} // closed when the node is unfrozen; nil while it runs
}

// waitWhileFrozen blocks while the node is frozen.
func (n *node) waitWhileFrozen() {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(chan struct{})
	}
}

func (n *node) unfreeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

func (n *node) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen != nil
}

type fakeConfig struct {
	fleet       *testFleet
	snapshot    atomic.Pointer[config.Snapshot]
	mu          sync.Mutex
	subscribers []func(*config.Snapshot)
}

func (c *fakeConfig) Current() *config.Snapshot { return c.snapshot.Load() }
func (c *fakeConfig) Subscribe(f func(*config.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}
func (c *fakeConfig) Endpoints() []port.Endpoint { return nil }
func (c *fakeConfig) Routers() ([]platform.Instance, bool) {
	c.fleet.platform.mu.Lock()
	defer c.fleet.platform.mu.Unlock()
	return slices.Collect(maps.Values(c.fleet.platform.instances)), true
}

func (c *fakeConfig) apply(s *config.Snapshot) {
	c.snapshot.Store(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.subscribers {
		f(s)
	}
}

type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Time      { return time.Now() }
func (c bubbleClock) Boot() time.Duration { return time.Since(c.start) }

// withFleet runs f with a fleet of the given size and the given customer limits.
func withFleet(t *testing.T, seed uint64, size int, limits map[string]quota.Limits, f func(*testFleet)) {
	runFleet(t, &testFleet{rng: newRand(seed), limits: limits, fanout: membership.DefaultFanout}, size, f)
}

func runFleet(t *testing.T, fleet *testFleet, size int, f func(*testFleet)) {
	// Each bubble runs on its own goroutine. With many bubbles on one goroutine, the race detector of Go 1.26.8 sometimes
	// crashes in its stack depot (SIGSEGV below synctest.Run) without reporting a race.
	done := make(chan struct{})
	go func() {
		defer close(done)
		synctest.Test(t, func(*testing.T) {
			defer GinkgoRecover()
			fleet.start, fleet.nodes = time.Now(), map[string]*node{}
			fleet.network, fleet.platform = newNetwork(fleet.rng), newFakePlatform(fleet.rng)
			fleet.loadCtx, fleet.stopLoads = context.WithCancel(context.Background())
			for i := range size {
				fleet.launch(fmt.Sprint("router-", i+1), "")
			}
			defer fleet.close()
			f(fleet)
		})
	}()
	<-done
}

func (fleet *testFleet) now() time.Duration { return time.Since(fleet.start) }

// launch starts a new incarnation of the named instance. An empty address stands for the default address of the name.
func (fleet *testFleet) launch(name, address string) *node {
	fleet.mu.Lock()
	fleet.launchCount++
	if address == "" {
		address = "http://" + name
	}
	n := &node{fleet: fleet, name: name, conf: &fakeConfig{fleet: fleet}, metrics: metrics.NewRegistry()}
	n.self = peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: fleet.launchCount * 1e12}, Address: address, Domain: "d"}
	fleet.nodes[name] = n
	fleet.allNodes = append(fleet.allNodes, n)
	seed := fleet.launchCount
	fleet.mu.Unlock()
	n.log = event.NewLog(name, fmt.Sprint(n.self.Incarnation), 256, time.Now)
	n.conf.snapshot.Store(fleet.snapshot())
	clock := bubbleClock{fleet.start}
	n.members = membership.New(membership.Settings{Self: n.self, Fanout: fleet.fanout, RandomSeed: seed}, membership.Dependencies{
		Platform: platformClient{fleet.platform, n}, Peers: peerClient{node: n}, Clock: clock, Config: n.conf, Events: n.log, Metrics: n.metrics})
	n.admission = quotasync.New(quotasync.Dependencies{
		Membership: n.members, LoanClient: peerClient{node: n}, Clock: clock, Config: n.conf, Events: n.log, Metrics: n.metrics})
	fleet.network.mu.Lock()
	fleet.network.nodes[address] = n
	fleet.network.mu.Unlock()
	fleet.platform.update(func(p *fakePlatform) {
		p.instances[name] = platform.Instance{Name: name, Role: platform.RoleRouter, URL: address, State: platform.InstanceLive}
	})
	n.members.Start(context.Background())
	return n
}

func (fleet *testFleet) limitsOf(customer string) quota.Limits {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.limits[customer]
}

func (fleet *testFleet) setLimits(customer string, l quota.Limits) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.limits[customer] = l
}

func (fleet *testFleet) snapshot() *config.Snapshot {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.revision++
	var c catalogue.Catalogue
	for name, l := range fleet.limits {
		c.Customers = append(c.Customers, catalogue.Customer{Name: name, RateTokens: l.Rate, BurstTokens: l.Burst})
	}
	return config.New(fleet.revision, c)
}

// kill stops a node without letting it leave the roster.
func (fleet *testFleet) kill(n *node) { n.killed.Store(true) }

func (fleet *testFleet) close() {
	fleet.stopLoads()
	fleet.loads.Wait()
	for _, n := range fleet.allNodes {
		n.killed.Store(true)
		n.unfreeze()
	}
	for _, n := range fleet.allNodes {
		n.members.Stop()
		n.admission.Stop()
	}
	time.Sleep(5 * time.Second) // delayed duplicates of messages arrive meanwhile
}

// pickServing picks a random node among those that a load balancer would use, or nil if there is none.
func (fleet *testFleet) pickServing() *node {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var up []*node
	for _, name := range slices.Sorted(maps.Keys(fleet.nodes)) {
		if n := fleet.nodes[name]; !n.killed.Load() && !n.isFrozen() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[int(fleet.rng.float()*float64(len(up)))]
}

// offerLoad sends requests of a customer until the fleet is closed. rateFraction is the offered load relative to the
// customer's rate.
func (fleet *testFleet) offerLoad(customer string, rateFraction float64, maxWait time.Duration, pick func() *node) {
	const meanChargedTokens, meanUsedPortion = 260.0, 0.6
	fleet.loads.Go(func() {
		for {
			meanPause := meanChargedTokens * meanUsedPortion / (rateFraction * float64(fleet.limitsOf(customer).Rate))
			time.Sleep(time.Duration(fleet.rng.float() * 2 * meanPause * float64(time.Second)))
			if fleet.loadCtx.Err() != nil {
				return
			}
			if target := pick(); target != nil {
				tokens := int64(20 + fleet.rng.float()*(2*meanChargedTokens-40))
				fleet.loads.Go(func() { fleet.sendRequest(target, customer, tokens, maxWait) })
			}
		}
	})
}

// sendRequest sends one request and settles it after a random service time.
func (fleet *testFleet) sendRequest(n *node, customer string, tokens int64, maxWait time.Duration) {
	record := requestRecord{customer: customer, arrivedAt: fleet.now(), chargedTokens: tokens, usedTokens: int64(float64(tokens) * (0.2 + 0.8*fleet.rng.float()))}
	c := &config.Customer{Customer: catalogue.Customer{Name: customer}}
	charge, err := n.admission.Admit(fleet.loadCtx, c, tokens, maxWait)
	record.decidedAt = fleet.now()
	record.confirmed = !fault.Is(err, fault.InstanceNotConfirmed)
	if fleet.loadCtx.Err() != nil && err != nil {
		return
	}
	if err != nil {
		fleet.recorder.add(record)
		return
	}
	record.admitted = true
	serviceTime := fleet.rng.between(50*time.Millisecond, 2*time.Second)
	record.settledAt = record.decidedAt + serviceTime
	fleet.recorder.add(record)
	time.Sleep(serviceTime)
	charge.Settle(record.usedTokens)
}

// steadyLimits returns the customers of the steady load of the fault tests: three that stay within their rate, and one that
// sends several times its rate.
func steadyLimits() map[string]quota.Limits {
	return map[string]quota.Limits{
		"asahan":  {Rate: 6000, Burst: 12000},
		"bombas":  {Rate: 2000, Burst: 6000},
		"fuentes": {Rate: 1000, Burst: 4000},
		"greedy":  {Rate: 1000, Burst: 3000},
	}
}

// withinLimits is the load of the customers that stay within their rate, relative to it.
const withinLimits = 0.75

func (fleet *testFleet) startSteadyLoad() {
	fleet.offerLoad("asahan", withinLimits, 0, fleet.pickServing)
	fleet.offerLoad("bombas", withinLimits, 200*time.Millisecond, fleet.pickServing)
	fleet.offerLoad("fuentes", withinLimits, 0, fleet.pickServing)
	fleet.offerLoad("greedy", 4, 50*time.Millisecond, fleet.pickServing)
}

// refusalStats counts the requests, refusals and wrongful refusals of the customers that stay within their rate.
type refusalStats struct{ total, refused, wrongful int }

func (s refusalStats) wrongfulPercent() float64 {
	return 100 * float64(s.wrongful) / float64(max(1, s.total))
}

func (s refusalStats) String() string {
	return fmt.Sprintf("%d requests, %d refused, %d wrongly (%.2f%%)", s.total, s.refused, s.wrongful, s.wrongfulPercent())
}

func (fleet *testFleet) refusalStats(from, to time.Duration) (stats refusalStats) {
	for name, l := range fleet.limits {
		if name == "greedy" {
			continue
		}
		total, refused, wrongful := countWrongful(fleet.recorder.customerRequests(name), l, from, to)
		stats.total, stats.refused, stats.wrongful = stats.total+total, stats.refused+refused, stats.wrongful+wrongful
	}
	return stats
}

// checkAllBounds returns an error if the admissions of any customer violate its bound.
func (fleet *testFleet) checkAllBounds() error {
	for name, l := range fleet.limits {
		if err := checkBound(fleet.recorder.customerRequests(name), l, 0); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
