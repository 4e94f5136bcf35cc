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

// world is one service with its surroundings: an engine's list, a view and an owner.
type world struct {
	mu      sync.Mutex
	owned   bool
	list    []engine.Request
	listErr error
	load    engine.Load
	at      time.Duration
	leaving bool
	asked   int
	reply   peer.ReserveReply
	err     error
	metrics metrics.Registry
	service *reservations.Service
	port.Membership
	port.Peers
	port.Engine
}

var pools = config.New(1, catalogue.Catalogue{Pools: []catalogue.Pool{
	{Name: "d", Role: catalogue.RoleDecode, Slots: 2, Blocks: 64, BlockTokens: 100},
	{Name: "p", Role: catalogue.RolePrefill, PrefillRate: 1000},
}})

func (w *world) Self() peer.Member { return peer.Member{MemberID: peer.MemberID{Name: "r1"}} }
func (w *world) Owner(string) (peer.Member, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.owned {
		return w.Self(), true
	}
	return peer.Member{MemberID: peer.MemberID{Name: "r2"}}, false
}
func (w *world) Requests(context.Context, port.Endpoint) (engine.RequestList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return engine.RequestList{Requests: w.list}, w.listErr
}
func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}
func (w *world) Reserve(context.Context, string, peer.ReserveRequest) (peer.ReserveReply, error) {
	w.asked++
	return w.reply, w.err
}
func (w *world) Release(context.Context, string, peer.ReleaseRequest) error { return nil }
func (w *world) Current() *config.Snapshot                                  { return pools }
func (w *world) Subscribe(func(*config.Snapshot))                           {}
func (w *world) Endpoints() []port.Endpoint                                 { return []port.Endpoint{decode, prefill} }
func (w *world) Routers() ([]platform.Instance, bool)                       { return nil, false }
func (w *world) View() *endpointload.View {
	view := &endpointload.View{ByName: map[string]*endpointload.State{}}
	for _, ep := range w.Endpoints() {
		pool, _ := pools.Pool(ep.Pool)
		load := w.load
		load.TokenIntervalMS = 10
		view.ByName[ep.Name] = &endpointload.State{Endpoint: ep, Pool: pool, Load: load, ReportedAt: w.at, Leaving: w.leaving}
	}
	return view
}

func run(f func(w *world)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		w := &world{owned: true, metrics: metrics.NewRegistry()}
		w.service = reservations.New(reservations.Deps{
			Membership: w, Peers: w, Engine: w, Loads: w, Config: w, Clock: testclock.Bubble{}, Metrics: w.metrics,
		})
		f(w)
	})
}

// slot asks for a decode slot for one second from now on.
func (w *world) slot(attempt string) peer.ReserveReply {
	return w.service.Reserve(context.Background(), decode, peer.ReserveRequest{Attempt: attempt, PromptTokens: 100, OutputTokens: 100})
}

func listed(n int) (list []engine.Request) {
	for i := range n {
		list = append(list, engine.Request{ID: fmt.Sprint("other", i), Phase: engine.PhaseDecode, Blocks: 2, OutputTokens: 50, MaxTokens: 100})
	}
	return list
}

var _ = Describe("an owner's reservations", func() {
	It("grants what is free and says when the rest will be", func() {
		run(func(w *world) {
			Expect(w.slot("a").Granted).To(BeTrue())
			Expect(w.slot("b").Granted).To(BeTrue())
			Expect(w.slot("c")).To(Equal(peer.ReserveReply{InMS: 1000}))
			w.service.Release(decode, "a")
			Expect(w.slot("c").Granted).To(BeTrue())
		})
	})

	// A new owner knows nothing of what its predecessor granted; the engine does.
	It("rebuilds a new owner's state from the engine's request list before the first grant", func() {
		run(func(w *world) {
			w.list = listed(2)
			Expect(w.slot("a")).To(Equal(peer.ReserveReply{InMS: 500}))
		})
	})

	It("forgets the state with the ownership, and rebuilds it when it comes back", func() {
		run(func(w *world) {
			ctx, cancel := context.WithCancel(context.Background())
			go w.service.Run(ctx)
			Expect(w.slot("a").Granted).To(BeTrue())
			w.set(func() { w.owned = false })
			time.Sleep(1500 * time.Millisecond)
			w.set(func() { w.owned, w.list = true, listed(2) })
			Expect(w.slot("b").Granted).To(BeFalse())
			cancel()
			time.Sleep(time.Second)
		})
	})

	It("lapses a reservation that its instance died with", func() {
		run(func(w *world) {
			ctx, cancel := context.WithCancel(context.Background())
			go w.service.Run(ctx)
			w.slot("a")
			w.slot("b")
			time.Sleep(900 * time.Millisecond)
			Expect(w.slot("c").Granted).To(BeFalse())
			time.Sleep(1200 * time.Millisecond)
			Expect(w.slot("c").Granted).To(BeTrue())
			cancel()
			time.Sleep(time.Second)
		})
	})

	It("grants nothing at a leaving endpoint, also to instances that do not know yet", func() {
		run(func(w *world) {
			w.leaving = true
			reply := w.service.HandleReserve(context.Background(), peer.ReserveRequest{Endpoint: "d1", Attempt: "a"})
			Expect(reply.Granted).To(BeFalse())
			Expect(reply.InMS).To(BeNumerically(">", 60_000))
		})
	})

	It("says that it is not the owner", func() {
		run(func(w *world) {
			w.owned = false
			reply := w.service.HandleReserve(context.Background(), peer.ReserveRequest{Endpoint: "d1", Attempt: "a"})
			Expect(reply.NotOwner).To(BeTrue())
			w.owned = true
			reply = w.service.HandleReserve(context.Background(), peer.ReserveRequest{Endpoint: "unknown", Attempt: "a"})
			Expect(reply.NotOwner).To(BeTrue())
		})
	})

	It("tracks the backlog of a prefill endpoint", func() {
		run(func(w *world) {
			work := func(attempt string) peer.ReserveReply {
				return w.service.Reserve(context.Background(), prefill, peer.ReserveRequest{
					Attempt: attempt, Prefill: true, PromptTokens: 300, CachedTokens: 100, WithinMS: 300})
			}
			Expect(work("a")).To(Equal(peer.ReserveReply{Granted: true}))
			Expect(work("b")).To(Equal(peer.ReserveReply{Granted: true, InMS: 200}))
			Expect(work("c")).To(Equal(peer.ReserveReply{InMS: 400}))
			w.service.Release(prefill, "a")
			Expect(work("c")).To(Equal(peer.ReserveReply{Granted: true, InMS: 200}))
		})
	})
})

var _ = Describe("without the owner", func() {
	It("estimates from the report and from its own reservations", func() {
		run(func(w *world) {
			w.owned, w.err = false, errors.New("no answer")
			w.load, w.at = engine.Load{Running: 1, UsedBlocks: 2}, 1
			Expect(w.slot("a").Granted).To(BeTrue())
			Expect(w.slot("b").Granted).To(BeFalse())
			w.load.Running, w.at = 0, 2 // a report from before "a" began
			Expect(w.slot("b").Granted).To(BeTrue())
			Expect(w.slot("c").Granted).To(BeFalse())
			w.service.Release(decode, "a")
			Expect(w.slot("c").Granted).To(BeTrue())
			Expect(w.asked).To(Equal(1), "an owner that did not answer is left alone for a while")
			time.Sleep(time.Second)
			w.slot("d")
			Expect(w.asked).To(Equal(2))
		})
	})

	// Guards against an own request that runs longer than a lapse and is forgotten, so that its slot is given twice.
	It("keeps its own reservations from report to report until they are released", func() {
		run(func(w *world) {
			w.owned, w.err = false, errors.New("no answer")
			w.load, w.at = engine.Load{Running: 1}, 1
			long := peer.ReserveRequest{Attempt: "a", PromptTokens: 100, OutputTokens: 1000}
			Expect(w.service.Reserve(context.Background(), decode, long).Granted).To(BeTrue())
			for range 4 {
				time.Sleep(time.Second)
				w.load.Running, w.at = 2, w.at+1
				Expect(w.slot("b").Granted).To(BeFalse())
			}
			w.service.Release(decode, "a")
			w.load.Running, w.at = 1, w.at+1
			Expect(w.slot("b").Granted).To(BeTrue())
		})
	})

	It("estimates if the asked instance is not the owner", func() {
		run(func(w *world) {
			w.owned, w.reply = false, peer.ReserveReply{NotOwner: true}
			Expect(w.slot("a").Granted).To(BeTrue())
			Expect(w.slot("b").Granted).To(BeTrue())
			Expect(w.slot("c").Granted).To(BeFalse())
			Expect(w.asked).To(Equal(3))
		})
	})

	It("does not choose a leaving endpoint", func() {
		run(func(w *world) {
			w.owned, w.err, w.leaving = false, errors.New("no answer"), true
			Expect(w.slot("a").Granted).To(BeFalse())
		})
	})
})
