package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

const second = time.Second

func newFullBucket(burst, rate float64) *Bucket {
	b := NewBucket(0)
	b.SetShare(0, Share{Rate: rate, Burst: burst})
	b.level = burst
	return b
}

var _ = Describe("shares", func() {
	It("splits the burst without losing a token, so that a request as large as the burst is admissible", func() {
		members := []string{"a", "b", "c", "d", "e", "f", "g"}
		holders := Holders("customer", members)
		total := 0.0
		for _, m := range members {
			total += ShareOf(Limits{Rate: 10, Burst: 100}, holders, m).Burst
		}
		Expect(total).To(Equal(100.0))
	})

	It("moves few customers when a member is lost, so that most shares keep their tokens", func() {
		var members []string
		for i := range 32 {
			members = append(members, fmt.Sprint("router-", i))
		}
		changed := 0
		for i := range 1000 {
			customer := fmt.Sprint("customer-", i)
			lost := members[0]
			before, after := Holders(customer, members), Holders(customer, members[1:])
			Expect(before).To(HaveLen(MaxHolders))
			for _, h := range before {
				if h != lost {
					Expect(after).To(ContainElement(h))
				} else {
					changed++
				}
			}
		}
		Expect(changed).To(BeNumerically("~", 250, 60))
	})
})

var _ = Describe("Bucket", func() {
	It("starts empty and accrues up to the burst", func() {
		b := NewBucket(0)
		b.SetShare(0, Share{Rate: 10, Burst: 100})
		Expect(b.Level(0)).To(BeZero())
		Expect(b.Level(5 * second)).To(BeEquivalentTo(50))
		Expect(b.Level(50 * second)).To(BeEquivalentTo(100))
	})

	It("keeps a loan's capacity reserved until the loan expires, so that its tokens are not used by the borrower and accrued again", func() {
		b := newFullBucket(100, 1000)
		Expect(b.Lend(0, 1, "x", 60)).To(BeEquivalentTo(60))
		Expect(b.Level(100 * time.Millisecond)).To(BeEquivalentTo(40))
		Expect(b.Level(LenderLoanValidity)).To(BeEquivalentTo(40))
		Expect(b.Level(LenderLoanValidity + 20*time.Millisecond)).To(BeEquivalentTo(60))
	})

	It("takes a returned loan back once, and only from its borrower", func() {
		b := newFullBucket(100, 0)
		b.Lend(0, 1, "x", 60)
		Expect(b.EndLoan(0, 1, "y", false)).To(BeFalse())
		Expect(b.EndLoan(0, 1, "x", false)).To(BeTrue())
		Expect(b.EndLoan(0, 1, "x", false)).To(BeFalse())
		Expect(b.Level(0)).To(BeEquivalentTo(100))
	})

	It("does not take back a loan that has expired", func() {
		b := newFullBucket(100, 0)
		b.Lend(0, 1, "x", 60)
		Expect(b.EndLoan(LenderLoanValidity, 1, "x", false)).To(BeFalse())
		Expect(b.Level(LenderLoanValidity)).To(BeEquivalentTo(40))
	})

	It("does not refund tokens that would have been lost above the burst if the true amount had been charged", func() {
		b := newFullBucket(100, 10)
		c, _ := b.Take(0, 50)
		Expect(b.Refund(3*second, c, 30)).To(BeNumerically("~", 20, 1e-6)) // the level is 80, so 20 more fit
		b = newFullBucket(100, 10)
		c, _ = b.Take(0, 50)
		b.Take(4*second, 90)
		Expect(b.Refund(4*second, c, 30)).To(BeNumerically("~", 10, 1e-6)) // the level was 90 before the second charge
	})

	It("does not refund a charge of a share that was lost and came back", func() {
		b := newFullBucket(100, 10)
		c, _ := b.Take(0, 50)
		b.SetShare(0, Share{})
		b.SetShare(0, Share{Rate: 10, Burst: 100})
		Expect(b.Refund(0, c, 50)).To(BeZero())
		Expect(b.Level(0)).To(BeZero())
	})

	It("does not refund into a share that has grown what the smaller share had lost", func() {
		b := newFullBucket(10, 10)
		c, _ := b.Take(0, 5)
		b.Level(second)
		b.SetShare(second, Share{Rate: 10, Burst: 20})
		Expect(b.Refund(second, c, 5)).To(BeZero())
	})

	It("counts an earlier refund against a later one, so that two refunds cannot use the same free capacity", func() {
		b := newFullBucket(100, 10)
		first, _ := b.Take(0, 50)
		second, _ := b.Take(0, 30)
		b.Take(5*time.Second, 60) // the level was 70, and would have been 100 if the true amounts had been charged
		Expect(b.Refund(5*time.Second, first, 30)).To(BeNumerically("~", 30, 1e-6))
		Expect(b.Refund(5*time.Second, second, 20)).To(BeNumerically("~", 0, 1e-6))
	})

	It("refunds no more than was charged here, because loans are not refunded", func() {
		b := newFullBucket(100, 0)
		b.Take(0, 80)
		c, _ := b.Take(0, 20)
		Expect(b.Refund(0, c, 70)).To(BeEquivalentTo(20))
	})

	It("lets the level become negative by tokens used beyond a charge", func() {
		b := newFullBucket(100, 10)
		b.ChargeExcess(0, 130)
		Expect(b.Level(4 * second)).To(BeEquivalentTo(10))
	})
})

// admission is one admitted request of the random schedule, with its time and the tokens that it really used.
type admission struct {
	at   time.Duration
	used float64
}

// TestWindowBound checks the bound of one bucket under charges, refunds in any order, loans and returned loans: in no
// time window do the tokens really used exceed burst + rate x window.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const rate, burst = 100.0, 500.0
		b := newFullBucket(burst, rate)
		type open struct {
			charge Charge
			entry  int
		}
		type lent struct {
			id    uint64
			entry int
			given time.Duration
		}
		var now time.Duration
		var log []admission
		var opens []open
		var loans []lent
		steps := rapid.IntRange(1, 80).Draw(rt, "steps")
		for i := range steps {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "op") {
			case 0:
				if c, ok := b.Take(now, int64(rapid.IntRange(1, 400).Draw(rt, "n"))); ok {
					log = append(log, admission{now, float64(c.Tokens())})
					opens = append(opens, open{c, len(log) - 1})
				}
			case 1:
				if len(opens) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(opens)-1).Draw(rt, "which")
				o := opens[k]
				opens = append(opens[:k], opens[k+1:]...)
				unused := int64(rapid.IntRange(0, int(o.charge.Tokens())).Draw(rt, "unused"))
				b.Refund(now, o.charge, unused)
				log[o.entry].used -= float64(unused)
			case 2:
				n := b.Lend(now, uint64(i), "x", int64(rapid.IntRange(1, 400).Draw(rt, "n")))
				if n > 0 { // assumed to be used at the end of its validity, until a report says otherwise
					log = append(log, admission{now + LoanValidity, float64(n)})
					loans = append(loans, lent{uint64(i), len(log) - 1, now})
				}
			case 3:
				if len(loans) == 0 {
					continue
				}
				l := loans[len(loans)-1]
				loans = loans[:len(loans)-1]
				used := rapid.Bool().Draw(rt, "used")
				if used { // used at any time between the loan and its report, which may be late
					latest := min(now, log[l.entry].at) - l.given
					log[l.entry].at = l.given + time.Duration(rapid.Int64Range(0, int64(latest)).Draw(rt, "used after"))
				}
				if !used && now < log[l.entry].at {
					log[l.entry].used = 0
				}
				if log[l.entry].used == 0 {
					b.EndLoan(now, l.id, "x", false)
				} else if c, ok := b.UseLoan(now, l.id, "x"); ok {
					opens = append(opens, open{c, l.entry})
				}
			}
		}
		if err := checkWindows(log, rate, burst); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkWindows(log []admission, rate, burst float64) error {
	for _, first := range log {
		for _, last := range log {
			if last.at < first.at {
				continue
			}
			sum := 0.0
			for _, a := range log {
				if a.at >= first.at && a.at <= last.at {
					sum += a.used
				}
			}
			if limit := burst + rate*(last.at-first.at).Seconds(); sum > limit+1e-3 {
				return fmt.Errorf("window %v to %v admitted %.3f tokens, limit %.3f", first.at, last.at, sum, limit)
			}
		}
	}
	return nil
}
