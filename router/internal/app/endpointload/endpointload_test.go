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

func TestEndpointLoad(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpointload")
}

// harness is a poller with a fake configuration and fake engines: a prefill, a decode and a service endpoint. It implements
// port.Config and port.Engine.
type harness struct {
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

func (h *harness) Current() *config.Snapshot {
	return config.New(1, catalogue.Catalogue{Pools: []catalogue.Pool{
		{Name: "p", Role: catalogue.RolePrefill, Model: "m", PrefillRate: 500},
		{Name: "d", Role: catalogue.RoleDecode, Model: "m", Slots: 20, Blocks: 64, BlockTokens: 2048},
	}})
}
func (h *harness) Subscribe(func(*config.Snapshot))     {}
func (h *harness) Routers() ([]platform.Instance, bool) { return nil, false }
func (h *harness) Endpoints() []port.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endpoints
}

func (h *harness) Load(context.Context, port.Endpoint) (engine.Load, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return engine.Load{}, errors.New("down")
	}
	return h.load, nil
}

func (h *harness) CacheEvents(_ context.Context, _ port.Endpoint, since uint64) (engine.CacheEventPage, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cursors = append(h.cursors, since)
	return h.page, nil
}

func (h *harness) update(f func()) {
	h.mu.Lock()
	f()
	h.mu.Unlock()
	time.Sleep(2 * time.Second)
}

func (h *harness) kinds() (kinds []event.Kind) {
	for _, e := range h.log.Since(0).Events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

func runPoller(f func(h *harness)) {
	synctest.Test(suite, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		defer GinkgoRecover()
		h := &harness{log: event.NewLog("r1", "1", 100, time.Now), index: prefix.New(1000), endpoints: []port.Endpoint{
			{Name: "p1", Role: platform.RolePrefill, Pool: "p"}, {Name: "d1", Role: platform.RoleDecode, Pool: "d"},
			{Name: "s1", Role: platform.RoleService, Pool: "s"},
		}}
		h.poller = endpointload.New(endpointload.Deps{Config: h, Engine: h, Clock: testclock.Bubble{}, Events: h.log, PrefixIndex: h.index, InstanceName: "r1"})
		go h.poller.Run(ctx)
		f(h)
	})
}

var _ = Describe("the load view", func() {
	It("takes sizes from the pool until the first report, and from the report after it", func() {
		runPoller(func(h *harness) {
			group := h.poller.View().ByModel["m"]
			Expect(group.Prefill[0].PrefillRate()).To(Equal(500.0))
			Expect(group.Decode[0].Slots()).To(Equal(20))
			h.update(func() { h.load = engine.Load{Slots: 7, PrefillRate: 900, TokenIntervalMS: 10} })
			Expect(h.poller.View().ByName["d1"].Slots()).To(Equal(7))
			Expect(h.poller.View().ByName["d1"].TokenInterval()).To(Equal(10 * time.Millisecond))
			Expect(group.Decode[0].Slots()).To(Equal(20), "a published view does not change")
			Expect(h.poller.View().ByName).NotTo(HaveKey("s1"))
		})
	})

	It("marks endpoints whose reports fail, and takes them back", func() {
		runPoller(func(h *harness) {
			h.update(func() {})
			h.update(func() { h.down = true })
			Expect(h.poller.View().ByName["d1"].Healthy()).To(BeFalse())
			Expect(h.kinds()).To(ContainElement(event.EndpointLost))
			h.update(func() { h.down = false })
			Expect(h.poller.View().ByName["d1"].Healthy()).To(BeTrue())
			Expect(h.kinds()).To(ContainElement(event.EndpointBack))
		})
	})

	It("follows the instance list", func() {
		runPoller(func(h *harness) {
			h.update(func() {
				h.endpoints = append([]port.Endpoint{}, h.endpoints...)
				h.endpoints[1].Leaving = true
			})
			Expect(h.poller.View().ByName["d1"].Leaving).To(BeTrue())
			Expect(h.kinds()).To(ContainElement(event.EndpointLeaving))
			h.update(func() { h.endpoints = h.endpoints[:1] })
			Expect(h.poller.View().ByName).NotTo(HaveKey("d1"))
		})
	})

	// Guards against a wrong prefix index: cache events arrive late and with gaps, and a restarted engine starts its sequence
	// numbers again.
	It("builds the prefix index from pages with gaps, and starts again after a restart", func() {
		runPoller(func(h *harness) {
			h.update(func() {
				h.page = engine.CacheEventPage{Next: 9, Events: []engine.CacheEvent{
					{Seq: 1, Op: engine.CacheStored, Block: 11}, {Seq: 5, Op: engine.CacheStored, Block: 12},
					{Seq: 9, Op: engine.CacheRemoved, Block: 12},
				}}
			})
			Expect(h.index.Match([]uint64{11, 12}).LeadingBlocks("p1")).To(Equal(1))
			h.update(func() { h.page = engine.CacheEventPage{Next: 9} })
			var cursor uint64
			h.update(func() { cursor = h.cursors[len(h.cursors)-1] })
			Expect(cursor).To(Equal(uint64(9)))
			h.update(func() {
				h.page = engine.CacheEventPage{Next: 2, Events: []engine.CacheEvent{{Seq: 2, Op: engine.CacheStored, Block: 13}}}
			})
			Expect(h.index.Match([]uint64{11}).LeadingBlocks("p1")).To(BeZero())
			Expect(h.index.Match([]uint64{13}).LeadingBlocks("p1")).To(Equal(1))
		})
	})
})
