package servicepath_test

import (
	"context"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/lab/standin/service"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/claim"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const eventuallyTimeout = 20 * time.Second

func hexDigest(d config.KeyDigest) string { return hex.EncodeToString(d[:]) }

// failWith matches an error of the given kind and outcome.
func failWith(kind fault.Kind, outcome openai.Outcome) types.GomegaMatcher {
	return WithTransform(func(err error) string {
		if err == nil {
			return "no error"
		}
		return string(fault.As(err).Kind) + " " + string(fault.As(err).Outcome)
	}, Equal(string(kind)+" "+string(outcome)))
}

func isReplayed(r port.ServiceResponse) bool {
	return r.Header.Get(servicepath.ReplayedHeader) == "true"
}

var _ = Describe("a call that is not repeatable", func() {
	var (
		env  *testEnv
		a, b *instance
		s    *service.Service
		ctx  = context.Background()
	)
	BeforeEach(func() {
		env = newTestEnv()
		a, b = env.startInstance("a"), env.startInstance("b")
		s, _ = env.startService("s1")
	})
	// observeFleet makes both instances observe the fleet for longer than claim.SentRetention.
	observeFleet := func() {
		for _, i := range []*instance{a, b} {
			stopped, stop := context.WithCancel(ctx)
			stop()
			i.forwarder.Run(stopped)
		}
		env.advance(claim.SentRetention + time.Second)
	}

	It("runs once, and repeats through any instance get the stored answer without a charge", func() {
		first, err := a.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		again, err := b.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Body).To(Equal(first.Body))
		Expect([]bool{isReplayed(first), isReplayed(again)}).To(Equal([]bool{false, true}))
		_, err = b.book(ctx, "k", "other")
		Expect(err).To(failWith(fault.IdempotencyKeyReused, openai.NotRun))
		Expect([]int{s.RunCount("b1"), s.RunCount("other")}).To(Equal([]int{1, 0}))
		Expect(env.chargedTokens).To(Equal(int64(5)))
	})

	It("shows the endpoint no credentials", func() {
		resp, err := a.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(ContainSubstring(`"path":"/slots?day=2"`))
		seen := s.Headers()[0]
		seen.Del("X-Hlc")
		Expect(seen).To(HaveLen(4), "%v", seen) // Accept, Connection, Content-Length, X-Request-Id
		Expect(seen.Get("Accept")).To(Equal("a/b"))
	})

	It("needs an idempotency key", func() {
		_, err := a.book(ctx, "", "b1")
		Expect(err).To(failWith(fault.IdempotencyKeyMissing, openai.NotRun))
	})

	It("does not run again when the instance was killed after the claim and before the send", func() {
		killed, kill := context.WithCancel(ctx)
		env.afterCreate = func() { a.platformCut.Store(true); kill() }
		_, err := a.book(killed, "k", "b1")
		Expect(err).To(HaveOccurred())
		env.afterCreate = nil
		_, err = b.book(ctx, "k", "b1")
		Expect(err).To(failWith(fault.Conflict, openai.Unknown))
		Expect(s.RunCount("b1")).To(BeZero())
	})

	It("is not sent by a claimant that was paused after the claim, and its claim is released", func() {
		env.afterCreate = func() { env.advance(claim.SendWindow + time.Millisecond) }
		_, err := a.book(ctx, "k", "b1")
		Expect(err).To(failWith(fault.Timeout, openai.NotRun))
		Expect(s.RunCount("b1")).To(BeZero())
		Expect(env.claimCount()).To(BeZero())
		env.afterCreate = nil
		_, err = b.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.RunCount("b1")).To(Equal(1))
	})

	It("has an unknown outcome when the service dies after running, for repeats too", func() {
		s2, _ := env.startService("s2")
		s.SetFaults(service.Faults{DieAfterRun: true})
		s2.SetFaults(service.Faults{DieAfterRun: true})
		_, err := a.book(ctx, "k", "b1")
		Expect(err).To(failWith(fault.EndpointFailed, openai.Unknown))
		_, err = b.book(ctx, "k", "b1")
		Expect(err).To(failWith(fault.Conflict, openai.Unknown))
		Expect(s.RunCount("b1") + s2.RunCount("b1")).To(Equal(1))
	})

	It("has an unknown outcome when the connection is cut before the service reads the body", func() {
		s.SetFaults(service.Faults{DropBeforeReading: 1})
		_, err := a.book(ctx, "k", "b1")
		Expect(err).To(failWith(fault.EndpointFailed, openai.Unknown))
	})

	It("goes to another endpoint only if the connection cannot be made, and is not_run if none can", func() {
		s2, web := env.startService("s2")
		web.Close()
		for n, k := range []string{"k0", "k1", "k2", "k3"} {
			_, err := a.book(ctx, k, "b1")
			Expect(err).NotTo(HaveOccurred(), "call %d", n)
		}
		Expect([]int{s.RunCount("b1"), s2.RunCount("b1")}).To(Equal([]int{4, 0}))
		env.endpoints = env.endpoints[1:]
		claims := env.claimCount()
		_, err := a.book(ctx, "k9", "b9")
		Expect(err).To(failWith(fault.EndpointFailed, openai.NotRun))
		Expect(env.claimCount()).To(Equal(claims))
	})

	It("uses a fresh connection when the pooled ones are silent", func() {
		_, err := a.call(ctx, true, http.MethodGet, "/balance", "", "")
		Expect(err).NotTo(HaveOccurred())
		s.SetFaults(service.Faults{Silent: true})
		_, err = a.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.RunCount("b1")).To(Equal(1))
	})

	It("runs once when the replies of the claim's create and complete are lost", func() {
		env.loseWriteReplies(2)
		_, err := a.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		again, err := b.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		Expect(isReplayed(again)).To(BeTrue())
		Expect(s.RunCount("b1")).To(Equal(1))
	})

	It("runs once when it comes through two instances at the same time", func() {
		s.SetFaults(service.Faults{SlowMS: 20})
		results := make([]error, 8)
		var wg sync.WaitGroup
		for n := range results {
			wg.Go(func() { _, results[n] = []*instance{a, b}[n%2].book(ctx, "k", "b1") })
		}
		wg.Wait()
		Expect(s.RunCount("b1")).To(Equal(1))
		Expect(results).To(ContainElement(BeNil()))
		Expect(results).To(HaveEach(Or(BeNil(), failWith(fault.Conflict, openai.Unknown))))
	})

	It("says not_run in a platform outage only if the whole fleet remembers that nobody sent it", func() {
		sent := func() { _, err := a.book(ctx, "k", "b1"); Expect(err).NotTo(HaveOccurred()) }
		outage := func(i *instance, k string) error {
			env.setPlatformOutage(true)
			defer env.setPlatformOutage(false)
			_, err := i.book(ctx, k, k)
			return err
		}
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "started less than 10 minutes ago")
		observeFleet()
		sent()
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.NotRun))
		Expect(outage(a, "k")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "sent by itself")
		Expect(outage(b, "k")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "sent by a peer")
		env.advance(claim.SentRetention - time.Second)
		Expect(outage(b, "k")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "sent within 10 minutes")
		members := env.alive
		env.alive = members[1:]
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "a member was lost")
		env.alive = members
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "a member was lost and came back")
		env.alive = members[1:]
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "a member was lost again")
		env.advance(claim.SentRetention + time.Second)
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "a listed member is out of reach")
		env.alive = members
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.NotRun))
		env.alive = append(members[:2:2], peer.Member{MemberID: peer.MemberID{Name: "c"}, Address: "c"})
		Expect(outage(b, "new")).To(failWith(fault.PlatformUnavailable, openai.Unknown), "a member does not answer")
		Expect([]int{s.RunCount("new"), s.RunCount("b1")}).To(Equal([]int{0, 1}))
	})

	It("is not told not_run by a refusal of its repeat after it ran", func() {
		s.SetFaults(service.Faults{DieAfterRun: true})
		_, err := a.book(ctx, "k", "b1")
		Expect(err).To(HaveOccurred())
		env.admissionErr = fault.New(fault.RateLimited, "rate")
		_, err = b.book(ctx, "k", "b1")
		Expect(err).To(failWith(fault.Conflict, openai.Unknown))
		_, err = b.book(ctx, "k2", "b2")
		Expect(err).To(failWith(fault.RateLimited, openai.NotRun))
		Expect([]int{s.RunCount("b1"), s.RunCount("b2")}).To(Equal([]int{1, 0}))
	})

	It("ends when its key is withdrawn: not_run while it waits, unknown once it was sent, and its answer is kept", func() {
		env.admissionStarted = make(chan struct{})
		result := make(chan error, 1)
		book := func(k string) { _, err := a.book(ctx, k, k); result <- err }
		go book("waits")
		Eventually(env.admissionStarted, eventuallyTimeout).Should(Receive())
		env.applySnapshot(config.New(2, catalogueWithKeys("other")))
		Eventually(result, eventuallyTimeout).Should(Receive(failWith(fault.KeyWithdrawn, openai.NotRun)))
		env.admissionStarted = nil
		env.applySnapshot(config.New(3, catalogueWithKeys(testKey)))
		s.SetFaults(service.Faults{LateReplyMS: 300})
		go book("sent")
		Eventually(func() int { return s.RunCount("sent") }, eventuallyTimeout).Should(Equal(1))
		env.applySnapshot(config.New(4, catalogueWithKeys("other")))
		Eventually(result, eventuallyTimeout).Should(Receive(failWith(fault.KeyWithdrawn, openai.Unknown)))
		Expect(a.forwarder.WaitBackground(ctx)).To(Succeed())
		env.applySnapshot(config.New(5, catalogueWithKeys(testKey)))
		again, err := b.book(ctx, "sent", "sent")
		Expect(err).NotTo(HaveOccurred())
		Expect(isReplayed(again)).To(BeTrue())
		Expect([]int{s.RunCount("waits"), s.RunCount("sent")}).To(Equal([]int{0, 1}))
	})

	It("has its claim deleted after 24 hours", func() {
		_, err := a.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		env.advance(claim.RecordRetention - time.Second)
		a.forwarder.DeleteExpiredClaims(ctx)
		Expect(env.claimCount()).To(Equal(1))
		env.advance(2 * time.Second)
		a.forwarder.DeleteExpiredClaims(ctx)
		Expect(env.claimCount()).To(BeZero())
	})
})

var _ = Describe("a repeatable call", func() {
	It("is answered by a fresh connection or another endpoint when one is silent, cut or dead", func() {
		env := newTestEnv()
		a := env.startInstance("a")
		s1, _ := env.startService("s1")
		get := func() error {
			_, err := a.call(context.Background(), true, http.MethodGet, "/balance", "", "")
			return err
		}
		s1.SetFaults(service.Faults{SlowMS: 50})
		var pooled sync.WaitGroup
		for range 4 {
			pooled.Go(func() { _ = get() })
		}
		pooled.Wait()
		s1.SetFaults(service.Faults{Silent: true})
		Expect(get()).To(Succeed())
		s1.SetFaults(service.Faults{DropBeforeReading: 1})
		Expect(get()).To(Succeed())
		_, web := env.startService("s2")
		web.Close()
		for range 4 {
			Expect(get()).To(Succeed())
		}
		env.endpoints = env.endpoints[1:]
		Expect(get()).To(failWith(fault.EndpointFailed, openai.NotRun))
		env.endpoints = nil
		Expect(get()).To(failWith(fault.NoEndpoint, openai.NotRun))
	})
})
