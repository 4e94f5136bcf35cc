package endpointload_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/prefix"
	"tanagerwood.dev/router/internal/port"
	"tanagerwood.dev/router/internal/testclock"
)

var suite *testing.T

func TestLoads(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "loads")
}

// world is one poller with one prefill and one decode endpoint. It implements port.Config and port.Engine.
type world struct {
	mu        sync.Mutex
	endpoints []port.Endpoint
	load      engine.Load
	down      bool
	page      engine.CacheEventPage
	cursors   []uint64
	log       *event.Log
	index     *prefix.Index
	poller    *endpointload.Poller
	port.Engine
}

func (w *world) Current() *config.Snapshot {
	return config.New(1, catalogue.Catalogue{Pools: []catalogue.Pool{
		{Name: "p", Role: catalogue.RolePrefill, Model: "m", PrefillRate: 500},
		{Name: "d", Role: catalogue.RoleDecode, Model: "m", Slots: 20, Blocks: 64, BlockTokens: 2048},
	}})
}
func (w *world) Subscribe(func(*config.Snapshot))     {}
func (w *world) Routers() ([]platform.Instance, bool) { return nil, false }
func (w *world) Endpoints() []port.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints
}

func (w *world) Load(context.Context, port.Endpoint) (engine.Load, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return engine.Load{}, errors.New("down")
	}
	return w.load, nil
}

func (w *world) CacheEvents(_ context.Context, _ port.Endpoint, since uint64) (engine.CacheEventPage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cursors = append(w.cursors, since)
	return w.page, nil
}

func (w *world) set(f func()) {
	w.mu.Lock()
	f()
	w.mu.Unlock()
	time.Sleep(2 * time.Second)
}

func (w *world) kinds() (kinds []event.Kind) {
	for _, e := range w.log.Since(0).Events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

func run(f func(w *world)) {
	synctest.Test(suite, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		defer GinkgoRecover()
		w := &world{log: event.NewLog("r1", "1", 100, time.Now), index: prefix.New(1000), endpoints: []port.Endpoint{
			{Name: "p1", Role: platform.RolePrefill, Pool: "p"}, {Name: "d1", Role: platform.RoleDecode, Pool: "d"},
			{Name: "s1", Role: platform.RoleService, Pool: "s"},
		}}
		w.poller = endpointload.New(endpointload.Deps{Config: w, Engine: w, Clock: testclock.Bubble{}, Events: w.log, PrefixIndex: w.index, InstanceName: "r1"})
		go w.poller.Run(ctx)
		f(w)
	})
}

var _ = Describe("the load view", func() {
	It("takes sizes from the pool until the first report, and from the report after it", func() {
		run(func(w *world) {
			group := w.poller.View().ByModel["m"]
			Expect(group.Prefill[0].PrefillRate()).To(Equal(500.0))
			Expect(group.Decode[0].Slots()).To(Equal(20))
			w.set(func() { w.load = engine.Load{Slots: 7, PrefillRate: 900, TokenIntervalMS: 10} })
			Expect(w.poller.View().ByName["d1"].Slots()).To(Equal(7))
			Expect(w.poller.View().ByName["d1"].TokenInterval()).To(Equal(10 * time.Millisecond))
			Expect(group.Decode[0].Slots()).To(Equal(20), "a published view does not change")
			Expect(w.poller.View().ByName).NotTo(HaveKey("s1"))
		})
	})

	It("marks endpoints whose reports fail, and takes them back", func() {
		run(func(w *world) {
			w.set(func() {})
			w.set(func() { w.down = true })
			Expect(w.poller.View().ByName["d1"].Healthy()).To(BeFalse())
			Expect(w.kinds()).To(ContainElement(event.EndpointLost))
			w.set(func() { w.down = false })
			Expect(w.poller.View().ByName["d1"].Healthy()).To(BeTrue())
			Expect(w.kinds()).To(ContainElement(event.EndpointBack))
		})
	})

	It("follows the instance list", func() {
		run(func(w *world) {
			w.set(func() {
				w.endpoints = append([]port.Endpoint{}, w.endpoints...)
				w.endpoints[1].Leaving = true
			})
			Expect(w.poller.View().ByName["d1"].Leaving).To(BeTrue())
			Expect(w.kinds()).To(ContainElement(event.EndpointLeaving))
			w.set(func() { w.endpoints = w.endpoints[:1] })
			Expect(w.poller.View().ByName).NotTo(HaveKey("d1"))
		})
	})

	// Cache events come late and with gaps; a restarted engine numbers them from the start again.
	It("builds the prefix index from pages with gaps, and starts again after a restart", func() {
		run(func(w *world) {
			w.set(func() {
				w.page = engine.CacheEventPage{Next: 9, Events: []engine.CacheEvent{
					{Seq: 1, Op: engine.CacheStored, Block: 11}, {Seq: 5, Op: engine.CacheStored, Block: 12},
					{Seq: 9, Op: engine.CacheRemoved, Block: 12},
				}}
			})
			Expect(w.index.Match([]uint64{11, 12}).LeadingBlocks("p1")).To(Equal(1))
			w.set(func() { w.page = engine.CacheEventPage{Next: 9} })
			var cursor uint64
			w.set(func() { cursor = w.cursors[len(w.cursors)-1] })
			Expect(cursor).To(Equal(uint64(9)))
			w.set(func() {
				w.page = engine.CacheEventPage{Next: 2, Events: []engine.CacheEvent{{Seq: 2, Op: engine.CacheStored, Block: 13}}}
			})
			Expect(w.index.Match([]uint64{11}).LeadingBlocks("p1")).To(BeZero())
			Expect(w.index.Match([]uint64{13}).LeadingBlocks("p1")).To(Equal(1))
		})
	})
})
