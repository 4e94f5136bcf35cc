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

// warmUp is how long the fleet takes to form and the shares to fill.
const warmUp = 30 * time.Second

// runScenario injects a fault under the steady load, checks the bound, and returns the refusals in the given period, which
// starts with the fault.
func runScenario(name string, seed uint64, period time.Duration, injectFault func(*testFleet)) (stats refusalStats) {
	withFleet(suiteT, seed, 7, steadyLimits(), func(fleet *testFleet) {
		time.Sleep(10 * time.Second)
		fleet.startSteadyLoad()
		time.Sleep(warmUp - fleet.now())
		Expect(fleet.platform.roster().Members).To(HaveLen(7))
		from := fleet.now()
		injectFault(fleet)
		time.Sleep(max(0, from+period-fleet.now()))
		stats = fleet.refusalStats(from, fleet.now())
		AddReportEntry(name, fmt.Sprintf("seed %d: %v", seed, stats))
		Expect(fleet.checkAllBounds()).To(Succeed(), "seed %d", seed)
	})
	return stats
}

func counterValue(n *node, name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}

// admitOnce sends a request to a node and settles it at once if it is admitted.
func (fleet *testFleet) admitOnce(n *node, customer string, tokens int64) error {
	charge, err := n.admission.Admit(context.Background(), &config.Customer{Customer: catalogue.Customer{Name: customer}}, tokens, 0)
	if err == nil {
		fleet.recorder.add(requestRecord{customer: customer, arrivedAt: fleet.now(), decidedAt: fleet.now(), chargedTokens: tokens, usedTokens: tokens, settledAt: fleet.now(), admitted: true})
		charge.Settle(tokens)
	}
	return err
}

// admitEventually retries a request until it is admitted, for as long as the customer's whole burst takes to accrue. A single
// attempt may fail because the customer's other requests have used its tokens.
func (fleet *testFleet) admitEventually(n *node, customer string, tokens int64) error {
	limits := fleet.limits[customer]
	deadline := fleet.now() + time.Duration(limits.Burst)*time.Second/time.Duration(limits.Rate)
	for {
		err := fleet.admitOnce(n, customer, tokens)
		if err == nil || fleet.now() > deadline {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var seeds = []uint64{1, 2, 3, 4, 5}

// medianWrongfulPercent runs a scenario with each of the seeds and returns the median percentage of wrongful refusals.
func medianWrongfulPercent(name string, period time.Duration, injectFault func(*testFleet)) float64 {
	var percentages []float64
	for _, seed := range seeds {
		percentages = append(percentages, runScenario(name, seed, period, injectFault).wrongfulPercent())
	}
	median := medianOf(percentages)
	AddReportEntry(name, fmt.Sprintf("median of %d seeds: %.2f%%", len(seeds), median))
	return median
}

var _ = Describe("rate and burst across the fleet", func() {
	It("refuses at most 2% of requests inside the rate in steady state", func() {
		Expect(medianWrongfulPercent("steady state", 60*time.Second, func(*testFleet) {})).To(BeNumerically("<=", 2))
	})

	It("refuses at most 2% while one instance dies", func() {
		Expect(medianWrongfulPercent("one instance killed", 20*time.Second, func(fleet *testFleet) {
			fleet.kill(fleet.nodes["router-3"])
			time.Sleep(12 * time.Second)
			Expect(fleet.platform.roster().Members).To(HaveLen(6), "the dead member was not removed from the roster, so its share stays unused")
		})).To(BeNumerically("<=", 2))
	})

	It("does not let a frozen instance use its share after it was removed", func() {
		runScenario("one instance frozen for 15 s and resumed", 1, 40*time.Second, func(fleet *testFleet) {
			n := fleet.nodes["router-2"]
			n.freeze()
			time.Sleep(15 * time.Second)
			Expect(fleet.platform.roster().Members).To(HaveLen(6))
			fleet.drainBuckets()
			n.unfreeze()
			Expect(n.members.Confirmed()).To(BeFalse())
			time.Sleep(10 * time.Second)
			Expect(n.members.Confirmed()).To(BeTrue(), "it must join the roster again")
		})
	})

	It("serves through a platform outage of any length", func() {
		runScenario("platform down for 120 s", 1, 120*time.Second, func(fleet *testFleet) {
			fleet.platform.update(func(p *fakePlatform) { p.down = true })
			time.Sleep(110 * time.Second)
			for _, n := range fleet.allNodes {
				Expect(n.members.Confirmed()).To(BeTrue(), n.name)
			}
		})
	})

	It("serves while the platform hangs", func() {
		runScenario("platform hanging for 60 s", 1, 60*time.Second, func(fleet *testFleet) {
			fleet.platform.update(func(p *fakePlatform) { p.hanging = true })
			time.Sleep(50 * time.Second)
			for _, n := range fleet.allNodes {
				Expect(n.members.Confirmed()).To(BeTrue(), n.name)
			}
		})
	})

	It("recovers from roster writes whose replies were lost", func() {
		runScenario("reply of a roster write lost", 1, 30*time.Second, func(fleet *testFleet) {
			fleet.platform.update(func(p *fakePlatform) { p.lostReplies = 3 })
			fleet.kill(fleet.nodes["router-5"])
			fleet.launch("router-8", "")
			time.Sleep(20 * time.Second)
			Expect(fleet.platform.roster().Members).To(HaveLen(7))
			Expect(fleet.nodes["router-8"].members.Confirmed()).To(BeTrue())
		})
	})

	It("asks another holder when one can be reached in one direction only", func() {
		runScenario("one-way cut between two instances", 1, 40*time.Second, func(fleet *testFleet) {
			fleet.network.setCut("router-1", "router-2", true)
			time.Sleep(30 * time.Second)
			Expect(fleet.platform.roster().Members).To(HaveLen(7), "the other peers still receive heartbeats of both")
		})
	})

	It("keeps the bound when loan messages are lost, duplicated and answered with other replies", func() {
		runScenario("5% lost, 10% duplicated, 5% mismatched", 1, 60*time.Second, func(fleet *testFleet) {
			fleet.network.mu.Lock()
			fleet.network.loss, fleet.network.duplicate, fleet.network.mismatch = 0.05, 0.10, 0.05
			fleet.network.mu.Unlock()
		})
	})

	It("starts the share of a new incarnation empty", func() {
		runScenario("restart under the same name", 1, 30*time.Second, func(fleet *testFleet) {
			fleet.kill(fleet.nodes["router-4"])
			n := fleet.launch("router-4", "")
			time.Sleep(20 * time.Second)
			Expect(n.members.Confirmed()).To(BeTrue())
			Expect(fleet.platform.roster().Members).To(HaveLen(7))
		})
	})

	It("recovers when the whole fleet is restarted", func() {
		runScenario("whole fleet restarted under the same names", 1, 40*time.Second, func(fleet *testFleet) {
			for i := range 7 {
				name := fmt.Sprint("router-", i+1)
				fleet.kill(fleet.nodes[name])
				fleet.launch(name, "")
			}
			time.Sleep(30 * time.Second)
			Expect(fleet.admitEventually(fleet.nodes["router-1"], "bombas", 1000)).To(Succeed())
		})
	})

	It("recovers when the whole fleet is replaced", func() {
		runScenario("whole fleet replaced under new names", 1, 100*time.Second, func(fleet *testFleet) {
			for i := range 7 {
				name := fmt.Sprint("router-", i+1)
				fleet.kill(fleet.nodes[name])
				fleet.platform.update(func(p *fakePlatform) { delete(p.instances, name) })
				fleet.launch(fmt.Sprint("new-", i+1), "")
			}
			time.Sleep(90 * time.Second)
			Expect(fleet.platform.roster().Members).To(HaveLen(7), "members absent from the instance list must be removed")
			Expect(fleet.admitEventually(fleet.nodes["new-1"], "bombas", 1000)).To(Succeed())
		})
	})

	It("does not let an old incarnation use its share after its replacement", func() {
		runScenario("frozen old incarnation resumed after its replacement", 1, 40*time.Second, func(fleet *testFleet) {
			old := fleet.nodes["router-6"]
			old.freeze()
			fleet.launch("router-6", "http://router-6-new")
			time.Sleep(15 * time.Second)
			fleet.drainBuckets()
			old.unfreeze()
			for range 40 {
				Expect(old.members.Confirmed()).To(BeFalse())
				time.Sleep(100 * time.Millisecond)
			}
		})
	})

	It("stops admitting at an instance that is cut off alone", func() {
		runScenario("one instance cut off for 20 s", 1, 40*time.Second, func(fleet *testFleet) {
			n := fleet.nodes["router-7"]
			fleet.network.isolate(n.name, true)
			fleet.platform.update(func(p *fakePlatform) { p.cutOff[n.name] = true })
			time.Sleep(3200 * time.Millisecond)
			Expect(fault.Is(fleet.admitOnce(n, "bombas", 10), fault.InstanceNotConfirmed)).To(BeTrue())
			Expect(counterValue(n, "quota.not_confirmed")).NotTo(BeZero())
			time.Sleep(17 * time.Second)
			Expect(counterValue(n, "membership.removals_agreed")).To(BeZero(), "an isolated instance must not try to remove the other members")
			fleet.network.isolate(n.name, false)
			fleet.platform.update(func(p *fakePlatform) { p.cutOff[n.name] = false })
			time.Sleep(5 * time.Second)
			Expect(n.members.Confirmed()).To(BeTrue())
		})
	})

	It("leaves a dead member's share unused while the platform is down", func() {
		runScenario("platform down while one instance dies", 1, 60*time.Second, func(fleet *testFleet) {
			fleet.platform.update(func(p *fakePlatform) { p.down = true })
			fleet.kill(fleet.nodes["router-1"])
			time.Sleep(40 * time.Second)
			Expect(fleet.nodes["router-2"].members.Confirmed()).To(BeTrue())
			fleet.platform.update(func(p *fakePlatform) { p.down = false })
			time.Sleep(10 * time.Second)
			Expect(fleet.platform.roster().Members).To(HaveLen(6))
		})
	})

	It("refuses everywhere when the platform is down and less than a majority lives", func() {
		runScenario("platform down and four of seven dead", 1, 30*time.Second, func(fleet *testFleet) {
			fleet.platform.update(func(p *fakePlatform) { p.down = true })
			for i := range 4 {
				fleet.kill(fleet.nodes[fmt.Sprint("router-", i+1)])
			}
			time.Sleep(4 * time.Second)
			Expect(fault.Is(fleet.admitOnce(fleet.nodes["router-7"], "bombas", 10), fault.InstanceNotConfirmed)).To(BeTrue())
		})
	})

	It("hands the share over when an instance leaves", func() {
		runScenario("one instance drains and leaves", 1, 20*time.Second, func(fleet *testFleet) {
			n := fleet.nodes["router-2"]
			Expect(n.members.Leave(context.Background())).To(Succeed())
			fleet.kill(n)
			Expect(fleet.platform.roster().Members).To(HaveLen(6))
		})
	})

	It("does not reuse the share of a removed member that may still be confirmed", func() {
		withFleet(suiteT, 1, 7, map[string]quota.Limits{"x": {Rate: 7000, Burst: 7000}}, func(fleet *testFleet) {
			time.Sleep(warmUp) // all shares are full
			n := fleet.nodes["router-7"]
			fleet.network.isolate(n.name, true) // its peers no longer receive its heartbeats, but it still reads the platform
			for len(fleet.platform.roster().Members) == 7 {
				time.Sleep(time.Millisecond)
			}
			fleet.platform.update(func(p *fakePlatform) { p.cutOff[n.name] = true })
			Expect(n.members.Confirmed()).To(BeTrue())
			until := fleet.now() + 6*time.Second
			for _, n := range fleet.allNodes {
				fleet.loads.Go(func() {
					for fleet.now() < until {
						_ = fleet.admitOnce(n, "x", 20)
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			fleet.loads.Wait()
			Expect(n.members.Confirmed()).To(BeFalse())
			Expect(fleet.checkAllBounds()).To(Succeed())
		})
	})

	It("keeps lower limits once they are in force everywhere", func() {
		withFleet(suiteT, 1, 7, steadyLimits(), func(fleet *testFleet) {
			time.Sleep(10 * time.Second)
			fleet.offerLoad("greedy", 6, 0, fleet.pickServing)
			time.Sleep(warmUp - fleet.now())
			old, lower := fleet.limitsOf("greedy"), quota.Limits{Rate: 300, Burst: 900}
			fleet.setLimits("greedy", lower)
			for _, n := range fleet.allNodes {
				n.conf.apply(fleet.snapshot())
				time.Sleep(700 * time.Millisecond) // the new limits reach the instances one after the other
			}
			everywhere := fleet.now()
			time.Sleep(60 * time.Second)
			requests := fleet.recorder.customerRequests("greedy")
			Expect(checkBound(requests, old, 0)).To(Succeed())
			Expect(checkBound(requests, lower, everywhere)).To(Succeed())
			Expect(checkBound(requests, lower, 0)).NotTo(Succeed(), "the check must be able to fail")
		})
	})

	It("uses nearly the whole rate of a customer that sends several times as much", func() {
		withFleet(suiteT, 1, 7, steadyLimits(), func(fleet *testFleet) {
			time.Sleep(10 * time.Second)
			fleet.offerLoad("greedy", 5, 0, fleet.pickServing)
			time.Sleep(warmUp - fleet.now())
			from, before := fleet.now(), fleet.netChargedTokens()
			time.Sleep(60 * time.Second)
			used := int64(0)
			for _, q := range fleet.recorder.customerRequests("greedy") {
				if q.admitted && q.decidedAt >= from {
					used += q.usedTokens
				}
			}
			rate := 60 * float64(fleet.limitsOf("greedy").Rate)
			charged := float64(fleet.netChargedTokens()-before) / rate
			AddReportEntry("at five times the rate", fmt.Sprintf("charged less refunded %.3f of the rate, used %.3f", charged, float64(used)/rate))
			Expect(charged).To(BeNumerically(">", 0.9))
			Expect(fleet.checkAllBounds()).To(Succeed())
		})
	})

	It("admits a request as large as the burst", func() {
		withFleet(suiteT, 1, 7, steadyLimits(), func(fleet *testFleet) {
			time.Sleep(warmUp)
			n := fleet.nodes["router-1"]
			Expect(fault.Is(fleet.admitOnce(n, "bombas", 6001), fault.ExceedsBurst)).To(BeTrue())
			Expect(fleet.admitOnce(n, "bombas", 6000)).To(Succeed())
			err := fleet.admitOnce(n, "bombas", 1000)
			Expect(fault.As(err)).To(HaveField("Kind", fault.RateLimited))
			Expect(fault.As(err).RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 100*time.Millisecond))
		})
	})
})

// netChargedTokens returns the tokens that all instances have charged and not refunded.
func (fleet *testFleet) netChargedTokens() (total int64) {
	for _, n := range fleet.allNodes {
		total += counterValue(n, "quota.admitted_tokens") - counterValue(n, "quota.refunded_tokens")
	}
	return total
}

// drainBuckets empties all customers' buckets, so that any token admitted in excess violates the bound.
func (fleet *testFleet) drainBuckets() {
	for name := range fleet.limits {
		for fleet.admitOnce(fleet.pickServing(), name, 100) == nil {
		}
	}
}
