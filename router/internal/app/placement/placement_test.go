package placement_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/fault"
)

// loadGenerator sends requests of a customer at a fixed rate and collects their outcomes.
type loadGenerator struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	all  []outcome
}

func (l *loadGenerator) send(i *instance, customer string, kind catalogue.ClassKind) {
	l.wait.Go(func() {
		o := i.serve(customer, kind)
		l.mu.Lock()
		l.all = append(l.all, o)
		l.mu.Unlock()
	})
}

// sendAtRate sends perSecond requests per second for d, spread over the fleet's instances.
func (l *loadGenerator) sendAtRate(f *fleet, customer string, kind catalogue.ClassKind, perSecond int, d time.Duration) {
	l.wait.Go(func() {
		for n := range int(d.Seconds() * float64(perSecond)) {
			l.send(f.instances[n%len(f.instances)], customer, kind)
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}

func (l *loadGenerator) results() []outcome {
	l.wait.Wait()
	return l.all
}

func (f *fleet) makeUnresponsive(names ...string) {
	for _, n := range names {
		f.unresponsive.Store(n, true)
	}
}

func (i *instance) setAlive(names ...string) { i.alive.Store(&names) }

func answered(all []outcome, customer string, until time.Time) (n int) {
	for _, o := range all {
		if o.err == nil && o.customer == customer && o.began.Add(o.took).Before(until) {
			n++
		}
	}
	return n
}

// sendSimultaneously has eight instances send one request each at the same moment, five times.
func sendSimultaneously(ctx context.Context, policy catalogue.PolicyName) *fleet {
	f := newFleet(ctx, policy, 8, 6)
	for _, e := range f.decodes() {
		e.slots = 2
	}
	// Two of six endpoints report less load than the others.
	for k, e := range f.decodes() {
		if k >= 2 {
			e.running["other"] = &simStream{engine: e, id: "other", end: 1 << 40}
		}
	}
	f.start(8)
	for range 5 {
		var l loadGenerator
		for _, i := range f.instances {
			l.send(i, "quiet", catalogue.ClassInteractive)
		}
		l.results()
		time.Sleep(time.Second)
	}
	return f
}

var _ = Describe("placement over a fleet", func() {
	// Eight instances have the same delayed reports. Without reservations at the owners, all of them choose the endpoint with the
	// least reported load, as the run with least-loaded shows.
	It("does not herd eight instances onto the endpoint that reports least load", func() {
		withFakeClock(func(ctx context.Context) {
			f := sendSimultaneously(ctx, catalogue.PolicyReserve)
			Expect(f.refusals()).To(BeZero())
		})
		withFakeClock(func(ctx context.Context) {
			Expect(sendSimultaneously(ctx, catalogue.PolicyLeastLoaded).refusals()).To(BeNumerically(">", 10))
		})
	})

	DescribeTable("serves a light load under every policy",
		func(policy catalogue.PolicyName) {
			withFakeClock(func(ctx context.Context) {
				f := newFleet(ctx, policy, 2, 3)
				f.start(2)
				var l loadGenerator
				l.sendAtRate(f, "quiet", catalogue.ClassInteractive, 4, 10*time.Second)
				for _, o := range l.results() {
					Expect(o.err).NotTo(HaveOccurred())
				}
				for _, e := range f.decodes() {
					Expect(e.running).To(BeEmpty())
				}
			})
		},
		Entry(nil, catalogue.PolicyReserve), Entry(nil, catalogue.PolicyTwoChoices), Entry(nil, catalogue.PolicyRandom),
		Entry(nil, catalogue.PolicyLeastLoaded), Entry(nil, catalogue.PolicyPrefillFirst),
	)

	It("gives a customer its share next to one at five times its rate", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 2, 2)
			f.start(2)
			// Eight slots, each held for about a second, serve 8 requests/s. "quiet" sends 3 of them, "noisy" 15.
			var l loadGenerator
			began := time.Now()
			l.sendAtRate(f, "quiet", catalogue.ClassBatch, 3, 30*time.Second)
			l.sendAtRate(f, "noisy", catalogue.ClassBatch, 15, 30*time.Second)
			time.Sleep(30 * time.Second)
			end := began.Add(30 * time.Second)
			all := l.results()
			Expect(answered(all, "quiet", end)).To(BeNumerically(">=", 81), "of 90 sent")
			Expect(answered(all, "noisy", end)).To(BeNumerically(">=", 90))
		})
	})

	It("refuses early with a Retry-After under overload, and wastes no prefill", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 2, 2)
			f.start(2)
			var l loadGenerator
			l.sendAtRate(f, "noisy", catalogue.ClassInteractive, 24, 20*time.Second)
			all := l.results()
			late, refused, served, atOnce := 0, 0, 0, 0
			for _, o := range all {
				switch {
				case o.err == nil:
					served++
					if o.firstToken > firstTokenMS*time.Millisecond {
						late++
					}
				default:
					Expect(isOverloaded(o.err)).To(BeTrue(), fmt.Sprint(o.err))
					Expect(fault.As(o.err).RetryAfter).To(BeNumerically(">", 0))
					Expect(o.took).To(BeNumerically("<=", firstTokenMS*time.Millisecond))
					refused++
					if o.took < 10*time.Millisecond {
						atOnce++
					}
				}
			}
			Expect(refused + served).To(Equal(480))
			Expect(served).To(BeNumerically(">=", 120)) // capacity is about 8 requests/s
			Expect(late).To(BeNumerically("<=", served/20))
			Expect(atOnce).To(BeNumerically(">=", refused/2))
			// A decode that waits some milliseconds for a free slot wastes nothing; a prefill without a response does.
			var prefilled, wasted int64
			for _, i := range f.instances {
				prefilled += i.metrics.Get(modelpath.MetricPrefillTokens).(metrics.Counter).Count()
				wasted += i.metrics.Get(modelpath.MetricWastedPrefillTokens).(metrics.Counter).Count()
			}
			Expect(wasted).To(BeNumerically("<=", prefilled*3/100))
		})
	})

	It("serves a caller that retries after its Retry-After, and keeps the Retry-After short", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 1, 1)
			f.start(1)
			var l loadGenerator
			l.sendAtRate(f, "noisy", catalogue.ClassInteractive, 20, 5*time.Second)
			time.Sleep(5 * time.Second)
			var refused outcome
			for range 40 { // the load has ended; fill the queue until it refuses requests
				done := make(chan outcome, 1)
				go func() { done <- f.instances[0].serve("noisy", catalogue.ClassInteractive) }()
				synctest.Wait()
				select {
				case refused = <-done:
				default:
				}
			}
			Expect(isOverloaded(refused.err)).To(BeTrue(), fmt.Sprint(refused.err))
			after := fault.As(refused.err).RetryAfter
			Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<", 3*time.Second)))
			time.Sleep(after)
			Expect(f.instances[0].serve("noisy", catalogue.ClassInteractive).err).NotTo(HaveOccurred())
			l.results()
		})
	})

	It("gives a leaving endpoint no new work", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 2, 2)
			f.start(4)
			var l loadGenerator
			l.sendAtRate(f, "quiet", catalogue.ClassInteractive, 4, 20*time.Second)
			time.Sleep(5 * time.Second)
			byReport, byList := f.engines["decode0"], f.engines["prefill1"]
			byReport.mu.Lock()
			byReport.leaving = true
			byReport.mu.Unlock()
			listed := slices.Clone(f.Endpoints())
			listed[1].Leaving = true
			f.endpoints.Store(&listed)
			time.Sleep(3 * time.Second)
			served := func() []int {
				a, _ := byReport.count()
				b, _ := byList.count()
				return []int{a, b}
			}
			before := served()
			Expect(before[0]).To(BeNumerically(">", 0))
			Expect(before[1]).To(BeNumerically(">", 0))
			for _, o := range l.results() {
				Expect(o.err).NotTo(HaveOccurred())
			}
			Expect(served()).To(Equal(before))
		})
	})

	DescribeTable("keeps serving when an endpoint's owner does not answer or does not know that it is the owner",
		func(disturb func(f *fleet)) {
			withFakeClock(func(ctx context.Context) {
				f := newFleet(ctx, catalogue.PolicyReserve, 2, 3)
				f.start(4)
				disturb(f)
				var l loadGenerator
				l.sendAtRate(f, "quiet", catalogue.ClassInteractive, 6, 20*time.Second)
				for _, o := range l.results() {
					if o.began.IsZero() {
						continue
					}
					Expect(o.err).NotTo(HaveOccurred())
					Expect(o.firstToken).To(BeNumerically("<", firstTokenMS*time.Millisecond))
				}
			})
		},
		Entry("dead", func(f *fleet) { f.makeUnresponsive("r1", "r2", "r3") }),
		Entry("disagreeing", func(f *fleet) {
			for k, i := range f.instances {
				i.setAlive(f.instances[(k+1)%4].name, f.instances[(k+2)%4].name)
			}
		}),
		Entry("two owners at once", func(f *fleet) {
			for _, i := range f.instances {
				i.setAlive(i.name)
			}
		}),
	)

	It("asks a dead owner once in half a second, not once per request", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 1, 1)
			f.start(2)
			f.instances[0].setAlive("r1") // r1 owns all endpoints
			f.makeUnresponsive("r1")
			began := time.Now()
			for range 20 {
				p, err := f.instances[0].placer.Place(ctx, f.instances[0].job("quiet", catalogue.ClassInteractive))
				Expect(err).NotTo(HaveOccurred())
				p.Release()
			}
			Expect(time.Since(began)).To(BeNumerically("<=", 50*time.Millisecond))
		})
	})

	It("gives the place of a caller that left the queue to the next one", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 1, 1)
			f.start(1)
			i := f.instances[0]
			full := true
			for full {
				timed, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
				_, err := i.placer.Place(timed, i.job("noisy", catalogue.ClassBatch))
				full = err == nil
				cancel()
			}
			leaving, leave := context.WithCancel(ctx)
			var wait sync.WaitGroup
			wait.Go(func() {
				_, err := i.placer.Place(leaving, i.job("noisy", catalogue.ClassBatch))
				Expect(err).To(HaveOccurred())
			})
			time.Sleep(10 * time.Millisecond)
			placed := false
			wait.Go(func() {
				p, err := i.placer.Place(ctx, i.job("noisy", catalogue.ClassBatch))
				Expect(err).NotTo(HaveOccurred())
				placed = true
				p.Release()
			})
			time.Sleep(10 * time.Millisecond)
			leave()
			wait.Wait() // reservations that are not used expire
			Expect(placed).To(BeTrue())
		})
	})

	It("reads at most twelve reports a second, whatever the fleet's size", func() {
		withFakeClock(func(ctx context.Context) {
			f := newFleet(ctx, catalogue.PolicyReserve, 0, 0)
			for i := range 310 {
				f.add("prefill", "prefill", i)
				f.add("decode", "decode", i)
			}
			f.start(1)
			count := func() (polls, endpoints int) {
				for _, e := range f.engines {
					_, n := e.count()
					polls += n
					if n > 0 {
						endpoints++
					}
				}
				return polls, endpoints
			}
			before, _ := count()
			time.Sleep(20 * time.Second)
			after, endpoints := count()
			Expect(after - before).To(BeNumerically("<=", 12*20+20))
			Expect(endpoints).To(Equal(16))
		})
	})
})
