package rebalance_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/rebalance"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/stages"
)

func TestRebalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rebalance")
}

// fleet is a fake platform with engines, and the Rebalancer under test.
type fleet struct {
	era          uint64
	platformDown bool
	now          time.Duration
	listed       map[string]routing.Endpoint
	book         *inflight.Tracker
	transitions  *stages.Transitions
	isLeader     bool
	claims       map[string]string
	claimErr     error
	// claimDuration is how long a claim takes.
	claimDuration time.Duration
	orders        []string
	orderErr      error
	removed       []string
	service       *rebalance.Rebalancer
}

func newFleet(prefills, decoders int) *fleet {
	f := &fleet{listed: map[string]routing.Endpoint{}, book: inflight.NewTracker(), transitions: stages.NewTransitions(), isLeader: true, claims: map[string]string{}}
	for i := range prefills {
		f.list(fmt.Sprint("p", i), routing.Prefill)
	}
	for i := range decoders {
		id := fmt.Sprint("d", i)
		f.list(id, routing.Decode)
		f.book.Add(id, inflight.Load{Requests: 10})
	}
	f.book.Add("p0", inflight.Load{Requests: 1, Tokens: 5000})
	f.service = rebalance.New(rebalance.Deps{
		InstanceName: "i-1", State: f, EndpointLoad: f.book, Transitions: f.transitions, Claims: f, Orders: f, IsLeader: func() bool { return f.isLeader },
		OnTransitionsChanged: func() {}, Boot: func() time.Duration { return f.now }, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	return f
}

func (f *fleet) list(id string, stage routing.Stage) {
	f.listed[id] = routing.Endpoint{ID: id, Service: "m", Stage: stage, Domain: "z"}
}

func (f *fleet) Services() []*routing.Service {
	return []*routing.Service{{Name: "m", Engine: &routing.Engine{Slots: 12, MemoryTokens: 100_000, StageChangeTime: 6 * time.Second}}, {Name: "plain"}}
}

func (f *fleet) Stage(_ string, stage routing.Stage) (out []routing.Endpoint) {
	for _, ep := range f.listed {
		if _, changing := f.transitions.Target(ep.ID, ep.Stage, f.now); ep.Stage == stage && !changing {
			out = append(out, ep)
		}
	}
	return out
}

func (f *fleet) CountChanging(_ string, to routing.Stage) (n int) {
	for _, ep := range f.listed {
		if next, changing := f.transitions.Target(ep.ID, ep.Stage, f.now); changing && next == to {
			n++
		}
	}
	return n
}

func (f *fleet) IsListed(id string) bool {
	_, ok := f.listed[id]
	return ok
}

func (f *fleet) Era() uint64 { return f.era }

func (f *fleet) Settled() bool { return !f.platformDown }

func (f *fleet) ClaimEngine(_ context.Context, endpoint, instance string) (uint64, error) {
	f.now += f.claimDuration
	if f.claimErr != nil {
		return 0, f.claimErr
	}
	if f.claims[endpoint] != "" {
		return 0, routing.ErrConflict
	}
	f.claims[endpoint] = instance
	return uint64(len(f.claims)), nil
}

func (f *fleet) RemoveClaim(_ context.Context, endpoint string) error {
	f.removed = append(f.removed, endpoint)
	return nil
}

func (f *fleet) OrderStage(_ context.Context, ep routing.Endpoint, to routing.Stage, instance string, token uint64) error {
	f.orders = append(f.orders, fmt.Sprintf("%s %s to %s with token %d", instance, ep.ID, to, token))
	return f.orderErr
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 200 * time.Millisecond {
		f.service.Rebalance(context.Background())
	}
}

var _ = Describe("the rebalancer", func() {
	It("orders the engines that the work does not need, each once, with a token of its own", func() {
		f := newFleet(6, 12)
		f.run(9 * time.Second)
		Expect(f.orders).To(HaveLen(4))
		Expect(f.orders[0]).To(Equal("i-1 p1 to decode with token 1"))
		Expect(f.orders).To(ContainElement("i-1 p2 to decode with token 2"))
		Expect(f.Stage("m", routing.Prefill)).To(HaveLen(2))
	})

	// Guards against two holders that both send an order to one engine, which engines may not notice.
	It("orders no engine that another instance has claimed, and claims none twice", func() {
		f := newFleet(6, 12)
		for i := range 6 {
			f.claims[fmt.Sprint("p", i)] = "i-2"
		}
		f.run(30 * time.Second)
		Expect(f.orders).To(BeEmpty())
	})

	// Guards against a second order to an engine after the platform was restored from a backup without the claim of the first.
	It("claims its engines again when the platform was restored from a backup, and orders nothing meanwhile", func() {
		f := newFleet(6, 12)
		f.run(7 * time.Second)
		orders, claims := len(f.orders), len(f.claims)
		Expect(orders).To(BeNumerically(">", 0))
		clear(f.claims)
		f.era++
		f.run(time.Second)
		Expect(f.claims).To(HaveLen(claims))
		Expect(f.orders).To(HaveLen(orders))
		f.run(10 * time.Second)
		for id := range f.claims {
			count := 0
			for _, order := range f.orders {
				if strings.Contains(order, " "+id+" ") {
					count++
				}
			}
			Expect(count).To(Equal(1), id)
		}
	})

	// Guards against an engine that is taken from its stage because engines that have left are still listed there.
	It("orders nothing while the platform is unavailable", func() {
		f := newFleet(6, 12)
		f.platformDown = true
		f.run(10 * time.Second)
		Expect(f.orders).To(BeEmpty())
		f.platformDown = false
		f.run(time.Second)
		Expect(f.orders).NotTo(BeEmpty())
	})

	It("does nothing unless it leads", func() {
		f := newFleet(6, 12)
		f.isLeader = false
		f.run(10 * time.Second)
		Expect(f.orders).To(BeEmpty())
	})

	// Guards against an order after a suspension, when another instance may have acted on newer samples.
	It("drops a claim that took too long", func() {
		f := newFleet(6, 12)
		f.claimDuration = 2 * time.Second
		f.run(20 * time.Second)
		Expect(f.orders).To(BeEmpty())
	})

	// Guards against orders based on samples that are many seconds old because each claim took long.
	It("ends a round that takes too long", func() {
		f := newFleet(20, 40)
		f.run(4200 * time.Millisecond)
		Expect(f.orders).To(BeEmpty())
		f.claimDuration = 600 * time.Millisecond
		f.service.Rebalance(context.Background())
		Expect(len(f.orders)).To(BeNumerically("<=", 2))
	})

	It("uses an engine again that refused, and never orders it again", func() {
		f := newFleet(4, 12)
		f.orderErr = fmt.Errorf("%w: status 409", routing.ErrNotRun)
		f.run(20 * time.Second)
		Expect(f.orders).To(HaveLen(4))
		Expect(f.Stage("m", routing.Prefill)).To(HaveLen(4))
	})

	// Guards against requests to an engine that carries out an order late (applied_late).
	It("keeps requests from an engine whose order got no answer, for a bounded time", func() {
		f := newFleet(4, 12)
		f.orderErr = errors.New("reset")
		f.run(8 * time.Second)
		Expect(f.orders).To(HaveLen(2))
		Expect(f.Stage("m", routing.Prefill)).To(HaveLen(2))
		f.isLeader = false
		f.run(10 * time.Second)
		Expect(f.Stage("m", routing.Prefill)).To(HaveLen(4))
	})

	It("removes its claims of engines that are gone, after a while", func() {
		f := newFleet(4, 12)
		f.run(7 * time.Second)
		Expect(f.orders).To(HaveLen(2))
		for id := range f.claims {
			delete(f.listed, id)
		}
		f.run(50 * time.Second)
		Expect(f.removed).To(BeEmpty())
		f.run(20 * time.Second)
		Expect(f.removed).To(HaveLen(2))
	})
})
