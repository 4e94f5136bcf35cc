package quotasync_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/quota"
	"tanagerwood.dev/router/internal/fault"
)

// warmUp is the time in which the fleet forms and the shares fill.
const warmUp = 30 * time.Second

// scenario runs the steady load through a fault, checks the bound, and reports the wrongful refusals in the period.
func scenario(name string, seed uint64, during time.Duration, fault func(*world)) (f figures) {
	inWorld(suite, seed, 7, steadyLimits(), func(w *world) {
		time.Sleep(10 * time.Second)
		w.steadyLoad()
		time.Sleep(warmUp - w.now())
		Expect(w.platform.roster().Members).To(HaveLen(7))
		from := w.now()
		fault(w)
		time.Sleep(max(0, from+during-w.now()))
		f = w.figures(from, w.now())
		AddReportEntry(name, fmt.Sprintf("seed %d: %v", seed, f))
		Expect(w.violation()).To(Succeed(), "seed %d", seed)
	})
	return f
}

func counter(n *node, name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}

// ask offers one request to a node.
func (w *world) ask(n *node, customer string, tokens int64) error {
	charge, err := n.admission.Admit(context.Background(), &config.Customer{Customer: catalogue.Customer{Name: customer}}, tokens, 0)
	if err == nil {
		w.recorder.add(request{customer: customer, arrived: w.now(), ended: w.now(), charged: tokens, used: tokens, settled: w.now(), admitted: true})
		charge.Settle(tokens)
	}
	return err
}

// askRepeatedly asks until the request is admitted, for as long as the customer's whole burst takes to accrue. The
// customer's other requests may have used its tokens at any one moment.
func (w *world) askRepeatedly(n *node, customer string, tokens int64) error {
	limits := w.limits[customer]
	deadline := w.now() + time.Duration(limits.Burst)*time.Second/time.Duration(limits.Rate)
	for {
		err := w.ask(n, customer, tokens)
		if err == nil || w.now() > deadline {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var seeds = []uint64{1, 2, 3, 4, 5}

// median runs a scenario for all seeds and returns the median percentage of wrongful refusals.
func median(name string, during time.Duration, fault func(*world)) float64 {
	var all []float64
	for _, seed := range seeds {
		all = append(all, scenario(name, seed, during, fault).percent())
	}
	m := middle(all)
	AddReportEntry(name, fmt.Sprintf("median of %d seeds: %.2f%%", len(seeds), m))
	return m
}

var _ = Describe("rate and burst across the fleet", func() {
	It("refuses at most 2% of requests inside the rate in steady state", func() {
		Expect(median("steady state", 60*time.Second, func(*world) {})).To(BeNumerically("<=", 2))
	})

	It("refuses at most 2% while one instance dies", func() {
		Expect(median("one instance killed", 20*time.Second, func(w *world) {
			w.kill(w.nodes["router-3"])
			time.Sleep(12 * time.Second)
			Expect(w.platform.roster().Members).To(HaveLen(6), "the dead member stays in the roster, so its share stays unused")
		})).To(BeNumerically("<=", 2))
	})

	It("does not let a frozen instance use its share after it was removed", func() {
		scenario("one instance frozen for 15 s and woken", 1, 40*time.Second, func(w *world) {
			n := w.nodes["router-2"]
			n.freeze()
			time.Sleep(15 * time.Second)
			Expect(w.platform.roster().Members).To(HaveLen(6))
			w.spendAll()
			n.wake()
			Expect(n.members.Confirmed()).To(BeFalse())
			time.Sleep(10 * time.Second)
			Expect(n.members.Confirmed()).To(BeTrue(), "it joins again")
		})
	})

	It("serves through a platform outage of any length", func() {
		scenario("platform down for 120 s", 1, 120*time.Second, func(w *world) {
			w.platform.set(func(p *fakePlatform) { p.down = true })
			time.Sleep(110 * time.Second)
			for _, n := range w.all {
				Expect(n.members.Confirmed()).To(BeTrue(), n.name)
			}
		})
	})

	It("serves while the platform hangs", func() {
		scenario("platform silent for 60 s", 1, 60*time.Second, func(w *world) {
			w.platform.set(func(p *fakePlatform) { p.silent = true })
			time.Sleep(50 * time.Second)
			for _, n := range w.all {
				Expect(n.members.Confirmed()).To(BeTrue(), n.name)
			}
		})
	})

	It("takes a roster write whose reply was lost for what it is", func() {
		scenario("reply of a roster write lost", 1, 30*time.Second, func(w *world) {
			w.platform.set(func(p *fakePlatform) { p.lostReplies = 3 })
			w.kill(w.nodes["router-5"])
			w.launch("router-8", "")
			time.Sleep(20 * time.Second)
			Expect(w.platform.roster().Members).To(HaveLen(7))
			Expect(w.nodes["router-8"].members.Confirmed()).To(BeTrue())
		})
	})

	It("asks another holder when one can be reached in one direction only", func() {
		scenario("one-way cut between two instances", 1, 40*time.Second, func(w *world) {
			w.net.cut("router-1", "router-2", true)
			time.Sleep(30 * time.Second)
			Expect(w.platform.roster().Members).To(HaveLen(7), "third peers still hear both")
		})
	})

	It("keeps the bound when loan messages are lost, doubled and crossed", func() {
		scenario("5% lost, 10% doubled, 5% crossed", 1, 60*time.Second, func(w *world) {
			w.net.mu.Lock()
			w.net.loss, w.net.double, w.net.crossed = 0.05, 0.10, 0.05
			w.net.mu.Unlock()
		})
	})

	It("starts the share of a new incarnation empty", func() {
		scenario("restart under the same name", 1, 30*time.Second, func(w *world) {
			w.kill(w.nodes["router-4"])
			n := w.launch("router-4", "")
			time.Sleep(20 * time.Second)
			Expect(n.members.Confirmed()).To(BeTrue())
			Expect(w.platform.roster().Members).To(HaveLen(7))
		})
	})

	It("recovers when the whole fleet is restarted", func() {
		scenario("whole fleet restarted under the same names", 1, 40*time.Second, func(w *world) {
			for i := range 7 {
				name := fmt.Sprint("router-", i+1)
				w.kill(w.nodes[name])
				w.launch(name, "")
			}
			time.Sleep(30 * time.Second)
			Expect(w.askRepeatedly(w.nodes["router-1"], "bombas", 1000)).To(Succeed())
		})
	})

	It("recovers when the whole fleet is replaced", func() {
		scenario("whole fleet replaced under new names", 1, 100*time.Second, func(w *world) {
			for i := range 7 {
				name := fmt.Sprint("router-", i+1)
				w.kill(w.nodes[name])
				w.platform.set(func(p *fakePlatform) { delete(p.list, name) })
				w.launch(fmt.Sprint("new-", i+1), "")
			}
			time.Sleep(90 * time.Second)
			Expect(w.platform.roster().Members).To(HaveLen(7), "members absent from the instance list are removed")
			Expect(w.askRepeatedly(w.nodes["new-1"], "bombas", 1000)).To(Succeed())
		})
	})

	It("does not let an old incarnation use its share after its replacement", func() {
		scenario("frozen old incarnation woken after its replacement", 1, 40*time.Second, func(w *world) {
			old := w.nodes["router-6"]
			old.freeze()
			w.launch("router-6", "http://router-6-new")
			time.Sleep(15 * time.Second)
			w.spendAll()
			old.wake()
			for range 40 {
				Expect(old.members.Confirmed()).To(BeFalse())
				time.Sleep(100 * time.Millisecond)
			}
		})
	})

	It("stops admitting at an instance that is cut off alone", func() {
		scenario("one instance cut off for 20 s", 1, 40*time.Second, func(w *world) {
			n := w.nodes["router-7"]
			w.net.isolate(n.name, true)
			w.platform.set(func(p *fakePlatform) { p.cutOff[n.name] = true })
			time.Sleep(3200 * time.Millisecond)
			Expect(fault.Is(w.ask(n, "bombas", 10), fault.NotConfirmed)).To(BeTrue())
			Expect(counter(n, "quota.not_confirmed")).NotTo(BeZero())
			time.Sleep(17 * time.Second)
			Expect(counter(n, "membership.removals_agreed")).To(BeZero(), "it hears nobody, so it must not try to remove all others")
			w.net.isolate(n.name, false)
			w.platform.set(func(p *fakePlatform) { p.cutOff[n.name] = false })
			time.Sleep(5 * time.Second)
			Expect(n.members.Confirmed()).To(BeTrue())
		})
	})

	It("leaves a dead member's share unused while the platform is down", func() {
		scenario("platform down while one instance dies", 1, 60*time.Second, func(w *world) {
			w.platform.set(func(p *fakePlatform) { p.down = true })
			w.kill(w.nodes["router-1"])
			time.Sleep(40 * time.Second)
			Expect(w.nodes["router-2"].members.Confirmed()).To(BeTrue())
			w.platform.set(func(p *fakePlatform) { p.down = false })
			time.Sleep(10 * time.Second)
			Expect(w.platform.roster().Members).To(HaveLen(6))
		})
	})

	It("refuses everywhere when the platform is down and less than a majority lives", func() {
		scenario("platform down and four of seven dead", 1, 30*time.Second, func(w *world) {
			w.platform.set(func(p *fakePlatform) { p.down = true })
			for i := range 4 {
				w.kill(w.nodes[fmt.Sprint("router-", i+1)])
			}
			time.Sleep(4 * time.Second)
			Expect(fault.Is(w.ask(w.nodes["router-7"], "bombas", 10), fault.NotConfirmed)).To(BeTrue())
		})
	})

	It("hands the share over when an instance leaves", func() {
		scenario("one instance drains and leaves", 1, 20*time.Second, func(w *world) {
			n := w.nodes["router-2"]
			Expect(n.members.Leave(context.Background())).To(Succeed())
			w.kill(n)
			Expect(w.platform.roster().Members).To(HaveLen(6))
		})
	})

	It("does not reuse the share of a removed member that may still be confirmed", func() {
		inWorld(suite, 1, 7, map[string]quota.Limits{"x": {Rate: 7000, Burst: 7000}}, func(w *world) {
			time.Sleep(warmUp) // all shares are full
			n := w.nodes["router-7"]
			w.net.isolate(n.name, true) // its peers do not hear it any more, but it still reads the platform
			for len(w.platform.roster().Members) == 7 {
				time.Sleep(time.Millisecond)
			}
			w.platform.set(func(p *fakePlatform) { p.cutOff[n.name] = true })
			Expect(n.members.Confirmed()).To(BeTrue())
			until := w.now() + 6*time.Second
			for _, n := range w.all {
				w.load.Go(func() {
					for w.now() < until {
						_ = w.ask(n, "x", 20)
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			w.load.Wait()
			Expect(n.members.Confirmed()).To(BeFalse())
			Expect(w.violation()).To(Succeed())
		})
	})

	It("keeps lower limits once they are in force everywhere", func() {
		inWorld(suite, 1, 7, steadyLimits(), func(w *world) {
			time.Sleep(10 * time.Second)
			w.send("greedy", 6, 0, w.serving)
			time.Sleep(warmUp - w.now())
			old, lower := w.limitsOf("greedy"), quota.Limits{Rate: 300, Burst: 900}
			w.setLimits("greedy", lower)
			for _, n := range w.all {
				n.conf.apply(w.snapshot())
				time.Sleep(700 * time.Millisecond) // instances learn of it one after the other
			}
			everywhere := w.now()
			time.Sleep(60 * time.Second)
			requests := w.recorder.of("greedy")
			Expect(checkBound(requests, old, 0)).To(Succeed())
			Expect(checkBound(requests, lower, everywhere)).To(Succeed())
			Expect(checkBound(requests, lower, 0)).NotTo(Succeed(), "the check must be able to fail")
		})
	})

	It("uses nearly the whole rate of a customer that sends several times as much", func() {
		inWorld(suite, 1, 7, steadyLimits(), func(w *world) {
			time.Sleep(10 * time.Second)
			w.send("greedy", 5, 0, w.serving)
			time.Sleep(warmUp - w.now())
			from, before := w.now(), w.spent()
			time.Sleep(60 * time.Second)
			used := int64(0)
			for _, q := range w.recorder.of("greedy") {
				if q.admitted && q.ended >= from {
					used += q.used
				}
			}
			rate := 60 * float64(w.limitsOf("greedy").Rate)
			charged := float64(w.spent()-before) / rate
			AddReportEntry("at five times the rate", fmt.Sprintf("charged less refunded %.3f of the rate, used %.3f", charged, float64(used)/rate))
			Expect(charged).To(BeNumerically(">", 0.9))
			Expect(w.violation()).To(Succeed())
		})
	})

	It("admits a request as large as the burst", func() {
		inWorld(suite, 1, 7, steadyLimits(), func(w *world) {
			time.Sleep(warmUp)
			n := w.nodes["router-1"]
			Expect(fault.Is(w.ask(n, "bombas", 6001), fault.OverLimit)).To(BeTrue())
			Expect(w.ask(n, "bombas", 6000)).To(Succeed())
			err := w.ask(n, "bombas", 1000)
			Expect(fault.As(err)).To(HaveField("Kind", fault.RateLimited))
			Expect(fault.As(err).RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 100*time.Millisecond))
		})
	})
})

// spent is what all instances have charged and not refunded.
func (w *world) spent() (total int64) {
	for _, n := range w.all {
		total += counter(n, "quota.admitted_tokens") - counter(n, "quota.refunded_tokens")
	}
	return total
}

// spendAll empties all customers' buckets, so that tokens that should not exist show.
func (w *world) spendAll() {
	for name := range w.limits {
		for w.ask(w.serving(), name, 100) == nil {
		}
	}
}
