package cleanup_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	standin "tanagerwood.dev/lab/standin/engine"
	"tanagerwood.dev/router/internal/adapter/enginehttp"
	"tanagerwood.dev/router/internal/app/cleanup"
	"tanagerwood.dev/router/internal/port"
)

func TestCleanup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cleanup")
}

const eventuallyTimeout = 20 * time.Second

// fakeFleet provides the configuration, the members, their registries, and the client of the engine.
type fakeFleet struct {
	port.Config
	port.Peers
	port.Engine
	endpoints []port.Endpoint
	self      peer.Member
	alive     []peer.Member
	isOwner   bool
	// inflight holds the registries of instances by address; an instance without an entry does not reply.
	inflight map[string]fakeRegistry
	// cancelsToRefuse is how many of the next cancels fail before they reach the engine.
	cancelsToRefuse, cancels atomic.Int64
	// addedAge is added to the age of requests.
	addedAge time.Duration
}

type fakeRegistry map[string]bool

func (r fakeRegistry) Has(attempt string) bool { return r[attempt] }

func (f *fakeFleet) Endpoints() []port.Endpoint                  { return f.endpoints }
func (f *fakeFleet) Routers() (_ []platform.Instance, read bool) { return nil, true }
func (f *fakeFleet) Self() peer.Member                           { return f.self }
func (f *fakeFleet) Alive() []peer.Member                        { return f.alive }
func (f *fakeFleet) Owner(string) (m peer.Member, self bool)     { return f.self, f.isOwner }
func (f *fakeFleet) Confirmed() bool                             { return true }
func (f *fakeFleet) Record(event.Event)                          {}
func (f *fakeFleet) IsAlive(id peer.MemberID) bool {
	for _, m := range f.alive {
		if m.MemberID == id {
			return true
		}
	}
	return false
}

func (f *fakeFleet) Inflight(_ context.Context, address string, m peer.InflightRequest) (peer.InflightReply, error) {
	if r, ok := f.inflight[address]; ok {
		return cleanup.HandleInflightRequest(r, m), nil
	}
	return peer.InflightReply{}, errors.New("no reply")
}

func (f *fakeFleet) Cancel(ctx context.Context, ep port.Endpoint, attempt string) error {
	f.cancels.Add(1)
	if f.cancelsToRefuse.Add(-1) >= 0 {
		return errors.New("connection refused")
	}
	return f.Engine.Cancel(ctx, ep, attempt)
}

func (f *fakeFleet) Requests(ctx context.Context, ep port.Endpoint) (engine.RequestList, error) {
	list, err := f.Engine.Requests(ctx, ep)
	for i := range list.Requests {
		list.Requests[i].AgeMS += f.addedAge.Milliseconds()
	}
	return list, err
}

func member(name string, incarnation uint64) peer.Member {
	return peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: incarnation}, Address: "http://" + name}
}

var _ = Describe("cleanup", func() {
	var (
		ctx       = context.Background()
		f         *fakeFleet
		e         *standin.Engine
		ep        port.Endpoint
		canceller *cleanup.Canceller
		reaper    *cleanup.Reaper
	)
	BeforeEach(func() {
		e = standin.New(standin.Options{TokenInterval: time.Hour})
		web := httptest.NewServer(e.Handler())
		DeferCleanup(func() {
			e.Close()
			web.CloseClientConnections()
			web.Close()
		})
		ep = port.Endpoint{Name: "tulis-1", Role: platform.RoleDecode, URL: web.URL}
		log := event.NewLog("test", "", 64, time.Now)
		f = &fakeFleet{Engine: enginehttp.New(enginehttp.Options{}, log), endpoints: []port.Endpoint{ep}, self: member("a", 1), isOwner: true,
			alive: []peer.Member{member("a", 1), member("b.my-west", 1)}, inflight: map[string]fakeRegistry{"http://b.my-west": {}}}
		f.inflight["http://a"] = fakeRegistry{}
		canceller = cleanup.NewCanceller(f, f, f)
		DeferCleanup(canceller.Close)
		reaper = cleanup.NewReaper(cleanup.Deps{Config: f, Membership: f, Engine: f, Peers: f, Inflight: f.inflight["http://a"],
			Events: f, Canceller: canceller})
	})
	// held sends requests to the engine whose connections stay open.
	held := func(attempts ...string) {
		for _, attempt := range attempts {
			go func() {
				resp, err := http.Post(ep.URL+"/v1/completions", "application/json",
					strings.NewReader(`{"prompt":"p","stream":true,"request_id":"`+attempt+`"}`))
				if err == nil {
					defer resp.Body.Close()
					_, _ = resp.Body.Read(make([]byte, 1))
				}
			}()
		}
		Eventually(func() int { return e.Stats().Requests }, eventuallyTimeout).Should(Equal(len(attempts)))
	}
	ids := func() (list []string) {
		for _, r := range e.Requests().Requests {
			list = append(list, r.ID)
		}
		return list
	}
	round := func() {
		reaper.ReapOnce(ctx)
		Expect(canceller.WaitIdle(ctx)).To(Succeed())
	}

	It("repeats a cancel until the engine acknowledges it, also when replies are lost", func() {
		held("a.1.7.1")
		f.cancelsToRefuse.Store(2)
		e.SetFaults(standin.Faults{DropCancelReplies: 2})
		canceller.Cancel(ep, "a.1.7.1")
		canceller.Cancel(ep, "a.1.7.1")
		Expect(canceller.WaitIdle(ctx)).To(Succeed())
		Expect(ids()).To(BeEmpty())
		Expect(f.cancels.Load()).To(Equal(int64(5)))
	})

	It("gives a cancel up when the endpoint is no longer listed", func() {
		f.cancelsToRefuse.Store(1 << 40)
		f.endpoints = nil
		canceller.Cancel(ep, "a.1.7.1")
		Eventually(canceller.Pending, eventuallyTimeout).Should(BeZero())
	})

	It("frees the requests of a killed instance and keeps those of live ones and of other clients", func() {
		held("b.my-west.1.3.1", "a.1.4.1", "local-x", "c.9.1.1")
		f.inflight["http://a"]["a.1.4.1"] = true
		f.inflight["http://b.my-west"]["b.my-west.1.3.1"] = true
		f.alive = append(f.alive, member("c", 9))
		f.addedAge = time.Minute
		round() // c is alive but does not reply, so its request is kept
		Expect(ids()).To(HaveLen(4))
		f.alive = f.alive[:2]
		round()
		Expect(ids()).To(ConsistOf("b.my-west.1.3.1", "a.1.4.1", "local-x"))
	})

	It("keeps the requests of an instance whose heartbeats are lost but which answers", func() {
		held("b.my-west.1.3.1")
		f.inflight["http://b.my-west"]["b.my-west.1.3.1"] = true
		round()
		f.alive = f.alive[:1]
		round()
		round()
		Expect(ids()).To(HaveLen(1))
	})

	It("frees the requests of an instance that was replaced by its next incarnation", func() {
		held("b.my-west.1.3.1", "b.my-west.2.3.1")
		f.alive[1] = member("b.my-west", 2)
		f.inflight["http://b.my-west"]["b.my-west.2.3.1"] = true
		round()
		Expect(ids()).To(ConsistOf("b.my-west.2.3.1"))
	})

	It("frees requests that a live instance does not know twice in a row, but no young ones", func() {
		held("a.1.5.1", "b.my-west.1.3.1")
		round()
		round()
		Expect(ids()).To(HaveLen(2), "young requests")
		f.addedAge = time.Minute
		round()
		f.inflight["http://b.my-west"]["b.my-west.1.3.1"] = true
		f.inflight["http://a"]["a.1.5.1"] = true
		round()
		clear(f.inflight["http://a"])
		round()
		Expect(ids()).To(HaveLen(2), "unknown twice, but not in a row")
		round()
		Expect(ids()).To(ConsistOf("b.my-west.1.3.1"))
	})

	It("leaves endpoints alone that another instance owns", func() {
		held("c.9.1.1")
		f.isOwner, f.addedAge = false, time.Minute
		round()
		round()
		Expect(ids()).To(HaveLen(1))
	})
})
