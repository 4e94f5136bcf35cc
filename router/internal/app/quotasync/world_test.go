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

var suite *testing.T

func TestQuotaSync(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "quotasync")
}

// world is a fleet in memory on the fake clock of a synctest bubble.
type world struct {
	start    time.Time
	fanout   int
	rng      *lockedRand
	net      *network
	platform *fakePlatform
	recorder recorder

	mu        sync.Mutex
	limits    map[string]quota.Limits
	nodes     map[string]*node // the newest incarnation of each name
	all       []*node
	launched  uint64
	revision  uint64
	load      sync.WaitGroup
	stopLoads context.CancelFunc
	loadCtx   context.Context
}

// node is one life of an instance.
type node struct {
	world     *world
	name      string
	self      peer.Member
	conf      *fakeConfig
	members   *membership.Service
	admission *quotasync.Admission
	log       *event.Log
	metrics   metrics.Registry
	dead      atomic.Bool

	mu     sync.Mutex
	frozen chan struct{} // closed on waking; nil while running
}

// pass blocks while the node is frozen.
func (n *node) pass() {
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

func (n *node) wake() {
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
	world    *world
	snapshot atomic.Pointer[config.Snapshot]
	mu       sync.Mutex
	notify   []func(*config.Snapshot)
}

func (c *fakeConfig) Current() *config.Snapshot { return c.snapshot.Load() }
func (c *fakeConfig) Subscribe(f func(*config.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify = append(c.notify, f)
}
func (c *fakeConfig) Endpoints() []port.Endpoint { return nil }
func (c *fakeConfig) Routers() ([]platform.Instance, bool) {
	c.world.platform.mu.Lock()
	defer c.world.platform.mu.Unlock()
	return slices.Collect(maps.Values(c.world.platform.list)), true
}

func (c *fakeConfig) apply(s *config.Snapshot) {
	c.snapshot.Store(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.notify {
		f(s)
	}
}

type worldClock struct{ start time.Time }

func (c worldClock) Now() time.Time      { return time.Now() }
func (c worldClock) Boot() time.Duration { return time.Since(c.start) }

// inWorld runs f with a fleet of the given size and the given customers.
func inWorld(t *testing.T, seed uint64, size int, limits map[string]quota.Limits, f func(*world)) {
	runWorld(t, &world{rng: newRand(seed), limits: limits, fanout: membership.DefaultFanout}, size, f)
}

func runWorld(t *testing.T, w *world, size int, f func(*world)) {
	// Each bubble runs on a goroutine of its own: with many bubbles on one goroutine the race detector of Go 1.26.8 crashes
	// now and then in its stack depot (SIGSEGV below synctest.Run), with no race reported.
	done := make(chan struct{})
	go func() {
		defer close(done)
		synctest.Test(t, func(*testing.T) {
			defer GinkgoRecover()
			w.start, w.nodes = time.Now(), map[string]*node{}
			w.net, w.platform = newNetwork(w.rng), newPlatform(w.rng)
			w.loadCtx, w.stopLoads = context.WithCancel(context.Background())
			for i := range size {
				w.launch(fmt.Sprint("router-", i+1), "")
			}
			defer w.close()
			f(w)
		})
	}()
	<-done
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// launch starts a new incarnation under a name, at the address of the old one unless another is given.
func (w *world) launch(name, address string) *node {
	w.mu.Lock()
	w.launched++
	if address == "" {
		address = "http://" + name
	}
	n := &node{world: w, name: name, conf: &fakeConfig{world: w}, metrics: metrics.NewRegistry()}
	n.self = peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: w.launched * 1e12}, Address: address, Domain: "d"}
	w.nodes[name] = n
	w.all = append(w.all, n)
	seed := w.launched
	w.mu.Unlock()
	n.log = event.NewLog(name, fmt.Sprint(n.self.Incarnation), 256, time.Now)
	n.conf.snapshot.Store(w.snapshot())
	clock := worldClock{w.start}
	n.members = membership.New(membership.Settings{Self: n.self, Fanout: w.fanout, RandomSeed: seed}, membership.Dependencies{
		Platform: access{w.platform, n}, Peers: link{node: n}, Clock: clock, Config: n.conf, Events: n.log, Metrics: n.metrics})
	n.admission = quotasync.New(quotasync.Dependencies{
		Membership: n.members, LoanClient: link{node: n}, Clock: clock, Config: n.conf, Events: n.log, Metrics: n.metrics})
	w.net.mu.Lock()
	w.net.nodes[address] = n
	w.net.mu.Unlock()
	w.platform.set(func(p *fakePlatform) {
		p.list[name] = platform.Instance{Name: name, Role: platform.RoleRouter, URL: address, State: platform.InstanceLive}
	})
	n.members.Start(context.Background())
	return n
}

func (w *world) limitsOf(customer string) quota.Limits {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits[customer]
}

func (w *world) setLimits(customer string, l quota.Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[customer] = l
}

func (w *world) snapshot() *config.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	var c catalogue.Catalogue
	for name, l := range w.limits {
		c.Customers = append(c.Customers, catalogue.Customer{Name: name, RateTokens: l.Rate, BurstTokens: l.Burst})
	}
	return config.New(w.revision, c)
}

// kill ends a node without a word.
func (w *world) kill(n *node) { n.dead.Store(true) }

func (w *world) close() {
	w.stopLoads()
	w.load.Wait()
	for _, n := range w.all {
		n.dead.Store(true)
		n.wake()
	}
	for _, n := range w.all {
		n.members.Stop()
		n.admission.Stop()
	}
	time.Sleep(5 * time.Second) // delayed duplicates arrive
}

// serving picks a random node that a balancer would send to.
func (w *world) serving() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*node
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		if n := w.nodes[name]; !n.dead.Load() && !n.isFrozen() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[int(w.rng.float()*float64(len(up)))]
}

// send offers a customer's load, as a part of its rate, until the world ends.
func (w *world) send(customer string, part float64, patience time.Duration, pick func() *node) {
	const meanTokens, meanUse = 260.0, 0.6
	w.load.Go(func() {
		for {
			mean := meanTokens * meanUse / (part * float64(w.limitsOf(customer).Rate))
			time.Sleep(time.Duration(w.rng.float() * 2 * mean * float64(time.Second)))
			if w.loadCtx.Err() != nil {
				return
			}
			if n := pick(); n != nil {
				tokens := int64(20 + w.rng.float()*(2*meanTokens-40))
				w.load.Go(func() { w.one(n, customer, tokens, patience) })
			}
		}
	})
}

// one sends one request, and settles it after the time that its work takes.
func (w *world) one(n *node, customer string, tokens int64, patience time.Duration) {
	q := request{customer: customer, arrived: w.now(), charged: tokens, used: int64(float64(tokens) * (0.2 + 0.8*w.rng.float()))}
	c := &config.Customer{Customer: catalogue.Customer{Name: customer}}
	charge, err := n.admission.Admit(w.loadCtx, c, tokens, patience)
	q.ended = w.now()
	q.confirmed = !fault.Is(err, fault.NotConfirmed)
	if w.loadCtx.Err() != nil && err != nil {
		return
	}
	if err != nil {
		w.recorder.add(q)
		return
	}
	q.admitted = true
	work := w.rng.between(50*time.Millisecond, 2*time.Second)
	q.settled = q.ended + work
	w.recorder.add(q)
	time.Sleep(work)
	charge.Settle(q.used)
}

// steady is the load of the fault tests: three customers within their rate and one at several times its rate.
func steadyLimits() map[string]quota.Limits {
	return map[string]quota.Limits{
		"asahan":  {Rate: 6000, Burst: 12000},
		"bombas":  {Rate: 2000, Burst: 6000},
		"fuentes": {Rate: 1000, Burst: 4000},
		"greedy":  {Rate: 1000, Burst: 3000},
	}
}

const inside = 0.75

func (w *world) steadyLoad() {
	w.send("asahan", inside, 0, w.serving)
	w.send("bombas", inside, 200*time.Millisecond, w.serving)
	w.send("fuentes", inside, 0, w.serving)
	w.send("greedy", 4, 50*time.Millisecond, w.serving)
}

// figures are the requests of the customers inside their rate in a period.
type figures struct{ total, refused, wrong int }

func (f figures) percent() float64 { return 100 * float64(f.wrong) / float64(max(1, f.total)) }

func (f figures) String() string {
	return fmt.Sprintf("%d requests, %d refused, %d wrongly (%.2f%%)", f.total, f.refused, f.wrong, f.percent())
}

func (w *world) figures(from, to time.Duration) (f figures) {
	for name, l := range w.limits {
		if name == "greedy" {
			continue
		}
		total, refused, wrong := wrongful(w.recorder.of(name), l, from, to)
		f.total, f.refused, f.wrong = f.total+total, f.refused+refused, f.wrong+wrong
	}
	return f
}

// violation is the first breach of a customer's bound.
func (w *world) violation() error {
	for name, l := range w.limits {
		if err := checkBound(w.recorder.of(name), l, 0); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
