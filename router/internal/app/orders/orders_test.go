package orders_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	standin "tanagerwood.dev/lab/standin/engine"
	standplatform "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/adapter/servicehttp"
	"tanagerwood.dev/router/internal/app/orders"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/orderlease"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

const orderDeadline = 20 * time.Second

// harness is the clock, the platform, the configuration and the event log of the tests.
type harness struct {
	port.Config
	port.Platform
	server *standplatform.Server
	mu     sync.Mutex
	boot   time.Duration
	checks bool
}

func (h *harness) Now() time.Time          { return time.Now() }
func (h *harness) Boot() time.Duration     { h.mu.Lock(); defer h.mu.Unlock(); return h.boot }
func (h *harness) advance(d time.Duration) { h.mu.Lock(); defer h.mu.Unlock(); h.boot += d }
func (h *harness) Record(event.Event)      {}
func (h *harness) Current() *config.Snapshot {
	return config.New(1, catalogue.Catalogue{Pools: []catalogue.Pool{{Name: "tulis", ChecksFencing: h.checks}}})
}

// loseReply makes the platform drop its reply to the next write.
func (h *harness) loseReply() {
	n := 1
	h.server.SetFaults(standplatform.Faults{LoseReplies: &n})
}

// instance is one router instance. Its pause runs between the lease check and the send.
type instance struct {
	port.Membership
	port.Service
	name  string
	pause func()
	*orders.Manager
	harness *harness
	// step is how far each reading of the clock by this instance advances it, so that time passes only as fast as the instance
	// works.
	step time.Duration
}

func (i *instance) Now() time.Time { return i.harness.Now() }

func (i *instance) Boot() time.Duration {
	i.harness.advance(i.step)
	return i.harness.Boot()
}

func (i *instance) Self() peer.Member {
	return peer.Member{MemberID: peer.MemberID{Name: i.name, Incarnation: 1}}
}

func (i *instance) Call(ctx context.Context, ep port.Endpoint, c port.ServiceCall) (port.ServiceResponse, error) {
	if i.pause != nil {
		i.pause()
	}
	return i.Service.Call(ctx, ep, c)
}

var _ = Describe("orders", func() {
	var (
		ctx  = context.Background()
		h    *harness
		a, b *instance
		e    *standin.Engine
		ep   port.Endpoint
	)
	newInstance := func(name string) *instance {
		client := servicehttp.New(nil)
		DeferCleanup(client.Close)
		i := &instance{Service: client, name: name, harness: h}
		i.Manager = orders.New(orders.Deps{Clock: i, Config: h, Platform: h, Membership: i, ServiceClient: i, Events: h})
		return i
	}
	setUp := func(checksFencing bool) {
		h = &harness{checks: checksFencing, boot: time.Hour, server: standplatform.New(standplatform.Options{})}
		objects := httptest.NewServer(h.server)
		DeferCleanup(objects.Close)
		h.Platform = platformhttp.New(platformhttp.Options{BaseURL: objects.URL})
		a, b = newInstance("a"), newInstance("b")
		e = standin.New(standin.Options{ChecksFencing: checksFencing})
		web := httptest.NewServer(e.Handler())
		DeferCleanup(web.Close)
		DeferCleanup(e.Close)
		ep = port.Endpoint{Name: "tulis-1", Pool: "tulis", URL: web.URL}
	}
	load := func(i *instance, model string) error {
		ctx, cancel := context.WithTimeout(ctx, orderDeadline)
		defer cancel()
		_, err := i.SendOrder(ctx, ep, engine.OrderLoadModel, model)
		return err
	}
	// taken lists the orders that the engine has accepted.
	taken := func() (list []engine.Order) { return e.Orders() }
	order := func(model string, fencing uint64) engine.Order {
		return engine.Order{Kind: engine.OrderLoadModel, Argument: model, Fencing: fencing}
	}

	It("keep the fencing number of a holder and raise it with each change", func() {
		setUp(false)
		Expect(load(a, "m1")).To(Succeed())
		h.advance(orderlease.LeaseDuration + time.Minute)
		Expect(load(a, "m2")).To(Succeed())
		a.Close(ctx)
		Expect(load(b, "m3")).To(Succeed())
		Expect(taken()).To(Equal([]engine.Order{order("m1", 1), order("m2", 1), order("m3", 2)}))
	})

	It("go on when the replies of lease writes are lost", func() {
		setUp(true)
		h.loseReply()
		Expect(load(a, "m1")).To(Succeed())
		h.advance(orderlease.LeaseDuration)
		h.loseReply()
		Expect(load(a, "m2")).To(Succeed())
		Expect(taken()).To(Equal([]engine.Order{order("m1", 1), order("m2", 1)}))
	})

	It("of a new holder wait until the lease lapses, and longer for engines that ignore the number", func() {
		for _, checks := range []bool{true, false} {
			setUp(checks)
			Expect(load(a, "m1")).To(Succeed())
			begun := h.Boot()
			var sentAt time.Duration
			b.pause = func() { sentAt = h.Boot() }
			b.step = 250 * time.Millisecond
			Expect(load(b, "m2")).To(Succeed())
			wait := orderlease.LeaseDuration
			if !checks {
				wait += orderlease.LeaseDuration + orderlease.SendTimeout
			}
			Expect(sentAt-begun).To(BeNumerically(">", wait), "checks the number: %v", checks)
			Expect(taken()).To(Equal([]engine.Order{order("m1", 1), order("m2", 2)}))
		}
	})

	It("of a holder that was paused past its lease are not sent, whether or not the engine checks the number", func() {
		for _, checks := range []bool{true, false} {
			setUp(checks)
			a.pause = func() { h.advance(orderlease.LeaseDuration - orderlease.SendTimeout) }
			err := load(a, "stale")
			Expect(fault.Is(err, fault.InstanceNotConfirmed)).To(BeTrue(), "%v", err)
			Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
			Expect(taken()).To(BeEmpty())
		}
	})

	It("with an old number are refused by an engine that checks it, and the holder gives the lease up", func() {
		setUp(true)
		Expect(load(a, "m1")).To(Succeed())
		raw, err := json.Marshal(order("newer", 7))
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Service.Call(ctx, ep, port.ServiceCall{Method: "POST", Path: "/orders", Body: raw})
		Expect(err).NotTo(HaveOccurred())
		Expect(fault.Is(load(a, "m2"), fault.Conflict)).To(BeTrue())
		Expect(taken()).To(Equal([]engine.Order{order("m1", 1), order("newer", 7)}))
	})

	It("end with not_run when the lease is not free in time", func() {
		setUp(true)
		Expect(load(a, "m1")).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := b.SendOrder(short, ep, engine.OrderSetRole, "decode")
		Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
		Expect(taken()).To(HaveLen(1))
	})
})
