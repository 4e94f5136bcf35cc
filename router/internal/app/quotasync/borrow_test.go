package quotasync_test

import (
	"context"
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
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/roster"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// fixedMembers is a Membership whose roster does not change and whose confirmation the test sets.
type fixedMembers struct {
	self      peer.Member
	confirmed atomic.Bool
	views     *roster.ViewHistory
}

func (m *fixedMembers) Self() peer.Member                { return m.self }
func (m *fixedMembers) IsAlive(peer.MemberID) bool       { return true }
func (m *fixedMembers) Confirmed() bool                  { return m.confirmed.Load() }
func (m *fixedMembers) ViewHistory() *roster.ViewHistory { return m.views }

// lenderStub grants every loan in full after a delay. With mismatch its replies carry the number of another request.
type lenderStub struct {
	delay    time.Duration
	mismatch bool
	mu       sync.Mutex
	returned int
	unused   int64
}

func (l *lenderStub) Loan(_ context.Context, _ string, m peer.LoanRequest) (peer.LoanReply, error) {
	time.Sleep(l.delay)
	if l.mismatch {
		m.Request++
	}
	return peer.LoanReply{Request: m.Request, LoanID: 1, Tokens: m.Tokens}, nil
}

func (l *lenderStub) LoanDone(_ context.Context, _ string, m peer.LoanDone) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !m.Used {
		l.returned++
	}
	l.unused += m.Unused
	return nil
}

func inBubble(f func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

// newBorrower returns an Admission with one other holder, which lender stands for, and a customer with a burst of 1000.
func newBorrower(lender quotasync.LoanClient, confirmed bool) (*quotasync.Admission, *fixedMembers, *config.Customer) {
	self := peer.Member{MemberID: peer.MemberID{Name: "a", Incarnation: 1}}
	other := peer.Member{MemberID: peer.MemberID{Name: "b", Incarnation: 1}}
	members := &fixedMembers{self: self, views: (*roster.ViewHistory)(nil).Append(0, false, [][]peer.Member{{self, other}})}
	members.confirmed.Store(confirmed)
	c := catalogue.Catalogue{Customers: []catalogue.Customer{{Name: "x", RateTokens: 100, BurstTokens: 1000}}}
	conf := &fakeConfig{}
	conf.snapshot.Store(config.New(1, c))
	a := quotasync.New(quotasync.Dependencies{Membership: members, LoanClient: lender, Clock: bubbleClock{time.Now()}, Config: conf,
		Events: event.NewLog("a", "1", 16, time.Now), Metrics: metrics.NewRegistry()})
	customer, _ := conf.Current().Customer("x")
	return a, members, customer
}

var _ = Describe("borrowing", func() {
	admit := func(a *quotasync.Admission, c *config.Customer, tokens int64, maxWait time.Duration) (port.Charge, error) {
		defer a.Stop()
		return a.Admit(context.Background(), c, tokens, maxWait)
	}

	It("serves from loans alone while it has no share", func() {
		inBubble(func() {
			a, _, c := newBorrower(&lenderStub{}, false)
			_, err := admit(a, c, 300, 0)
			Expect(err).NotTo(HaveOccurred())
		})
	})

	It("settles a loan once, for the unused tokens that exceed the local part", func() {
		inBubble(func() {
			lender := &lenderStub{}
			a, _, x := newBorrower(lender, true)
			time.Sleep(time.Second) // 50 tokens accrue in the local share
			charge, err := a.Admit(context.Background(), x, 200, 0)
			Expect(err).NotTo(HaveOccurred())
			charge.Settle(80)
			charge.Cancel()
			a.Stop()
			Expect(lender.unused).To(BeEquivalentTo(200 - 80 - 50))
		})
	})

	It("returns a loan that arrives after its validity, counted from the sending of the request", func() {
		inBubble(func() {
			lender := &lenderStub{delay: 251 * time.Millisecond}
			a, _, c := newBorrower(lender, false)
			_, err := admit(a, c, 300, 0)
			Expect(fault.Is(err, fault.RateLimited)).To(BeTrue(), "%v", err)
			Expect(lender.returned).NotTo(BeZero())
		})
	})

	It("does not use a loan that was given for another request, which may have been sent earlier", func() {
		inBubble(func() {
			a, _, c := newBorrower(&lenderStub{mismatch: true}, false)
			_, err := admit(a, c, 300, 0)
			Expect(fault.Is(err, fault.InstanceNotConfirmed)).To(BeTrue(), "%v", err)
		})
	})

	It("uses no local tokens if the confirmation lapses while it borrows", func() {
		inBubble(func() {
			lender := &lenderStub{delay: 100 * time.Millisecond}
			a, members, c := newBorrower(lender, true)
			time.Sleep(2 * time.Second) // 100 tokens are in the local share
			go func() {
				time.Sleep(50 * time.Millisecond)
				members.confirmed.Store(false)
			}()
			_, err := admit(a, c, 150, 0)
			Expect(fault.Is(err, fault.RateLimited)).To(BeTrue(), "%v", err)
			Expect(lender.returned).To(Equal(1))
		})
	})

	It("lends only while it is confirmed", func() {
		inBubble(func() {
			a, members, _ := newBorrower(&lenderStub{}, true)
			time.Sleep(5 * time.Second)
			request := peer.LoanRequest{From: peer.MemberID{Name: "b"}, Customer: "x", Tokens: 50}
			Expect(a.ReceiveLoan(context.Background(), request)).To(HaveField("Tokens", int64(50)))
			members.confirmed.Store(false)
			_, err := a.ReceiveLoan(context.Background(), request)
			Expect(fault.Is(err, fault.InstanceNotConfirmed)).To(BeTrue())
		})
	})

	It("starts empty after generations that it has not seen", func() {
		inBubble(func() {
			a, members, _ := newBorrower(&lenderStub{}, true)
			time.Sleep(20 * time.Second)
			request := peer.LoanRequest{From: peer.MemberID{Name: "b"}, Customer: "x", Tokens: 500}
			Expect(a.ReceiveLoan(context.Background(), request)).To(HaveField("Tokens", int64(500)))
			time.Sleep(20 * time.Second)
			members.views = members.views.Append(20*time.Second*2, true, [][]peer.Member{{members.self}})
			Expect(a.ReceiveLoan(context.Background(), request)).To(HaveField("Tokens", int64(0)))
		})
	})

	It("keeps the order of a customer's requests while they wait", func() {
		inBubble(func() {
			a, _, c := newBorrower(unreachableLenders{}, true)
			var order []int64
			var mu sync.Mutex
			var all sync.WaitGroup
			for i := range int64(4) {
				all.Go(func() {
					_, err := a.Admit(context.Background(), c, 100-20*i, time.Minute) // each request is smaller than the one before
					mu.Lock()
					defer mu.Unlock()
					Expect(err).NotTo(HaveOccurred())
					order = append(order, i)
				})
				time.Sleep(500 * time.Millisecond) // by then enough tokens have accrued for the last request alone
			}
			all.Wait()
			Expect(order).To(Equal([]int64{0, 1, 2, 3}))
		})
	})
})

// unreachableLenders is a LoanClient whose calls all fail.
type unreachableLenders struct{}

func (unreachableLenders) Loan(context.Context, string, peer.LoanRequest) (peer.LoanReply, error) {
	return peer.LoanReply{}, errLost
}
func (unreachableLenders) LoanDone(context.Context, string, peer.LoanDone) error { return errLost }
