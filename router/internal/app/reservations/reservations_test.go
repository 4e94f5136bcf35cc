package reservations_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/port"
	"tanagerwood.dev/router/internal/testclock"
)

var suite *testing.T

func TestReservations(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "reservations")
}

var (
	decode  = port.Endpoint{Name: "d1", Role: platform.RoleDecode, Pool: "d"}
	prefill = port.Endpoint{Name: "p1", Role: platform.RolePrefill, Pool: "p"}
)

// testEnv is a service with fakes of its dependencies: an engine's request list, a load view and an owner.
type testEnv struct {
	mu         sync.Mutex
	owned      bool
	list       []engine.Request
	listErr    error
	load       engine.Load
	reportedAt time.Duration
	leaving    bool
	ownerCalls int
	reply      peer.ReserveReply
	err        error
	metrics    metrics.Registry
	service    *reservations.Service
	port.Membership
	port.Peers
	port.Engine
}

var pools = config.New(1, catalogue.Catalogue{Pools: []catalogue.Pool{
	{Name: "d", Role: catalogue.RoleDecode, Slots: 2, Blocks: 64, BlockTokens: 100},
	{Name: "p", Role: catalogue.RolePrefill, PrefillRate: 1000},
}})

func (env *testEnv) Self() peer.Member { return peer.Member{MemberID: peer.MemberID{Name: "r1"}} }
func (env *testEnv) Owner(string) (peer.Member, bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.owned {
		return env.Self(), true
	}
	return peer.Member{MemberID: peer.MemberID{Name: "r2"}}, false
}
func (env *testEnv) Requests(context.Context, port.Endpoint) (engine.RequestList, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return engine.RequestList{Requests: env.list}, env.listErr
}
func (env *testEnv) set(f func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	f()
}
func (env *testEnv) Reserve(context.Context, string, peer.ReserveRequest) (peer.ReserveReply, error) {
	env.ownerCalls++
	return env.reply, env.err
}
func (env *testEnv) Release(context.Context, string, peer.ReleaseRequest) error { return nil }
func (env *testEnv) Current() *config.Snapshot                                  { return pools }
func (env *testEnv) Subscribe(func(*config.Snapshot))                           {}
func (env *testEnv) Endpoints() []port.Endpoint                                 { return []port.Endpoint{decode, prefill} }
func (env *testEnv) Routers() ([]platform.Instance, bool)                       { return nil, false }
func (env *testEnv) View() *endpointload.View {
	view := &endpointload.View{ByName: map[string]*endpointload.State{}}
	for _, ep := range env.Endpoints() {
		pool, _ := pools.Pool(ep.Pool)
		load := env.load
		load.TokenIntervalMS = 10
		view.ByName[ep.Name] = &endpointload.State{Endpoint: ep, Pool: pool, Load: load, ReportedAt: env.reportedAt, Leaving: env.leaving}
	}
	return view
}

func withFakeClock(f func(env *testEnv)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		env := &testEnv{owned: true, metrics: metrics.NewRegistry()}
		env.service = reservations.New(reservations.Deps{
			Membership: env, Peers: env, Engine: env, Loads: env, Config: env, Clock: testclock.Bubble{}, Metrics: env.metrics,
		})
		f(env)
	})
}

// reserveSlot requests a decode slot that is needed now and held for one second.
func (env *testEnv) reserveSlot(attempt string) peer.ReserveReply {
	return env.service.Reserve(context.Background(), decode, peer.ReserveRequest{Attempt: attempt, PromptTokens: 100, OutputTokens: 100})
}

func otherRequests(n int) (list []engine.Request) {
	for i := range n {
		list = append(list, engine.Request{ID: fmt.Sprint("other", i), Phase: engine.PhaseDecode, Blocks: 2, OutputTokens: 50, MaxTokens: 100})
	}
	return list
}

var _ = Describe("an owner's reservations", func() {
	It("grants free slots and tells when the next one becomes free", func() {
		withFakeClock(func(env *testEnv) {
			Expect(env.reserveSlot("a").Granted).To(BeTrue())
			Expect(env.reserveSlot("b").Granted).To(BeTrue())
			Expect(env.reserveSlot("c")).To(Equal(peer.ReserveReply{FreeInMS: 1000}))
			env.service.Release(decode, "a")
			Expect(env.reserveSlot("c").Granted).To(BeTrue())
		})
	})

	// A new owner does not know the grants of its predecessor; the engine's request list shows them.
	It("rebuilds a new owner's state from the engine's request list before the first grant", func() {
		withFakeClock(func(env *testEnv) {
			env.list = otherRequests(2)
			Expect(env.reserveSlot("a")).To(Equal(peer.ReserveReply{FreeInMS: 500}))
		})
	})

	It("forgets the state with the ownership, and rebuilds it when it comes back", func() {
		withFakeClock(func(env *testEnv) {
			ctx, cancel := context.WithCancel(context.Background())
			go env.service.Run(ctx)
			Expect(env.reserveSlot("a").Granted).To(BeTrue())
			env.set(func() { env.owned = false })
			time.Sleep(1500 * time.Millisecond)
			env.set(func() { env.owned, env.list = true, otherRequests(2) })
			Expect(env.reserveSlot("b").Granted).To(BeFalse())
			cancel()
			time.Sleep(time.Second)
		})
	})

	It("expires a reservation whose instance has died", func() {
		withFakeClock(func(env *testEnv) {
			ctx, cancel := context.WithCancel(context.Background())
			go env.service.Run(ctx)
			env.reserveSlot("a")
			env.reserveSlot("b")
			time.Sleep(900 * time.Millisecond)
			Expect(env.reserveSlot("c").Granted).To(BeFalse())
			time.Sleep(1200 * time.Millisecond)
			Expect(env.reserveSlot("c").Granted).To(BeTrue())
			cancel()
			time.Sleep(time.Second)
		})
	})

	It("grants nothing at a leaving endpoint, also to instances that do not know yet", func() {
		withFakeClock(func(env *testEnv) {
			env.leaving = true
			reply := env.service.HandleReserve(context.Background(), peer.ReserveRequest{Endpoint: "d1", Attempt: "a"})
			Expect(reply.Granted).To(BeFalse())
			Expect(reply.FreeInMS).To(BeNumerically(">", 60_000))
		})
	})

	It("replies that it is not the owner", func() {
		withFakeClock(func(env *testEnv) {
			env.owned = false
			reply := env.service.HandleReserve(context.Background(), peer.ReserveRequest{Endpoint: "d1", Attempt: "a"})
			Expect(reply.NotOwner).To(BeTrue())
			env.owned = true
			reply = env.service.HandleReserve(context.Background(), peer.ReserveRequest{Endpoint: "unknown", Attempt: "a"})
			Expect(reply.NotOwner).To(BeTrue())
		})
	})

	It("tracks the backlog of a prefill endpoint", func() {
		withFakeClock(func(env *testEnv) {
			work := func(attempt string) peer.ReserveReply {
				return env.service.Reserve(context.Background(), prefill, peer.ReserveRequest{
					Attempt: attempt, Prefill: true, PromptTokens: 300, CachedTokens: 100, MaxDelayMS: 300})
			}
			Expect(work("a")).To(Equal(peer.ReserveReply{Granted: true}))
			Expect(work("b")).To(Equal(peer.ReserveReply{Granted: true, FreeInMS: 200}))
			Expect(work("c")).To(Equal(peer.ReserveReply{FreeInMS: 400}))
			env.service.Release(prefill, "a")
			Expect(work("c")).To(Equal(peer.ReserveReply{Granted: true, FreeInMS: 200}))
		})
	})
})

var _ = Describe("without the owner", func() {
	It("estimates from the report and from its own reservations", func() {
		withFakeClock(func(env *testEnv) {
			env.owned, env.err = false, errors.New("no answer")
			env.load, env.reportedAt = engine.Load{Running: 1, UsedBlocks: 2}, 1
			Expect(env.reserveSlot("a").Granted).To(BeTrue())
			Expect(env.reserveSlot("b").Granted).To(BeFalse())
			env.load.Running, env.reportedAt = 0, 2 // the report is older than the start of "a"
			Expect(env.reserveSlot("b").Granted).To(BeTrue())
			Expect(env.reserveSlot("c").Granted).To(BeFalse())
			env.service.Release(decode, "a")
			Expect(env.reserveSlot("c").Granted).To(BeTrue())
			Expect(env.ownerCalls).To(Equal(1), "an owner that did not answer must not be called again during the backoff")
			time.Sleep(time.Second)
			env.reserveSlot("d")
			Expect(env.ownerCalls).To(Equal(2))
		})
	})

	// Guards against an own request that runs longer than a reservation's expiry: its entry was dropped and its slot granted
	// twice.
	It("keeps its own reservations from report to report until they are released", func() {
		withFakeClock(func(env *testEnv) {
			env.owned, env.err = false, errors.New("no answer")
			env.load, env.reportedAt = engine.Load{Running: 1}, 1
			long := peer.ReserveRequest{Attempt: "a", PromptTokens: 100, OutputTokens: 1000}
			Expect(env.service.Reserve(context.Background(), decode, long).Granted).To(BeTrue())
			for range 4 {
				time.Sleep(time.Second)
				env.load.Running, env.reportedAt = 2, env.reportedAt+1
				Expect(env.reserveSlot("b").Granted).To(BeFalse())
			}
			env.service.Release(decode, "a")
			env.load.Running, env.reportedAt = 1, env.reportedAt+1
			Expect(env.reserveSlot("b").Granted).To(BeTrue())
		})
	})

	It("estimates if the asked instance is not the owner", func() {
		withFakeClock(func(env *testEnv) {
			env.owned, env.reply = false, peer.ReserveReply{NotOwner: true}
			Expect(env.reserveSlot("a").Granted).To(BeTrue())
			Expect(env.reserveSlot("b").Granted).To(BeTrue())
			Expect(env.reserveSlot("c").Granted).To(BeFalse())
			Expect(env.ownerCalls).To(Equal(3))
		})
	})

	It("does not choose a leaving endpoint", func() {
		withFakeClock(func(env *testEnv) {
			env.owned, env.err, env.leaving = false, errors.New("no answer"), true
			Expect(env.reserveSlot("a").Granted).To(BeFalse())
		})
	})
})
